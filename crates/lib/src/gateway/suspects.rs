//! Requests that were running when an endpoint crashed, as all hosts know them.
//!
//! A request that crashes its endpoints comes again at any host. Hosts tell each other
//! over their links, so that it is refused everywhere after a few crashes.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::broadcast;

use cranberryridge_policy::answer::{End, Framing};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::part::PROBATION;
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, State};
use cranberryridge_policy::suspect::{Table, BARRING_CRASHES, MAX_CHANGES};
use cranberryridge_wire::message::Suspect;

use super::dialect::Dialect;
use super::exchange::{self, Input, CONNECT_TIMEOUT};
use super::parts::LostPrompt;
use super::survival::Ending;
use super::{lock, Shared};
use crate::client;
use crate::clock::Clock;
use crate::net::Net;

/// Maximum number of changes that wait to be told to other hosts.
const MAX_QUEUED_CHANGES: usize = 256;

/// Crash counts of requests, and their changes.
#[derive(Debug)]
pub struct Suspects {
    table: Mutex<Table>,
    changes: broadcast::Sender<Suspect>,
}

impl Default for Suspects {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            changes: broadcast::Sender::new(MAX_QUEUED_CHANGES),
        }
    }
}

impl Suspects {
    /// Counts a crash that this host observed while it served a request. Returns what other
    /// hosts have to know.
    fn record_crash(&self, now: Instant, input: &Input) -> Vec<Suspect> {
        let mut table = lock(&self.table);
        let (origin, digest) = (input.origin(), input.digest());
        if !table.record_repeated_crash(now, input.arrival, origin, digest) {
            return Vec::new();
        }
        let counts = table.counts(now, digest);
        self.announce(&counts);
        counts
    }

    /// Clears a request of earlier crashes, since it ran to its end. Returns whether it
    /// had any.
    fn record_success(&self, now: Instant, input: &Input) -> bool {
        let mut table = lock(&self.table);
        let is_cleared = table.record_caller_success(now, input.origin(), input.digest());
        if is_cleared {
            self.announce(&table.counts(now, input.digest()));
        }
        is_cleared
    }

    /// Merges a count that another host sent. Returns what other hosts have to know.
    fn merge(&self, now: Instant, suspect: &Suspect) -> Vec<Suspect> {
        let mut table = lock(&self.table);
        if !table.merge_peer(now, suspect) {
            return Vec::new();
        }
        let counts = table.counts(now, suspect.digest);
        self.announce(&counts);
        counts
    }

    /// Whether no request is known, so that no digest is needed.
    fn is_empty(&self, now: Instant) -> bool {
        lock(&self.table).is_empty(now)
    }

    /// Returns the number of crashes that count against a request and equal ones.
    fn crash_count(&self, now: Instant, input: &Input) -> u32 {
        lock(&self.table).crash_count(now, input.digest())
    }

    /// Returns the time for which a request must not run, or `None` if it may.
    fn barred_time(&self, now: Instant, input: &Input) -> Option<Duration> {
        lock(&self.table).barred_time(now, input.origin(), input.digest())
    }

    /// Returns a receiver of further changes, of which it may miss some if it is slow.
    pub fn subscribe(&self) -> broadcast::Receiver<Suspect> {
        self.changes.subscribe()
    }

    /// Returns counts for a host that has just connected, as many as fit in its queue of
    /// messages.
    pub fn snapshot(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects = lock(&self.table).all(now);
        suspects.truncate(MAX_CHANGES);
        suspects
    }

    /// Passes changes to the subscribers, of which there may be none.
    fn announce(&self, changes: &[Suspect]) {
        for suspect in changes {
            let _ = self.changes.send(suspect.clone());
        }
    }
}

/// A run that an endpoint may have begun and that gave no valid answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun<'a> {
    pub input: &'a Arc<Input>,
    /// Key of the endpoint in the pool.
    pub key: EndpointKey,
    pub endpoint: &'a Endpoint,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: Instant,
    /// Time of the first event of the answer, or `None` if none came.
    pub first_event_at: Option<Instant>,
}

impl LostRun<'_> {
    /// Returns whether the run was lost on probation, so that it speaks against the parts
    /// of its prompt.
    fn is_on_probation(&self, now: Instant) -> bool {
        self.first_event_at.is_none_or(|at| now < at + PROBATION)
    }
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Merges a count that another host sent, and tells it to the linked hosts if it is
    /// new.
    pub(super) fn merge_suspect(&self, suspect: &Suspect) {
        for suspect in self.suspects.merge(self.clock.now(), suspect) {
            self.links.report_suspect(&suspect);
        }
    }
}

impl<N: Net, C: Clock, D: Dialect> Shared<N, C, D> {
    /// Records that an endpoint may have run a request and gave no valid answer. If the
    /// request or a part of its prompt may have crashed an endpoint before, waits until it
    /// is known whether it has crashed this one, so that it is not sent again once it is
    /// barred.
    pub(super) async fn record_lost_run(self: &Arc<Self>, run: LostRun<'_>) {
        let now = self.clock.now();
        self.record_failure(now, run.key, Failure::Broken);
        let (shared, input, endpoint) = (self.clone(), run.input.clone(), run.endpoint.clone());
        let lost = run.is_on_probation(now).then(|| LostPrompt {
            parts: run.input.parts.clone(),
            request: run.input.attempt_id.clone(),
            endpoint: run.endpoint.clone(),
            sent_at: run.sent_at,
            lost_at: now,
        });
        // The end of an endpoint that leaves is no crash.
        if self.pool().get(run.key).is_some_and(State::is_leaving) {
            return;
        }
        let is_listed = self.pool().get(run.key).is_some();
        let key = run.key;
        let investigation = tokio::spawn(async move {
            if shared.has_crashed(&endpoint).await {
                shared.record_crash(&input, endpoint.address);
                lost.inspect(|lost| shared.record_lost_prompt(lost));
                return;
            }
            let Some(lost) = lost.filter(|lost| is_listed && !lost.parts.is_empty()) else {
                return;
            };
            // The report is a request, so an engine that has named a limit is not asked.
            let is_limited = shared.pool().is_limited(key);
            if is_limited || !shared.is_still_running(key, &endpoint).await {
                shared.keep_lost_prompt(lost);
            }
        });
        if self.is_suspected(run.input) {
            // The task does not panic, and nothing aborts it.
            let _ = investigation.await;
        }
    }

    /// Records that a stream ended with its connection. If the endpoint is gone afterwards, the
    /// run counts as lost. If the request may have crashed an endpoint before, waits until that
    /// is known.
    pub(super) async fn record_unstated_end(self: &Arc<Self>, run: LostRun<'_>) {
        self.metrics.count("endpoint.unstated_end");
        self.probe_end(run).await;
    }

    /// Records that a run stated its end without an event behind the caller's last one. If the
    /// endpoint is gone afterwards, the run counts as lost.
    pub(super) async fn record_empty_run(self: &Arc<Self>, run: LostRun<'_>) {
        self.metrics.count("endpoint.empty_run");
        self.probe_end(run).await;
    }

    /// Asks whether an endpoint has outlived the end of a run, which counts as lost if it has not.
    /// If the request may have crashed an endpoint before, waits until that is known.
    async fn probe_end(self: &Arc<Self>, run: LostRun<'_>) {
        let (shared, input, endpoint) = (self.clone(), run.input.clone(), run.endpoint.clone());
        let (key, sent_at, first_event_at) = (run.key, run.sent_at, run.first_event_at);
        let probe = tokio::spawn(async move {
            if shared.outlives(key, &endpoint).await {
                return;
            }
            let lost = LostRun {
                input: &input,
                key,
                endpoint: &endpoint,
                sent_at,
                first_event_at,
            };
            shared.record_lost_run(lost).await;
        });
        if self.is_suspected(run.input) {
            // The task does not panic, and nothing aborts it.
            let _ = probe.await;
        }
    }

    /// Records that an endpoint has not outlived the end of a stream that it stated. If it was to
    /// leave, and may be listed no more by now, its end speaks against no request.
    pub(super) async fn record_forsaken_end(self: &Arc<Self>, run: LostRun<'_>) {
        self.metrics.count("endpoint.stopped_at_end");
        if self.pool().get(run.key).is_none_or(State::is_leaving) {
            return self.record_failure(self.clock.now(), run.key, Failure::Broken);
        }
        self.record_lost_run(run).await;
    }

    /// Returns whether the request or a part of its prompt may have crashed an endpoint before.
    fn is_suspected(&self, input: &Input) -> bool {
        self.suspects.crash_count(self.clock.now(), input) > 0
            || self.parts.is_suspected(&input.parts)
    }

    /// Returns whether an endpoint that has just lost a request has crashed, as it refuses
    /// connections. One that accepts a connection is asked twice, as its listener may be closed
    /// after the connection of the request.
    async fn has_crashed(&self, endpoint: &Endpoint) -> bool {
        match self.refuses_connections(endpoint).await {
            Some(false) => {
                tokio::time::sleep(client::PROBE_DELAY).await;
                self.refuses_connections(endpoint).await == Some(true)
            }
            refuses => refuses == Some(true),
        }
    }

    /// Returns whether an endpoint refuses connections, or `None` if it does not answer or
    /// resets a connection that it accepted, as it may be behind a network fault.
    pub(super) async fn refuses_connections(&self, endpoint: &Endpoint) -> Option<bool> {
        let connect = self.net.connect(endpoint.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Ok(Ok(_)) => Some(false),
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Some(true),
            _ => None,
        }
    }

    /// Returns how a plain answer with a framing ended that its transport reported as complete.
    /// Asks the endpoint whether it is up unless a length marked the end.
    pub(super) async fn observe_end<B>(&self, framing: Framing, ending: Ending<'_, B>) -> End {
        let is_endpoint_up = match framing {
            Framing::Length => true,
            Framing::Chunks => {
                let watch = self.watch_end(ending).await;
                if !watch.has_survived() {
                    self.metrics.count("endpoint.stopped_at_end");
                }
                watch.has_survived()
            }
            Framing::Connection => self.outlives(ending.key, ending.endpoint).await,
        };
        End {
            framing,
            is_endpoint_up,
        }
    }

    /// Returns whether an endpoint accepts connections after the end of its answer, and is the
    /// start that gave it if it is an engine. If not, it may have crashed in the middle of the
    /// answer. An engine that has named a limit is not asked for its start, as that is a request.
    async fn outlives(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        let is_up = client::outlives_answer(&self.net, endpoint.address, CONNECT_TIMEOUT).await;
        let is_asked = endpoint.phase.is_some() && !self.pool().is_limited(key);
        let is_up = is_up && (!is_asked || self.is_still_running(key, endpoint).await);
        if !is_up {
            self.metrics.count("endpoint.gone_at_end");
            slog::info!(self.logger, "gateway: endpoint is gone after an answer without a length";
                "endpoint" => %endpoint.id);
        }
        is_up
    }

    /// Asks an engine when it started. Returns whether it is still the start that is known.
    async fn is_still_running(&self, key: EndpointKey, endpoint: &Endpoint) -> bool {
        let report = exchange::fetch_report(self, key, endpoint.address).await;
        let started_ms = report.and_then(|report| report.started_ms);
        started_ms == Some(endpoint.started_ms)
    }

    /// Counts a crash of an endpoint against a request that ran there.
    fn record_crash(&self, input: &Input, at: SocketAddr) {
        self.metrics.count("request.crashed_endpoint");
        let suspects = self.suspects.record_crash(self.clock.now(), input);
        slog::info!(self.logger, "request: crashed an endpoint";
            "request" => %input.attempt_id, "digest" => %input.digest(), "address" => %at,
            "counted" => !suspects.is_empty());
        for suspect in suspects {
            self.links.report_suspect(&suspect);
        }
    }

    /// Admits a request that arrives, unless it or a part of its prompt has crashed
    /// endpoints.
    ///
    /// # Errors
    ///
    /// Returns the time for which it must not run.
    pub(super) fn admit(&self, input: &Input) -> Result<(), Duration> {
        let now = self.clock.now();
        let barred_time = if self.suspects.is_empty(now) {
            None
        } else {
            self.suspects.barred_time(now, input)
        };
        barred_time.map_or_else(|| self.admit_parts(input), Err)
    }

    /// Whether a lost request may be sent to another endpoint. One that has crashed
    /// several, or has a part that is barred, is left to its caller.
    pub(super) fn may_resend(&self, input: &Input) -> bool {
        let now = self.clock.now();
        let crashes_few =
            self.suspects.is_empty(now) || self.suspects.crash_count(now, input) < BARRING_CRASHES;
        crashes_few && self.parts.barred_time(now, &input.parts).is_none()
    }

    /// Clears a request of earlier crashes, since it ran to its end, and the parts of its
    /// prompt of those before it was sent.
    pub(super) fn record_success(&self, input: &Input, sent_at: Instant) {
        let now = self.clock.now();
        self.record_proof(input, sent_at);
        if self.suspects.is_empty(now) {
            return;
        }
        if self.suspects.record_success(now, input) {
            slog::info!(self.logger, "request: cleared of crashes";
                "request" => %input.attempt_id, "digest" => %input.digest());
        }
    }
}
