//! Simulated callers and entries for tests.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde_json::{json, Value};

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::{memory::Memory, Net};
use cranberryridge::stream::{Receiver, Sender};
use cranberryridge::wire::id::{Digest, Incarnation, Version};
use cranberryridge::wire::message::{
    Beat, Call, Decode, Down, Greeting, Hold, Prefill, Ticket, Up,
};
use cranberryridge::wire::record::Late;
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::{Fleet, Plan};

/// A fleet on in-memory pipes with a paused clock.
pub type Deployment = Fleet<Memory, Tokio>;

/// Interval between heartbeats of a [`Peer`].
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Starts a deployment, publishes its services and waits until it is ready.
pub async fn start_fleet(plan: Plan) -> (Memory, Deployment) {
    let net = Memory::default();
    let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
    // Late requests are served because these tests don't cover deadlines.
    let mut services = fleet.services();
    for service in &mut services {
        service.late = Late::Serve;
    }
    fleet.publish(Version::default(), services);
    tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready())
        .await
        .expect("fleet not ready");
    (net, fleet)
}

/// A plan with one entry and one runner each for prefill, decode and plain calls.
pub fn pair_plan() -> Plan {
    Plan {
        prefill_runners: 1,
        decode_runners: 1,
        plain_runners: 1,
        entries: 1,
        ..Plan::default()
    }
}

/// Polls a condition and panics if it doesn't hold within `limit`.
pub async fn wait_until(limit: Duration, description: &str, mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(limit, poll).await;
    assert!(waited.is_ok(), "not within {limit:?}: {description}");
}

/// Awaits a task and panics if it takes longer than two minutes.
pub async fn with_timeout<T>(task: impl Future<Output = T>) -> T {
    tokio::time::timeout(Duration::from_secs(120), task)
        .await
        .expect("the task did not finish in time")
}

/// Sends a completion request and asserts that the answer is whole and as expected.
pub async fn assert_completes(client: &Client<Memory>, prompt: &str, tokens: u64) {
    let answer = with_timeout(client.send(completion(prompt, tokens))).await;
    let body = with_timeout(answer.unwrap().into_body().collect()).await;
    let whole = body.unwrap().to_bytes();
    assert_eq!(text(&whole), expected_answer(prompt, tokens));
}

/// Builds a POST request with a JSON body.
pub fn post(path: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// Builds a streaming completion request.
pub fn completion(prompt: &str, tokens: u64) -> Request<Full<Bytes>> {
    let body = json!({
        "model": "summaries", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    post("/v1/completions", &body)
}

/// Extracts the text of a streamed completion.
pub fn text(body: &[u8]) -> String {
    let body = std::str::from_utf8(body).unwrap();
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let text = events.map(|event| {
        event["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    });
    text.collect()
}

/// Opens an HTTP/2 connection as a caller.
pub async fn connect_http2<N: Net>(
    net: &N,
    to: SocketAddr,
) -> hyper::client::conn::http2::SendRequest<Full<Bytes>> {
    let stream = net.connect(to).await.unwrap();
    let (sender, connection) = hyper::client::conn::http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .handshake(TokioIo::new(stream))
        .await
        .unwrap();
    tokio::spawn(connection);
    sender
}

/// A simulated entry. Dropping it breaks its connection.
pub struct Peer {
    /// Sends requests, each of which opens a stream.
    pub requests: SendRequest<Bytes>,
    /// Task that drives the connection.
    connection: tokio::task::JoinHandle<()>,
    /// Whether heartbeats have stopped.
    paused: Arc<AtomicBool>,
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Peer {
    /// Connects to a sidecar without a greeting.
    pub async fn connect(net: &Memory, to: SocketAddr) -> Self {
        let stream = net.connect(to).await.unwrap();
        let (requests, connection) = h2::client::handshake(stream).await.unwrap();
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        Self {
            requests,
            connection,
            paused: Arc::default(),
        }
    }

    /// Connects, sends a greeting and then sends heartbeats.
    pub async fn greet(net: &Memory, to: SocketAddr) -> Self {
        let peer = Self::connect(net, to).await;
        let greeting = Up::Greet(Greeting {
            name: "peer".into(),
            domain: "a".into(),
            incarnation: Incarnation(1),
            version: Version(1),
        });
        let (mut sender, mut receiver) = peer.open(&greeting).await;
        assert!(matches!(receive(&mut receiver).await, Down::Welcome(_)));
        let paused = peer.paused.clone();
        tokio::spawn(async move {
            let mut sequence = 0;
            loop {
                if paused.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                let beat = Up::Beat(Beat {
                    sequence,
                    version: Version(1),
                    suspects: Vec::new(),
                });
                if sender.send(&beat).await.is_err() {
                    return;
                }
                sequence += 1;
                let interval = tokio::time::sleep(HEARTBEAT_INTERVAL);
                let mut interval = std::pin::pin!(interval);
                loop {
                    tokio::select! {
                        () = interval.as_mut() => break,
                        report = receiver.next::<Down>() => {
                            if !matches!(report, Ok(Some(_))) {
                                return;
                            }
                        }
                    }
                }
            }
        });
        peer
    }

    /// Stops sending heartbeats and reading reports, and keeps all streams open.
    pub fn pause(&self) {
        self.paused.store(true, Ordering::Relaxed);
    }

    /// Opens a stream and sends its first message.
    pub async fn open(&self, first: &Up) -> (Sender, Receiver) {
        let mut requests = self.requests.clone().ready().await.unwrap();
        let request = Request::post("http://sidecar/stream").body(()).unwrap();
        let (response, send) = requests.send_request(request, false).unwrap();
        let mut sender = Sender::new(send);
        sender.send(first).await.unwrap();
        let response = response.await.unwrap();
        (sender, Receiver::new(response.into_body()))
    }
}

/// Receives the next message and panics if none comes.
pub async fn receive(receiver: &mut Receiver) -> Down {
    with_timeout(receiver.next::<Down>())
        .await
        .unwrap()
        .unwrap()
}

/// Builds the common fields of an attempt.
pub fn call(sequence: u64) -> Call {
    Call {
        request: cranberryridge::wire::id::Request {
            entry: Incarnation(1),
            sequence,
        },
        attempt: 1,
        endpoint: 0,
        client: "client".into(),
        service: "summaries".into(),
        digest: Digest::of(&[&sequence.to_le_bytes()]),
        due: Duration::from_secs(5).into(),
        late: true,
        patience: Duration::from_secs(60).into(),
    }
}

/// Builds the first message of a hold.
pub fn hold(sequence: u64) -> Up {
    Up::Hold(Hold {
        call: call(sequence),
        prompt: 10,
        output: 400,
        ahead: Duration::ZERO.into(),
    })
}

/// Builds the first message of a prefill.
pub fn prefill(sequence: u64, prompt: &str) -> Up {
    Up::Prefill(Prefill {
        call: call(sequence),
        prompt: 10,
        fresh: 10,
        path: "/v1/completions".into(),
        body: completion_body(prompt).into_bytes().into(),
    })
}

/// Builds an order to decode.
pub fn decode(prompt: &str, ticket: Ticket) -> Up {
    Up::Decode(Decode {
        path: "/v1/completions".into(),
        body: completion_body(prompt).into_bytes().into(),
        ticket,
    })
}

/// Builds the body of a completion request.
fn completion_body(prompt: &str) -> String {
    json!({ "model": "summaries", "prompt": prompt, "max_tokens": 400 }).to_string()
}
