//! The scheduler of this host, which assigns endpoints for hosts that ask.
//!
//! Each host listens, and those that others choose are asked. What a scheduler
//! gave out ends with the link of the host that has it, and that host tells
//! the next scheduler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::Failure;
use cranberryridge_policy::gateway::schedule::{Answer, Id, Request, Scheduler};
use cranberryridge_wire::schedule::{self as wire, Down, Kind, Up};
use cranberryridge_wire::Map;

use super::dialect::Dialect;
use super::serve::ACCEPT_BACKOFF;
use super::{news, Shared};
use crate::clock::Clock;
use crate::frame;
use crate::net::{Listen, Net};
use crate::tally::{self, Tally};

pub use cranberryridge_wire::schedule::Grant;

pub use self::ask::{Assigned, Lease};
pub use self::link::{follow, Links};

pub(super) use self::ask::ask;

mod ask;
mod link;

/// Time between two looks at requests that wait, should nothing happen: an
/// endpoint that had no room is tried again after some time.
const LOOK: Duration = Duration::from_millis(25);

/// Time between two measures of what callers ask for. Half the time between
/// two looks at the balance.
const DEMAND: Duration = Duration::from_millis(500);

/// Messages of all links that wait for the scheduler.
const INBOX: usize = 4096;

/// Messages that wait for one link.
const OUTBOX: usize = 1024;

/// Most links at once: as many as there may be entry hosts, twice over while
/// they reconnect.
const LINKS: usize = 4096;

/// What happens on links.
enum Event {
    /// A link is there.
    Open(u64, mpsc::Sender<Down>),
    /// A message came.
    Message(u64, Up),
    /// A link is gone.
    Gone(u64),
}

/// A host that is linked.
struct Peer {
    /// Messages to it.
    out: mpsc::Sender<Down>,
    /// Whether it follows the endpoints.
    follows: Option<tally::Guard>,
}

/// Assigns endpoints for hosts that ask, for ever.
pub async fn serve<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    listener: P,
) {
    let (events, inbox) = mpsc::channel(INBOX);
    tokio::join!(
        accept(shared.clone(), listener, events),
        decide(&shared, inbox)
    );
}

/// Takes links.
async fn accept<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    mut listener: P,
    events: mpsc::Sender<Event>,
) {
    let open = Tally::default();
    for number in 0.. {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                slog::warn!(shared.logger, "scheduler: link not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if open.count() >= LINKS {
            slog::warn!(shared.logger, "scheduler: link refused, there are too many");
            continue;
        }
        let guard = open.enter();
        let (shared, events) = (shared.clone(), events.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let (out, mut outbox) = mpsc::channel(OUTBOX);
            // The scheduler lives as long as the process.
            let _ = events.send(Event::Open(number, out)).await;
            let to = Inbox(number, events.clone());
            let ended = frame::run(stream, || beat(&shared), &mut outbox, to).await;
            if let Err(error) = ended {
                slog::debug!(shared.logger, "scheduler: link lost"; "error" => %error);
            }
            let _ = events.send(Event::Gone(number)).await;
        });
    }
}

/// Hands a link's messages to the scheduler.
struct Inbox(u64, mpsc::Sender<Event>);

impl frame::Handler<Up> for Inbox {
    async fn handle(&mut self, message: Up) {
        // A heartbeat has done its work: the link was heard of.
        if matches!(message, Up::Beat) {
            return;
        }
        // The scheduler lives as long as the process.
        let _ = self.1.send(Event::Message(self.0, message)).await;
    }
}

/// Takes what happens, and answers.
async fn decide<N, C: Clock, D>(shared: &Shared<N, C, D>, mut inbox: mpsc::Receiver<Event>) {
    let mut schedule = Scheduler::new(shared.settings.pool, shared.settings.balance);
    let mut links = Map::default();
    let mut listed = shared.current_endpoints.subscribe();
    let mut read = shared.listed_endpoints.subscribe();
    let mut seen = shared.seen.subscribe();
    let mut endpoints = Vec::new();
    let mut tell_demand = tokio::time::interval(DEMAND);
    let mut moving = shared.moving_engines.subscribe();
    loop {
        let waiting = schedule.has_queued();
        let mut asked = None;
        tokio::select! {
            // Hosts must not take an old list for a new one.
            biased;
            // The senders live as long as the process.
            _ = listed.changed() => {
                let endpoints = listed.borrow_and_update().clone();
                schedule.update(endpoints.unwrap_or_default());
            }
            _ = read.changed() => {
                let after = read.borrow_and_update().clone();
                let changes = news::changes(&endpoints, &after);
                endpoints = after;
                for part in changes {
                    publish(&mut links, &Down::Listing(part));
                }
            }
            _ = seen.changed() => {
                seen.mark_unchanged();
                publish(&mut links, &beat(shared));
            }
            _ = moving.changed() => {
                for (endpoint, (phase, until)) in &*moving.borrow_and_update() {
                    schedule.mark_moving(*until, endpoint, *phase);
                }
            }
            event = inbox.recv() => {
                let Some(event) = event else { return };
                asked = take(shared, &mut schedule, &mut links, event);
            }
            _ = tell_demand.tick() => {
                let demands = schedule.demands(shared.clock.now());
                shared.demands.send_replace(demands);
            }
            () = tokio::time::sleep(LOOK), if waiting => {}
        }
        answer(shared, &mut schedule, &mut links);
        if let Some(id) = asked.filter(|id| schedule.is_queued(*id)) {
            tell(&mut links, id.link, Down::Queued(id.number));
        }
    }
}

/// Takes one thing that happened. Returns the request if one asks.
fn take<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Scheduler,
    links: &mut Map<u64, Peer>,
    event: Event,
) -> Option<Id> {
    let now = shared.clock.now();
    let (link, message) = match event {
        Event::Open(link, out) => {
            let follows = None;
            links.insert(link, Peer { out, follows });
            return None;
        }
        Event::Gone(link) => {
            links.remove(&link);
            schedule.remove_link(link);
            return None;
        }
        Event::Message(link, message) => (link, message),
    };
    let id = |number| Id { link, number };
    match message {
        Up::Beat => {}
        Up::Greet(greeting) => {
            slog::debug!(shared.logger, "scheduler: host linked"; "host" => %greeting.host);
        }
        Up::Follow => {
            let endpoints = shared.listed_endpoints.borrow().clone();
            if let Some(peer) = links.get_mut(&link) {
                peer.follows = Some(shared.followers.enter());
                for part in news::whole(&endpoints) {
                    tell(links, link, Down::Listing(part));
                }
                tell(links, link, beat(shared));
            }
        }
        Up::Ask(ask) => {
            let number = ask.number;
            if !schedule.has_endpoints(&ask.service) {
                tell(links, link, Down::Unknown(number));
                return None;
            }
            let service = ask.service.clone();
            let table = shared.table.load();
            let Some(engine) = table.engine(&service) else {
                // Hosts whose configuration is newer know of it.
                tell(links, link, Down::Unknown(number));
                return None;
            };
            let again = ask.again;
            let ask = question(now, ask);
            if !again {
                schedule.record_arrival(now, &service, engine, ask.need);
            }
            schedule.enqueue(now, id(number), ask, engine);
            shared.metrics.count("scheduler.asked");
            return Some(id(number));
        }
        Up::Lease(lease) => schedule.restore_lease(id(lease.number), &lease.endpoint, lease.tokens),
        Up::Read(reading) => schedule.finish_prefill(now, id(reading.number), reading.took.into()),
        Up::Began(number) => schedule.record_first_event(now, id(number)),
        Up::Finish(finish) => {
            let between = finish.between.map(|micros| (now, micro(micros)));
            schedule.finish(id(finish.number), between);
        }
        Up::Trouble(trouble) => schedule.record_failure(now, &trouble.endpoint, from(trouble.kind)),
    }
    None
}

/// Answers requests whose turn it is.
fn answer<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Scheduler,
    links: &mut Map<u64, Peer>,
) {
    let now = shared.clock.now();
    let table = shared.table.load();
    for service in schedule.waiting_services() {
        // The service is gone from the configuration. Hosts whose own still
        // has it choose alone once their requests' time is over.
        let Some(engine) = table.engine(&service) else {
            continue;
        };
        while let Some((id, answer)) = schedule.next_answer(now, &service, engine, &mut rand::rng())
        {
            let number = id.number;
            let message = match answer {
                Answer::Grant(grant) => Down::Grant(wire::Grant {
                    number,
                    decode: grant.decode,
                    prefill: grant.prefill,
                    ready: grant.prefill_time.into(),
                }),
                Answer::Refusal(outlook) => {
                    shared.metrics.count("scheduler.refused");
                    slog::info!(shared.logger, "scheduler: no room in time";
                        "link" => id.link, "number" => number, "service" => %service,
                        "wait_ms" => outlook.retry_after.as_millis() as u64,
                        "waiting" => outlook.queued, "arriving" => outlook.arrival_rate,
                        "capacity" => outlook.capacity);
                    let wait = outlook.retry_after.into();
                    Down::Refusal(wire::Refusal { number, wait })
                }
            };
            tell(links, id.link, message);
        }
    }
}

/// Sends a message on a link. One whose host takes nothing is closed: what is
/// lost on it would be missing for as long as it lasts.
fn tell(links: &mut Map<u64, Peer>, link: u64, message: Down) {
    let Some(peer) = links.get(&link) else { return };
    if peer.out.try_send(message).is_err() {
        links.remove(&link);
    }
}

/// Sends a message to all that follow the endpoints.
fn publish(links: &mut Map<u64, Peer>, message: &Down) {
    links.retain(|_, peer| peer.follows.is_none() || peer.out.try_send(message.clone()).is_ok());
}

/// A sign of life, with how old is what this host knows.
fn beat<N, C: Clock, D>(shared: &Shared<N, C, D>) -> Down {
    let now = shared.clock.now();
    let age = |at: Instant| now.saturating_duration_since(at).into();
    let seen = *shared.seen.borrow();
    Down::Beat(wire::Beat {
        list: seen.listed.map(age),
        configuration: seen.configured.map(age),
        version: shared.table.load().version(),
    })
}

/// A request as the scheduler sees it.
fn question(now: Instant, ask: wire::Ask) -> Request {
    Request {
        service: ask.service,
        domain: ask.domain,
        need: Need {
            prompt_tokens: ask.prompt,
            output_tokens: ask.output,
            max_event_gap: ask.pause.into(),
        },
        first_event_target: now + Duration::from(ask.target).min(LONGEST),
        first_event_deadline: now + Duration::from(ask.patience).min(LONGEST),
        was_refused: ask.returns,
        excluded: ask.avoid,
    }
}

/// Longest time that a request may say it waits.
const LONGEST: Duration = Duration::from_secs(600);

/// A span of so many microseconds.
fn micro(microseconds: u32) -> Duration {
    Duration::from_micros(microseconds.into())
}

/// What went wrong at an endpoint, as the scheduler sees it.
fn from(kind: Kind) -> Failure {
    match kind {
        Kind::Full => Failure::Full,
        Kind::Broken => Failure::Broken,
        Kind::Misdirected => Failure::Misdirected,
    }
}
