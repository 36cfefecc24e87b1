//! Graceful shutdowns under load, on a paused clock.

mod peer;

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use tokio::io::AsyncReadExt;

use cranberryridge::client::Client;
use cranberryridge::net::Net;
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::Plan;

use peer::{
    assert_completes, completion, connect_http2, start_fleet, text, wait_until, with_timeout,
};

/// Length of an answer that takes longer than the grace period.
const ANSWER_TOKENS: u64 = 300;

/// Grace period of the default settings.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Returns a request for an entry's readiness.
fn readiness_request() -> Request<Full<Bytes>> {
    Request::get("/readyz").body(Full::default()).unwrap()
}

#[tokio::test(start_paused = true)]
async fn an_entry_turns_unready_then_closes_then_ends_with_its_last_stream() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    let entry = fleet.entries[0].clone();
    let address = entry.address();
    let client = Client::new(net.clone(), address);
    let answers = (0..4).map(|number| {
        let (net, client) = (net.clone(), client.clone());
        tokio::spawn(async move {
            let prompt = format!("drain {number}");
            let request = completion(&prompt, ANSWER_TOKENS);
            let answer = if number % 2 == 0 {
                client.send(request).await.unwrap()
            } else {
                connect_http2(&net, address)
                    .await
                    .send_request(request)
                    .await
                    .unwrap()
            };
            let whole = answer.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(text(&whole), expected_answer(&prompt, ANSWER_TOKENS));
        })
    });
    let answers = answers.collect::<Vec<_>>();
    let flights = || *entry.shared().in_flight.borrow();
    wait_until(Duration::from_secs(1), "load runs", || flights() == 4).await;

    let drained = tokio::spawn({
        let entry = entry.clone();
        async move { entry.drain().await }
    });
    tokio::time::sleep(Duration::from_millis(1)).await;
    let ready = with_timeout(client.fetch(readiness_request()))
        .await
        .unwrap();
    assert_eq!(ready.status(), 503);
    assert_eq!(ready.version(), Version::HTTP_11);
    assert_eq!(ready.headers()["connection"], "close");

    // The load balancer may still send requests in the grace period.
    tokio::time::sleep(GRACE_PERIOD / 2).await;
    assert_completes(&client, "late", 5).await;

    tokio::time::sleep(GRACE_PERIOD).await;
    assert!(net.connect(address).await.is_err());
    assert!(!drained.is_finished());
    assert!(with_timeout(drained).await.unwrap());
    assert_eq!(entry.shared().connections.count(), 0);
    for answer in answers {
        with_timeout(answer).await.unwrap();
    }
}

// Guards against connections that stay open beyond the grace period as they were accepted in it.
#[tokio::test(start_paused = true)]
async fn a_connection_accepted_while_the_entry_drains_closes_with_the_others() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    let entry = fleet.entries[0].clone();
    let address = entry.address();
    let began = tokio::time::Instant::now();
    let drained = tokio::spawn(async move { entry.drain().await });
    tokio::time::sleep(GRACE_PERIOD * 3 / 4).await;
    let mut idle = net.connect(address).await.unwrap();
    let mut rest = Vec::new();
    idle.read_to_end(&mut rest).await.unwrap();
    assert!(with_timeout(drained).await.unwrap());
    let took = began.elapsed();
    assert!(took < GRACE_PERIOD + Duration::from_millis(50), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn an_upload_that_began_before_the_drain_is_answered() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    let entry = fleet.entries[0].clone();
    let mut stream = net.connect(entry.address()).await.unwrap();
    let body = r#"{"model":"summaries","prompt":"slow","max_tokens":2}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    stream.write_all(head.as_bytes()).await.unwrap();
    let drained = tokio::spawn({
        let (entry, net) = (entry.clone(), net.clone());
        async move {
            let whole = entry.drain().await;
            // The process ends. What it wrote still arrives.
            tokio::time::sleep(Duration::from_millis(1)).await;
            net.kill(entry.address().ip());
            whole
        }
    });
    tokio::time::sleep(GRACE_PERIOD * 2).await;
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut answer = vec![0; 12];
    with_timeout(stream.read_exact(&mut answer)).await.unwrap();
    assert_eq!(answer, b"HTTP/1.1 200");
    drop(stream);
    assert!(with_timeout(drained).await.unwrap());
}

#[tokio::test(start_paused = true)]
async fn a_sidecar_tells_entries_ahead_of_the_host_list_and_ends_with_its_last_token() {
    let (net, fleet) = start_fleet(Plan::default()).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let answers = (0..8).map(|number| {
        let client = client.clone();
        tokio::spawn(async move {
            let prompt = format!("drain {number}");
            let answer = client
                .send(completion(&prompt, ANSWER_TOKENS))
                .await
                .unwrap();
            let whole = answer.into_body().collect().await.unwrap().to_bytes();
            assert_eq!(text(&whole), expected_answer(&prompt, ANSWER_TOKENS));
        })
    });
    let answers = answers.collect::<Vec<_>>();
    // The first decode runner.
    let engine = &fleet.engines[2];
    wait_until(Duration::from_secs(2), "it decodes", || {
        !engine.resident_ids().is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = engine.resident_ids();

    let sidecar = fleet.sidecars[2].clone();
    let drained = tokio::spawn(async move { sidecar.drain().await });
    let noticed = || {
        fleet.entries.iter().all(|entry| {
            let snapshot = entry.shared().snapshot.load();
            let sidecars = snapshot.view.sidecars.values();
            sidecars.filter(|sidecar| sidecar.draining).count() == 1
        })
    };
    wait_until(Duration::from_millis(100), "notice", noticed).await;
    for number in 0..8 {
        let prompt = format!("after {number}");
        assert_completes(&client, &prompt, 5).await;
        let new = engine.resident_ids();
        assert!(new.iter().all(|id| before.contains(id)), "{new:?}");
    }
    assert!(with_timeout(drained).await.unwrap());
    // The process ends after the drain.
    net.kill(fleet.sidecar_address(2).ip());
    for answer in answers {
        with_timeout(answer).await.unwrap();
    }
    assert_eq!(fleet.entries[0].metrics().get("request.resumed"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_sidecar_that_drains_waits_for_an_entry_that_lost_its_connection() {
    let (net, fleet) = start_fleet(peer::pair_plan()).await;
    let client = Client::new(net.clone(), fleet.entries[0].address());
    let mut answer = with_timeout(client.send(completion("rest", 100)))
        .await
        .unwrap();
    let first = answer.body_mut().frame().await.unwrap().unwrap();
    let mut whole = first.into_data().unwrap().to_vec();
    // The answer is nearly complete, so that the engine ends before the entry
    // notices the silent connection.
    tokio::time::sleep(Duration::from_millis(1800)).await;
    let entry = fleet.entries[0].address().ip();
    assert_eq!(net.silence(entry, fleet.sidecar_address(1).ip()), 1);
    let drained = tokio::spawn({
        let (sidecar, net) = (fleet.sidecars[1].clone(), net.clone());
        async move {
            let whole = sidecar.drain().await;
            net.kill(sidecar.address().ip());
            whole
        }
    });
    let rest = with_timeout(answer.into_body().collect()).await.unwrap();
    whole.extend(rest.to_bytes());
    assert_eq!(text(&whole), expected_answer("rest", 100));
    assert_eq!(fleet.sidecars[1].metrics().get("stream.resumed"), 1);
    assert!(with_timeout(drained).await.unwrap());
}

/// An entry that reads late learns at once that a sidecar drains and that it closes.
#[tokio::test(start_paused = true)]
async fn calls_sent_while_a_sidecar_closes_run_elsewhere() {
    for pause in [0, 1, 5, 20, 50, 100] {
        let (net, fleet) = start_fleet(Plan::default()).await;
        let entry = fleet.entries[0].address();
        let sidecar = fleet.sidecars.last().unwrap().clone();
        let drained = tokio::spawn(async move { sidecar.drain().await });
        net.freeze(entry.ip());
        let calls = (0..40).map(|number| {
            let client = Client::new(net.clone(), entry);
            let call = peer::post("/services/orders/book", &number.into());
            tokio::spawn(async move { client.fetch(call).await.unwrap() })
        });
        let calls = calls.collect::<Vec<_>>();
        tokio::time::sleep(Duration::from_millis(pause)).await;
        net.thaw(entry.ip());
        for call in calls {
            let answer = with_timeout(call).await.unwrap();
            assert_eq!(answer.status(), 200, "{pause} ms: {:?}", answer.body());
        }
        assert!(with_timeout(drained).await.unwrap());
    }
}

/// Guards against an entry whose drain times out with open requests and tells their callers
/// nothing.
#[tokio::test(start_paused = true)]
async fn an_entry_whose_drain_times_out_answers_each_open_request() {
    let plan = Plan {
        plain_call_time: Duration::from_secs(90),
        ..peer::pair_plan()
    };
    let (net, fleet) = start_fleet(plan).await;
    let mut services = fleet.services();
    for service in &mut services {
        service.deadline_ms = 100_000;
    }
    fleet.publish(Default::default(), services);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let entry = fleet.entries[0].clone();
    let address = entry.address();
    let order = || peer::post("/services/orders/book", &1.into());
    let client = Client::new(net.clone(), address);
    let call = tokio::spawn(async move { client.fetch(order()).await });
    let mut http2 = connect_http2(&net, address).await;
    let http2_call = tokio::spawn(async move { http2.send_request(order()).await });
    let client = Client::new(net.clone(), address);
    let stream = with_timeout(client.send(completion("long", 3000)))
        .await
        .unwrap();
    let in_flight = || *entry.shared().in_flight.borrow();
    wait_until(Duration::from_secs(1), "load runs", || in_flight() == 3).await;
    let drained = tokio::spawn({
        let (entry, net) = (entry.clone(), net.clone());
        async move {
            let whole = entry.drain().await;
            // The process ends. What it wrote still arrives.
            tokio::time::sleep(Duration::from_millis(1)).await;
            net.kill(address.ip());
            whole
        }
    });
    assert!(with_timeout(stream.into_body().collect()).await.is_err());
    let answer = with_timeout(call).await.unwrap().expect("an answer");
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(
        answer.headers()["x-cranberryridge-class"],
        "unknown outcome"
    );
    let answer = with_timeout(http2_call).await.unwrap().expect("an answer");
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert!(!with_timeout(drained).await.unwrap());
}

/// Guards against an entry that is told twice to stop, and tells callers nothing or calls a
/// request not run that runs.
#[tokio::test(start_paused = true)]
async fn an_entry_that_stops_at_once_answers_each_open_request() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let plan = Plan {
        plain_call_time: Duration::from_secs(5),
        ..peer::pair_plan()
    };
    let (net, fleet) = start_fleet(plan).await;
    let entry = fleet.entries[0].clone();
    let client = Client::new(net.clone(), entry.address());
    let order = peer::post("/services/orders/book", &1.into());
    let call = tokio::spawn(async move { client.fetch(order).await });
    let mut upload = net.connect(entry.address()).await.unwrap();
    let head = "POST /services/orders/book HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nhal";
    upload.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The second signal abandons the drain.
    let drained = tokio::time::timeout(Duration::from_millis(100), entry.drain()).await;
    assert!(drained.is_err());
    let began = tokio::time::Instant::now();
    entry.give_up().await;
    assert!(began.elapsed() < Duration::from_secs(1));
    tokio::time::sleep(Duration::from_millis(1)).await;
    let mut answer = [0; 12];
    upload.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 503");
    net.kill(entry.address().ip());
    let answer = with_timeout(call).await.unwrap().expect("an answer");
    assert_eq!(
        answer.headers()["x-cranberryridge-class"],
        "unknown outcome"
    );
}
