//! Forwarding of requests whose answers are not streams.

use std::sync::Arc;
use std::time::Duration;

use http::{response, Method, Response, StatusCode};

use cranberryridge_policy::gateway::budget::Sends;
use cranberryridge_policy::gateway::drain::{Interruption, Length};
use cranberryridge_policy::gateway::pool::{EndpointKey, Work};
use cranberryridge_policy::gateway::route::Kind;
use cranberryridge_wire::code::Code;

use super::dialect::{Dialect, Parameters, Stage};
use super::exchange::{Form, InFlight, Outcome};
use super::permit::Permit;
use super::refusal::Refusal;
use super::schedule::request_permit;
use super::serve::Call;
use crate::body::{Body, Chunks};
use crate::clock::Clock;
use crate::net::Net;

/// Longest wait for a permit of a request whose endpoints have all named a limit.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(400);

/// A complete answer.
type Answer = (response::Parts, Chunks);

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
    /// Nothing was sent, as the endpoint has named a limit and there is no valid permit.
    NotPermitted,
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
    let (shared, deadline) = (Arc::clone(&call.shared), call.deadline);
    let mut progress = Progress::default();
    let work = try_endpoints(call, &mut progress);
    let result = shared.run_until(deadline, work).await;
    let (mut head, body) = match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(refusal)) if progress.may_have_run => return Err(refusal.after_run()),
        Ok(Err(refusal)) => return Err(refusal),
        Err(interruption) => {
            if interruption == Interruption::Deadline && progress.may_have_run {
                call.record_overdue(progress.current);
            }
            return Err(Refusal::interrupted(interruption, progress.may_have_run));
        }
    };
    call.shared.dialect.strip_headers(&mut head.headers);
    Ok(Response::from_parts(head, Body::Full(body)))
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
        if let Err(refusal) = call.exclude_joining(&mut progress.excluded) {
            return failure.ok_or(refusal);
        }
        let length = predict_length(call);
        if let Err(refusal) = call.check_stop(length) {
            return failure.ok_or(refusal);
        }
        let (key, permit) = match choose(call, progress).await {
            Ok(Choice::Endpoint(key, permit)) => (key, permit),
            Ok(Choice::Again) => continue,
            Err(refusal) => return failure.ok_or(refusal),
        };
        let now = call.shared.clock.now();
        if let Some(endpoint) = call.shared.active_endpoint(now, key) {
            match call.change_version(&endpoint.version).await {
                Ok(true) => {}
                Ok(false) => continue,
                Err(refusal) => return failure.ok_or(refusal),
            }
        }
        let now = call.shared.clock.now();
        if !call.shared.pay_send(now, &call.service, &mut sends) {
            return failure.ok_or(Refusal::new(Code::RetryBudget));
        }
        let attempt = try_endpoint(call, progress, key, permit).await;
        if !matches!(attempt, Attempt::NotPermitted) {
            progress.excluded.push(key);
        }
        let ran = attempt.may_have_run();
        progress.may_have_run = ran || progress.run_count > 0;
        progress.run_count += u32::from(ran);
        if !matches!(attempt, Attempt::NotSent | Attempt::NotPermitted) {
            sends.record();
        }
        // Nothing of a lost run has been passed on.
        let may_run_again = match call.route.kind {
            Kind::Idempotent => true,
            Kind::ResumableStream => matches!(attempt, Attempt::Lost),
            _ => false,
        };
        let may_retry = may_run_again
            && progress.run_count < call.route.max_attempts
            && call.shared.may_resend(&call.input);
        match attempt {
            Attempt::Done(answer) => return Ok(answer),
            Attempt::Failed(answer) if may_retry => failure = Some(answer),
            Attempt::Failed(answer) => return Ok(answer),
            Attempt::Lost if may_retry => {}
            Attempt::Lost => return failure.ok_or(Refusal::new(Code::EndpointLost)),
            Attempt::NotRun | Attempt::NotSent | Attempt::NotPermitted => {}
        }
    }
}

/// Predicts the duration of the request from now on.
fn predict_length<N: Net, C: Clock, D: Dialect>(call: &Call<N, C, D>) -> Length {
    let now = call.shared.clock.now();
    let target = call.route.latency_target;
    let pool = call.shared.pool();
    pool.predict_call(now, &call.service, target, call.remaining_time())
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

/// Endpoint to try next.
enum Choice {
    /// The endpoint, with a permit if it has named a limit.
    Endpoint(EndpointKey, Option<Permit>),
    /// The endpoint has no permit for this request, and another one should be chosen.
    Again,
}

/// Chooses the endpoint to try next. A request whose endpoints have all named a limit waits
/// for a permit.
///
/// # Errors
///
/// Returns a refusal if there is no endpoint, or no permit in time.
async fn choose<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &Progress,
) -> Result<Choice, Refusal> {
    let now = call.shared.clock.now();
    let (chosen, candidates, are_all_limited) = {
        let scope = call.scope(&progress.excluded);
        let pool = call.shared.pool();
        let chosen = pool.choose_plain(now, scope, &mut rand::rng());
        if let Some(key) = chosen.filter(|key| !pool.is_limited(*key)) {
            return Ok(Choice::Endpoint(key, None));
        }
        let candidates = pool.candidates(now, scope);
        let are_all_limited = candidates.iter().all(|key| pool.is_limited(*key));
        (chosen, candidates, are_all_limited)
    };
    if candidates.is_empty() {
        return Err(refuse(call));
    }
    if are_all_limited {
        let waits_until = (call.record.arrival + MAX_PERMIT_WAIT).min(call.deadline);
        let patience = waits_until.saturating_duration_since(now);
        return match request_permit(call, &candidates, patience).await {
            Ok(permit) => Ok(Choice::Endpoint(permit.endpoint, Some(permit))),
            Err(delay) => {
                call.record.add_call("permit", "all", "refused");
                Err(Refusal::at_earliest(Code::Full, delay))
            }
        };
    }
    let Some(key) = chosen else {
        return Err(refuse(call));
    };
    let permit = call.ensure_permit(key, None, Duration::ZERO).await;
    Ok(permit.map_or(Choice::Again, |permit| Choice::Endpoint(key, permit)))
}

/// Tries one endpoint.
async fn try_endpoint<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
    permit: Option<Permit>,
) -> Attempt {
    let shared = Arc::clone(&call.shared);
    let endpoint = shared.active_endpoint(shared.clock.now(), key);
    let Some(endpoint) = endpoint.filter(|endpoint| call.may_use(endpoint)) else {
        return Attempt::NotSent;
    };
    call.record_version(&endpoint);
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
        priority: call.engine_priority(),
        stage: Stage::Whole,
        reservation_id: None,
        last_event_id: call.record.description.last_event_id.as_deref(),
    };
    progress.may_have_run = true;
    progress.current = Some(key);
    let started_at = shared.clock.now();
    let length = Some(predict_length(call));
    let sent = call.send(key, &endpoint, permit, parameters, length);
    let outcome = sent.await;
    if let Outcome::Answer(answer) = &outcome {
        call.record.framing = Some(answer.timing.framing);
    }
    let attempt = match outcome {
        Outcome::Answer(answer) => {
            let expects_stream = call.route.kind.is_stream()
                && answer.response.status().is_success()
                && call.input.head.method != Method::HEAD;
            let form = if expects_stream {
                Form::Stream
            } else {
                Form::Body
            };
            let answer = call.read_answer(key, &endpoint, started_at, answer, form);
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
        Outcome::NotPermitted => Attempt::NotPermitted,
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
    /// Returns whether the endpoint may have run the request.
    fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun | Self::NotSent | Self::NotPermitted)
    }

    /// Returns the name in logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Done(_) => "answered",
            Self::Failed(_) => "failed",
            Self::NotRun => "not run",
            Self::NotSent => "not sent",
            Self::NotPermitted => "not permitted",
            Self::Lost => "lost",
        }
    }
}
