//! Load of callers that reuse their connections until these close.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time for which a caller waits for a complete answer.
pub const CALL_DEADLINE: Duration = Duration::from_millis(2500);

/// Part of prompts that crashes engines.
pub const CRASHING_PART: &str = "c0";

/// One in this many prompts has that part.
const CRASHING_SHARE: u32 = 12;

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of concurrent callers.
    pub callers: u64,
    /// Routes that callers use.
    pub routes: &'static [&'static str],
    /// Whether some prompts have [`CRASHING_PART`].
    pub has_crashing_part: bool,
    /// Whether no two requests have the same body, so that a crash speaks against one alone.
    pub has_own_bodies: bool,
    /// Whether each fourth caller speaks HTTP/1.0.
    pub has_old_callers: bool,
}

/// Returns the version that a caller speaks. Each fourth one speaks HTTP/1.0 if
/// `has_old_callers`, and knows the end of a stream by its connection alone.
pub fn version_of(caller: u64, has_old_callers: bool) -> Version {
    if has_old_callers && caller % 4 == 1 {
        Version::HTTP_10
    } else {
        Version::HTTP_11
    }
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Row {
    /// Id of the attempt.
    pub attempt: String,
    /// Name of the route.
    pub route: &'static str,
    /// Time at which the caller sent the request.
    pub sent_at: Instant,
    /// Status of the answer, if one arrived.
    pub status: Option<u16>,
    /// Body of the answer, if it is complete.
    pub body: Option<String>,
    /// What arrived of an answer that was cut.
    pub cut: Option<String>,
    /// Whether the request was sent after all faults were over.
    pub after_faults: bool,
    /// Whether its prompt has [`CRASHING_PART`].
    pub is_crashing: bool,
    /// Gateway that the request was sent to, if the connection was not an older one.
    pub gateway: SocketAddr,
    /// Time at which the answer ended.
    pub ended_at: Instant,
    /// Version that the caller speaks.
    pub version: Version,
}

impl Row {
    /// Returns whether the answer is a stream.
    pub fn is_stream(&self) -> bool {
        ["note", "list", "late-note"].contains(&self.route)
    }

    /// Returns the name of the version that the caller speaks.
    pub fn speaks(&self) -> &'static str {
        match self.version {
            Version::HTTP_10 => "HTTP/1.0",
            _ => "HTTP/1.1",
        }
    }
}

/// Running callers and their results.
pub struct Load {
    /// Tasks of the callers.
    callers: Vec<JoinHandle<()>>,
    /// Requests that have ended.
    rows: Arc<Mutex<Vec<Row>>>,
    /// Set to stop the callers after their current request.
    stop: Arc<AtomicBool>,
    /// Set once all faults are over.
    faults_over: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers that send requests to random gateways.
    pub fn start(gateways: Vec<SocketAddr>, seed: u64, settings: Settings) -> Self {
        let mut load = Self {
            callers: Vec::new(),
            rows: Arc::default(),
            stop: Arc::default(),
            faults_over: Arc::default(),
        };
        let next_attempt = Arc::new(AtomicU64::new(0));
        for caller in 0..settings.callers {
            let (rows, stop, faults_over) = (
                load.rows.clone(),
                load.stop.clone(),
                load.faults_over.clone(),
            );
            let (gateways, next_attempt) = (gateways.clone(), next_attempt.clone());
            load.callers.push(tokio::spawn(async move {
                let mut random = StdRng::seed_from_u64(seed ^ caller);
                let mut connection_slot = None;
                let version = version_of(caller, settings.has_old_callers);
                while !stop.load(Ordering::SeqCst) {
                    let attempt = format!("a{}", next_attempt.fetch_add(1, Ordering::SeqCst));
                    let route = settings.routes[random.random_range(0..settings.routes.len())];
                    let is_crashing = settings.has_crashing_part
                        && ["note", "list"].contains(&route)
                        && random.random_ratio(1, CRASHING_SHARE);
                    let after_faults = faults_over.load(Ordering::SeqCst);
                    let gateway = gateways[random.random_range(0..gateways.len())];
                    let sent_at = Instant::now();
                    let mut request = request(route, &attempt);
                    *request.version_mut() = version;
                    if version == Version::HTTP_10 {
                        connection_slot = None;
                    }
                    if settings.has_own_bodies {
                        *request.body_mut() = Full::new(Bytes::from(attempt.clone()));
                    }
                    if settings.has_crashing_part {
                        add_prompt(&mut request, &attempt, is_crashing);
                    }
                    let call = send(&mut connection_slot, gateway, request);
                    let result = tokio::time::timeout(CALL_DEADLINE, call).await;
                    if !matches!(result, Ok((Some(_), Some(_), _))) {
                        connection_slot = None;
                    }
                    let (status, body, cut) = result.unwrap_or_default();
                    rows.lock().unwrap().push(Row {
                        attempt,
                        route,
                        sent_at,
                        status,
                        body,
                        cut,
                        after_faults,
                        is_crashing,
                        gateway,
                        ended_at: Instant::now(),
                        version,
                    });
                    tokio::time::sleep(Duration::from_millis(random.random_range(5..60))).await;
                }
            }));
        }
        load
    }

    /// Marks all requests from now on as sent after the faults.
    pub fn mark_faults_over(&self) {
        self.faults_over.store(true, Ordering::SeqCst);
    }

    /// Stops the callers and returns their requests.
    pub async fn stop(self) -> Vec<Row> {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        let rows = self.rows.lock().unwrap();
        rows.clone()
    }
}

/// Builds a request for a route.
pub fn request(route: &str, attempt: &str) -> Request<Full<Bytes>> {
    let request = Request::builder()
        .method(if route == "read" { "GET" } else { "POST" })
        .uri(format!("/{route}/7?a=b"))
        .header("host", "desk.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", CALL_DEADLINE.as_millis().to_string())
        .header("token-count", "300,80")
        .body(Full::new(Bytes::from("body")));
    request.unwrap()
}

/// Gives a request a body of its own, and a prompt of three parts.
fn add_prompt(request: &mut Request<Full<Bytes>>, attempt: &str, is_crashing: bool) {
    let second = if is_crashing { CRASHING_PART } else { "b1" };
    let parts = format!("a1:100,{second}:100,{attempt}:100");
    let headers = request.headers_mut();
    headers.insert("prompt-prefix", parts.parse().unwrap());
    *request.body_mut() = Full::new(Bytes::from(attempt.to_owned()));
}

/// Opens a connection to a gateway. Returns `None` if that fails.
pub async fn connect(gateway: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

/// Sends a request on the kept connection, or on a new one if it is closed.
/// Returns the status and the body, as far as they arrived, and what arrived of a body that was
/// cut.
async fn send(
    connection_slot: &mut Option<SendRequest<Full<Bytes>>>,
    gateway: SocketAddr,
    request: Request<Full<Bytes>>,
) -> (Option<u16>, Option<String>, Option<String>) {
    if connection_slot
        .as_ref()
        .is_none_or(|connection| connection.is_closed())
    {
        *connection_slot = connect(gateway).await;
    }
    let Some(sender) = connection_slot else {
        return (None, None, None);
    };
    let Ok(answer) = sender.send_request(request).await else {
        return (None, None, None);
    };
    let status = answer.status().as_u16();
    let (body, cut) = read(answer).await;
    (Some(status), body, cut)
}

/// Reads an answer. Returns its body, or what arrived of one that was cut.
pub async fn read(answer: Response<Incoming>) -> (Option<String>, Option<String>) {
    let (mut body, mut bytes) = (answer.into_body(), Vec::new());
    let is_whole = loop {
        match body.frame().await {
            Some(Ok(frame)) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    if is_whole {
        (Some(text), None)
    } else {
        (None, Some(text))
    }
}
