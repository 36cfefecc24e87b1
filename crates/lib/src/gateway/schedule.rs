//! The scheduler of this host, which assigns endpoints for hosts that ask.
//!
//! Each host listens, and those that others choose are asked. What a scheduler
//! gave out ends with the link of the host that has it, and that host tells
//! the next scheduler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::mpsc;

use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::Trouble;
use cranberryridge_policy::gateway::schedule::{Answer, Ask, Id, Schedule};
use cranberryridge_wire::schedule::{self as wire, Down, Kind, Up};
use cranberryridge_wire::Map;

use super::Shared;
use crate::clock::Clock;
use crate::frame;
use crate::net::Listen;
use crate::tally::Tally;

pub use cranberryridge_wire::schedule::Grant;

pub use self::link::{Assigned, Lease, Links};

pub(super) use self::link::ask;

mod link;

/// Time between two looks at requests that wait, should nothing happen: an
/// endpoint that had no room is tried again after some time.
const LOOK: Duration = Duration::from_millis(25);

/// Messages of all links that wait for the scheduler.
const INBOX: usize = 4096;

/// Messages that wait for one link.
const OUTBOX: usize = 1024;

/// Most links at once: as many as there may be entry hosts, twice over while
/// they reconnect.
const LINKS: usize = 4096;

/// Pause after an accept that failed, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What happens on links.
enum Event {
    /// A link is there.
    Open(u64, mpsc::Sender<Down>),
    /// A message came.
    Message(u64, Up),
    /// A link is gone.
    Gone(u64),
}

/// Assigns endpoints for hosts that ask, for ever.
pub async fn serve<N, C, D, P>(shared: Arc<Shared<N, C, D>>, listener: P)
where
    N: Send + Sync + 'static,
    C: Clock,
    D: Send + Sync + 'static,
    P: Listen,
    P::Stream: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + 'static,
{
    let (events, inbox) = mpsc::channel(INBOX);
    tokio::join!(
        accept(shared.clone(), listener, events),
        decide(&shared, inbox)
    );
}

/// Takes links.
async fn accept<N, C, D, P>(
    shared: Arc<Shared<N, C, D>>,
    mut listener: P,
    events: mpsc::Sender<Event>,
) where
    N: Send + Sync + 'static,
    C: Clock,
    D: Send + Sync + 'static,
    P: Listen,
    P::Stream: tokio::io::AsyncRead + tokio::io::AsyncWrite + Send + 'static,
{
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
            let ended = frame::carry(stream, &Down::Beat, &mut outbox, to).await;
            if let Err(error) = ended {
                slog::debug!(shared.logger, "scheduler: link lost"; "error" => %error);
            }
            let _ = events.send(Event::Gone(number)).await;
        });
    }
}

/// Hands a link's messages to the scheduler.
struct Inbox(u64, mpsc::Sender<Event>);

impl frame::Take<Up> for Inbox {
    async fn take(&mut self, message: Up) {
        // The scheduler lives as long as the process.
        let _ = self.1.send(Event::Message(self.0, message)).await;
    }
}

/// Takes what happens, and answers.
async fn decide<N, C: Clock, D>(shared: &Shared<N, C, D>, mut inbox: mpsc::Receiver<Event>) {
    let mut schedule = Schedule::new(shared.settings.pool);
    let mut links = Map::default();
    let mut listed = shared.listed.subscribe();
    let mut moving = shared.moving.subscribe();
    loop {
        let waiting = !schedule.waiting().is_empty();
        let mut asked = None;
        tokio::select! {
            event = inbox.recv() => {
                let Some(event) = event else { return };
                asked = take(shared, &mut schedule, &mut links, event);
            }
            // The senders live as long as the process.
            _ = listed.changed() => {
                let endpoints = listed.borrow_and_update().clone();
                schedule.update(endpoints.unwrap_or_default());
            }
            _ = moving.changed() => {
                for (endpoint, (phase, until)) in &*moving.borrow_and_update() {
                    schedule.moving(*until, endpoint, *phase);
                }
            }
            () = tokio::time::sleep(LOOK), if waiting => {}
        }
        answer(shared, &mut schedule, &links);
        if let Some(id) = asked.filter(|id| schedule.waits(*id)) {
            tell(&links, id.link, Down::Queued(id.number));
        }
    }
}

/// Takes one thing that happened. Returns the request if one asks.
fn take<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Schedule,
    links: &mut Map<u64, mpsc::Sender<Down>>,
    event: Event,
) -> Option<Id> {
    let now = shared.clock.now();
    let (link, message) = match event {
        Event::Open(link, out) => {
            links.insert(link, out);
            return None;
        }
        Event::Gone(link) => {
            links.remove(&link);
            schedule.leave(link);
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
        Up::Ask(ask) => {
            let number = ask.number;
            if !schedule.serves(&ask.service) {
                tell(links, link, Down::Unknown(number));
                return None;
            }
            schedule.ask(id(number), question(now, ask));
            shared.metrics.count("scheduler.asked");
            return Some(id(number));
        }
        Up::Lease(lease) => schedule.hold(id(lease.number), &lease.endpoint, lease.tokens),
        Up::Read(reading) => schedule.read(now, id(reading.number), reading.took.into()),
        Up::Began(number) => schedule.began(now, id(number)),
        Up::Finish(finish) => {
            let between = finish.between.map(|micros| (now, micro(micros)));
            schedule.finish(id(finish.number), between);
        }
        Up::Trouble(trouble) => schedule.trouble(now, &trouble.endpoint, from(trouble.kind)),
    }
    None
}

/// Answers requests whose turn it is.
fn answer<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Schedule,
    links: &Map<u64, mpsc::Sender<Down>>,
) {
    let now = shared.clock.now();
    let table = shared.table.load();
    for service in schedule.waiting() {
        let engine = table.service(&service).and_then(|service| service.engine);
        // Hosts whose configuration is newer look at it again.
        let Some(engine) = engine else { continue };
        while let Some((id, answer)) = schedule.next(now, &service, engine, &mut rand::rng()) {
            let number = id.number;
            let message = match answer {
                Answer::Grant(grant) => Down::Grant(wire::Grant {
                    number,
                    decode: grant.decode,
                    prefill: grant.prefill,
                    ready: grant.ready.into(),
                }),
                Answer::Refusal(wait) => {
                    shared.metrics.count("scheduler.refused");
                    let wait = wait.into();
                    Down::Refusal(wire::Refusal { number, wait })
                }
            };
            tell(links, id.link, message);
        }
    }
}

/// Sends a message on a link.
fn tell(links: &Map<u64, mpsc::Sender<Down>>, link: u64, message: Down) {
    let Some(out) = links.get(&link) else { return };
    // A host that takes nothing asks no longer, and its link goes silent.
    let _ = out.try_send(message);
}

/// A request as the scheduler sees it.
fn question(now: Instant, ask: wire::Ask) -> Ask {
    Ask {
        service: ask.service,
        domain: ask.domain,
        need: Need {
            prompt: ask.prompt,
            output: ask.output,
            pause: ask.pause.into(),
        },
        target: now + Duration::from(ask.target).min(LONGEST),
        patience: now + Duration::from(ask.patience).min(LONGEST),
        avoid: ask.avoid,
    }
}

/// Longest time that a request may say it waits.
const LONGEST: Duration = Duration::from_secs(600);

/// A span of so many microseconds.
fn micro(microseconds: u32) -> Duration {
    Duration::from_micros(microseconds.into())
}

/// What went wrong at an endpoint, as the scheduler sees it.
fn from(kind: Kind) -> Trouble {
    match kind {
        Kind::Full => Trouble::Full,
        Kind::Broken => Trouble::Broken,
        Kind::Misdirected => Trouble::Misdirected,
    }
}
