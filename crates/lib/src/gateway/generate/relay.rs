//! Relays a stream to the caller and resumes a broken one at another endpoint.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use tokio::time::timeout_at;

use cranberryridge_policy::answer::deadline::{Overrun, Pace};
use cranberryridge_policy::answer::survival::{Departure, Sighting};
use cranberryridge_policy::answer::{Conclusion, Disorder, Framing, Sequence};
use cranberryridge_policy::gateway::memory::Purpose;
use cranberryridge_policy::gateway::part::PROBATION;
use cranberryridge_policy::gateway::route::Engine;

use super::{
    find_unable, is_retry_allowed, join, next_chunk, Answer, Chunk, Progress, Reservation, Run,
};
use crate::body::Body;
use crate::clock::Clock;
use crate::events::Splitter;
use crate::gateway::dialect::Dialect;
use crate::gateway::serve::Call;
use crate::gateway::survival::Ending;
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
    progress.has_begun = true;
    loop {
        call.shared.held.add_spare(&call.input);
        let sequence = &mut progress.sequence;
        sequence.expect(run.numbering(&call));
        let outcome = copy_events(&mut call, &mut run, sequence, &mut splitter, &mut reply).await;
        let ids = [
            splitter.first_id(),
            splitter.first_id().and(progress.sequence.last_id()),
        ];
        let endpoint_id = &run.reservation.endpoint.id;
        call.record.add_run(endpoint_id, ids, outcome.name());
        match outcome {
            Outcome::Complete => {
                let key = run.reservation.key;
                call.shared.pool().record_stated_end(key);
                run.record_ids(&call, &progress.sequence);
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
            Outcome::Stopped => {
                drop(run);
                call.record
                    .set_outcome("stopped midway", call.record.status);
                return reply.abort().await;
            }
            Outcome::Overdue => {
                // No other run would end in time to tell what follows.
                call.shared.metrics.count("endpoint.stopped_at_deadline");
                call.record.add_call("stream", endpoint_id, outcome.name());
                drop(run);
                call.record.set_outcome("cut off", call.record.status);
                return reply.abort().await;
            }
            Outcome::Broken | Outcome::Unstated | Outcome::Forsaken => {}
        }
        let (shared, key) = (Arc::clone(&call.shared), run.reservation.key);
        let lost = LostRun {
            input: &call.input,
            key,
            endpoint: &run.reservation.endpoint,
            sent_at: run.sent_at,
            first_event_at: Some(run.first_event_at),
        };
        match outcome {
            Outcome::Unstated => {
                if progress.sequence.is_checking() {
                    let now = shared.clock.now();
                    shared.pool().record_useless_check(now, key);
                }
                shared.record_unstated_end(lost).await;
                progress.sequence.begin_check();
            }
            Outcome::Forsaken => {
                shared.record_forsaken_end(lost).await;
                progress.sequence.begin_check();
            }
            _ => {
                shared.record_lost_run(lost).await;
                progress.sequence.begin_run();
                if !progress.sequence.is_checking() {
                    call.record.end = None;
                }
            }
        }
        let id = shared.endpoint_id(key);
        let id = id.as_deref().unwrap_or("gone");
        call.record.add_call("stream", id, outcome.name());
        splitter.begin_run();
        progress.excluded.push(key);
        if call.record.event_count > 0 {
            let version = &run.reservation.endpoint.version;
            call.version.get_or_insert_with(|| version.clone());
        }
        // Closes the connection, which ends the run before another one starts.
        drop(run);
        let next_run = resume(&mut call, engine, &mut progress, &mut reply).await;
        let Some(next_run) = next_run else {
            call.record.set_outcome("cut off", call.record.status);
            return reply.abort().await;
        };
        let is_check = progress.sequence.is_checking();
        let counter = if is_check {
            "stream.end_checked"
        } else {
            "stream.joined"
        };
        call.shared.metrics.count(counter);
        run = next_run;
    }
}

/// Resumes a broken stream at another endpoint, or checks its end there. Returns `None` if
/// that is not allowed or fails, or if the caller disconnects.
async fn resume<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
    reply: &mut Reply,
) -> Option<Run<N, C, D>> {
    let unable = if progress.sequence.is_checking() {
        find_unable(call, progress)
    } else {
        Vec::new()
    };
    progress.excluded.extend(&unable);
    if !progress.sequence.is_resumable() || !is_retry_allowed(call, progress) {
        return None;
    }
    if !call.input.retain_body() {
        call.shared.metrics.count("stream.body_released");
        return None;
    }
    let (shared, deadline) = (Arc::clone(&call.shared), call.deadline);
    let run = tokio::select! {
        () = reply.closed() => None,
        run = shared.run_until(deadline, join::start(call, engine, progress)) => match run {
            Ok(Ok(Answer::Stream(run))) => Some(*run),
            _ => None,
        },
    };
    // If the check finds events and breaks, they may go on with the stream.
    progress.excluded.retain(|key| !unable.contains(key));
    run
}

/// Outcome of relaying one run's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The stream ended, and this is established.
    Complete,
    /// The endpoint's connection failed, was silent for too long, sent an event that does
    /// not belong into the stream, or ended before the stream was complete.
    Broken,
    /// The run ended between two events, and nobody has said that no event follows.
    Unstated,
    /// The run stated its end when its endpoint may have stopped at its deadline.
    Overdue,
    /// The run stated its end, and its endpoint has not outlived it.
    Forsaken,
    /// The caller disconnected.
    CallerGone,
    /// This host is about to exit.
    Stopped,
}

impl Outcome {
    /// Returns the name in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Broken => "broken",
            Self::Unstated => "unstated",
            Self::Overdue => "overdue",
            Self::Forsaken => "forsaken",
            Self::CallerGone => "caller gone",
            Self::Stopped => "stopped",
        }
    }
}

/// Copies complete events from a run to the caller.
async fn copy_events<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    run: &mut Run<N, C, D>,
    sequence: &mut Sequence,
    splitter: &mut Splitter,
    reply: &mut Reply,
) -> Outcome {
    // A silent run may be waiting for memory and continue later, so only the
    // caller's timeout ends it, or the route's if the caller stated none.
    let timeout = call.record.description.timeout;
    let idle_timeout = timeout.unwrap_or(call.route.timeout);
    let shared = Arc::clone(&call.shared);
    let mut exit = pin!(shared.wait_for_exit());
    let mut chunk = run.first_chunk.take();
    let mut partial = call.memory.begin(Purpose::Answer);
    let mut last_events_at = call.shared.clock.now();
    let mut pace = Pace::default();
    let mut overrun = Overrun::default();
    let mut sighting = Sighting::new(run.sent_at);
    // Until the first event, the request's deadline holds.
    let mut event_deadline = if call.record.event_count > 0 {
        last_events_at + idle_timeout
    } else {
        call.deadline
    };
    loop {
        if let Some(bytes) = chunk {
            splitter.push(&bytes);
            let batch = splitter.take_events(sequence);
            let now = call.shared.clock.now();
            if run.is_on_probation && now >= run.first_event_at + PROBATION {
                run.is_on_probation = false;
                call.shared.record_proof(&call.input, run.sent_at);
            }
            let disorder = batch.as_ref().and_then(|batch| batch.disorder);
            if let Some(batch) = batch.filter(|batch| !batch.bytes.is_empty()) {
                let gap = now.saturating_duration_since(last_events_at);
                last_events_at = now;
                pace.record(now, batch.event_count);
                if call.record.event_count > 0 {
                    call.record.record_gap(gap);
                    run.reservation
                        .record_event_interval(gap / batch.event_count.max(1));
                }
                // Comments may come from an attempt that is followed by one at another version.
                if call.record.event_count == 0 && batch.event_count > 0 {
                    call.record_begin(&run.reservation.endpoint.version);
                }
                call.record.event_count += batch.event_count;
                let (events, is_within) = call.memory.count(batch.bytes);
                if reply.send_piece(events).await.is_err() {
                    return Outcome::CallerGone;
                }
                if !is_within && reply.flush().await.is_err() {
                    return Outcome::CallerGone;
                }
                // The caller may have taken the piece late.
                if batch.has_field {
                    event_deadline = call.shared.clock.now() + idle_timeout;
                }
            }
            if let Some(disorder) = disorder {
                call.shared.metrics.count("endpoint.disorder");
                if disorder == Disorder::Gap {
                    run.record_gap(call);
                }
                slog::info!(call.shared.logger, "stream: run out of order";
                    "request" => %call.input.attempt_id,
                    "endpoint" => %run.reservation.endpoint.id, "error" => %disorder);
                return Outcome::Broken;
            }
            // Bytes that are no event may come so fast that the timeout below is never
            // polled.
            if splitter.is_overlong() || now >= event_deadline {
                call.record.partial_bytes = splitter.partial_bytes();
                call.shared.metrics.count("endpoint.endless_event");
                return Outcome::Broken;
            }
            if !partial.fit(splitter.partial_bytes()) {
                call.record.partial_bytes = splitter.partial_bytes();
                call.report_no_memory("stream.no_memory");
                return Outcome::Broken;
            }
        }
        let Reservation { key, endpoint, .. } = &run.reservation;
        shared.follow_departure(*key, endpoint);
        let waiting_since = shared.clock.moment();
        let next = tokio::select! {
            biased;
            next = timeout_at(event_deadline.into(), next_chunk(&mut run.body)) => next,
            () = reply.closed() => return Outcome::CallerGone,
            () = exit.as_mut() => return Outcome::Stopped,
        };
        let waited = [waiting_since, shared.clock.moment()];
        sighting.record(waited.map(|moment| moment.now));
        if !matches!(next, Ok(Chunk::Data(_))) {
            call.record.partial_bytes = splitter.partial_bytes();
        }
        match next {
            Ok(Chunk::Data(bytes)) => {
                overrun.record(run.timing.deadline, waited);
                chunk = Some(bytes);
            }
            Ok(Chunk::End) => {
                let endpoint = &run.reservation.endpoint;
                let departure = shared.departure(endpoint, sighting.at());
                let departure = departure.map_or("unsaid", Departure::name);
                call.record.departure = shared.is_leaving(endpoint).then_some(departure);
                let end = sequence.conclude(run.timing.framing, splitter.is_inside_event());
                let event_time = pace.event_time(call.route.max_event_gap);
                let is_overdue = run.timing.is_overdue(shared.clock.moment(), event_time);
                let mut end = if is_overdue && !overrun.is_evident() {
                    end.at_deadline()
                } else {
                    end
                };
                if matches!(end, Conclusion::Complete(_)) {
                    run.reservation.complete();
                    if run.timing.framing == Framing::Chunks {
                        let ending = Ending {
                            key: run.reservation.key,
                            endpoint: &run.reservation.endpoint,
                            connection: &run.connection,
                            wait_until: call.end_deadline(),
                            served_at: sighting.at(),
                            event_time,
                        };
                        // A caller that has disconnected after the last event needs no end, but
                        // what the run tells of its endpoint counts.
                        let watch = tokio::select! {
                            biased;
                            watch = shared.watch_end(ending) => watch,
                            () = exit.as_mut() => return Outcome::Stopped,
                        };
                        call.record.sign = watch.last_sign();
                        end = end.after(watch);
                    }
                }
                call.record.end = end.proof().or(call.record.end);
                match end {
                    Conclusion::Complete(_) => {}
                    Conclusion::Forsaken => return Outcome::Forsaken,
                    Conclusion::Unstated => return Outcome::Unstated,
                    Conclusion::Overdue => return Outcome::Overdue,
                    Conclusion::Broken => {
                        shared.metrics.count("endpoint.answer_cut");
                        return Outcome::Broken;
                    }
                }
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
