//! Forwarding of requests whose answers are not streams.

use std::sync::Arc;

use bytes::Bytes;
use http::{response, Response, StatusCode};
use tokio::time::timeout_at;

use cranberryridge_policy::gateway::budget::Sends;
use cranberryridge_policy::gateway::pool::{EndpointKey, Work};
use cranberryridge_policy::gateway::route::Kind;
use cranberryridge_wire::code::Code;

use super::dialect::{Dialect, Parameters, Stage};
use super::exchange::{self, Framing, InFlight, Outcome, MAX_ANSWER_BYTES};
use super::refusal::Refusal;
use super::serve::Call;
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;

/// A complete answer.
type Answer = (response::Parts, Bytes);

/// Result of an attempt.
enum Attempt {
    /// The endpoint answered without a server error.
    Done(Answer),
    /// The endpoint answered with a server error.
    Failed(Answer),
    /// The request did not run.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// The request may have run, but there is no complete answer.
    Lost,
}

/// Serves a request, with retries where allowed.
///
/// # Errors
///
/// Returns the reason if no endpoint answered.
pub async fn serve<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
) -> Result<Response<Body>, Refusal> {
    let deadline = tokio::time::Instant::from_std(call.deadline);
    let mut progress = Progress::default();
    let result = timeout_at(deadline, try_endpoints(call, &mut progress)).await;
    let (mut head, body) = match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(refusal)) if progress.may_have_run => return Err(refusal.after_run()),
        Ok(Err(refusal)) => return Err(refusal),
        Err(_) if progress.may_have_run => {
            call.record_overdue(progress.current);
            return Err(Refusal::new(Code::Overdue));
        }
        Err(_) => return Err(Refusal::new(Code::TooLate)),
    };
    call.shared.dialect.strip_headers(&mut head.headers);
    Ok(Response::from_parts(head, Body::full(body)))
}

/// State of a request across attempts.
#[derive(Debug, Default)]
struct Progress {
    /// Whether an endpoint may have run or may be running the request.
    may_have_run: bool,
    /// Endpoint that has the request now.
    current: Option<EndpointKey>,
    /// Number of endpoints that may have run the request.
    run_count: u32,
    /// Endpoints that the request is not sent to again.
    excluded: Vec<EndpointKey>,
}

/// Tries endpoints until one answers or no further attempt is allowed.
async fn try_endpoints<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
) -> Result<Answer, Refusal> {
    let mut failure = None;
    let mut sends = Sends::default();
    loop {
        if let Err(refusal) = call.check_deadline() {
            return failure.ok_or(refusal);
        }
        let Some(key) = choose(call, progress) else {
            return failure.ok_or_else(|| refuse(call));
        };
        let now = call.shared.clock.now();
        if !call.shared.pay_send(now, &call.service, &mut sends) {
            return failure.ok_or(Refusal::new(Code::RetryBudget));
        }
        let attempt = try_endpoint(call, progress, key).await;
        progress.excluded.push(key);
        let ran = !matches!(attempt, Attempt::NotRun | Attempt::NotSent);
        progress.may_have_run = ran || progress.run_count > 0;
        progress.run_count += u32::from(ran);
        if !matches!(attempt, Attempt::NotSent) {
            sends.record();
        }
        let may_retry = call.route.kind == Kind::Idempotent
            && progress.run_count < call.route.max_attempts
            && call.shared.may_resend(&call.input);
        match attempt {
            Attempt::Done(answer) => return Ok(answer),
            Attempt::Failed(answer) if may_retry => failure = Some(answer),
            Attempt::Failed(answer) => return Ok(answer),
            Attempt::Lost if may_retry => {}
            Attempt::Lost => return failure.ok_or(Refusal::new(Code::EndpointLost)),
            Attempt::NotRun | Attempt::NotSent => {}
        }
    }
}

/// Refuses a request for which there is no endpoint.
fn refuse<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>) -> Refusal {
    let shared = &call.shared;
    let rest = call.rest_remaining();
    if let Some(rest) = rest {
        return Refusal::at_earliest(Code::Full, rest);
    }
    let is_empty = shared.pool().endpoints(&call.service).is_empty();
    Refusal::new(if is_empty {
        Code::NoEndpoint
    } else {
        Code::Full
    })
}

/// Chooses the endpoint to try next.
fn choose<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &Progress,
) -> Option<EndpointKey> {
    let scope = call.scope(&progress.excluded);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_plain(now, scope, &mut rand::rng())
}

/// Tries one endpoint.
async fn try_endpoint<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
) -> Attempt {
    let shared = Arc::clone(&call.shared);
    let Some(endpoint) = shared.active_endpoint(shared.clock.now(), key) else {
        return Attempt::NotSent;
    };
    let in_flight = InFlight::new(
        &shared,
        Work {
            endpoint: key,
            prefill_tokens: 0,
            kv_tokens: 0,
        },
    );
    let parameters = Parameters {
        endpoint_id: &endpoint.id,
        remaining_time: call.remaining_time(),
        stage: Stage::Whole,
        reservation_id: None,
        last_event_id: None,
    };
    progress.may_have_run = true;
    progress.current = Some(key);
    let started_at = shared.clock.now();
    let outcome = exchange::send(&shared, &call.input, key, &endpoint, parameters).await;
    if let Outcome::Answer(answer) = &outcome {
        call.record.framing = Some(Framing::of(answer.headers()));
    }
    let attempt = match outcome {
        Outcome::Answer(answer) => {
            let answer = call.read_answer(key, &endpoint, started_at, answer, MAX_ANSWER_BYTES);
            match answer.await {
                Some((head, body)) if is_failure(head.status) => Attempt::Failed((head, body)),
                Some(answer) => {
                    let now = shared.clock.now();
                    let took = now.saturating_duration_since(started_at);
                    shared.pool().record_answer_time(now, key, took);
                    shared.record_success(&call.input, started_at);
                    Attempt::Done(answer)
                }
                None => Attempt::Lost,
            }
        }
        Outcome::NotSent => Attempt::NotSent,
        Outcome::NotRun => Attempt::NotRun,
        Outcome::Lost => Attempt::Lost,
    };
    drop(in_flight);
    progress.current = None;
    call.record.add_call("call", &endpoint.id, attempt.name());
    attempt
}

/// Returns whether a status means that the endpoint failed.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

impl Attempt {
    /// Returns the name in logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not run",
            Self::NotSent => "not sent",
            Self::Lost => "lost",
        }
    }
}
