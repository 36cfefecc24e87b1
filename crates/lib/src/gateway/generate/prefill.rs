//! Reading of prompts at prefill endpoints.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use http::response;

use cranberryridge_policy::gateway::place::{Need, Prefiller};
use cranberryridge_policy::gateway::pool::{EndpointKey, Work};
use cranberryridge_policy::gateway::route::{Engine, Kind};
use cranberryridge_wire::code::Code;

use super::cache::Cache;
use super::{predict_length, retry_after_empty_run, Progress, Reservation, MAX_PERMIT_WAIT};
use crate::body::Chunks;
use crate::clock::Clock;
use crate::gateway::dialect::{Dialect, Parameters, Stage};
use crate::gateway::exchange::{self, Form, InFlight, Outcome};
use crate::gateway::refusal::Refusal;
use crate::gateway::serve::Call;
use crate::net::Net;

/// Where a prompt has been read.
pub(super) enum Prompt<N: Net, C: Clock, D: Dialect> {
    /// Nowhere: the endpoint failed, and another one should be tried.
    Unread,
    /// The decode endpoint will read it.
    Local,
    /// A prefill endpoint has read it and keeps its KV cache.
    Remote(Cache<N, C, D>),
}

/// Has the prompt read at a prefill endpoint, unless the decode endpoint of the
/// reservation reads it.
pub(super) async fn read_prompt<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &mut Progress,
    reservation: &mut Reservation<N, C, D>,
) -> Result<Prompt<N, C, D>, Refusal> {
    // The first prefill is no attempt, further ones are. The decode endpoint reads the prompt once
    // they are used up.
    if progress.failed_prefills + progress.run_count > call.route.max_attempts {
        return Ok(Prompt::Local);
    }
    let prefiller = reservation
        .prefiller
        .or_else(|| choose_prefiller(call, engine, need, progress, reservation.key));
    let Some(prefiller) = prefiller else {
        return Err(Refusal::new(Code::NoEndpoint));
    };
    let Prefiller::Remote {
        prefill,
        prefill_time,
    } = prefiller
    else {
        return Ok(Prompt::Local);
    };
    let cache = run_prefill(
        call,
        engine,
        need,
        progress,
        reservation,
        prefill,
        prefill_time,
    );
    Ok(cache.await?.map_or(Prompt::Unread, Prompt::Remote))
}

/// Chooses the endpoint that reads the prompt.
fn choose_prefiller<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &Progress,
    decode: EndpointKey,
) -> Option<Prefiller> {
    let scope = call.scope(&progress.excluded);
    let now = call.shared.clock.now();
    let pool = call.shared.pool();
    pool.choose_prefiller(now, scope, engine, need, decode, &mut rand::rng())
}

/// What became of a request to read a prompt.
enum Reading {
    /// The endpoint keeps the KV cache under a handle.
    Handle(CompactString),
    /// The endpoint ran the request, as it does if no event is left to generate.
    Stream(Box<exchange::Answer>),
    /// The endpoint answered with an error or without a handle.
    Failed,
    /// There is no whole answer.
    Lost,
    /// The endpoint read nothing.
    NotRun,
}

impl Reading {
    /// Returns what an answer without an error means, `None` if it is not whole.
    fn of_document<D: Dialect>(dialect: &D, answer: Option<(response::Parts, Chunks)>) -> Self {
        let Some((_, body)) = answer else {
            return Self::Lost;
        };
        let handle = dialect.parse_kv_handle(&body.to_bytes());
        handle.map_or(Self::Failed, Self::Handle)
    }

    /// Returns the name in logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Handle(_) => "read",
            Self::Stream(_) => "ran",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::NotRun => "not run",
        }
    }
}

/// Sends the prompt to a prefill endpoint and returns its KV cache, or `None`
/// if another endpoint should be tried.
async fn run_prefill<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    need: Need,
    progress: &mut Progress,
    reservation: &mut Reservation<N, C, D>,
    key: EndpointKey,
    expected: Duration,
) -> Result<Option<Cache<N, C, D>>, Refusal> {
    let shared = Arc::clone(&call.shared);
    let given = reservation.prefill_permit.take();
    let Ok(permit) = call.ensure_permit(key, given, MAX_PERMIT_WAIT).await else {
        progress.failed_prefills += 1;
        return Ok(None);
    };
    let started_at = shared.clock.now();
    let Some(endpoint) = shared.active_endpoint(started_at, key) else {
        return Ok(None);
    };
    if endpoint.version != reservation.endpoint.version {
        call.record
            .add_call("prefill", &endpoint.id, "other version");
        progress.excluded.push(key);
        return Ok(None);
    }
    if !shared.pay_send(started_at, &call.service, &mut progress.sends) {
        return Err(Refusal::new(Code::RetryBudget));
    }
    let work = Work {
        endpoint: key,
        prefill_tokens: need.prompt_tokens,
        kv_tokens: need.prompt_tokens,
    };
    let mut in_flight = InFlight::new(&shared, work);
    let parameters = Parameters {
        endpoint_id: &endpoint.id,
        remaining_time: call.remaining_time(),
        priority: call.engine_priority(),
        stage: Stage::Prefill,
        reservation_id: None,
        last_event_id: progress.sequence.asked_id(),
    };
    let length = predict_length(call, engine, need);
    let may_have_run_before = progress.may_have_run;
    // If nothing is left to generate, the endpoint runs the request.
    progress.may_have_run |= parameters.last_event_id.is_some();
    let sent = call.send(key, &endpoint, permit, parameters, length);
    let outcome = sent.await;
    if matches!(outcome, Outcome::NotPermitted) {
        progress.may_have_run = may_have_run_before;
        return Ok(None);
    }
    if !matches!(outcome, Outcome::NotSent) {
        let is_read =
            matches!(&outcome, Outcome::Answer(answer) if answer.response.status().is_success());
        progress.sends.record_prefill(is_read);
    }
    let reading = match outcome {
        Outcome::Answer(answer) if answer.is_stream() => Reading::Stream(answer),
        Outcome::Answer(answer) if answer.response.status().is_success() => {
            let answer = call.read_answer(key, &endpoint, started_at, answer, Form::Document);
            Reading::of_document(&shared.dialect, answer.await)
        }
        Outcome::Answer(_) => Reading::Failed,
        Outcome::Lost => Reading::Lost,
        Outcome::NotRun | Outcome::NotSent | Outcome::NotPermitted => Reading::NotRun,
    };
    let now = shared.clock.now();
    let took = now.saturating_duration_since(started_at);
    call.record
        .add_call("prefill", &endpoint.id, reading.name());
    let handle = match reading {
        Reading::Handle(handle) => handle,
        Reading::Stream(answer) => {
            progress.may_have_run = true;
            progress.sends.record();
            let (head, _) = answer.response.into_parts();
            retry_after_empty_run(call, progress, key, &endpoint, head)?;
            return Ok(None);
        }
        Reading::Lost if progress.may_have_run && call.route.kind != Kind::ResumableStream => {
            return Err(Refusal::new(Code::EndpointLost));
        }
        Reading::Failed | Reading::Lost => {
            progress.excluded.push(key);
            progress.failed_prefills += 1;
            return Ok(None);
        }
        Reading::NotRun => {
            progress.may_have_run = may_have_run_before;
            progress.excluded.push(key);
            return Ok(None);
        }
    };
    progress.may_have_run = may_have_run_before;
    in_flight.finish_prefill(expected, took);
    reservation.record_remote_prefill(took);
    let valid_until = now + engine.cache_ttl;
    let cache = Cache::new(in_flight, endpoint, handle, valid_until);
    Ok(Some(cache))
}
