//! Room at a decode endpoint: the queue for it, and its reservation.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::place::{Need, Prefiller};
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, Work};
use cranberryridge_policy::gateway::queue::{Entry, Ticket, FIRST_EVENT_LEAD_TIME};
use cranberryridge_policy::gateway::route::Engine;
use cranberryridge_wire::code::Code;

use super::{patience, Progress};
use crate::client::Client;
use crate::clock::Clock;
use crate::gateway::dialect::Dialect;
use crate::gateway::exchange::{self, Flight};
use crate::gateway::refusal::Refusal;
use crate::gateway::schedule::{self, Assignment, Lease};
use crate::gateway::serve::Call;
use crate::gateway::Shared;
use crate::net::Net;

/// Time between two looks for room, should no endpoint say that it has some.
const LOOK: Duration = Duration::from_millis(50);

/// Longest time for an endpoint to reserve room. Several round trips between
/// failure domains.
const RESERVE: Duration = Duration::from_millis(250);

/// Room at a decode endpoint. Its reservation is given back when dropped,
/// unless the request has used it.
#[derive(Debug)]
pub struct Room<N: Net, C: Clock, D: Dialect> {
    /// Where.
    pub key: EndpointKey,
    /// As it was listed.
    pub endpoint: Endpoint,
    /// The reservation's name, until used.
    reservation: Option<CompactString>,
    /// The work there.
    flight: Flight<N, C, D>,
    /// When the run began.
    begun: Option<Instant>,
    /// Who reads the prompt, if a scheduler chose.
    pub reader: Option<Prefiller>,
    /// The request's place at the scheduler.
    lease: Option<Lease<N, C, D>>,
    /// Events but the first, and the time since that.
    stream: (u32, Duration),
}

impl<N: Net, C: Clock, D: Dialect> Room<N, C, D> {
    /// The reservation's name, if there is one.
    pub fn reservation(&self) -> Option<&str> {
        self.reservation.as_deref()
    }

    /// Notes that the request has used the reservation.
    pub fn used(&mut self) {
        self.reservation = None;
    }

    /// Notes that the prompt is read here.
    pub fn read_there(&mut self, prompt: u32) {
        self.flight.reads(prompt);
    }

    /// Notes that the prompt was read for it at another endpoint.
    pub fn read(&self, took: Duration) {
        if let Some(lease) = &self.lease {
            lease.report_prefill(took);
        }
    }

    /// Notes that the first event came `took` after the request was sent.
    pub fn began(&mut self, expected: Duration, took: Duration) {
        if self.flight.work.prefill_tokens > 0 {
            self.flight.read(expected, took);
        }
        self.begun = Some(self.flight.shared.clock.now());
        if let Some(lease) = &self.lease {
            lease.report_first_event();
        }
    }

    /// Notes the time between two events.
    pub fn streamed(&mut self, between: Duration) {
        self.stream = (self.stream.0 + 1, self.stream.1 + between);
        let shared = &self.flight.shared;
        let now = shared.clock.now();
        shared.pool().record_event_interval(now, self.key, between);
    }

    /// Notes that the run ended well.
    pub fn ended(&mut self) {
        let (events, lasted) = self.stream;
        if let Some(lease) = self.lease.as_mut().filter(|_| events > 0) {
            lease.record_event_interval(lasted / events);
        }
        let shared = &self.flight.shared;
        let Some(begun) = self.begun else { return };
        let took = shared.clock.now().saturating_duration_since(begun);
        shared
            .pool()
            .record_run(self.key, took, self.flight.work.kv_tokens);
    }
}

impl<N: Net, C: Clock, D: Dialect> Drop for Room<N, C, D> {
    fn drop(&mut self) {
        let Some(reservation) = self.reservation.take() else {
            return;
        };
        let (shared, at) = (&self.flight.shared, self.endpoint.address);
        let request = shared.dialect.give_back(at, &reservation);
        exchange::tell(shared, at, request);
    }
}

/// Takes room, waiting for it while that makes sense. The service's scheduler
/// chooses where; while none is in reach, this host does.
///
/// # Errors
///
/// When there is no endpoint, or the wait would be longer than the caller's.
pub async fn take<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Result<Room<N, C, D>, Refusal> {
    let patience = patience(call);
    let mut again = !progress.avoid.is_empty();
    loop {
        let assigned = schedule::request_endpoints(call, need, &progress.avoid, again).await;
        let (lease, grant) = match assigned {
            Assignment::Granted(lease, grant) => (lease, grant),
            Assignment::Refused(wait) => return Err(Refusal::later(Code::Full, wait)),
            Assignment::NoScheduler => return alone(call, engine, need, progress).await,
        };
        let Some((key, reader)) = known(call, &grant) else {
            // The scheduler has read a newer list than this host.
            return alone(call, engine, need, progress).await;
        };
        if let Some(mut room) = reserve(call, engine, need, key).await {
            room.reader = Some(reader);
            room.lease = Some(lease);
            return Ok(room);
        }
        if call.shared.clock.now() >= patience {
            return Err(Refusal::new(Code::Full));
        }
        // The scheduler was told, and leaves that endpoint out for a while.
        again = true;
    }
}

/// The endpoints that a scheduler chose, if this host knows them.
fn known<N, C: Clock, D>(
    call: &Call<N, C, D>,
    grant: &schedule::Grant,
) -> Option<(EndpointKey, Prefiller)> {
    let pool = call.shared.pool();
    let key = pool.key(&grant.decode)?;
    let prefill_time = grant.ready.into();
    let reader = match &grant.prefill {
        Some(prefill) => Prefiller::Remote {
            prefill: pool.key(prefill)?,
            prefill_time,
        },
        None => Prefiller::Local { prefill_time },
    };
    Some((key, reader))
}

/// Takes room by this host's own choice.
async fn alone<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Result<Room<N, C, D>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let place = Place::enter(call, need);
    let patience = patience(call);
    loop {
        let freed = shared.room.notified();
        if shared.pool().endpoints(&call.service).is_empty() {
            return Err(Refusal::new(Code::NoEndpoint));
        }
        while place.is_next() {
            let Some(key) = choose(call, engine, need, progress) else {
                break;
            };
            if let Some(room) = reserve(call, engine, need, key).await {
                return Ok(room);
            }
        }
        let now = shared.clock.now();
        let hosts = shared.hosts();
        let ahead = shared.with_queue(&call.service, |queue| queue.len());
        let clear = shared
            .pool()
            .predict_backlog_wait(&call.service, engine, ahead, hosts);
        if now + clear >= patience {
            return Err(Refusal::later(Code::Full, clear));
        }
        // A timeout is one more look.
        let _ = tokio::time::timeout(LOOK, freed).await;
    }
}

/// Chooses the endpoint that generates.
fn choose<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Option<EndpointKey> {
    let scope = call.scope(&progress.avoid);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_decoder(now, scope, engine, need, &mut rand::rng())
}

/// Reserves room at an endpoint. `None` when it has none.
async fn reserve<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    key: EndpointKey,
) -> Option<Room<N, C, D>> {
    let shared = Arc::clone(&call.shared);
    let endpoint = shared.endpoint(key)?;
    let kv_tokens = need.kv_tokens();
    let work = Work {
        endpoint: key,
        prefill_tokens: 0,
        kv_tokens,
    };
    let mut room = Room {
        key,
        reservation: None,
        flight: Flight::new(&shared, work),
        begun: None,
        reader: None,
        lease: None,
        stream: (0, Duration::ZERO),
        endpoint,
    };
    if engine.max_reservation.is_zero() {
        return Some(room);
    }
    let at = room.endpoint.address;
    let request = shared
        .dialect
        .reserve(at, kv_tokens, engine.max_reservation);
    let client = Client::new(shared.net.clone(), at);
    let answer = tokio::time::timeout(RESERVE, client.fetch(request)).await;
    let now = shared.clock.now();
    match answer {
        Ok(Ok(answer)) if answer.status().is_success() => {
            room.reservation = shared.dialect.reservation(answer.body());
            shared.pool().record_outcome(now, key, true);
            Some(room)
        }
        Ok(Ok(_)) => {
            call.record.call("reserve", &room.endpoint.id, "full");
            shared.metrics.count("endpoint.no_room");
            shared.trouble(now, key, Failure::Full);
            None
        }
        Ok(Err(_)) | Err(_) => {
            call.record.call("reserve", &room.endpoint.id, "no answer");
            shared.metrics.count("endpoint.unreachable");
            shared.trouble(now, key, Failure::Full);
            shared.trouble(now, key, Failure::Broken);
            None
        }
    }
}

/// A request's place in the queue, until dropped.
struct Place<N, C, D> {
    /// The gateway.
    shared: Arc<Shared<N, C, D>>,
    /// The queue's service.
    service: CompactString,
    /// The place.
    ticket: Ticket,
}

impl<N: Net, C: Clock, D: Dialect> Place<N, C, D> {
    /// Enters the queue.
    fn enter(call: &Call<N, C, D>, need: Need) -> Self {
        let entry = Entry {
            size: need.size(),
            first_event_target: call.record.arrival + call.route.latency_target,
            first_event_deadline: patience(call),
        };
        let shared = Arc::clone(&call.shared);
        let ticket = shared.with_queue(&call.service, |queue| queue.push(entry));
        Self {
            service: call.service.clone(),
            shared,
            ticket,
        }
    }

    /// Whether the request gets the next room.
    fn is_next(&self) -> bool {
        let now = self.shared.clock.now();
        let next = self.shared.with_queue(&self.service, |queue| {
            queue.next(now, FIRST_EVENT_LEAD_TIME)
        });
        next == Some(self.ticket)
    }
}

impl<N, C, D> Drop for Place<N, C, D> {
    fn drop(&mut self) {
        self.shared
            .with_queue(&self.service, |queue| queue.remove(self.ticket));
        self.shared.room.notify_waiters();
    }
}
