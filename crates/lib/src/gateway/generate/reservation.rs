//! Reservation of capacity at a decode endpoint, and the queue for it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::place::{Need, Prefiller};
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, Work};
use cranberryridge_policy::gateway::queue::{Entry, Ticket, FIRST_EVENT_LEAD_TIME};
use cranberryridge_policy::gateway::route::Engine;
use cranberryridge_wire::code::Code;

use super::{first_event_deadline, Progress};
use crate::clock::Clock;
use crate::gateway::dialect::Dialect;
use crate::gateway::exchange::{self, InFlight};
use crate::gateway::permit::Permit;
use crate::gateway::refusal::Refusal;
use crate::gateway::schedule::{self, Assignment, Lease};
use crate::gateway::serve::Call;
use crate::gateway::Shared;
use crate::net::Net;

/// Interval at which a queued request looks for capacity if nothing reports
/// that some was freed.
const POLLING_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for a permit of a request without a scheduler's assignment.
const MAX_UNASSIGNED_WAIT: Duration = Duration::from_millis(400);

/// Timeout of a reservation at an endpoint. It covers several round trips
/// between failure domains.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Reserved capacity at a decode endpoint. Dropping it releases the reservation
/// there, unless the request has used it.
#[derive(Debug)]
pub struct Reservation<N: Net, C: Clock, D: Dialect> {
    /// Key of the endpoint in the pool.
    pub key: EndpointKey,
    /// The endpoint as listed at the time of the reservation.
    pub endpoint: Endpoint,
    /// Id of the reservation, or `None` once used or if the engine takes none.
    id: Option<CompactString>,
    /// Work of the request, counted in the pool until dropped.
    in_flight: InFlight<N, C, D>,
    /// Time of the first event, or `None` before it.
    started_at: Option<Instant>,
    /// Endpoint that reads the prompt, or `None` if no scheduler chose one.
    pub prefiller: Option<Prefiller>,
    /// Permit for the request, or `None` if the endpoint has named no limit.
    pub permit: Option<Permit>,
    /// Permit for reading the prompt at a prefill endpoint, if the scheduler gave one.
    pub prefill_permit: Option<Permit>,
    /// Lease from the scheduler, or `None` if this host chose the endpoint.
    lease: Option<Lease<N, C, D>>,
    /// Number and total duration of the intervals between events.
    event_intervals: (u32, Duration),
}

impl<N: Net, C: Clock, D: Dialect> Reservation<N, C, D> {
    /// Returns the id of the reservation at the endpoint, or `None` if it was
    /// used or the engine takes no reservations.
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Marks the reservation as used, so that dropping it does not release it.
    pub fn mark_used(&mut self) {
        self.id = None;
    }

    /// Counts the prompt as to be read at this endpoint.
    pub fn add_prefill(&mut self, prompt_tokens: u32) {
        self.in_flight.add_prefill(prompt_tokens);
    }

    /// Reports to the scheduler that another endpoint has read the prompt.
    pub fn record_remote_prefill(&self, took: Duration) {
        if let Some(lease) = &self.lease {
            lease.report_prefill(took);
        }
    }

    /// Records that the first event came `took` after the request was sent. If
    /// the prompt was read here, this was predicted to take `expected`.
    pub fn record_first_event(&mut self, expected: Duration, took: Duration) {
        if self.in_flight.work.prefill_tokens > 0 {
            self.in_flight.finish_prefill(expected, took);
        }
        self.started_at = Some(self.in_flight.shared.clock.now());
        if let Some(lease) = &self.lease {
            lease.report_first_event();
        }
    }

    /// Records the time between two events.
    pub fn record_event_interval(&mut self, interval: Duration) {
        self.event_intervals = (
            self.event_intervals.0 + 1,
            self.event_intervals.1 + interval,
        );
        let shared = &self.in_flight.shared;
        let now = shared.clock.now();
        shared.pool().record_event_interval(now, self.key, interval);
    }

    /// Records that the run has stated its end, and frees its capacity.
    pub fn complete(&mut self) {
        let (count, total) = self.event_intervals;
        if let Some(mut lease) = self.lease.take().filter(|_| count > 0) {
            lease.record_event_interval(total / count);
        }
        let shared = &self.in_flight.shared;
        if let Some(at) = self.started_at.take() {
            let took = shared.clock.now().saturating_duration_since(at);
            let mut pool = shared.pool();
            pool.record_run(self.key, took, self.in_flight.work.kv_tokens);
        }
        self.in_flight.finish();
    }
}

impl<N: Net, C: Clock, D: Dialect> Drop for Reservation<N, C, D> {
    fn drop(&mut self) {
        let Some(id) = self.id.take() else {
            return;
        };
        let (shared, at) = (&self.in_flight.shared, self.endpoint.address);
        let request = shared.dialect.release_reservation_request(at, &id);
        exchange::notify(shared, self.key, at, request);
    }
}

/// Reserves capacity, waiting for it as long as the caller would. The service's
/// scheduler chooses the endpoint, or this host if no scheduler is reachable.
///
/// # Errors
///
/// Returns a refusal if the service has no endpoint, or if the wait would
/// exceed the caller's timeout.
pub async fn acquire<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Result<Reservation<N, C, D>, Refusal> {
    let deadline = first_event_deadline(call);
    let mut is_retry = !progress.excluded.is_empty();
    let begun_at = call.shared.clock.now();
    loop {
        let requested_at = call.shared.clock.now();
        let waited = requested_at.saturating_duration_since(begun_at);
        call.check_version(&progress.excluded, waited)?;
        refuse_if_all_rest(call)?;
        let assigned = schedule::request_endpoints(call, need, &progress.excluded, is_retry).await;
        let (lease, grant) = match assigned {
            Assignment::Granted(lease, grant) => (lease, grant),
            Assignment::Refused(wait) => return Err(Refusal::with_retry_after(Code::Full, wait)),
            Assignment::NoScheduler => return acquire_locally(call, engine, need, progress).await,
        };
        let Some((key, prefiller)) = resolve_grant(call, &grant) else {
            // The scheduler has a newer endpoint list than this host.
            return acquire_locally(call, engine, need, progress).await;
        };
        let permit = |key| Permit::new(key, requested_at, grant.waited.into());
        let decode_permit = grant.decode_permit.then(|| permit(key));
        if let Some(mut reservation) = reserve(call, engine, need, key, decode_permit).await {
            if let Prefiller::Remote { prefill, .. } = prefiller {
                reservation.prefill_permit = grant.prefill_permit.then(|| permit(prefill));
            }
            reservation.prefiller = Some(prefiller);
            reservation.lease = Some(lease);
            return Ok(reservation);
        }
        if call.shared.clock.now() >= deadline {
            return Err(Refusal::new(Code::Full));
        }
        // `reserve` reported the failure to the scheduler, which avoids that
        // endpoint for a while.
        is_retry = true;
    }
}

/// Returns the endpoints of a scheduler's grant, or `None` if this host does not
/// know them, or knows them to have other software versions than the scheduler does.
fn resolve_grant<N, C: Clock, D>(
    call: &Call<N, C, D>,
    grant: &schedule::Grant,
) -> Option<(EndpointKey, Prefiller)> {
    let pool = call.shared.pool();
    let key = pool.key(&grant.decode)?;
    let decode = &pool.get(key)?.endpoint;
    if !call.may_use(decode) {
        return None;
    }
    let prefill_time = grant.ready.into();
    let prefiller = match &grant.prefill {
        Some(prefill) => {
            let prefill = pool.key(prefill)?;
            if pool.get(prefill)?.endpoint.version != decode.version {
                return None;
            }
            Prefiller::Remote {
                prefill,
                prefill_time,
            }
        }
        None => Prefiller::Local { prefill_time },
    };
    Some((key, prefiller))
}

/// Refuses the request if all endpoints have asked this host for a rest.
fn refuse_if_all_rest<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>) -> Result<(), Refusal> {
    match call.rest_remaining() {
        Some(rest) => Err(Refusal::at_earliest(Code::Full, rest)),
        None => Ok(()),
    }
}

/// Reserves capacity at an endpoint that this host chooses.
async fn acquire_locally<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Result<Reservation<N, C, D>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let position = Position::enter(call, need);
    let deadline = first_event_deadline(call);
    let begun_at = shared.clock.now();
    loop {
        let freed = shared.capacity_freed.notified();
        if shared.pool().endpoints(&call.service).is_empty() {
            return Err(Refusal::new(Code::NoEndpoint));
        }
        let waited = shared.clock.now().saturating_duration_since(begun_at);
        call.check_version(&progress.excluded, waited)?;
        refuse_if_all_rest(call)?;
        if let Some(reservation) =
            acquire_with_permit(call, engine, need, progress, begun_at).await?
        {
            return Ok(reservation);
        }
        while position.as_ref().is_none_or(Position::is_next) {
            let Some(key) = choose_decoder(call, engine, need, progress) else {
                break;
            };
            if let Some(reservation) = reserve(call, engine, need, key, None).await {
                return Ok(reservation);
            }
        }
        let now = shared.clock.now();
        let host_count = shared.host_count();
        let queue_length = shared.with_queue(&call.service, |queue| queue.len());
        let backlog_wait =
            shared
                .pool()
                .predict_backlog_wait(&call.service, engine, queue_length, host_count);
        if now + backlog_wait >= deadline {
            return Err(Refusal::with_retry_after(Code::Full, backlog_wait));
        }
        // On a timeout, this host looks for capacity again.
        let _ = tokio::time::timeout(POLLING_INTERVAL, freed).await;
    }
}

/// Reserves capacity for which all decode endpoints need a permit. A request that may have run waits
/// for one as long as its caller. Returns `None` if an endpoint needs none, or refuses.
///
/// # Errors
///
/// Returns a refusal if no permit is due in time.
async fn acquire_with_permit<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
    begun_at: Instant,
) -> Result<Option<Reservation<N, C, D>>, Refusal> {
    let now = call.shared.clock.now();
    let scope = call.scope(&progress.excluded);
    let keys = call
        .shared
        .pool()
        .limited_decoders(now, scope, engine, need);
    let Some(keys) = keys else {
        return Ok(None);
    };
    let deadline = first_event_deadline(call);
    let waits_until = if progress.may_have_run {
        deadline
    } else {
        deadline.min(begun_at + MAX_UNASSIGNED_WAIT)
    };
    let patience = waits_until.saturating_duration_since(now);
    let permit = schedule::request_permit(call, &keys, patience).await;
    let permit = permit.map_err(|delay| {
        call.record.add_call("permit", "all", "refused");
        Refusal::at_earliest(Code::Full, delay)
    })?;
    Ok(reserve(call, engine, need, permit.endpoint, Some(permit)).await)
}

/// Chooses the endpoint that generates the answer.
fn choose_decoder<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
) -> Option<EndpointKey> {
    let scope = call.scope(&progress.excluded);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_decoder(now, scope, engine, need, &mut rand::rng())
}

/// Reserves capacity at an endpoint. Returns `None` if it has none or does not
/// answer. At an endpoint that has named a limit, a permit takes the place of the
/// reservation, which would count against the limit as well.
async fn reserve<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    key: EndpointKey,
    permit: Option<Permit>,
) -> Option<Reservation<N, C, D>> {
    let shared = Arc::clone(&call.shared);
    let permit = call.ensure_permit(key, permit, Duration::ZERO).await.ok()?;
    let endpoint = shared.active_endpoint(shared.clock.now(), key)?;
    let kv_tokens = need.kv_tokens();
    let work = Work {
        endpoint: key,
        prefill_tokens: 0,
        kv_tokens,
    };
    let mut reservation = Reservation {
        key,
        id: None,
        in_flight: InFlight::new(&shared, work),
        started_at: None,
        prefiller: None,
        permit,
        prefill_permit: None,
        lease: None,
        event_intervals: (0, Duration::ZERO),
        endpoint,
    };
    if engine.max_reservation.is_zero() || permit.is_some() {
        return Some(reservation);
    }
    let at = reservation.endpoint.address;
    let request = shared
        .dialect
        .reserve_request(at, kv_tokens, engine.max_reservation);
    let answer = exchange::control(&shared, key, at, request, RESERVE_TIMEOUT).await;
    let now = shared.clock.now();
    match answer {
        Some(answer) if answer.status().is_success() => {
            reservation.id = shared.dialect.parse_reservation(answer.body());
            shared.pool().record_outcome(now, key, true);
            Some(reservation)
        }
        Some(_) => {
            call.record
                .add_call("reserve", &reservation.endpoint.id, "full");
            shared.metrics.count("endpoint.no_room");
            shared.record_failure(now, key, Failure::Full);
            None
        }
        None => {
            call.record
                .add_call("reserve", &reservation.endpoint.id, "no answer");
            shared.metrics.count("endpoint.unreachable");
            shared.record_failure(now, key, Failure::Full);
            shared.record_failure(now, key, Failure::Broken);
            None
        }
    }
}

/// Position of a request in a service's queue, until dropped.
struct Position<N, C, D> {
    shared: Arc<Shared<N, C, D>>,
    service: CompactString,
    ticket: Ticket,
}

impl<N: Net, C: Clock, D: Dialect> Position<N, C, D> {
    /// Adds the request to its service's queue. Returns `None` if it needs a software version
    /// that not all endpoints have, as it must then not wait behind others, nor they behind it.
    fn enter(call: &Call<N, C, D>, need: Need) -> Option<Self> {
        if let Some(version) = &call.version {
            let is_restricted = call.shared.pool().has_other_version(&call.service, version);
            if is_restricted {
                return None;
            }
        }
        let entry = Entry {
            size: need.size(),
            urgency: call.urgency(),
            excess: 0,
            first_event_target: call.record.arrival + call.route.latency_target,
            first_event_deadline: first_event_deadline(call),
        };
        let shared = Arc::clone(&call.shared);
        let ticket = shared.with_queue(&call.service, |queue| queue.push(entry));
        Some(Self {
            service: call.service.clone(),
            shared,
            ticket,
        })
    }

    /// Returns whether the request is first in the queue.
    fn is_next(&self) -> bool {
        let now = self.shared.clock.now();
        let next = self.shared.with_queue(&self.service, |queue| {
            queue.next(now, FIRST_EVENT_LEAD_TIME)
        });
        next == Some(self.ticket)
    }
}

impl<N, C, D> Drop for Position<N, C, D> {
    fn drop(&mut self) {
        self.shared
            .with_queue(&self.service, |queue| queue.remove(self.ticket));
        self.shared.capacity_freed.notify_waiters();
    }
}
