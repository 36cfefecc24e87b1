//! Plain calls that ran, are running or are barred from running at this sidecar.
//!
//! Memory is bounded. When calls and keys are evicted, a watermark remains: an unknown
//! call at or below it never runs, because it may have run before.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;

use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::message::{Head, Verdict};
use cranberryridge_wire::Map;

/// Limits on the memory for plain calls.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum number of calls, and also of keys.
    pub max_calls: usize,
    /// Maximum number of entry incarnations whose calls were evicted.
    pub max_watermarks: usize,
    /// Maximum total size of the kept answers.
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

/// Plain calls by request and by idempotency key. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    state: Arc<Mutex<State>>,
}

/// An idempotency key as a call carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Digest of client account, service and key.
    pub digest: Digest,
    /// Digest of the request that the key was first used for.
    pub request_digest: Digest,
    /// Origin of the key: a log offset, or a sequence number if this sidecar issued it.
    pub position: u64,
    /// Whether this sidecar issued the key.
    pub issued: bool,
}

/// A service's answer, kept for its idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Status and headers.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
}

/// Whether a call may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The call is recorded and must run now; it is admitted only once.
    Run,
    /// The attempt was barred before it arrived.
    Barred,
    /// The call arrived before, or may have.
    Seen,
    /// No more calls can be recorded.
    Full,
    /// A call with the same key is running.
    Running,
    /// A call with the same key ran, and its answer is kept.
    Answered(Arc<Answer>),
    /// A call with the same key ran or may have run, and no answer is kept.
    Unknown,
    /// The key was first used for another request.
    Mismatch,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    calls: Map<Request, Call>,
    /// Requests of `calls`, oldest first.
    call_order: VecDeque<Request>,
    /// Highest evicted sequence number of each entry incarnation.
    call_watermarks: Map<Incarnation, u64>,
    /// Runs by the digest of their key.
    keys: Map<Digest, KeyRun>,
    /// Digests in `keys`, oldest first.
    key_order: VecDeque<Digest>,
    /// Highest evicted position of the claimed keys and of the issued keys.
    key_watermarks: [Option<u64>; 2],
    /// Digests of the keys whose answers are kept, oldest answer first.
    answer_order: VecDeque<Digest>,
    /// Total size of the kept answers.
    answer_bytes: usize,
    /// Number of keys issued so far.
    issued: u64,
}

/// Record of one call.
#[derive(Clone, Copy, Debug)]
struct Call {
    /// Highest attempt that arrived or was barred.
    attempt: u32,
    verdict: Verdict,
}

/// The only run of a key.
#[derive(Clone, Debug)]
struct KeyRun {
    key: Key,
    state: RunState,
}

/// State of a key's run.
#[derive(Clone, Debug)]
enum RunState {
    Running,
    /// Ended, with the answer while it is kept.
    Ended(Option<Arc<Answer>>),
}

impl Calls {
    /// Creates an empty record with limits on its memory.
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

    /// Issues a key. Returns its sequence number, counted from 1.
    pub fn issue(&self) -> u64 {
        let mut state = self.lock();
        state.issued += 1;
        state.issued
    }

    /// Checks a key before its call requests a slot. Returns `None` if the key does not keep
    /// the call from running.
    pub fn check_key(&self, key: &Key) -> Option<Admission> {
        self.lock().check_key(key)
    }

    /// Decides whether a call may run, and records it if so. Must precede sending the call
    /// to the service.
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

    /// Records that an admitted call did not run after all, so later attempts may run.
    pub fn withdraw(&self, request: Request, attempt: u32, key: Option<Key>) {
        let mut state = self.lock();
        state.remember(request, attempt, Verdict::Barred);
        if let Some(key) = key {
            state.keys.remove(&key.digest);
            state.key_order.retain(|digest| *digest != key.digest);
        }
    }

    /// Records the end of a call, with its answer if that should be kept.
    pub fn finish(&self, request: Request, attempt: u32, key: Option<Key>, answer: Option<Answer>) {
        let mut state = self.lock();
        state.remember(request, attempt, Verdict::Ended);
        if let Some(key) = key {
            state.finish_key(key.digest, answer);
        }
    }

    /// Returns the outcome of a call, and bars the call if it never arrived.
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Whether an unknown call may have been evicted.
    fn may_be_forgotten(&self, request: Request) -> bool {
        let watermark = self.call_watermarks.get(&request.entry);
        watermark.is_some_and(|watermark| request.sequence <= *watermark)
    }

    /// Records a call and evicts the oldest if there are too many. Returns whether the call
    /// was recorded.
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

    /// Evicts the oldest call. Returns whether there was room for its watermark.
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

    /// See [`Calls::check_key`].
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

    /// Records the start of a key's run and evicts the oldest key if there are too many.
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

    /// Records the end of a key's run and drops the oldest answers if all answers together
    /// are too large.
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

    /// Removes the answer of an evicted key from the order and the total size.
    fn drop_answer(&mut self, run: &KeyRun) {
        if let RunState::Ended(Some(answer)) = &run.state {
            self.answer_bytes -= answer_size(answer);
            self.answer_order.retain(|digest| *digest != run.key.digest);
        }
    }
}

/// Size of a kept answer in bytes, which counts headers and body.
fn answer_size(answer: &Answer) -> usize {
    let headers = answer.head.headers.iter();
    let headers = headers.map(|header| header.name.len() + header.value.as_slice().len());
    answer.body.len() + headers.sum::<usize>()
}
