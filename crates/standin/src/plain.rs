//! A plain service: answers with what it was sent, after a while.

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

/// Header with the tag that a run is noted under.
pub const TAG_HEADER: &str = "x-tag";

/// A plain service. Clones share it.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Its settings.
    settings: Arc<Settings>,
}

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time that a call takes.
    pub service_time: Duration,
    /// Where runs are noted.
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
    /// A service.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
        }
    }

    /// Serves it.
    ///
    /// # Errors
    ///
    /// When the address is taken.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let plain = self.clone();
        Server::start(net, at, move |request| plain.clone().answer(request)).await
    }

    /// Answers a call. It is noted as run before it takes its time, so that
    /// even a call that is cut off counts.
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
