//! Passes a stream on, and has another endpoint go on with one that breaks.

use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http::Response;
use tokio::time::timeout_at;

use cranberryridge_policy::gateway::pool::Failure;
use cranberryridge_policy::gateway::route::Engine;

use super::{begin, may_go_on, next, Answer, Begun, Next, Progress};
use crate::body::Body;
use crate::clock::Clock;
use crate::gateway::dialect::Dialect;
use crate::gateway::events::Splitter;
use crate::gateway::serve::Call;
use crate::net::Net;
use crate::reply::Reply;

/// Passes a stream on in a task of its own, and returns its head.
pub(super) async fn start<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
    progress: Progress,
    mut begun: Begun<N, C, D>,
) -> Response<Body> {
    let (mut reply, head) = Reply::new();
    let mut builder = Response::builder().status(begun.head.status);
    call.shared.dialect.clean(&mut begun.head.headers);
    if let Some(headers) = builder.headers_mut() {
        *headers = std::mem::take(&mut begun.head.headers);
    }
    call.record.status = begun.head.status.as_u16();
    call.record.begin();
    reply.begin(builder);
    tokio::spawn(pass(call, engine, progress, begun, reply));
    // The head was sent above.
    head.await
        .unwrap_or_else(|_| Response::new(Body::full(Bytes::new())))
}

/// Passes events on until the stream ends, the caller leaves, or nobody can go
/// on with it.
async fn pass<N: Net, C: Clock, D: Dialect>(
    mut call: Call<N, C, D>,
    engine: Engine,
    mut progress: Progress,
    mut begun: Begun<N, C, D>,
    mut reply: Reply,
) {
    let mut splitter = Splitter::default();
    loop {
        let ended = copy(&mut call, &mut begun, &mut splitter, &mut reply).await;
        match ended {
            Ended::Whole => {
                begun.room.ended();
                return call.record.end("streamed", call.record.status);
            }
            Ended::Gone => return call.record.end("caller gone", call.record.status),
            Ended::Broken => {}
        }
        let (shared, key) = (Arc::clone(&call.shared), begun.room.key);
        shared.trouble(shared.clock.now(), key, Failure::Broken);
        let id = shared.endpoint(key).map(|endpoint| endpoint.id);
        call.record
            .call("stream", id.as_deref().unwrap_or("gone"), "broken");
        splitter.discard();
        progress.avoid.push(key);
        progress.after = splitter.last().map(CompactString::from);
        // The broken run ends with its connection before another begins.
        drop(begun);
        let more = go_on(&mut call, engine, &mut progress, &mut reply).await;
        let Some(more) = more else {
            call.record.end("cut off", call.record.status);
            return reply.abort().await;
        };
        begun = more;
    }
}

/// Has another endpoint go on with a broken stream.
async fn go_on<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    engine: Engine,
    progress: &mut Progress,
    reply: &mut Reply,
) -> Option<Begun<N, C, D>> {
    if !may_go_on(call, progress) {
        return None;
    }
    let deadline = tokio::time::Instant::from_std(call.expiry);
    tokio::select! {
        () = reply.closed() => None,
        begun = timeout_at(deadline, begin(call, engine, progress)) => match begun {
            Ok(Ok(Answer::Stream(begun))) => Some(*begun),
            _ => None,
        },
    }
}

/// How a run's stream ended.
enum Ended {
    /// In good order.
    Whole,
    /// Broken off.
    Broken,
    /// The caller is gone.
    Gone,
}

/// Copies whole events from a run to the caller.
async fn copy<N: Net, C: Clock, D: Dialect>(
    call: &mut Call<N, C, D>,
    begun: &mut Begun<N, C, D>,
    splitter: &mut Splitter,
    reply: &mut Reply,
) -> Ended {
    // A run that is silent may be waiting for memory, and go on; only its
    // caller's patience ends it.
    let patience = call.record.description.patience;
    let silence = patience.unwrap_or(call.route.timeout);
    let mut piece = begun.first.take();
    let mut last = call.shared.clock.now();
    loop {
        if let Some(bytes) = piece {
            splitter.push(&bytes);
            if let Some(events) = splitter.take() {
                let now = call.shared.clock.now();
                let pause = now.saturating_duration_since(last);
                last = now;
                if call.record.events > 0 {
                    call.record.paused(pause);
                    begun.room.streamed(pause / splitter.count().max(1));
                }
                call.record.events += splitter.count();
                if reply.send_piece(events).await.is_err() {
                    return Ended::Gone;
                }
            }
        }
        let next = tokio::select! {
            biased;
            next = tokio::time::timeout(silence, next(&mut begun.body)) => next,
            () = reply.closed() => return Ended::Gone,
        };
        match next {
            Ok(Next::Data(bytes)) => piece = Some(bytes),
            Ok(Next::End) => {
                let rest = splitter.rest();
                if !rest.is_empty() && reply.send_piece(rest).await.is_err() {
                    return Ended::Gone;
                }
                return Ended::Whole;
            }
            Ok(Next::Broken) | Err(_) => return Ended::Broken,
        }
    }
}
