//! A plain service that answers with the request it received, after a delay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use serde_json::json;

use cranberryridge::body::Body;
use cranberryridge::net::Net;

use crate::ledger::Ledger;
use crate::server::Server;

/// Header with the tag under which the ledger records a run.
pub const TAG_HEADER: &str = "x-tag";

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
        let answer = json!({
            "tag": tag,
            "method": request.method().as_str(),
            "path": request.uri().path(),
            "body": String::from_utf8_lossy(request.body()),
        });
        Response::new(Body::full(answer.to_string()))
    }
}
