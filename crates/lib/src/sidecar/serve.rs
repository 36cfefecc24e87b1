//! The sidecar's server, which accepts connections from entries and serves their streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{Request, Response};
use slog::{debug, info};
use tokio::sync::watch;
use tokio::time::Instant;

use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message::{Down, Endpoint, Up, Welcome};

use super::{attempt, model, plain, Shared, HEARTBEAT_TIMEOUT};
use crate::clock::Clock;
use crate::net::{Listen, Net};
use crate::stream::{Receiver, Sender, CONNECTION_WINDOW_BYTES, MAX_STREAMS, UP_WINDOW_BYTES};

/// Timeout of the handshake and the greeting on a connection, and of the first message on
/// a stream.
const OPENING_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts connections until the runtime ends.
pub async fn run<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, listener: &mut N::Listener) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                tokio::spawn(serve_connection(shared.clone(), stream));
            }
            Err(error) => {
                debug!(shared.logger, "sidecar: accept failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Liveness of the entry on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// The entry has not sent a greeting.
    Unknown,
    /// The entry sent a greeting and sends heartbeats.
    Alive,
    /// The entry stopped sending heartbeats, or its control stream ended.
    Silent,
}

/// Serves one connection until it breaks or its entry goes silent. A connection without
/// heartbeats is closed, so that no work depends on it.
async fn serve_connection<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, stream: N::Stream) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(UP_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(stream);
    let Ok(Ok(mut connection)) = tokio::time::timeout(OPENING_TIMEOUT, handshake).await else {
        return;
    };
    let _guard = shared.connections.enter();
    let liveness = Arc::new(watch::Sender::new(Liveness::Unknown));
    let mut liveness_changes = liveness.subscribe();
    let mut closing = shared.closing.subscribe();
    let greeting_timeout = tokio::time::sleep(OPENING_TIMEOUT);
    let mut greeting_timeout = std::pin::pin!(greeting_timeout);
    let mut greeting_checked = false;
    let mut shutting_down = false;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = connection.accept() => accepted,
            () = wait_until(&mut liveness_changes, |liveness| *liveness == Liveness::Silent),
                if !shutting_down => return,
            () = greeting_timeout.as_mut(), if !greeting_checked => {
                greeting_checked = true;
                if *liveness.borrow() != Liveness::Unknown {
                    continue;
                }
                shared.metrics.count("connection.no_greeting");
                return;
            }
            () = wait_until(&mut closing, |closing| *closing), if !shutting_down => {
                shutting_down = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        tokio::spawn(serve_stream(
            shared.clone(),
            request,
            respond,
            liveness.clone(),
        ));
    }
}

/// Serves one stream, whose first message selects the handler.
async fn serve_stream<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    liveness: Arc<watch::Sender<Liveness>>,
) {
    let Ok(send) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let mut streams = attempt::Streams {
        sender: Sender::new(send),
        receiver: Receiver::new(request.into_body()),
    };
    let first = tokio::time::timeout(OPENING_TIMEOUT, streams.receiver.next::<Up>()).await;
    let Ok(Ok(Some(first))) = first else {
        shared.metrics.count("stream.bad_opening");
        streams.refuse(Code::BadMessage, Duration::ZERO).await;
        return;
    };
    match first {
        Up::Greet(greeting) => {
            info!(shared.logger, "sidecar: entry connected"; "entry" => %greeting.name);
            liveness.send_replace(Liveness::Alive);
            serve_control(&shared, streams).await;
            info!(shared.logger, "sidecar: entry disconnected"; "entry" => %greeting.name);
            // A sidecar that shuts down closes the connection gracefully.
            if !*shared.closing.borrow() {
                liveness.send_replace(Liveness::Silent);
            }
            return;
        }
        _ if *liveness.borrow() == Liveness::Silent => return,
        _ => {}
    }
    let _guard = shared.streams.enter();
    match first {
        Up::Hold(hold) => model::decode(shared, hold, streams).await,
        Up::Prefill(prefill) => model::prefill(shared, prefill, streams).await,
        Up::Resume(resume) => model::resume(&shared, resume, streams).await,
        Up::Invoke(invoke) => plain::invoke(shared, invoke, streams).await,
        Up::Settle(settle) => plain::settle(&shared, settle, streams).await,
        Up::Issue(issue) => plain::issue(&shared, issue, streams).await,
        Up::Fetch(fetch) => send_configuration(&shared, fetch.known, streams).await,
        Up::Greet(_) | Up::Beat(_) | Up::Decode(_) | Up::Copy(_) => {
            shared.metrics.count("stream.bad_opening");
            streams.refuse(Code::BadMessage, Duration::ZERO).await;
        }
    }
}

/// Serves a control stream: sends reports, and receives heartbeats and copies of the
/// configuration. Returns when the stream ends or the entry goes silent.
async fn serve_control<N: Net, C: Clock>(shared: &Shared<N, C>, mut streams: attempt::Streams) {
    let welcome = Down::Welcome(build_welcome(shared));
    if streams.sender.send(&welcome).await.is_err() {
        return;
    }
    let mut reports = shared.control.reports();
    let mut last_heard = Instant::now();
    let mut closing = shared.closing.subscribe();
    loop {
        tokio::select! {
            biased;
            changed = reports.changed() => {
                let report = Down::Report((**reports.borrow_and_update()).clone());
                let sent =
                    tokio::time::timeout(HEARTBEAT_TIMEOUT, streams.sender.send(&report)).await;
                if changed.is_err() || !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
            () = tokio::time::sleep_until(last_heard + HEARTBEAT_TIMEOUT) => {
                shared.metrics.count("entry.silent");
                return;
            }
            () = wait_until(&mut closing, |closing| *closing) => {
                streams.sender.finish();
                return;
            }
            up = streams.receiver.next::<Up>() => {
                last_heard = Instant::now();
                match up {
                    Ok(Some(Up::Beat(beat))) => {
                        beat.suspects
                            .into_iter()
                            .for_each(|suspect| shared.control.merge_suspect(suspect));
                    }
                    Ok(Some(Up::Copy(copy))) => shared.feed.adopt(&copy),
                    _ => return,
                }
            }
        }
    }
}

/// Waits until a state is reached. The senders here outlive their receivers, so the wait
/// cannot fail.
async fn wait_until<T>(receiver: &mut watch::Receiver<T>, reached: impl FnMut(&T) -> bool) {
    let _ = receiver.wait_for(reached).await;
}

/// Sends the configuration in force, unless the entry already knows that version.
async fn send_configuration<N, C>(
    shared: &Shared<N, C>,
    known: Version,
    mut streams: attempt::Streams,
) {
    let Some(copy) = shared.feed.peer_copy(known) else {
        streams.sender.finish();
        return;
    };
    if streams.sender.send(&Down::Copy(copy)).await.is_ok() {
        streams.sender.finish();
    }
}

/// The sidecar's answer to a greeting.
fn build_welcome<N, C>(shared: &Shared<N, C>) -> Welcome {
    let endpoints = shared.settings.endpoints.iter().enumerate();
    let endpoints = endpoints.map(|(index, endpoint)| Endpoint {
        index: index as u16,
        kind: model::message_kind(endpoint.kind),
        serves: endpoint.serves.clone(),
        pages: endpoint.pages,
        slots: endpoint.slots,
        rate: endpoint.rate,
        link: endpoint.link,
    });
    Welcome {
        name: shared.settings.common.name.clone(),
        domain: shared.settings.common.domain.clone(),
        incarnation: shared.incarnation,
        endpoints: endpoints.collect(),
    }
}
