//! HTTP calls to engines, plain services and the platform.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;

use crate::net::Net;

/// Largest body read whole, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Longest time to connect, unless a client is told otherwise. The opening
/// packet is sent again after one and after three seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke after the request may have been sent.
    #[error("connection broken: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer is larger than is taken, or was cut off.
    #[error("answer unreadable: {0}")]
    Unreadable(Box<dyn std::error::Error + Send + Sync>),
}

/// Makes HTTP/1.1 calls, a connection each. Dropping the answer's body closes
/// its connection, which tells the server that nobody waits.
#[derive(Clone, Debug)]
pub struct Client<N> {
    /// The network.
    net: N,
    /// The server.
    server: SocketAddr,
    /// Longest time to connect.
    connect_timeout: Duration,
}

impl<N: Net> Client<N> {
    /// A client of one server.
    pub fn new(net: N, server: SocketAddr) -> Self {
        Self {
            net,
            server,
            connect_timeout: CONNECT_TIMEOUT,
        }
    }

    /// The same client with another longest time to connect.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            ..self
        }
    }

    /// Sends a request and returns the answer once its head is there.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] when nothing was sent, [`Error::Broken`] when
    /// nobody can tell.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Error> {
        let stream =
            tokio::time::timeout(self.connect_timeout, self.net.connect(self.server)).await;
        let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.map_err(Error::Connect)?;
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        if !request.headers().contains_key(http::header::HOST) {
            let host = self.server.to_string();
            if let Ok(host) = host.parse() {
                request.headers_mut().insert(http::header::HOST, host);
            }
        }
        Ok(sender.send_request(request).await?)
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Unreadable`].
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(Error::Unreadable)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }
}
