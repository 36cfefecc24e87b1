//! Plain answers that end with their connection or without an event, on a paused clock.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::{Listen, Net};
use cranberryridge::wire::code::{Class, Code};
use cranberryridge::wire::id::Version;
use cranberryridge_standin::fleet::{Fleet, Plan};

use common::FaultyNet;

/// Head of a stream, without its framing.
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

/// A whole stream.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A deployment whose only plain service answers with raw bytes.
struct Bench {
    net: FaultyNet,
    fleet: Fleet<FaultyNet, Tokio>,
}

impl Bench {
    /// Starts the deployment. The service crashes after its answer if `is_crash` is set: its
    /// listener and the connection are closed in order.
    async fn start(answer: String, is_crash: bool) -> Self {
        let net = FaultyNet::default();
        let plan = Plan {
            prefill_runners: 1,
            decode_runners: 1,
            plain_runners: 1,
            ..Plan::default()
        };
        let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
        fleet.publish(Version::default(), fleet.services());
        let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready());
        ready.await.expect("fleet not ready");
        let runner = fleet.runner_address(fleet.sidecars.len() - 1);
        let raw = SocketAddr::new(runner.ip(), 7400);
        let mut listener = net.bind(raw).await.unwrap();
        net.redirect(runner, raw);
        tokio::spawn(async move {
            while let Ok(mut stream) = listener.accept().await {
                let count = stream.read(&mut [0; 4096]).await.unwrap_or_default();
                if count == 0 {
                    continue;
                }
                stream.write_all(answer.as_bytes()).await.unwrap();
                if is_crash {
                    drop(listener);
                    return;
                }
            }
        });
        Self { net, fleet }
    }

    /// Sends a call that is not idempotent. Returns the result code, whether the answer was
    /// kept from an earlier run, and the body, which is `None` if it was cut off.
    async fn reserve(&self, method: Method, key: &str) -> (Option<Code>, bool, Option<Bytes>) {
        let mut request = Request::new(Full::new(Bytes::from("{}")));
        *request.method_mut() = method;
        *request.uri_mut() = "/services/orders/reserve".parse().unwrap();
        if !key.is_empty() {
            let key = key.parse().unwrap();
            request.headers_mut().insert("idempotency-key", key);
        }
        let client = Client::new(self.net.clone(), self.fleet.entries[0].address());
        let answer = client.send(request).await.unwrap();
        let headers = answer.headers();
        let code = headers.get("x-cranberryridge-code");
        let code = code.and_then(|code| code.to_str().ok()?.parse().ok());
        let is_kept = headers.contains_key("idempotent-replayed");
        let body = answer.into_body().collect().await.ok();
        let body = body.map(|body| body.to_bytes());
        (code.and_then(Code::from_number), is_kept, body)
    }

    /// Requests an idempotency key.
    async fn issue_key(&self) -> String {
        let mut request = Request::new(Full::default());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/keys/orders".parse().unwrap();
        let client = Client::new(self.net.clone(), self.fleet.entries[0].address());
        let answer = client.fetch(request).await.unwrap();
        let answer = serde_json::from_slice::<Value>(answer.body()).unwrap();
        answer["key"].as_str().expect("no key").to_owned()
    }
}

/// Returns a stream with a length.
fn sized_stream(body: &str) -> String {
    format!("{STREAM}content-length: {}\r\n\r\n{body}", body.len())
}

// Guards against an answer that a crash cut or that has no event, and that its caller gets as
// whole, also a second time for its key.
#[tokio::test(start_paused = true)]
async fn an_answer_whose_end_nobody_said_is_neither_whole_nor_kept() {
    let empty = "HTTP/1.1 200 OK\r\n\r\n".to_owned();
    let cases = [
        ("stream, crash", format!("{STREAM}\r\n{EVENTS}"), true),
        ("stream", format!("{STREAM}\r\n{EVENTS}"), false),
        (
            "body, crash",
            "HTTP/1.1 200 OK\r\n\r\nhalf".to_owned(),
            true,
        ),
        ("empty, crash", empty.clone(), true),
        ("empty", empty, false),
        ("no event, length 0", sized_stream(""), false),
        ("no event, comments", sized_stream(": a\n\n"), false),
        (
            "no event, no chunks",
            format!("{STREAM}transfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
            false,
        ),
    ];
    let mut whole = Vec::new();
    for (name, answer, is_crash) in cases {
        let bench = Bench::start(answer, is_crash).await;
        let key = bench.issue_key().await;
        let (code, _, body) = bench.reserve(Method::POST, &key).await;
        let is_lost = body.is_none() || code.map(Code::class) == Some(Class::Unknown);
        if !is_lost {
            whole.push(format!("{name}: {code:?}, {body:?}"));
        }
        let again = bench.reserve(Method::POST, &key).await;
        if again.0 != Some(Code::KeyUnknown) {
            whole.push(format!("{name}, again: {again:?}"));
        }
    }
    assert!(whole.is_empty(), "{}", whole.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn a_sound_answer_is_passed_on_and_kept_however_it_is_framed() {
    let chunks = format!(
        "{STREAM}transfer-encoding: chunked\r\n\r\n{:x}\r\n{EVENTS}\r\n0\r\n\r\n",
        EVENTS.len()
    );
    let cases = [
        (sized_stream(EVENTS), EVENTS, true),
        (chunks, EVENTS, true),
        ("HTTP/1.1 200 OK\r\n\r\nwhole".to_owned(), "whole", false),
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
            "",
            true,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n".to_owned(), "", true),
    ];
    for (answer, body, is_crash) in cases {
        let bench = Bench::start(answer.clone(), is_crash).await;
        let key = bench.issue_key().await;
        for is_kept in [false, true] {
            let got = bench.reserve(Method::POST, &key).await;
            assert_eq!(got, (None, is_kept, Some(body.into())), "{answer:?}");
        }
    }
    let bench = Bench::start("HTTP/1.1 200 OK\r\n\r\n".to_owned(), true).await;
    let got = bench.reserve(Method::HEAD, "").await;
    assert_eq!(got, (None, false, Some(Bytes::new())), "HEAD");
}
