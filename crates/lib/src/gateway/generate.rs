//! Carries a model request.
//!
//! Room at a decode endpoint is reserved before the prompt is read, as a
//! prompt that finds no room there is read in vain. Then the prompt is read,
//! at a prefill endpoint or at the decode endpoint itself, and the stream is
//! passed on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{response, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout_at;

use cranberryridge_policy::gateway::place::{Need, Prefiller};
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, Work};
use cranberryridge_policy::gateway::route::{Engine, Kind};
use cranberryridge_wire::code::Code;

use super::dialect::{Dialect, Errand, Stage};
use super::exchange::{self, Flight, Outcome};
use super::refusal::Refusal;
use super::serve::Call;
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;

use self::cache::Cache;
use self::room::Room;

mod cache;
mod relay;
mod room;

/// Callers leave a stream that shows no event for this long, or for some
/// multiples of its targets if that is longer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Patience as a multiple of the target of the first event.
const TARGETS: u32 = 4;

/// Patience as a multiple of the longest pause that is on time.
const PAUSES: u32 = 8;

/// A stream that has begun.
#[derive(Debug)]
struct Begun<N: Net, C: Clock, D: Dialect> {
    /// The head of the answer.
    head: response::Parts,
    /// The body.
    body: Incoming,
    /// The first bytes of it.
    first: Option<Bytes>,
    /// Where it runs.
    room: Room<N, C, D>,
}

/// An answer of an endpoint.
enum Answer<N: Net, C: Clock, D: Dialect> {
    /// A stream.
    Stream(Box<Begun<N, C, D>>),
    /// A failure, whole.
    Failure(response::Parts, Bytes),
}

/// What was tried so far.
#[derive(Debug, Default)]
struct Progress {
    /// Whether an endpoint may have run the request.
    sent: bool,
    /// The endpoint that has it now.
    current: Option<EndpointKey>,
    /// Endpoints that may have run it.
    runs: u32,
    /// Whether a prompt was sent to a prefill endpoint.
    read: bool,
    /// Whether a run arrived at an endpoint.
    arrived: bool,
    /// Endpoints that the request is not sent to again.
    avoid: Vec<EndpointKey>,
    /// The last event that the caller has.
    after: Option<CompactString>,
}

/// Serves the request.
///
/// # Errors
///
/// When no endpoint answered.
pub async fn serve<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
) -> Result<Response<Body>, (Call<N, C, D>, Refusal)> {
    let mut progress = Progress::default();
    let deadline = tokio::time::Instant::from_std(call.expiry);
    let begun = timeout_at(deadline, begin(&mut call, engine, &mut progress)).await;
    let begun = begun.unwrap_or_else(|_| {
        if !progress.sent {
            return Err(Refusal::new(Code::TooLate));
        }
        call.overdue(progress.current);
        Err(Refusal::new(Code::Overdue))
    });
    match begun {
        Err(refusal) => Err((call, refusal)),
        Ok(Answer::Failure(mut head, body)) => {
            call.shared.dialect.clean(&mut head.headers);
            call.record.end("failure passed on", head.status.as_u16());
            Ok(Response::from_parts(head, Body::full(body)))
        }
        Ok(Answer::Stream(begun)) => Ok(relay::start(call, engine, progress, *begun).await),
    }
}

/// Finds endpoints and sends the request until a stream begins.
async fn begin<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
) -> Result<Answer<N, C, D>, Refusal> {
    let need = need(call);
    if need.kv_tokens() > engine.kv_capacity {
        return Err(Refusal::new(Code::Full));
    }
    loop {
        let room = room::take(call, engine, need, progress).await?;
        let reader = room
            .reader
            .or_else(|| reader(call, engine, need, progress, room.key));
        let cache = match reader {
            Some(Prefiller::Remote {
                prefill,
                prefill_time,
            }) => {
                let cache = read(call, need, progress, &room, prefill, prefill_time).await?;
                if cache.is_none() {
                    continue;
                }
                cache
            }
            Some(Prefiller::Local { .. }) => None,
            None => return Err(Refusal::new(Code::NoEndpoint)),
        };
        if let Some(answer) = run(call, need, progress, room, cache).await? {
            return Ok(answer);
        }
    }
}

/// What the request needs.
fn need<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>) -> Need {
    let description = &call.record.description;
    let estimate = description.estimate.unwrap_or(description.output);
    Need {
        prompt_tokens: description.prompt,
        output_tokens: estimate.min(description.output),
        max_event_gap: call.route.max_event_gap,
    }
}

/// Until when a first event is of use.
pub(super) fn patience<N, C: Clock, D>(call: &Call<N, C, D>) -> Instant {
    let targets = call.route.latency_target * TARGETS;
    let patience = PATIENCE.max(targets).max(call.route.max_event_gap * PAUSES);
    call.expiry.min(call.record.arrival + patience)
}

/// Chooses who reads the prompt.
fn reader<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
    decode: EndpointKey,
) -> Option<Prefiller> {
    let scope = call.scope(&progress.avoid);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_prefiller(now, scope, engine, need, decode, &mut rand::rng())
}

/// Has a prompt read. `None` when another endpoint is to be tried.
async fn read<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    need: Need,
    progress: &mut Progress,
    room: &Room<N, C, D>,
    key: EndpointKey,
    expected: Duration,
) -> Result<Option<Cache<N, C, D>>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let Some(endpoint) = shared.endpoint(key) else {
        return Ok(None);
    };
    let begun = shared.clock.now();
    if progress.read && !shared.spend(begun, &call.service) {
        return Err(Refusal::new(Code::RetryBudget));
    }
    let work = Work {
        endpoint: key,
        prefill_tokens: need.prompt_tokens,
        kv_tokens: need.prompt_tokens,
    };
    let mut flight = Flight::new(&shared, work);
    let errand = Errand {
        endpoint: &endpoint.id,
        left: call.left(),
        stage: Stage::Prefill,
        reservation: None,
        after: None,
    };
    let outcome = exchange::send(&shared, &call.input, key, &endpoint, errand).await;
    progress.read |= !matches!(outcome, Outcome::NotSent);
    let handle = match outcome {
        Outcome::Answer(answer) if answer.status().is_success() => {
            let whole = exchange::whole(&shared, key, answer).await;
            whole.and_then(|(_, body)| shared.dialect.handle(&body))
        }
        _ => None,
    };
    let took = shared.clock.now().saturating_duration_since(begun);
    let Some(handle) = handle else {
        call.record.call("prefill", &endpoint.id, "failed");
        progress.avoid.push(key);
        return Ok(None);
    };
    flight.read(expected, took);
    room.read(took);
    call.record.call("prefill", &endpoint.id, "read");
    Ok(Some(Cache::new(flight, endpoint.address, handle)))
}

/// Has the answer generated. `None` when another endpoint is to be tried.
async fn run<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    need: Need,
    progress: &mut Progress,
    mut room: Room<N, C, D>,
    mut cache: Option<Cache<N, C, D>>,
) -> Result<Option<Answer<N, C, D>>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let begun = shared.clock.now();
    let key = room.key;
    let Some(endpoint) = shared.endpoint(key) else {
        call.record.call("room", &room.endpoint.id, "leaving");
        return Ok(None);
    };
    if progress.arrived && !shared.spend(begun, &call.service) {
        return Err(Refusal::new(Code::RetryBudget));
    }
    let expected = shared.pool().predict_prefill_time(begun, key, need);
    if cache.is_none() {
        room.read_there(need.prompt_tokens);
    }
    let errand = Errand {
        endpoint: &endpoint.id,
        left: call.left(),
        stage: cache.as_ref().map_or(Stage::Whole, Cache::stage),
        reservation: room.reservation(),
        after: progress.after.as_deref(),
    };
    let before = progress.sent;
    progress.sent = true;
    progress.current = Some(key);
    let outcome = exchange::send(&shared, &call.input, key, &endpoint, errand).await;
    progress.arrived |= !matches!(outcome, Outcome::NotSent);
    let stage = if cache.is_some() { "decode" } else { "whole" };
    let answer = match outcome {
        Outcome::NotSent | Outcome::NotRun => {
            progress.sent = before;
            progress.avoid.push(key);
            call.record.call(stage, &endpoint.id, "not run");
            return Ok(None);
        }
        Outcome::Lost => {
            call.record.call(stage, &endpoint.id, "lost");
            return broken(call, progress, key).map(|()| None);
        }
        Outcome::Answer(answer) => answer,
    };
    room.used();
    if let Some(cache) = &mut cache {
        cache.taken();
    }
    if !answer.status().is_success() {
        call.record.call(stage, &endpoint.id, "failed");
        let Some((head, body)) = exchange::whole(&shared, key, answer).await else {
            return broken(call, progress, key).map(|()| None);
        };
        return Ok(Some(Answer::Failure(head, body)));
    }
    let (head, mut body) = answer.into_parts();
    let first = match next(&mut body).await {
        Next::Data(bytes) => Some(bytes),
        Next::End => None,
        Next::Broken => {
            call.record.call(stage, &endpoint.id, "broken");
            shared.trouble(shared.clock.now(), key, Failure::Broken);
            return broken(call, progress, key).map(|()| None);
        }
    };
    let took = shared.clock.now().saturating_duration_since(begun);
    room.began(expected, took);
    call.record.call(stage, &endpoint.id, "began");
    progress.current = None;
    progress.runs += 1;
    Ok(Some(Answer::Stream(Box::new(Begun {
        head,
        body,
        first,
        room,
    }))))
}

/// Decides whether a run that was lost before its first event may be followed
/// by another.
fn broken<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
) -> Result<(), Refusal> {
    progress.runs += 1;
    progress.avoid.push(key);
    if may_go_on(call, progress) {
        return Ok(());
    }
    Err(Refusal::new(Code::EndpointLost))
}

/// Whether another endpoint may run the request or its rest.
fn may_go_on<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>, progress: &Progress) -> bool {
    call.route.kind == Kind::ResumableStream && progress.runs < call.route.max_attempts
}

/// The next part of a body.
enum Next {
    /// Bytes.
    Data(Bytes),
    /// It ended in good order.
    End,
    /// It broke off.
    Broken,
}

/// Waits for the next part of a body.
async fn next(body: &mut Incoming) -> Next {
    loop {
        match body.frame().await {
            None => return Next::End,
            Some(Err(_)) => return Next::Broken,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Next::Data(bytes);
                }
            }
        }
    }
}
