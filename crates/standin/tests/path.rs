//! Requests from the caller to the engine and back, over pipes on a paused
//! clock.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::{json, Value};

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge::wire::id::Version;
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::{Fleet, Plan};
use cranberryridge_standin::plain::{EVENTS, EVENT_BYTES_HEADER};

/// Starts a small deployment and waits until it is ready.
async fn fleet() -> (Memory, Fleet<Memory, Tokio>) {
    let net = Memory::default();
    let fleet = Fleet::start(net.clone(), Tokio, Plan::default())
        .await
        .unwrap();
    fleet.publish(Version::default(), fleet.services());
    tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready())
        .await
        .expect("fleet not ready");
    (net, fleet)
}

/// Sends a request to the first entry.
async fn fetch(
    net: &Memory,
    fleet: &Fleet<Memory, Tokio>,
    path: &str,
    body: &Value,
) -> Response<Bytes> {
    let client = Client::new(net.clone(), fleet.entries[0].address());
    client.fetch(post(path, body)).await.unwrap()
}

/// Returns a POST request with a JSON body.
fn post(path: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request.headers_mut().insert("x-tag", "t1".parse().unwrap());
    request
}

#[tokio::test(start_paused = true)]
async fn answers_a_completion_whole() {
    let (net, fleet) = fleet().await;
    let body = json!({ "model": "summaries", "prompt": "the prompt", "max_tokens": 5 });
    let answer = fetch(&net, &fleet, "/v1/completions", &body).await;
    assert_eq!(answer.status(), 200);
    let answer = serde_json::from_slice::<Value>(answer.body()).unwrap();
    assert_eq!(
        answer["choices"][0]["text"],
        expected_answer("the prompt", 5)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 5);
}

#[tokio::test(start_paused = true)]
async fn puts_usage_into_a_stream_only_when_asked() {
    let (net, fleet) = fleet().await;
    for asked in [false, true] {
        let mut body = json!({ "model": "summaries", "prompt": "p", "max_tokens": 3 });
        body["stream"] = json!(true);
        body["stream_options"] = json!({ "include_usage": asked });
        let answer = fetch(&net, &fleet, "/v1/completions", &body).await;
        let text = String::from_utf8(answer.body().to_vec()).unwrap();
        assert_eq!(text.contains("completion_tokens"), asked, "{text}");
    }
}

#[tokio::test(start_paused = true)]
async fn streams_a_completion() {
    let (net, fleet) = fleet().await;
    let body = json!({ "model": "summaries", "prompt": "p", "max_tokens": 3, "stream": true });
    let answer = fetch(&net, &fleet, "/v1/completions", &body).await;
    let text = String::from_utf8(answer.body().to_vec()).unwrap();
    assert_eq!(text.matches("data: ").count(), 4);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn runs_a_plain_call_once() {
    let (net, fleet) = fleet().await;
    let answer = fetch(
        &net,
        &fleet,
        "/services/orders/reserve",
        &json!({ "reel": 7 }),
    )
    .await;
    assert_eq!(answer.status(), 200);
    let answer = serde_json::from_slice::<Value>(answer.body()).unwrap();
    assert_eq!(answer["path"], "/reserve");
    assert_eq!(fleet.ledger.runs("t1"), 1);
}

#[tokio::test(start_paused = true)]
async fn frees_memory_when_the_caller_hangs_up() {
    let (net, fleet) = fleet().await;
    let body = json!({ "model": "summaries", "prompt": "p", "max_tokens": 500, "stream": true });
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let mut answer = client.send(post("/v1/completions", &body)).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(fleet.resident_count(), 1);
    drop(answer);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.resident_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn refuses_malformed_requests() {
    let (net, fleet) = fleet().await;
    let answer = fetch(&net, &fleet, "/v1/completions", &json!({ "prompt": "p" })).await;
    assert_eq!(answer.status(), 400);
    assert_eq!(answer.headers()["x-cranberryridge-code"], "1002");
    let answer = fetch(&net, &fleet, "/nowhere", &json!({})).await;
    assert_eq!(answer.headers()["x-cranberryridge-code"], "1001");
}

#[tokio::test(start_paused = true)]
async fn a_plain_stream_that_ends_with_its_connection_is_not_passed_on_as_complete() {
    let (net, fleet) = fleet().await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    for bytes in 0..=EVENTS.len() {
        let mut request = post("/services/orders/book", &json!({}));
        let headers = request.headers_mut();
        headers.insert(EVENT_BYTES_HEADER, bytes.into());
        let answer = client.send(request).await.unwrap();
        let body = answer.into_body().collect().await.ok();
        let body = body.map(|body| body.to_bytes());
        assert_eq!(body, None, "{bytes} bytes");
    }
}
