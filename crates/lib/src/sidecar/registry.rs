//! Model answers that this sidecar generates.
//!
//! An answer is kept while it is generated and read, so that an entry whose connection
//! broke can resume it at any position. A run that nobody reads is cancelled. If all answers
//! together are too large, the largest one gives way.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use cranberryridge_policy::kept;
use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::Request;
use cranberryridge_wire::message::Failure;
use cranberryridge_wire::Map;

/// Maximum size of an answer that is kept, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Maximum total size of the answers that are kept, in bytes. As much again as a daemon may
/// take for control.
const MAX_TOTAL_BYTES: usize = 32 * 1024 * 1024;

/// Memory that an event takes besides its data, in bytes.
const EVENT_OVERHEAD_BYTES: usize = 64;

/// Model answers by request and attempt. Clones share the state.
#[derive(Clone, Debug)]
pub struct Registry {
    state: Arc<Mutex<State>>,
}

/// Key of a run: a request and an attempt.
type Key = (Request, u32);

#[derive(Debug)]
struct State {
    runs: Map<Key, Arc<Run>>,
    sizes: kept::Table<Key>,
}

impl Default for Registry {
    fn default() -> Self {
        let state = State {
            runs: Map::default(),
            sizes: kept::Table::new(MAX_TOTAL_BYTES),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }
}

/// A model answer that is being generated or read.
#[derive(Debug)]
pub struct Run {
    key: Key,
    registry: Registry,
    progress: watch::Sender<Progress>,
    /// Whether the entry gave up the answer.
    abandoned: watch::Sender<bool>,
}

/// The part of an answer that exists so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Data of the events so far, by position.
    pub events: Vec<Blob>,
    /// Memory that the events take, in bytes.
    size: usize,
    /// Result of the generation, once it has ended.
    pub end: Option<Result<(), Failure>>,
}

impl Run {
    /// Appends the data of an event. Returns `false` if the answer is longer than one that
    /// is kept, or has given way.
    pub fn push(&self, event: Blob) -> bool {
        let size = event.0.len() + EVENT_OVERHEAD_BYTES;
        if let Some(largest) = self.registry.grow(self.key, size) {
            largest.give_way();
        }
        let mut is_kept = false;
        self.progress.send_modify(|progress| {
            progress.size += size;
            is_kept = progress.end.is_none() && progress.size <= MAX_ANSWER_BYTES;
            if is_kept {
                progress.events.push(event);
            }
        });
        is_kept
    }

    /// Records the result of the generation and wakes all readers. The first result stays.
    pub fn end(&self, end: Result<(), Failure>) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(end);
        });
    }

    /// Fails the answer and drops its events, because answers take too much memory.
    fn give_way(&self) {
        self.progress.send_modify(|progress| {
            progress.events = Vec::new();
            progress.end = Some(Err(Failure {
                code: Code::EndpointFailed,
                text: "answers too large".into(),
            }));
        });
        self.abandon();
    }

    /// Creates a reader. While one exists, the answer counts as being read.
    pub fn reader(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Gives up the answer, because no entry will resume it.
    pub fn abandon(&self) {
        self.abandoned.send_replace(true);
    }

    /// Waits until the answer is given up, or has had no reader for the grace period.
    pub async fn wait_abandoned(&self, grace_period: std::time::Duration) {
        let mut abandoned = self.abandoned.subscribe();
        tokio::select! {
            // The sender lives as long as `self`.
            _ = abandoned.wait_for(|abandoned| *abandoned) => {}
            () = self.wait_unread(grace_period) => {}
        }
    }

    /// Waits until the answer has had no reader for the grace period.
    async fn wait_unread(&self, grace_period: std::time::Duration) {
        loop {
            self.progress.closed().await;
            tokio::time::sleep(grace_period).await;
            if self.progress.is_closed() {
                return;
            }
        }
    }
}

impl Registry {
    /// Opens a run, which is kept until [`Registry::close`].
    pub fn open(&self, request: Request, attempt: u32) -> Arc<Run> {
        let (progress, _) = watch::channel(Progress::default());
        let run = Arc::new(Run {
            key: (request, attempt),
            registry: self.clone(),
            progress,
            abandoned: watch::Sender::new(false),
        });
        self.lock().runs.insert((request, attempt), run.clone());
        run
    }

    /// Finds the run of an attempt, or `None` if it is closed or was never opened here.
    pub fn find(&self, request: Request, attempt: u32) -> Option<Arc<Run>> {
        self.lock().runs.get(&(request, attempt)).cloned()
    }

    /// Removes a run. Existing readers can still read it.
    pub fn close(&self, request: Request, attempt: u32) {
        self.lock().remove((request, attempt));
    }

    /// Counts bytes that a run grows by. Removes and returns the run that gives way, if any.
    fn grow(&self, key: Key, bytes: usize) -> Option<Arc<Run>> {
        let mut state = self.lock();
        if !state.runs.contains_key(&key) {
            return None;
        }
        let largest = state.sizes.add(key, bytes)?;
        state.remove(largest)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Removes a run and its size.
    fn remove(&mut self, key: Key) -> Option<Arc<Run>> {
        self.sizes.remove(key);
        self.runs.remove(&key)
    }
}
