//! Control task of the entry: maintains the sidecars, their load and the links to them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::mpsc;

use cranberryridge_policy::member::{Host, SidecarKey, View};
use cranberryridge_policy::suspect;
use cranberryridge_wire::id::Digest;
use cranberryridge_wire::message::{Report, Suspect, Welcome};
use cranberryridge_wire::{Map, Set};

use super::link::{self, Link};
use super::Shared;
use crate::clock::Clock;
use crate::net::Net;
use crate::platform::hosts::Hosts;

const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two snapshots for each [`ENDPOINTS_PER_INTERVAL`] endpoints, so
/// that the cost of snapshots does not grow with the fleet.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(10);

/// Number of endpoints that add one [`SNAPSHOT_INTERVAL`] to the time between
/// snapshots.
const ENDPOINTS_PER_INTERVAL: usize = 1000;

/// Immutable state of the sidecars and links that request tasks read.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Sidecars, endpoints and their load.
    pub view: View,
    /// Links by address of the sidecar.
    pub links: Map<SocketAddr, Arc<Link>>,
    /// Digests of requests that must not run, because they crash endpoints.
    pub barred: Arc<Set<Digest>>,
}

impl Snapshot {
    /// Returns the link to a sidecar.
    pub fn link(&self, key: SidecarKey) -> Option<&Arc<Link>> {
        self.links.get(&self.view.sidecars.get(key)?.address)
    }
}

/// Input of the control task from links and from the host list.
#[derive(Debug)]
pub enum Event {
    /// First message of a sidecar on a new connection.
    Welcome(SocketAddr, Welcome),
    /// Periodic report of a sidecar's load.
    Report(SocketAddr, Report),
    /// The connection to a sidecar is down.
    Lost(SocketAddr),
    /// A new host list was read.
    Listed(Vec<Host>),
}

/// Runs the control task; never returns.
pub async fn run<N: Net, C: Clock, H: Hosts>(
    shared: Arc<Shared<N, C>>,
    hosts: H,
    traffic: tokio::runtime::Handle,
) {
    let (sender, mut events) = mpsc::unbounded_channel();
    tokio::spawn(poll_hosts(shared.clone(), hosts, sender.clone()));
    let mut state = State {
        shared,
        traffic,
        events: sender,
        snapshot: Snapshot::default(),
        suspects: suspect::Table::default(),
        changed: false,
        next_publish: tokio::time::Instant::now(),
    };
    // Publishing comes first, so that a stream of events cannot delay it.
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(state.next_publish), if state.changed => state.publish(),
            Some(event) = events.recv() => state.handle(event),
        }
    }
}

struct State<N, C> {
    shared: Arc<Shared<N, C>>,
    /// Runtime that links run on.
    traffic: tokio::runtime::Handle,
    /// Given to each link and to the host list task.
    events: mpsc::UnboundedSender<Event>,
    /// Current state, published to request tasks at intervals.
    snapshot: Snapshot,
    /// Requests suspected of crashing endpoints.
    suspects: suspect::Table,
    /// Whether `snapshot` changed since it was last published.
    changed: bool,
    /// Earliest time at which `snapshot` may be published again.
    next_publish: tokio::time::Instant,
}

impl<N: Net, C: Clock> State<N, C> {
    /// Applies an event.
    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let view = &mut self.snapshot.view;
        match event {
            Event::Welcome(address, welcome) => {
                info!(self.shared.logger, "entry: sidecar connected"; "sidecar" => %welcome.name);
                view.apply_welcome(now, address, &welcome);
                if let Some(link) = self.snapshot.links.get(&address) {
                    let all = self.suspects.all(now).into_iter();
                    all.for_each(|suspect| link.queue_suspect(suspect));
                }
            }
            Event::Report(address, report) => {
                view.apply_report(now, address, &report);
                self.share_suspects(&report.suspects);
            }
            Event::Lost(address) => {
                warn!(self.shared.logger, "entry: connection to sidecar lost"; "address" => %address);
                view.mark_disconnected(address);
            }
            Event::Listed(hosts) => self.apply_hosts(&hosts),
        }
        self.changed = true;
    }

    /// Merges a sidecar's crash counts and sends those that are new to all connected
    /// sidecars.
    fn share_suspects(&mut self, suspects: &[Suspect]) {
        if suspects.is_empty() && self.snapshot.barred.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        for suspect in suspects {
            if !self.suspects.merge_peer(now, suspect) {
                continue;
            }
            for (address, link) in &self.snapshot.links {
                // A disconnected sidecar gets all suspects when it reconnects.
                let sidecar = self.snapshot.view.sidecar_at(*address);
                if sidecar.is_some_and(|sidecar| sidecar.connected) {
                    link.queue_suspect(suspect.clone());
                }
            }
        }
        self.snapshot.barred = Arc::new(self.suspects.barred(now));
    }

    /// Applies a host list: starts links to new sidecars and stops links to removed
    /// ones.
    fn apply_hosts(&mut self, hosts: &[Host]) {
        if hosts.is_empty() {
            self.shared.metrics.count("hosts.empty");
        }
        let diff = self.snapshot.view.apply_list(hosts);
        for address in diff.added {
            let link = Arc::new(Link::default());
            self.snapshot.links.insert(address, link.clone());
            let events = self.events.clone();
            self.traffic
                .spawn(link::run(self.shared.clone(), address, link, events));
        }
        for address in diff.removed {
            if let Some(link) = self.snapshot.links.remove(&address) {
                link.stop();
            }
        }
    }

    /// Publishes the current state to request tasks.
    fn publish(&mut self) {
        self.changed = false;
        let intervals = self.snapshot.view.endpoints.len() / ENDPOINTS_PER_INTERVAL + 1;
        self.next_publish = tokio::time::Instant::now() + SNAPSHOT_INTERVAL * intervals as u32;
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
    }
}

/// Reads the host list in a loop. While it is unreadable, the last one stays in force.
/// This is a task of its own, so that a slow host list delays nothing else.
async fn poll_hosts<N: Net, C: Clock, H: Hosts>(
    shared: Arc<Shared<N, C>>,
    hosts: H,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut interval = tokio::time::interval(LIST_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        match hosts.list().await {
            // The control task ends only with the runtime.
            Ok(hosts) => drop(events.send(Event::Listed(hosts))),
            Err(error) => {
                shared.metrics.count("hosts.unreadable");
                warn!(shared.logger, "entry: host list unreadable"; "error" => %error);
            }
        }
    }
}
