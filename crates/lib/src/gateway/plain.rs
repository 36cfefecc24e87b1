//! Carries a request of a plain service.

use std::sync::Arc;

use bytes::Bytes;
use http::{response, Response, StatusCode};
use tokio::time::timeout_at;

use cranberryridge_policy::gateway::pool::{EndpointKey, Work};
use cranberryridge_policy::gateway::route::Kind;
use cranberryridge_wire::code::Code;

use super::dialect::{Dialect, Errand, Stage};
use super::exchange::{self, Flight, Outcome};
use super::refusal::Refusal;
use super::serve::Call;
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;

/// An answer that was read whole.
type Whole = (response::Parts, Bytes);

/// What an attempt left.
enum Step {
    /// An answer to pass on.
    Done(Whole),
    /// A failure of the endpoint's own.
    Failed(Whole),
    /// The request did not run.
    NotRun,
    /// Nothing was sent.
    NotSent,
    /// It may have run.
    Lost,
}

/// Serves the request.
///
/// # Errors
///
/// When no endpoint answered.
pub async fn serve<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
) -> Result<Response<Body>, Refusal> {
    let deadline = tokio::time::Instant::from_std(call.expiry);
    let mut progress = Progress::default();
    let served = timeout_at(deadline, attempts(call, &mut progress)).await;
    let (mut head, body) = match served {
        Ok(served) => served?,
        Err(_) if progress.sent => {
            call.overdue(progress.current);
            return Err(Refusal::new(Code::Overdue));
        }
        Err(_) => return Err(Refusal::new(Code::TooLate)),
    };
    call.shared.dialect.clean(&mut head.headers);
    Ok(Response::from_parts(head, Body::full(body)))
}

/// What was tried so far.
#[derive(Debug, Default)]
struct Progress {
    /// Whether an endpoint may have the request.
    sent: bool,
    /// The endpoint that has it now.
    current: Option<EndpointKey>,
    /// Endpoints that may have run it.
    runs: u32,
    /// Endpoints that it is not sent to again.
    avoid: Vec<EndpointKey>,
}

/// Tries endpoints until one answers or none may be tried any more.
async fn attempts<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
) -> Result<Whole, Refusal> {
    let mut failure = None;
    let mut arrivals = 0;
    loop {
        let Some(key) = choose(call, progress) else {
            let empty = call.shared.pool().endpoints(&call.service).is_empty();
            let code = if empty { Code::NoEndpoint } else { Code::Full };
            return failure.ok_or(Refusal::new(code));
        };
        if arrivals > 0 && !call.shared.spend(call.shared.clock.now(), &call.service) {
            return failure.ok_or(Refusal::new(Code::RetryBudget));
        }
        let step = attempt(call, progress, key).await;
        progress.avoid.push(key);
        let ran = !matches!(step, Step::NotRun | Step::NotSent);
        progress.sent = ran || progress.runs > 0;
        progress.runs += u32::from(ran);
        arrivals += u32::from(!matches!(step, Step::NotSent));
        let again = call.route.kind == Kind::Idempotent && progress.runs < call.route.max_attempts;
        match step {
            Step::Done(answer) => return Ok(answer),
            Step::Failed(answer) if again => failure = Some(answer),
            Step::Failed(answer) => return Ok(answer),
            Step::Lost if again => {}
            Step::Lost => return failure.ok_or(Refusal::new(Code::EndpointLost)),
            Step::NotRun | Step::NotSent => {}
        }
    }
}

/// The endpoint to try next.
fn choose<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    progress: &Progress,
) -> Option<EndpointKey> {
    let scope = call.scope(&progress.avoid);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_plain(now, scope, &mut rand::rng())
}

/// Tries one endpoint.
async fn attempt<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
    key: EndpointKey,
) -> Step {
    let shared = Arc::clone(&call.shared);
    let Some(endpoint) = shared.endpoint(key) else {
        return Step::NotSent;
    };
    let flight = Flight::new(
        &shared,
        Work {
            endpoint: key,
            prefill_tokens: 0,
            kv_tokens: 0,
        },
    );
    let errand = Errand {
        endpoint: &endpoint.id,
        left: call.left(),
        stage: Stage::Whole,
        reservation: None,
        after: None,
    };
    progress.sent = true;
    progress.current = Some(key);
    let begun = shared.clock.now();
    let outcome = exchange::send(&shared, &call.input, key, &endpoint, errand).await;
    let step = match outcome {
        Outcome::Answer(answer) => match exchange::whole(&shared, key, answer).await {
            Some((head, body)) if is_failure(head.status) => Step::Failed((head, body)),
            Some(answer) => {
                let now = shared.clock.now();
                let took = now.saturating_duration_since(begun);
                shared.pool().record_answer_time(now, key, took);
                Step::Done(answer)
            }
            None => Step::Lost,
        },
        Outcome::NotSent => Step::NotSent,
        Outcome::NotRun => Step::NotRun,
        Outcome::Lost => Step::Lost,
    };
    drop(flight);
    progress.current = None;
    call.record.call("call", &endpoint.id, step.name());
    step
}

/// Whether an answer says that the endpoint failed.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}

impl Step {
    /// The name in logs.
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
