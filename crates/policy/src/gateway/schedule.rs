//! Assigns endpoints to the model requests of all entry hosts.
//!
//! An entry host that sees one request in thirty has a poor estimate of the
//! load on the engines: its reservations are refused, and prompts queue at one
//! prefill endpoint while others are idle. Therefore one host, the scheduler of
//! the service, assigns endpoints for all hosts and tracks its assignments
//! exactly. Correctness does not depend on a single scheduler: the engines'
//! reservations are authoritative, and a host that cannot reach its scheduler
//! chooses by itself.

use std::collections::BTreeMap;
use std::iter;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::Rng;

use cranberryridge_wire::Map;

use super::account::Urgency;
use super::balance::{self, Demand, Meter};
use super::fairness;
use super::limit::Limit;
use super::member::{Endpoint, Phase};
use super::permit;
use super::place::{run_time, Need, Prefiller, Scope};
use super::pool::{self, EndpointKey, Failure, Pool, Work};
use super::queue::{Entry, Queue, Ticket, FIRST_EVENT_LEAD_TIME};
use super::route::Engine;
use super::surge::{self, Arrivals, SURGE_DURATION};

/// Identifies a request at the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Id {
    /// Number of the link to the requesting host.
    pub link: u64,
    /// Number of the request, assigned by its host.
    pub number: u64,
}

/// A request to be assigned endpoints.
#[derive(Clone, Debug)]
pub struct Request {
    /// Service that must serve the request.
    pub service: CompactString,
    /// Failure domain of the requesting host.
    pub domain: CompactString,
    /// Name of the caller's client account, or empty if it has none.
    pub account: CompactString,
    /// Rank among other requests.
    pub urgency: Urgency,
    /// Rank of the account, as [`Scheduler::record_arrival`] returned it.
    pub excess: u32,
    /// Tokens and event gap that determine the load of the request.
    pub need: Need,
    /// Time by which the first event must arrive to be on time.
    pub first_event_target: Instant,
    /// Time after which a first event is useless to the caller.
    pub first_event_deadline: Instant,
    /// Whether the request is known to be a retry after a refusal.
    pub was_refused: bool,
    /// Ids of endpoints at which the request failed before.
    pub excluded: Vec<CompactString>,
    /// Software version that the endpoints must have, or `None` if any will do.
    pub version: Option<CompactString>,
    /// Time at which the scheduler received the request.
    pub requested_at: Instant,
}

/// The scheduler's answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Endpoints were assigned.
    Grant(Grant),
    /// No room will be free before the deadline.
    Refusal(Saturation),
}

/// Load of a service that has no room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Saturation {
    /// Predicted time until there is room, at least [`SURGE_DURATION`].
    pub retry_after: Duration,
    /// Number of queued requests.
    pub queued: usize,
    /// Work that arrives per second, in token-seconds.
    pub arrival_rate: f64,
    /// Work that the engines complete per second, in token-seconds.
    pub capacity: f64,
}

/// Endpoints assigned to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Id of the decode endpoint.
    pub decode: CompactString,
    /// Id of the prefill endpoint, or `None` if the decode endpoint reads the
    /// prompt.
    pub prefill: Option<CompactString>,
    /// Predicted time until the prompt has been read.
    pub prefill_time: Duration,
    /// Whether the grant permits a request to the decode endpoint, which has named a limit.
    pub decode_permit: bool,
    /// Whether the grant permits a request to the prefill endpoint.
    pub prefill_permit: bool,
    /// Time for which the request waited.
    pub waited: Duration,
}

/// Assigns endpoints and tracks their leases and queues.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Endpoints with the work assigned to them.
    pool: Pool,
    /// Queued requests by service.
    backlogs: Map<CompactString, Backlog>,
    /// Service and ticket of each queued request.
    tickets: Map<Id, (CompactString, Ticket)>,
    /// Requests with assigned endpoints.
    leases: Map<Id, Lease>,
    /// Requests for permits.
    permits: permit::Queue,
    /// Parts of the limits of services' endpoints for which this scheduler gives permits.
    permit_shares: Map<CompactString, f64>,
    /// Offered load by service.
    meters: Map<CompactString, Meter>,
    /// Settings of the meters.
    balance: balance::Settings,
}

/// Queued requests of one service.
#[derive(Debug, Default)]
struct Backlog {
    /// Order of the requests.
    queue: Queue,
    requests: Map<Ticket, (Id, Request)>,
    /// Recently arrived work, by urgency.
    arrivals: BTreeMap<Urgency, Arrivals>,
    /// Work that recently got room, by urgency.
    granted: BTreeMap<Urgency, Arrivals>,
    /// Order of the client accounts.
    accounts: fairness::Clock,
}

/// Queued requests of one service that need a software version.
#[derive(Clone, Copy, Debug)]
struct VersionLoad {
    /// KV cache available at endpoints of the version, in tokens.
    capacity: f64,
    /// Work of the requests, in token-seconds.
    work: f64,
}

impl Backlog {
    /// Returns the work per second that arrives and goes before a request that can be on time.
    fn overtaking_rate(&self, now: Instant, entry: Entry) -> f64 {
        let more_urgent = self.arrivals.range(..entry.urgency);
        let more_urgent = more_urgent.map(|(_, arrivals)| arrivals.total_rate(now));
        let equal = self.arrivals.get(&entry.urgency);
        let equal = equal.map_or(0.0, |arrivals| {
            if entry.excess > 0 {
                arrivals.total_rate(now)
            } else {
                arrivals.rate_below(now, entry.size)
            }
        });
        more_urgent.sum::<f64>() + equal
    }
}

/// Part of the room that the least urgent requests get while others wait.
const MIN_GRANTED_SHARE: f64 = 0.1;

/// Number of requests behind one that may not use all endpoints that are
/// considered in its place. Bounds the time of a decision.
const MAX_PASSED_OVER: usize = 8;

/// Endpoints that a request occupies.
#[derive(Clone, Copy, Debug)]
struct Lease {
    /// Work at the decode endpoint.
    decode: Work,
    /// Work at the prefill endpoint, until the first event.
    prefill: Option<Work>,
    /// Predicted time until the prompt has been read.
    prefill_time: Duration,
}

impl Scheduler {
    /// Creates a scheduler without endpoints.
    pub fn new(pool: pool::Settings, balance: balance::Settings) -> Self {
        Self {
            pool: Pool::new(pool),
            balance,
            ..Self::default()
        }
    }

    /// Replaces the list of endpoints.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        self.pool.update(endpoints);
    }

    /// Marks an endpoint as moving to another stage, at most until `until`.
    pub fn mark_moving(&mut self, until: Instant, endpoint: &str, phase: Phase) {
        self.pool.mark_moving(until, endpoint, phase);
    }

    /// Returns whether the service has any endpoint.
    pub fn has_endpoints(&self, service: &str) -> bool {
        !self.pool.endpoints(service).is_empty()
    }

    /// Queues a request. Replaces an earlier one with the same id.
    pub fn enqueue(&mut self, now: Instant, id: Id, request: Request, engine: Engine) {
        self.finish(id, None);
        let backlog = self.backlogs.entry(request.service.clone()).or_default();
        let arrivals = backlog.arrivals.entry(request.urgency);
        let arrivals = arrivals.or_insert_with(|| Arrivals::new(now));
        let token_time = self.pool.capacity(now, &request.service, None, engine).1;
        arrivals.add(
            now,
            request.need.size(),
            estimate_work(request.need, token_time),
        );
        let ticket = backlog.queue.push(Entry {
            first_event_target: request.first_event_target,
            first_event_deadline: request.first_event_deadline,
            size: request.need.size(),
            urgency: request.urgency,
            excess: request.excess,
        });
        self.tickets.insert(id, (request.service.clone(), ticket));
        backlog.requests.insert(ticket, (id, request));
    }

    /// Counts a new request in the demand of its service and of its client account, given the
    /// tokens per second that the account was sold. Returns the rank of the account.
    pub fn record_arrival(
        &mut self,
        now: Instant,
        service: &CompactString,
        engine: Engine,
        need: Need,
        account: Option<(&str, Option<f64>)>,
    ) -> u32 {
        let meter = self.meters.entry(service.clone());
        let meter = meter.or_insert_with(|| Meter::new(self.balance, now));
        meter.add(now, &self.pool, engine, need);
        let Some((name, sold)) = account else {
            return 0;
        };
        let backlog = self.backlogs.entry(service.clone()).or_default();
        backlog.accounts.charge(now, name, sold, need.kv_tokens())
    }

    /// Returns the offered load by service.
    pub fn demands(&self, now: Instant) -> Vec<(CompactString, Demand)> {
        let demands = self.meters.iter();
        let demands = demands.map(|(service, meter)| (service.clone(), meter.demand(now)));
        demands.collect()
    }

    /// Queues a request for a permit.
    pub fn request_permit(&mut self, id: Id, request: permit::Request) {
        self.permits.push(id, request);
    }

    /// Answers the next request for a permit that can be given or must be refused. Returns
    /// `None` if all queued requests have to wait.
    pub fn next_permit(&mut self, now: Instant) -> Option<(Id, permit::Answer)> {
        let shares = &self.permit_shares;
        let share = |service: &str| permit_share(shares, service);
        self.permits.next_answer(now, &mut self.pool, share)
    }

    /// Sets the part of the limits of a service's endpoints for which this scheduler gives
    /// permits, 1 by default. Above 0.
    pub fn set_permit_share(&mut self, service: &str, share: f64) {
        self.permit_shares.insert(service.into(), share);
    }

    fn permit_share(&self, service: &str) -> f64 {
        permit_share(&self.permit_shares, service)
    }

    /// Records what another host knows of an endpoint's limit.
    pub fn merge_limit(&mut self, now: Instant, endpoint: &str, limit: Limit) {
        if let Some(key) = self.pool.key(endpoint) {
            self.pool.merge_limit(now, key, limit);
        }
    }

    /// Returns the services of which an endpoint has a limit.
    pub fn limited_services(&self) -> Vec<CompactString> {
        let states = self.pool.states.values();
        let limited = states.filter(|state| state.limit.rate.is_some());
        let mut services = limited
            .map(|state| state.endpoint.service.clone())
            .collect::<Vec<_>>();
        services.sort();
        services.dedup();
        services
    }

    /// Returns whether the request is queued.
    pub fn is_queued(&self, id: Id) -> bool {
        self.tickets.contains_key(&id) || self.permits.contains(id)
    }

    /// Returns whether any request is queued.
    pub fn has_queued(&self) -> bool {
        !self.tickets.is_empty() || !self.permits.is_empty()
    }

    /// Returns the services that have queued requests.
    pub fn waiting_services(&self) -> Vec<CompactString> {
        let backlogs = self.backlogs.iter();
        let waiting = backlogs.filter(|(_, backlog)| !backlog.queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// Answers the next request of a service that can be granted or must be
    /// refused, and removes it from the queue. Returns `None` if all queued
    /// requests have to wait.
    pub fn next_answer<R: Rng>(
        &mut self,
        now: Instant,
        service: &str,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Id, Answer)> {
        self.prefer_starved(now, service);
        let backlog = self.backlogs.get(service)?;
        if let Some((id, grant, lease)) = self.find_servable(now, backlog, engine, random) {
            self.record_granted(now, id);
            self.dequeue(id);
            let share = self.permit_share(service);
            for work in iter::once(lease.decode).chain(lease.prefill) {
                self.pool.start(work);
                self.pool.take_permit(now, work.endpoint, share);
            }
            self.leases.insert(id, lease);
            return Some((id, Answer::Grant(grant)));
        }
        let (id, saturation) = self.find_unservable(now, backlog, service, engine)?;
        self.dequeue(id);
        Some((id, Answer::Refusal(saturation)))
    }

    /// Lets the least urgent requests go first while they are late and have got less than their
    /// least part of the room.
    fn prefer_starved(&mut self, now: Instant, service: &str) {
        let Some(backlog) = self.backlogs.get_mut(service) else {
            return;
        };
        let last = backlog.queue.last_late_urgency(now, FIRST_EVENT_LEAD_TIME);
        let preferred = last.filter(|urgency| {
            let total = backlog
                .granted
                .values()
                .map(|granted| granted.total_rate(now));
            let own = backlog.granted.get(urgency);
            let own = own.map_or(0.0, |granted| granted.total_rate(now));
            own < MIN_GRANTED_SHARE * total.sum::<f64>()
        });
        backlog.queue.set_preferred(preferred);
    }

    /// Counts a queued request as one that gets room.
    fn record_granted(&mut self, now: Instant, id: Id) {
        let Some((service, ticket)) = self.tickets.get(&id) else {
            return;
        };
        let Some(backlog) = self.backlogs.get_mut(service) else {
            return;
        };
        let Some((_, request)) = backlog.requests.get(ticket) else {
            return;
        };
        let granted = backlog.granted.entry(request.urgency);
        let granted = granted.or_insert_with(|| Arrivals::new(now));
        let tokens = request.need.kv_tokens();
        granted.add(now, request.need.size(), f64::from(tokens));
    }

    /// Finds the first request that gets endpoints now. A request that must
    /// avoid some endpoints, or needs a software version, does not hold up those behind it.
    fn find_servable<R: Rng>(
        &self,
        now: Instant,
        backlog: &Backlog,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Id, Grant, Lease)> {
        let first = backlog.queue.next(now, FIRST_EVENT_LEAD_TIME)?;
        // The queue is sorted only if the first request is passed over.
        let ordered = iter::once_with(|| backlog.queue.ordered(now, FIRST_EVENT_LEAD_TIME));
        let others = ordered.flatten().map(|(ticket, _)| ticket).skip(1);
        let mut full_versions = Vec::new();
        let mut passed_over = 0;
        for ticket in iter::once(first).chain(others) {
            let (id, request) = backlog.requests.get(&ticket)?;
            let version = request.version.as_deref();
            // However many requests wait for one version, others are considered.
            if version.is_some_and(|version| full_versions.contains(&version)) {
                continue;
            }
            let chosen = self.choose_endpoints(now, request, engine, random);
            if let Some((grant, lease)) = chosen {
                return Some((*id, grant, lease));
            }
            passed_over += 1;
            if !self.is_restricted(now, request) || passed_over > MAX_PASSED_OVER {
                return None;
            }
            if request.excluded.is_empty() {
                full_versions.extend(version);
            }
        }
        None
    }

    /// Returns the listed endpoints that a request must avoid.
    fn excluded(&self, request: &Request) -> Vec<EndpointKey> {
        let excluded = request.excluded.iter().filter_map(|id| self.pool.key(id));
        excluded.collect()
    }

    /// Returns whether a request may not use an endpoint that others may use.
    fn is_restricted(&self, now: Instant, request: &Request) -> bool {
        let version = request.version.as_ref();
        let excluded = self.excluded(request);
        let mut states = excluded.iter().filter_map(|key| self.pool.get(*key));
        version.is_some_and(|version| self.pool.has_other_version(&request.service, version))
            || states.any(|state| state.accepts_work(now))
    }

    /// Finds the first request that will not get room before its deadline, and
    /// predicts when there will be room.
    fn find_unservable(
        &self,
        now: Instant,
        backlog: &Backlog,
        service: &str,
        engine: Engine,
    ) -> Option<(Id, Saturation)> {
        let (capacity, token_time) = self.pool.capacity(now, service, None, engine);
        let total_rates = backlog.arrivals.values();
        let total_rate = total_rates.map(|rates| rates.total_rate(now)).sum::<f64>();
        let decoders = || self.pool.active_decoders(now, service);
        let share = self.permit_share(service);
        let permit_rate = self.pool.permit_rate(decoders());
        let mut permit_times = self.pool.permit_times(now, decoders(), share);
        let mut work_ahead = 0.0;
        let mut loads = Map::<&str, VersionLoad>::default();
        let mut unservable = None;
        let ordered = backlog.queue.ordered(now, FIRST_EVENT_LEAD_TIME);
        for (ticket, entry) in ordered {
            let (id, request) = backlog.requests.get(&ticket)?;
            let overtaking_rate = if entry.is_late(now, FIRST_EVENT_LEAD_TIME) {
                total_rate
            } else {
                backlog.overtaking_rate(now, entry)
            };
            // A caller that returns after a refusal is not refused again because
            // of smaller requests that may overtake it.
            let overtaking_rate = if request.was_refused {
                0.0
            } else {
                overtaking_rate
            };
            let work = estimate_work(request.need, token_time);
            let version = request.version.as_deref();
            let load = version.map(|version| {
                let new = || self.version_load(now, service, version, engine);
                loads.entry(version).or_insert_with(new)
            });
            let is_hopeless = version.is_some_and(|version| {
                let excluded = self.excluded(request);
                let found = self.pool.version_service(now, service, version, &excluded);
                found.is_hopeless(now.saturating_duration_since(request.requested_at))
            });
            let load = load.filter(|load| load.capacity < capacity);
            let wait = match load {
                None => {
                    let wait = surge::predict_wait(work_ahead, overtaking_rate, capacity);
                    work_ahead += work;
                    wait
                }
                Some(load) => {
                    let part = load.capacity / capacity;
                    let work_ahead = work_ahead * part + load.work;
                    load.work += work;
                    surge::predict_wait(work_ahead, overtaking_rate * part, load.capacity)
                }
            };
            let permit_at = permit_times.next().unwrap_or(now);
            // Once it is late, those that can be on time go first. If they use all permits,
            // it never gets one. One that is sent meanwhile may take the last permit in time.
            let is_overtaken = permit_rate.is_some_and(|rate| {
                let next_permit_at = permit_at + Duration::from_secs_f64(1.0 / (rate * share));
                total_rate >= rate * share * work
                    && entry.is_late(next_permit_at, FIRST_EVENT_LEAD_TIME)
            });
            if unservable.is_none()
                && (is_overtaken
                    || is_hopeless
                    || wait
                        .is_none_or(|wait| permit_at.max(now + wait) >= entry.first_event_deadline))
            {
                unservable = Some(*id);
            }
        }
        work_ahead += loads.values().map(|load| load.work).sum::<f64>();
        let drain_time = match permit_times.next() {
            Some(permit_at) => permit_at.saturating_duration_since(now),
            None => surge::predict_wait(work_ahead, total_rate, capacity).unwrap_or(SURGE_DURATION),
        };
        let saturation = Saturation {
            retry_after: drain_time.max(SURGE_DURATION),
            queued: backlog.queue.len(),
            arrival_rate: total_rate,
            capacity,
        };
        Some((unservable?, saturation))
    }

    /// Returns the load of the requests that need a software version, before any of them.
    fn version_load(
        &self,
        now: Instant,
        service: &str,
        version: &str,
        engine: Engine,
    ) -> VersionLoad {
        let (capacity, _) = self.pool.capacity(now, service, Some(version), engine);
        VersionLoad {
            // The only engine of a version may have failed just now.
            capacity: capacity.max(f64::from(engine.kv_capacity)),
            work: 0.0,
        }
    }

    /// Records KV cache that another scheduler assigned to a request, as reported
    /// by the requesting host. Ignores unknown endpoints.
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

    /// Records that the prefill endpoint has read the prompt, `took` after the
    /// request was sent.
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

    /// Records the first event of a run, which frees the prefill endpoint.
    pub fn record_first_event(&mut self, now: Instant, id: Id) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        self.pool.record_outcome(now, lease.decode.endpoint, true);
        if lease.decode.prefill_tokens > 0 {
            // The time to read a prompt beside running streams is no measure of
            // the endpoint's speed, so the expected time is zero.
            lease.decode =
                self.pool
                    .finish_prefill(now, lease.decode, Duration::ZERO, lease.prefill_time);
        }
        if let Some(work) = lease.prefill.take() {
            self.pool.finish(work);
        }
    }

    /// Removes a request from the queue or ends its lease. `event_interval` holds
    /// the end of a successful run and the mean time between its events, or is
    /// `None` if there is nothing to learn from the run.
    pub fn finish(&mut self, id: Id, event_interval: Option<(Instant, Duration)>) {
        self.dequeue(id);
        self.permits.remove(id);
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if let Some((now, interval)) = event_interval {
            self.pool
                .record_event_interval(now, lease.decode.endpoint, interval);
        }
        self.pool.finish(lease.decode);
        if let Some(work) = lease.prefill {
            self.pool.finish(work);
        }
    }

    /// Removes all requests of a host whose link is closed.
    pub fn remove_link(&mut self, link: u64) {
        let waiting = self.tickets.keys().chain(self.leases.keys());
        let own = waiting.filter(|id| id.link == link).copied();
        for id in own.collect::<Vec<_>>() {
            self.finish(id, None);
        }
        self.permits.remove_link(link);
    }

    /// Records that an endpoint failed to serve a request.
    pub fn record_failure(&mut self, now: Instant, endpoint: &str, failure: Failure) {
        if let Some(key) = self.pool.key(endpoint) {
            self.pool.record_failure(now, key, failure);
        }
    }

    /// Records what one start of an endpoint said about itself to another host: whether it
    /// is shutting down, and for how long that host must send it nothing. Other
    /// hosts may still use a resting endpoint.
    pub fn record_notice(
        &mut self,
        now: Instant,
        endpoint: &str,
        started_ms: u64,
        is_leaving: bool,
        rest: Duration,
    ) {
        let Some(key) = self.pool.key_of_start(endpoint, started_ms) else {
            return;
        };
        if is_leaving {
            self.pool.mark_leaving(key);
        }
        if !rest.is_zero() {
            self.pool.avoid(now, key, rest);
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
        let excluded = self.excluded(request);
        let scope = Scope {
            service: &request.service,
            domain: &request.domain,
            excluded: &excluded,
            version: request.version.as_deref(),
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
            decode_permit: self.pool.is_limited(key),
            prefill_permit: prefill.is_some_and(|key| self.pool.is_limited(key)),
            waited: now.saturating_duration_since(request.requested_at),
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

/// Returns the part of the limits of a service's endpoints for which permits are given.
fn permit_share(shares: &Map<CompactString, f64>, service: &str) -> f64 {
    shares.get(service).copied().unwrap_or(1.0)
}

/// Estimates a request's memory multiplied by its duration, in token-seconds.
fn estimate_work(need: Need, token_time: Duration) -> f64 {
    let duration = run_time(need.output_tokens, token_time);
    f64::from(need.kv_tokens()) * duration.as_secs_f64()
}
