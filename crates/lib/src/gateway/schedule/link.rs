//! Links of this host to the schedulers that it asks.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use compact_str::CompactString;
use tokio::sync::{mpsc, Notify};

use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::{EndpointKey, Trouble};
use cranberryridge_wire::schedule::{self as wire, Down, Grant, Kind, Up};
use cranberryridge_wire::{Map, Set};

use crate::clock::Clock;
use crate::frame;
use crate::gateway::generate::patience;
use crate::gateway::news::News;
use crate::gateway::serve::Call;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// What stands for the news in place of a service.
const NEWS: &str = "";

/// Time between two looks for a host that tells the news.
const LOOK: Duration = Duration::from_millis(300);

/// Longest time to open a link. Several round trips between failure domains.
const CONNECT: Duration = Duration::from_millis(250);

/// Longest time until a scheduler says that it has a request. Several round
/// trips between failure domains; choosing alone is better than a longer wait.
const FIRST: Duration = Duration::from_millis(120);

/// Part of a route's time that a caller has left who was refused before and
/// waited as told.
const RETURNS: f64 = 0.85;

/// Time that a scheduler's refusal may take beyond a request's patience.
const SLACK: Duration = Duration::from_millis(250);

/// Pause before a link is opened again; until then another scheduler is asked.
const PAUSE: Duration = Duration::from_millis(500);

/// Time after which a link that nobody asks on is closed.
const IDLE: Duration = Duration::from_secs(10);

/// Messages that wait for a link.
const OUTBOX: usize = 1024;

/// Messages about one request: queued, and what comes of it.
const REPLIES: usize = 2;

/// The links, and what this host was given.
#[derive(Debug, Default)]
pub struct Links {
    /// Links by the scheduler's address.
    rows: Mutex<Map<SocketAddr, Arc<Link>>>,
    /// Number of the last request.
    last: AtomicU64,
    /// What this host has, by the request's number.
    leases: Mutex<Map<u64, wire::Lease>>,
}

/// A link to a scheduler.
#[derive(Debug)]
struct Link {
    /// Where the scheduler listens.
    address: SocketAddr,
    /// Messages to it.
    out: mpsc::Sender<Up>,
    /// What is known of it.
    state: Mutex<State>,
    /// Ends the connection.
    reset: Notify,
}

/// What is known of a link.
#[derive(Debug)]
struct State {
    /// How it is.
    phase: Phase,
    /// Services that this host asks for here.
    services: Set<CompactString>,
    /// Requests that wait for an answer, by number.
    waiting: Map<u64, mpsc::Sender<Down>>,
    /// When it was last asked on.
    used: Instant,
    /// Whether a request got no answer since the scheduler was last heard of.
    hangs: bool,
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

/// What a scheduler says to a request.
#[derive(Debug)]
pub enum Assigned<N, C, D> {
    /// The request has endpoints.
    Granted(Lease<N, C, D>, Grant),
    /// There is no room in time, but after this.
    Refused(Duration),
    /// No scheduler is in reach, so this host chooses alone.
    Alone,
}

/// A request's place at the scheduler, given up when dropped.
#[derive(Debug)]
pub struct Lease<N, C, D> {
    /// The gateway.
    shared: Arc<Shared<N, C, D>>,
    /// The request's number.
    number: u64,
    /// Its service.
    service: CompactString,
    /// Mean time between two events of its run.
    between: Option<Duration>,
}

impl<N, C, D> Lease<N, C, D> {
    /// Tells that the prompt was read at its prefill endpoint.
    pub fn read(&self, took: Duration) {
        let reading = wire::Reading {
            number: self.number,
            took: took.into(),
        };
        self.shared.links.tell(&self.service, &Up::Read(reading));
    }

    /// Tells that the run has made its first event.
    pub fn began(&self) {
        let links = &self.shared.links;
        links.tell(&self.service, &Up::Began(self.number));
    }

    /// Notes that the run ended well, with such a mean time between events.
    pub fn ended(&mut self, between: Duration) {
        self.between = Some(between);
    }
}

impl<N, C, D> Drop for Lease<N, C, D> {
    fn drop(&mut self) {
        let links = &self.shared.links;
        lock(&links.leases).remove(&self.number);
        let between = self.between.map(|between| between.as_micros());
        let finish = wire::Finish {
            number: self.number,
            between: between.map(|micros| u32::try_from(micros).unwrap_or(u32::MAX)),
        };
        links.forget(self.number);
        links.tell(&self.service, &Up::Finish(finish));
    }
}

/// Asks the service's scheduler for endpoints, and waits for them.
pub(in crate::gateway) async fn ask<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    need: Need,
    avoid: &[EndpointKey],
) -> Assigned<N, C, D> {
    let shared = &call.shared;
    let Some(link) = link(shared, &call.service) else {
        shared.metrics.count("scheduler.none");
        return Assigned::Alone;
    };
    let number = shared.links.last.fetch_add(1, Ordering::Relaxed);
    let lease = Lease {
        shared: shared.clone(),
        number,
        service: call.service.clone(),
        between: None,
    };
    let (sender, mut replies) = mpsc::channel(REPLIES);
    lock(&link.state).waiting.insert(number, sender);
    let ask = question(call, number, need, avoid);
    let patience = ask.patience;
    let tokens = need.prompt + need.output;
    if link.out.try_send(Up::Ask(ask)).is_err() {
        return Assigned::Alone;
    }
    let mut limit = FIRST;
    loop {
        let reply = tokio::time::timeout(limit, replies.recv()).await;
        match reply {
            Ok(Some(Down::Queued(_))) => limit = Duration::from(patience) + SLACK,
            Ok(Some(Down::Grant(grant))) => {
                let held = wire::Lease {
                    number,
                    service: call.service.clone(),
                    endpoint: grant.decode.clone(),
                    tokens,
                };
                lock(&shared.links.leases).insert(number, held);
                return Assigned::Granted(lease, grant);
            }
            Ok(Some(Down::Refusal(refusal))) => return Assigned::Refused(refusal.wait.into()),
            Ok(Some(Down::Unknown(_) | Down::Beat(_) | Down::Listing(_)) | None) => {
                return Assigned::Alone;
            }
            Err(_) => {
                shared.metrics.count("scheduler.no_answer");
                lock(&link.state).hangs = true;
                return Assigned::Alone;
            }
        }
    }
}

/// The request as the scheduler gets it.
fn question<N, C: Clock, D>(
    call: &Call<N, C, D>,
    number: u64,
    need: Need,
    avoid: &[EndpointKey],
) -> wire::Ask {
    let now = call.shared.clock.now();
    let target = call.record.arrival + call.route.target;
    let pool = call.shared.pool();
    let avoid = avoid.iter().filter_map(|key| pool.get(*key));
    wire::Ask {
        number,
        service: call.service.clone(),
        domain: call.shared.settings.domain.clone(),
        prompt: need.prompt,
        output: need.output,
        pause: need.pause.into(),
        target: target.saturating_duration_since(now).into(),
        patience: patience(call).saturating_duration_since(now).into(),
        returns: call.left() < call.route.timeout.mul_f64(RETURNS),
        avoid: avoid.map(|state| state.endpoint.id.clone()).collect(),
    }
}

/// The link to ask for a service on, if one is up.
fn link<N: Net, C: Clock, D: Send + Sync + 'static>(
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
    fn tell(&self, service: &str, message: &Up) {
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
    pub fn trouble(&self, service: &str, endpoint: &CompactString, trouble: Trouble) {
        let kind = match trouble {
            Trouble::Full => Kind::Full,
            Trouble::Broken => Kind::Broken,
            Trouble::Misdirected => Kind::Misdirected,
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
    fn forget(&self, number: u64) {
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
    let stream = match connect.await {
        Ok(Ok(stream)) => stream,
        failed => {
            let error = failed.map_or("no answer".to_owned(), |failed| {
                failed
                    .err()
                    .map_or(String::new(), |error| error.to_string())
            });
            slog::debug!(shared.logger, "scheduler: not reached";
                "address" => %address, "error" => error);
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
        ended = frame::carry(stream, || Up::Beat, outbox, to) => ended,
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

impl<N, C, D> frame::Take<Down> for Delivery<'_, N, C, D>
where
    N: Send + Sync,
    C: Clock,
    D: Send + Sync,
{
    async fn take(&mut self, message: Down) {
        let shared = self.shared;
        let mut state = lock(&self.link.state);
        state.hangs = false;
        let follows = state.services.contains(NEWS);
        let number = match &message {
            Down::Beat(_) | Down::Listing(_) if !follows => return,
            Down::Beat(beat) => {
                let now = shared.clock.now();
                shared.news.send_modify(|news| news.beat(now, beat));
                return;
            }
            Down::Listing(_) => {
                drop(state);
                if let Down::Listing(listing) = message {
                    shared.news.send_modify(|news| news.list(listing));
                }
                return;
            }
            Down::Queued(number) | Down::Unknown(number) => *number,
            Down::Grant(grant) => grant.number,
            Down::Refusal(refusal) => refusal.number,
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
