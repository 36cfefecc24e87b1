//! The gateway: an entry host that reaches endpoints directly.
//!
//! Requests are forwarded with method, path and body unchanged. One adapter
//! reads and writes HTTP heads ([`dialect`]), another accesses the platform's
//! store ([`store`]). One thread follows the platform and another carries
//! traffic. They share the route table and the pool.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use compact_str::CompactString;
use slog::Logger;
use tokio::sync::{watch, Notify};

use cranberryridge_policy::gateway::balance::{self, Demand, Moves};
use cranberryridge_policy::gateway::budget::{self, Budget, Sends};
use cranberryridge_policy::gateway::departure;
use cranberryridge_policy::gateway::drain::{Interruption, Length, Stop};
use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_policy::gateway::memory;
use cranberryridge_policy::gateway::origin::Registry;
use cranberryridge_policy::gateway::pool::{self, EndpointKey, Failure, Pool};
use cranberryridge_policy::gateway::queue::Queue;
use cranberryridge_policy::gateway::quota as quotas;
use cranberryridge_policy::gateway::roster;
use cranberryridge_policy::gateway::route::Table;
use cranberryridge_wire::Map;

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::tally::Tally;

use self::dialect::Notice;
use self::follow::Hosts;
use self::schedule::Links;
use self::snapshot::{LastRead, Snapshot};
use self::store::Host;
use self::suspects::Suspects;

pub mod dialect;
pub mod follow;
pub mod rebalance;
pub mod schedule;
pub mod serve;
pub mod snapshot;
pub mod store;

mod exchange;
mod generate;
pub(crate) mod held;
mod history;
mod journal;
mod numberings;
mod origin;
mod parts;
mod permit;
mod plain;
mod quota;
mod record;
mod refusal;
mod retry;
mod survival;
mod suspects;

/// Parameters of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the host, unique among entry hosts.
    pub name: CompactString,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer probes readiness.
    pub probes: SocketAddr,
    /// Address on which metrics are scraped.
    pub metrics: SocketAddr,
    /// Address on which other hosts request endpoints from this host's
    /// scheduler.
    pub scheduler: SocketAddr,
    /// CPU limit of the host in cores. The hosts with the highest limits
    /// become schedulers.
    pub cores: f64,
    /// Maximum total size of the bodies of requests and answers that are held, in
    /// bytes.
    pub max_held_bytes: usize,
    /// Maximum total size of held bodies and of the state of requests that are being served,
    /// in bytes.
    pub max_open_bytes: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Time between two reads of the endpoint list. A draining endpoint gets no
    /// new work after this plus the duration of one call.
    pub list_interval: Duration,
    /// Time for which an endpoint serves on at least after it has left the list, or is listed as
    /// draining.
    pub drain_period: Duration,
    /// Timeout of a long poll for a new configuration. A connection that went
    /// silent is detected after this plus [`Settings::call_timeout`].
    pub configuration_poll_timeout: Duration,
    /// Shortest outage of the endpoint list in which the list may lose endpoints
    /// that are still running, because their records expire. After such an
    /// outage, removals take effect with a delay.
    pub endpoint_ttl: Duration,
    /// Timeout of a call to the store, not counting its long poll. For calls that
    /// read, it doubles with each failure, up to one second. Also the timeout of
    /// calls that control an endpoint.
    pub call_timeout: Duration,
    /// Time for which a terminating host still accepts connections, until the
    /// load balancer has noticed. It covers two probes one second apart and one
    /// second of slack.
    pub lame_duck_period: Duration,
    /// Time from the termination signal until the process must have exited.
    pub grace_period: Duration,
    /// Parameters of the retry budget.
    pub budget: budget::Settings,
    /// Parameters of the announcements of hosts.
    pub roster: roster::Settings,
    /// Parameters of predicting endpoints' response times.
    pub pool: pool::Settings,
    /// Parameters of moving engines between stages.
    pub balance: balance::Settings,
    /// Parameters of the quotas of client accounts.
    pub quota: quotas::Settings,
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
            max_open_bytes: 64 * 1024 * 1024,
            max_connections: 4096,
            list_interval: Duration::from_millis(800),
            drain_period: Duration::from_secs(2),
            configuration_poll_timeout: Duration::from_millis(1500),
            endpoint_ttl: Duration::from_millis(2400),
            call_timeout: Duration::from_millis(400),
            lame_duck_period: Duration::from_secs(3),
            grace_period: Duration::from_secs(8),
            budget: budget::Settings::default(),
            roster: roster::Settings::default(),
            pool: pool::Settings::default(),
            balance: balance::Settings::default(),
            quota: quotas::Settings::default(),
        }
    }
}

/// State that the threads of a gateway share.
#[derive(Debug)]
pub struct Shared<N, C, D> {
    /// Settings, fixed until the process ends.
    pub settings: Settings,
    /// Network on which the gateway connects to endpoints and other hosts.
    pub net: N,
    /// Clock for deadlines and measured durations.
    pub clock: C,
    /// Adapter for the heads of requests and responses.
    pub dialect: D,
    /// Logger of the process.
    pub logger: Logger,
    /// Event counters and latency histograms.
    pub metrics: Metrics,
    /// Active configuration. Its version is zero until one has been read.
    pub table: ArcSwap<Table>,
    pool: Mutex<Pool>,
    /// Retry budgets by service.
    budgets: Mutex<Map<CompactString, Budget>>,
    /// Units of client accounts' quotas that this host has drawn.
    quotas: quota::Registry,
    /// Requests that were running when an endpoint crashed.
    suspects: Suspects,
    /// Parts of prompts that were being answered when an endpoint crashed.
    parts: parts::Registry,
    /// Software versions that began streams.
    origins: Mutex<Registry>,
    /// What is known of the exits of endpoints that leave.
    departures: Mutex<departure::Table>,
    /// How engines number events.
    numberings: numberings::Registry,
    /// Notified when the store lacks a numbering that this host has learned.
    numbering_learned: Notify,
    /// Notified when the store's record of versions in use must be read or changed.
    history_changed: Notify,
    /// Wakes the task that records origins of streams in the store.
    journal_changed: Notify,
    /// Wakes the task that reads the recorded origins, as nobody knows a stream.
    journal_wanted: Notify,
    /// Newest known era of the platform's store.
    era: watch::Sender<Era>,
    /// Known entry hosts.
    hosts: Mutex<Hosts>,
    /// Moves of engines that this host ordered.
    moves: Mutex<Moves>,
    /// Offered load by service, of all hosts that use this host's scheduler.
    demands: watch::Sender<Vec<(CompactString, Demand)>>,
    /// Notified when an endpoint may have free capacity.
    capacity_freed: Notify,
    /// Notified when the store is reachable again.
    store_recovered: Notify,
    /// Notified when this host should announce itself at once.
    announce_requested: Notify,
    /// Model requests that wait for capacity, by service.
    queues: Mutex<Map<CompactString, Queue>>,
    /// Whether the host is terminating.
    draining: watch::Sender<bool>,
    /// Times of the stop, once the host is terminating.
    stop: OnceLock<Stop>,
    /// Whether open requests are given up, as the process is about to exit.
    giving_up: watch::Sender<bool>,
    /// Endpoints that requests are sent to, or `None` before the first read of
    /// the list.
    current_endpoints: watch::Sender<Option<Vec<Endpoint>>>,
    /// Endpoints as last read, which are published to other hosts.
    listed_endpoints: watch::Sender<Vec<Endpoint>>,
    /// Target stages of engines that are being moved, with the time until which
    /// each move counts as pending.
    moving_engines: watch::Sender<Map<CompactString, (Phase, Instant)>>,
    /// Endpoints that said in an answer that they are shutting down, to this host
    /// or to another, with the start that said so.
    leaving_endpoints: watch::Sender<Map<CompactString, u64>>,
    /// Notified when an endpoint's known limit changes.
    limits_changed: watch::Sender<()>,
    /// Links to schedulers.
    links: Links,
    /// State of the platform as read by another host.
    news: watch::Sender<Snapshot>,
    /// Times at which this host last read the platform itself.
    seen: watch::Sender<LastRead>,
    /// Hosts that follow this host's reads of the platform.
    followers: Tally,
    /// Memory of the bodies of requests and answers.
    held: Arc<held::Account>,
    /// Memory of the state of requests that are being served.
    open: Arc<held::Account>,
    /// Open connections of callers.
    connections: Tally,
    /// What these do, and which are closed for others.
    admission: Arc<serve::admission::Registry>,
}

/// Components from which [`Shared::new`] builds a gateway.
#[derive(Debug)]
pub struct Parts<N, C, D> {
    /// Settings, fixed until the process ends.
    pub settings: Settings,
    /// Network on which the gateway connects to endpoints and other hosts.
    pub net: N,
    /// Clock for deadlines and measured durations.
    pub clock: C,
    /// Adapter for the heads of requests and responses.
    pub dialect: D,
    /// Logger of the process.
    pub logger: Logger,
    /// Event counters and latency histograms.
    pub metrics: Metrics,
}

impl<N, C, D> Shared<N, C, D> {
    /// Creates a gateway that has no configuration and no endpoints.
    pub fn new(parts: Parts<N, C, D>) -> Arc<Self> {
        let hosts = Mutex::new(Hosts::new(roster::Settings {
            window: parts.settings.budget.window,
            ..parts.settings.roster
        }));
        let bound = |max_bytes| memory::Bound { max_bytes };
        let total = held::Total::new(bound(parts.settings.max_open_bytes));
        let account = |max_bytes, names| {
            held::Account::new(bound(max_bytes), total.clone(), &parts.metrics, names)
        };
        let names = [Some("requests"), Some("answers")];
        let held = account(parts.settings.max_held_bytes, names);
        let open = account(parts.settings.max_open_bytes, [None, Some("exchanges")]);
        let admission = serve::admission::Registry::new(parts.settings.max_connections);
        Arc::new(Self {
            admission,
            pool: Mutex::new(Pool::new(parts.settings.pool)),
            moves: Mutex::new(Moves::new(parts.settings.balance)),
            quotas: quota::Registry::new(parts.settings.quota),
            settings: parts.settings,
            net: parts.net,
            clock: parts.clock,
            dialect: parts.dialect,
            logger: parts.logger,
            metrics: parts.metrics,
            table: ArcSwap::default(),
            budgets: Mutex::default(),
            numberings: numberings::Registry::default(),
            numbering_learned: Notify::new(),
            history_changed: Notify::new(),
            journal_changed: Notify::new(),
            journal_wanted: Notify::new(),
            suspects: Suspects::default(),
            parts: parts::Registry::default(),
            origins: Mutex::default(),
            departures: Mutex::default(),
            era: watch::Sender::default(),
            hosts,
            demands: watch::Sender::default(),
            capacity_freed: Notify::new(),
            store_recovered: Notify::new(),
            announce_requested: Notify::new(),
            queues: Mutex::default(),
            draining: watch::Sender::new(false),
            stop: OnceLock::new(),
            giving_up: watch::Sender::new(false),
            current_endpoints: watch::Sender::new(None),
            listed_endpoints: watch::Sender::default(),
            moving_engines: watch::Sender::default(),
            leaving_endpoints: watch::Sender::default(),
            limits_changed: watch::Sender::default(),
            links: Links::default(),
            news: watch::Sender::default(),
            seen: watch::Sender::default(),
            followers: Tally::default(),
            held,
            open,
            connections: Tally::default(),
        })
    }

    /// Returns whether the load balancer may send connections. This requires a
    /// configuration and an endpoint list, and that the host is not draining.
    pub fn is_ready(&self) -> bool {
        self.table.load().version() > 0
            && self.current_endpoints.borrow().is_some()
            && !*self.draining.borrow()
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        lock(&self.pool)
    }

    /// Returns whether a request that starts now may be expected to end before this host
    /// exits.
    fn accepts(&self, length: Length) -> bool
    where
        C: Clock,
    {
        let stop = self.stop.get();
        stop.is_none_or(|stop| stop.accepts(self.clock.now(), length))
    }

    /// Waits until this host gives up its open requests.
    async fn wait_for_exit(&self) {
        let mut giving_up = self.giving_up.subscribe();
        // The sender lives as long as `self`.
        let _ = giving_up.wait_for(|giving_up| *giving_up).await;
    }

    /// Works on a request until its deadline, or until this host gives it up. A result that
    /// is ready at that time is returned.
    async fn run_until<T>(
        &self,
        deadline: Instant,
        work: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        if *self.giving_up.borrow() {
            return Err(Interruption::Exit);
        }
        tokio::select! {
            biased;
            result = tokio::time::timeout_at(deadline.into(), work) => {
                result.map_err(|_| Interruption::Deadline)
            }
            () = self.wait_for_exit() => Err(Interruption::Exit),
        }
    }

    /// Returns an endpoint if it is still listed and accepts work. Called right
    /// before each attempt, as it may have started to leave or to rest since it
    /// was chosen.
    fn active_endpoint(&self, now: Instant, key: EndpointKey) -> Option<Endpoint> {
        let pool = self.pool();
        let state = pool.get(key)?;
        state.accepts_work(now).then(|| state.endpoint.clone())
    }

    /// Returns the id of an endpoint, or `None` if it is no longer listed.
    fn endpoint_id(&self, key: EndpointKey) -> Option<CompactString> {
        let pool = self.pool();
        Some(pool.get(key)?.endpoint.id.clone())
    }

    /// Records what an endpoint said about itself in an answer and reports it to
    /// other hosts. `known_limit` is the version of the endpoint's limit when the answer's
    /// request was sent, `None` if the answer may be of an earlier request.
    fn record_notice(
        &self,
        now: Instant,
        key: EndpointKey,
        notice: Notice,
        known_limit: Option<u64>,
    ) {
        self.observe_limit(now, key, notice.limit, known_limit);
        if !notice.is_leaving && notice.retry_after.is_none() {
            return;
        }
        let rest = notice.retry_after.and_then(pool::rest_time);
        let mut pool = self.pool();
        let is_news = notice.is_leaving && pool.mark_leaving(key);
        if let Some(rest) = rest {
            pool.rest(now, key, rest);
        }
        let Some(state) = pool.get(key) else { return };
        let (id, service) = (state.endpoint.id.clone(), state.endpoint.service.clone());
        let started_ms = state.endpoint.started_ms;
        drop(pool);
        if is_news {
            self.add_leaving(&id, started_ms);
            self.metrics.count("endpoint.leaving");
            slog::info!(self.logger, "endpoint: leaving, as it says";
                "endpoint" => %id, "service" => %service);
        }
        match (notice.retry_after, rest) {
            (None, _) => {}
            (Some(seconds), None) => {
                self.metrics.count("endpoint.bad_rest");
                slog::warn!(self.logger, "endpoint: rest unreadable, ignored";
                    "endpoint" => %id, "seconds" => seconds);
            }
            (Some(seconds), Some(rest)) => {
                self.metrics.count("endpoint.resting");
                slog::info!(self.logger, "endpoint: rests";
                    "endpoint" => %id, "service" => %service,
                    "seconds" => seconds, "rest_ms" => rest.as_millis() as u64);
            }
        }
        if is_news || rest.is_some() {
            self.links
                .report_notice(&service, id, started_ms, is_news, rest);
        }
    }

    /// Records that one start of an endpoint is shutting down, as another host reported. A
    /// start that is not listed yet is marked once it is.
    fn record_leaving(&self, id: &CompactString, started_ms: u64) {
        self.add_leaving(id, started_ms);
        if self.mark_leaving(id, started_ms) {
            slog::info!(self.logger, "endpoint: leaving, as another host says"; "endpoint" => %id);
        }
    }

    /// Marks one start of an endpoint as shutting down. Returns whether that is news.
    fn mark_leaving(&self, id: &str, started_ms: u64) -> bool {
        let mut pool = self.pool();
        let key = pool.key_of_start(id, started_ms);
        key.is_some_and(|key| pool.mark_leaving(key))
    }

    /// Adds to the endpoints that are shutting down, and removes those that have started
    /// again or are no longer listed.
    fn add_leaving(&self, id: &CompactString, started_ms: u64) {
        self.leaving_endpoints.send_if_modified(|endpoints| {
            let pool = self.pool();
            let listed = |id: &str| Some(pool.get(pool.key(id)?)?.endpoint.started_ms);
            endpoints.retain(|id, leaving| listed(id).is_some_and(|listed| listed <= *leaving));
            let is_superseded = listed(id).is_some_and(|listed| listed > started_ms);
            let known = endpoints.get(id).is_some_and(|known| *known >= started_ms);
            if is_superseded || known {
                return false;
            }
            endpoints.insert(id.clone(), started_ms);
            true
        });
    }

    /// Records that an endpoint failed to serve a request and reports it to the
    /// scheduler.
    fn record_failure(&self, now: Instant, key: EndpointKey, failure: Failure) {
        let mut pool = self.pool();
        pool.record_failure(now, key, failure);
        let Some(state) = pool.get(key) else { return };
        let endpoint = &state.endpoint;
        let (id, service) = (endpoint.id.clone(), endpoint.service.clone());
        drop(pool);
        self.links.report_failure(&service, &id, failure);
    }

    /// Marks an engine as moving to another stage.
    fn mark_moving(&self, now: Instant, id: &CompactString, phase: Phase) {
        let until = now + self.settings.balance.move_timeout;
        self.pool().mark_moving(until, id, phase);
        self.moving_engines.send_modify(|engines| {
            engines.retain(|_, (_, until)| *until > now);
            engines.insert(id.clone(), (phase, until));
        });
    }

    /// Returns the number of known entry hosts, including this one.
    fn host_count(&self) -> usize {
        let known = lock(&self.hosts).count();
        if known == 0 {
            ASSUMED_HOST_COUNT
        } else {
            known
        }
    }

    /// Adds a request to the retry budget of a service.
    fn earn_retry(&self, now: Instant, service: &str) {
        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Returns whether a request may be sent once more, and spends a retry of its
    /// service's budget if the send is one.
    fn pay_send(&self, now: Instant, service: &str, sends: &mut Sends) -> bool {
        if !sends.is_next_retry() {
            return true;
        }
        let share = lock(&self.hosts).share(now);
        let spent = self.with_budget(service, |budget| budget.spend(now, share));
        let counter = if spent {
            sends.record_payment();
            "retry.sent"
        } else {
            "retry.no_budget"
        };
        self.metrics.count(counter);
        spent
    }

    /// Calls a function with a service's queue.
    fn with_queue<R>(&self, service: &str, work: impl FnOnce(&mut Queue) -> R) -> R {
        let mut queues = lock(&self.queues);
        work(get_or_insert(&mut queues, service, Queue::default))
    }

    /// Calls a function with a service's retry budget.
    fn with_budget<R>(&self, service: &str, work: impl FnOnce(&mut Budget) -> R) -> R {
        let mut budgets = lock(&self.budgets);
        let new = || Budget::new(self.settings.budget);
        work(get_or_insert(&mut budgets, service, new))
    }
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Records the era that an answer of the store or another host names.
    /// Returns `false` if it is an earlier one than the current.
    fn observe_era(&self, era: Era) -> bool {
        let mut before = Era::default();
        let is_new = self.era.send_if_modified(|current| {
            before = *current;
            *current = era.max(before);
            era > before
        });
        if is_new {
            lock(&self.moves).begin_era(self.clock.now());
            // The copy may lack versions in use.
            lock(&self.origins).versions_mut().forget_history();
            self.metrics.count("store.era_begun");
            slog::info!(self.logger, "store: new era"; "era" => era.0, "before" => before.0);
        }
        era >= before
    }

    /// Makes a call to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or takes too long, or if its answer is of an earlier era.
    async fn call_store<T>(
        &self,
        call: impl Future<Output = store::Answer<T>>,
    ) -> Result<T, store::Error> {
        let answer = tokio::time::timeout(self.settings.call_timeout, call).await;
        let answer = answer.map_err(|_| store::Error::Unavailable("no answer".into()))?;
        if answer.era.is_some_and(|era| !self.observe_era(era)) {
            return Err(store::Error::Outdated);
        }
        answer.result
    }

    /// Replaces the endpoints that requests are sent to.
    fn update_endpoints(&self, endpoints: Vec<Endpoint>) {
        // The origins are told before a request goes to an endpoint of a new version.
        self.update_versions(&endpoints);
        let removed = self.pool().update(endpoints.clone());
        for (id, started_ms) in &*self.leaving_endpoints.borrow() {
            self.mark_leaving(id, *started_ms);
        }
        self.update_departures(&removed);
        self.current_endpoints.send_replace(Some(endpoints));
        self.capacity_freed.notify_waiters();
    }

    /// Returns whether this host is the first that reads the platform for its failure domain.
    fn is_reader(&self) -> bool {
        let readers = lock(&self.hosts).readers(&self.settings.domain);
        readers.first() == Some(&self.settings.scheduler)
    }

    /// Returns the record with which this host announces itself.
    fn host(&self) -> Host {
        Host {
            name: self.settings.name.clone(),
            domain: self.settings.domain.clone(),
            scheduler: (!*self.draining.borrow()).then_some(self.settings.scheduler),
            cores: self.settings.cores,
        }
    }
}

/// Locks a mutex and ignores poisoning. The shared values are estimates and
/// counters, which stay usable if a thread panics during an update.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a service's value in a map, inserting a new one if it is missing.
fn get_or_insert<'a, T>(
    map: &'a mut Map<CompactString, T>,
    service: &str,
    new: impl FnOnce() -> T,
) -> &'a mut T {
    map.entry(service.into()).or_insert_with(new)
}

/// Number of entry hosts that is assumed until the store lists some. It is high
/// so that the predicted wait for capacity is not too short.
const ASSUMED_HOST_COUNT: usize = 16;
