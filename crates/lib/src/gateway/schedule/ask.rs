//! Questions of this host to a service's scheduler.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::mpsc;

use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_wire::schedule::{self as wire, Down, Grant, Up};

use super::link::link;
use crate::clock::Clock;
use crate::gateway::generate::first_event_deadline;
use crate::gateway::serve::Call;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Longest time until a scheduler says that it has a request. Several round
/// trips between failure domains; choosing alone is better than a longer wait.
const FIRST: Duration = Duration::from_millis(120);

/// Part of a route's time that a caller has left who was refused before and
/// waited as told.
const RETURNS: f64 = 0.85;

/// Time that a scheduler's refusal may take beyond a request's patience.
const SLACK: Duration = Duration::from_millis(250);

/// Messages about one request: queued, and what comes of it.
const REPLIES: usize = 2;

/// What a scheduler says to a request.
#[derive(Debug)]
pub enum Assigned<N, C, D> {
    /// The request has endpoints.
    Granted(Lease<N, C, D>, Grant),
    /// There is no room in time, but after this.
    Refused(Duration),
    /// No scheduler is in reach, so this host chooses alone.
    Alone,
}

/// A request's place at the scheduler, given up when dropped.
#[derive(Debug)]
pub struct Lease<N, C, D> {
    /// The gateway.
    shared: Arc<Shared<N, C, D>>,
    /// The request's number.
    number: u64,
    /// Its service.
    service: CompactString,
    /// Mean time between two events of its run.
    between: Option<Duration>,
}

impl<N, C, D> Lease<N, C, D> {
    /// Tells that the prompt was read at its prefill endpoint.
    pub fn read(&self, took: Duration) {
        let reading = wire::Reading {
            number: self.number,
            took: took.into(),
        };
        self.shared.links.tell(&self.service, &Up::Read(reading));
    }

    /// Tells that the run has made its first event.
    pub fn began(&self) {
        let links = &self.shared.links;
        links.tell(&self.service, &Up::Began(self.number));
    }

    /// Notes that the run ended well, with such a mean time between events.
    pub fn ended(&mut self, between: Duration) {
        self.between = Some(between);
    }
}

impl<N, C, D> Drop for Lease<N, C, D> {
    fn drop(&mut self) {
        let links = &self.shared.links;
        lock(&links.leases).remove(&self.number);
        let between = self.between.map(|between| between.as_micros());
        let finish = wire::Finish {
            number: self.number,
            between: between.map(|micros| u32::try_from(micros).unwrap_or(u32::MAX)),
        };
        links.forget(self.number);
        links.tell(&self.service, &Up::Finish(finish));
    }
}

/// Asks the service's scheduler for endpoints, and waits for them. A request
/// that asks `again` was refused by an endpoint that it was assigned.
pub(in crate::gateway) async fn ask<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    need: Need,
    avoid: &[EndpointKey],
    again: bool,
) -> Assigned<N, C, D> {
    let shared = &call.shared;
    let Some(link) = link(shared, &call.service) else {
        shared.metrics.count("scheduler.none");
        return Assigned::Alone;
    };
    let number = shared.links.last.fetch_add(1, Ordering::Relaxed);
    let lease = Lease {
        shared: shared.clone(),
        number,
        service: call.service.clone(),
        between: None,
    };
    let (sender, mut replies) = mpsc::channel(REPLIES);
    lock(&link.state).waiting.insert(number, sender);
    let ask = question(call, number, need, avoid, again);
    let patience = ask.patience;
    let tokens = need.kv_tokens();
    if link.out.try_send(Up::Ask(ask)).is_err() {
        return Assigned::Alone;
    }
    let mut limit = FIRST;
    loop {
        let reply = tokio::time::timeout(limit, replies.recv()).await;
        match reply {
            Ok(Some(Down::Queued(_))) => limit = Duration::from(patience) + SLACK,
            Ok(Some(Down::Grant(grant))) => {
                let held = wire::Lease {
                    number,
                    service: call.service.clone(),
                    endpoint: grant.decode.clone(),
                    tokens,
                };
                lock(&shared.links.leases).insert(number, held);
                return Assigned::Granted(lease, grant);
            }
            Ok(Some(Down::Refusal(refusal))) => return Assigned::Refused(refusal.wait.into()),
            Ok(Some(Down::Unknown(_) | Down::Beat(_) | Down::Listing(_)) | None) => {
                return Assigned::Alone;
            }
            Err(_) => {
                shared.metrics.count("scheduler.no_answer");
                lock(&link.state).hangs = true;
                return Assigned::Alone;
            }
        }
    }
}

/// The request as the scheduler gets it.
fn question<N, C: Clock, D>(
    call: &Call<N, C, D>,
    number: u64,
    need: Need,
    avoid: &[EndpointKey],
    again: bool,
) -> wire::Ask {
    let now = call.shared.clock.now();
    let target = call.record.arrival + call.route.latency_target;
    let pool = call.shared.pool();
    let avoid = avoid.iter().filter_map(|key| pool.get(*key));
    wire::Ask {
        number,
        service: call.service.clone(),
        domain: call.shared.settings.domain.clone(),
        prompt: need.prompt_tokens,
        output: need.output_tokens,
        pause: need.max_event_gap.into(),
        target: target.saturating_duration_since(now).into(),
        patience: first_event_deadline(call)
            .saturating_duration_since(now)
            .into(),
        again,
        returns: call.remaining_time() < call.route.timeout.mul_f64(RETURNS),
        avoid: avoid.map(|state| state.endpoint.id.clone()).collect(),
    }
}
