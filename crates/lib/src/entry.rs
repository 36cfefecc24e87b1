//! The entry: takes requests from callers and owns them until their last byte.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use compact_str::CompactString;
use rand::{rngs::StdRng, SeedableRng};
use slog::{info, Logger};
use tokio::sync::watch;

use cranberryridge_policy::{limit, place, publish::Configuration, retry};
use cranberryridge_wire::id::{Incarnation, Request};
use cranberryridge_wire::{setting, Map};

use crate::clock::Clock;
use crate::config;
use crate::metrics::Metrics;
use crate::net::{Listen, Net};
use crate::platform::{hosts::Hosts, log::Log};
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

/// What an entry is made of.
#[derive(Clone, Debug)]
pub struct Parts<N, C, L, H> {
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// The platform's log.
    pub log: L,
    /// The platform's host list.
    pub hosts: H,
    /// Its settings.
    pub settings: setting::Entry,
    /// Its counters.
    pub metrics: Metrics,
    /// Its log lines.
    pub logger: Logger,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// Where traffic runs.
    pub traffic: tokio::runtime::Handle,
}

/// An entry that listens. Clones are handles of the same one.
#[derive(Debug)]
pub struct Entry<N, C> {
    /// What all its parts share.
    shared: Arc<Shared<N, C>>,
}

impl<N, C> Clone for Entry<N, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// What all parts of an entry share.
#[derive(Debug)]
pub struct Shared<N, C> {
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// Settings.
    pub settings: setting::Entry,
    /// Counters.
    pub metrics: Metrics,
    /// Log lines.
    pub logger: Logger,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// The members and links, as of now.
    pub snapshot: ArcSwap<control::Snapshot>,
    /// Where the configuration comes from.
    pub feed: Arc<config::Feed>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Claims of idempotency keys.
    pub claims: Arc<claims::Claims>,
    /// Whether the entry takes requests.
    pub draining: watch::Sender<bool>,
    /// Connections of callers.
    pub connections: Tally,
    /// Requests under way.
    pub flights: watch::Sender<u64>,
    /// Requests of each client account.
    pub limits: Mutex<limit::Table>,
    /// Retry budgets by service.
    pub budgets: Mutex<Map<CompactString, retry::Budget>>,
    /// Chooses endpoints.
    pub placer: Mutex<place::Placer>,
    /// Source of choices.
    pub random: Mutex<StdRng>,
    /// Number of the next request.
    sequence: AtomicU64,
    /// Where this listens.
    pub address: SocketAddr,
}

impl<N: Net, C: Clock> Entry<N, C> {
    /// Starts an entry: its control on the present runtime, its traffic on
    /// the one that the parts name.
    ///
    /// # Errors
    ///
    /// When an address is not usable or the listener cannot be had.
    pub async fn start<L: Log, H: Hosts>(parts: Parts<N, C, L, H>) -> anyhow::Result<Self> {
        let address = parts.settings.common.listen.parse()?;
        let (feed, configuration) = config::Feed::new(parts.logger.clone());
        let net = parts.net.clone();
        let bound = parts.traffic.spawn(async move { net.bind(address).await });
        let listener = bound.await??;
        let (claims, appends) = claims::Claims::new();
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
            connections: Tally::default(),
            flights: watch::Sender::new(0),
            limits: Mutex::default(),
            budgets: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(parts.incarnation.0)),
            sequence: AtomicU64::new(1),
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

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Its counters.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// What its parts share.
    pub fn shared(&self) -> &Arc<Shared<N, C>> {
        &self.shared
    }

    /// Shuts down gracefully: turns not ready, keeps the listener for a grace
    /// time, then waits until the last connection has closed behind its last
    /// answer. Returns whether nothing was cut off.
    pub async fn drain(&self) -> bool {
        let common = &self.shared.settings.common;
        info!(self.shared.logger, "entry: draining");
        self.shared.draining.send_replace(true);
        tokio::time::sleep(Duration::from_millis(u64::from(common.grace_ms))).await;
        let mut flights = self.shared.flights.subscribe();
        let limit = Duration::from_millis(u64::from(common.drain_ms));
        let idle = async {
            // An answer is whole once its connection is closed, not before. A
            // call that may not be repeated goes on without its caller.
            self.shared.connections.idle().await;
            // The sender lives as long as the entry.
            let _ = flights.wait_for(|flights| *flights == 0).await;
        };
        let whole = tokio::time::timeout(limit, idle).await.is_ok();
        info!(self.shared.logger, "entry: drained"; "whole" => whole);
        whole
    }
}

impl<N, C> Shared<N, C> {
    /// The next request's id.
    pub fn request(&self) -> Request {
        Request {
            entry: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Whether the entry is ready for requests.
    pub fn ready(&self) -> bool {
        !*self.draining.borrow() && self.configuration.borrow().version.0 > 0
    }

    /// Does something with a service's retry budget.
    pub fn budget<T>(&self, service: &CompactString, f: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone());
        f(budget.or_insert_with(|| retry::Budget::new(retry::Settings::default())))
    }

    /// Does something with what chooses endpoints.
    pub fn place<T>(&self, f: impl FnOnce(&mut place::Placer) -> T) -> T {
        f(&mut self.placer.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Does something with the source of choices.
    pub fn choose<T>(&self, f: impl FnOnce(&mut StdRng) -> T) -> T {
        f(&mut self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request under way. Dropping it counts the request out.
#[derive(Debug)]
pub struct Flight<N, C> {
    /// The entry.
    shared: Arc<Shared<N, C>>,
    /// The client account.
    client: CompactString,
}

impl<N, C> Flight<N, C> {
    /// Counts a request in, unless its client account is at its limit.
    pub fn enter(shared: &Arc<Shared<N, C>>, client: &str, limit: u32) -> Option<Self> {
        let mut limits = shared.limits.lock().unwrap_or_else(PoisonError::into_inner);
        if !limits.acquire(client, limit) {
            return None;
        }
        shared.flights.send_modify(|flights| *flights += 1);
        Some(Self {
            shared: shared.clone(),
            client: client.into(),
        })
    }
}

impl<N, C> Drop for Flight<N, C> {
    fn drop(&mut self) {
        let mut limits = self
            .shared
            .limits
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        limits.release(&self.client);
        self.shared.flights.send_modify(|flights| *flights -= 1);
    }
}
