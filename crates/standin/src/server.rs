//! A small HTTP server that can be killed.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::sync::watch;
use tokio::time::Instant;

use cranberryridge::body::Body;
use cranberryridge::net::{Listen, Net};

/// Time in which an address becomes free once its listener is closed.
const RELEASE_TIME: Duration = Duration::from_secs(10);

/// Time between two tries to listen again.
const REBIND_INTERVAL: Duration = Duration::from_millis(2);

/// A server that runs until it is killed or dropped.
#[derive(Debug)]
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Signals the listener and all connections to end.
    stop: watch::Sender<bool>,
}

impl Server {
    /// Starts a server that passes each request to a handler.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn start<N, H, F>(net: &N, at: SocketAddr, handler: H) -> io::Result<Self>
    where
        N: Net,
        H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        let mut listener = net.bind(at).await?;
        let address = listener.address();
        let (stop, stopped) = watch::channel(false);
        let mut server_stopped = stopped.clone();
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    biased;
                    accepted = listener.accept() => accepted,
                    _ = server_stopped.changed() => return,
                };
                let Ok(stream) = accepted else { continue };
                tokio::spawn(serve_connection(stream, handler.clone(), stopped.clone()));
            }
        });
        Ok(Self { address, stop })
    }

    /// Ends the server at once and breaks its connections.
    pub fn kill(&self) {
        self.stop.send_replace(true);
    }
}

/// Repeats `bind` for as long as the address is still in use. A closed listener is not free at once:
/// a process that is being started elsewhere holds copies of all listeners until it runs its program.
///
/// # Errors
///
/// Returns the error of `bind` if it is another one, or if the address does not become free.
pub async fn rebind<T, F: Future<Output = io::Result<T>>>(
    mut bind: impl FnMut() -> F,
) -> io::Result<T> {
    let ends_at = Instant::now() + RELEASE_TIME;
    loop {
        match bind().await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < ends_at => {
                tokio::time::sleep(REBIND_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Serves one connection until it closes or the server ends.
async fn serve_connection<S, H, F>(stream: S, handler: H, mut stopped: watch::Receiver<bool>)
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let service = service_fn(|request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await?.to_bytes();
            Ok::<_, hyper::Error>(handler(Request::from_parts(head, body)).await)
        }
    });
    let serve =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        _ = serve => {}
        _ = stopped.changed() => {}
    }
}

/// Returns a response with a JSON body.
pub fn json(value: &impl serde::Serialize) -> Response<Body> {
    // The stand-ins' own values always have a JSON form.
    Response::new(Body::full(serde_json::to_vec(value).unwrap_or_default()))
}

/// Returns a response with a status and no body.
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(""));
    *response.status_mut() = status;
    response
}

/// Returns the value of a numeric query parameter, or `None` if it's absent or
/// no number.
pub fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .filter(|(key, _)| *key == name)
        .find_map(|(_, value)| value.parse().ok())
}
