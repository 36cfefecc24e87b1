//! Assigns endpoints to the model requests of all entry hosts.
//!
//! A host that sees one request in thirty knows little of what the engines
//! have to do; its reservations are refused, and prompts queue at one prefill
//! endpoint while others are idle. So one host, the service's scheduler,
//! assigns endpoints for all of them, from an exact count of what it gave out.
//! Nothing relies on there being one: reservations at the engines decide, and
//! a host that cannot reach its scheduler chooses by itself.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::Rng;

use cranberryridge_wire::Map;

use super::balance::{self, Demand, Meter};
use super::member::{Endpoint, Phase};
use super::place::{Need, Prefiller, Scope};
use super::pool::{self, EndpointKey, Failure, Pool, Work};
use super::queue::{Entry, Queue, Ticket, FIRST_EVENT_LEAD_TIME};
use super::route::Engine;
use super::surge::{self, Arrivals, SURGE_DURATION};

/// A request, as its host numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id {
    /// The host's link.
    pub link: u64,
    /// The request's number at the host.
    pub number: u64,
}

/// A request that needs endpoints.
#[derive(Clone, Debug)]
pub struct Request {
    /// The service.
    pub service: CompactString,
    /// Failure domain of the request's host.
    pub domain: CompactString,
    /// What it needs.
    pub need: Need,
    /// Until when its first event is on time.
    pub first_event_target: Instant,
    /// Until when its first event is of use.
    pub first_event_deadline: Instant,
    /// Whether its caller was refused before, as far as can be told.
    pub was_refused: bool,
    /// Ids of endpoints that it failed at.
    pub avoid: Vec<CompactString>,
}

/// What a request gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Endpoints.
    Grant(Grant),
    /// Nothing, as there will be no room in time.
    Refusal(Saturation),
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Saturation {
    /// When there is likely to be room.
    pub retry_after: Duration,
    /// Requests that wait.
    pub queued: usize,
    /// Work that arrives in a second, in token seconds.
    pub arrival_rate: f64,
    /// Work that the engines do in a second, in token seconds.
    pub capacity: f64,
}

/// Endpoints for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Id of the endpoint that generates.
    pub decode: CompactString,
    /// Id of the endpoint that reads the prompt, unless the first one does.
    pub prefill: Option<CompactString>,
    /// Predicted time until the prompt is read.
    pub prefill_time: Duration,
}

/// What a scheduler knows.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// The endpoints and what they were given.
    pool: Pool,
    /// Requests that wait, by service.
    backlogs: Map<CompactString, Backlog>,
    /// Service and ticket of each request that waits.
    tickets: Map<Id, (CompactString, Ticket)>,
    /// Requests that have endpoints.
    leases: Map<Id, Lease>,
    /// Work that callers ask for, by service.
    meters: Map<CompactString, Meter>,
    /// How that is averaged.
    balance: balance::Settings,
}

/// Requests of one service that wait.
#[derive(Debug, Default)]
struct Backlog {
    /// Their order.
    queue: Queue,
    /// The requests.
    requests: Map<Ticket, (Id, Request)>,
    /// Work that has arrived lately.
    arrivals: Option<Arrivals>,
}

/// Endpoints that a request has.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Its work at the endpoint that generates.
    decode: Work,
    /// Its work at the one that reads the prompt, until that is done.
    prefill: Option<Work>,
    /// Predicted time until the prompt is read.
    prefill_time: Duration,
}

impl Scheduler {
    /// A scheduler that knows no endpoint.
    pub fn new(pool: pool::Settings, balance: balance::Settings) -> Self {
        Self {
            pool: Pool::new(pool),
            balance,
            ..Self::default()
        }
    }

    /// Takes the endpoints as listed.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.pool.update(endpoints);
    }

    /// Notes that an endpoint is being moved to another stage.
    pub fn mark_moving(&mut self, until: Instant, endpoint: &str, phase: Phase) {
        self.pool.mark_moving(until, endpoint, phase);
    }

    /// Whether a service has an endpoint.
    pub fn has_endpoints(&self, service: &str) -> bool {
        !self.pool.endpoints(service).is_empty()
    }

    /// Has a request wait for its turn.
    pub fn enqueue(&mut self, now: Instant, id: Id, request: Request, engine: Engine) {
        self.finish(id, None);
        let backlog = self.backlogs.entry(request.service.clone()).or_default();
        let arrivals = &mut backlog.arrivals;
        let arrivals = arrivals.get_or_insert_with(|| Arrivals::new(now));
        let token_time = self.pool.capacity(now, &request.service, engine).1;
        arrivals.add(
            now,
            request.need.size(),
            estimate_work(request.need, token_time),
        );
        let ticket = backlog.queue.push(Entry {
            first_event_target: request.first_event_target,
            first_event_deadline: request.first_event_deadline,
            size: request.need.size(),
        });
        self.tickets.insert(id, (request.service.clone(), ticket));
        backlog.requests.insert(ticket, (id, request));
    }

    /// Counts a request that arrived towards its service's demand.
    pub fn record_arrival(
        &mut self,
        now: Instant,
        service: &CompactString,
        engine: Engine,
        need: Need,
    ) {
        let meter = self.meters.entry(service.clone());
        let meter = meter.or_insert_with(|| Meter::new(self.balance, now));
        meter.add(now, &self.pool, engine, need);
    }

    /// Work that callers ask for, by service.
    pub fn demands(&self, now: Instant) -> Vec<(CompactString, Demand)> {
        let demands = self.meters.iter();
        let demands = demands.map(|(service, meter)| (service.clone(), meter.demand(now)));
        demands.collect()
    }

    /// Whether a request waits.
    pub fn is_queued(&self, id: Id) -> bool {
        self.tickets.contains_key(&id)
    }

    /// Whether any request waits.
    pub fn has_queued(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Services with requests that wait.
    pub fn waiting_services(&self) -> Vec<CompactString> {
        let backlogs = self.backlogs.iter();
        let waiting = backlogs.filter(|(_, backlog)| !backlog.queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// The next answer to a request of a service, if there is one to give.
    pub fn next_answer<R: Rng>(
        &mut self,
        now: Instant,
        service: &str,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Id, Answer)> {
        let backlog = self.backlogs.get(service)?;
        let ticket = backlog.queue.next(now, FIRST_EVENT_LEAD_TIME)?;
        let (id, request) = backlog.requests.get(&ticket)?;
        let id = *id;
        if let Some((grant, lease)) = self.choose_endpoints(now, request, engine, random) {
            self.dequeue(id);
            self.pool.start(lease.decode);
            if let Some(work) = lease.prefill {
                self.pool.start(work);
            }
            self.leases.insert(id, lease);
            return Some((id, Answer::Grant(grant)));
        }
        let (id, saturation) = self.find_unservable(now, backlog, service, engine)?;
        self.dequeue(id);
        Some((id, Answer::Refusal(saturation)))
    }

    /// A request that will not have room in time, and when there will be some.
    fn find_unservable(
        &self,
        now: Instant,
        backlog: &Backlog,
        service: &str,
        engine: Engine,
    ) -> Option<(Id, Saturation)> {
        let (capacity, token_time) = self.pool.capacity(now, service, engine);
        let arrivals = backlog.arrivals.as_ref();
        let total_rate = arrivals.map_or(0.0, |arrivals| arrivals.total_rate(now));
        let mut ahead = 0.0;
        let mut found = None;
        for (ticket, entry) in backlog.queue.ordered(now, FIRST_EVENT_LEAD_TIME) {
            let (id, request) = backlog.requests.get(&ticket)?;
            let overtaking = match arrivals {
                Some(arrivals) if !entry.is_late(now, FIRST_EVENT_LEAD_TIME) => {
                    arrivals.rate_below(now, entry.size)
                }
                _ => total_rate,
            };
            // One that was told to come back has no other chance.
            let overtaking = if request.was_refused { 0.0 } else { overtaking };
            let wait = surge::predict_wait(ahead, overtaking, capacity);
            if found.is_none() && wait.is_none_or(|wait| now + wait >= entry.first_event_deadline) {
                found = Some(*id);
            }
            ahead += estimate_work(request.need, token_time);
        }
        let clear = surge::predict_wait(ahead, total_rate, capacity).unwrap_or(SURGE_DURATION);
        let saturation = Saturation {
            retry_after: clear.max(SURGE_DURATION),
            queued: backlog.queue.len(),
            arrival_rate: total_rate,
            capacity,
        };
        Some((found?, saturation))
    }

    /// Takes memory that another scheduler assigned.
    pub fn restore_lease(&mut self, id: Id, endpoint: &str, kv_tokens: u32) {
        self.finish(id, None);
        let Some(endpoint) = self.pool.key(endpoint) else {
            return;
        };
        let decode = Work {
            endpoint,
            prefill_tokens: 0,
            kv_tokens,
        };
        self.pool.start(decode);
        let lease = Lease {
            decode,
            prefill: None,
            prefill_time: Duration::ZERO,
        };
        self.leases.insert(id, lease);
    }

    /// Notes that a request's prompt was read at its prefill endpoint.
    pub fn finish_prefill(&mut self, now: Instant, id: Id, took: Duration) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        if let Some(work) = lease.prefill.take() {
            self.pool.record_outcome(now, work.endpoint, true);
            let work = self
                .pool
                .finish_prefill(now, work, lease.prefill_time, took);
            lease.prefill = Some(work);
        }
    }

    /// Notes that a request's run has made its first event.
    pub fn record_first_event(&mut self, now: Instant, id: Id) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        self.pool.record_outcome(now, lease.decode.endpoint, true);
        if lease.decode.prefill_tokens > 0 {
            // What reading beside streams takes says little of the endpoint.
            lease.decode =
                self.pool
                    .finish_prefill(now, lease.decode, Duration::ZERO, lease.prefill_time);
        }
        if let Some(work) = lease.prefill.take() {
            self.pool.finish(work);
        }
    }

    /// Ends a request's wait or its use of endpoints, with the mean time
    /// between two events of a run that ended well.
    pub fn finish(&mut self, id: Id, between: Option<(Instant, Duration)>) {
        self.dequeue(id);
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if let Some((now, between)) = between {
            self.pool
                .record_event_interval(now, lease.decode.endpoint, between);
        }
        self.pool.finish(lease.decode);
        if let Some(work) = lease.prefill {
            self.pool.finish(work);
        }
    }

    /// Ends everything of a host whose link is gone.
    pub fn remove_link(&mut self, link: u64) {
        let waiting = self.tickets.keys().chain(self.leases.keys());
        let own = waiting.filter(|id| id.link == link).copied();
        for id in own.collect::<Vec<_>>() {
            self.finish(id, None);
        }
    }

    /// Notes that an endpoint did not serve.
    pub fn record_failure(&mut self, now: Instant, endpoint: &str, failure: Failure) {
        if let Some(key) = self.pool.key(endpoint) {
            self.pool.record_failure(now, key, failure);
        }
    }

    /// Chooses endpoints for a request.
    fn choose_endpoints<R: Rng>(
        &self,
        now: Instant,
        request: &Request,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Grant, Lease)> {
        let avoid = request.avoid.iter().filter_map(|id| self.pool.key(id));
        let avoid = avoid.collect::<Vec<EndpointKey>>();
        let scope = Scope {
            service: &request.service,
            domain: &request.domain,
            avoid: &avoid,
        };
        let need = request.need;
        let key = self.pool.choose_decoder(now, scope, engine, need, random)?;
        let prefiller = self
            .pool
            .choose_prefiller(now, scope, engine, need, key, random)?;
        let id = |key| Some(self.pool.get(key)?.endpoint.id.clone());
        let (prefill, prefill_time) = match prefiller {
            Prefiller::Remote {
                prefill,
                prefill_time,
            } => (Some(prefill), prefill_time),
            Prefiller::Local { prefill_time } => (None, prefill_time),
        };
        let grant = Grant {
            decode: id(key)?,
            prefill: match prefill {
                Some(prefill) => Some(id(prefill)?),
                None => None,
            },
            prefill_time,
        };
        let lease = Lease {
            decode: Work {
                endpoint: key,
                prefill_tokens: prefill.map_or(need.prompt_tokens, |_| 0),
                kv_tokens: need.kv_tokens(),
            },
            prefill: prefill.map(|endpoint| Work {
                endpoint,
                prefill_tokens: need.prompt_tokens,
                kv_tokens: need.prompt_tokens,
            }),
            prefill_time,
        };
        Some((grant, lease))
    }

    /// Takes a request off its queue.
    fn dequeue(&mut self, id: Id) {
        let Some((service, ticket)) = self.tickets.remove(&id) else {
            return;
        };
        if let Some(backlog) = self.backlogs.get_mut(&service) {
            backlog.queue.remove(ticket);
            backlog.requests.remove(&ticket);
        }
    }
}

/// Memory that a request takes, for as long as it takes it, in token seconds.
fn estimate_work(need: Need, token_time: Duration) -> f64 {
    let duration = TIME_TO_FIRST_EVENT.as_secs_f64()
        + f64::from(need.output_tokens) * token_time.as_secs_f64();
    f64::from(need.kv_tokens()) * duration
}

/// Time from room to the first event: a prompt's reading and the way to it.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(250);
