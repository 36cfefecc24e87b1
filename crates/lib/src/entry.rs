//! The entry: accepts requests from callers and owns each one until its last byte.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::{rngs::StdRng, SeedableRng};
use slog::{info, Logger};
use tokio::sync::watch;

use cranberryridge_policy::gateway::drain::Interruption;
use cranberryridge_policy::gateway::memory::Bound;
use cranberryridge_policy::{limit, place, publish::Configuration, retry};
use cranberryridge_wire::id::{Incarnation, Request};
use cranberryridge_wire::{setting, Map};

use crate::clock::Clock;
use crate::config;
use crate::gateway::held;
use crate::metrics::Metrics;
use crate::net::{Listen, Net};
use crate::platform::{hosts::Hosts, log::Log};
use crate::stream::DOWN_WINDOW_BYTES;
use crate::tally::Tally;

pub mod claims;
pub mod control;
pub mod headers;
pub mod http;
pub mod keys;
pub mod link;
pub mod model;
pub mod openai;
pub mod plain;

/// Time in which the answers to requests that were given up are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of the parts of an answer that wait for a slow caller, in bytes. As much as
/// its sidecar may send ahead.
const MAX_QUEUED_BYTES: u32 = DOWN_WINDOW_BYTES;

/// Number of bodies of the maximum size that an entry has room for. One client account alone
/// may use half of it.
const MAX_HELD_BODIES: usize = 8;

/// Dependencies and settings that an entry starts with.
#[derive(Clone, Debug)]
pub struct Parts<N, C, L, H> {
    /// Network for the listener and the links to sidecars.
    pub net: N,
    /// Clock for arrival times and deadlines.
    pub clock: C,
    /// Client of the platform's log.
    pub log: L,
    /// Client of the platform's host list.
    pub hosts: H,
    /// Settings of the daemon.
    pub settings: setting::Entry,
    /// Counters that `/status` reports.
    pub metrics: Metrics,
    /// Destination of the log lines.
    pub logger: Logger,
    /// Random id of this start of the entry.
    pub incarnation: Incarnation,
    /// Runtime for the listener, the connections and the links to sidecars.
    pub traffic: tokio::runtime::Handle,
}

/// A running entry. Clones are handles to the same entry.
#[derive(Debug)]
pub struct Entry<N, C> {
    shared: Arc<Shared<N, C>>,
}

impl<N, C> Clone for Entry<N, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// State that all tasks of an entry share.
#[derive(Debug)]
pub struct Shared<N, C> {
    /// Network for the listener and the links to sidecars.
    pub net: N,
    /// Clock for arrival times and deadlines.
    pub clock: C,
    /// Settings of the daemon.
    pub settings: setting::Entry,
    /// Counters that `/status` reports.
    pub metrics: Metrics,
    /// Destination of the log lines.
    pub logger: Logger,
    /// Random id of this start of the entry.
    pub incarnation: Incarnation,
    /// Current sidecars, endpoints and links, as the control task last published them.
    pub snapshot: ArcSwap<control::Snapshot>,
    /// Source of the configuration: the log or a peer.
    pub feed: Arc<config::Feed>,
    /// Configuration in force; version 0 while none was read.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Claims of idempotency keys, as read from the log.
    pub claims: Arc<claims::Claims>,
    /// Whether the entry is shutting down.
    pub draining: watch::Sender<bool>,
    /// Whether the grace period of the shutdown is over, so that connections are closed.
    pub closing: watch::Sender<bool>,
    /// Whether open requests are given up, as the process is about to exit.
    pub giving_up: watch::Sender<bool>,
    /// Open connections of callers.
    pub connections: Tally,
    /// Number of requests in flight.
    pub in_flight: watch::Sender<u64>,
    /// Number of requests in flight of each client account.
    pub client_limits: Mutex<limit::Table>,
    /// Retry budget of each service.
    pub retry_budgets: Mutex<Map<CompactString, retry::Budget>>,
    /// Chooses the endpoints of model requests.
    pub placer: Mutex<place::Placer>,
    /// Random numbers for choices of endpoints and for backoffs.
    pub rng: Mutex<StdRng>,
    /// Memory that the bodies of requests take, by client account.
    bodies: Arc<held::Account>,
    next_sequence: AtomicU64,
    /// Address of the listener.
    pub address: SocketAddr,
}

impl<N: Net, C: Clock> Entry<N, C> {
    /// Starts an entry. Its control tasks run on the current runtime, its traffic runs
    /// on [`Parts::traffic`].
    ///
    /// # Errors
    ///
    /// Fails if the listen address is invalid or cannot be bound.
    pub async fn start<L: Log, H: Hosts>(parts: Parts<N, C, L, H>) -> anyhow::Result<Self> {
        let address = parts.settings.common.listen.parse()?;
        let (feed, configuration) = config::Feed::new(parts.logger.clone());
        let net = parts.net.clone();
        let listener = parts.traffic.spawn(async move { net.bind(address).await });
        let listener = listener.await??;
        let (claims, appends) = claims::Claims::new();
        let bound = Bound {
            max_bytes: MAX_HELD_BODIES * parts.settings.max_body_bytes as usize,
        };
        let total = held::Total::new(bound);
        let bodies = held::Account::new(bound, total, &parts.metrics, [None, None]);
        let shared = Arc::new(Shared {
            address: listener.address(),
            net: parts.net,
            clock: parts.clock,
            placer: Mutex::new(place::Placer::new(parts.settings.decision.clone())),
            settings: parts.settings,
            metrics: parts.metrics,
            logger: parts.logger,
            incarnation: parts.incarnation,
            snapshot: ArcSwap::default(),
            feed: feed.clone(),
            configuration,
            claims: claims.clone(),
            draining: watch::Sender::new(false),
            closing: watch::Sender::new(false),
            giving_up: watch::Sender::new(false),
            connections: Tally::default(),
            in_flight: watch::Sender::new(0),
            client_limits: Mutex::default(),
            retry_budgets: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(parts.incarnation.0)),
            bodies,
            next_sequence: AtomicU64::new(1),
        });

        tokio::spawn(config::follow(parts.log.clone(), feed.clone(), claims));
        tokio::spawn(config::republish(
            parts.log.clone(),
            shared.clock.clone(),
            feed,
            shared.incarnation.0,
        ));
        tokio::spawn(claims::append(parts.log, appends, shared.metrics.clone()));
        tokio::spawn(control::run(
            shared.clone(),
            parts.hosts,
            parts.traffic.clone(),
        ));
        parts.traffic.spawn(http::run(shared.clone(), listener));
        info!(shared.logger, "entry: listening"; "address" => %shared.address);
        Ok(Self { shared })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the counters.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Returns the state that the entry's tasks share.
    pub fn shared(&self) -> &Arc<Shared<N, C>> {
        &self.shared
    }

    /// Shuts down gracefully: reports not ready, keeps the listener open for the grace
    /// period, then waits until the last connection has closed after its last answer.
    /// Returns false if requests were given up as the drain timed out.
    pub async fn drain(&self) -> bool {
        let common = &self.shared.settings.common;
        info!(self.shared.logger, "entry: draining");
        self.shared.draining.send_replace(true);
        tokio::time::sleep(Duration::from_millis(u64::from(common.grace_ms))).await;
        self.shared.closing.send_replace(true);
        let mut in_flight = self.shared.in_flight.subscribe();
        let timeout = Duration::from_millis(u64::from(common.drain_ms));
        let idle = async {
            // An answer is complete only when its connection has closed. A call that
            // must not be repeated continues even without its caller.
            self.shared.connections.wait_idle().await;
            // The sender lives as long as the entry, so the wait cannot fail.
            let _ = in_flight.wait_for(|in_flight| *in_flight == 0).await;
        };
        let complete = tokio::time::timeout(timeout, idle).await.is_ok();
        if !complete {
            self.give_up().await;
        }
        info!(self.shared.logger, "entry: drained"; "whole" => complete);
        complete
    }

    /// Answers all requests that are still open, as the process is about to exit, and waits
    /// for a short time until the answers are written. Streams that have begun are cut off
    /// when the process exits. Further calls return at once.
    pub async fn give_up(&self) {
        let shared = &self.shared;
        if shared.giving_up.send_replace(true) {
            return;
        }
        info!(shared.logger, "entry: giving up open requests";
            "requests" => *shared.in_flight.borrow());
        // A caller that does not read is cut off.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, shared.connections.wait_idle()).await;
    }
}

impl<N, C> Shared<N, C> {
    /// Returns the id of the next request.
    pub fn next_request_id(&self) -> Request {
        Request {
            entry: self.incarnation,
            sequence: self.next_sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Whether the entry has a configuration and is not draining.
    pub fn is_ready(&self) -> bool {
        !*self.draining.borrow() && self.configuration.borrow().version.0 > 0
    }

    /// Works on a request until the entry gives up its open requests. A result that is ready
    /// at that time is returned.
    ///
    /// # Errors
    ///
    /// Returns [`Interruption::Exit`] if the work was interrupted.
    pub async fn run_until_exit<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, Interruption> {
        if *self.giving_up.borrow() {
            return Err(Interruption::Exit);
        }
        let mut giving_up = self.giving_up.subscribe();
        tokio::select! {
            biased;
            result = work => Ok(result),
            // The sender lives as long as the entry, so the wait cannot fail.
            _ = giving_up.wait_for(|giving_up| *giving_up) => Err(Interruption::Exit),
        }
    }

    /// Runs a closure with the retry budget of a service, creating the budget if
    /// needed.
    pub fn with_budget<T>(
        &self,
        service: &CompactString,
        f: impl FnOnce(&mut retry::Budget) -> T,
    ) -> T {
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone());
        f(budget.or_insert_with(|| retry::Budget::new(retry::Settings::default())))
    }

    /// Runs a closure with the placer locked.
    pub fn with_placer<T>(&self, f: impl FnOnce(&mut place::Placer) -> T) -> T {
        f(&mut self.placer.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs a closure with the random number generator locked.
    pub fn with_rng<T>(&self, f: impl FnOnce(&mut StdRng) -> T) -> T {
        f(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request's share of its client account's limit. Dropping it removes the request
/// from the count.
#[derive(Debug)]
pub struct Permit<N, C> {
    shared: Arc<Shared<N, C>>,
    client: CompactString,
}

impl<N, C> Permit<N, C> {
    /// Counts a request as in flight. Returns `None` if its client account has reached
    /// `limit`.
    pub fn acquire(shared: &Arc<Shared<N, C>>, client: &str, limit: u32) -> Option<Self> {
        let mut limits = shared
            .client_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !limits.acquire(client, limit) {
            return None;
        }
        shared.in_flight.send_modify(|in_flight| *in_flight += 1);
        Some(Self {
            shared: shared.clone(),
            client: client.into(),
        })
    }
}

impl<N, C> Drop for Permit<N, C> {
    fn drop(&mut self) {
        let mut limits = self
            .shared
            .client_limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        limits.release(&self.client);
        self.shared
            .in_flight
            .send_modify(|in_flight| *in_flight -= 1);
    }
}
