//! HTTP client for engines, plain services and the platform.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

use cranberryridge_policy::answer::Framing;

use crate::body;
use crate::net::Net;

mod head;

/// Default maximum size of a body that [`Client::fetch`] reads, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Default connect timeout. TCP repeats a lost SYN packet after one and after three
/// seconds, so this allows for two repeats.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after the end of an answer at which its server is asked whether it is up. The kernel
/// closes the sockets of a process that was killed one after the other, and its listener may
/// be the last.
pub(crate) const PROBE_DELAY: Duration = Duration::from_millis(20);

/// Returns how the end of an answer with a body is marked, from its headers.
///
/// # Examples
///
/// ```
/// use cranberryridge::client;
/// use cranberryridge::policy::answer::Framing;
/// let mut headers = http::HeaderMap::new();
/// assert_eq!(client::framing(&headers), Framing::Connection);
/// headers.insert("content-length", 5.into());
/// assert_eq!(client::framing(&headers), Framing::Length);
/// ```
pub fn framing(headers: &HeaderMap) -> Framing {
    // A coding other than chunks takes precedence over a length, and has no end of its own.
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match codings.next_back() {
        Some(codings) if is_chunked(codings.as_bytes()) => Framing::Chunks,
        Some(_) => Framing::Connection,
        None if headers.contains_key(header::CONTENT_LENGTH) => Framing::Length,
        None => Framing::Connection,
    }
}

/// Returns whether the last one of the transfer codings is that of chunks.
fn is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next();
    last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns whether a server is up after the end of its answer: whether it accepts a connection
/// within a time.
///
/// # Examples
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
/// # runtime.block_on(async {
/// use std::time::Duration;
/// use cranberryridge::client;
/// use cranberryridge::net::memory::Memory;
/// use cranberryridge::net::Net;
/// let net = Memory::default();
/// let server = "127.0.0.1:80".parse().unwrap();
/// assert!(!client::outlives_answer(&net, server, Duration::from_secs(1)).await);
/// let _listener = net.bind(server).await.unwrap();
/// assert!(client::outlives_answer(&net, server, Duration::from_secs(1)).await);
/// # });
/// ```
pub async fn outlives_answer<N: Net>(net: &N, server: SocketAddr, timeout: Duration) -> bool {
    tokio::time::sleep(PROBE_DELAY).await;
    let connected = tokio::time::timeout(timeout, net.connect(server)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Error of a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was established, so nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke after the request may have been sent.
    #[error("connection broken: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer is too large or was cut off.
    #[error("answer unreadable: {0}")]
    Unreadable(Box<dyn std::error::Error + Send + Sync>),
    /// The answer is no complete one, though the connection reported no error.
    #[error("answer incomplete")]
    Truncated,
}

/// Body of a request that a client sends. Reading it does not fail.
pub trait Payload:
    http_body::Body<Data = Bytes, Error = Infallible> + Send + Unpin + 'static
{
}

impl<B> Payload for B where
    B: http_body::Body<Data = Bytes, Error = Infallible> + Send + Unpin + 'static
{
}

/// HTTP/1.1 client of one server, with a connection per call. Dropping an answer's body
/// closes its connection, which tells the server that the answer is no longer wanted.
#[derive(Clone, Debug)]
pub struct Client<N> {
    net: N,
    server: SocketAddr,
    connect_timeout: Duration,
    max_body_bytes: usize,
}

/// Connection to a server, for one call with a body of type `B`.
#[derive(Debug)]
pub struct Connection<B> {
    server: SocketAddr,
    sender: http1::SendRequest<B>,
    bound: head::Bound,
}

impl<N: Net> Client<N> {
    /// Creates a client of the server at an address, with a connect timeout of 5 s and
    /// bodies of up to 8 MiB.
    pub fn new(net: N, server: SocketAddr) -> Self {
        Self {
            net,
            server,
            connect_timeout: CONNECT_TIMEOUT,
            max_body_bytes: MAX_BODY_BYTES,
        }
    }

    /// Replaces the connect timeout.
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            ..self
        }
    }

    /// Replaces the maximum size of a body that [`Client::fetch`] reads, in bytes.
    pub fn with_max_body_bytes(self, max_body_bytes: usize) -> Self {
        Self {
            max_body_bytes,
            ..self
        }
    }

    /// Opens a connection, on which nothing has been sent.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if the server does not accept it in time.
    pub async fn connect<B: Payload>(&self) -> Result<Connection<B>, Error> {
        let stream =
            tokio::time::timeout(self.connect_timeout, self.net.connect(self.server)).await;
        let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = stream.map_err(Error::Connect)?;
        let (stream, bound) = head::bound(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(head::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(connection);
        let server = self.server;
        Ok(Connection {
            server,
            sender,
            bound,
        })
    }

    /// Sends a request and returns the answer once its headers have arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`] if nothing was sent, else as [`Connection::send`].
    pub async fn send<B: Payload>(&self, request: Request<B>) -> Result<Response<Incoming>, Error> {
        self.connect().await?.send(request).await
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Unreadable`] if the body is incomplete or larger
    /// than allowed.
    pub async fn fetch<B: Payload>(&self, request: Request<B>) -> Result<Response<Bytes>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = body::read(body, self.max_body_bytes).await;
        let body = body.map_err(|error| Error::Unreadable(error.into()))?;
        Ok(Response::from_parts(head, body))
    }
}

impl<B: Payload> Connection<B> {
    /// Sends a request and returns the answer once its headers have arrived.
    ///
    /// # Errors
    ///
    /// [`Error::Broken`] if the request may have been sent, also if the head of the answer
    /// is larger than 64 KiB.
    pub async fn send(self, request: Request<B>) -> Result<Response<Incoming>, Error> {
        let (answer, _) = self.send_and_hold(request).await?;
        Ok(answer)
    }

    /// Sends a request as [`Connection::send`] does, and returns the connection as well, which
    /// stays open behind the answer until it is dropped or the server closes it.
    ///
    /// # Errors
    ///
    /// As [`Connection::send`].
    pub async fn send_and_hold(
        mut self,
        mut request: Request<B>,
    ) -> Result<(Response<Incoming>, Held<B>), Error> {
        if !request.headers().contains_key(http::header::HOST) {
            let host = self.server.to_string();
            if let Ok(host) = host.parse() {
                request.headers_mut().insert(http::header::HOST, host);
            }
        }
        let answer = self.sender.send_request(request).await?;
        self.bound.lift();
        Ok((answer, Held(self.sender)))
    }
}

/// Connection that is held behind its answer.
#[derive(Debug)]
pub struct Held<B>(http1::SendRequest<B>);

impl<B> Held<B> {
    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
