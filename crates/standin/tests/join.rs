//! Engines behind sidecars whose answer is no stream, or has no event.

mod peer;

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;

use cranberryridge::client::Client;
use cranberryridge::net::{memory::Memory, Net};
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::Plan;
use cranberryridge_standin::script::Script;

use peer::{completion, pair_plan, start_fleet, text, with_timeout, Deployment};

/// Indexes of the decode engines.
const DECODERS: [usize; 2] = [1, 2];

/// Number of servers that come before the runners' own: log and host list.
const PLATFORM_SERVERS: usize = 2;

/// Puts a script in front of an engine.
async fn script_engine(net: &Memory, fleet: &Deployment, index: usize, script: &Script) {
    let at = fleet.runner_address(index);
    let behind = SocketAddr::from(([127, 200, 0, index as u8 + 1], at.port()));
    fleet.servers[PLATFORM_SERVERS + index].kill();
    tokio::time::sleep(Duration::from_millis(10)).await;
    let server = fleet.engines[index].serve(behind).await.unwrap();
    // The server stops when it is dropped.
    std::mem::forget(server);
    let own = net.for_host(at.ip());
    script.start(&own, at, behind).await.unwrap();
}

/// Returns answers that are no stream, or have no event.
fn useless_answers() -> [(&'static str, String); 5] {
    let event = "data: {\"choices\":[{\"text\":\"out of order\"}]}\n\n";
    let answer = |media: &str, body: &str| {
        let length = body.len();
        format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {media}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    [
        (
            "text",
            answer("text/plain", &format!("{event}data: [DONE]\n\n")),
        ),
        ("document", answer("application/json", "{\"choices\":[]}")),
        ("no event", answer("text/event-stream", "data: [DONE]\n\n")),
        (
            "comment",
            answer("text/event-stream", ": a\n\ndata: [DONE]\n\n"),
        ),
        ("length 0", answer("text/event-stream", "")),
    ]
}

// What an engine sends in place of a stream must not reach the caller, nor end its answer.
#[tokio::test(start_paused = true)]
async fn an_engine_whose_answer_is_no_stream_is_replaced() {
    let mut wrong = Vec::new();
    for (name, answer) in useless_answers() {
        let plan = Plan {
            decode_runners: 2,
            ..pair_plan()
        };
        let (net, fleet) = start_fleet(plan).await;
        let script = Script::new("do_remote_prefill", [answer.into()]);
        for index in DECODERS {
            script_engine(&net, &fleet, index, &script).await;
        }
        // The sidecars' endpoints are ready again after a poll.
        tokio::time::sleep(Duration::from_secs(3)).await;
        let client = Client::new(net.clone(), fleet.entries[0].address());
        let answer = with_timeout(client.send(completion("prompt", 20))).await;
        let answer = answer.unwrap();
        let status = answer.status();
        let body = with_timeout(answer.into_body().collect()).await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        assert_eq!(script.remaining(), 0, "{name}");
        if status != 200 || text(&body) != expected_answer("prompt", 20) {
            wrong.push(format!("{name}: {status}, {body:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
