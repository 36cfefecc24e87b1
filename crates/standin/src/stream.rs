//! Record of the pieces of streams that engines made, and what is wrong with those that a
//! caller holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// A run of a stream at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the stream, or of the attempt that it answers.
    pub stream: String,
    /// Version that each piece names, empty if none does.
    pub version: String,
    /// Id of the piece behind which the engine was asked to begin; 0 for the first one.
    pub asked_id: u32,
    /// Id of the piece behind which it began.
    pub begun_id: u32,
    /// Id of the last piece that the engine made; `begun_id` if it made none.
    pub last_id: u32,
    /// Id of the attempt that it was run for, empty unless [`Ledger::watch`] has named it.
    pub attempt: String,
    /// Time at which it began.
    pub begun_at: Instant,
    /// Whether the engine is still at work on it, of a run that [`Ledger::watch`] follows.
    pub is_open: bool,
    /// Whether the engine has stated the end of its answer, of a run that [`Ledger::end`] names.
    pub has_ended: bool,
}

/// All runs, by number. Clones share them.
///
/// # Examples
///
/// ```
/// use cranberryridge_standin::stream::{Form, Held, Ledger};
/// let ledger = Ledger::new(12);
/// let first = ledger.begin("a", "v1", 0, 0);
/// let piece = ledger.make(first);
/// let second = ledger.begin("a", "v1", 1, 1);
/// let events = [("a", piece), ("a", ledger.make(second))];
/// let mut held = Held { events: &events, total: 2, has_ended: true, may_resume: true };
/// assert_eq!(ledger.check(&held), None);
/// held.may_resume = false;
/// assert_eq!(ledger.check(&held), Some(Form::Joined));
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    runs: Arc<Mutex<HashMap<u64, Run>>>,
    /// Bytes of a piece beside its names.
    filler_bytes: usize,
}

impl Ledger {
    /// Creates a record without runs, whose pieces have this many bytes beside their names.
    pub fn new(filler_bytes: usize) -> Self {
        Self {
            runs: Arc::default(),
            filler_bytes,
        }
    }

    /// Records a run that was asked to begin behind a piece and begins behind another, or the
    /// same one. Returns its number, which no other run has.
    pub fn begin(&self, stream: &str, version: &str, asked_id: u32, begun_id: u32) -> u64 {
        let mut runs = self.lock();
        let number = runs.len() as u64 + 1;
        let run = Run {
            stream: stream.into(),
            version: version.into(),
            asked_id,
            begun_id,
            last_id: begun_id,
            attempt: String::new(),
            begun_at: Instant::now(),
            is_open: false,
            has_ended: false,
        };
        runs.insert(number, run);
        number
    }

    /// Names the attempt of a run, which is open until the result is dropped.
    ///
    /// # Panics
    ///
    /// Panics if no run has this number.
    pub fn watch(&self, number: u64, attempt: &str) -> Watch {
        let mut runs = self.lock();
        let run = runs.get_mut(&number).expect("begin the run first");
        run.attempt = attempt.into();
        run.is_open = true;
        Watch {
            ledger: self.clone(),
            number,
        }
    }

    /// Records that the engine of a run has stated the end of its answer.
    ///
    /// # Panics
    ///
    /// Panics if no run has this number.
    pub fn end(&self, number: u64) {
        let mut runs = self.lock();
        let run = runs.get_mut(&number).expect("begin the run first");
        run.has_ended = true;
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().values().cloned().collect()
    }

    /// Makes the next piece of a run, and returns it as an event.
    ///
    /// # Panics
    ///
    /// Panics if no run has this number.
    pub fn make(&self, number: u64) -> String {
        let mut runs = self.lock();
        let run = runs.get_mut(&number).expect("begin the run first");
        run.last_id += 1;
        self.event(number, run, run.last_id)
    }

    /// Returns the runs of streams, oldest first.
    pub fn runs_of(&self, streams: &[&str]) -> Vec<(u64, Run)> {
        let runs = self.lock();
        let runs = runs
            .iter()
            .filter(|(_, run)| streams.contains(&run.stream.as_str()));
        let mut runs = runs
            .map(|(number, run)| (*number, run.clone()))
            .collect::<Vec<_>>();
        runs.sort_by_key(|(number, _)| *number);
        runs
    }

    /// Returns the number of runs.
    pub fn run_count(&self) -> usize {
        self.lock().len()
    }

    /// Returns what is wrong with the events that the caller of a stream holds over all its
    /// tries.
    pub fn check<S: AsRef<str>, T: AsRef<str>>(&self, stream: &Held<'_, S, T>) -> Option<Form> {
        let runs = self.lock();
        let (mut last_id, mut last) = (0, None::<(u64, &Run)>);
        for (name, text) in stream.events {
            let text = text.as_ref();
            let Some((id, number)) = parse(text) else {
                return Some(Form::Altered);
            };
            let Some(run) = runs.get(&number) else {
                return Some(Form::Altered);
            };
            if run.stream != name.as_ref() {
                return Some(Form::Foreign);
            }
            if text != self.event(number, run, id) || id > run.last_id || id <= run.begun_id {
                return Some(Form::Altered);
            }
            match id {
                id if id == last_id => return Some(Form::Repeated),
                id if id < last_id => return Some(Form::OutOfOrder),
                id if id > last_id + 1 => return Some(Form::Missing),
                _ => {}
            }
            if let Some((_, last_run)) = last.filter(|(last, _)| *last != number) {
                // A run that repeats the last piece for the gateway was asked for it.
                let follows = run.asked_id == last_id || run.asked_id + 1 == last_id;
                if !(stream.may_resume && follows && run.begun_id == run.asked_id) {
                    return Some(Form::Joined);
                }
                if run.version != last_run.version {
                    return Some(Form::Mixed);
                }
            }
            (last_id, last) = (id, Some((number, run)));
        }
        (stream.has_ended && last_id < stream.total).then_some(Form::FalseEnd)
    }

    /// Returns a piece of a run as an event.
    fn event(&self, number: u64, run: &Run, id: u32) -> String {
        let mut state = number ^ (u64::from(id) << 32);
        let filler = (0..self.filler_bytes).map(|_| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            char::from(b'a' + (state >> 59) as u8 % 26)
        });
        let filler = filler.collect::<String>();
        let space = if run.version.is_empty() { "" } else { " " };
        let (stream, version) = (&run.stream, &run.version);
        format!("id: {id}\ndata: {number} {stream} {filler}{space}{version}\n\n")
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open run. Dropping it records the end of the run.
#[derive(Debug)]
pub struct Watch {
    ledger: Ledger,
    number: u64,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(run) = self.ledger.lock().get_mut(&self.number) {
            run.is_open = false;
        }
    }
}

/// What the caller of a stream holds over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct Held<'a, S, T> {
    /// Whole events, each with the empty line behind it, and the name that its run must have.
    pub events: &'a [(S, T)],
    /// Number of pieces of the whole stream.
    pub total: u32,
    /// Whether the caller took an answer as complete behind the last event.
    pub has_ended: bool,
    /// Whether the stream may be joined from several runs.
    pub may_resume: bool,
}

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    /// It ended as complete before its last piece.
    FalseEnd,
    /// A piece arrived twice.
    Repeated,
    /// A piece arrived behind a later one.
    OutOfOrder,
    /// A piece is missing between two others.
    Missing,
    /// Pieces of several versions arrived.
    Mixed,
    /// Pieces of two runs stand behind each other, the second of which was not asked to go on.
    Joined,
    /// An event is none that the engine made.
    Altered,
    /// A piece belongs to another stream.
    Foreign,
}

/// Splits a body into its whole events, each with the empty line behind it, and the rest.
pub fn split(body: &str) -> (Vec<&str>, &str) {
    let end = body.rfind("\n\n").map_or(0, |at| at + 2);
    let (whole, rest) = body.split_at(end);
    (whole.split_inclusive("\n\n").collect(), rest)
}

/// Returns the id of an event and the number of its run.
fn parse(text: &str) -> Option<(u32, u64)> {
    let rest = text.strip_prefix("id: ")?;
    let (id, rest) = rest.split_once("\ndata: ")?;
    let (number, _) = rest.split_once(' ')?;
    Some((id.parse().ok()?, number.parse().ok()?))
}
