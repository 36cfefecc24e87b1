//! The gateway: an entry host that reaches endpoints directly.
//!
//! Requests pass through with method, path and body unchanged. What they say
//! of themselves is read by an adapter ([`dialect`]); what the platform keeps
//! comes through another ([`store`]). One thread follows the platform, the
//! other carries traffic; they share the route table and the pool.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use slog::Logger;
use tokio::sync::{watch, Notify};

use cranberryridge_policy::gateway::balance::{self, Demand, Moves};
use cranberryridge_policy::gateway::budget::{self, Budget};
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_policy::gateway::pool::{self, EndpointKey, Failure, Pool};
use cranberryridge_policy::gateway::queue::Queue;
use cranberryridge_policy::gateway::route::Table;
use cranberryridge_wire::Map;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::tally::Tally;

use self::follow::Hosts;
use self::schedule::Links;
use self::snapshot::{LastRead, Snapshot};
use self::store::Host;

pub mod dialect;
pub mod events;
pub mod follow;
pub mod rebalance;
pub mod schedule;
pub mod serve;
pub mod snapshot;
pub mod store;

mod exchange;
mod generate;
mod plain;
mod record;
mod refusal;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Where scrapers read metrics.
    pub metrics: SocketAddr,
    /// Where other hosts ask this one for endpoints.
    pub scheduler: SocketAddr,
    /// The processor time that the host has, in cores. Those that have most
    /// schedule.
    pub cores: f64,
    /// Most bytes of requests that are held at once.
    pub held: usize,
    /// Time between two readings of the list of endpoints. A leaving endpoint
    /// gets no new work after this and a call's time.
    pub list_pace: Duration,
    /// Longest wait of a call that follows the configuration. A connection
    /// that went silent is noticed after this and [`Settings::call`].
    pub configuration_wait: Duration,
    /// Shortest outage of the list in which endpoints lapse.
    pub lapse: Duration,
    /// Longest time of a call to the store, its wait not counted, while none
    /// failed.
    pub call: Duration,
    /// Time for which a terminating host goes on taking connections, until
    /// the balancer has noticed: two probes, a second apart, and one second.
    pub settle: Duration,
    /// Time from the signal until the process must have ended.
    pub grace: Duration,
    /// The budget of repeats.
    pub budget: budget::Settings,
    /// How endpoints' times are predicted.
    pub pool: pool::Settings,
    /// When engines are moved between stages.
    pub balance: balance::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: CompactString::default(),
            domain: CompactString::default(),
            callers: nowhere,
            ready: nowhere,
            metrics: nowhere,
            scheduler: nowhere,
            cores: 1.0,
            held: 32 * 1024 * 1024,
            list_pace: Duration::from_millis(800),
            configuration_wait: Duration::from_millis(1500),
            lapse: Duration::from_millis(2400),
            call: Duration::from_millis(400),
            settle: Duration::from_secs(3),
            grace: Duration::from_secs(8),
            budget: budget::Settings::default(),
            pool: pool::Settings::default(),
            balance: balance::Settings::default(),
        }
    }
}

/// What the threads of a gateway share.
#[derive(Debug)]
pub struct Shared<N, C, D> {
    /// Settings.
    pub settings: Settings,
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// Reads and writes heads.
    pub dialect: D,
    /// Logs.
    pub logger: Logger,
    /// Counters.
    pub metrics: Metrics,
    /// The configuration in force; version zero before there is one.
    pub table: ArcSwap<Table>,
    /// The endpoints.
    pool: Mutex<Pool>,
    /// Budgets of repeats by service.
    budgets: Mutex<Map<CompactString, Budget>>,
    /// Entry hosts that are known.
    hosts: Mutex<Hosts>,
    /// Moves of engines that this host ordered.
    moves: Mutex<Moves>,
    /// Work that callers of hosts that ask this one ask for, by service.
    demands: watch::Sender<Vec<(CompactString, Demand)>>,
    /// Told when an endpoint may have room again.
    room: Notify,
    /// Told when the store is reached again.
    reached: Notify,
    /// Told when this host has something to announce.
    announce: Notify,
    /// Model requests that wait for room, by service.
    queues: Mutex<Map<CompactString, Queue>>,
    /// Whether the host is terminating.
    draining: watch::Sender<bool>,
    /// The endpoints that stand, once they were listed.
    listed: watch::Sender<Option<Vec<Endpoint>>>,
    /// The endpoints as last read, which is what other hosts are told.
    read: watch::Sender<Vec<Endpoint>>,
    /// Engines that are being moved: to which stage, and until when that
    /// counts.
    moving: watch::Sender<Map<CompactString, (Phase, Instant)>>,
    /// Links to schedulers.
    links: Links,
    /// What another host has read of the platform.
    news: watch::Sender<Snapshot>,
    /// When this host last asked the platform.
    seen: watch::Sender<LastRead>,
    /// Hosts that follow what this one reads.
    followers: Tally,
    /// Bytes of requests that are held.
    held: AtomicUsize,
    /// Open connections of callers.
    connections: Tally,
}

/// What a gateway is made of.
#[derive(Debug)]
pub struct Parts<N, C, D> {
    /// Settings.
    pub settings: Settings,
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// Reads and writes heads.
    pub dialect: D,
    /// Logs.
    pub logger: Logger,
    /// Counters.
    pub metrics: Metrics,
}

impl<N, C, D> Shared<N, C, D> {
    /// A gateway that knows no configuration and no endpoint.
    pub fn new(parts: Parts<N, C, D>) -> Arc<Self> {
        Arc::new(Self {
            pool: Mutex::new(Pool::new(parts.settings.pool)),
            moves: Mutex::new(Moves::new(parts.settings.balance)),
            settings: parts.settings,
            net: parts.net,
            clock: parts.clock,
            dialect: parts.dialect,
            logger: parts.logger,
            metrics: parts.metrics,
            table: ArcSwap::default(),
            budgets: Mutex::default(),
            hosts: Mutex::default(),
            demands: watch::Sender::default(),
            room: Notify::new(),
            reached: Notify::new(),
            announce: Notify::new(),
            queues: Mutex::default(),
            draining: watch::Sender::new(false),
            listed: watch::Sender::new(None),
            read: watch::Sender::default(),
            moving: watch::Sender::default(),
            links: Links::default(),
            news: watch::Sender::default(),
            seen: watch::Sender::default(),
            followers: Tally::default(),
            held: AtomicUsize::new(0),
            connections: Tally::default(),
        })
    }

    /// Whether the balancer may send connections.
    pub fn ready(&self) -> bool {
        self.table.load().version() > 0
            && self.listed.borrow().is_some()
            && !*self.draining.borrow()
    }

    /// The endpoints.
    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// An endpoint, if it is still listed and not leaving. Asked right before
    /// each attempt, as it may have begun to leave since it was chosen.
    fn endpoint(&self, key: EndpointKey) -> Option<Endpoint> {
        let pool = self.pool();
        let state = pool.get(key)?;
        (!state.endpoint.draining).then(|| state.endpoint.clone())
    }

    /// Notes that an endpoint did not serve, here and at its scheduler.
    fn trouble(&self, now: Instant, key: EndpointKey, trouble: Failure) {
        let mut pool = self.pool();
        pool.record_failure(now, key, trouble);
        let Some(state) = pool.get(key) else { return };
        let endpoint = &state.endpoint;
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        drop(pool);
        self.links.report_failure(&service, &id, trouble);
    }

    /// Notes that an endpoint is being moved to another stage.
    fn moves(&self, now: Instant, id: &CompactString, phase: Phase) {
        let until = now + self.settings.balance.move_timeout;
        self.pool().mark_moving(until, id, phase);
        self.moving.send_modify(|moving| {
            moving.retain(|_, (_, until)| *until > now);
            moving.insert(id.clone(), (phase, until));
        });
    }

    /// Takes the endpoints that stand.
    fn list(&self, endpoints: Vec<Endpoint>) {
        self.pool().update(endpoints.clone());
        self.listed.send_replace(Some(endpoints));
        self.room.notify_waiters();
    }

    /// Entry hosts that are known, this one included.
    fn hosts(&self) -> usize {
        let known = lock(&self.hosts).count();
        if known == 0 {
            HOSTS
        } else {
            known
        }
    }

    /// Counts a request of a service towards its budget.
    fn earn(&self, now: Instant, service: &str) {
        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Takes a repeat from a service's budget, if one is left.
    fn spend(&self, now: Instant, service: &str) -> bool {
        let spent = self.with_budget(service, |budget| budget.spend(now, self.hosts()));
        let count = if spent {
            "retry.sent"
        } else {
            "retry.no_budget"
        };
        self.metrics.count(count);
        spent
    }

    /// Works on a service's queue.
    fn with_queue<R>(&self, service: &str, work: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = lock(&self.queues);
        work(entry(&mut queues, service, Queue::default))
    }

    /// Works on a service's budget.
    fn with_budget<R>(&self, service: &str, work: impl FnOnce(&mut Budget) -> R) -> R {
        let mut budgets = lock(&self.budgets);
        let new = || Budget::new(self.settings.budget);
        work(entry(&mut budgets, service, new))
    }
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// This host, as it announces itself.
    fn host(&self) -> Host {
        Host {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            scheduler: (!*self.draining.borrow()).then_some(self.settings.scheduler),
            cores: self.settings.cores,
        }
    }
}

/// Locks a mutex. A thread that panicked left no half-made change that matters:
/// what the threads share are estimates and counts.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a map has for a service, made if it has nothing.
fn entry<'a, T>(
    map: &'a mut Map<CompactString, T>,
    service: &str,
    new: impl FnOnce() -> T,
) -> &'a mut T {
    map.entry(service.into()).or_insert_with(new)
}

/// Entry hosts that are assumed before the store told of any, for a share of
/// the budget that is too small rather than too large.
const HOSTS: usize = 16;
