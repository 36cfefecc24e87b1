//! Attempts at a model engine: prefill, decode and resumed streams.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::watch;

use cranberryridge_policy::gate::Demand;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::message::{self, Call, Done, Down, Failure, Hold, Resume, Token, Up};
use cranberryridge_wire::setting::{self, Kind};

use super::attempt::{admit, Streams};
use super::control::Permit;
use super::engine::{Answer, Engine, Error, Http, Job, MAX_DOCUMENT_BYTES};
use super::registry::{Progress, Run};
use super::{Shared, RESUME_GRACE_PERIOD};
use crate::client::Client;
use crate::clock::Clock;
use crate::net::Net;
use crate::stream::End;

/// Maximum time that granted memory waits for its decode, and the result of a prefill
/// for its transfer.
const HOLD_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum time that granted memory still waits for its decode once the sidecar drains.
/// A later decode would be new work for an engine that is shutting down.
const DRAINING_HOLD_TIMEOUT: Duration = Duration::from_secs(2);

/// Predicted duration of the first step of a decode.
const FIRST_DECODE_STEP: Duration = Duration::from_millis(100);

/// Assumed size of the KV cache per token, in place of the model's actual size.
const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Polling interval of an engine that is up.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polling interval of an engine that is down or still runs requests of a predecessor.
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Converts an endpoint's kind from the settings to the messages.
pub fn message_kind(kind: Kind) -> message::Kind {
    match kind {
        Kind::Prefill => message::Kind::Prefill,
        Kind::Decode => message::Kind::Decode,
        Kind::Plain => message::Kind::Plain,
    }
}

/// Supervises an endpoint's engine until the runtime ends.
///
/// First cancels the requests that the engine runs for a predecessor of this sidecar and
/// then opens the endpoint. Afterwards polls whether the engine is up and cancels
/// unclaimed requests. A plain service is only opened, because it has no engine interface.
pub async fn supervise<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, index: usize) {
    if shared.settings.endpoints[index].kind == Kind::Plain {
        shared.control.set_ready(index, true);
        return;
    }
    let Some(engine) = engine(&shared, index) else {
        return;
    };
    let mut ready = false;
    let mut last_unclaimed = Vec::new();
    loop {
        let up = match engine.list().await {
            // The engine is ready once a poll shows that no request is left.
            Ok(ids) if !ready => {
                cancel_all(&shared, &engine, &ids).await;
                ids.is_empty()
            }
            Ok(ids) => {
                last_unclaimed = cancel_unclaimed(&shared, &engine, &ids, &last_unclaimed).await;
                true
            }
            Err(_) => false,
        };
        if up != ready {
            ready = up;
            info!(shared.logger, "sidecar: engine readiness changed"; "endpoint" => index, "ready" => ready);
            shared.control.set_ready(index, ready);
        }
        let interval = if ready {
            POLL_INTERVAL
        } else {
            DOWN_POLL_INTERVAL
        };
        // After a connection error the engine is polled again without delay.
        let _ = tokio::time::timeout(interval, shared.poll_requests[index].notified()).await;
    }
}

/// Cancels requests that were unclaimed at this poll and at the last one, in case an
/// earlier cancellation was lost. Returns the requests that became unclaimed since.
async fn cancel_unclaimed<N: Net, C: Clock>(
    shared: &Shared<N, C>,
    engine: &Http<N>,
    ids: &[String],
    last_unclaimed: &[String],
) -> Vec<String> {
    let unclaimed = ids.iter().filter(|id| !shared.claims.is_claimed(id));
    let unclaimed = unclaimed.cloned().collect::<Vec<_>>();
    let (old, new): (Vec<_>, Vec<_>) = unclaimed
        .into_iter()
        .partition(|id| last_unclaimed.contains(id));
    cancel_all(shared, engine, &old).await;
    new
}

/// Cancels unclaimed requests; stops at the first error.
async fn cancel_all<N: Net, C: Clock>(shared: &Shared<N, C>, engine: &Http<N>, ids: &[String]) {
    for id in ids {
        warn!(shared.logger, "sidecar: unclaimed request cancelled"; "id" => id);
        shared.metrics.count("engine.unclaimed");
        if engine.cancel(id).await.is_err() {
            return;
        }
    }
}

/// Serves a prefill attempt. Cancels the request at the engine if the entry gives up the
/// attempt, or if the result is never transferred.
pub async fn prefill<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    prefill: message::Prefill,
    mut streams: Streams,
) {
    let call = &prefill.call;
    let demand = Demand {
        cost: prefill.fresh,
        time_to_first_token: predict_first_token(
            &shared,
            usize::from(call.endpoint),
            prefill.prompt,
        ),
        ..Demand::new(shared.clock.now())
    };
    let Some(permit) = admit(&shared, call, demand, &mut streams).await else {
        return;
    };
    let Some(engine) = engine(&shared, usize::from(call.endpoint)) else {
        return;
    };

    let job = job(&shared, call, "p", &prefill.path, &prefill.body);
    let _claim = shared.claims.claim(&job.id);
    let result = tokio::select! {
        biased;
        result = engine.prefill(&job) => result,
        _ = streams.sender.cancelled() => {
            cancel(&shared, &engine, &job.id).await;
            return;
        }
    };
    drop(permit);
    let ticket = match result {
        Ok(ticket) => ticket,
        Err(error) => {
            let failed = Down::Failed(record_failure(&shared, call, &error));
            if streams.sender.send(&failed).await.is_ok() {
                streams.sender.finish();
            }
            return cancel(&shared, &engine, &job.id).await;
        }
    };
    let lifetime = ticket.life.into();
    // If the entry is gone, the wait for the transfer ends below.
    let _ = streams.sender.send(&Down::Prefilled(ticket)).await;
    if !wait_transferred(lifetime, &mut streams).await {
        shared.metrics.count("prefill.abandoned");
        cancel(&shared, &engine, &job.id).await;
    }
}

/// Waits until the decode endpoint has the result of a prefill, or until the result is no
/// longer needed. Returns whether it was transferred.
async fn wait_transferred(lifetime: Duration, streams: &mut Streams) -> bool {
    match tokio::time::timeout(HOLD_TIMEOUT, streams.sender.cancelled()).await {
        Ok(End::Released) => true,
        Ok(End::Cancelled) | Err(_) => false,
        Ok(End::Broken) => {
            // A transfer may be in progress, so the result is kept for its lifetime.
            tokio::time::sleep(lifetime).await;
            false
        }
    }
}

/// Serves a decode attempt: reserves memory, then generates once the entry sends the
/// ticket of the KV cache.
pub async fn decode<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, hold: Hold, mut streams: Streams) {
    let index = usize::from(hold.call.endpoint);
    let demand = Demand {
        pages: page_count(&shared, index, hold.prompt.saturating_add(hold.output)),
        time_to_first_token: hold.ahead.into(),
        overcommit: overcommit_share(&shared, &hold.call),
        ..Demand::new(shared.clock.now())
    };
    let Some(permit) = admit(&shared, &hold.call, demand, &mut streams).await else {
        return;
    };
    let message = tokio::select! {
        biased;
        message = tokio::time::timeout(HOLD_TIMEOUT, streams.receiver.next::<Up>()) => message,
        _ = streams.sender.cancelled() => return,
        () = shared.control.wait_draining(DRAINING_HOLD_TIMEOUT) => {
            streams.refuse(Code::Draining, Duration::ZERO).await;
            return;
        }
    };
    let Ok(Ok(Some(Up::Decode(decode)))) = message else {
        shared.metrics.count("hold.unused");
        return;
    };

    let (request, attempt) = (hold.call.request, hold.call.attempt);
    let run = shared.registry.open(request, attempt);
    let reader = run.reader();
    tokio::spawn(generate(shared.clone(), hold, decode, run.clone(), permit));
    if relay_events(reader, attempt, 0, &mut streams).await == End::Cancelled {
        run.abandon();
    }
}

/// Serves a resumed stream from the position that the entry gives. Refuses it if the
/// answer is no longer kept.
pub async fn resume<N, C>(shared: &Shared<N, C>, resume: Resume, mut streams: Streams) {
    let Some(run) = shared.registry.find(resume.request, resume.attempt) else {
        streams.refuse(Code::ConnectionLost, Duration::ZERO).await;
        return;
    };
    shared.metrics.count("stream.resumed");
    let reader = run.reader();
    if relay_events(reader, resume.attempt, resume.position, &mut streams).await == End::Cancelled {
        run.abandon();
    }
}

/// Generates an answer into a run, until it ends or the run is abandoned.
async fn generate<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    hold: Hold,
    decode: message::Decode,
    run: Arc<Run>,
    permit: Permit,
) {
    let call = &hold.call;
    let _guard = shared.streams.enter();
    if let Some(engine) = engine(&shared, usize::from(call.endpoint)) {
        let job = job(&shared, call, "d", &decode.path, &decode.body);
        let _claim = shared.claims.claim(&job.id);
        let end = tokio::select! {
            biased;
            end = start(&permit, &engine, &job, &decode.ticket, &run) => Some(end),
            () = run.wait_abandoned(RESUME_GRACE_PERIOD) => None,
        };
        match end {
            Some(Ok(())) => {
                shared.control.record_success(call.digest);
                run.end(Ok(()));
            }
            Some(Err(error)) => {
                // The entry gets the failure first, because a stalled engine may take long
                // to cancel the request.
                run.end(Err(record_failure(&shared, call, &error)));
                cancel(&shared, &engine, &job.id).await;
            }
            None => {
                shared.metrics.count("decode.abandoned");
                cancel(&shared, &engine, &job.id).await;
            }
        }
    }
    drop(permit);
    run.wait_abandoned(RESUME_GRACE_PERIOD).await;
    shared.registry.close(call.request, call.attempt);
}

/// Share of the decode memory predicted to be free that a service's requests may be
/// granted in advance. The more the service weighs wasted prefill, the lower the share.
fn overcommit_share<N, C>(shared: &Shared<N, C>, call: &Call) -> f64 {
    let configuration = shared.configuration.borrow();
    let service = configuration.services.get(&call.service);
    service.map_or(0.0, |service| (1.0 - 2.0 * service.waste_weight).max(0.0))
}

/// Waits until the slot is actually free, then generates. Fails if the result of the
/// prefill expires first.
async fn start<E: Engine>(
    permit: &Permit,
    engine: &E,
    job: &Job,
    ticket: &message::Ticket,
    run: &Run,
) -> Result<(), Error> {
    let started = tokio::time::timeout(ticket.life.into(), permit.start()).await;
    started.map_err(|_| Error::Stalled)?;
    copy_events(engine, job, ticket, run).await
}

/// Starts the decode and copies the engine's events into a run.
async fn copy_events<E: Engine>(
    engine: &E,
    job: &Job,
    ticket: &message::Ticket,
    run: &Run,
) -> Result<(), Error> {
    let mut answer = engine.decode(job, ticket).await?;
    while let Some(event) = answer.next().await? {
        if !run.push(event) {
            return Err(Error::Broken("answer too long".into()));
        }
    }
    Ok(())
}

/// Sends the events of a run, starting at a position, until the run ends or the entry
/// leaves. Returns how the stream ended; a complete stream counts as released.
async fn relay_events(
    mut reader: watch::Receiver<Progress>,
    attempt: u32,
    from: u32,
    streams: &mut Streams,
) -> End {
    let mut position = from;
    loop {
        let (event, end) = {
            let progress = reader.borrow_and_update();
            let event = progress.events.get(position as usize).cloned();
            (event, progress.end.clone())
        };
        if let Some(data) = event {
            let token = Down::Token(Token {
                attempt,
                position,
                data,
            });
            if let Err(error) = streams.sender.send(&token).await {
                return streams.sender.end_reason(&error).await;
            }
            position += 1;
            continue;
        }
        if let Some(end) = end {
            let down = match end {
                Ok(()) => Down::Done(Done {
                    attempt,
                    count: position,
                }),
                Err(failure) => Down::Failed(failure),
            };
            if let Err(error) = streams.sender.send(&down).await {
                return streams.sender.end_reason(&error).await;
            }
            streams.sender.finish();
            return End::Released;
        }
        tokio::select! {
            biased;
            changed = reader.changed() => if changed.is_err() { return End::Broken },
            end = streams.sender.cancelled() => return end,
        }
    }
}

/// Predicted time from the end of a prefill to the first token: the transfer of the KV
/// cache and the first decode step.
fn predict_first_token<N, C>(shared: &Shared<N, C>, index: usize, tokens: u32) -> Duration {
    let Some(endpoint) = shared.settings.endpoints.get(index) else {
        return FIRST_DECODE_STEP;
    };
    let bytes = u64::from(tokens) * KV_BYTES_PER_TOKEN;
    FIRST_DECODE_STEP + Duration::from_secs_f64(bytes as f64 / endpoint.link.max(1) as f64)
}

/// Number of pages that `tokens` take at an endpoint.
fn page_count<N, C>(shared: &Shared<N, C>, index: usize, tokens: u32) -> u32 {
    let endpoint = shared.settings.endpoints.get(index);
    tokens.div_ceil(endpoint.map_or(1, |endpoint| endpoint.page_tokens))
}

/// Returns the engine of an endpoint, or `None` if there is no such endpoint or its
/// address does not parse.
fn engine<N: Net, C>(shared: &Shared<N, C>, index: usize) -> Option<Http<N>> {
    let endpoint = shared.settings.endpoints.get(index)?;
    let address = endpoint.address.parse().ok()?;
    let client = Client::new(shared.net.clone(), address);
    Some(Http::new(client.with_max_body_bytes(MAX_DOCUMENT_BYTES)))
}

/// Creates an attempt's job for its engine. `leg` is `p` for a prefill and `d` for a
/// decode.
fn job<N, C: Clock>(
    shared: &Shared<N, C>,
    call: &Call,
    leg: &str,
    path: &str,
    body: &cranberryridge_wire::blob::Blob,
) -> Job {
    let endpoint: &setting::Endpoint = &shared.settings.endpoints[usize::from(call.endpoint)];
    // The number makes the id unique, so a late cancellation cannot end another job of the
    // same attempt.
    let number = shared.next_job.fetch_add(1, Ordering::Relaxed);
    Job {
        id: format!("{}-{}-{leg}{number}", call.request, call.attempt),
        path: path.into(),
        body: body.clone(),
        model: endpoint.serves.clone(),
        priority: i64::try_from(call.due.0).unwrap_or(i64::MAX),
    }
}

/// Cancels a request at its engine. If all tries fail, [`cancel_unclaimed`] cancels the
/// request after its claim is dropped.
async fn cancel<N: Net, C: Clock>(shared: &Shared<N, C>, engine: &Http<N>, id: &str) {
    for _ in 0..5 {
        match engine.cancel(id).await {
            Ok(()) | Err(Error::Unreachable(_)) => return,
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    shared.metrics.count("engine.cancel_failed");
}

/// Records an engine's error and returns the failure for the entry. A broken connection
/// counts as a crash during the request.
fn record_failure<N, C: Clock>(shared: &Shared<N, C>, call: &Call, error: &Error) -> Failure {
    if matches!(error, Error::Broken(_)) {
        shared.control.record_crash(call.digest);
    }
    if matches!(error, Error::Broken(_) | Error::Unreachable(_)) {
        shared.poll_requests[usize::from(call.endpoint)].notify_one();
    }
    shared.metrics.count_refusal(error.code());
    Failure {
        code: error.code(),
        text: error.to_string().into(),
    }
}
