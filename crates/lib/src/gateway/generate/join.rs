//! Starts runs that go on where the caller's stream ends.

use bytes::BytesMut;

use cranberryridge_policy::answer::survival::Sign;
use cranberryridge_policy::answer::{Disorder, Sequence};
use cranberryridge_policy::gateway::memory::Purpose;
use cranberryridge_policy::gateway::route::{Engine, Kind};
use cranberryridge_wire::code::Code;

use super::{is_retry_allowed, next_chunk, retry_after_loss, start_run, MAX_PERMIT_WAIT};
use super::{Answer, Chunk, Progress, Reservation, Run};
use crate::clock::Clock;
use crate::events::{append, Splitter};
use crate::gateway::dialect::Dialect;
use crate::gateway::refusal::Refusal;
use crate::gateway::serve::Call;
use crate::gateway::suspects::LostRun;
use crate::net::Net;

/// Sends the request to endpoints until one starts a stream that goes on where the caller's
/// ends, or returns an error response to a caller that has no answer yet.
///
/// # Errors
///
/// Returns the reason if no endpoint does.
pub(super) async fn start<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
) -> Result<Answer<N, C, D>, Refusal> {
    loop {
        let answer = start_run(call, engine, progress).await?;
        let mut run = match answer {
            Answer::Stream(run) => run,
            Answer::Failure(..) if progress.has_begun => {
                let key = progress.current.ok_or(Refusal::new(Code::EndpointLost))?;
                retry_after_loss(call, progress, key)?;
                continue;
            }
            Answer::Failure(..) => return Ok(answer),
        };
        progress.current = Some(run.reservation.key);
        let is_continuation = progress.has_begun || progress.sequence.last_id().is_some();
        progress.sequence.expect(run.numbering(call));
        let fit = if is_continuation && !goes_on(call, &mut run, &progress.sequence).await {
            Fit::Misfit
        } else if is_at_unlisted_start(call, &run, is_continuation).await {
            Fit::OtherStart
        } else {
            Fit::Sound
        };
        progress.current = None;
        if fit == Fit::Sound {
            // An answer keeps the head of its first run.
            if let Some(head) = progress.empty_head.take().filter(|_| !progress.has_begun) {
                call.shared.metrics.count("stream.end_checked");
                run.head = head;
            }
            return Ok(Answer::Stream(run));
        }
        abandon(call, progress, *run, fit).await?;
    }
}

/// Whether a run may make up the caller's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fit {
    Sound,
    /// It does not go on where the stream ends.
    Misfit,
    /// It is at a start of its endpoint that is not listed, perhaps of another software version.
    OtherStart,
}

/// Returns whether a run is at a start of its endpoint that is not listed, as the endpoint has
/// started again under its id. A run that begins a stream matters only if the stream may go on
/// elsewhere, and a host whose list is fresh need not ask.
async fn is_at_unlisted_start<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    run: &Run<N, C, D>,
    is_continuation: bool,
) -> bool {
    let may_go_on = call.route.kind == Kind::ResumableStream;
    if !is_continuation && (!may_go_on || call.shared.has_fresh_list()) {
        return false;
    }
    let Reservation { key, endpoint, .. } = &run.reservation;
    let permit = call.ensure_permit(*key, None, MAX_PERMIT_WAIT).await;
    if permit.is_err() {
        // The start cannot be asked for, and another version must not go on with a stream.
        return is_continuation;
    }
    call.shared.look(*key, endpoint).await == Sign::Restarted
}

/// Gives up a run that must not make up the stream. One that does not go on with it counts as lost.
///
/// # Errors
///
/// Returns [`Code::EndpointLost`] if the request may not run again.
async fn abandon<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    progress: &mut Progress,
    run: Run<N, C, D>,
    fit: Fit,
) -> Result<(), Refusal> {
    // Closes the connection, which ends the run before another one starts.
    drop((run.body, run.connection));
    let (key, endpoint) = (run.reservation.key, &run.reservation.endpoint);
    call.shared.metrics.count("stream.not_joined");
    if fit == Fit::OtherStart {
        call.record.add_call("stream", &endpoint.id, "other start");
    } else {
        call.record.add_call("stream", &endpoint.id, "not joined");
        let lost = LostRun {
            input: &call.input,
            key,
            endpoint,
            sent_at: run.sent_at,
            first_event_at: Some(run.first_event_at),
        };
        call.shared.record_lost_run(lost).await;
    }
    progress.excluded.push(key);
    if is_retry_allowed(call, progress) {
        return Ok(());
    }
    Err(Refusal::new(Code::EndpointLost))
}

/// Waits for the first event of a run, and returns whether it follows the stream's last one, or
/// repeats it if the run checks an end.
async fn goes_on<N: Net, C: Clock, D: Dialect>(
    call: &Call<N, C, D>,
    run: &mut Run<N, C, D>,
    sequence: &Sequence,
) -> bool {
    // The relay admits the event when it passes it on.
    let mut sequence = sequence.clone();
    let mut splitter = Splitter::default();
    let mut opening = BytesMut::new();
    let mut memory = call.memory.begin(Purpose::Answer);
    let mut chunk = run.first_chunk.take();
    loop {
        if let Some(bytes) = chunk {
            // The splitter has the same bytes once more.
            if !memory.fit(2 * (opening.len() + bytes.len())) {
                call.report_no_memory("stream.no_memory");
                return false;
            }
            append(&mut opening, &bytes);
            splitter.push(&bytes);
            match splitter.take_events(&mut sequence) {
                Some(_) if !sequence.is_unproven() => {
                    run.first_chunk = Some(opening.freeze());
                    return true;
                }
                Some(batch) if batch.disorder.is_some() => {
                    if batch.disorder == Some(Disorder::Gap) {
                        run.record_gap(call);
                    }
                    return false;
                }
                // What is no event is not passed on.
                Some(_) => opening = opening.split_off(opening.len() - splitter.partial_bytes()),
                None => {}
            }
            // Bytes that are no event may come so fast that a timeout is never polled.
            if splitter.is_overlong() || call.remaining_time().is_zero() {
                return false;
            }
        }
        match next_chunk(&mut run.body).await {
            Chunk::Data(bytes) => chunk = Some(bytes),
            Chunk::End | Chunk::Broken => return false,
        }
    }
}
