//! A plain service that answers with the request it received, after a delay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderValue, Request, Response, Version};
use serde_json::json;

use cranberryridge::body::{Body, Piece};
use cranberryridge::net::Net;

use crate::ledger::Ledger;
use crate::server::Server;

/// Header with the tag under which the ledger records a run.
pub const TAG_HEADER: &str = "x-tag";

/// Header that asks for events instead of JSON: the number of bytes of [`EVENTS`] to send.
/// Without [`CHUNKS_HEADER`] the answer has neither a length nor chunks.
pub const EVENT_BYTES_HEADER: &str = "x-event-bytes";

/// Header that asks for chunks around the events.
pub const CHUNKS_HEADER: &str = "x-event-chunks";

/// Events that are sent on request.
pub const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A plain service. Clones share it.
#[derive(Clone, Debug)]
pub struct Plain {
    settings: Arc<Settings>,
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of a call.
    pub service_time: Duration,
    /// Ledger that records the runs.
    pub ledger: Ledger,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(20),
            ledger: Ledger::default(),
        }
    }
}

impl Plain {
    /// Creates a service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
        }
    }

    /// Serves the service over HTTP.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let plain = self.clone();
        Server::start(net, at, move |request| plain.clone().answer(request)).await
    }

    /// Answers a call. The run is recorded before the delay, so that a call
    /// that is cut off counts too.
    async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        let tag = request
            .headers()
            .get(TAG_HEADER)
            .and_then(|tag| tag.to_str().ok());
        let tag = tag.unwrap_or_default().to_owned();
        self.settings.ledger.record_run(&tag);
        tokio::time::sleep(self.settings.service_time).await;
        let event_bytes = request.headers().get(EVENT_BYTES_HEADER);
        if let Some(bytes) = event_bytes.and_then(|bytes| bytes.to_str().ok()?.parse().ok()) {
            let has_chunks = request.headers().contains_key(CHUNKS_HEADER);
            return send_events(bytes, has_chunks).await;
        }
        let answer = json!({
            "tag": tag,
            "method": request.method().as_str(),
            "path": request.uri().path(),
            "body": String::from_utf8_lossy(request.body()),
        });
        Response::new(Body::full(answer.to_string()))
    }
}

/// Returns the first bytes of [`EVENTS`] in a response that has chunks or ends with its
/// connection.
async fn send_events(bytes: usize, has_chunks: bool) -> Response<Body> {
    let (sender, body) = Body::channel(2);
    // The channel has room for both.
    let _ = sender.send(Piece::Data(EVENTS[..bytes].into())).await;
    let _ = sender.send(Piece::End).await;
    let mut response = Response::new(body);
    if !has_chunks {
        // HTTP/1.0 has no chunks.
        *response.version_mut() = Version::HTTP_10;
    }
    let media = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}
