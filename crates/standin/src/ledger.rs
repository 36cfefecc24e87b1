//! Records what engines and plain services run, for the checks of the observer.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

use cranberryridge::wire::Map;

const MAX_TAG_BYTES: usize = 32;

/// A record of the work of engines and plain services. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Number of runs of plain calls, by the caller's tag.
    runs: Map<String, u32>,
    /// Prompt tokens read by engines.
    tokens_read: u64,
    /// Prompt tokens that were read, but whose result was never decoded.
    tokens_wasted: u64,
    /// Engine work in order; `None` until tracing starts.
    events: Option<Vec<Event>>,
}

/// A step of an engine's work on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time of the step.
    pub at: Instant,
    /// The engine's address.
    pub engine: SocketAddr,
    /// The request's id at the engine.
    pub id: String,
    /// The first word of the prompt, which identifies the caller.
    pub tag: String,
    /// The stage that the request reached.
    pub stage: Stage,
}

/// Stages of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The engine received the request.
    Received,
    /// The engine reads the prompt.
    Prefill,
    /// The prompt is read, and its result waits for the transfer.
    Prefilled,
    /// The engine pulls the result of another engine.
    Import,
    /// The engine generates the answer.
    Generate,
    /// The engine generated the last token.
    Generated,
}

impl Ledger {
    /// Starts to record the stages of requests. Before, the ledger only counts.
    pub fn start_tracing(&self) {
        self.lock().events.get_or_insert_default();
    }

    /// Records the stage that a request reached, if tracing has started.
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

    /// Returns the stages recorded since [`Ledger::start_tracing`].
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone().unwrap_or_default()
    }

    /// Records a run of a plain call.
    pub fn record_run(&self, tag: &str) {
        *self.lock().runs.entry(tag.to_owned()).or_default() += 1;
    }

    /// Returns how often a plain call ran.
    pub fn runs(&self, tag: &str) -> u32 {
        self.lock().runs.get(tag).copied().unwrap_or_default()
    }

    /// Counts prompt tokens that an engine read.
    pub fn add_tokens_read(&self, tokens: u64) {
        self.lock().tokens_read += tokens;
    }

    /// Counts prompt tokens whose result was never decoded.
    pub fn add_tokens_wasted(&self, tokens: u64) {
        self.lock().tokens_wasted += tokens;
    }

    /// Returns the prompt tokens read so far.
    pub fn tokens_read(&self) -> u64 {
        self.lock().tokens_read
    }

    /// Returns the prompt tokens whose result was never decoded.
    pub fn tokens_wasted(&self) -> u64 {
        self.lock().tokens_wasted
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
