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
use self::news::{News, Seen};
use self::schedule::Links;
use self::store::Host;

pub mod dialect;
pub mod events;
pub mod follow;
pub mod news;
pub mod schedule;
pub mod serve;
pub mod steer;
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
    pub probes: SocketAddr,
    /// Where scrapers read metrics.
    pub metrics: SocketAddr,
    /// Where other hosts ask this one for endpoints.
    pub scheduler: SocketAddr,
    /// The processor time that the host has, in cores. Those that have most
    /// schedule.
    pub cores: f64,
    /// Most bytes of requests that are held at once.
    pub max_held_bytes: usize,
    /// Time between two readings of the list of endpoints. A leaving endpoint
    /// gets no new work after this and a call's time.
    pub list_interval: Duration,
    /// Longest wait of a call that follows the configuration. A connection
    /// that went silent is noticed after this and [`Settings::call`].
    pub configuration_poll_timeout: Duration,
    /// Shortest outage of the list in which endpoints lapse.
    pub endpoint_ttl: Duration,
    /// Longest time of a call to the store, its wait not counted, while none
    /// failed.
    pub call_timeout: Duration,
    /// Time for which a terminating host goes on taking connections, until
    /// the balancer has noticed: two probes, a second apart, and one second.
    pub lame_duck_period: Duration,
    /// Time from the signal until the process must have ended.
    pub grace_period: Duration,
    /// The budget of repeats.
    pub budget: budget::Settings,
    /// How endpoints' times are predicted.
    pub pool: pool::Settings,
    /// When engines are moved between stages.
    pub balance: balance::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            name: CompactString::default(),
            domain: CompactString::default(),
            callers: loopback,
            probes: loopback,
            metrics: loopback,
            scheduler: loopback,
            cores: 1.0,
            max_held_bytes: 32 * 1024 * 1024,
            list_interval: Duration::from_millis(800),
            configuration_poll_timeout: Duration::from_millis(1500),
            endpoint_ttl: Duration::from_millis(2400),
            call_timeout: Duration::from_millis(400),
            lame_duck_period: Duration::from_secs(3),
            grace_period: Duration::from_secs(8),
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
    capacity_freed: Notify,
    /// Told when the store is reached again.
    store_recovered: Notify,
    /// Told when this host has something to announce.
    announce_requested: Notify,
    /// Model requests that wait for room, by service.
    queues: Mutex<Map<CompactString, Queue>>,
    /// Whether the host is terminating.
    draining: watch::Sender<bool>,
    /// The endpoints that stand, once they were listed.
    current_endpoints: watch::Sender<Option<Vec<Endpoint>>>,
    /// The endpoints as last read, which is what other hosts are told.
    listed_endpoints: watch::Sender<Vec<Endpoint>>,
    /// Engines that are being moved: to which stage, and until when that
    /// counts.
    moving_engines: watch::Sender<Map<CompactString, (Phase, Instant)>>,
    /// Links to schedulers.
    links: Links,
    /// What another host has read of the platform.
    news: watch::Sender<News>,
    /// When this host last asked the platform.
    seen: watch::Sender<Seen>,
    /// Hosts that follow what this one reads.
    followers: Tally,
    /// Bytes of requests that are held.
    held_bytes: AtomicUsize,
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
            capacity_freed: Notify::new(),
            store_recovered: Notify::new(),
            announce_requested: Notify::new(),
            queues: Mutex::default(),
            draining: watch::Sender::new(false),
            current_endpoints: watch::Sender::new(None),
            listed_endpoints: watch::Sender::default(),
            moving_engines: watch::Sender::default(),
            links: Links::default(),
            news: watch::Sender::default(),
            seen: watch::Sender::default(),
            followers: Tally::default(),
            held_bytes: AtomicUsize::new(0),
            connections: Tally::default(),
        })
    }

    /// Whether the balancer may send connections.
    pub fn is_ready(&self) -> bool {
        self.table.load().version() > 0
            && self.current_endpoints.borrow().is_some()
            && !*self.draining.borrow()
    }

    /// The endpoints.
    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// An endpoint, if it is still listed and not leaving. Asked right before
    /// each attempt, as it may have begun to leave since it was chosen.
    fn active_endpoint(&self, key: EndpointKey) -> Option<Endpoint> {
        let pool = self.pool();
        let state = pool.get(key)?;
        (!state.endpoint.draining).then(|| state.endpoint.clone())
    }

    /// Notes that an endpoint did not serve, here and at its scheduler.
    fn record_failure(&self, now: Instant, key: EndpointKey, failure: Failure) {
        let mut pool = self.pool();
        pool.record_failure(now, key, failure);
        let Some(state) = pool.get(key) else { return };
        let endpoint = &state.endpoint;
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        drop(pool);
        self.links.trouble(&service, &id, failure);
    }

    /// Notes that an endpoint is being moved to another stage.
    fn mark_moving(&self, now: Instant, id: &CompactString, phase: Phase) {
        let until = now + self.settings.balance.move_timeout;
        self.pool().mark_moving(until, id, phase);
        self.moving_engines.send_modify(|engines| {
            engines.retain(|_, (_, until)| *until > now);
            engines.insert(id.clone(), (phase, until));
        });
    }

    /// Takes the endpoints that stand.
    fn update_endpoints(&self, endpoints: Vec<Endpoint>) {
        self.pool().update(endpoints.clone());
        self.current_endpoints.send_replace(Some(endpoints));
        self.capacity_freed.notify_waiters();
    }

    /// Entry hosts that are known, this one included.
    fn host_count(&self) -> usize {
        let known = lock(&self.hosts).count();
        if known == 0 {
            ASSUMED_HOST_COUNT
        } else {
            known
        }
    }

    /// Counts a request of a service towards its budget.
    fn earn_retry(&self, now: Instant, service: &str) {
        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Takes a repeat from a service's budget, if one is left.
    fn spend_retry(&self, now: Instant, service: &str) -> bool {
        let spent = self.with_budget(service, |budget| budget.spend(now, self.host_count()));
        let counter = if spent {
            "retry.sent"
        } else {
            "retry.no_budget"
        };
        self.metrics.count(counter);
        spent
    }

    /// Works on a service's queue.
    fn with_queue<R>(&self, service: &str, work: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = lock(&self.queues);
        work(get_or_insert(&mut queues, service, Queue::default))
    }

    /// Works on a service's budget.
    fn with_budget<R>(&self, service: &str, work: impl FnOnce(&mut Budget) -> R) -> R {
        let mut budgets = lock(&self.budgets);
        let new = || Budget::new(self.settings.budget);
        work(get_or_insert(&mut budgets, service, new))
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
fn get_or_insert<'a, T>(
    map: &'a mut Map<CompactString, T>,
    service: &str,
    new: impl FnOnce() -> T,
) -> &'a mut T {
    map.entry(service.into()).or_insert_with(new)
}

/// Entry hosts that are assumed before the store told of any, for a share of
/// the budget that is too small rather than too large.
const ASSUMED_HOST_COUNT: usize = 16;
