//! Attempts that run or ran at this sidecar.
//!
//! An answer is kept while it is generated, so that an entry whose connection
//! broke can go on reading at a position. A run that nobody reads is ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::id::Request;
use cranberryridge_wire::message::Failure;
use cranberryridge_wire::Map;

/// Attempts by request. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// The state.
    state: Arc<Mutex<State>>,
}

/// State of a registry.
#[derive(Debug, Default)]
struct State {
    /// Model answers that are kept.
    runs: Map<(Request, u32), Arc<Run>>,
}

/// A model answer while it is generated and read.
#[derive(Debug)]
pub struct Run {
    /// What there is of it.
    progress: watch::Sender<Progress>,
    /// Whether its entry gave it up.
    abandoned: watch::Sender<bool>,
}

/// What there is of an answer.
#[derive(Debug, Default)]
pub struct Progress {
    /// Its events so far.
    pub events: Vec<Blob>,
    /// Its end, once it is there.
    pub end: Option<Result<(), Failure>>,
}

impl Run {
    /// Adds an event.
    pub fn push(&self, event: Blob) {
        self.progress
            .send_modify(|progress| progress.events.push(event));
    }

    /// Ends the answer.
    pub fn end(&self, end: Result<(), Failure>) {
        self.progress
            .send_modify(|progress| progress.end = Some(end));
    }

    /// A reader of the answer.
    pub fn reader(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// Gives the answer up: nobody will ask for it again.
    pub fn abandon(&self) {
        self.abandoned.send_replace(true);
    }

    /// Waits until the answer is given up, or until nobody has read it for a
    /// while.
    pub async fn wait_abandoned(&self, grace_period: std::time::Duration) {
        let mut abandoned = self.abandoned.subscribe();
        tokio::select! {
            // The sender lives as long as this.
            _ = abandoned.wait_for(|abandoned| *abandoned) => {}
            () = self.wait_unread(grace_period) => {}
        }
    }

    /// Waits until nobody has read the answer for a while.
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
    /// Opens a run, which stays until [`Registry::close`].
    pub fn open(&self, request: Request, attempt: u32) -> Arc<Run> {
        let (progress, _) = watch::channel(Progress::default());
        let run = Arc::new(Run {
            progress,
            abandoned: watch::Sender::new(false),
        });
        self.lock().runs.insert((request, attempt), run.clone());
        run
    }

    /// Finds a run.
    pub fn find(&self, request: Request, attempt: u32) -> Option<Arc<Run>> {
        self.lock().runs.get(&(request, attempt)).cloned()
    }

    /// Forgets a run.
    pub fn close(&self, request: Request, attempt: u32) {
        self.lock().runs.remove(&(request, attempt));
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
