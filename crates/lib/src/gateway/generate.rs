//! Forwarding of model requests.
//!
//! Capacity at a decode endpoint is reserved before the prefill, since a
//! prefill without free decode capacity would be wasted. The prompt is then
//! read at a prefill endpoint or at the decode endpoint itself, and the stream
//! is relayed to the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{response, Method, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use cranberryridge_policy::answer::deadline::Timing;
use cranberryridge_policy::answer::numbering::Numbering;
use cranberryridge_policy::answer::{Framing, Sequence};
use cranberryridge_policy::gateway::budget::Sends;
use cranberryridge_policy::gateway::drain::{Interruption, Length};
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_policy::gateway::memory::Purpose;
use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_policy::gateway::route::{Engine, Kind};
use cranberryridge_wire::code::Code;

use super::dialect::{Dialect, Parameters, Stage};
use super::exchange::{self, Form, Outcome};
use super::parts::unless_barred;
use super::refusal::Refusal;
use super::serve::Call;
use super::suspects::LostRun;
use crate::body::{Body, Chunks};
use crate::client::Held;
use crate::clock::Clock;
use crate::events::{append, Scanner, MAX_EVENT_BYTES};
use crate::net::Net;

use self::cache::Cache;
use self::prefill::{read_prompt, Prompt};
use self::reservation::Reservation;

mod cache;
mod join;
mod prefill;
mod relay;
mod reservation;

/// Callers abandon a stream whose first event takes longer than this, or than
/// the multiples below of the route's targets if those are longer.
const MIN_FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(2);

/// First-event timeout as a multiple of the route's latency target.
const LATENCY_TARGET_MULTIPLE: u32 = 4;

/// First-event timeout as a multiple of the route's maximum event gap.
const EVENT_GAP_MULTIPLE: u32 = 8;

/// Longest wait for a permit of a request whose endpoints have been assigned.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(200);

/// A run whose stream has started.
#[derive(Debug)]
struct Run<N: Net, C: Clock, D: Dialect> {
    head: response::Parts,
    /// How the end of the body is stated, and until when the endpoint works on it.
    timing: Timing,
    /// Rest of the body after `first_chunk`.
    body: Incoming,
    /// The connection that the body arrives on.
    connection: Held<Chunks>,
    first_chunk: Option<Bytes>,
    /// Reserved capacity at the endpoint that runs the request.
    reservation: Reservation<N, C, D>,
    /// Time at which the request was sent to the endpoint.
    sent_at: Instant,
    /// Time of the first bytes.
    first_event_at: Instant,
    /// Whether the run has not yet been recorded as proof for the parts of its prompt.
    is_on_probation: bool,
}

impl<N: Net, C: Clock, D: Dialect> Run<N, C, D> {
    /// Returns how the endpoint's software numbers events.
    fn numbering(&self, call: &Call<N, C, D>) -> Numbering {
        let version = &self.reservation.endpoint.version;
        call.shared.numberings.get(&call.service, version)
    }

    /// Records the ids of a stream whose end the run stated.
    fn record_ids(&self, call: &Call<N, C, D>, sequence: &Sequence) {
        let version = &self.reservation.endpoint.version;
        if let Some(ids) = sequence.ids() {
            call.shared.record_ids(&call.service, version, ids);
        }
    }

    /// Records that the run left a gap.
    fn record_gap(&self, call: &Call<N, C, D>) {
        let version = &self.reservation.endpoint.version;
        call.shared.record_gap(&call.service, version);
    }
}

/// Answer of an endpoint.
enum Answer<N: Net, C: Clock, D: Dialect> {
    /// A stream that has started.
    Stream(Box<Run<N, C, D>>),
    /// A complete answer that is no stream: an error response, or one without a body.
    Failure(response::Parts, Chunks),
}

/// Outcome of sending a request to the endpoint that generates the answer.
enum Attempt<N: Net, C: Clock, D: Dialect> {
    /// The endpoint answered.
    Answered(Answer<N, C, D>),
    /// The request did not run, and another endpoint should be tried. The KV
    /// cache, if any, was not taken.
    NotRun(Option<Cache<N, C, D>>),
}

/// State of a request across attempts.
#[derive(Debug, Default)]
struct Progress {
    /// Whether an endpoint may have run the request.
    may_have_run: bool,
    /// Endpoint that has the request now.
    current: Option<EndpointKey>,
    /// Number of endpoints that may have run the request.
    run_count: u32,
    /// Number of calls to read the prompt that failed, or got no permit.
    failed_prefills: u32,
    /// Head of the first run that found nothing behind the caller's last event.
    empty_head: Option<response::Parts>,
    /// Sends to endpoints so far.
    sends: Sends,
    /// Endpoints that the request is not sent to again.
    excluded: Vec<EndpointKey>,
    /// Events that the caller has.
    sequence: Sequence,
    /// Whether the caller has the head of an answer, so that no other answer can follow.
    has_begun: bool,
}

/// Serves a model request and returns the response, whose body is relayed in
/// the background.
///
/// # Errors
///
/// Returns the call and the reason if no endpoint answered.
pub async fn serve<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
) -> Result<Response<Body>, (Call<N, C, D>, Refusal)> {
    let mut progress = Progress {
        sequence: call.begin_sequence(),
        ..Progress::default()
    };
    let (shared, deadline) = (Arc::clone(&call.shared), call.deadline);
    let work = join::start(&mut call, engine, &mut progress);
    let result = shared.run_until(deadline, work).await;
    let result = result.unwrap_or_else(|interruption| {
        if interruption == Interruption::Deadline && progress.may_have_run {
            call.record_overdue(progress.current);
        }
        Err(Refusal::interrupted(interruption, progress.may_have_run))
    });
    match result {
        Err(refusal) if progress.may_have_run => Err((call, refusal.after_run())),
        Err(refusal) => Err((call, refusal)),
        Ok(Answer::Failure(mut head, body)) => {
            call.shared.dialect.strip_headers(&mut head.headers);
            call.record
                .set_outcome("failure passed on", head.status.as_u16());
            Ok(Response::from_parts(head, Body::Full(body)))
        }
        Ok(Answer::Stream(run)) => Ok(relay::start(call, engine, progress, *run).await),
    }
}

/// Sends the request to endpoints until one starts a stream or returns an error
/// response.
async fn start_run<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
) -> Result<Answer<N, C, D>, Refusal> {
    let need = need(call);
    if need.kv_tokens() > engine.kv_capacity {
        return Err(Refusal::new(Code::Full));
    }
    let (shared, parts) = (Arc::clone(&call.shared), Arc::clone(&call.input.parts));
    let mut kept = None::<Cache<N, C, D>>;
    loop {
        call.check_deadline()?;
        let length = predict_length(call, engine, need);
        if let Some(length) = length {
            call.check_stop(length)?;
        }
        call.exclude_joining(&mut progress.excluded)?;
        let acquire = reservation::acquire(call, engine, need, progress);
        let mut reservation = unless_barred(&shared, &parts, acquire).await?;
        if !call.change_version(&reservation.endpoint.version).await? {
            continue;
        }
        let now = shared.clock.now();
        let reusable = kept
            .take()
            .filter(|cache| cache.version == reservation.endpoint.version)
            .and_then(|mut cache| cache.offer(now).then_some(cache));
        let cache = match reusable {
            Some(cache) => {
                call.shared.metrics.count("kv_cache.reused");
                Some(cache)
            }
            None => {
                let read = read_prompt(call, engine, need, progress, &mut reservation);
                match unless_barred(&shared, &parts, read).await? {
                    Prompt::Unread => continue,
                    Prompt::Local => None,
                    Prompt::Remote(mut cache) => {
                        cache.offer(shared.clock.now());
                        Some(cache)
                    }
                }
            }
        };
        match start_generation(call, need, length, progress, reservation, cache).await? {
            Attempt::Answered(answer) => return Ok(answer),
            Attempt::NotRun(cache) => kept = cache,
        }
    }
}

/// Predicts the duration of the stream from now on. Returns `None` if it has begun, as it is
/// then resumed even if the host may exit before its end.
fn predict_length<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    engine: Engine,
    need: Need,
) -> Option<Length> {
    if call.record.answer_started_at.is_some() {
        return None;
    }
    let now = call.shared.clock.now();
    let longest = call.record.description.max_output_tokens;
    let remaining_time = call.remaining_time();
    let pool = call.shared.pool();
    Some(pool.predict_length(now, &call.service, engine, need, longest, remaining_time))
}

/// Returns the capacity that the request needs.
fn need<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>) -> Need {
    let description = &call.record.description;
    let estimate = description
        .estimated_output_tokens
        .unwrap_or(description.max_output_tokens);
    Need {
        prompt_tokens: description.prompt_tokens,
        output_tokens: estimate.min(description.max_output_tokens),
        max_event_gap: call.route.max_event_gap,
    }
}

/// Returns the time until which the caller waits for the first event.
pub(super) fn first_event_deadline<N, C: Clock, D>(call: &Call<N, C, D>) -> Instant {
    let targets = call.route.latency_target * LATENCY_TARGET_MULTIPLE;
    let timeout = MIN_FIRST_EVENT_TIMEOUT
        .max(targets)
        .max(call.route.max_event_gap * EVENT_GAP_MULTIPLE);
    call.deadline.min(call.record.arrival + timeout)
}

/// Sends the request to the endpoint that generates the answer and waits for the
/// first bytes.
async fn start_generation<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    need: Need,
    length: Option<Length>,
    progress: &mut Progress,
    mut reservation: Reservation<N, C, D>,
    mut cache: Option<Cache<N, C, D>>,
) -> Result<Attempt<N, C, D>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let key = reservation.key;
    let given = reservation.permit.take();
    let Ok(permit) = call.ensure_permit(key, given, MAX_PERMIT_WAIT).await else {
        return Ok(Attempt::NotRun(cache));
    };
    let started_at = shared.clock.now();
    let Some(endpoint) = shared.active_endpoint(started_at, key) else {
        call.record
            .add_call("room", &reservation.endpoint.id, "leaving");
        return Ok(Attempt::NotRun(cache));
    };
    if !call.may_use(&endpoint) || endpoint.version != reservation.endpoint.version {
        call.record.add_call("room", &endpoint.id, "other version");
        progress.excluded.push(key);
        return Ok(Attempt::NotRun(cache));
    }
    cache = cache.filter(|cache| cache.version == endpoint.version);
    if !shared.pay_send(started_at, &call.service, &mut progress.sends) {
        return Err(Refusal::new(Code::RetryBudget));
    }
    let expected = shared.pool().predict_prefill_time(started_at, key, need);
    if cache.is_none() {
        reservation.add_prefill(need.prompt_tokens);
    }
    let parameters = Parameters {
        endpoint_id: &endpoint.id,
        remaining_time: call.remaining_time(),
        priority: call.engine_priority(),
        stage: cache.as_ref().map_or(Stage::Whole, Cache::stage),
        reservation_id: reservation.id(),
        last_event_id: progress.sequence.asked_id(),
    };
    call.record_version(&endpoint);
    let may_have_run_before = progress.may_have_run;
    progress.may_have_run = true;
    progress.current = Some(key);
    let sent = call.send(key, &endpoint, permit, parameters, length);
    let outcome = sent.await;
    if !matches!(outcome, Outcome::NotSent | Outcome::NotPermitted) {
        progress.sends.record();
    }
    let stage = if cache.is_some() { "decode" } else { "whole" };
    let answer = match outcome {
        Outcome::NotPermitted => {
            progress.may_have_run = may_have_run_before;
            call.record.add_call(stage, &endpoint.id, "not permitted");
            return Ok(Attempt::NotRun(cache));
        }
        Outcome::NotSent | Outcome::NotRun => {
            progress.may_have_run = may_have_run_before;
            progress.excluded.push(key);
            call.record.add_call(stage, &endpoint.id, "not run");
            return Ok(Attempt::NotRun(cache));
        }
        Outcome::Lost => {
            call.record.add_call(stage, &endpoint.id, "lost");
            return retry_after_loss(call, progress, key).map(|()| Attempt::NotRun(None));
        }
        Outcome::Answer(answer) => answer,
    };
    reservation.mark_used();
    if let Some(cache) = &mut cache {
        cache.mark_taken();
    }
    let has_no_body = call.input.head.method == Method::HEAD;
    if !answer.response.status().is_success() || has_no_body {
        let result = if has_no_body { "answered" } else { "failed" };
        call.record.add_call(stage, &endpoint.id, result);
        let answer = call.read_answer(key, &endpoint, started_at, answer, Form::Body);
        let Some((head, body)) = answer.await else {
            return retry_after_loss(call, progress, key).map(|()| Attempt::NotRun(None));
        };
        return Ok(Attempt::Answered(Answer::Failure(head, body)));
    }
    let exchange::Answer {
        response,
        connection,
        timing,
    } = *answer;
    let (head, mut body) = response.into_parts();
    call.record.framing = Some(timing.framing);
    let start = read_start(call, &head, timing.framing, &mut body).await;
    let run = LostRun {
        input: &call.input,
        key,
        endpoint: &endpoint,
        sent_at: started_at,
        first_event_at: None,
    };
    let first_chunk = match start {
        Start::Event(bytes) => bytes,
        Start::Empty if progress.sequence.last_id().is_some() => {
            call.record.add_call(stage, &endpoint.id, "empty");
            shared.record_empty_run(run).await;
            return retry_after_empty_run(call, progress, key, &endpoint, head)
                .map(|()| Attempt::NotRun(None));
        }
        Start::Empty | Start::Broken => {
            call.record.add_call(stage, &endpoint.id, "broken");
            shared.record_lost_run(run).await;
            return retry_after_loss(call, progress, key).map(|()| Attempt::NotRun(None));
        }
    };
    let now = shared.clock.now();
    let took = now.saturating_duration_since(started_at);
    reservation.record_first_event(expected, took);
    call.record.add_call(stage, &endpoint.id, "began");
    progress.current = None;
    progress.run_count += 1;
    Ok(Attempt::Answered(Answer::Stream(Box::new(Run {
        head,
        timing,
        body,
        connection,
        first_chunk: Some(first_chunk),
        reservation,
        sent_at: started_at,
        first_event_at: now,
        is_on_probation: true,
    }))))
}

/// Excludes the endpoint of a run that was lost before its first event, so that another
/// one may be tried.
///
/// # Errors
///
/// Returns [`Code::EndpointLost`] if the request may not run again.
fn retry_after_loss<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
) -> Result<(), Refusal> {
    progress.run_count += 1;
    progress.excluded.push(key);
    if is_retry_allowed(call, progress) {
        return Ok(());
    }
    Err(Refusal::new(Code::EndpointLost))
}

/// Excludes the endpoint of a run that found nothing behind the caller's last event, or answered a
/// call to read the prompt. Where the event before the last one is known, the next run checks the
/// end; an endpoint that is known not to state ends is not asked.
///
/// # Errors
///
/// Returns [`Code::EndpointLost`] if the request may not run again.
fn retry_after_empty_run<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
    endpoint: &Endpoint,
    head: response::Parts,
) -> Result<(), Refusal> {
    progress.empty_head.get_or_insert(head);
    let numbering = call.shared.numberings.get(&call.service, &endpoint.version);
    progress.sequence.expect(numbering);
    if !progress.sequence.is_checking() && progress.sequence.begin_check_of_empty_run() {
        let unable = find_unable(call, progress);
        progress.excluded.extend(unable);
    }
    retry_after_loss(call, progress, key)
}

/// Returns the endpoints that are not asked to check an end, without those that have run the
/// request.
fn find_unable<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &Progress,
) -> Vec<EndpointKey> {
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    let keys = pool.unable_to_check(now, &call.service);
    keys.filter(|key| !progress.excluded.contains(key))
        .collect()
}

/// Returns whether another endpoint may run or resume the request, or check its end.
fn is_retry_allowed<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &Progress,
) -> bool {
    call.route.kind == Kind::ResumableStream
        && progress.run_count < call.route.max_attempts
        && call.shared.may_resend(&call.input)
        && (!progress.sequence.is_checking() || has_other_endpoint(call, progress))
}

/// Returns whether an endpoint that has not run the request can generate its answer. A caller
/// that may have all events is not kept waiting for one to come.
fn has_other_endpoint<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &Progress,
) -> bool {
    let pool = call.shared.pool();
    let now = call.shared.clock.now();
    let keys = pool.candidates(now, call.scope(&progress.excluded));
    let mut endpoints = keys.iter().filter_map(|key| pool.get(*key));
    endpoints
        .any(|state| state.endpoint.phase != Some(Phase::Prefill) && call.may_use(&state.endpoint))
}

/// Start of a stream.
enum Start {
    /// It has been read until its first event has begun.
    Event(Bytes),
    /// Its endpoint states that it ends without an event.
    Empty,
    /// The answer is no stream, ends or grows too long before the first event, or there is no
    /// memory for it.
    Broken,
}

/// Reads a stream until its first event has begun.
async fn read_start<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    head: &response::Parts,
    framing: Framing,
    body: &mut Incoming,
) -> Start {
    if !exchange::is_stream(head.status, &head.headers) {
        return Start::Broken;
    }
    let (mut scanner, mut start) = (Scanner::default(), BytesMut::new());
    let mut memory = call.memory.begin(Purpose::Answer);
    while start.len() <= MAX_EVENT_BYTES {
        let bytes = match next_chunk(body).await {
            Chunk::Data(bytes) => bytes,
            Chunk::End if framing.states_end() && !scanner.is_inside_event() => {
                return Start::Empty
            }
            Chunk::End | Chunk::Broken => return Start::Broken,
        };
        if !memory.fit(start.len() + bytes.len()) {
            call.report_no_memory("stream.no_memory");
            return Start::Broken;
        }
        scanner.push(&bytes);
        append(&mut start, &bytes);
        if scanner.has_begun_event() {
            return Start::Event(start.freeze());
        }
    }
    Start::Broken
}

/// Result of reading from a body.
enum Chunk {
    Data(Bytes),
    /// The body ended normally.
    End,
    /// The connection failed before the end.
    Broken,
}

/// Waits for the next data of a body. Trailers are skipped.
async fn next_chunk(body: &mut Incoming) -> Chunk {
    loop {
        match body.frame().await {
            None => return Chunk::End,
            Some(Err(_)) => return Chunk::Broken,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Chunk::Data(bytes);
                }
            }
        }
    }
}
