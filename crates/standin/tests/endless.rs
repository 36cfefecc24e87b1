//! Endpoints and services of the platform whose answers never end, behind sidecars.

mod peer;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::Instant;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::metrics::Metrics;
use cranberryridge::net::{memory::Memory, Net};
use cranberryridge::sidecar::orders::{self, LogOrder};
use cranberryridge::wire::id::Version;
use cranberryridge::wire::record::{Action, Order};
use cranberryridge_standin::engine::{self, Engine};
use cranberryridge_standin::fleet::{Fleet, HOSTS_PORT, LOG_PORT};
use cranberryridge_standin::flood::{endless_answers, run_cases, Answer, Flood};

use peer::{completion, pair_plan, post, Deployment};

/// Deadline of requests.
const DEADLINE: Duration = Duration::from_millis(3000);

/// Time within which a caller has the end of its answer: its deadline, and half a second.
const ANSWER_TIME: Duration = Duration::from_millis(3000 + 500);

/// Time after which the connection to the endpoint is closed.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Longest listing of an engine's requests, and 0.1 s.
const LIST_TIME: Duration = Duration::from_millis(1000 + 100);

/// Longest time for which the head of an answer may arrive, or a state be read, and 0.1 s.
const ORDER_TIME: Duration = Duration::from_millis(30_000 + 100);

/// Longest reading of the log: its long poll, the timeout, and 0.1 s.
const PAGE_TIME: Duration = Duration::from_millis(10_000 + 2000 + 100);

/// Most bytes of a page of the log, or of the host list.
const PAGE_BYTES: usize = 8 * 1024 * 1024;

/// Bytes that may be on their way between two hosts of the test network.
const PIPE_BYTES: usize = 512 * 1024;

/// Most bytes of a head, of an event or of an answer to the sidecar itself.
const PART_BYTES: usize = 256 * 1024;

/// Head of an answer, without the empty line.
const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// Starts a deployment whose requests have a deadline.
async fn start_deployment() -> (Memory, Deployment) {
    let net = Memory::default();
    let fleet = Fleet::start(net.clone(), Tokio, pair_plan()).await.unwrap();
    let mut services = fleet.services();
    for service in &mut services {
        service.deadline_ms = DEADLINE.as_millis() as u32;
    }
    fleet.publish(Version::default(), services);
    fleet.wait_ready().await;
    (net, fleet)
}

/// Puts an endpoint whose answers to some calls never end in front of a runner.
async fn flood_runner(
    net: &Memory,
    fleet: &Deployment,
    index: usize,
    answer: &Answer,
    trigger: &str,
    pause: Duration,
) -> Flood {
    let at = fleet.runner_address(index);
    let behind = SocketAddr::from(([127, 200, 0, index as u8 + 1], at.port()));
    // The servers of the log and the host list come first.
    fleet.servers[2 + index].kill();
    tokio::time::sleep(Duration::from_millis(10)).await;
    if let Some(engine) = fleet.engines.get(index) {
        let server = engine.serve(behind).await.unwrap();
        std::mem::forget(server);
    }
    let own = net.for_host(at.ip());
    let flood = Flood::start(&own, at, behind, answer.settings(trigger, pause));
    let flood = flood.await.unwrap();
    // The sidecar's endpoint is ready again after a poll.
    tokio::time::sleep(Duration::from_secs(3)).await;
    flood
}

/// Runs a future on a runtime with a paused clock.
fn block_on(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().unwrap();
    runtime.block_on(test);
}

/// Sends a request and reads its answer, of which the body is `None` if it broke off.
/// Asserts that the end comes in time.
async fn fetch_in_time(
    net: &Memory,
    fleet: &Deployment,
    call: Request<Full<Bytes>>,
    case: &str,
) -> Option<Response<Option<Bytes>>> {
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let began_at = Instant::now();
    let answer = async {
        let (head, body) = client.send(call).await.ok()?.into_parts();
        let body = body.collect().await.ok();
        Some(Response::from_parts(head, body.map(|body| body.to_bytes())))
    };
    let answer = tokio::time::timeout(Duration::from_secs(120), answer).await;
    let took = began_at.elapsed();
    assert!(took <= ANSWER_TIME, "{case}: answered after {took:?}");
    println!("{case}: {took:?}");
    answer.unwrap()
}

/// Asserts that a flood was met, cost little memory, and was ended.
async fn assert_ended(flood: &Flood, max_bytes: usize, case: &str) {
    tokio::time::sleep(CLOSE_TIME).await;
    assert!(flood.answer_count() > 0, "{case}: not called");
    assert_bounded(flood, max_bytes, case);
    assert_eq!(flood.open_count(), 0, "{case}: connection open");
}

/// Asserts that no connection of a flood took more bytes than these and what is on its
/// way, or twice as many if they came in chunks of a few bytes.
fn assert_bounded(flood: &Flood, max_bytes: usize, case: &str) {
    let framing = if case.starts_with("chunks") { 2 } else { 1 };
    let sent = flood.max_sent_bytes();
    assert!(
        sent <= framing * max_bytes + PIPE_BYTES,
        "{case}: {sent} bytes"
    );
}

/// Answers and streams of events without end.
fn endless_streams() -> Vec<Answer> {
    let head = format!("{HEAD}content-type: text/event-stream\r\n");
    let body = |rest: &str| format!("{head}\r\n{rest}");
    let event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    let streams = [
        ("event", body("data: "), "a"),
        ("fields", body(""), "data: a\n"),
        ("empty lines", body(""), "\n"),
        ("comments", body(""), ":\n\n"),
        ("events", body(""), event),
    ];
    let streams = streams.map(|(name, prefix, filler)| Answer {
        name,
        prefix,
        filler,
    });
    [
        endless_answers(HEAD),
        endless_answers(&head),
        streams.into(),
    ]
    .concat()
}

#[test]
fn a_prompt_without_end_is_bounded() {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(async move {
            let (net, fleet) = start_deployment().await;
            let flood = flood_runner(&net, &fleet, 0, &answer, "do_remote_decode", pause).await;
            let answer = fetch_in_time(&net, &fleet, completion("prompt", 20), &case).await;
            assert_ne!(
                answer.map(|answer| answer.status().as_u16()),
                Some(200),
                "{case}"
            );
            assert_ended(&flood, PART_BYTES, &case).await;
        })
    });
}

#[test]
fn a_stream_without_end_is_bounded() {
    run_cases(endless_streams(), |answer, pause, case| {
        block_on(async move {
            let (net, fleet) = start_deployment().await;
            let flood = flood_runner(&net, &fleet, 1, &answer, "do_remote_prefill", pause).await;
            let name = answer.name;
            fetch_in_time(&net, &fleet, completion("prompt", 20), &case).await;
            // Events are kept, so that the stream may be resumed.
            let max_bytes = if name == "events" {
                RUN_BYTES
            } else {
                PART_BYTES
            };
            assert_ended(&flood, max_bytes, &case).await;
        })
    });
}

/// Most bytes of events that a sidecar keeps for one answer.
const RUN_BYTES: usize = 8 * 1024 * 1024;

#[test]
fn a_list_without_end_is_bounded() {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(async move {
            let (net, fleet) = start_deployment().await;
            let flood = flood_runner(&net, &fleet, 1, &answer, "GET /requests", pause).await;
            tokio::time::sleep(Duration::from_secs(5)).await;
            assert!(flood.answer_count() > 0, "{case}: not called");
            assert_bounded(&flood, PART_BYTES, &case);
            let open = flood.longest_open();
            assert!(open <= LIST_TIME, "{case}: open for {open:?}");
        })
    });
}

#[test]
fn a_plain_answer_without_end_is_bounded() {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(async move {
            let (net, fleet) = start_deployment().await;
            let flood = flood_runner(&net, &fleet, 2, &answer, "POST /", pause).await;
            let call = post("/services/orders/reserve", &json!({ "number": 1 }));
            let answer = fetch_in_time(&net, &fleet, call, &case).await;
            let is_complete = answer.is_some_and(|a| a.status() == 200 && a.body().is_some());
            assert!(!is_complete, "{case}: complete");
            // The body is passed on, and ends within the time in which the sidecar reads on
            // without its entry.
            tokio::time::sleep(Duration::from_secs(30)).await;
            assert_ended(&flood, usize::MAX / 4, &case).await;
        })
    });
}

/// Runs the task that sends orders to an engine whose order interface does not end, and
/// asserts that it is bounded.
fn assert_orders_are_bounded(trigger: &'static str) {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(async move {
            let net = Memory::default();
            let engine = Engine::new(net.clone(), engine::Settings::default());
            let at = SocketAddr::from(([127, 0, 0, 1], 7100));
            let behind = SocketAddr::from(([127, 0, 0, 2], 7100));
            let _server = engine.serve(behind).await.unwrap();
            let flood = Flood::start(&net, at, behind, answer.settings(trigger, pause));
            let flood = flood.await.unwrap();
            let (sender, receiver) = mpsc::unbounded_channel();
            let client = Client::new(net.clone(), at);
            let logger = cranberryridge::logger::silent();
            tokio::spawn(orders::run(client, receiver, Metrics::default(), logger));
            let order = Order {
                sidecar: "s".into(),
                endpoint: 0,
                action: Action::Load,
                target: "adapter".into(),
            };
            sender.send(LogOrder { offset: 1, order }).unwrap();
            tokio::time::sleep(Duration::from_secs(20)).await;
            assert!(flood.answer_count() > 0, "{case}: not called");
            assert_bounded(&flood, PART_BYTES, &case);
            let open = flood.longest_open();
            assert!(open <= ORDER_TIME, "{case}: open for {open:?}");
        })
    });
}

#[test]
fn a_state_without_end_is_bounded() {
    assert_orders_are_bounded("GET /orders");
}

#[test]
fn an_answer_to_an_order_without_end_is_bounded() {
    assert_orders_are_bounded("POST /orders");
}

/// Puts a service of the platform behind one whose answers do not end, and asserts that
/// they are bounded and requests served.
async fn assert_platform_is_bounded(
    server: usize,
    port: u16,
    answer: Answer,
    pause: Duration,
    case: String,
) {
    let (net, fleet) = start_deployment().await;
    let at = fleet.plan.address(1, port);
    fleet.servers[server].kill();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let flood = Flood::start(&net, at, at, answer.settings("HTTP/1.1", pause));
    let flood = flood.await.unwrap();
    // A page that comes without pauses is read again and again.
    let seconds = if pause.is_zero() { 1 } else { 15 };
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    assert!(flood.answer_count() > 0, "{case}: not called");
    assert_bounded(&flood, PAGE_BYTES, &case);
    let open = flood.longest_open();
    assert!(open <= PAGE_TIME, "{case}: open for {open:?}");
    let answer = fetch_in_time(&net, &fleet, completion("prompt", 20), &case).await;
    assert_eq!(
        answer.map(|answer| answer.status().as_u16()),
        Some(200),
        "{case}"
    );
}

#[test]
fn a_page_of_the_log_without_end_is_bounded() {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(assert_platform_is_bounded(0, LOG_PORT, answer, pause, case))
    });
}

#[test]
fn a_host_list_without_end_is_bounded() {
    run_cases(endless_answers(HEAD), |answer, pause, case| {
        block_on(assert_platform_is_bounded(
            1, HOSTS_PORT, answer, pause, case,
        ))
    });
}
