//! The scheduler of this host, which assigns endpoints for all entry hosts.
//!
//! Every host runs one; the hosts agree on which of them schedules a service. A
//! host's leases end with its link, and the host reports them to the next
//! scheduler.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use tokio::sync::mpsc;

use cranberryridge_policy::gateway::account::Urgency;
use cranberryridge_policy::gateway::limit::Standing;
use cranberryridge_policy::gateway::permit;
use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::Failure;
use cranberryridge_policy::gateway::quota::{Denial, Ledger};
use cranberryridge_policy::gateway::schedule::{Answer, Id, Request, Scheduler};
use cranberryridge_wire::schedule::{self as wire, Down, Kind, Up};
use cranberryridge_wire::Map;

use super::dialect::Dialect;
use super::permit::from_message;
use super::serve::ACCEPT_BACKOFF;
use super::{lock, snapshot, Shared};
use crate::clock::Clock;
use crate::frame;
use crate::net::{Listen, Net};
use crate::tally::{self, Tally};

pub use cranberryridge_wire::schedule::Grant;

pub use self::ask::{Assignment, Lease};
pub use self::link::{follow, Links};

pub(super) use self::acquire::request_permit;
pub(super) use self::ask::request_endpoints;
pub(super) use self::draw::{draw, Drawing};
pub(super) use self::locate::{confirm, locate, Asked};

mod acquire;
mod ask;
mod draw;
mod link;
mod locate;

/// Interval at which queued requests are reconsidered if no event occurs: an
/// endpoint that had no room becomes available again after a backoff.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which the demand is published. Half the interval at which moves
/// of engines are decided.
const DEMAND_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the part of limits that this scheduler permits is decided anew.
const SHARE_INTERVAL: Duration = Duration::from_millis(200);

/// Capacity of the scheduler's event queue, shared by all links.
const EVENT_CAPACITY: usize = 4096;

/// Capacity of a link's queue of outgoing messages.
const OUTBOX_CAPACITY: usize = 1024;

/// Maximum number of open links: twice the number of entry hosts that a
/// deployment may have, as a host that reconnects may have two.
const MAX_LINKS: usize = 4096;

/// An event on a link. The first field is the link's number.
enum Event {
    Opened(u64, mpsc::Sender<Down>),
    Message(u64, Up),
    Closed(u64),
}

/// A host with an open link.
struct Peer {
    sender: mpsc::Sender<Down>,
    /// Keeps the host counted as a follower; `None` if it does not follow the
    /// endpoints.
    subscription: Option<tally::Guard>,
}

/// Assigns endpoints to the hosts that connect to the listener. Runs until the
/// process ends.
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

/// Accepts links and starts a task for each.
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
                slog::warn!(shared.logger, "scheduler: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if open.count() >= MAX_LINKS {
            slog::warn!(shared.logger, "scheduler: link refused, limit reached");
            continue;
        }
        let guard = open.enter();
        let (shared, events) = (shared.clone(), events.clone());
        tokio::spawn(async move {
            let _guard = guard;
            let (sender, mut outbox) = mpsc::channel(OUTBOX_CAPACITY);
            // The receiver lives as long as the process.
            let _ = events.send(Event::Opened(number, sender)).await;
            let to = Inbox(number, events.clone());
            let ended = frame::run(stream, || heartbeat(&shared), &mut outbox, to).await;
            if let Err(error) = ended {
                slog::debug!(shared.logger, "scheduler: link lost"; "error" => %error);
            }
            let _ = events.send(Event::Closed(number)).await;
        });
    }
}

/// Passes the messages of the link with this number to the scheduler.
struct Inbox(u64, mpsc::Sender<Event>);

impl frame::Handler<Up> for Inbox {
    async fn handle(&mut self, message: Up) {
        // A heartbeat only has to arrive: it resets the link's timeout.
        if matches!(message, Up::Beat) {
            return;
        }
        // The receiver lives as long as the process.
        let _ = self.1.send(Event::Message(self.0, message)).await;
    }
}

/// Handles events, and answers the queued requests after each.
async fn process_events<N: Net, C: Clock, D: Dialect>(
    shared: &Arc<Shared<N, C, D>>,
    mut inbox: mpsc::Receiver<Event>,
) {
    let mut schedule = Scheduler::new(shared.settings.pool, shared.settings.balance);
    let mut ledger = Ledger::new(shared.settings.quota);
    // Version of the configuration whose accounts the ledger keeps.
    let mut ledger_version = 0;
    let mut links = Map::default();
    let mut listed = shared.current_endpoints.subscribe();
    let mut read = shared.listed_endpoints.subscribe();
    let mut seen = shared.seen.subscribe();
    let mut endpoints = Vec::new();
    let mut demand_timer = tokio::time::interval(DEMAND_INTERVAL);
    let mut moving = shared.moving_engines.subscribe();
    let mut leaving = shared.leaving_endpoints.subscribe();
    let mut limits = shared.limits_changed.subscribe();
    let mut share_timer = tokio::time::interval(SHARE_INTERVAL);
    // Limits that the linked hosts were told of.
    let mut told_limits = Map::default();
    let mut suspects = shared.suspects.subscribe();
    let mut evidence = shared.parts.subscribe();
    // Leaving endpoints that the linked hosts were told of.
    let mut told = Map::default();
    loop {
        let waiting = schedule.has_queued();
        let mut arrived = None;
        tokio::select! {
            // The endpoints are sent before the heartbeat with their age, so
            // that no host takes an old list for a new one.
            biased;
            // The senders live as long as the process.
            _ = listed.changed() => {
                let endpoints = listed.borrow_and_update().clone();
                schedule.update(endpoints.unwrap_or_default());
                mark_leaving(shared, &mut schedule);
            }
            _ = read.changed() => {
                let after = read.borrow_and_update().clone();
                let changes = snapshot::diff(*shared.era.borrow(), &endpoints, &after);
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
            _ = leaving.changed() => {
                let after = leaving.borrow_and_update().clone();
                mark_leaving(shared, &mut schedule);
                for (endpoint, started_ms) in &after {
                    if told.get(endpoint) != Some(started_ms) {
                        send_to_all(&mut links, &to_leaving(endpoint, *started_ms));
                    }
                }
                told = after;
            }
            _ = limits.changed() => {
                limits.mark_unchanged();
                let messages = shared.limit_messages();
                for limit in &messages {
                    if told_limits.get(&limit.endpoint) != Some(limit) {
                        let (endpoint, known) = from_message(limit);
                        schedule.merge_limit(shared.clock.now(), &endpoint, known);
                        send_to_all(&mut links, &Down::Limit(limit.clone()));
                    }
                }
                let messages = messages.into_iter();
                told_limits = messages.map(|limit| (limit.endpoint.clone(), limit)).collect();
                update_permit_shares(shared, &mut schedule);
            }
            _ = share_timer.tick() => {
                update_permit_shares(shared, &mut schedule);
                update_ledger(shared, &mut ledger);
                let table = shared.table.load();
                if ledger_version != table.version() {
                    ledger_version = table.version();
                    ledger.retain(table.accounts());
                }
            }
            // What a slow subscriber misses is told to hosts that link later.
            Ok(suspect) = suspects.recv() => send_to_all(&mut links, &Down::Suspect(suspect)),
            Ok(evidence) = evidence.recv() => {
                send_to_all(&mut links, &Down::Evidence(evidence));
            }
            event = inbox.recv() => {
                let Some(event) = event else { return };
                arrived = handle_event(shared, &mut schedule, &mut ledger, &mut links, event);
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

/// Handles one event. Returns the request's id if the event is a request, and
/// `None` otherwise.
fn handle_event<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Scheduler,
    ledger: &mut Ledger,
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
            ledger.remove_lender(link);
            update_ledger(shared, ledger);
            return None;
        }
        Event::Message(link, message) => (link, message),
    };
    let id = |number| Id { link, number };
    match message {
        Up::Beat => {}
        Up::Greet(greeting) => {
            slog::debug!(shared.logger, "scheduler: host linked"; "host" => %greeting.host);
            for suspect in shared.suspects.snapshot(now) {
                send(links, link, Down::Suspect(suspect));
            }
            for evidence in shared.parts.snapshot(now) {
                send(links, link, Down::Evidence(evidence));
            }
            for limit in shared.limit_messages() {
                send(links, link, Down::Limit(limit));
            }
        }
        Up::Follow => {
            let endpoints = shared.listed_endpoints.borrow().clone();
            if let Some(peer) = links.get_mut(&link) {
                peer.subscription = Some(shared.followers.enter());
                for part in snapshot::full(*shared.era.borrow(), &endpoints) {
                    send(links, link, Down::Listing(part));
                }
                for (endpoint, started_ms) in &*shared.leaving_endpoints.borrow() {
                    send(links, link, to_leaving(endpoint, *started_ms));
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
                // A host with a newer configuration may already know the
                // service.
                send(links, link, Down::Unknown(number));
                return None;
            };
            let is_retry = ask.again;
            let mut request = to_request(now, ask);
            if !is_retry {
                let name = request.account.as_str();
                let sold = table
                    .accounts()
                    .get(name)
                    .and_then(|account| account.sold_tokens());
                let account = (!name.is_empty()).then_some((name, sold));
                request.excess =
                    schedule.record_arrival(now, &service, engine, request.need, account);
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
        Up::Suspect(suspect) => shared.merge_suspect(&suspect),
        Up::Evidence(evidence) => shared.merge_evidence(&evidence),
        Up::Limit(limit) => shared.merge_limit(&limit),
        Up::Origin(origin) => shared.merge_origin(origin),
        Up::Locate(question) => {
            send(links, link, Down::Located(shared.locate_origin(&question)));
        }
        Up::Lend => ledger.add_lender(now, link),
        Up::Reclaim => {
            ledger.remove_lender(link);
            update_ledger(shared, ledger);
        }
        Up::Draw(request) => send(links, link, draw_units(shared, ledger, request)),
        Up::Acquire(request) => {
            let number = request.number;
            if !schedule.has_endpoints(&request.service) {
                send(links, link, Down::Unknown(number));
                return None;
            }
            for limit in &request.limits {
                shared.merge_limit(limit);
                let (endpoint, known) = from_message(limit);
                schedule.merge_limit(now, &endpoint, known);
            }
            shared.metrics.count("permit.asked");
            schedule.request_permit(id(number), to_permit_request(now, request));
            return Some(id(number));
        }
        Up::Notice(notice) => {
            let rest = Duration::from(notice.rest).min(MAX_WAIT);
            let (endpoint, started_ms) = (&notice.endpoint, notice.born);
            schedule.record_notice(now, endpoint, started_ms, notice.leaving, rest);
            if notice.leaving {
                shared.record_leaving(endpoint, started_ms);
            }
        }
    }
    None
}

/// Recomputes the part of the quotas that is lent to this host.
fn update_ledger<N, C: Clock, D>(shared: &Shared<N, C, D>, ledger: &mut Ledger) {
    let now = shared.clock.now();
    let (hosts, is_listed) = {
        let hosts = lock(&shared.hosts);
        (hosts.count(), hosts.is_listed(now))
    };
    let before = ledger.share();
    ledger.update(now, hosts, is_listed);
    let share = ledger.share();
    if share != before {
        slog::info!(shared.logger, "quota: share changed"; "share" => share, "before" => before,
            "hosts" => hosts);
    }
}

/// Answers a host's request for units of an account's quota.
fn draw_units<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    ledger: &mut Ledger,
    request: wire::Draw,
) -> Down {
    let (number, name) = (request.number, request.account.as_str());
    let table = shared.table.load();
    // The host's configuration is another one.
    let Some(quota) = table.accounts().quota(name) else {
        return Down::Unknown(number);
    };
    shared.metrics.count("quota.drawn");
    let now = shared.clock.now();
    match ledger.draw(now, name, quota, request.needed, request.wanted) {
        Ok(units) => Down::Drawn(wire::Drawn { number, units }),
        Err(Denial::NotLent) => Down::Unknown(number),
        Err(Denial::Exhausted(wait)) => {
            shared.metrics.count("quota.exhausted");
            slog::debug!(shared.logger, "quota: used up"; "account" => name,
                "needed" => request.needed, "wait_ms" => wait.as_millis() as u64,
                "rate" => quota.rate, "burst" => quota.burst, "share" => ledger.share());
            let wait = wait.into();
            Down::Refusal(wire::Refusal { number, wait })
        }
    }
}

/// Marks the endpoints that are shutting down.
fn mark_leaving<N, C: Clock, D>(shared: &Shared<N, C, D>, schedule: &mut Scheduler) {
    let now = shared.clock.now();
    for (endpoint, started_ms) in &*shared.leaving_endpoints.borrow() {
        schedule.record_notice(now, endpoint, *started_ms, true, Duration::ZERO);
    }
}

/// Returns the message that an endpoint's start is shutting down.
fn to_leaving(endpoint: &CompactString, started_ms: u64) -> Down {
    Down::Leaving(wire::Start {
        endpoint: endpoint.clone(),
        born: started_ms,
    })
}

/// Decides for which part of the limits of services' endpoints this scheduler gives permits.
fn update_permit_shares<N: Net, C: Clock, D: Dialect>(
    shared: &Arc<Shared<N, C, D>>,
    schedule: &mut Scheduler,
) {
    let now = shared.clock.now();
    for service in schedule.limited_services() {
        let own = shared.settings.scheduler;
        let (schedulers, is_known_to_all) = {
            let hosts = lock(&shared.hosts);
            (hosts.schedulers(&service), hosts.is_known_to_all(now))
        };
        let earlier = schedulers.iter().take_while(|address| **address != own);
        let down_times = earlier.map(|address| shared.links.down_time(shared, *address));
        let standing = Standing {
            is_first: schedulers.first() == Some(&own),
            is_known_to_all,
            // `None` is the least, so one that is reachable suffices.
            others_down_for: down_times.min().flatten(),
        };
        schedule.set_permit_share(&service, standing.share());
    }
}

/// Answers all requests that can be granted or must be refused.
fn send_answers<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    schedule: &mut Scheduler,
    links: &mut Map<u64, Peer>,
) {
    let now = shared.clock.now();
    while let Some((id, answer)) = schedule.next_permit(now) {
        let number = id.number;
        let message = match answer {
            permit::Answer::Permit { endpoint, waited } => Down::Permit(wire::Permit {
                number,
                endpoint,
                waited: waited.into(),
            }),
            permit::Answer::Refusal(wait) => Down::Refusal(wire::Refusal {
                number,
                wait: wait.into(),
            }),
        };
        send(links, id.link, message);
    }
    let table = shared.table.load();
    for service in schedule.waiting_services() {
        // The service is no longer configured. Hosts that still have it choose
        // endpoints themselves once the timeout of their request has passed.
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
                    decode_permit: grant.decode_permit,
                    prefill_permit: grant.prefill_permit,
                    waited: grant.waited.into(),
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

/// Sends a message on a link. Closes the link if its queue is full, because a
/// dropped message is not sent again on the same link.
fn send(links: &mut Map<u64, Peer>, link: u64, message: Down) {
    let Some(peer) = links.get(&link) else { return };
    if peer.sender.try_send(message).is_err() {
        links.remove(&link);
    }
}

/// Sends a message on all links, and closes those whose queue is full.
fn send_to_all(links: &mut Map<u64, Peer>, message: &Down) {
    links.retain(|_, peer| peer.sender.try_send(message.clone()).is_ok());
}

/// Sends a message to all hosts that follow the endpoints.
fn broadcast(links: &mut Map<u64, Peer>, message: &Down) {
    links.retain(|_, peer| {
        peer.subscription.is_none() || peer.sender.try_send(message.clone()).is_ok()
    });
}

/// Returns a heartbeat with the age of this host's last readings.
fn heartbeat<N, C: Clock, D>(shared: &Shared<N, C, D>) -> Down {
    let now = shared.clock.now();
    let age = |at: Instant| now.saturating_duration_since(at).into();
    let seen = *shared.seen.borrow();
    Down::Beat(wire::Beat {
        list: seen.listed.map(|read| age(read.now)),
        configuration: seen.configured_at.map(age),
        version: shared.table.load().version(),
        era: shared.era.borrow().0,
    })
}

/// Converts a request to the scheduler's type.
fn to_request(now: Instant, ask: wire::Ask) -> Request {
    Request {
        service: ask.service,
        domain: ask.domain,
        account: ask.account,
        urgency: Urgency {
            priority: ask.priority,
            route_priority: ask.route_priority,
        },
        excess: 0,
        need: Need {
            prompt_tokens: ask.prompt,
            output_tokens: ask.output,
            max_event_gap: ask.pause.into(),
        },
        first_event_target: now + Duration::from(ask.target).min(MAX_WAIT),
        first_event_deadline: now + Duration::from(ask.patience).min(MAX_WAIT),
        was_refused: ask.returns,
        excluded: ask.avoid,
        version: ask.version,
        requested_at: now,
    }
}

/// Converts a request for a permit to the scheduler's type.
fn to_permit_request(now: Instant, request: wire::Acquire) -> permit::Request {
    let endpoints = request.limits.into_iter().map(|limit| limit.endpoint);
    permit::Request {
        service: request.service,
        endpoints: endpoints.collect(),
        priority: request.priority,
        deadline: now + Duration::from(request.deadline).min(MAX_WAIT),
        waits_until: now + Duration::from(request.patience).min(MAX_WAIT),
        requested_at: now,
    }
}

/// Upper bound of the times in a message.
const MAX_WAIT: Duration = Duration::from_secs(600);

fn from_micros(microseconds: u32) -> Duration {
    Duration::from_micros(microseconds.into())
}

fn to_failure(kind: Kind) -> Failure {
    match kind {
        Kind::Full => Failure::Full,
        Kind::Broken => Failure::Broken,
        Kind::Misdirected => Failure::Misdirected,
    }
}
