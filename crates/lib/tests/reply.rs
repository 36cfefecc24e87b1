//! Tests of how an answer to a caller ends.

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;

use cranberryridge::body::Body;
use cranberryridge::reply::{Gone, Reply, STALL_TIMEOUT};

/// Starts an answer and returns its body.
async fn start() -> (Reply, Body) {
    let (mut reply, head) = Reply::new();
    reply.begin(Response::builder());
    (reply, head.await.unwrap().into_body())
}

/// Sends pieces until the caller, which reads nothing, counts as disconnected.
async fn stall(reply: &mut Reply) {
    while reply.send_piece(Bytes::from_static(b"a")).await.is_ok() {}
}

#[tokio::test]
async fn a_dropped_reply_does_not_complete_its_answer() {
    let (mut reply, body) = start().await;
    reply.send_piece(Bytes::from_static(b"a")).await.unwrap();
    drop(reply);
    assert!(body.collect().await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_stalled_gets_no_complete_answer() {
    let (mut reply, body) = start().await;
    stall(&mut reply).await;
    drop(reply);
    assert!(body.collect().await.is_err());
}

#[tokio::test(start_paused = true)]
async fn no_piece_follows_one_that_was_lost() {
    let (mut reply, mut body) = start().await;
    stall(&mut reply).await;
    let first = body.frame().await.unwrap().unwrap();
    assert_eq!(first.into_data().unwrap(), "a");
    let next = reply.send_piece(Bytes::from_static(b"b"));
    assert_eq!(next.await, Err(Gone));
}

#[tokio::test(start_paused = true)]
async fn a_caller_counts_as_stalled_only_after_the_timeout() {
    let (mut reply, _body) = start().await;
    let started_at = tokio::time::Instant::now();
    stall(&mut reply).await;
    assert!(started_at.elapsed() >= STALL_TIMEOUT);
}

// Guards against slow callers that each hold as many large pieces as tokens may wait.
#[tokio::test(start_paused = true)]
async fn pieces_that_wait_for_a_slow_caller_take_bounded_memory() {
    const MAX_BYTES: usize = 64 * 1024;
    let (reply, head) = Reply::new();
    let mut reply = reply.with_max_queued_bytes(MAX_BYTES as u32);
    reply.begin(Response::builder());
    let mut body = head.await.unwrap().into_body();
    let piece = Bytes::from(vec![0; MAX_BYTES / 4]);
    for _ in 0..4 {
        assert_eq!(reply.send_piece(piece.clone()).await, Ok(()));
    }
    let waits = tokio::time::timeout(STALL_TIMEOUT / 2, reply.send_piece(piece.clone()));
    assert!(waits.await.is_err());
    // A piece that the server still writes takes its room.
    let written = body.frame().await.unwrap().unwrap();
    let waits = tokio::time::timeout(STALL_TIMEOUT / 2, reply.send_piece(piece.clone()));
    assert!(waits.await.is_err());
    drop(written);
    assert_eq!(reply.send_piece(piece.clone()).await, Ok(()));
    for _ in 0..4 {
        drop(body.frame().await);
    }
    // A piece larger than the bound waits alone.
    let large = Bytes::from(vec![0; 2 * MAX_BYTES]);
    assert_eq!(reply.send_piece(large).await, Ok(()));
    assert_eq!(reply.send_piece(piece).await, Err(Gone));
}
