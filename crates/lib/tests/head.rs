//! Tests of heads that come before that of an answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use cranberryridge::client::{Client, Error};
use cranberryridge::net::memory::{Memory, Stream};
use cranberryridge::net::{Listen, Net};

/// Interim heads that a client reads before it gives up, at most.
const MAX_READ_HEADS: usize = 20;

/// Interim heads that a test sends at most.
const MAX_SENT_HEADS: usize = 2000;

/// Interim heads before a sound answer.
const SOUND_HEADS: usize = 12;

/// Time in which a client reads what was sent.
const READ_TIME: Duration = Duration::from_millis(10);

const CONTINUE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

const HINTS: &str = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/// Sends a request over the in-memory network. Returns the answer, which is to come, and the
/// server's end once the request has arrived.
async fn call() -> (
    tokio::task::JoinHandle<Result<Response<Bytes>, Error>>,
    Stream,
) {
    let net = Memory::default();
    let at = "127.0.0.1:80".parse::<SocketAddr>().unwrap();
    let mut listener = net.bind(at).await.unwrap();
    let client = Client::new(net.clone(), at);
    let answer = tokio::spawn(async move {
        let request = Request::post("/").body(Full::new(Bytes::from("p")));
        client.fetch(request.unwrap()).await
    });
    let mut server = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    assert!(server.read(&mut request).await.unwrap() > 0);
    (answer, server)
}

/// Sends an answer in parts of a size, and returns the body that the client got.
async fn answer_in_parts(text: &str, part_bytes: usize) -> Result<Bytes, Error> {
    let (answer, mut server) = call().await;
    for part in text.as_bytes().chunks(part_bytes) {
        // A client that has given up is seen in its answer.
        let _ = server.write_all(part).await;
        tokio::task::yield_now().await;
    }
    drop(server);
    answer.await.unwrap().map(Response::into_body)
}

// Interim heads were read until 256 KiB had come, thousands for each attempt.
#[tokio::test(start_paused = true)]
async fn a_client_gives_up_after_a_few_interim_heads() {
    for head in [CONTINUE, HINTS, "HTTP/1.1 102 P\n\n"] {
        let (answer, mut server) = call().await;
        let mut sent = 0;
        while sent < MAX_SENT_HEADS && !answer.is_finished() {
            if server.write_all(head.as_bytes()).await.is_err() {
                break;
            }
            sent += 1;
            tokio::time::sleep(READ_TIME).await;
        }
        println!("{head:?}: {sent} heads");
        assert!(sent <= MAX_READ_HEADS, "{head:?}: {sent} heads");
        assert!(answer.await.unwrap().is_err(), "{head:?}: answered");
    }
}

// A bound of all heads together would let a few large ones pass one by one.
#[tokio::test(start_paused = true)]
async fn large_interim_heads_are_bounded_together() {
    let head = format!(
        "HTTP/1.1 103 Early Hints\r\nlink: {}\r\n\r\n",
        "a".repeat(30_000)
    );
    let text = head.repeat(4) + "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    assert!(answer_in_parts(&text, 4096).await.is_err());
}

// A bound that is too low, or loses track of a line, would fail sound answers.
#[tokio::test(start_paused = true)]
async fn an_answer_behind_a_few_interim_heads_passes() {
    let end = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound";
    let large = format!(
        "HTTP/1.1 200 OK\r\nx: {}\r\ncontent-length: 5\r\n\r\nsound",
        "a".repeat(60_000)
    );
    let heads = [
        CONTINUE.repeat(SOUND_HEADS),
        HINTS.repeat(SOUND_HEADS),
        (CONTINUE.to_owned() + HINTS).repeat(SOUND_HEADS / 2),
        HINTS.replace("\r\n", "\n").repeat(SOUND_HEADS),
        String::new(),
    ];
    for heads in heads {
        for end in [end, &large] {
            for part_bytes in [1, 7, 1 << 20] {
                let body = answer_in_parts(&(heads.clone() + end), part_bytes).await;
                let case = format!("{part_bytes}, {heads:?}");
                assert_eq!(body.expect(&case), "sound", "{case}");
            }
        }
    }
}

// Bytes of a body are read before the caller takes the head, and may look like interim heads.
#[tokio::test(start_paused = true)]
async fn interim_heads_in_a_body_are_not_counted() {
    let body = HINTS.repeat(MAX_SENT_HEADS);
    for line_end in ["\r\n", "\n"] {
        let head = format!("HTTP/1.1 200 OK\ncontent-length: {}\n\n", body.len());
        let text = CONTINUE.to_owned() + &head.replace('\n', line_end) + &body;
        for part_bytes in [4096, 1 << 20] {
            let got = answer_in_parts(&text, part_bytes).await;
            assert!(got.unwrap() == body, "{part_bytes}, {line_end:?}");
        }
    }
}
