//! Requests that were running when an endpoint crashed, as all hosts know them.
//!
//! A request that crashes its endpoints comes again at any host. Hosts tell each other
//! over their links, so that it is refused everywhere after a few crashes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use cranberryridge_policy::suspect::{Table, MAX_CHANGES};
use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::message::Suspect;

use super::exchange::{Input, CONNECT_TIMEOUT};
use super::{lock, Shared};
use crate::clock::Clock;
use crate::net::Net;

/// Crash counts of requests, with a notification of changes.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<Table>,
    /// Identifies the crashes that this process observed.
    incarnation: Incarnation,
    changed: watch::Sender<()>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            incarnation: Incarnation(rand::random()),
            changed: watch::Sender::default(),
        }
    }
}

impl Suspects {
    /// Counts a crash that this host observed while it served a request that arrived at
    /// `arrival`. Returns what other hosts have to know.
    pub fn record_crash(&self, now: Instant, arrival: Instant, digest: Digest) -> Vec<Suspect> {
        let mut table = lock(&self.table);
        if !table.record_repeated_crash(now, arrival, self.incarnation, digest) {
            return Vec::new();
        }
        self.changed.send_replace(());
        table.recent_changes(now)
    }

    /// Clears a request of earlier crashes, since it ran to its end.
    pub fn record_success(&self, now: Instant, digest: Digest) {
        if lock(&self.table).record_success(now, digest) {
            self.changed.send_replace(());
        }
    }

    /// Merges a count that another host sent.
    pub fn merge(&self, now: Instant, suspect: &Suspect) {
        if lock(&self.table).merge_peer(now, suspect) {
            self.changed.send_replace(());
        }
    }

    /// Returns the time for which a request must not run, or `None` if it may.
    pub fn barred_for(&self, now: Instant, digest: Digest) -> Option<Duration> {
        lock(&self.table).barred_for(now, digest)
    }

    /// Returns a receiver that is notified of changes.
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns the changes of the last seconds.
    pub fn recent_changes(&self, now: Instant) -> Vec<Suspect> {
        lock(&self.table).recent_changes(now)
    }

    /// Returns the counts for a host that has just connected, as many as fit in its
    /// queue of messages.
    pub fn snapshot(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects = lock(&self.table).all(now);
        suspects.truncate(MAX_CHANGES);
        suspects
    }
}

impl<N: Net, C: Clock, D: Send + Sync + 'static> Shared<N, C, D> {
    /// Finds out in the background whether an endpoint that lost a request has crashed,
    /// and counts it against the request. An endpoint that refuses connections has
    /// crashed. One that does not answer may be behind a network fault.
    pub(super) fn investigate_loss(self: &Arc<Self>, input: &Input, at: SocketAddr) {
        let (shared, arrival, digest) = (self.clone(), input.arrival, input.digest);
        tokio::spawn(async move {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, shared.net.connect(at)).await;
            if !matches!(connected, Ok(Err(_))) {
                return;
            }
            shared.metrics.count("request.crashed_endpoint");
            let now = shared.clock.now();
            for suspect in shared.suspects.record_crash(now, arrival, digest) {
                shared.links.report_suspect(&suspect);
            }
        });
    }
}
