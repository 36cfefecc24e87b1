//! Release of engine memory after the caller or the entry of a request has
//! gone.

mod peer;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;

use cranberryridge::client::Client;
use cranberryridge::sidecar::MAX_RECLAIM_TIME;
use cranberryridge::wire::message::{Down, Ticket};

use peer::{
    completion, connect_http2, hold, pair_plan, prefill, receive, start_fleet, wait_until,
    with_timeout, Deployment, Peer,
};

/// Limit for the time until memory is free if the entry is up and its caller
/// hangs up.
const RELEASE_LIMIT: Duration = Duration::from_millis(300);

/// Size of a prompt that takes seconds to read.
const LONG_PROMPT_BYTES: usize = 300_000;

/// Returns the number of requests queued at all sidecars.
fn queued_requests(fleet: &Deployment) -> u32 {
    let snapshot = fleet.entries[0].shared().snapshot.load();
    let loads = snapshot.view.endpoints.values();
    loads.map(|endpoint| endpoint.load.queued).sum()
}

#[tokio::test(start_paused = true)]
async fn a_caller_gone_before_the_head_frees_its_memory() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let address = fleet.entries[0].address();
    let client = Client::new(net.clone(), address);
    let waiting = tokio::spawn(async move {
        let request = completion(&"x".repeat(LONG_PROMPT_BYTES), 50);
        client.send(request).await.map(drop)
    });
    wait_until(Duration::from_secs(5), "prefill begun", || {
        fleet.resident_count() > 0
    })
    .await;
    waiting.abort();
    wait_until(RELEASE_LIMIT, "memory free", || fleet.resident_count() == 0).await;
    assert_eq!(fleet.ledger.tokens_read(), 0);

    let mut caller = connect_http2(&net, address).await;
    let waiting = tokio::spawn(async move {
        let request = completion(&"y".repeat(LONG_PROMPT_BYTES), 50);
        caller.send_request(request).await.map(drop)
    });
    wait_until(Duration::from_secs(5), "prefill begun", || {
        fleet.resident_count() > 0
    })
    .await;
    waiting.abort();
    wait_until(RELEASE_LIMIT, "memory free", || fleet.resident_count() == 0).await;
    assert_eq!(fleet.ledger.tokens_read(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_caller_gone_in_the_queue_never_runs() {
    let mut plan = pair_plan();
    plan.engine.pages = 1;
    let (net, fleet) = start_fleet(plan).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let first = client.send(completion("first", 200)).await.unwrap();
    wait_until(RELEASE_LIMIT, "first runs", || fleet.resident_count() > 0).await;

    let second = tokio::spawn(async move { client.send(completion("second", 9)).await.map(drop) });
    wait_until(Duration::from_secs(1), "second queued", || {
        queued_requests(&fleet) == 1
    })
    .await;
    second.abort();
    wait_until(Duration::from_secs(1), "queue empty", || {
        queued_requests(&fleet) == 0
    })
    .await;
    let whole = with_timeout(first.into_body().collect())
        .await
        .unwrap()
        .to_bytes();
    assert_eq!(
        peer::text(&whole),
        cranberryridge_standin::engine::expected_answer("first", 200)
    );
    for _ in 0..500 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(fleet.engines[1].resident_ids(), Vec::<String>::new());
    }
    assert_eq!(fleet.resident_count(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_caller_gone_mid_stream_frees_its_memory() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let address = fleet.entries[0].address();
    let client = Client::new(net.clone(), address);
    let mut answer = client.send(completion("one", 500)).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    drop(answer);
    wait_until(RELEASE_LIMIT, "memory free", || fleet.resident_count() == 0).await;

    let mut caller = connect_http2(&net, address).await;
    let mut answer = caller.send_request(completion("two", 500)).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(fleet.resident_count(), 1);
    drop(answer);
    wait_until(RELEASE_LIMIT, "memory free", || fleet.resident_count() == 0).await;
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_reads_nothing_is_gone_after_a_while() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let mut caller = hyper::client::conn::http2::Builder::new(hyper_util::rt::TokioExecutor::new())
        .initial_stream_window_size(1024)
        .handshake(hyper_util::rt::TokioIo::new(
            cranberryridge::net::Net::connect(&net, fleet.entries[0].address())
                .await
                .unwrap(),
        ))
        .await
        .map(|(sender, connection)| {
            tokio::spawn(connection);
            sender
        })
        .unwrap();
    let answer = caller.send_request(completion("slow", 900)).await.unwrap();
    let flights = || *fleet.entries[0].shared().in_flight.borrow();
    let limit = cranberryridge::reply::STALL_TIMEOUT + Duration::from_secs(60);
    wait_until(limit, "request over", || flights() == 0).await;
    assert_eq!(fleet.resident_count(), 0);
    drop(answer);
}

/// Reads a prompt at the prefill sidecar as an entry does.
async fn read_prompt(entry: &Peer, sequence: u64) -> (cranberryridge::stream::Sender, Ticket) {
    let (sender, mut receiver) = entry.open(&prefill(sequence, "prompt")).await;
    assert!(matches!(receive(&mut receiver).await, Down::Granted(_)));
    match receive(&mut receiver).await {
        // The result is kept only while the receiver lives.
        Down::Prefilled(ticket) => {
            std::mem::forget(receiver);
            (sender, ticket)
        }
        other => panic!("{other:?}"),
    }
}

/// What an entry has in flight when it crashes or stops.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Reserved decode memory.
    Held,
    /// A running prefill.
    Prefilling,
    /// A prefill's result that waits for its transfer.
    Prefilled,
    /// A running decode.
    Decoding,
}

/// How an entry fails.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// Its connections break.
    Dies,
    /// It stops, but its connections stay open.
    Pauses,
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_is_gone_frees_all_its_memory() {
    let stages = [
        Stage::Held,
        Stage::Prefilling,
        Stage::Prefilled,
        Stage::Decoding,
    ];
    for stage in stages {
        for departure in [Departure::Dies, Departure::Pauses] {
            check_release(stage, departure).await;
        }
    }
}

/// Checks that engine memory is freed if an entry fails at a stage.
async fn check_release(stage: Stage, departure: Departure) {
    let mut plan = pair_plan();
    plan.engine.result_lifetime = Duration::from_secs(2);
    let (net, fleet) = start_fleet(plan).await;
    let prefiller = Peer::greet(&net, fleet.sidecars[0].address()).await;
    let decoder = Peer::greet(&net, fleet.sidecars[1].address()).await;
    let mut streams = Vec::new();
    match stage {
        Stage::Held => {
            let (sender, mut receiver) = decoder.open(&hold(1)).await;
            assert!(matches!(receive(&mut receiver).await, Down::Granted(_)));
            streams.push((sender, receiver));
        }
        Stage::Prefilling => {
            streams.push(
                prefiller
                    .open(&prefill(1, &"x".repeat(LONG_PROMPT_BYTES)))
                    .await,
            );
            wait_until(Duration::from_secs(1), "prefill begun", || {
                fleet.resident_count() == 1
            })
            .await;
        }
        Stage::Prefilled => {
            let (sender, _) = read_prompt(&prefiller, 1).await;
            std::mem::forget(sender);
            assert_eq!(fleet.resident_count(), 1);
        }
        Stage::Decoding => {
            let (mut sender, mut receiver) = decoder.open(&hold(1)).await;
            assert!(matches!(receive(&mut receiver).await, Down::Granted(_)));
            let (mut kept, ticket) = read_prompt(&prefiller, 1).await;
            sender.send(&peer::decode("prompt", ticket)).await.unwrap();
            assert!(matches!(receive(&mut receiver).await, Down::Token(_)));
            kept.release();
            assert_eq!(fleet.resident_count(), 1);
            streams.push((sender, receiver));
        }
    }
    match departure {
        Departure::Dies => {
            drop(prefiller);
            drop(decoder);
        }
        Departure::Pauses => {
            prefiller.pause();
            decoder.pause();
            std::mem::forget((prefiller, decoder));
        }
    }
    let free = || {
        let loads = fleet.entries[0].shared().snapshot.load();
        let running = loads.view.endpoints.values();
        fleet.resident_count() == 0
            && running.map(|endpoint| endpoint.load.running).sum::<u32>() == 0
    };
    wait_until(
        MAX_RECLAIM_TIME,
        &format!("{stage:?} free when the entry {departure:?}"),
        free,
    )
    .await;
    drop(streams);
}

#[tokio::test(start_paused = true)]
async fn a_result_that_is_given_up_is_freed_at_once() {
    let mut plan = pair_plan();
    plan.engine.result_lifetime = Duration::from_secs(60);
    let (net, fleet) = start_fleet(plan).await;
    let entry = Peer::greet(&net, fleet.sidecars[0].address()).await;
    let (sender, mut receiver) = entry.open(&prefill(1, "prompt")).await;
    assert!(matches!(receive(&mut receiver).await, Down::Granted(_)));
    assert!(matches!(receive(&mut receiver).await, Down::Prefilled(_)));
    assert_eq!(fleet.resident_count(), 1);
    drop((sender, receiver));
    wait_until(RELEASE_LIMIT, "result freed", || {
        fleet.resident_count() == 0
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_request_that_nobody_claims_is_cancelled() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let engine = Client::new(net.clone(), fleet.runner_address(1));
    let read = peer::post(
        "/v1/completions",
        &serde_json::json!({ "prompt": "p", "kv_transfer_params": { "do_remote_decode": true } }),
    );
    let prefill = Client::new(net.clone(), fleet.runner_address(0));
    let read = prefill.fetch(read).await.unwrap();
    let params = serde_json::from_slice::<serde_json::Value>(read.body()).unwrap();
    let mut body = serde_json::json!({ "prompt": "p", "max_tokens": 5000 });
    body["kv_transfer_params"] = params["kv_transfer_params"].clone();
    let mut answer = engine
        .send(peer::post("/v1/completions", &body))
        .await
        .unwrap();
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    assert_ne!(first.into_data().unwrap(), Bytes::new());
    assert_eq!(fleet.resident_count(), 1);
    // The reader stays, so that only the sidecar's poll can end the request.
    wait_until(Duration::from_secs(3), "stray cancelled", || {
        fleet.resident_count() == 0
    })
    .await;
    assert_eq!(fleet.sidecars[1].metrics().get("engine.unclaimed"), 1);
}
