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
use super::engine::{Answer, Engine, Error, Http, Work};
use super::registry::{Progress, Run};
use super::{Shared, RESUME};
use crate::client::Client;
use crate::clock::Clock;
use crate::net::Net;
use crate::stream::End;

/// Longest time that granted memory waits for its decode.
const HOLD: Duration = Duration::from_secs(30);

/// How long granted memory may still wait for its decode once the sidecar
/// drains: whatever comes later would be new work for an engine that leaves.
const LEAVE: Duration = Duration::from_secs(2);
/// Predicted time of a decode's first step.
const FIRST_STEP: Duration = Duration::from_millis(100);

/// Size of the KV cache, in bytes a token, where a model does not say.
const TOKEN_BYTES: u64 = 131_072;

/// Time between looks at an engine.
const LOOK: Duration = Duration::from_secs(1);

/// Time between looks at an engine that is down or not cleared yet.
const CLOSED_LOOK: Duration = Duration::from_millis(200);

/// The wire's word for a kind of endpoint.
pub fn kind(kind: Kind) -> message::Kind {
    match kind {
        Kind::Prefill => message::Kind::Prefill,
        Kind::Decode => message::Kind::Decode,
        Kind::Plain => message::Kind::Plain,
    }
}

/// Cancels what an engine runs for a predecessor, then opens the endpoint,
/// watches whether the engine is up, and cancels what nobody claims.
pub async fn adopt<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, index: usize) {
    if shared.settings.endpoints[index].kind == Kind::Plain {
        shared.control.ready(index, true);
        return;
    }
    let Some(engine) = engine(&shared, index) else {
        return;
    };
    let mut ready = false;
    let mut strays = Vec::new();
    loop {
        let up = match engine.list().await {
            // Ready once a look has shown that all of them are gone.
            Ok(ids) if !ready => {
                clear(&shared, &engine, &ids).await;
                ids.is_empty()
            }
            Ok(ids) => {
                strays = sweep(&shared, &engine, &ids, &strays).await;
                true
            }
            Err(_) => false,
        };
        if up != ready {
            ready = up;
            info!(shared.logger, "sidecar: engine"; "endpoint" => index, "ready" => ready);
            shared.control.ready(index, ready);
        }
        let pause = if ready { LOOK } else { CLOSED_LOOK };
        // An engine that broke off is looked at once more at once.
        let _ = tokio::time::timeout(pause, shared.looks[index].notified()).await;
    }
}

/// Cancels requests that nobody claimed at this look and the last one: a
/// cancellation that was lost ends here. Returns those that nobody claims.
async fn sweep<N: Net, C: Clock>(
    shared: &Shared<N, C>,
    engine: &Http<N>,
    ids: &[String],
    strays: &[String],
) -> Vec<String> {
    let unclaimed = ids.iter().filter(|id| !shared.claims.holds(id));
    let unclaimed = unclaimed.cloned().collect::<Vec<_>>();
    let (old, new): (Vec<_>, Vec<_>) = unclaimed.into_iter().partition(|id| strays.contains(id));
    clear(shared, engine, &old).await;
    new
}

/// Cancels requests that nobody claims.
async fn clear<N: Net, C: Clock>(shared: &Shared<N, C>, engine: &Http<N>, ids: &[String]) {
    for id in ids {
        warn!(shared.logger, "sidecar: unclaimed request cancelled"; "id" => id);
        shared.metrics.count("engine.unclaimed");
        if engine.cancel(id).await.is_err() {
            return;
        }
    }
}

/// Serves a prefill attempt.
pub async fn prefill<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    prefill: message::Prefill,
    mut streams: Streams,
) {
    let call = &prefill.call;
    let needs = Demand {
        cost: prefill.fresh,
        time_to_first_token: transfer(&shared, usize::from(call.endpoint), prefill.prompt),
        ..Demand::new(shared.clock.now())
    };
    let Some(permit) = admit(&shared, call, needs, &mut streams).await else {
        return;
    };
    let Some(engine) = engine(&shared, usize::from(call.endpoint)) else {
        return;
    };

    let work = work(&shared, call, "p", &prefill.path, &prefill.body);
    let _claim = shared.claims.enter(&work.id);
    let result = tokio::select! {
        biased;
        result = engine.prefill(&work) => result,
        _ = streams.sender.cancelled() => {
            cancel(&shared, &engine, &work.id).await;
            return;
        }
    };
    drop(permit);
    let ticket = match result {
        Ok(ticket) => ticket,
        Err(error) => {
            let failed = Down::Failed(failure(&shared, call, &error));
            if streams.sender.send(&failed).await.is_ok() {
                streams.sender.finish();
            }
            return cancel(&shared, &engine, &work.id).await;
        }
    };
    let life = ticket.life.into();
    // An entry that does not get the result is seen below.
    let _ = streams.sender.send(&Down::Prefilled(ticket)).await;
    if !taken(life, &mut streams).await {
        shared.metrics.count("prefill.abandoned");
        cancel(&shared, &engine, &work.id).await;
    }
}

/// Waits until a prefill's result was taken over, or is of no more use.
/// Returns whether it was taken over.
async fn taken(life: Duration, streams: &mut Streams) -> bool {
    match tokio::time::timeout(HOLD, streams.sender.cancelled()).await {
        Ok(End::Released) => true,
        Ok(End::Cancelled) | Err(_) => false,
        Ok(End::Broken) => {
            // A transfer may be under way, so the result lives out its time.
            tokio::time::sleep(life).await;
            false
        }
    }
}

/// Serves a decode attempt: holds memory, then generates once the entry says
/// where the KV cache is.
pub async fn decode<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, hold: Hold, mut streams: Streams) {
    let index = usize::from(hold.call.endpoint);
    let needs = Demand {
        pages: pages(&shared, index, hold.prompt.saturating_add(hold.output)),
        time_to_first_token: hold.ahead.into(),
        overcommit: trust(&shared, &hold.call),
        ..Demand::new(shared.clock.now())
    };
    let Some(permit) = admit(&shared, &hold.call, needs, &mut streams).await else {
        return;
    };
    let order = tokio::select! {
        biased;
        order = tokio::time::timeout(HOLD, streams.receiver.next::<Up>()) => order,
        _ = streams.sender.cancelled() => return,
        () = shared.control.left(LEAVE) => {
            streams.refuse(Code::Draining, Duration::ZERO).await;
            return;
        }
    };
    let Ok(Ok(Some(Up::Decode(order)))) = order else {
        shared.metrics.count("hold.unused");
        return;
    };

    let (request, attempt) = (hold.call.request, hold.call.attempt);
    let run = shared.registry.open(request, attempt);
    let reader = run.reader();
    tokio::spawn(generate(shared.clone(), hold, order, run.clone(), permit));
    if relay(reader, attempt, 0, &mut streams).await == End::Cancelled {
        run.give_up();
    }
}

/// Serves a resumed stream.
pub async fn resume<N, C>(shared: &Shared<N, C>, resume: Resume, mut streams: Streams) {
    let Some(run) = shared.registry.find(resume.request, resume.attempt) else {
        streams.refuse(Code::ConnectionLost, Duration::ZERO).await;
        return;
    };
    shared.metrics.count("stream.resumed");
    let reader = run.reader();
    if relay(reader, resume.attempt, resume.position, &mut streams).await == End::Cancelled {
        run.give_up();
    }
}

/// Generates an answer into a run, until its end or until nobody reads it.
async fn generate<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    hold: Hold,
    order: message::Decode,
    run: Arc<Run>,
    permit: Permit,
) {
    let call = &hold.call;
    let _guard = shared.streams.enter();
    if let Some(engine) = engine(&shared, usize::from(call.endpoint)) {
        let work = work(&shared, call, "d", &order.path, &order.body);
        let _claim = shared.claims.enter(&work.id);
        let end = tokio::select! {
            biased;
            end = begin(&permit, &engine, &work, &order.ticket, &run) => Some(end),
            () = run.abandoned(RESUME) => None,
        };
        match end {
            Some(Ok(())) => {
                shared.control.finished(call.digest);
                run.end(Ok(()));
            }
            Some(Err(error)) => {
                // The entry hears of it first: an engine that stalls may
                // take its time with the cancellation.
                run.end(Err(failure(&shared, call, &error)));
                cancel(&shared, &engine, &work.id).await;
            }
            None => {
                shared.metrics.count("decode.abandoned");
                cancel(&shared, &engine, &work.id).await;
            }
        }
    }
    drop(permit);
    run.abandoned(RESUME).await;
    shared.registry.close(call.request, call.attempt);
}

/// How far a service lets decode memory be lent to one whose KV cache arrives
/// before it should be free: the less, the more wasted prefill weighs.
fn trust<N, C>(shared: &Shared<N, C>, call: &Call) -> f64 {
    let configuration = shared.configuration.borrow();
    let service = configuration.services.get(&call.service);
    service.map_or(0.0, |service| (1.0 - 2.0 * service.waste_weight).max(0.0))
}

/// Waits for the place to be free in truth, while the result lives, then
/// generates.
async fn begin<E: Engine>(
    permit: &Permit,
    engine: &E,
    work: &Work,
    ticket: &message::Ticket,
    run: &Run,
) -> Result<(), Error> {
    let begun = tokio::time::timeout(ticket.life.into(), permit.begin()).await;
    begun.map_err(|_| Error::Stalled)?;
    pump(engine, work, ticket, run).await
}

/// Moves an engine's events into a run.
async fn pump<E: Engine>(
    engine: &E,
    work: &Work,
    ticket: &message::Ticket,
    run: &Run,
) -> Result<(), Error> {
    let mut answer = engine.decode(work, ticket).await?;
    while let Some(event) = answer.next().await? {
        run.push(event);
    }
    Ok(())
}

/// Sends a run's events from a position on. Returns how the entry left; a
/// stream served to its end counts as released.
async fn relay(
    mut reader: watch::Receiver<Progress>,
    attempt: u32,
    from: u32,
    streams: &mut Streams,
) -> End {
    let mut position = from;
    loop {
        let (events, end) = {
            let progress = reader.borrow_and_update();
            let events = progress.events.iter().skip(position as usize).cloned();
            (events.collect::<Vec<_>>(), progress.end.clone())
        };
        for data in events {
            let token = Down::Token(Token {
                attempt,
                position,
                data,
            });
            if let Err(error) = streams.sender.send(&token).await {
                return streams.sender.why(&error).await;
            }
            position += 1;
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
                return streams.sender.why(&error).await;
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

/// Predicted time from the end of a prefill to the first token.
fn transfer<N, C>(shared: &Shared<N, C>, index: usize, tokens: u32) -> Duration {
    let Some(endpoint) = shared.settings.endpoints.get(index) else {
        return FIRST_STEP;
    };
    let bytes = u64::from(tokens) * TOKEN_BYTES;
    FIRST_STEP + Duration::from_secs_f64(bytes as f64 / endpoint.link.max(1) as f64)
}

/// Pages that a number of tokens needs at an endpoint.
fn pages<N, C>(shared: &Shared<N, C>, index: usize, tokens: u32) -> u32 {
    let endpoint = shared.settings.endpoints.get(index);
    tokens.div_ceil(endpoint.map_or(1, |endpoint| endpoint.page_tokens))
}

/// The engine of an endpoint.
fn engine<N: Net, C>(shared: &Shared<N, C>, index: usize) -> Option<Http<N>> {
    let endpoint = shared.settings.endpoints.get(index)?;
    let address = endpoint.address.parse().ok()?;
    Some(Http::new(Client::new(shared.net.clone(), address)))
}

/// An attempt as the engine needs it.
fn work<N, C: Clock>(
    shared: &Shared<N, C>,
    call: &Call,
    leg: &str,
    path: &str,
    body: &cranberryridge_wire::blob::Blob,
) -> Work {
    let endpoint: &setting::Endpoint = &shared.settings.endpoints[usize::from(call.endpoint)];
    // A number of its own keeps a late cancellation from ending another try.
    let number = shared.works.fetch_add(1, Ordering::Relaxed);
    Work {
        id: format!("{}-{}-{leg}{number}", call.request, call.attempt),
        path: path.into(),
        body: body.clone(),
        model: endpoint.serves.clone(),
        priority: i64::try_from(call.due.0).unwrap_or(i64::MAX),
    }
}

/// Ends a request at its engine. One that cannot be told now is swept up once
/// its claim is gone.
async fn cancel<N: Net, C: Clock>(shared: &Shared<N, C>, engine: &Http<N>, id: &str) {
    for _ in 0..5 {
        match engine.cancel(id).await {
            Ok(()) | Err(Error::Unreachable(_)) => return,
            Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
        }
    }
    shared.metrics.count("engine.cancel_failed");
}

/// The failure that an entry gets for an engine's error.
fn failure<N, C: Clock>(shared: &Shared<N, C>, call: &Call, error: &Error) -> Failure {
    if matches!(error, Error::Broken(_)) {
        shared.control.crashed(call.digest);
    }
    if matches!(error, Error::Broken(_) | Error::Unreachable(_)) {
        shared.looks[usize::from(call.endpoint)].notify_one();
    }
    shared.metrics.count_refusal(error.code());
    Failure {
        code: error.code(),
        text: error.to_string().into(),
    }
}
