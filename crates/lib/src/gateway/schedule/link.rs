//! Links of this host to the schedulers that it asks.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use tokio::sync::{mpsc, Notify};

use cranberryridge_policy::gateway::pool::Failure;
use cranberryridge_wire::schedule::{self as wire, Down, Kind, Up};
use cranberryridge_wire::{Map, Set};

use crate::clock::Clock;
use crate::frame;
use crate::gateway::news::News;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// What stands for the news in place of a service.
const NEWS: &str = "";

/// Time between two looks for a host that tells the news.
const LOOK: Duration = Duration::from_millis(300);

/// Longest time to open a link. Several round trips between failure domains.
const CONNECT: Duration = Duration::from_millis(250);

/// Pause before a link is opened again; until then another scheduler is asked.
const PAUSE: Duration = Duration::from_millis(500);

/// Time after which a link that nobody asks on is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Messages that wait for a link.
const OUTBOX: usize = 1024;

/// The links, and what this host was given.
#[derive(Debug, Default)]
pub struct Links {
    /// Links by the scheduler's address.
    rows: Mutex<Map<SocketAddr, Arc<Link>>>,
    /// Number of the last request.
    pub(super) last: AtomicU64,
    /// What this host has, by the request's number.
    pub(super) leases: Mutex<Map<u64, wire::Lease>>,
}

/// A link to a scheduler.
#[derive(Debug)]
pub(super) struct Link {
    /// Where the scheduler listens.
    address: SocketAddr,
    /// Messages to it.
    pub(super) out: mpsc::Sender<Up>,
    /// What is known of it.
    pub(super) state: Mutex<State>,
    /// Ends the connection.
    reset: Notify,
}

/// What is known of a link.
#[derive(Debug)]
pub(super) struct State {
    /// How it is.
    phase: Phase,
    /// Services that this host asks for here.
    services: Set<CompactString>,
    /// Requests that wait for an answer, by number.
    pub(super) waiting: Map<u64, mpsc::Sender<Down>>,
    /// When it was last asked on.
    used: Instant,
    /// Whether a request got no answer since the scheduler was last heard of.
    pub(super) hangs: bool,
}

/// How a link is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It is being opened.
    Opening,
    /// It is up.
    Up,
    /// It failed, and another scheduler is asked.
    Down,
}

/// The link to ask for a service on, if one is up.
pub(super) fn link<N: Net, C: Clock, D: Send + Sync + 'static>(
    shared: &Arc<Shared<N, C, D>>,
    service: &str,
) -> Option<Arc<Link>> {
    let now = shared.clock.now();
    let schedulers = if service == NEWS {
        lock(&shared.hosts).readers(&shared.settings.domain)
    } else {
        lock(&shared.hosts).schedulers(service)
    };
    for address in schedulers {
        // This host reads the platform for others.
        if service == NEWS && address == shared.settings.scheduler {
            return None;
        }
        let link = shared.links.get(shared, address);
        let mut state = lock(&link.state);
        if state.hangs {
            return None;
        }
        match state.phase {
            Phase::Down => continue,
            Phase::Opening => return None,
            Phase::Up => {}
        }
        state.used = now;
        let new = state.services.insert(service.into());
        drop(state);
        if new && service == NEWS {
            shared.news.send_replace(News::default());
            // Followed again after the next look, should it be lost.
            let _ = link.out.try_send(Up::Follow);
        } else if new {
            shared.links.register(&link, service);
        }
        return Some(link);
    }
    None
}

/// Follows what another host reads of the platform, for ever.
pub async fn follow<N: Net, C: Clock, D: Send + Sync + 'static>(shared: Arc<Shared<N, C, D>>) {
    let mut before = None;
    loop {
        let link = link(&shared, NEWS);
        let address = link.map(|link| link.address);
        if address != before {
            if let Some(before) = before {
                shared.links.leave(before);
            }
            before = address;
        }
        tokio::time::sleep(LOOK).await;
    }
}

impl Links {
    /// The link to a scheduler, which is opened if there is none.
    fn get<N: Net, C: Clock, D: Send + Sync + 'static>(
        &self,
        shared: &Arc<Shared<N, C, D>>,
        address: SocketAddr,
    ) -> Arc<Link> {
        let mut rows = lock(&self.rows);
        if let Some(link) = rows.get(&address) {
            return link.clone();
        }
        let (out, outbox) = mpsc::channel(OUTBOX);
        let link = Arc::new(Link {
            address,
            out,
            state: Mutex::new(State {
                phase: Phase::Opening,
                services: Set::default(),
                waiting: Map::default(),
                used: shared.clock.now(),
                hangs: false,
            }),
            reset: Notify::new(),
        });
        rows.insert(address, link.clone());
        tokio::spawn(run(shared.clone(), link.clone(), outbox));
        link
    }

    /// Takes no more news from a host.
    fn leave(&self, address: SocketAddr) {
        if let Some(link) = lock(&self.rows).get(&address) {
            lock(&link.state).services.remove(NEWS);
        }
    }

    /// Tells the service's scheduler, and those that were it before.
    pub(super) fn tell(&self, service: &str, message: &Up) {
        for link in lock(&self.rows).values() {
            let asked = lock(&link.state).services.contains(service);
            // A message that is lost would leave the scheduler's count wrong
            // for as long as the link lasts.
            if asked && link.out.try_send(message.clone()).is_err() {
                link.reset.notify_one();
            }
        }
    }

    /// Tells of an endpoint that did not serve.
    pub fn trouble(&self, service: &str, endpoint: &CompactString, trouble: Failure) {
        let kind = match trouble {
            Failure::Full => Kind::Full,
            Failure::Broken => Kind::Broken,
            Failure::Misdirected => Kind::Misdirected,
        };
        let endpoint = endpoint.clone();
        let trouble = wire::Trouble { endpoint, kind };
        self.tell(service, &Up::Trouble(trouble));
    }

    /// Tells a scheduler that is new to a service what this host has.
    fn register(&self, link: &Link, service: &str) {
        let leases = lock(&self.leases);
        for lease in leases.values().filter(|lease| lease.service == service) {
            if link.out.try_send(Up::Lease(lease.clone())).is_err() {
                link.reset.notify_one();
            }
        }
    }

    /// Forgets a request that waits no longer.
    pub(super) fn forget(&self, number: u64) {
        for link in lock(&self.rows).values() {
            lock(&link.state).waiting.remove(&number);
        }
    }
}

/// Keeps a link up until nobody asks on it.
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
            state.hangs = false;
            state.services.clear();
            // Requests that wait choose alone.
            state.waiting.clear();
        }
        tokio::time::sleep(PAUSE).await;
        let idle = shared
            .clock
            .now()
            .saturating_duration_since(lock(&link.state).used);
        let chosen = lock(&shared.hosts).has_scheduler(link.address);
        if idle >= IDLE || !chosen {
            lock(&shared.links.rows).remove(&link.address);
            return;
        }
    }
}

/// One connection's life.
async fn session<N: Net, C: Clock, D: Send + Sync>(
    shared: &Shared<N, C, D>,
    link: &Link,
    outbox: &mut mpsc::Receiver<Up>,
) {
    let address = link.address;
    let connect = tokio::time::timeout(CONNECT, shared.net.connect(address));
    let connected = connect.await;
    let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
        Ok(stream) => stream,
        Err(error) => {
            slog::debug!(shared.logger, "scheduler: not reached";
                "address" => %address, "error" => %error);
            return;
        }
    };
    // What was meant for the connection before.
    while outbox.try_recv().is_ok() {}
    let host = shared.settings.name.clone();
    let greeting = Up::Greet(wire::Greeting { host });
    if link.out.try_send(greeting).is_err() {
        return;
    }
    lock(&link.state).phase = Phase::Up;
    slog::info!(shared.logger, "scheduler: linked"; "address" => %address);
    let to = Delivery { shared, link };
    let ended = tokio::select! {
        ended = frame::run(stream, || Up::Beat, outbox, to) => ended,
        () = link.reset.notified() => Ok(()),
        () = unused(shared, link) => Ok(()),
    };
    match ended {
        Ok(()) => slog::info!(shared.logger, "scheduler: left"; "address" => %address),
        Err(error) => slog::warn!(shared.logger, "scheduler: lost";
            "address" => %address, "error" => %error),
    }
}

/// Hands messages to those who wait for them.
struct Delivery<'a, N, C, D> {
    /// The gateway.
    shared: &'a Shared<N, C, D>,
    /// The link.
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
        state.hangs = false;
        let follows = state.services.contains(NEWS);
        let number = match message {
            Down::Beat(_) | Down::Listing(_) if !follows => return,
            Down::Beat(beat) => {
                let now = shared.clock.now();
                return shared.news.send_modify(|news| news.beat(now, &beat));
            }
            Down::Listing(part) => {
                return shared.news.send_modify(|news| news.list(part));
            }
            Down::Queued(number) | Down::Unknown(number) => number,
            Down::Grant(ref grant) => grant.number,
            Down::Refusal(ref refusal) => refusal.number,
        };
        // A request that waits no longer has told the scheduler so.
        if let Some(waiting) = state.waiting.get(&number) {
            let _ = waiting.try_send(message);
        }
    }
}

/// Waits until nobody has asked on a link for a while.
async fn unused<N, C: Clock, D>(shared: &Shared<N, C, D>, link: &Link) {
    loop {
        let used = lock(&link.state).used;
        let idle = shared.clock.now().saturating_duration_since(used);
        let Some(left) = IDLE.checked_sub(idle).filter(|left| !left.is_zero()) else {
            return;
        };
        tokio::time::sleep(left).await;
    }
}
