//! The entry's control task: members, their load, and the links to them.

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

/// Time between readings of the host list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two snapshots, for each [`ENDPOINTS_PER_INTERVAL`] of endpoints, so
/// that their cost stays flat as the fleet grows.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(10);

/// Endpoints that a snapshot may hold for each [`SNAPSHOT_INTERVAL`] of waiting.
const ENDPOINTS_PER_INTERVAL: usize = 1000;

/// What traffic sees of the members.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Sidecars, endpoints and their load.
    pub view: View,
    /// Links by address.
    pub links: Map<SocketAddr, Arc<Link>>,
    /// Requests that must not run.
    pub barred: Arc<Set<Digest>>,
}

impl Snapshot {
    /// The link to a sidecar.
    pub fn link(&self, key: SidecarKey) -> Option<&Arc<Link>> {
        self.links.get(&self.view.sidecars.get(key)?.address)
    }
}

/// What links tell the control task.
#[derive(Debug)]
pub enum Event {
    /// A sidecar's first words.
    Welcome(SocketAddr, Welcome),
    /// A sidecar's report.
    Report(SocketAddr, Report),
    /// The connection is down.
    Lost(SocketAddr),
    /// The host list.
    Listed(Vec<Host>),
}

/// Runs for ever.
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
    // A tick of its own, so that a stream of events cannot put it off.
    loop {
        tokio::select! {
            biased;
            () = tokio::time::sleep_until(state.next_publish), if state.changed => state.publish(),
            Some(event) = events.recv() => state.handle(event),
        }
    }
}

/// State of the control task.
struct State<N, C> {
    /// The entry.
    shared: Arc<Shared<N, C>>,
    /// Where links run.
    traffic: tokio::runtime::Handle,
    /// For links to report to.
    events: mpsc::UnboundedSender<Event>,
    /// The members as of now.
    snapshot: Snapshot,
    /// Requests that crash endpoints.
    suspects: suspect::Table,
    /// Whether traffic has not seen the members as of now.
    changed: bool,
    /// When traffic may see them.
    next_publish: tokio::time::Instant,
}

impl<N: Net, C: Clock> State<N, C> {
    /// Takes an event of a link.
    fn handle(&mut self, event: Event) {
        let now = self.shared.clock.now();
        let view = &mut self.snapshot.view;
        match event {
            Event::Welcome(address, welcome) => {
                info!(self.shared.logger, "entry: sidecar up"; "sidecar" => %welcome.name);
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
                warn!(self.shared.logger, "entry: sidecar lost"; "address" => %address);
                view.mark_disconnected(address);
            }
            Event::Listed(hosts) => self.apply_hosts(&hosts),
        }
        self.changed = true;
    }

    /// Passes on what is new about crashing requests.
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
                // One that is not connected is told all when it is.
                let sidecar = self.snapshot.view.sidecar_at(*address);
                if sidecar.is_some_and(|sidecar| sidecar.connected) {
                    link.queue_suspect(suspect.clone());
                }
            }
        }
        self.snapshot.barred = Arc::new(self.suspects.barred(now));
    }

    /// Takes a host list.
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

    /// Hands the members as of now to traffic.
    fn publish(&mut self) {
        self.changed = false;
        let intervals = self.snapshot.view.endpoints.len() / ENDPOINTS_PER_INTERVAL + 1;
        self.next_publish = tokio::time::Instant::now() + SNAPSHOT_INTERVAL * intervals as u32;
        self.shared.snapshot.store(Arc::new(self.snapshot.clone()));
    }
}

/// Reads the host list for ever. While it cannot be had, the last one stays
/// good. It is read apart, so that a slow list holds up nothing else.
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
            // The control task ends with the runtime only.
            Ok(hosts) => drop(events.send(Event::Listed(hosts))),
            Err(error) => {
                shared.metrics.count("hosts.unreadable");
                warn!(shared.logger, "entry: no host list"; "error" => %error);
            }
        }
    }
}
