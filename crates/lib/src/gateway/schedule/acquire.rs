//! Requests of this host to a scheduler for permits.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_wire::schedule::{self as wire, Down, Finish, Up};

use super::ask::{ACKNOWLEDGE_TIMEOUT, REFUSAL_GRACE, REPLY_CAPACITY};
use super::link::{active_link, Link, LINK_POLL_INTERVAL};
use crate::clock::Clock;
use crate::gateway::permit::{to_message, Permit};
use crate::gateway::serve::Call;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Time after which a permit is requested again if no scheduler was reached.
const NO_SCHEDULER_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of endpoints that a request names.
const MAX_CANDIDATES: usize = 32;

/// Requests a permit to send the call's request to one of some endpoints.
///
/// # Errors
///
/// Returns the time after which a permit may be requested again if none is due within
/// `patience`.
pub(in crate::gateway) async fn request_permit<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    candidates: &[EndpointKey],
    patience: Duration,
) -> Result<Permit, Duration> {
    let shared = &call.shared;
    let permit = wait_for_permit(call, candidates, shared.clock.now() + patience).await;
    let Err(delay) = permit else {
        shared.metrics.count("permit.granted");
        return permit;
    };
    shared.metrics.count("permit.refused");
    let until = shared.clock.now() + delay;
    if let [key] = candidates {
        shared.pool().delay_permits(*key, until);
    }
    permit
}

/// Requests a permit from the scheduler, which may only be reached after a while.
async fn wait_for_permit<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    candidates: &[EndpointKey],
    waits_until: Instant,
) -> Result<Permit, Duration> {
    let shared = &call.shared;
    loop {
        if let Some(link) = active_link(shared, &call.service) {
            return exchange(call, &link, candidates, waits_until).await;
        }
        let now = shared.clock.now();
        if now >= waits_until {
            shared.metrics.count("permit.no_scheduler");
            return Err(NO_SCHEDULER_DELAY);
        }
        tokio::time::sleep(LINK_POLL_INTERVAL).await;
    }
}

/// Sends a request over a link and waits for its answer.
async fn exchange<N: Net, C: Clock, D>(
    call: &Call<N, C, D>,
    link: &Link,
    candidates: &[EndpointKey],
    waits_until: Instant,
) -> Result<Permit, Duration> {
    let shared = &call.shared;
    let requested_at = shared.clock.now();
    let patience = waits_until.saturating_duration_since(requested_at);
    let number = shared.links.last_number.fetch_add(1, Ordering::Relaxed);
    let limits = {
        let pool = shared.pool();
        let chosen = candidates.sample(&mut rand::rng(), MAX_CANDIDATES);
        let states = chosen.filter_map(|key| pool.get(*key));
        let limits = states.map(|state| to_message(state.endpoint.id.clone(), state.limit));
        limits.collect()
    };
    let (sender, mut replies) = mpsc::channel(REPLY_CAPACITY);
    lock(&link.state).waiting.insert(number, sender);
    let mut pending = Pending {
        shared: shared.clone(),
        number,
        service: call.service.clone(),
        is_answered: false,
    };
    let request = wire::Acquire {
        number,
        service: call.service.clone(),
        limits,
        priority: call.route.priority,
        deadline: call.remaining_time().into(),
        patience: patience.into(),
    };
    if link.sender.try_send(Up::Acquire(request)).is_err() {
        return Err(NO_SCHEDULER_DELAY);
    }
    let mut timeout = ACKNOWLEDGE_TIMEOUT;
    loop {
        let reply = tokio::time::timeout(timeout, replies.recv()).await;
        pending.is_answered =
            matches!(&reply, Ok(reply) if !matches!(reply, Some(Down::Queued(_))));
        match reply {
            Ok(Some(Down::Queued(_))) => timeout = patience + REFUSAL_GRACE,
            Ok(Some(Down::Permit(permit))) => {
                let key = shared.pool().key(&permit.endpoint);
                let key = key.filter(|key| candidates.contains(key));
                let permit = key.map(|key| Permit::new(key, requested_at, permit.waited.into()));
                return permit.ok_or(NO_SCHEDULER_DELAY);
            }
            Ok(Some(Down::Refusal(refusal))) => return Err(refusal.wait.into()),
            Ok(_) => return Err(NO_SCHEDULER_DELAY),
            Err(_) => {
                shared.metrics.count("scheduler.no_answer");
                lock(&link.state).is_unresponsive = true;
                return Err(NO_SCHEDULER_DELAY);
            }
        }
    }
}

/// A request that the scheduler may have queued, withdrawn when dropped.
struct Pending<N, C, D> {
    shared: Arc<Shared<N, C, D>>,
    number: u64,
    service: CompactString,
    is_answered: bool,
}

impl<N, C, D> Drop for Pending<N, C, D> {
    fn drop(&mut self) {
        let links = &self.shared.links;
        links.remove_waiting(self.number);
        if !self.is_answered {
            let finish = Finish {
                number: self.number,
                between: None,
            };
            links.send(&self.service, &Up::Finish(finish));
        }
    }
}
