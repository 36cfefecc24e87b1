//! Requests of this host to the scheduler of a service.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::mpsc;

use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_wire::schedule::{self as wire, Down, Grant, Up};

use super::link::active_link;
use crate::clock::Clock;
use crate::gateway::generate::first_event_deadline;
use crate::gateway::serve::Call;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Time in which a scheduler must acknowledge a request. Covers several round
/// trips between failure domains; after it, choosing endpoints locally is
/// better than waiting longer.
pub(super) const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_millis(120);

/// Share of the route's timeout. A request with less time left counts as a retry
/// after a refusal, whose caller has waited for the time that the refusal
/// stated.
const RETRY_TIME_SHARE: f64 = 0.85;

/// Time past the request's deadline in which a refusal may still arrive.
pub(super) const REFUSAL_GRACE: Duration = Duration::from_millis(250);

/// Capacity of a request's reply channel, for the acknowledgement and the
/// result.
pub(super) const REPLY_CAPACITY: usize = 2;

/// The result of a request to a scheduler.
#[derive(Debug)]
pub enum Assignment<N, C, D> {
    /// The scheduler assigned endpoints.
    Granted(Lease<N, C, D>, Grant),
    /// No capacity will be free in time. The caller may retry after this time.
    Refused(Duration),
    /// No scheduler answered, so this host must choose endpoints itself.
    NoScheduler,
}

/// A request's lease at the scheduler. Dropping it ends the lease.
#[derive(Debug)]
pub struct Lease<N, C, D> {
    shared: Arc<Shared<N, C, D>>,
    number: u64,
    service: CompactString,
    /// Mean time between two events of the run, or `None` until the run has
    /// completed.
    event_interval: Option<Duration>,
}

impl<N, C, D> Lease<N, C, D> {
    /// Reports that the prefill endpoint has read the prompt, `took` after the
    /// request was sent.
    pub fn report_prefill(&self, took: Duration) {
        let reading = wire::Reading {
            number: self.number,
            took: took.into(),
        };
        self.shared.links.send(&self.service, &Up::Read(reading));
    }

    /// Reports the first event of the run.
    pub fn report_first_event(&self) {
        let links = &self.shared.links;
        links.send(&self.service, &Up::Began(self.number));
    }

    /// Sets the mean time between events of a completed run. It is reported when
    /// the lease is dropped.
    pub fn record_event_interval(&mut self, event_interval: Duration) {
        self.event_interval = Some(event_interval);
    }
}

impl<N, C, D> Drop for Lease<N, C, D> {
    fn drop(&mut self) {
        let links = &self.shared.links;
        lock(&links.leases).remove(&self.number);
        let interval = self.event_interval.map(|interval| interval.as_micros());
        let finish = wire::Finish {
            number: self.number,
            between: interval.map(|micros| u32::try_from(micros).unwrap_or(u32::MAX)),
        };
        links.remove_waiting(self.number);
        links.send(&self.service, &Up::Finish(finish));
    }
}

/// Requests endpoints from the scheduler of the call's service and waits for
/// the result. `is_retry` is set if an assigned endpoint refused the request.
pub(in crate::gateway) async fn request_endpoints<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    need: Need,
    excluded: &[EndpointKey],
    is_retry: bool,
) -> Assignment<N, C, D> {
    let shared = &call.shared;
    let Some(link) = active_link(shared, &call.service) else {
        shared.metrics.count("scheduler.none");
        return Assignment::NoScheduler;
    };
    let number = shared.links.last_number.fetch_add(1, Ordering::Relaxed);
    let lease = Lease {
        shared: shared.clone(),
        number,
        service: call.service.clone(),
        event_interval: None,
    };
    let (sender, mut replies) = mpsc::channel(REPLY_CAPACITY);
    lock(&link.state).waiting.insert(number, sender);
    let ask = build_ask(call, number, need, excluded, is_retry);
    let patience = ask.patience;
    let tokens = need.kv_tokens();
    if link.sender.try_send(Up::Ask(ask)).is_err() {
        return Assignment::NoScheduler;
    }
    let mut timeout = ACKNOWLEDGE_TIMEOUT;
    loop {
        let reply = tokio::time::timeout(timeout, replies.recv()).await;
        match reply {
            Ok(Some(Down::Queued(_))) => timeout = Duration::from(patience) + REFUSAL_GRACE,
            Ok(Some(Down::Grant(grant))) => {
                let lease_record = wire::Lease {
                    number,
                    service: call.service.clone(),
                    endpoint: grant.decode.clone(),
                    tokens,
                };
                lock(&shared.links.leases).insert(number, lease_record);
                return Assignment::Granted(lease, grant);
            }
            Ok(Some(Down::Refusal(refusal))) => return Assignment::Refused(refusal.wait.into()),
            Ok(
                Some(
                    Down::Unknown(_)
                    | Down::Beat(_)
                    | Down::Listing(_)
                    | Down::Leaving(_)
                    | Down::Suspect(_)
                    | Down::Evidence(_)
                    | Down::Limit(_)
                    | Down::Permit(_)
                    | Down::Located(_)
                    | Down::Drawn(_),
                )
                | None,
            ) => {
                return Assignment::NoScheduler;
            }
            Err(_) => {
                shared.metrics.count("scheduler.no_answer");
                lock(&link.state).is_unresponsive = true;
                return Assignment::NoScheduler;
            }
        }
    }
}

/// Builds the message for a request.
fn build_ask<N, C: Clock, D>(
    call: &Call<N, C, D>,
    number: u64,
    need: Need,
    excluded: &[EndpointKey],
    is_retry: bool,
) -> wire::Ask {
    let now = call.shared.clock.now();
    let target = call.record.arrival + call.route.latency_target;
    let pool = call.shared.pool();
    let excluded = excluded.iter().filter_map(|key| pool.get(*key));
    let excluded = excluded.map(|state| state.endpoint.id.clone());
    let declining = pool.declining(now, &call.service);
    let urgency = call.urgency();
    wire::Ask {
        number,
        service: call.service.clone(),
        domain: call.shared.settings.domain.clone(),
        account: call.record.account.clone().unwrap_or_default(),
        priority: urgency.priority,
        route_priority: urgency.route_priority,
        prompt: need.prompt_tokens,
        output: need.output_tokens,
        pause: need.max_event_gap.into(),
        target: target.saturating_duration_since(now).into(),
        patience: first_event_deadline(call)
            .saturating_duration_since(now)
            .into(),
        again: is_retry,
        returns: call.remaining_time() < call.route.timeout.mul_f64(RETRY_TIME_SHARE),
        avoid: excluded.chain(declining).collect(),
        version: call.version.clone(),
    }
}
