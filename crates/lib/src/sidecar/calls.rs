//! Plain calls that this sidecar ran, runs or will never run.
//!
//! What is forgotten for want of room leaves a floor behind: a call at or
//! below it that is not remembered is never run, because it may have run.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::message::{Head, Verdict};
use cranberryridge_wire::Map;

/// What a sidecar remembers of plain calls.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Calls and keys, each.
    pub max_calls: usize,
    /// Entry incarnations of which calls were forgotten.
    pub max_watermarks: usize,
    /// Bytes of kept answers.
    pub max_answer_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_calls: 65_536,
            max_watermarks: 65_536,
            max_answer_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Plain calls by request and by key. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// The state.
    state: Arc<Mutex<State>>,
}

/// A key as a call carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Digest of client, service and key.
    pub digest: Digest,
    /// Digest of the request that it stands for.
    pub request_digest: Digest,
    /// Where it was born: a log offset, or a number of this sidecar.
    pub position: u64,
    /// Whether this sidecar issued it.
    pub issued: bool,
}

/// An answer that is kept for its key.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
}

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It is noted and runs now, for the only time.
    Run,
    /// It was barred before it came.
    Barred,
    /// It came before, or may have.
    Seen,
    /// No more can be remembered.
    Full,
    /// Its key runs now.
    Running,
    /// Its key ran and the answer is kept.
    Answered(Arc<Answer>),
    /// Its key ran and the answer is not kept, or may have run.
    Unknown,
    /// Its key stands for another request.
    Mismatch,
}

/// State of the calls.
#[derive(Debug, Default)]
struct State {
    /// Bounds.
    settings: Settings,
    /// Calls by request.
    calls: Map<Request, Call>,
    /// The same, oldest first.
    call_order: VecDeque<Request>,
    /// Highest number forgotten, by entry.
    call_watermarks: Map<Incarnation, u64>,
    /// Keys.
    keys: Map<Digest, KeyRun>,
    /// The same, oldest first.
    key_order: VecDeque<Digest>,
    /// Positions up to which claimed and issued keys were forgotten.
    key_watermarks: [Option<u64>; 2],
    /// Keys whose answers are kept, oldest first.
    answer_order: VecDeque<Digest>,
    /// Bytes of those answers.
    answer_bytes: usize,
    /// Keys issued so far.
    issued: u64,
}

/// One call.
#[derive(Clone, Copy, Debug)]
struct Call {
    /// Its highest attempt seen or barred here.
    attempt: u32,
    /// What became of it.
    verdict: Verdict,
}

/// One key.
#[derive(Clone, Debug)]
struct KeyRun {
    /// The key.
    key: Key,
    /// What became of its run.
    state: RunState,
}

/// A key's only run.
#[derive(Clone, Debug)]
enum RunState {
    /// Under way.
    Running,
    /// Over, with its answer while that is kept.
    Ended(Option<Arc<Answer>>),
}

impl Calls {
    /// Calls within bounds.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge::sidecar::calls::{Admission, Calls, Settings};
    /// use cranberryridge::wire::id::Request;
    /// let calls = Calls::new(Settings::default());
    /// assert_eq!(calls.admit(Request::default(), 1, None), Admission::Run);
    /// assert_eq!(calls.admit(Request::default(), 1, None), Admission::Seen);
    /// ```
    pub fn new(settings: Settings) -> Self {
        let state = State {
            settings,
            ..State::default()
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The number of a key that is issued now.
    pub fn issue(&self) -> u64 {
        let mut state = self.lock();
        state.issued += 1;
        state.issued
    }

    /// What is known of a key before a place is asked for; `None` when it
    /// may run.
    pub fn check_key(&self, key: &Key) -> Option<Admission> {
        self.lock().check_key(key)
    }

    /// Notes a call just before it is sent, if it may run.
    pub fn admit(&self, request: Request, attempt: u32, key: Option<Key>) -> Admission {
        let mut state = self.lock();
        if let Some(admission) = key.as_ref().and_then(|key| state.check_key(key)) {
            return admission;
        }
        match state.calls.get(&request) {
            Some(call) if call.verdict != Verdict::Barred => return Admission::Seen,
            Some(call) if attempt <= call.attempt => return Admission::Barred,
            None if state.may_be_forgotten(request) => return Admission::Seen,
            _ => {}
        }
        if !state.remember(request, attempt, Verdict::Running) {
            return Admission::Full;
        }
        if let Some(key) = key {
            state.start_key(key);
        }
        Admission::Run
    }

    /// Notes that a call certainly did not run after all. Later attempts may.
    pub fn withdraw(&self, request: Request, attempt: u32, key: Option<Key>) {
        let mut state = self.lock();
        state.remember(request, attempt, Verdict::Barred);
        if let Some(key) = key {
            state.keys.remove(&key.digest);
            state.key_order.retain(|digest| *digest != key.digest);
        }
    }

    /// Notes that a call is over, with its answer if it is to be kept.
    pub fn finish(&self, request: Request, attempt: u32, key: Option<Key>, answer: Option<Answer>) {
        let mut state = self.lock();
        state.remember(request, attempt, Verdict::Ended);
        if let Some(key) = key {
            state.finish_key(key.digest, answer);
        }
    }

    /// Says what became of a call, and bars one that never came.
    pub fn settle(&self, request: Request, attempt: u32) -> Verdict {
        let mut state = self.lock();
        let call = state.calls.get(&request).copied();
        if let Some(call) = call.filter(|call| call.verdict != Verdict::Barred) {
            return call.verdict;
        }
        if call.is_none() && state.may_be_forgotten(request) {
            return Verdict::Forgotten;
        }
        let attempt = attempt.max(call.map_or(0, |call| call.attempt));
        if state.remember(request, attempt, Verdict::Barred) {
            return Verdict::Barred;
        }
        Verdict::Forgotten
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether a call that is not remembered may have been forgotten.
    fn may_be_forgotten(&self, request: Request) -> bool {
        let watermark = self.call_watermarks.get(&request.entry);
        watermark.is_some_and(|watermark| request.sequence <= *watermark)
    }

    /// Remembers a call, and forgets the oldest when there are too many.
    /// Returns whether it is remembered.
    fn remember(&mut self, request: Request, attempt: u32, verdict: Verdict) -> bool {
        let call = Call { attempt, verdict };
        if let Some(known) = self.calls.get_mut(&request) {
            *known = call;
            return true;
        }
        if self.call_order.len() >= self.settings.max_calls && !self.evict_oldest() {
            return false;
        }
        self.calls.insert(request, call);
        self.call_order.push_back(request);
        true
    }

    /// Forgets the oldest call. Returns whether there was room for its watermark.
    fn evict_oldest(&mut self) -> bool {
        let Some(oldest) = self.call_order.front().copied() else {
            return false;
        };
        let known = self.call_watermarks.contains_key(&oldest.entry);
        if !known && self.call_watermarks.len() >= self.settings.max_watermarks {
            return false;
        }
        let watermark = self.call_watermarks.entry(oldest.entry).or_default();
        *watermark = oldest.sequence.max(*watermark);
        self.calls.remove(&oldest);
        self.call_order.pop_front();
        true
    }

    /// What is known of a key, `None` when it may run.
    fn check_key(&self, key: &Key) -> Option<Admission> {
        let Some(run) = self.keys.get(&key.digest) else {
            let watermark = self.key_watermarks[usize::from(key.issued)];
            let forgotten = watermark.is_some_and(|watermark| key.position <= watermark);
            let not_issued = key.issued && key.position > self.issued;
            return (forgotten || not_issued).then_some(Admission::Unknown);
        };
        if run.key.request_digest != key.request_digest {
            return Some(Admission::Mismatch);
        }
        Some(match &run.state {
            RunState::Running => Admission::Running,
            RunState::Ended(Some(answer)) => Admission::Answered(answer.clone()),
            RunState::Ended(None) => Admission::Unknown,
        })
    }

    /// Notes that a key's run begins, and forgets the oldest when there are
    /// too many.
    fn start_key(&mut self, key: Key) {
        if self.key_order.len() >= self.settings.max_calls {
            let oldest = self.key_order.pop_front();
            let oldest = oldest.and_then(|oldest| self.keys.remove(&oldest));
            if let Some(oldest) = oldest {
                self.drop_answer(&oldest);
                let watermark = &mut self.key_watermarks[usize::from(oldest.key.issued)];
                *watermark = (*watermark).max(Some(oldest.key.position));
            }
        }
        let state = RunState::Running;
        self.keys.insert(key.digest, KeyRun { key, state });
        self.key_order.push_back(key.digest);
    }

    /// Notes that a key's run is over, and drops the oldest answers when they
    /// are too large together.
    fn finish_key(&mut self, key: Digest, answer: Option<Answer>) {
        let Some(run) = self.keys.get_mut(&key) else {
            return;
        };
        let answer = answer.filter(|answer| answer_size(answer) <= self.settings.max_answer_bytes);
        let size = answer.as_ref().map(answer_size);
        run.state = RunState::Ended(answer.map(Arc::new));
        let Some(size) = size else { return };
        self.answer_bytes += size;
        self.answer_order.push_back(key);
        while self.answer_bytes > self.settings.max_answer_bytes {
            let Some(oldest) = self.answer_order.pop_front() else {
                return;
            };
            let Some(run) = self.keys.get_mut(&oldest) else {
                continue;
            };
            if let RunState::Ended(Some(answer)) =
                std::mem::replace(&mut run.state, RunState::Ended(None))
            {
                self.answer_bytes -= self::answer_size(&answer);
            }
        }
    }

    /// Counts out the answer of a key that is forgotten.
    fn drop_answer(&mut self, run: &KeyRun) {
        if let RunState::Ended(Some(answer)) = &run.state {
            self.answer_bytes -= answer_size(answer);
            self.answer_order.retain(|digest| *digest != run.key.digest);
        }
    }
}

/// Bytes that a kept answer takes.
fn answer_size(answer: &Answer) -> usize {
    let headers = answer.head.headers.iter();
    let headers = headers.map(|header| header.name.len() + header.value.as_slice().len());
    answer.body.len() + headers.sum::<usize>()
}
