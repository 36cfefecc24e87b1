//! Permits to send a request to an endpoint that has named a limit.
//!
//! The scheduler of a service gives them, by priority and then by the callers' deadlines. A request
//! that cannot have one in time is refused at once.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

use super::pool::{EndpointKey, Pool};
use super::schedule::Id;

/// A request for a permit.
#[derive(Clone, Debug)]
pub struct Request {
    /// Service of the endpoints.
    pub service: CompactString,
    /// Ids of the endpoints, of which any will do.
    pub endpoints: Vec<CompactString>,
    /// Rank of the request, 0 is the highest.
    pub priority: u8,
    /// Time after which the caller no longer waits.
    pub deadline: Instant,
    /// Time until which the request may wait for a permit.
    pub waits_until: Instant,
    /// Time at which the scheduler received the request.
    pub requested_at: Instant,
}

/// The scheduler's answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// One request may be sent.
    Permit {
        /// Id of the endpoint.
        endpoint: CompactString,
        /// Time for which the request waited.
        waited: Duration,
    },
    /// No permit will be due in time. Another one may be requested after this time.
    Refusal(Duration),
}

/// Requests that wait for a permit, by priority and deadline.
#[derive(Debug, Default)]
pub struct Queue {
    entries: Vec<(Id, Request)>,
    /// Refused requests by service.
    refusals: Map<CompactString, Refusals>,
}

/// Refused requests of a service.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    /// Number of late requests, each of which counts less as it ages.
    recent: f64,
    /// Time of the last one.
    last_at: Instant,
    /// Delay after which hosts ask again, so that they ask about as often as wanted, in mean
    /// times between two permits.
    ask_permits: f64,
    /// Time for which the last refused caller was told to return.
    next_return: Instant,
}

/// Time in which a refused request's weight falls by a factor of e.
const REFUSAL_MEMORY: Duration = Duration::from_secs(1);

/// Requests for each permit that a scheduler wants to refuse.
const REFUSALS_PER_PERMIT: f64 = 8.0;

/// Refusals per second that a scheduler accepts at low limits.
const MIN_REFUSAL_RATE: f64 = 8.0;

/// Range of the factor by which a refusal changes the delay of the next ones.
const DELAY_STEP: (f64, f64) = (0.97, 1.03);

/// Longest delay of hosts because others ask as well. The demand may move to a host that
/// was just refused.
const MAX_CONTENTION_DELAY: Duration = Duration::from_secs(3);

/// Longest time after which a refused caller is told to return.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(5);

/// Delay of a request for endpoints that are not known or shutting down.
const UNKNOWN_DELAY: Duration = Duration::from_millis(500);

impl Queue {
    /// Adds a request. Replaces an earlier one with the same id.
    pub fn push(&mut self, id: Id, request: Request) {
        self.remove(id);
        let entries = &mut self.entries;
        let rank = |request: &Request| (request.priority, request.deadline);
        let index = entries.partition_point(|(_, other)| rank(other) <= rank(&request));
        entries.insert(index, (id, request));
    }

    /// Removes a request, if it is queued.
    pub fn remove(&mut self, id: Id) {
        self.entries.retain(|(other, _)| *other != id);
    }

    /// Removes the requests of a link.
    pub fn remove_link(&mut self, link: u64) {
        self.entries.retain(|(id, _)| id.link != link);
    }

    /// Returns whether the request is queued.
    pub fn contains(&self, id: Id) -> bool {
        self.entries.iter().any(|(other, _)| *other == id)
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes the first request that gets a permit or must be refused, and answers it.
    /// `share` returns the part of a service's limits that may be permitted.
    pub fn next_answer(
        &mut self,
        now: Instant,
        pool: &mut Pool,
        share: impl Fn(&str) -> f64,
    ) -> Option<(Id, Answer)> {
        let mut ahead = Map::<&str, u32>::default();
        let mut found = None;
        for (index, (_, request)) in self.entries.iter().enumerate() {
            let ahead = ahead.entry(&request.service).or_default();
            let share = share(&request.service);
            let decision = decide(now, pool, request, *ahead, share);
            *ahead += 1;
            if let Some(decision) = decision {
                found = Some((index, decision, share));
                break;
            }
        }
        let (index, decision, share) = found?;
        let (id, request) = self.entries.remove(index);
        let answer = match decision {
            Decision::Permit(key, endpoint) => {
                pool.take_permit(now, key, share);
                let waited = now.saturating_duration_since(request.requested_at);
                Answer::Permit { endpoint, waited }
            }
            Decision::Refusal { wait, rate } => {
                Answer::Refusal(self.delay_after_refusal(now, &request, wait, rate))
            }
        };
        Some((id, answer))
    }

    /// Returns the time after which a refused request may be made again. A host that has
    /// other endpoints asks when a permit is due, later if many hosts ask. Callers return
    /// one after the other at the rate of the permits.
    fn delay_after_refusal(
        &mut self,
        now: Instant,
        request: &Request,
        wait: Duration,
        rate: f64,
    ) -> Duration {
        let new = || Refusals {
            recent: 0.0,
            last_at: now,
            ask_permits: 0.0,
            next_return: now,
        };
        let refusals = self.refusals.entry(request.service.clone());
        let refusals = refusals.or_insert_with(new);
        let age = now.saturating_duration_since(refusals.last_at);
        let fading = (-age.as_secs_f64() / REFUSAL_MEMORY.as_secs_f64()).exp();
        refusals.recent = refusals.recent * fading + 1.0;
        refusals.last_at = now;
        if request.waits_until <= now {
            let per_second = refusals.recent / REFUSAL_MEMORY.as_secs_f64();
            let wanted = (REFUSALS_PER_PERMIT * rate).max(MIN_REFUSAL_RATE);
            let factor = (per_second / wanted).clamp(DELAY_STEP.0, DELAY_STEP.1);
            let max_delay = wait.max(MAX_CONTENTION_DELAY);
            let before = (refusals.ask_permits / rate).min(max_delay.as_secs_f64());
            let delay = Duration::from_secs_f64(before).max(wait).mul_f64(factor);
            let delay = delay.clamp(wait, max_delay);
            refusals.ask_permits = delay.as_secs_f64() * rate;
            return delay;
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        let next = refusals.next_return.max(now + wait) + interval;
        refusals.next_return = next.min(now + MAX_RETURN_DELAY);
        refusals.next_return.saturating_duration_since(now)
    }
}

/// What becomes of a request.
enum Decision {
    Permit(EndpointKey, CompactString),
    Refusal {
        /// Time until a permit is due.
        wait: Duration,
        /// Permits per second.
        rate: f64,
    },
}

/// Decides on a request with `ahead` others before it. Returns `None` if it waits.
fn decide(
    now: Instant,
    pool: &Pool,
    request: &Request,
    ahead: u32,
    share: f64,
) -> Option<Decision> {
    let keys = request.endpoints.iter().filter_map(|id| pool.key(id));
    let states = keys.filter_map(|key| Some((key, pool.get(key)?)));
    let states = states.filter(|(_, state)| state.accepts_work(now));
    let states = states.collect::<Vec<_>>();
    let free = states.iter().filter(|(_, state)| state.has_permit(now));
    if let Some((key, state)) = free.min_by_key(|(_, state)| state.permit_due) {
        return Some(Decision::Permit(*key, state.endpoint.id.clone()));
    }
    let Some(due) = states
        .iter()
        .filter_map(|(_, state)| state.permit_due)
        .min()
    else {
        return Some(Decision::Refusal {
            wait: UNKNOWN_DELAY,
            rate: 1.0,
        });
    };
    let rate = pool.permit_rate(states.iter().map(|(key, _)| *key));
    let rate = rate.unwrap_or(1.0) * share;
    let wait =
        due.saturating_duration_since(now) + Duration::from_secs_f64(f64::from(ahead) / rate);
    (now + wait > request.waits_until).then_some(Decision::Refusal { wait, rate })
}
