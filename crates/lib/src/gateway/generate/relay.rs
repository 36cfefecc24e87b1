//! Relays a stream to the caller and resumes a broken one at another endpoint.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::Response;
use tokio::time::timeout_at;

use cranberryridge_policy::gateway::part::PROBATION;
use cranberryridge_policy::gateway::route::Engine;

use super::{is_retry_allowed, next_chunk, start_run, Answer, Chunk, Progress, Run};
use crate::body::Body;
use crate::clock::Clock;
use crate::events::Splitter;
use crate::gateway::dialect::Dialect;
use crate::gateway::serve::Call;
use crate::gateway::suspects::LostRun;
use crate::net::Net;
use crate::reply::Reply;

/// Relays a stream in a separate task and returns the response head.
pub(super) async fn start<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
    progress: Progress,
    mut run: Run<N, C, D>,
) -> Response<Body> {
    let (mut reply, head) = Reply::new();
    let mut builder = Response::builder().status(run.head.status);
    call.shared.dialect.strip_headers(&mut run.head.headers);
    if let Some(headers) = builder.headers_mut() {
        *headers = std::mem::take(&mut run.head.headers);
    }
    call.record.status = run.head.status.as_u16();
    call.record.mark_answer_started();
    if call.record.description.is_resumption {
        call.shared.metrics.count("stream.gone_on");
    }
    reply.begin(builder);
    tokio::spawn(relay(call, engine, progress, run, reply));
    // `reply.begin` has already sent the head.
    head.await
        .unwrap_or_else(|_| Response::new(Body::full(Bytes::new())))
}

/// Relays events until the stream ends, the caller disconnects, or no endpoint
/// can resume the stream.
async fn relay<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
    mut progress: Progress,
    mut run: Run<N, C, D>,
    mut reply: Reply,
) {
    let mut splitter = Splitter::default();
    loop {
        call.shared.held.add_spare(&call.input);
        let outcome = copy_events(&mut call, &mut run, &mut splitter, &mut reply).await;
        let outcome = confirm_end(&call, &run, outcome).await;
        let ids = [
            splitter.first_id(),
            splitter.first_id().and(splitter.last_id()),
        ];
        let endpoint_id = &run.reservation.endpoint.id;
        call.record.add_run(endpoint_id, ids, outcome.name());
        match outcome {
            Outcome::Complete => {
                run.reservation.record_completion();
                let sent_at = run.sent_at;
                drop(run);
                call.shared.record_success(&call.input, sent_at);
                call.forget_origin();
                // A caller that has disconnected after the last event needs no end.
                let _ = reply.finish().await;
                return call.record.set_outcome("streamed", call.record.status);
            }
            Outcome::CallerGone => {
                return call.record.set_outcome("caller gone", call.record.status)
            }
            Outcome::Broken => {}
        }
        let (shared, key) = (Arc::clone(&call.shared), run.reservation.key);
        let lost = LostRun {
            input: &call.input,
            key,
            endpoint: &run.reservation.endpoint,
            sent_at: run.sent_at,
            first_event_at: Some(run.first_event_at),
        };
        shared.record_lost_run(lost).await;
        let id = shared.endpoint_id(key);
        call.record
            .add_call("stream", id.as_deref().unwrap_or("gone"), "broken");
        splitter.begin_run();
        progress.excluded.push(key);
        progress.last_event_id = splitter.last_id().map(CompactString::from);
        if call.record.event_count > 0 {
            let version = &run.reservation.endpoint.version;
            call.version.get_or_insert_with(|| version.clone());
        }
        // Closes the connection, which ends the broken run before another one
        // starts.
        drop(run);
        let next_run = resume(&mut call, engine, &mut progress, &mut reply).await;
        let Some(next_run) = next_run else {
            call.record.set_outcome("cut off", call.record.status);
            return reply.abort().await;
        };
        call.shared.metrics.count("stream.joined");
        run = next_run;
    }
}

/// Returns [`Outcome::Broken`] for a complete stream if only its connection marked the end and
/// its endpoint is gone.
async fn confirm_end<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    run: &Run<N, C, D>,
    outcome: Outcome,
) -> Outcome {
    let Some(framing) = call.record.framing.filter(|_| outcome == Outcome::Complete) else {
        return outcome;
    };
    let endpoint = &run.reservation.endpoint;
    let end = call.shared.observe_end(framing, endpoint).await;
    if end.completes_stream(true, false) {
        return outcome;
    }
    Outcome::Broken
}

/// Resumes a broken stream at another endpoint. Returns `None` if that is not
/// allowed or fails, or if the caller disconnects.
async fn resume<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
    reply: &mut Reply,
) -> Option<Run<N, C, D>> {
    if !is_retry_allowed(call, progress) {
        return None;
    }
    if !call.input.retain_body() {
        call.shared.metrics.count("stream.body_released");
        return None;
    }
    let deadline = tokio::time::Instant::from_std(call.deadline);
    tokio::select! {
        () = reply.closed() => None,
        run = timeout_at(deadline, start_run(call, engine, progress)) => match run {
            Ok(Ok(Answer::Stream(run))) => Some(*run),
            _ => None,
        },
    }
}

/// Outcome of relaying one run's stream.
#[derive(PartialEq, Eq)]
enum Outcome {
    /// The stream ended normally.
    Complete,
    /// The endpoint's connection failed, was silent for too long, or ended inside
    /// an event.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

impl Outcome {
    /// Returns the name in logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Broken => "broken",
            Self::CallerGone => "caller gone",
        }
    }
}

/// Copies complete events from a run to the caller.
async fn copy_events<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    run: &mut Run<N, C, D>,
    splitter: &mut Splitter,
    reply: &mut Reply,
) -> Outcome {
    // A silent run may be waiting for memory and continue later, so only the
    // caller's timeout ends it, or the route's if the caller stated none.
    let timeout = call.record.description.timeout;
    let idle_timeout = timeout.unwrap_or(call.route.timeout);
    let mut chunk = run.first_chunk.take();
    let mut last_events_at = call.shared.clock.now();
    // Until the first event, the request's deadline holds.
    let mut event_deadline = if call.record.event_count > 0 {
        last_events_at + idle_timeout
    } else {
        call.deadline
    };
    loop {
        if let Some(bytes) = chunk {
            splitter.push(&bytes);
            let events = splitter.take_events();
            let now = call.shared.clock.now();
            if run.is_on_probation && now >= run.first_event_at + PROBATION {
                run.is_on_probation = false;
                call.shared.record_proof(&call.input, run.sent_at);
            }
            if let Some(events) = events {
                let gap = now.saturating_duration_since(last_events_at);
                last_events_at = now;
                if call.record.event_count > 0 {
                    call.record.record_gap(gap);
                    run.reservation
                        .record_event_interval(gap / splitter.taken_count().max(1));
                }
                call.record.event_count += splitter.taken_count();
                let (events, is_within) = call.shared.held.count(events);
                if reply.send_piece(events).await.is_err() {
                    return Outcome::CallerGone;
                }
                if !is_within && reply.flush().await.is_err() {
                    return Outcome::CallerGone;
                }
                // The caller may have taken the piece late.
                if splitter.has_taken_field() {
                    event_deadline = call.shared.clock.now() + idle_timeout;
                }
            }
            // Bytes that are no event may come so fast that the timeout below is never
            // polled.
            if splitter.is_overlong() || now >= event_deadline {
                call.record.partial_bytes = splitter.partial_bytes();
                call.shared.metrics.count("endpoint.endless_event");
                return Outcome::Broken;
            }
        }
        let next = tokio::select! {
            biased;
            next = timeout_at(event_deadline.into(), next_chunk(&mut run.body)) => next,
            () = reply.closed() => return Outcome::CallerGone,
        };
        if !matches!(next, Ok(Chunk::Data(_))) {
            call.record.partial_bytes = splitter.partial_bytes();
        }
        match next {
            Ok(Chunk::Data(bytes)) => chunk = Some(bytes),
            // Without a length or chunks, a crash ends the body like its last event.
            Ok(Chunk::End) if splitter.is_inside_event() => {
                call.shared.metrics.count("endpoint.answer_cut");
                return Outcome::Broken;
            }
            Ok(Chunk::End) => {
                let rest = splitter.take_rest();
                if !rest.is_empty() && reply.send_piece(rest).await.is_err() {
                    return Outcome::CallerGone;
                }
                return Outcome::Complete;
            }
            Ok(Chunk::Broken) | Err(_) => return Outcome::Broken,
        }
    }
}
