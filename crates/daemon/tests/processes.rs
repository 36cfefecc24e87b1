//! Kills, pauses and terminates daemon processes under load. Timeouts only detect
//! hangs; they are no bounds on speed.

mod bed;

use std::io::ErrorKind;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use bed::load::{check_rows, incomplete, Load, Outcome, Row};
use bed::{get, wait_until, Testbed, FIRST_DECODE_RUNNER};
use cranberryridge::client::Client;
use cranberryridge::net::Tcp;

/// Time for which load runs before and after a fault.
const LOAD_TIME: Duration = Duration::from_millis(1500);

/// Lets the started loads run for [`LOAD_TIME`].
async fn run_load() {
    tokio::time::sleep(LOAD_TIME).await;
}

/// Whether every request got a complete answer or a result code.
fn all_answered(rows: &[Row]) -> bool {
    rows.iter().all(|row| row.outcome != Outcome::Broken)
}

/// Checks that an entry answers every request completely.
async fn assert_serves(bed: &Testbed, index: usize) {
    let load = Load::start(bed.entry_address(index));
    run_load().await;
    let rows = load.stop().await;
    assert!(check_rows(&rows, &bed.ledger) > 0);
    assert!(incomplete(&rows).is_empty(), "{:?}", incomplete(&rows));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_entry_leaves_no_memory_reserved() {
    let mut bed = Testbed::start(30).await;
    let loads = [0, 1].map(|index| Load::start(bed.entry_address(index)));
    run_load().await;
    bed.entries[0].kill();
    run_load().await;
    let [killed, alive] = loads;
    let (killed, alive) = (killed.stop().await, alive.stop().await);
    check_rows(&killed, &bed.ledger);
    assert!(check_rows(&alive, &bed.ledger) > 0);
    assert!(incomplete(&alive).is_empty(), "{:?}", incomplete(&alive));
    bed.wait_until_memory_is_free().await;

    bed.entries[0] = bed.start_entry(0);
    bed.wait_until_ready().await;
    assert_serves(&bed, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_entry_holds_no_memory() {
    let bed = Testbed::start(31).await;
    let load = Load::start(bed.entry_address(0));
    run_load().await;
    wait_until("load runs", || async { bed.held_reservations() > 0 }).await;
    bed.entries[0].signal("STOP");
    bed.wait_until_memory_is_free().await;
    bed.entries[0].signal("CONT");
    let rows = load.stop().await;
    check_rows(&rows, &bed.ledger);
    bed.wait_until_memory_is_free().await;
    bed.wait_until_ready().await;
    assert_serves(&bed, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_sidecar_ends_every_request_with_an_answer_or_a_code() {
    let mut bed = Testbed::start(32).await;
    let load = Load::start(bed.entry_address(0));
    run_load().await;
    bed.sidecars[FIRST_DECODE_RUNNER].kill();
    bed.sidecars[0].kill();
    run_load().await;
    bed.sidecars[FIRST_DECODE_RUNNER] = bed.start_sidecar(FIRST_DECODE_RUNNER);
    bed.sidecars[0] = bed.start_sidecar(0);
    bed.wait_until_ready().await;
    let rows = load.stop().await;
    assert!(check_rows(&rows, &bed.ledger) > 0);
    assert!(all_answered(&rows), "{:?}", incomplete(&rows));
    bed.wait_until_memory_is_free().await;
    assert_serves(&bed, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_engine_ends_every_request_with_an_answer_or_a_code() {
    let bed = Testbed::start(33).await;
    let load = Load::start(bed.entry_address(0));
    run_load().await;
    bed.runners[FIRST_DECODE_RUNNER].kill();
    wait_until("engine not ready", || bed.has_ready_endpoints(0, 5)).await;
    run_load().await;
    let rows = load.stop().await;
    assert!(check_rows(&rows, &bed.ledger) > 0);
    assert!(all_answered(&rows), "{:?}", incomplete(&rows));
    bed.wait_until_memory_is_free().await;
    assert_serves(&bed, 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_entry_completes_its_requests() {
    let mut bed = Testbed::start(34).await;
    let address = bed.entry_address(0);
    let load = Load::start(address);
    run_load().await;
    bed.entries[0].signal("TERM");
    // A load balancer stops sending requests once the entry is not ready.
    let client = Client::new(Tcp, address);
    wait_until("not ready", || async {
        let ready = client.fetch(get("/readyz")).await;
        ready.is_ok_and(|ready| ready.status() == 503)
    })
    .await;
    let rows = load.stop().await;
    assert!(check_rows(&rows, &bed.ledger) > 0);
    assert!(incomplete(&rows).is_empty(), "{:?}", incomplete(&rows));
    assert_eq!(bed.entries[0].wait_for_exit().await.code(), Some(0));
    bed.wait_until_memory_is_free().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn terminated_sidecar_completes_its_requests() {
    let mut bed = Testbed::start(35).await;
    let load = Load::start(bed.entry_address(0));
    run_load().await;
    let terminated = [0, FIRST_DECODE_RUNNER, 4];
    for index in terminated {
        bed.sidecars[index].signal("TERM");
    }
    for index in terminated {
        assert_eq!(bed.sidecars[index].wait_for_exit().await.code(), Some(0));
    }
    run_load().await;
    let rows = load.stop().await;
    assert!(check_rows(&rows, &bed.ledger) > 0);
    assert!(all_answered(&rows));
    assert!(incomplete(&rows).is_empty(), "{:?}", incomplete(&rows));
    bed.wait_until_memory_is_free().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_signal_ends_the_process_with_its_exit_code() {
    let mut bed = Testbed::start(36).await;
    let address = bed.entry_address(0);
    let client = Client::new(Tcp, address);
    let body = serde_json::json!({
        "model": "summaries", "prompt": "long", "max_tokens": 1000, "stream": true,
    });
    let answer = client
        .send(bed::post("/v1/completions", &body, "long"))
        .await
        .unwrap();
    bed.entries[0].signal("TERM");
    wait_until("not ready", || async {
        let ready = client.fetch(get("/readyz")).await;
        ready.is_ok_and(|ready| ready.status() == 503)
    })
    .await;
    bed.entries[0].signal("TERM");
    assert_eq!(bed.entries[0].wait_for_exit().await.code(), Some(3));
    drop(answer);
    bed.wait_until_memory_is_free().await;
}

/// Opens a long stream as a caller of HTTP/1.0, and waits until it has begun.
async fn open_old_stream(bed: &Testbed) -> TcpStream {
    let body = r#"{"model":"summaries","prompt":"old","max_tokens":400,"stream":true}"#;
    let text = format!(
        "POST /v1/completions HTTP/1.0\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(bed.entry_address(0)).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream.peek(&mut [0]).await.unwrap();
    stream
}

/// Asserts that a stream that has begun ends with a reset.
async fn assert_reset(mut stream: TcpStream) {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(60), stream.read_to_end(&mut bytes));
    let error = read.await.expect("no end in time").unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    assert!(bytes.starts_with(b"HTTP/1.0 200"));
}

// Guards against a stream that was cut and ends for a caller of HTTP/1.0 like a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_knows_ends_by_the_connection_sees_what_a_kill_cut() {
    let bed = Testbed::start(48).await;
    let stream = open_old_stream(&bed).await;
    for decode_runner in [FIRST_DECODE_RUNNER, FIRST_DECODE_RUNNER + 1] {
        bed.runners[decode_runner].kill();
    }
    assert_reset(stream).await;
    let mut bed = Testbed::start(49).await;
    let stream = open_old_stream(&bed).await;
    bed.entries[0].kill();
    assert_reset(stream).await;
}
