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
use super::place::{Need, Reader, Scope};
use super::pool::{self, EndpointKey, Pool, Trouble, Work};
use super::queue::{Entry, Queue, Ticket, LEAD};
use super::route::Engine;
use super::surge::{self, Arrivals, SURGE};

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
pub struct Ask {
    /// The service.
    pub service: CompactString,
    /// Failure domain of the request's host.
    pub domain: CompactString,
    /// What it needs.
    pub need: Need,
    /// Until when its first event is on time.
    pub target: Instant,
    /// Until when its first event is of use.
    pub patience: Instant,
    /// Whether its caller was refused before, as far as can be told.
    pub returns: bool,
    /// Ids of endpoints that it failed at.
    pub avoid: Vec<CompactString>,
}

/// What a request gets.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Endpoints.
    Grant(Grant),
    /// Nothing, as there will be no room in time.
    Refusal(Outlook),
}

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// When there is likely to be room.
    pub wait: Duration,
    /// Requests that wait.
    pub waiting: usize,
    /// Work that arrives in a second, in token seconds.
    pub arriving: f64,
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
    pub ready: Duration,
}

/// What a scheduler knows.
#[derive(Debug, Default)]
pub struct Schedule {
    /// The endpoints and what they were given.
    pool: Pool,
    /// Requests that wait, by service.
    queues: Map<CompactString, Waiting>,
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
struct Waiting {
    /// Their order.
    queue: Queue,
    /// The requests.
    rows: Map<Ticket, (Id, Ask)>,
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
    ready: Duration,
}

impl Schedule {
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
    pub fn moving(&mut self, until: Instant, endpoint: &str, phase: Phase) {
        self.pool.moving(until, endpoint, phase);
    }

    /// Whether a service has an endpoint.
    pub fn serves(&self, service: &str) -> bool {
        !self.pool.of(service).is_empty()
    }

    /// Has a request wait for its turn.
    pub fn ask(&mut self, now: Instant, id: Id, ask: Ask, engine: Engine) {
        self.finish(id, None);
        let waiting = self.queues.entry(ask.service.clone()).or_default();
        let arrivals = &mut waiting.arrivals;
        let arrivals = arrivals.get_or_insert_with(|| Arrivals::new(now));
        let token = self.pool.capacity(now, &ask.service, engine).1;
        arrivals.add(now, ask.need.size(), work(ask.need, token));
        let ticket = waiting.queue.enter(Entry {
            target: ask.target,
            patience: ask.patience,
            size: ask.need.size(),
        });
        self.tickets.insert(id, (ask.service.clone(), ticket));
        waiting.rows.insert(ticket, (id, ask));
    }

    /// Counts a request that arrived towards its service's demand.
    pub fn measure(&mut self, now: Instant, service: &CompactString, engine: Engine, need: Need) {
        let meter = self.meters.entry(service.clone());
        let meter = meter.or_insert_with(|| Meter::new(self.balance, now));
        meter.add(now, &self.pool, engine, need);
    }

    /// Work that callers ask for, by service.
    pub fn demands(&self, now: Instant) -> Vec<(CompactString, Demand)> {
        let demands = self.meters.iter();
        let demands = demands.map(|(service, meter)| (service.clone(), meter.read(now)));
        demands.collect()
    }

    /// Whether a request waits.
    pub fn waits(&self, id: Id) -> bool {
        self.tickets.contains_key(&id)
    }

    /// Whether any request waits.
    pub fn is_waiting(&self) -> bool {
        !self.tickets.is_empty()
    }

    /// Services with requests that wait.
    pub fn waiting(&self) -> Vec<CompactString> {
        let queues = self.queues.iter();
        let waiting = queues.filter(|(_, waiting)| !waiting.queue.is_empty());
        waiting.map(|(service, _)| service.clone()).collect()
    }

    /// The next answer to a request of a service, if there is one to give.
    pub fn next<R: Rng>(
        &mut self,
        now: Instant,
        service: &str,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Id, Answer)> {
        let waiting = self.queues.get(service)?;
        let ticket = waiting.queue.next(now, LEAD)?;
        let (id, ask) = waiting.rows.get(&ticket)?;
        let id = *id;
        if let Some((grant, lease)) = self.choose(now, ask, engine, random) {
            self.leave_queue(id);
            self.pool.start(lease.decode);
            if let Some(work) = lease.prefill {
                self.pool.start(work);
            }
            self.leases.insert(id, lease);
            return Some((id, Answer::Grant(grant)));
        }
        let (id, outlook) = self.hopeless(now, waiting, service, engine)?;
        self.leave_queue(id);
        Some((id, Answer::Refusal(outlook)))
    }

    /// A request that will not have room in time, and when there will be some.
    fn hopeless(
        &self,
        now: Instant,
        waiting: &Waiting,
        service: &str,
        engine: Engine,
    ) -> Option<(Id, Outlook)> {
        let (capacity, token) = self.pool.capacity(now, service, engine);
        let arrivals = waiting.arrivals.as_ref();
        let all = arrivals.map_or(0.0, |arrivals| arrivals.all(now));
        let mut ahead = 0.0;
        let mut found = None;
        for (ticket, entry) in waiting.queue.order(now, LEAD) {
            let (id, ask) = waiting.rows.get(&ticket)?;
            let overtaking = match arrivals {
                Some(arrivals) if !entry.is_late(now, LEAD) => arrivals.below(now, entry.size),
                _ => all,
            };
            // One that was told to come back has no other chance.
            let overtaking = if ask.returns { 0.0 } else { overtaking };
            let wait = surge::wait(ahead, overtaking, capacity);
            if found.is_none() && wait.is_none_or(|wait| now + wait >= entry.patience) {
                found = Some(*id);
            }
            ahead += work(ask.need, token);
        }
        let clear = surge::wait(ahead, all, capacity).unwrap_or(SURGE);
        let outlook = Outlook {
            wait: clear.max(SURGE),
            waiting: waiting.queue.len(),
            arriving: all,
            capacity,
        };
        Some((found?, outlook))
    }

    /// Takes memory that another scheduler assigned.
    pub fn hold(&mut self, id: Id, endpoint: &str, tokens: u32) {
        self.finish(id, None);
        let Some(endpoint) = self.pool.key(endpoint) else {
            return;
        };
        let decode = Work {
            endpoint,
            unread: 0,
            tokens,
        };
        self.pool.start(decode);
        let lease = Lease {
            decode,
            prefill: None,
            ready: Duration::ZERO,
        };
        self.leases.insert(id, lease);
    }

    /// Notes that a request's prompt was read at its prefill endpoint.
    pub fn read(&mut self, now: Instant, id: Id, took: Duration) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        if let Some(work) = lease.prefill.take() {
            self.pool.answered(now, work.endpoint, true);
            let work = self.pool.read(now, work, lease.ready, took);
            lease.prefill = Some(work);
        }
    }

    /// Notes that a request's run has made its first event.
    pub fn began(&mut self, now: Instant, id: Id) {
        let Some(lease) = self.leases.get_mut(&id) else {
            return;
        };
        self.pool.answered(now, lease.decode.endpoint, true);
        if lease.decode.unread > 0 {
            // What reading beside streams takes says little of the endpoint.
            lease.decode = self
                .pool
                .read(now, lease.decode, Duration::ZERO, lease.ready);
        }
        if let Some(work) = lease.prefill.take() {
            self.pool.finish(work);
        }
    }

    /// Ends a request's wait or its use of endpoints, with the mean time
    /// between two events of a run that ended well.
    pub fn finish(&mut self, id: Id, between: Option<(Instant, Duration)>) {
        self.leave_queue(id);
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        if let Some((now, between)) = between {
            self.pool.streamed(now, lease.decode.endpoint, between);
        }
        self.pool.finish(lease.decode);
        if let Some(work) = lease.prefill {
            self.pool.finish(work);
        }
    }

    /// Ends everything of a host whose link is gone.
    pub fn leave(&mut self, link: u64) {
        let waiting = self.tickets.keys().chain(self.leases.keys());
        let own = waiting.filter(|id| id.link == link).copied();
        for id in own.collect::<Vec<_>>() {
            self.finish(id, None);
        }
    }

    /// Notes that an endpoint did not serve.
    pub fn trouble(&mut self, now: Instant, endpoint: &str, trouble: Trouble) {
        if let Some(key) = self.pool.key(endpoint) {
            self.pool.trouble(now, key, trouble);
        }
    }

    /// Chooses endpoints for a request.
    fn choose<R: Rng>(
        &self,
        now: Instant,
        ask: &Ask,
        engine: Engine,
        random: &mut R,
    ) -> Option<(Grant, Lease)> {
        let avoid = ask.avoid.iter().filter_map(|id| self.pool.key(id));
        let avoid = avoid.collect::<Vec<EndpointKey>>();
        let scope = Scope {
            service: &ask.service,
            domain: &ask.domain,
            avoid: &avoid,
        };
        let need = ask.need;
        let key = self.pool.decode(now, scope, engine, need, random)?;
        let reader = self.pool.reader(now, scope, engine, need, key, random)?;
        let id = |key| Some(self.pool.get(key)?.endpoint.id.clone());
        let (prefill, ready) = match reader {
            Reader::Other { prefill, ready } => (Some(prefill), ready),
            Reader::Itself { ready } => (None, ready),
        };
        let grant = Grant {
            decode: id(key)?,
            prefill: match prefill {
                Some(prefill) => Some(id(prefill)?),
                None => None,
            },
            ready,
        };
        let lease = Lease {
            decode: Work {
                endpoint: key,
                unread: prefill.map_or(need.prompt, |_| 0),
                tokens: need.tokens(),
            },
            prefill: prefill.map(|endpoint| Work {
                endpoint,
                unread: need.prompt,
                tokens: need.prompt,
            }),
            ready,
        };
        Some((grant, lease))
    }

    /// Takes a request off its queue.
    fn leave_queue(&mut self, id: Id) {
        let Some((service, ticket)) = self.tickets.remove(&id) else {
            return;
        };
        if let Some(waiting) = self.queues.get_mut(&service) {
            waiting.queue.leave(ticket);
            waiting.rows.remove(&ticket);
        }
    }
}

/// Memory that a request takes, for as long as it takes it, in token seconds.
fn work(need: Need, token: Duration) -> f64 {
    let lasts = START.as_secs_f64() + f64::from(need.output) * token.as_secs_f64();
    f64::from(need.tokens()) * lasts
}

/// Time from room to the first event: a prompt's reading and the way to it.
const START: Duration = Duration::from_millis(250);
