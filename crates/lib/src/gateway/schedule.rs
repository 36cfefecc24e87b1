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
use super::serve::ACCEPT_PAUSE;
use super::{snapshot, Shared};
use crate::clock::Clock;
use crate::frame;
use crate::net::{Listen, Net};
use crate::tally::{self, Tally};

pub use cranberryridge_wire::schedule::Grant;

pub use self::ask::{Assignment, Lease};
pub use self::link::{follow, Links};

pub(super) use self::ask::request_endpoints;

mod ask;
mod link;

/// Time between two looks at requests that wait, should nothing happen: an
/// endpoint that had no room is tried again after some time.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two measures of what callers ask for. Half the time between
/// two looks at the balance.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Messages of all links that wait for the scheduler.
const EVENT_CAPACITY: usize = 4096;

/// Messages that wait for one link.
const OUTBOX_CAPACITY: usize = 1024;

/// Most links at once: as many as there may be entry hosts, twice over while
/// they reconnect.
const MAX_LINKS: usize = 4096;

/// What happens on links.
enum Event {
    /// A link is there.
    Opened(u64, mpsc::Sender<Down>),
    /// A message came.
    Message(u64, Up),
    /// A link is gone.
    Closed(u64),
}

/// A host that is linked.
struct Peer {
    /// Messages to it.
    sender: mpsc::Sender<Down>,
    /// Whether it subscription the endpoints.
    subscription: Option<tally::Guard>,
}

/// Assigns endpoints for hosts that ask, for ever.
pub async fn serve<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    listener: P,
) {
    let (events, inbox) = mpsc::channel(EVENT_CAPACITY);
    tokio::join!(
        accept(shared.clone(), listener, events),
        process_events(&shared, inbox)
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.count() >= MAX_LINKS {
            slog::warn!(shared.logger, "scheduler: link refused, there are too many");
            continue;
        }
        let guard = open.enter();
        let (shared, events) = (shared.clone(), events.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let (sender, mut outbox) = mpsc::channel(OUTBOX_CAPACITY);
            // The scheduler lives as long as the process.
            let _ = events.send(Event::Opened(number, sender)).await;
            let to = Inbox(number, events.clone());
            let ended = frame::carry(stream, || heartbeat(&shared), &mut outbox, to).await;
            if let Err(error) = ended {
                slog::debug!(shared.logger, "scheduler: link lost"; "error" => %error);
            }
            let _ = events.send(Event::Closed(number)).await;
        });
    }
}

/// Hands a link's messages to the scheduler.
struct Inbox(u64, mpsc::Sender<Event>);

impl frame::Take<Up> for Inbox {
    async fn take(&mut self, message: Up) {
        // A heartbeat has done its work: the link was heard of.
        if matches!(message, Up::Beat) {
            return;
        }
        // The scheduler lives as long as the process.
        let _ = self.1.send(Event::Message(self.0, message)).await;
    }
}

/// Takes what happens, and answers.
async fn process_events<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    mut inbox: mpsc::Receiver<Event>,
) {
    let mut schedule = Scheduler::new(shared.settings.pool, shared.settings.balance);
    let mut links = Map::default();
    let mut listed = shared.listed.subscribe();
    let mut read = shared.read.subscribe();
    let mut seen = shared.seen.subscribe();
    let mut endpoints = Vec::new();
    let mut demand_timer = tokio::time::interval(DEMAND_INTERVAL);
    let mut moving = shared.moving.subscribe();
    loop {
        let waiting = schedule.has_queued();
        let mut arrived = None;
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
                let changes = snapshot::diff(&endpoints, &after);
                endpoints = after;
                for part in changes {
                    broadcast(&mut links, &Down::Listing(part));
                }
            }
            _ = seen.changed() => {
                seen.mark_unchanged();
                broadcast(&mut links, &heartbeat(shared));
            }
            _ = moving.changed() => {
                for (endpoint, (phase, until)) in &*moving.borrow_and_update() {
                    schedule.mark_moving(*until, endpoint, *phase);
                }
            }
            event = inbox.recv() => {
                let Some(event) = event else { return };
                arrived = handle_event(shared, &mut schedule, &mut links, event);
            }
            _ = demand_timer.tick() => {
                let demands = schedule.demands(shared.clock.now());
                shared.demands.send_replace(demands);
            }
            () = tokio::time::sleep(QUEUE_POLL_INTERVAL), if waiting => {}
        }
        send_answers(shared, &mut schedule, &mut links);
        if let Some(id) = arrived.filter(|id| schedule.is_queued(*id)) {
            send(&mut links, id.link, Down::Queued(id.number));
        }
    }
}

/// Takes one thing that happened. Returns the request if one asks.
fn handle_event<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Scheduler,
    links: &mut Map<u64, Peer>,
    event: Event,
) -> Option<Id> {
    let now = shared.clock.now();
    let (link, message) = match event {
        Event::Opened(link, sender) => {
            let subscription = None;
            links.insert(
                link,
                Peer {
                    sender,
                    subscription,
                },
            );
            return None;
        }
        Event::Closed(link) => {
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
            let endpoints = shared.read.borrow().clone();
            if let Some(peer) = links.get_mut(&link) {
                peer.subscription = Some(shared.followers.enter());
                for part in snapshot::full(&endpoints) {
                    send(links, link, Down::Listing(part));
                }
                send(links, link, heartbeat(shared));
            }
        }
        Up::Ask(ask) => {
            let number = ask.number;
            if !schedule.has_endpoints(&ask.service) {
                send(links, link, Down::Unknown(number));
                return None;
            }
            let service = ask.service.clone();
            let table = shared.table.load();
            let Some(engine) = table.engine(&service) else {
                // Hosts whose configuration is newer know of it.
                send(links, link, Down::Unknown(number));
                return None;
            };
            let is_retry = ask.again;
            let request = to_request(now, ask);
            if !is_retry {
                schedule.record_arrival(now, &service, engine, request.need);
            }
            schedule.enqueue(now, id(number), request, engine);
            shared.metrics.count("scheduler.asked");
            return Some(id(number));
        }
        Up::Lease(lease) => schedule.restore_lease(id(lease.number), &lease.endpoint, lease.tokens),
        Up::Read(reading) => schedule.finish_prefill(now, id(reading.number), reading.took.into()),
        Up::Began(number) => schedule.record_first_event(now, id(number)),
        Up::Finish(finish) => {
            let between = finish.between.map(|micros| (now, from_micros(micros)));
            schedule.finish(id(finish.number), between);
        }
        Up::Trouble(trouble) => {
            schedule.record_failure(now, &trouble.endpoint, to_failure(trouble.kind))
        }
    }
    None
}

/// Answers requests whose turn it is.
fn send_answers<N, C: Clock, D>(
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
                Answer::Refusal(saturation) => {
                    shared.metrics.count("scheduler.refused");
                    slog::info!(shared.logger, "scheduler: no room in time";
                        "link" => id.link, "number" => number, "service" => %service,
                        "wait_ms" => saturation.retry_after.as_millis() as u64,
                        "waiting" => saturation.queued, "arriving" => saturation.arrival_rate,
                        "capacity" => saturation.capacity);
                    let wait = saturation.retry_after.into();
                    Down::Refusal(wire::Refusal { number, wait })
                }
            };
            send(links, id.link, message);
        }
    }
}

/// Sends a message on a link. One whose host takes nothing is closed: what is
/// lost on it would be missing for as long as it lasts.
fn send(links: &mut Map<u64, Peer>, link: u64, message: Down) {
    let Some(peer) = links.get(&link) else { return };
    if peer.sender.try_send(message).is_err() {
        links.remove(&link);
    }
}

/// Sends a message to all that follow the endpoints.
fn broadcast(links: &mut Map<u64, Peer>, message: &Down) {
    links.retain(|_, peer| {
        peer.subscription.is_none() || peer.sender.try_send(message.clone()).is_ok()
    });
}

/// A sign of life, with how old is what this host knows.
fn heartbeat<N, C: Clock, D>(shared: &Shared<N, C, D>) -> Down {
    let now = shared.clock.now();
    let age = |at: Instant| now.saturating_duration_since(at).into();
    let seen = *shared.seen.borrow();
    Down::Beat(wire::Beat {
        list: seen.listed_at.map(age),
        configuration: seen.configured_at.map(age),
        version: shared.table.load().version(),
    })
}

/// A request as the scheduler sees it.
fn to_request(now: Instant, ask: wire::Ask) -> Request {
    Request {
        service: ask.service,
        domain: ask.domain,
        need: Need {
            prompt_tokens: ask.prompt,
            output_tokens: ask.output,
            max_event_gap: ask.pause.into(),
        },
        first_event_target: now + Duration::from(ask.target).min(MAX_WAIT),
        first_event_deadline: now + Duration::from(ask.patience).min(MAX_WAIT),
        was_refused: ask.returns,
        excluded: ask.avoid,
    }
}

/// Longest time that a request may say it waits.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// A span of so many microseconds.
fn from_micros(microseconds: u32) -> Duration {
    Duration::from_micros(microseconds.into())
}

/// What went wrong at an endpoint, as the scheduler sees it.
fn to_failure(kind: Kind) -> Failure {
    match kind {
        Kind::Full => Failure::Full,
        Kind::Broken => Failure::Broken,
        Kind::Misdirected => Failure::Misdirected,
    }
}
