//! Record of the pieces that engines made, and what is wrong with those that a caller holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Bytes of a piece beside its names.
const FILLER_BYTES: usize = 60;

/// A run of a stream at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Name of the stream.
    pub stream: String,
    /// Id of the attempt that it was run for.
    pub attempt: String,
    /// When it began.
    pub begun_at: Instant,
    /// Whether the engine is still at work on it.
    pub is_open: bool,
    /// Id of the piece behind which the engine was asked to begin; 0 for the first one.
    pub asked_id: u32,
    /// Id of the last piece that the engine made; `asked_id` if it made none.
    pub last_id: u32,
}

/// All runs, by number. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<HashMap<u64, Run>>>);

impl Ledger {
    /// Records a run that begins, and returns its number.
    pub fn begin(&self, stream: &str, attempt: &str, asked_id: u32) -> u64 {
        let mut runs = self.lock();
        let number = runs.len() as u64 + 1;
        let run = Run {
            stream: stream.into(),
            attempt: attempt.into(),
            begun_at: Instant::now(),
            is_open: true,
            asked_id,
            last_id: asked_id,
        };
        runs.insert(number, run);
        number
    }

    /// Returns a guard that records the end of a run when it is dropped.
    pub fn guard(&self, number: u64) -> Guard {
        Guard(self.clone(), number)
    }

    /// Returns all runs.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().values().cloned().collect()
    }

    /// Makes the next piece of a run, and returns it as an event.
    pub fn make(&self, number: u64) -> String {
        let mut runs = self.lock();
        let run = runs.get_mut(&number).unwrap();
        run.last_id += 1;
        event(number, &run.stream, run.last_id)
    }

    /// Returns the number of runs.
    pub fn run_count(&self) -> usize {
        self.lock().len()
    }

    /// Returns what is wrong with the events that the caller of a stream of `total` pieces holds
    /// over all its tries. `has_ended` tells whether it took the last answer as complete, and
    /// `may_resume` whether another run may go on with the stream.
    pub fn check(&self, stream: &Held<'_>) -> Option<Form> {
        let runs = self.lock();
        let (mut last_id, mut last_run) = (0, None);
        for text in stream.events {
            let Some((id, number)) = parse(text) else {
                return Some(Form::Altered);
            };
            let Some(run) = runs.get(&number) else {
                return Some(Form::Altered);
            };
            if run.stream != stream.name {
                return Some(Form::Foreign);
            }
            if *text != event(number, &run.stream, id) || id > run.last_id || id <= run.asked_id {
                return Some(Form::Altered);
            }
            match id {
                id if id == last_id => return Some(Form::Repeated),
                id if id < last_id => return Some(Form::OutOfOrder),
                id if id > last_id + 1 => return Some(Form::Missing),
                _ => {}
            }
            let is_joined = last_run.is_some_and(|last| last != number);
            // A run that repeats the last piece for the gateway was asked for it.
            let follows = run.asked_id == last_id || run.asked_id + 1 == last_id;
            if is_joined && !(stream.may_resume && follows) {
                return Some(Form::Joined);
            }
            (last_id, last_run) = (id, Some(number));
        }
        (stream.has_ended && last_id < stream.total).then_some(Form::FalseEnd)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Run>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records the end of a run when it is dropped.
#[derive(Debug)]
pub struct Guard(Ledger, u64);

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(run) = self.0.lock().get_mut(&self.1) {
            run.is_open = false;
        }
    }
}

/// What the caller of a stream holds over all its tries.
#[derive(Clone, Copy, Debug)]
pub struct Held<'a> {
    /// Name of the stream.
    pub name: &'a str,
    /// Whole events, each with the empty line behind it.
    pub events: &'a [String],
    /// Number of pieces of the whole stream.
    pub total: u32,
    /// Whether the caller took the last answer as complete.
    pub has_ended: bool,
    /// Whether the stream may be joined from several runs.
    pub may_resume: bool,
}

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    /// It ended as complete before its last piece.
    FalseEnd,
    /// A piece arrived twice in a row.
    Repeated,
    /// A piece arrived behind a later one.
    OutOfOrder,
    /// A piece is missing between two others.
    Missing,
    /// Pieces of two runs stand behind each other, the second of which was not asked to go on.
    Joined,
    /// An event is none that the engine made.
    Altered,
    /// A piece belongs to another stream.
    Foreign,
}

/// Returns a piece of a run as an event.
fn event(number: u64, stream: &str, id: u32) -> String {
    let mut state = number ^ (u64::from(id) << 32);
    let filler = (0..FILLER_BYTES).map(|_| {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        char::from(b'a' + (state >> 59) as u8 % 26)
    });
    let filler = filler.collect::<String>();
    format!("id: {id}\ndata: {number} {stream} {filler}\n\n")
}

/// Returns the id of an event and the number of its run.
fn parse(text: &str) -> Option<(u32, u64)> {
    let rest = text.strip_prefix("id: ")?;
    let (id, rest) = rest.split_once("\ndata: ")?;
    let (number, _) = rest.split_once(' ')?;
    Some((id.parse().ok()?, number.parse().ok()?))
}
