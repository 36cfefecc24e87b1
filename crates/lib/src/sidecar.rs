//! The sidecar: the only process that talks to the endpoints beside it.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slog::{info, Logger};
use tokio::sync::{mpsc, watch, Notify};

use cranberryridge_policy::publish::Configuration;
use cranberryridge_wire::id::Incarnation;
use cranberryridge_wire::setting;

use crate::client::Client;
use crate::clock::Clock;
use crate::config;
use crate::metrics::Metrics;
use crate::net::{Listen, Net};
use crate::platform::log::Log;
use crate::tally::Tally;

pub mod attempt;
pub mod calls;
pub mod claim;
pub mod control;
pub mod engine;
pub mod model;
pub mod orders;
pub mod plain;
pub mod registry;
pub mod serve;

/// Time after which an entry that sends no heartbeat is taken for dead.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time that a stream without a reader is kept for its resumption.
pub const RESUME_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Time within which engine memory is free of an entry that died or stands
/// still: its silence, the wait for a resumption and the cancellation.
pub const MAX_RECLAIM_TIME: Duration = Duration::from_secs(4);

/// What a sidecar is made of.
#[derive(Clone, Debug)]
pub struct Parts<N, C, L> {
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// The platform's log.
    pub log: L,
    /// Its settings.
    pub settings: setting::Sidecar,
    /// Its counters.
    pub metrics: Metrics,
    /// Its log lines.
    pub logger: Logger,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// Where traffic runs.
    pub traffic: tokio::runtime::Handle,
}

/// A sidecar that listens. Clones are handles of the same one.
#[derive(Debug)]
pub struct Sidecar<N, C> {
    /// What all its parts share.
    shared: Arc<Shared<N, C>>,
}

impl<N, C> Clone for Sidecar<N, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// What all parts of a sidecar share.
#[derive(Debug)]
pub struct Shared<N, C> {
    /// The network.
    pub net: N,
    /// The clock.
    pub clock: C,
    /// Settings.
    pub settings: setting::Sidecar,
    /// Counters.
    pub metrics: Metrics,
    /// Log lines.
    pub logger: Logger,
    /// Drawn at each start.
    pub incarnation: Incarnation,
    /// Admission.
    pub control: control::Handle,
    /// Model answers that are generated.
    pub registry: registry::Registry,
    /// Requests at engines that this answers for.
    pub claims: claim::Claims,
    /// Streams of entries, and answers that they may still read.
    pub streams: Tally,
    /// Number of the next request to an engine.
    pub next_job: AtomicU64,
    /// Asks for a look at an endpoint's engine at once, by endpoint.
    pub poll_requests: Vec<Notify>,
    /// Whether the last request is over and connections close.
    pub closing: watch::Sender<bool>,
    /// Connections of entries.
    pub connections: Tally,
    /// Plain calls that ran, run or will never run.
    pub calls: calls::Calls,
    /// Where the configuration comes from.
    pub feed: Arc<config::Feed>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Where this listens.
    pub address: SocketAddr,
}

impl<N: Net, C: Clock> Sidecar<N, C> {
    /// Starts a sidecar on the present runtime: cancels what its engines run
    /// for a predecessor, then listens.
    ///
    /// # Errors
    ///
    /// When an address is not usable or the listener cannot be had.
    pub async fn start<L: Log>(parts: Parts<N, C, L>) -> anyhow::Result<Self> {
        let mut listener = parts
            .net
            .bind(parts.settings.common.listen.parse()?)
            .await?;
        let poll_requests = parts.settings.endpoints.iter();
        let poll_requests = poll_requests.map(|_| Notify::new()).collect();
        let (feed, configuration) = config::Feed::new(parts.logger.clone());
        let control = control::start(
            parts.clock.clone(),
            &parts.settings,
            parts.incarnation,
            configuration.clone(),
        );
        let shared = Arc::new(Shared {
            address: listener.address(),
            net: parts.net,
            clock: parts.clock,
            settings: parts.settings,
            metrics: parts.metrics,
            logger: parts.logger,
            incarnation: parts.incarnation,
            control,
            registry: registry::Registry::default(),
            claims: claim::Claims::default(),
            streams: Tally::default(),
            next_job: AtomicU64::new(0),
            poll_requests,
            closing: watch::Sender::new(false),
            connections: Tally::default(),
            calls: calls::Calls::default(),
            feed: feed.clone(),
            configuration,
        });

        let endpoints = shared.settings.endpoints.len();
        let (dispatcher, orders) = orders::Dispatcher::new(&shared.settings.common.name, endpoints);
        tokio::spawn(config::follow(parts.log, feed, Arc::new(dispatcher)));
        for (index, orders) in orders.into_iter().enumerate() {
            spawn_order_sender(&shared, index, orders);
        }
        for index in 0..shared.settings.endpoints.len() {
            parts.traffic.spawn(model::supervise(shared.clone(), index));
        }
        let server = shared.clone();
        parts
            .traffic
            .spawn(async move { serve::run(server, &mut listener).await });
        info!(shared.logger, "sidecar: listening"; "address" => %shared.address);
        Ok(Self { shared })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Its name.
    pub fn name(&self) -> &CompactString {
        &self.shared.settings.common.name
    }

    /// What its parts share.
    pub fn shared(&self) -> &Arc<Shared<N, C>> {
        &self.shared
    }

    /// Its counters.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Shuts down gracefully: takes no new work, tells every entry, waits
    /// until the last answer is with its entry, then closes the connections.
    /// Returns whether nothing was cut off.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        info!(shared.logger, "sidecar: draining");
        shared.control.drain();
        let drain_timeout = Duration::from_millis(u64::from(shared.settings.common.drain_ms));
        let idle = async {
            shared.control.wait_idle().await;
            shared.streams.idle().await;
            // New streams are refused, so nothing can begin from here on.
            shared.closing.send_replace(true);
            shared.connections.idle().await;
        };
        let complete = tokio::time::timeout(drain_timeout, idle).await.is_ok();
        info!(shared.logger, "sidecar: drained"; "whole" => complete);
        complete
    }
}

/// Starts the orderer of an engine; a plain service takes no orders.
fn spawn_order_sender<N: Net, C>(
    shared: &Shared<N, C>,
    index: usize,
    orders: mpsc::UnboundedReceiver<orders::LogOrder>,
) {
    let endpoint = &shared.settings.endpoints[index];
    let Ok(address) = endpoint.address.parse() else {
        return;
    };
    if endpoint.kind != setting::Kind::Plain {
        let client = Client::new(shared.net.clone(), address);
        let (metrics, logger) = (shared.metrics.clone(), shared.logger.clone());
        tokio::spawn(orders::run(client, orders, metrics, logger));
    }
}
