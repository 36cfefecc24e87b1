//! What engines and services ran, for checks of what must always hold.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use cranberryridge::wire::Map;

/// Longest tag taken from a prompt, in bytes.
const MAX_TAG_BYTES: usize = 32;

/// What was run. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The state.
    state: Arc<Mutex<State>>,
}

/// State of a ledger.
#[derive(Debug, Default)]
struct State {
    /// Runs of plain calls, by the tag that the caller gave them.
    runs: Map<String, u32>,
    /// Prompt tokens read by engines.
    tokens_read: u64,
    /// Prompt tokens whose result was never decoded.
    tokens_wasted: u64,
    /// What engines did, in order; `None` while nobody asks for it.
    events: Option<Vec<Event>>,
}

/// Something that an engine did for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When.
    pub at: Instant,
    /// The engine.
    pub engine: SocketAddr,
    /// The request's id at the engine.
    pub id: String,
    /// The first word of the prompt, by which the caller is known.
    pub tag: String,
    /// What was done.
    pub stage: Stage,
}

/// How far an engine came with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The engine was given the request.
    Received,
    /// The prompt is being read.
    Prefill,
    /// The prompt was read, and its result waits.
    Prefilled,
    /// The result is being pulled.
    Import,
    /// The answer is being generated.
    Generate,
    /// The last token was generated.
    Generated,
}

impl Ledger {
    /// Keeps what engines do from here on.
    pub fn start_tracing(&self) {
        self.lock().events.get_or_insert_default();
    }

    /// Notes what an engine did, if anybody asks for it.
    pub fn record_stage(&self, engine: SocketAddr, id: &str, prompt: &str, stage: Stage) {
        let mut state = self.lock();
        let Some(events) = &mut state.events else {
            return;
        };
        let tag = prompt.split_whitespace().next().unwrap_or_default();
        events.push(Event {
            at: Instant::now(),
            engine,
            id: id.to_owned(),
            tag: tag.chars().take(MAX_TAG_BYTES).collect(),
            stage,
        });
    }

    /// What engines did since [`Ledger::start_tracing`].
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone().unwrap_or_default()
    }

    /// Notes a run of a plain call.
    pub fn record_run(&self, tag: &str) {
        *self.lock().runs.entry(tag.to_owned()).or_default() += 1;
    }

    /// How often a plain call ran.
    pub fn runs(&self, tag: &str) -> u32 {
        self.lock().runs.get(tag).copied().unwrap_or_default()
    }

    /// Notes prompt tokens that an engine read.
    pub fn add_tokens_read(&self, tokens: u64) {
        self.lock().tokens_read += tokens;
    }

    /// Notes prompt tokens that were read for nothing.
    pub fn add_tokens_wasted(&self, tokens: u64) {
        self.lock().tokens_wasted += tokens;
    }

    /// Prompt tokens read so far.
    pub fn tokens_read(&self) -> u64 {
        self.lock().tokens_read
    }

    /// Prompt tokens read for nothing so far.
    pub fn tokens_wasted(&self) -> u64 {
        self.lock().tokens_wasted
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
