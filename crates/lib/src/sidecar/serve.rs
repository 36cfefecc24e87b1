//! The sidecar's server: connections from entries and their streams.

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

use super::{attempt, model, plain, Shared, SILENCE};
use crate::clock::Clock;
use crate::net::{Listen, Net};
use crate::stream::{Receiver, Sender, CONNECTION_WINDOW, STREAMS, UP_WINDOW};

/// Longest time to the first message of a stream, and to the greeting on a
/// connection.
const OPENING: Duration = Duration::from_secs(5);

/// Takes connections for ever.
pub async fn run<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, listener: &mut N::Listener) {
    loop {
        match listener.accept().await {
            Ok(stream) => {
                tokio::spawn(connection(shared.clone(), stream));
            }
            Err(error) => {
                debug!(shared.logger, "sidecar: no connection"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// How far an entry's heartbeat is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heart {
    /// It has not greeted.
    Unknown,
    /// It greeted, and beats.
    Beating,
    /// It went silent, or its control stream ended.
    Silent,
}

/// Serves one connection until it breaks or its entry goes silent. A
/// connection without a heartbeat is closed, so that no work hangs on one.
async fn connection<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, stream: N::Stream) {
    let handshake = h2::server::Builder::new()
        .initial_window_size(UP_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_concurrent_streams(STREAMS)
        .handshake(stream);
    let Ok(Ok(mut connection)) = tokio::time::timeout(OPENING, handshake).await else {
        return;
    };
    let _guard = shared.connections.enter();
    let heart = Arc::new(watch::Sender::new(Heart::Unknown));
    let mut beats = heart.subscribe();
    let mut leaving = shared.leaving.subscribe();
    let unknown = tokio::time::sleep(OPENING);
    let mut unknown = std::pin::pin!(unknown);
    let mut timed = false;
    let mut left = false;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = connection.accept() => accepted,
            () = until(&mut beats, |heart| *heart == Heart::Silent), if !left => return,
            () = unknown.as_mut(), if !timed => {
                timed = true;
                if *heart.borrow() != Heart::Unknown {
                    continue;
                }
                shared.metrics.count("connection.no_greeting");
                return;
            }
            () = until(&mut leaving, |leaving| *leaving), if !left => {
                left = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(Ok((request, respond))) = accepted else {
            return;
        };
        tokio::spawn(serve(shared.clone(), request, respond, heart.clone()));
    }
}

/// Serves one stream.
async fn serve<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    heart: Arc<watch::Sender<Heart>>,
) {
    let Ok(send) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let mut streams = attempt::Streams {
        sender: Sender::new(send),
        receiver: Receiver::new(request.into_body()),
    };
    let first = tokio::time::timeout(OPENING, streams.receiver.next::<Up>()).await;
    let Ok(Ok(Some(first))) = first else {
        shared.metrics.count("stream.bad_opening");
        streams.refuse(Code::BadMessage, Duration::ZERO).await;
        return;
    };
    match first {
        Up::Greet(greeting) => {
            info!(shared.logger, "sidecar: entry connected"; "entry" => %greeting.name);
            heart.send_replace(Heart::Beating);
            control(&shared, streams).await;
            info!(shared.logger, "sidecar: entry gone"; "entry" => %greeting.name);
            // A sidecar that leaves closes the connection in good order.
            if !*shared.leaving.borrow() {
                heart.send_replace(Heart::Silent);
            }
            return;
        }
        _ if *heart.borrow() == Heart::Silent => return,
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
        Up::Fetch(fetch) => copy(&shared, fetch.known, streams).await,
        Up::Greet(_) | Up::Beat(_) | Up::Decode(_) | Up::Copy(_) => {
            shared.metrics.count("stream.bad_opening");
            streams.refuse(Code::BadMessage, Duration::ZERO).await;
        }
    }
}

/// Serves a control stream: reports out, heartbeats in.
async fn control<N: Net, C: Clock>(shared: &Shared<N, C>, mut streams: attempt::Streams) {
    let welcome = Down::Welcome(welcome(shared));
    if streams.sender.send(&welcome).await.is_err() {
        return;
    }
    let mut reports = shared.control.reports();
    let mut last = Instant::now();
    let mut leaving = shared.leaving.subscribe();
    loop {
        tokio::select! {
            biased;
            changed = reports.changed() => {
                let report = Down::Report((**reports.borrow_and_update()).clone());
                let sent = tokio::time::timeout(SILENCE, streams.sender.send(&report)).await;
                if changed.is_err() || !matches!(sent, Ok(Ok(()))) {
                    return;
                }
            }
            () = tokio::time::sleep_until(last + SILENCE) => {
                shared.metrics.count("entry.silent");
                return;
            }
            () = until(&mut leaving, |leaving| *leaving) => {
                streams.sender.finish();
                return;
            }
            up = streams.receiver.next::<Up>() => {
                last = Instant::now();
                match up {
                    Ok(Some(Up::Beat(beat))) => {
                        beat.suspects.into_iter().for_each(|suspect| shared.control.heard(suspect));
                    }
                    Ok(Some(Up::Copy(copy))) => shared.feed.adopt(&copy),
                    _ => return,
                }
            }
        }
    }
}

/// Waits until a state is reached. The sender lives as long as its readers.
async fn until<T>(receiver: &mut watch::Receiver<T>, reached: impl FnMut(&T) -> bool) {
    let _ = receiver.wait_for(reached).await;
}

/// Gives an entry the configuration in force.
async fn copy<N, C>(shared: &Shared<N, C>, known: Version, mut streams: attempt::Streams) {
    let Some(copy) = shared.feed.peer_copy(known) else {
        streams.sender.finish();
        return;
    };
    if streams.sender.send(&Down::Copy(copy)).await.is_ok() {
        streams.sender.finish();
    }
}

/// What a sidecar says of itself.
fn welcome<N, C>(shared: &Shared<N, C>) -> Welcome {
    let endpoints = shared.settings.endpoints.iter().enumerate();
    let endpoints = endpoints.map(|(index, endpoint)| Endpoint {
        index: index as u16,
        kind: model::kind(endpoint.kind),
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
