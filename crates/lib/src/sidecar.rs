//! The sidecar: the only process that talks to its endpoints.

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

/// Time without a heartbeat after which an entry counts as dead.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long an answer that nobody reads is kept, so that its entry can resume it.
pub const RESUME_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Maximum time until engine memory that an entry used is free after the entry crashed
/// or froze: the heartbeat timeout, the grace period and the cancellation.
pub const MAX_RECLAIM_TIME: Duration = Duration::from_secs(4);

/// Dependencies and settings of a sidecar, consumed by [`Sidecar::start`].
#[derive(Clone, Debug)]
pub struct Parts<N, C, L> {
    /// Network for the listener and for connections to endpoints.
    pub net: N,
    /// Clock of the admission gates.
    pub clock: C,
    /// The platform's log, the source of the configuration and of orders.
    pub log: L,
    /// Settings from the settings file.
    pub settings: setting::Sidecar,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Receives all log lines.
    pub logger: Logger,
    /// Random number that distinguishes this start from earlier ones.
    pub incarnation: Incarnation,
    /// Runtime for connections and engines; control tasks run on the current runtime.
    pub traffic: tokio::runtime::Handle,
}

/// Handle to a running sidecar. Clones refer to the same sidecar.
#[derive(Debug)]
pub struct Sidecar<N, C> {
    shared: Arc<Shared<N, C>>,
}

impl<N, C> Clone for Sidecar<N, C> {
    fn clone(&self) -> Self {
        Self {
            shared: self.shared.clone(),
        }
    }
}

/// State that all tasks of a sidecar share.
#[derive(Debug)]
pub struct Shared<N, C> {
    /// Network for connections to endpoints.
    pub net: N,
    /// Clock of the admission gates.
    pub clock: C,
    /// Settings from the settings file.
    pub settings: setting::Sidecar,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Receives all log lines.
    pub logger: Logger,
    /// Random number that distinguishes this start from earlier ones.
    pub incarnation: Incarnation,
    /// The control task, which decides on admission.
    pub control: control::Handle,
    /// Model answers that are being generated or read.
    pub registry: registry::Registry,
    /// Requests at engines that a task of this sidecar owns.
    pub claims: claim::Claims,
    /// Number of open streams, and of answers that entries may still read.
    pub streams: Tally,
    /// Number of the next request to an engine, for its id.
    pub next_job: AtomicU64,
    /// Notified to poll an endpoint's engine at once, by endpoint index.
    pub poll_requests: Vec<Notify>,
    /// Set in a shutdown once the last request has ended and connections may close.
    pub closing: watch::Sender<bool>,
    /// Number of connections from entries.
    pub connections: Tally,
    /// Plain calls that ran, are running or are barred from running.
    pub calls: calls::Calls,
    /// Takes the configuration from the log and from entries.
    pub feed: Arc<config::Feed>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Address of the listener.
    pub address: SocketAddr,
}

impl<N: Net, C: Clock> Sidecar<N, C> {
    /// Starts a sidecar on the current runtime.
    ///
    /// It listens at once. A model endpoint takes requests once all requests that its
    /// engine runs for a predecessor of this sidecar are cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the listen address does not parse or cannot be bound.
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

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Name of the sidecar, as its settings give it.
    pub fn name(&self) -> &CompactString {
        &self.shared.settings.common.name
    }

    /// State that the tasks of the sidecar share.
    pub fn shared(&self) -> &Arc<Shared<N, C>> {
        &self.shared
    }

    /// Counters and latencies of the sidecar.
    pub fn metrics(&self) -> &Metrics {
        &self.shared.metrics
    }

    /// Shuts down gracefully: refuses new work, reports this to all entries, waits until
    /// the entries have received all answers, then closes the connections. Returns
    /// whether this finished within the drain timeout, so that no answer was cut off.
    pub async fn drain(&self) -> bool {
        let shared = &self.shared;
        info!(shared.logger, "sidecar: draining");
        shared.control.drain();
        let drain_timeout = Duration::from_millis(u64::from(shared.settings.common.drain_ms));
        let idle = async {
            shared.control.wait_idle().await;
            shared.streams.wait_idle().await;
            // New streams are refused, so no work can begin from here on.
            shared.closing.send_replace(true);
            shared.connections.wait_idle().await;
        };
        let complete = tokio::time::timeout(drain_timeout, idle).await.is_ok();
        info!(shared.logger, "sidecar: drained"; "whole" => complete);
        complete
    }
}

/// Starts the task that sends orders to an engine. A plain service takes no orders.
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
