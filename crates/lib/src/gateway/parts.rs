//! Prompt parts that crash engines, as all hosts know them.
//!
//! A request with such a part may come at any host. Hosts tell each other what their runs
//! showed, each on all its links, so that a host need not be linked to the one that
//! observed it.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::RngExt;
use tokio::sync::{broadcast, watch};

use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::part::{Crash, Evidence, Loss, Settings, Table};
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::schedule as wire;

use super::exchange::Input;
use super::refusal::Refusal;
use super::{lock, Shared};
use crate::clock::Clock;

/// Maximum number of changes that wait to be told to other hosts.
const MAX_QUEUED_CHANGES: usize = 256;

/// Maximum number of messages for a host that has just connected. They must fit in a
/// link's queue.
const MAX_SNAPSHOT: usize = 256;

/// Maximum number of lost runs that are kept until the list shows whether their endpoints
/// have crashed.
const MAX_UNRESOLVED: usize = 256;

/// Time after a lost run in which another id at its endpoint's address shows that the
/// endpoint had crashed by then. Covers the endpoint's first record and the reading of the list.
const MAX_LISTING_TIME: Duration = Duration::from_secs(3);

/// Range of the further time for which a part stays barred at hosts that did not observe
/// its last crash, in seconds. Hosts differ, so that few try it before they hear of the
/// first trial.
const TRIAL_DELAY_SECONDS: std::ops::Range<f64> = 30.0..330.0;

/// What hosts know of prompt parts.
#[derive(Debug)]
pub struct Registry {
    table: Mutex<Table>,
    changes: broadcast::Sender<wire::Evidence>,
    /// Changed with each crash that is counted.
    crashes: watch::Sender<()>,
    /// Lost runs of which it is unknown whether their endpoints have crashed, oldest first.
    unresolved: Mutex<Vec<LostPrompt>>,
}

/// Prompt of a run that was lost on probation.
#[derive(Clone, Debug)]
pub struct LostPrompt {
    /// Digests of the prompt's parts, without the last one.
    pub parts: Arc<[Digest]>,
    /// Id that the caller gave the attempt.
    pub request: CompactString,
    /// Endpoint that the run was sent to.
    pub endpoint: Endpoint,
    /// Time at which the run was sent.
    pub sent_at: Instant,
    /// Time at which it was lost.
    pub lost_at: Instant,
}

impl Default for Registry {
    fn default() -> Self {
        let settings = Settings {
            trial_delay: Duration::from_secs_f64(rand::rng().random_range(TRIAL_DELAY_SECONDS)),
            ..Settings::default()
        };
        Self {
            table: Mutex::new(Table::new(settings)),
            changes: broadcast::Sender::new(MAX_QUEUED_CHANGES),
            crashes: watch::Sender::default(),
            unresolved: Mutex::default(),
        }
    }
}

impl Registry {
    /// Records evidence that this host observed, or that another host told. Returns
    /// whether it is new and matters.
    fn record(&self, now: Instant, part: Digest, evidence: Evidence, is_own: bool) -> bool {
        if !lock(&self.table).record(now, part, evidence, is_own) {
            return false;
        }
        // There may be no subscribers.
        let _ = self.changes.send(to_message(now, part, evidence));
        if matches!(evidence, Evidence::Loss(_)) {
            self.crashes.send_replace(());
        }
        true
    }

    /// Returns the time for which a request that was admitted is refused after all, or
    /// `None` if it is not.
    pub fn barred_time(&self, now: Instant, parts: &[Digest]) -> Option<Duration> {
        lock(&self.table).barred_time(now, parts)
    }

    /// Returns whether one of the parts was lost in a crash that still counts.
    pub fn is_suspected(&self, parts: &[Digest]) -> bool {
        lock(&self.table).is_suspected(parts)
    }

    /// Returns a receiver of further evidence, of which it may miss some if it is slow.
    pub fn subscribe(&self) -> broadcast::Receiver<wire::Evidence> {
        self.changes.subscribe()
    }

    /// Returns the evidence for a host that has just connected.
    pub fn snapshot(&self, now: Instant) -> Vec<wire::Evidence> {
        let mut evidence = lock(&self.table).evidence();
        evidence.truncate(MAX_SNAPSHOT);
        let messages = evidence.into_iter();
        messages
            .map(|(part, evidence)| to_message(now, part, evidence))
            .collect()
    }
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Admits a request, unless it has a part that crashes engines.
    ///
    /// # Errors
    ///
    /// Returns the time for which it is refused.
    pub(super) fn admit_parts(&self, input: &Input) -> Result<(), Duration> {
        lock(&self.parts.table).admit(self.clock.now(), &input.parts)
    }

    /// Records that a request to a service has arrived, whether or not it is admitted.
    pub(super) fn record_arrival(&self, service: &str, input: &Input) {
        let mut table = lock(&self.parts.table);
        let (now, random) = (self.clock.now(), &mut rand::rng());
        table.record_arrival(now, service, &input.parts, random);
    }

    /// Records that a run outlived its probation, which proves its parts harmless.
    pub(super) fn record_proof(&self, input: &Input, sent_at: Instant) {
        for part in input.parts.iter() {
            self.record_evidence(*part, Evidence::Proof(sent_at), true);
        }
    }

    /// Records that a crash ended a run on probation.
    pub(super) fn record_lost_prompt(&self, lost: &LostPrompt) {
        let crash = Crash {
            endpoint: Incarnation(Digest::of(&[lost.endpoint.id.as_bytes()]).0[0]),
            at: lost.lost_at,
        };
        let sent_at = lost.sent_at;
        let barred = |part: &Digest| self.parts.barred_time(lost.lost_at, &[*part]).is_some();
        let barred_before = lost
            .parts
            .iter()
            .copied()
            .filter(barred)
            .collect::<Vec<_>>();
        for part in lost.parts.iter() {
            self.record_evidence(*part, Evidence::Loss(Loss { crash, sent_at }), true);
        }
        let barred = lost.parts.iter().copied().filter(barred);
        for part in barred.filter(|part| !barred_before.contains(part)) {
            self.metrics.count("part.barred");
            slog::warn!(self.logger, "part: barred, as it crashes endpoints";
                "part" => %part, "service" => %lost.endpoint.service,
                "request" => %lost.request, "endpoint" => %lost.endpoint.id);
        }
    }

    /// Keeps a run on probation of which it is unknown whether its endpoint has crashed,
    /// until the list of endpoints tells.
    pub(super) fn keep_lost_prompt(&self, lost: LostPrompt) {
        let mut unresolved = lock(&self.parts.unresolved);
        if unresolved.len() >= MAX_UNRESOLVED {
            unresolved.remove(0);
        }
        unresolved.push(lost);
        drop(unresolved);
        let endpoints = self.current_endpoints.borrow().clone();
        self.resolve_lost_prompts(&endpoints.unwrap_or_default());
    }

    /// Records the crashes of kept runs whose endpoints' addresses others have taken.
    pub(super) fn resolve_lost_prompts(&self, endpoints: &[Endpoint]) {
        let now = self.clock.now();
        let mut unresolved = lock(&self.parts.unresolved);
        unresolved.retain(|lost| now < lost.lost_at + MAX_LISTING_TIME);
        let has_ended = |lost: &mut LostPrompt| {
            let mut endpoints = endpoints.iter();
            endpoints.any(|endpoint| lost.endpoint.is_succeeded_by(endpoint))
        };
        let crashed = unresolved.extract_if(.., has_ended).collect::<Vec<_>>();
        drop(unresolved);
        for lost in crashed {
            self.metrics.count("part.crash_found_late");
            self.record_lost_prompt(&lost);
        }
    }

    /// Merges evidence that another host told.
    pub(super) fn merge_evidence(&self, message: &wire::Evidence) {
        let now = self.clock.now();
        let at = |age: Duration| now.checked_sub(age).unwrap_or(now);
        let sent_at = at(message.sent.into());
        let evidence = match &message.crash {
            None => Evidence::Proof(sent_at),
            Some(crash) => Evidence::Loss(Loss {
                crash: Crash {
                    endpoint: crash.endpoint,
                    at: at(crash.age.into()),
                },
                sent_at,
            }),
        };
        self.record_evidence(message.part, evidence, false);
    }

    /// Records evidence, and tells it to the linked hosts if it is new.
    fn record_evidence(&self, part: Digest, evidence: Evidence, is_own: bool) {
        let now = self.clock.now();
        if self.parts.record(now, part, evidence, is_own) {
            self.links.report_evidence(&to_message(now, part, evidence));
        }
    }
}

/// Returns the digests of the parts of a prompt for a service. Services may run different
/// engines, so what is harmless in one may crash another.
pub(super) fn digest_parts(service: &str, parts: &[CompactString]) -> Arc<[Digest]> {
    let parts = parts.iter();
    parts
        .map(|id| Digest::of(&[service.as_bytes(), id.as_bytes()]))
        .collect()
}

/// Runs a step of a request before its answer is generated, and ends it as soon as the
/// request is barred.
///
/// # Errors
///
/// Returns the refusal of the step, or that of a barred request.
pub(super) async fn unless_barred<N, C: Clock, D, T>(
    shared: &Shared<N, C, D>,
    parts: &[Digest],
    step: impl Future<Output = Result<T, Refusal>>,
) -> Result<T, Refusal> {
    let mut crashes = shared.parts.crashes.subscribe();
    let barred = async {
        loop {
            if let Some(time) = shared.parts.barred_time(shared.clock.now(), parts) {
                return Refusal::at_earliest(Code::Barred, time);
            }
            // The sender lives as long as the gateway.
            let _ = crashes.changed().await;
        }
    };
    tokio::select! {
        biased;
        refusal = barred => Err(refusal),
        result = step => result,
    }
}

/// Returns the message that tells evidence to another host.
fn to_message(now: Instant, part: Digest, evidence: Evidence) -> wire::Evidence {
    let age = |at: Instant| now.saturating_duration_since(at).into();
    match evidence {
        Evidence::Loss(loss) => wire::Evidence {
            part,
            sent: age(loss.sent_at),
            crash: Some(wire::Crash {
                endpoint: loss.crash.endpoint,
                age: age(loss.crash.at),
            }),
        },
        Evidence::Proof(sent_at) => wire::Evidence {
            part,
            sent: age(sent_at),
            crash: None,
        },
    }
}
