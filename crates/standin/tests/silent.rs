//! Connections that break or go silent during answers.

mod peer;

use std::net::IpAddr;
use std::time::Duration;

use http_body_util::BodyExt;

use cranberryridge::client::Client;
use cranberryridge::entry::link::Link;
use cranberryridge::net::memory::Memory;
use cranberryridge::wire::message::Up;
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::Plan;

use peer::{
    assert_completes, completion, hold, pair_plan, start_fleet, text, wait_until, with_timeout,
    Deployment,
};

/// Length of an answer that takes seconds.
const ANSWER_TOKENS: u64 = 200;

/// Streams an answer, applies a fault to the connections to the sidecars after
/// its first event, and returns the complete answer.
async fn answer_during_fault(
    net: &Memory,
    fleet: &Deployment,
    prompt: &str,
    apply_fault: impl Fn(&Memory, IpAddr, IpAddr) -> usize,
) -> Vec<u8> {
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let mut answer = with_timeout(client.send(completion(prompt, ANSWER_TOKENS)))
        .await
        .unwrap();
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    let mut whole = first.into_data().unwrap().to_vec();
    for sidecar in &fleet.sidecars {
        let entry = fleet.entries[0].address().ip();
        assert_eq!(apply_fault(net, entry, sidecar.address().ip()), 1);
    }
    let rest = with_timeout(answer.into_body().collect()).await.unwrap();
    whole.extend(rest.to_bytes());
    whole
}

/// Asserts that an answer is complete and came from a single run.
fn assert_single_run(fleet: &Deployment, prompt: &str, answer: &[u8]) {
    assert_eq!(text(answer), expected_answer(prompt, ANSWER_TOKENS));
    assert!(answer.ends_with(b"data: [DONE]\n\n"));
    let metrics = fleet.sidecars[1].metrics();
    assert_eq!(metrics.get("stream.resumed"), 1);
    assert_eq!(metrics.get("decode.abandoned"), 0);
    let read = (prompt.len().div_ceil(4)) as u64;
    assert_eq!(fleet.ledger.tokens_read(), read);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_replaced_and_its_answer_goes_on() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let answer = answer_during_fault(&net, &fleet, "silent", Memory::silence).await;
    assert_single_run(&fleet, "silent", &answer);
    let metrics = fleet.entries[0].metrics();
    assert!(metrics.get("link.silent") >= 1);
    wait_until(Duration::from_secs(4), "memory free", || {
        fleet.resident_count() == 0
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_broken_connection_is_replaced_and_its_answer_goes_on() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let answer = answer_during_fault(&net, &fleet, "broken", Memory::reset).await;
    assert_single_run(&fleet, "broken", &answer);
}

#[tokio::test(start_paused = true)]
async fn several_silences_in_one_answer_lose_nothing() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let entry = fleet.entries[0].address().ip();
    let sidecar = fleet.sidecars[1].address().ip();
    let other = net.clone();
    let faults = tokio::spawn(async move {
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(2500)).await;
            other.silence(entry, sidecar);
        }
    });
    let client = Client::new(net.clone(), fleet.entries[0].address());
    assert_completes(&client, "again", 450).await;
    faults.await.unwrap();
    assert!(fleet.sidecars[1].metrics().get("stream.resumed") >= 2);
}

#[tokio::test(start_paused = true)]
async fn requests_on_a_silent_connection_run_elsewhere() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    let entry = fleet.entries[0].address();
    // One of the two prefill runners and one of the two decode runners.
    for index in [0, 2] {
        let sidecar = fleet.sidecars[index].address().ip();
        assert_eq!(net.silence(entry.ip(), sidecar), 1);
    }
    let requests = (0..8).map(|number| {
        let client = Client::new(net.clone(), entry);
        tokio::spawn(async move {
            let prompt = format!("late {number}");
            let answer = client.send(completion(&prompt, 9)).await.unwrap();
            let whole = answer.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(text(&whole), expected_answer(&prompt, 9));
        })
    });
    for request in requests.collect::<Vec<_>>() {
        with_timeout(request).await.unwrap();
    }
    assert!(fleet.entries[0].metrics().get("retry.endpoint_failed") >= 1);
}

#[tokio::test(start_paused = true)]
async fn opening_a_stream_takes_bounded_time() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let snapshot = fleet.entries[0].shared().snapshot.load_full();
    let link = snapshot.links[&fleet.sidecars[1].address()].clone();
    let entry = fleet.entries[0].address().ip();
    net.silence(entry, fleet.sidecars[1].address().ip());
    let first: Up = hold(1);
    let opened = tokio::time::timeout(Duration::from_secs(4), Link::open(&link, &first)).await;
    assert!(opened.expect("no end").is_err());
}
