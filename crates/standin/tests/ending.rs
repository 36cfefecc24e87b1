//! Plain answers that end with their connection or without an event, on a paused clock.

mod common;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

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

/// Returns an answer in chunks.
fn chunked(head: &str, body: &str) -> String {
    let length = body.len();
    format!("{head}transfer-encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
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
        ("chunks, crash", chunked(STREAM, EVENTS), true),
        (
            "body in chunks, crash",
            chunked("HTTP/1.1 200 OK\r\n", "half"),
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

// Guards against operators who cannot tell why an answer was cut.
#[tokio::test(start_paused = true)]
async fn an_answer_that_its_end_does_not_complete_is_counted() {
    for (answer, is_crash, count) in [
        (format!("{STREAM}\r\n{EVENTS}"), true, 1),
        (sized_stream(""), false, 1),
        (sized_stream(EVENTS), false, 0),
    ] {
        let bench = Bench::start(answer.clone(), is_crash).await;
        bench.reserve(Method::POST, "").await;
        let sidecar = bench.fleet.sidecars.last().unwrap();
        let counted = sidecar.metrics().get("answer.incomplete");
        assert_eq!(counted, count, "{answer:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_sound_answer_is_passed_on_and_kept_however_it_is_framed() {
    let body_chunks = chunked("HTTP/1.1 200 OK\r\n", "whole");
    let cases = [
        (sized_stream(EVENTS), EVENTS, true),
        (chunked(STREAM, EVENTS), EVENTS, false),
        (body_chunks, "whole", false),
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

// Guards against a stream that its link cut between two events, and that was passed on and
// kept as whole because the service lives on.
#[tokio::test(start_paused = true)]
async fn a_stream_whose_link_closes_between_events_is_cut_and_not_kept() {
    let mut whole = Vec::new();
    for events in ["id: 1\ndata: a\n\n", EVENTS] {
        let bench = Bench::start(format!("{STREAM}\r\n{events}"), false).await;
        let key = bench.issue_key().await;
        for (method, key) in [
            (Method::POST, key.as_str()),
            (Method::POST, ""),
            (Method::GET, ""),
        ] {
            let (code, _, body) = bench.reserve(method.clone(), key).await;
            if body.is_some() {
                whole.push(format!("{method}, {key:?}: {code:?}, {body:?}"));
            }
        }
        let again = bench.reserve(Method::POST, &key).await;
        if again.0 != Some(Code::KeyUnknown) {
            whole.push(format!("again: {again:?}"));
        }
    }
    assert!(whole.is_empty(), "{}", whole.join("\n"));
}

/// Event of an engine.
const TOKEN: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";

/// Starts a deployment whose only decode engine answers decodes with raw bytes.
async fn start_engine(answer: String) -> (FaultyNet, Fleet<FaultyNet, Tokio>) {
    let net = FaultyNet::default();
    let plan = Plan {
        prefill_runners: 1,
        decode_runners: 1,
        ..Plan::default()
    };
    let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
    fleet.publish(Version::default(), fleet.services());
    let runner = fleet.runner_address(1);
    let (raw, behind) = (
        SocketAddr::new(runner.ip(), 7400),
        SocketAddr::new(runner.ip(), 7401),
    );
    let server = fleet.engines[1].serve(behind).await.unwrap();
    let mut listener = net.bind(raw).await.unwrap();
    net.redirect(runner, raw);
    let onward_net = net.clone();
    tokio::spawn(async move {
        let _server = server;
        while let Ok(mut stream) = listener.accept().await {
            let (net, answer) = (onward_net.clone(), answer.clone());
            tokio::spawn(async move {
                let mut request = vec![0; 64 * 1024];
                let count = stream.read(&mut request).await.unwrap_or_default();
                if request.starts_with(b"POST /v1/") {
                    stream.write_all(answer.as_bytes()).await.unwrap();
                    return;
                }
                let mut onward = net.connect(behind).await.unwrap();
                onward.write_all(&request[..count]).await.unwrap();
                // How the connection ends does not matter.
                let _ = tokio::io::copy_bidirectional(&mut stream, &mut onward).await;
            });
        }
    });
    let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready());
    ready.await.expect("fleet not ready");
    (net, fleet)
}

/// Requests a completion. Returns its status, and its body, which is `None` if it was cut off.
async fn complete(
    net: &FaultyNet,
    fleet: &Fleet<FaultyNet, Tokio>,
    stream: bool,
) -> (u16, Option<Bytes>) {
    let body = serde_json::json!({
        "model": fleet.services()[0].name, "prompt": "p", "max_tokens": 5, "stream": stream,
    });
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/v1/completions".parse().unwrap();
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let answer = client.send(request).await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok();
    (status, body.map(|body| body.to_bytes()))
}

// Guards against the stream of an engine that has no last event, and that its caller gets as
// whole.
#[tokio::test(start_paused = true)]
async fn a_stream_of_an_engine_is_whole_only_after_its_last_event() {
    let ends = [
        ("", false),
        ("data: [DO", false),
        ("data: [DONE]", false),
        ("data: [DONE]\n", false),
        ("data: [DONE]\n\n", true),
    ];
    for (end, is_whole) in ends {
        let events = format!("{TOKEN}{TOKEN}{end}");
        let answers = [
            ("length", sized_stream(&events)),
            ("chunks", chunked(STREAM, &events)),
            ("connection", format!("{STREAM}\r\n{events}")),
        ];
        for (framing, answer) in answers {
            for stream in [true, false] {
                let case = format!("{end:?}, {framing}, stream {stream}");
                let (net, fleet) = start_engine(answer.clone()).await;
                let (status, body) = complete(&net, &fleet, stream).await;
                let text = body.as_deref().map(String::from_utf8_lossy);
                let is_said = if stream {
                    text.as_ref()
                        .is_some_and(|text| text.ends_with("data: [DONE]\n\n"))
                } else {
                    status == 200 && text.is_some()
                };
                assert_eq!(is_said, is_whole, "{case}: {status}, {text:?}");
            }
        }
    }
}

/// Maximum time by which the end of a sound answer may follow its last byte.
const MAX_END_DELAY: Duration = Duration::from_millis(60);

/// Body of an answer that is cut, and of one that is not.
const BODIES: [&str; 2] = ["half", "whole"];

/// Head of an answer that is no stream, without its framing.
const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// How the listener of a plain service goes on behind the end of its first answer.
#[derive(Clone, Copy, Debug)]
enum Stop {
    /// It is closed for good after a time.
    Lingers(Duration),
    /// It is closed at once, and is back after a time.
    Returns(Duration),
}

/// Starts a deployment with plain services whose first run ends half an answer in chunks and
/// stops. All later runs give a whole answer. Returns the number of runs as well.
async fn start_stopping(plain_runners: u8, stop: Stop) -> (Bench, Arc<AtomicUsize>) {
    let net = FaultyNet::default();
    let plan = Plan {
        prefill_runners: 1,
        decode_runners: 1,
        plain_runners,
        ..Plan::default()
    };
    let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
    let mut services = fleet.services();
    let orders = "name = \"orders\"\nroutes = [{ path = \"/read\", idempotent = true }, \
                  { path = \"/\", idempotent = false }]\n";
    services[1] = cranberryridge::wire::service::parse(orders).unwrap();
    fleet.publish(Version::default(), services);
    let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready());
    ready.await.expect("fleet not ready");
    let runs = Arc::new(AtomicUsize::new(0));
    for index in 2..fleet.sidecars.len() {
        let runner = fleet.runner_address(index);
        let raw = SocketAddr::new(runner.ip(), 7400);
        net.redirect(runner, raw);
        let mut listener = net.bind(raw).await.unwrap();
        let (net, runs) = (net.clone(), runs.clone());
        tokio::spawn(async move {
            while let Ok(mut stream) = listener.accept().await {
                let count = stream.read(&mut [0; 4096]).await.unwrap_or_default();
                if count == 0 {
                    continue;
                }
                let is_first = runs.fetch_add(1, Ordering::Relaxed) == 0;
                let answer = chunked(HEAD, BODIES[usize::from(!is_first)]);
                stream.write_all(answer.as_bytes()).await.unwrap();
                if !is_first {
                    continue;
                }
                drop(stream);
                match stop {
                    Stop::Lingers(time) => {
                        tokio::time::sleep(time).await;
                        return;
                    }
                    Stop::Returns(time) => {
                        drop(listener);
                        tokio::time::sleep(time).await;
                        listener = net.bind(raw).await.unwrap();
                    }
                }
            }
        });
    }
    (Bench { net, fleet }, runs)
}

// Guards against half of an answer that passes as whole because its service stops a little
// behind it, and against a second run of the call.
#[tokio::test(start_paused = true)]
async fn an_answer_of_a_service_that_stops_soon_behind_it_is_not_whole_and_runs_once() {
    let mut whole = Vec::new();
    for stop in [
        Stop::Lingers(Duration::ZERO),
        Stop::Lingers(Duration::from_millis(10)),
        Stop::Returns(Duration::from_millis(30)),
    ] {
        for plain_runners in [1, 2] {
            for is_keyed in [false, true] {
                let (bench, runs) = start_stopping(plain_runners, stop).await;
                let key = if is_keyed {
                    bench.issue_key().await
                } else {
                    String::new()
                };
                let case = format!("{stop:?}, {plain_runners} runners, key {is_keyed}");
                let (code, _, body) = bench.reserve(Method::POST, &key).await;
                let is_lost = body.is_none() || code.map(Code::class) == Some(Class::Unknown);
                if !is_lost {
                    whole.push(format!("{case}: {code:?}, {body:?}"));
                }
                if is_keyed {
                    let again = bench.reserve(Method::POST, &key).await;
                    if again.0 != Some(Code::KeyUnknown) {
                        whole.push(format!("{case}, again: {again:?}"));
                    }
                }
                tokio::time::sleep(Duration::from_secs(10)).await;
                let runs = runs.load(Ordering::Relaxed);
                if runs != 1 {
                    whole.push(format!("{case}: {runs} runs"));
                }
            }
        }
    }
    assert!(whole.is_empty(), "{}", whole.join("\n"));
}

#[tokio::test(start_paused = true)]
async fn an_idempotent_call_whose_service_stops_behind_half_is_cut_or_runs_elsewhere() {
    for plain_runners in [1, 2] {
        let stop = Stop::Lingers(Duration::ZERO);
        let (bench, runs) = start_stopping(plain_runners, stop).await;
        let mut request = Request::new(Full::default());
        *request.uri_mut() = "/services/orders/read".parse().unwrap();
        let client = Client::new(bench.net.clone(), bench.fleet.entries[0].address());
        let answer = client.send(request).await.unwrap();
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await.ok();
        let body = body.map(|body| body.to_bytes());
        let runs = runs.load(Ordering::Relaxed);
        let is_whole = status == 200 && body.is_some();
        assert!(
            !is_whole || body.as_deref() == Some(b"whole"),
            "{plain_runners} runners: {body:?}"
        );
        assert_eq!(
            runs,
            if is_whole { 2 } else { 1 },
            "{plain_runners} runners"
        );
    }
}

// Guards against ends that are held back while their service evidently serves on.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_sound_answer_in_chunks_follows_its_last_byte() {
    for (head, body) in [(STREAM, EVENTS), (HEAD, "whole")] {
        let bench = Bench::start(chunked(head, body), false).await;
        let begun_at = Instant::now();
        let got = bench.reserve(Method::POST, "").await;
        let took = begun_at.elapsed();
        assert_eq!(got, (None, false, Some(body.into())));
        assert!(took < MAX_END_DELAY, "{body:?}: {took:?}");
    }
}
