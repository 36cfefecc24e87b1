//! Links of this host to schedulers.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use tokio::sync::{mpsc, Notify};

use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::origin;
use cranberryridge_policy::gateway::pool::Failure;
use cranberryridge_wire::message::Suspect;
use cranberryridge_wire::schedule::{self as wire, Down, Kind, Up};
use cranberryridge_wire::{Map, Set};

use crate::clock::Clock;
use crate::frame;
use crate::gateway::snapshot::Snapshot;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Key in a link's services that stands for the platform's snapshot.
const SNAPSHOT_SERVICE: &str = "";

/// Key in a link's services that stands for what hosts tell each other of crashes.
const CRASH_SERVICE: &str = "/crashes";

/// Key in a link's services that stands for the quotas of client accounts.
pub(super) const QUOTA_SERVICE: &str = "/quotas";

/// Interval at which the host that reads the platform is chosen again.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout for opening a link. Covers several round trips between failure
/// domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay before a link is opened again. Meanwhile the next scheduler is used.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Interval at which a request that may wait looks for links that are being opened.
pub(super) const LINK_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which an unused link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity of a link's queue of outgoing messages.
const OUTBOX_CAPACITY: usize = 1024;

/// Part of the queue that origins which are told in bulk leave to other messages.
const SPARE_CAPACITY: usize = OUTBOX_CAPACITY / 2;

/// Interval at which origins that are told in bulk look for room in the queue.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The links of this host and its leases.
#[derive(Debug, Default)]
pub struct Links {
    by_address: Mutex<Map<SocketAddr, Arc<Link>>>,
    /// Number of the last request.
    pub(super) last_number: AtomicU64,
    /// Leases of this host by request number.
    pub(super) leases: Mutex<Map<u64, wire::Lease>>,
}

#[derive(Debug)]
pub(super) struct Link {
    address: SocketAddr,
    pub(super) sender: mpsc::Sender<Up>,
    pub(super) state: Mutex<State>,
    /// Closes the connection, so that it is opened anew.
    reset: Notify,
    /// Wakes the task that tells the origins of streams in bulk.
    untold_added: Notify,
}

/// State of a link.
#[derive(Debug)]
pub(super) struct State {
    phase: Phase,
    /// Services for which this host uses the link, and [`SNAPSHOT_SERVICE`].
    services: Set<CompactString>,
    /// Channels of the requests that wait for a reply, by request number.
    pub(super) waiting: Map<u64, mpsc::Sender<Down>>,
    /// Streams whose origins are told as the queue has room.
    untold: BTreeSet<u64>,
    /// Time of the last request on the link.
    last_used: Instant,
    /// Time at which the last connection ended or could not be opened, or `None` before
    /// that and while one is open.
    down_since: Option<Instant>,
    /// Whether a request timed out since the last message from the scheduler.
    pub(super) is_unresponsive: bool,
}

/// Phase of a link's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Opening,
    Up,
    /// The connection failed, and the next scheduler is used.
    Down,
}

/// Returns the link for a service, or `None` if it is not up or this host has the service
/// itself. Begins to open it if there is none.
pub(super) fn active_link<N: Net, C: Clock, D: Send + Sync + 'static>(
    shared: &Arc<Shared<N, C, D>>,
    service: &str,
) -> Option<Arc<Link>> {
    let now = shared.clock.now();
    let hosts = match service {
        SNAPSHOT_SERVICE => lock(&shared.hosts).readers(&shared.settings.domain),
        CRASH_SERVICE => lock(&shared.hosts).hubs(),
        QUOTA_SERVICE => lock(&shared.hosts).ledgers(),
        _ => lock(&shared.hosts).schedulers(service),
    };
    let is_own = matches!(service, SNAPSHOT_SERVICE | CRASH_SERVICE);
    for address in hosts {
        if is_own && address == shared.settings.scheduler {
            if service == SNAPSHOT_SERVICE && !shared.has_fresh_list() {
                // It does not reach the store, but the next reader may.
                continue;
            }
            return None;
        }
        let link = shared.links.get_or_open(shared, address);
        let mut state = lock(&link.state);
        if state.is_unresponsive {
            return None;
        }
        match state.phase {
            Phase::Down => continue,
            // A link to a host that is gone is opened again and again.
            Phase::Opening if service == QUOTA_SERVICE => continue,
            Phase::Opening => return None,
            Phase::Up => {}
        }
        state.last_used = now;
        let is_new = state.services.insert(service.into());
        drop(state);
        if is_new && service == SNAPSHOT_SERVICE {
            shared.news.send_replace(Snapshot::default());
            // If the link is lost, `follow` sends the message again.
            let _ = link.sender.try_send(Up::Follow);
        } else if is_new && service == QUOTA_SERVICE {
            link.send(Up::Lend);
        } else if is_new {
            shared.links.restore_leases(&link, service);
        }
        return Some(link);
    }
    None
}

impl<N: Net, C: Clock, D: Send + Sync + 'static> Shared<N, C, D> {
    /// Returns whether the ledger of quotas can be asked.
    pub(in crate::gateway) fn has_ledger(self: &Arc<Self>) -> bool {
        active_link(self, QUOTA_SERVICE).is_some()
    }
}

/// Follows the snapshot of the host that reads the platform. The host that reads for a
/// failure domain keeps a link to those of the others, over which hosts tell each other of
/// crashes. Runs until the process ends.
pub async fn follow<N: Net, C: Clock, D: Send + Sync + 'static>(shared: Arc<Shared<N, C, D>>) {
    let mut previous = None;
    loop {
        let link = active_link(&shared, SNAPSHOT_SERVICE);
        let address = link.map(|link| link.address);
        if address != previous {
            if let Some(previous) = previous {
                shared.links.unsubscribe(previous);
            }
            previous = address;
        }
        if shared.table.load().accounts().has_quotas() {
            let link = active_link(&shared, QUOTA_SERVICE);
            let address = link.map(|link| link.address);
            // A link that is only unresponsive may still be that of the ledger.
            if let Some(address) = address {
                shared.links.reclaim_from_others(address);
            }
        }
        if shared.is_reader() {
            active_link(&shared, CRASH_SERVICE);
            shared.links.keep_substitute_link(&shared);
        }
        shared.update_staleness();
        shared.links.keep_origin_links(&shared);
        tokio::time::sleep(READER_CHECK_INTERVAL).await;
    }
}

impl Links {
    /// Returns the link to a scheduler. Begins to open it if there is none.
    fn get_or_open<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
        address: SocketAddr,
    ) -> Arc<Link> {
        let mut by_address = lock(&self.by_address);
        if let Some(link) = by_address.get(&address) {
            return link.clone();
        }
        let (sender, outbox) = mpsc::channel(OUTBOX_CAPACITY);
        let link = Arc::new(Link {
            address,
            sender,
            state: Mutex::new(State {
                phase: Phase::Opening,
                services: Set::default(),
                waiting: Map::default(),
                untold: BTreeSet::default(),
                last_used: shared.clock.now(),
                down_since: None,
                is_unresponsive: false,
            }),
            reset: Notify::new(),
            untold_added: Notify::new(),
        });
        by_address.insert(address, link.clone());
        tokio::spawn(run(shared.clone(), link.clone(), outbox));
        link
    }

    /// Returns the link to a host, and keeps it open for a while.
    pub(super) fn keep_open<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
        address: SocketAddr,
    ) -> Arc<Link> {
        let link = self.get_or_open(shared, address);
        lock(&link.state).last_used = shared.clock.now();
        link
    }

    /// Keeps a link open from the hub to its first substitute, which was the hub before one that
    /// has just started. The new one is told over it what the others know before they link to it.
    fn keep_substitute_link<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
    ) {
        let hubs = lock(&shared.hosts).hubs();
        if let [hub, substitute, ..] = hubs[..] {
            if hub == shared.settings.scheduler {
                self.keep_open(shared, substitute);
            }
        }
    }

    /// Keeps the links open over which hosts exchange the origins of streams.
    fn keep_origin_links<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
    ) {
        let own = shared.settings.scheduler;
        for service in shared.recorded_services() {
            let mut keepers = Set::default();
            for group in 0..origin::GROUPS {
                keepers.extend(lock(&shared.hosts).keepers(&service, group));
            }
            for address in keepers.into_iter().filter(|address| *address != own) {
                self.keep_open(shared, address);
            }
        }
    }

    /// Ignores further snapshot messages from a host.
    fn unsubscribe(&self, address: SocketAddr) {
        if let Some(link) = lock(&self.by_address).get(&address) {
            lock(&link.state).services.remove(SNAPSHOT_SERVICE);
        }
    }

    /// Takes this host's share of all quotas back from all hosts but the ledger.
    fn reclaim_from_others(&self, ledger: SocketAddr) {
        let by_address = lock(&self.by_address);
        for link in by_address.values().filter(|link| link.address != ledger) {
            if lock(&link.state).services.remove(QUOTA_SERVICE) {
                link.send(Up::Reclaim);
            }
        }
    }

    /// Sends a message to the current scheduler of a service and to earlier
    /// ones.
    pub(super) fn send(&self, service: &str, message: &Up) {
        for link in lock(&self.by_address).values() {
            let is_scheduler = lock(&link.state).services.contains(service);
            if is_scheduler {
                link.send(message.clone());
            }
        }
    }

    /// Reports the failure of an endpoint to the scheduler of its service.
    pub fn report_failure(&self, service: &str, endpoint: &CompactString, failure: Failure) {
        let kind = match failure {
            Failure::Full => Kind::Full,
            Failure::Broken => Kind::Broken,
            Failure::Misdirected => Kind::Misdirected,
        };
        let endpoint = endpoint.clone();
        let trouble = wire::Trouble { endpoint, kind };
        self.send(service, &Up::Trouble(trouble));
    }

    /// Reports what an endpoint said about itself to the scheduler of its
    /// service. If it is shutting down, also to the host that reads the platform,
    /// which tells the hosts that follow it.
    pub fn report_notice(
        &self,
        service: &str,
        endpoint: CompactString,
        started_ms: u64,
        leaving: bool,
        rest: Option<Duration>,
    ) {
        let notice = wire::Notice {
            endpoint,
            born: started_ms,
            leaving,
            rest: rest.unwrap_or_default().into(),
        };
        let notice = Up::Notice(notice);
        self.send(service, &notice);
        if leaving {
            self.send(SNAPSHOT_SERVICE, &notice);
        }
    }

    /// Reports a request that was running when an endpoint crashed to all linked
    /// hosts, which tell those that are linked to them.
    pub fn report_suspect(&self, suspect: &Suspect) {
        self.send_to_all(&Up::Suspect(suspect.clone()));
    }

    /// Reports evidence about a part of prompts to all linked hosts, which tell those that
    /// are linked to them.
    pub fn report_evidence(&self, evidence: &wire::Evidence) {
        self.send_to_all(&Up::Evidence(evidence.clone()));
    }

    /// Reports what this host knows of an endpoint's limit to all linked hosts, which tell
    /// those that are linked to them.
    pub fn report_limit(&self, limit: &wire::Limit) {
        self.send_to_all(&Up::Limit(limit.clone()));
    }

    /// Sends a message on all links.
    fn send_to_all(&self, message: &Up) {
        for link in lock(&self.by_address).values() {
            link.send(message.clone());
        }
    }

    /// Returns whether a link to another host is up.
    pub fn is_any_up(&self) -> bool {
        let by_address = lock(&self.by_address);
        let mut links = by_address.values();
        links.any(|link| lock(&link.state).is_up())
    }

    /// Tells the origin of a stream to hosts. One to which no link is up is told once it is.
    pub fn report_origin(&self, keepers: &[SocketAddr], origin: &wire::Origin) {
        let by_address = lock(&self.by_address);
        for link in keepers.iter().filter_map(|address| by_address.get(address)) {
            let is_up = lock(&link.state).is_up();
            if is_up && link.sender.try_send(Up::Origin(origin.clone())).is_err() {
                link.queue_origins([origin.stream]);
            }
        }
    }

    /// Tells the origin of this host's stream to hosts as the queues of their links have room.
    /// One to which no link is up is told once it is.
    pub fn queue_origin(&self, keepers: &[SocketAddr], stream: u64) {
        let by_address = lock(&self.by_address);
        for link in keepers.iter().filter_map(|address| by_address.get(address)) {
            link.queue_origins([stream]);
        }
    }

    /// Returns the time for which a scheduler has been unreachable, or `None` if it is not
    /// known to be. Begins to open a link to it if there is none.
    pub(super) fn down_time<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
        address: SocketAddr,
    ) -> Option<Duration> {
        let now = shared.clock.now();
        let link = self.keep_open(shared, address);
        let down_since = lock(&link.state).down_since?;
        Some(now.saturating_duration_since(down_since))
    }

    /// Reports this host's leases to a service's new scheduler.
    fn restore_leases(&self, link: &Link, service: &str) {
        let leases = lock(&self.leases);
        for lease in leases.values().filter(|lease| lease.service == service) {
            link.send(Up::Lease(lease.clone()));
        }
    }

    /// Drops the reply channel of a request that no longer waits.
    pub(super) fn remove_waiting(&self, number: u64) {
        for link in lock(&self.by_address).values() {
            lock(&link.state).waiting.remove(&number);
        }
    }
}

impl State {
    /// Returns whether a connection is open.
    pub(super) fn is_up(&self) -> bool {
        self.phase == Phase::Up
    }
}

impl Link {
    /// Sends a message, or opens the connection anew if the queue is full. A lost message
    /// would leave the scheduler's accounting wrong for as long as the connection lasts.
    pub(super) fn send(&self, message: Up) {
        if self.sender.try_send(message).is_err() {
            self.reset.notify_one();
        }
    }

    /// Tells the origins of this host's streams as the queue has room, unless the link is not up.
    fn queue_origins(&self, streams: impl IntoIterator<Item = u64>) {
        let mut state = lock(&self.state);
        if state.is_up() {
            state.untold.extend(streams);
            self.untold_added.notify_one();
        }
    }
}

/// Keeps a link open until it is idle or its host is no longer a scheduler.
async fn run<N: Net, C: Clock, D: Send + Sync + 'static>(
    shared: Arc<Shared<N, C, D>>,
    link: Arc<Link>,
    mut outbox: mpsc::Receiver<Up>,
) {
    loop {
        session(&shared, &link, &mut outbox).await;
        {
            let mut state = lock(&link.state);
            state.phase = Phase::Down;
            state.down_since.get_or_insert(shared.clock.now());
            state.is_unresponsive = false;
            state.services.clear();
            // Closes the reply channels, so that the waiting requests choose
            // endpoints themselves.
            state.waiting.clear();
            state.untold.clear();
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
        let idle = shared
            .clock
            .now()
            .saturating_duration_since(lock(&link.state).last_used);
        let is_scheduler = lock(&shared.hosts).has_scheduler(link.address);
        if idle >= IDLE_TIMEOUT || !is_scheduler {
            lock(&shared.links.by_address).remove(&link.address);
            return;
        }
    }
}

/// Runs one connection until it ends.
async fn session<N: Net, C: Clock, D: Send + Sync>(
    shared: &Shared<N, C, D>,
    link: &Link,
    outbox: &mut mpsc::Receiver<Up>,
) {
    let address = link.address;
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, shared.net.connect(address));
    let connected = connect.await;
    let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(stream) => stream,
        Err(error) => {
            slog::debug!(shared.logger, "scheduler: connect failed";
                "address" => %address, "error" => %error);
            return;
        }
    };
    // Messages queued for the previous connection no longer apply.
    while outbox.try_recv().is_ok() {}
    let host = shared.settings.name.clone();
    let greeting = Up::Greet(wire::Greeting { host });
    if link.sender.try_send(greeting).is_err() {
        return;
    }
    let now = shared.clock.now();
    let suspects = shared.suspects.snapshot(now).into_iter().map(Up::Suspect);
    let evidence = shared.parts.snapshot(now).into_iter().map(Up::Evidence);
    for message in suspects.chain(evidence) {
        // What does not fit in the queue is told when it changes.
        let _ = link.sender.try_send(message);
    }
    for limit in shared.limit_messages() {
        // What does not fit in the queue is told with requests for permits.
        let _ = link.sender.try_send(Up::Limit(limit));
    }
    {
        let mut state = lock(&link.state);
        state.phase = Phase::Up;
        state.down_since = None;
    }
    link.queue_origins(shared.open_streams(address));
    slog::info!(shared.logger, "scheduler: linked"; "address" => %address);
    let to = Delivery { shared, link };
    let ended = tokio::select! {
        ended = frame::run(stream, || Up::Beat, outbox, to) => ended,
        () = link.reset.notified() => Ok(()),
        () = wait_until_idle(shared, link) => Ok(()),
        () = tell_untold(shared, link) => Ok(()),
    };
    match ended {
        Ok(()) => slog::info!(shared.logger, "scheduler: left"; "address" => %address),
        Err(error) => slog::warn!(shared.logger, "scheduler: lost";
            "address" => %address, "error" => %error),
    }
}

/// Passes replies to the waiting requests, and snapshot messages to the
/// gateway.
struct Delivery<'a, N, C, D> {
    shared: &'a Shared<N, C, D>,
    link: &'a Link,
}

impl<N, C, D> frame::Handler<Down> for Delivery<'_, N, C, D>
where
    N: Send + Sync,
    C: Clock,
    D: Send + Sync,
{
    async fn handle(&mut self, message: Down) {
        let shared = self.shared;
        let mut state = lock(&self.link.state);
        state.is_unresponsive = false;
        let is_subscribed = state.services.contains(SNAPSHOT_SERVICE);
        let number = match message {
            Down::Beat(_) | Down::Listing(_) if !is_subscribed => return,
            Down::Beat(beat) => {
                shared.observe_era(Era(beat.era));
                let now = shared.clock.now();
                return shared
                    .news
                    .send_modify(|snapshot| snapshot.apply_heartbeat(now, &beat));
            }
            Down::Listing(part) => {
                shared.observe_era(Era(part.era));
                return shared
                    .news
                    .send_modify(|snapshot| snapshot.apply_listing(part));
            }
            Down::Leaving(start) => {
                drop(state);
                shared.record_leaving(&start.endpoint, start.born);
                return;
            }
            Down::Suspect(suspect) => {
                drop(state);
                return shared.merge_suspect(&suspect);
            }
            Down::Evidence(evidence) => {
                drop(state);
                return shared.merge_evidence(&evidence);
            }
            Down::Limit(limit) => {
                drop(state);
                return shared.merge_limit(&limit);
            }
            Down::Queued(number) | Down::Unknown(number) => number,
            Down::Permit(ref permit) => permit.number,
            Down::Grant(ref grant) => grant.number,
            Down::Refusal(ref refusal) => refusal.number,
            Down::Located(ref located) => located.number,
            Down::Drawn(ref drawn) => drawn.number,
        };
        // A request that no longer waits has already reported its end.
        if let Some(waiting) = state.waiting.get(&number) {
            let _ = waiting.try_send(message);
        }
    }
}

/// Tells the origins of streams that wait as the queue has room. Runs until it is dropped.
async fn tell_untold<N, C: Clock, D>(shared: &Shared<N, C, D>, link: &Link) {
    loop {
        let stream = lock(&link.state).untold.pop_first();
        let Some(stream) = stream else {
            link.untold_added.notified().await;
            continue;
        };
        while link.sender.capacity() <= SPARE_CAPACITY {
            tokio::time::sleep(ROOM_POLL_INTERVAL).await;
        }
        let mut is_sent = true;
        shared.send_current_origin(stream, |origin| {
            is_sent = link.sender.try_send(Up::Origin(origin)).is_ok();
        });
        if !is_sent {
            link.queue_origins([stream]);
        }
    }
}

/// Waits until the link has been unused for [`IDLE_TIMEOUT`].
async fn wait_until_idle<N, C: Clock, D>(shared: &Shared<N, C, D>, link: &Link) {
    loop {
        let last_used = lock(&link.state).last_used;
        let idle = shared.clock.now().saturating_duration_since(last_used);
        let Some(left) = IDLE_TIMEOUT
            .checked_sub(idle)
            .filter(|left| !left.is_zero())
        else {
            return;
        };
        tokio::time::sleep(left).await;
    }
}
