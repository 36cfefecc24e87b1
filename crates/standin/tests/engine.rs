//! Engines that crash, restart, stall, or still run requests of an earlier
//! sidecar.

mod peer;

use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::json;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::wire::id::Version;
use cranberryridge_standin::engine::Faults;
use cranberryridge_standin::fleet::Plan;

use peer::{
    assert_completes, completion, pair_plan, post, start_fleet, wait_until, with_timeout,
    Deployment,
};

/// Limit for the time until every entry knows of a crash.
const CRASH_NOTICE_LIMIT: Duration = Duration::from_millis(300);

/// Number of servers that come before the runners' own: log and host list.
const PLATFORM_SERVERS: usize = 2;

/// Returns the number of endpoints that the first entry sees as ready.
fn ready_endpoints(fleet: &Deployment) -> usize {
    let snapshot = fleet.entries[0].shared().snapshot.load();
    let keys = snapshot.view.endpoints.keys();
    keys.filter(|key| snapshot.view.is_open(*key)).count()
}

#[tokio::test(start_paused = true)]
async fn a_crash_is_known_at_once_and_an_engine_that_is_back_serves() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let mut answer = with_timeout(client.send(completion("crash", 500)))
        .await
        .unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    // The sidecar polls its engine at intervals. In between, only the broken
    // request can reveal the crash.
    let server = &fleet.servers[PLATFORM_SERVERS + 1];
    server.kill();
    wait_until(CRASH_NOTICE_LIMIT, "endpoint closed", || {
        ready_endpoints(&fleet) == 2
    })
    .await;
    let rest = tokio::time::timeout(CRASH_NOTICE_LIMIT, async {
        let mut rest = Vec::new();
        while let Some(Ok(frame)) = answer.body_mut().frame().await {
            rest.extend(frame.into_data().unwrap());
        }
        String::from_utf8(rest).unwrap()
    });
    let rest = rest.await.expect("the caller waits");
    assert!(rest.contains("\"code\":2004"), "{rest}");

    fleet.engines[1].restart();
    let _server = fleet.engines[1].serve(fleet.runner_address(1)).await;
    wait_until(Duration::from_secs(2), "endpoint open", || {
        ready_endpoints(&fleet) == 3
    })
    .await;
    assert_completes(&client, "back", 5).await;
}

#[tokio::test(start_paused = true)]
async fn a_stalled_transfer_is_cut_and_tried_again() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    fleet.engines[0].set_faults(Faults { stall: true });
    let client = Client::new(net.clone(), fleet.entries[0].address());
    for number in 0..4 {
        let prompt = format!("stalled {number}");
        assert_completes(&client, &prompt, 5).await;
    }
    let entries = fleet.entries.iter();
    let retries = entries.map(|entry| entry.metrics().get("retry.transfer_failed"));
    assert!(retries.sum::<u64>() >= 1);
    wait_until(Duration::from_secs(3), "memory free", || {
        fleet.resident_count() == 0
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_fresh_sidecar_clears_its_engine_before_it_admits() {
    let (net, mut fleet) = start_fleet(pair_plan()).await;
    net.kill(fleet.sidecar_address(1).ip());
    wait_until(Duration::from_secs(3), "sidecar lost", || {
        ready_endpoints(&fleet) == 2
    })
    .await;

    let prefill = Client::new(net.clone(), fleet.runner_address(0));
    let body = json!({ "prompt": "p", "kv_transfer_params": { "do_remote_decode": true } });
    let read = prefill.fetch(post("/v1/completions", &body)).await.unwrap();
    let read = serde_json::from_slice::<serde_json::Value>(read.body()).unwrap();
    let mut body = json!({ "prompt": "p", "max_tokens": 5000 });
    body["kv_transfer_params"] = read["kv_transfer_params"].clone();
    let engine = Client::new(net.clone(), fleet.runner_address(1));
    let mut stray = engine.send(post("/v1/completions", &body)).await.unwrap();
    stray.body_mut().frame().await.unwrap().unwrap();
    assert_eq!(fleet.engines[1].resident_ids().len(), 1);

    fleet.restart_sidecar(&net, &Tokio, 1, 1).await.unwrap();
    wait_until(Duration::from_secs(4), "sidecar ready", || {
        let ready = ready_endpoints(&fleet) == 3;
        assert!(!ready || fleet.engines[1].resident_ids().is_empty());
        ready
    })
    .await;
    // Up to two polls count the stray request before it has ended.
    assert!(fleet.sidecars[1].metrics().get("engine.unclaimed") >= 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_an_engine_says_so() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    // Refuse late requests, so that the crash shows in the answer. A service
    // that serves late requests would wait.
    fleet.publish(Version(1), fleet.services());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let poison = cranberryridge_standin::engine::CRASH_MARKER;
    let answer = with_timeout(client.fetch(completion(poison, 5)))
        .await
        .unwrap();
    assert_eq!(answer.headers()["x-cranberryridge-code"], "2004");
    assert_eq!(fleet.resident_count(), 0);
}
