//! Tests of the ends of streams that an entry's callers of HTTP/1.0 see.

mod peer;

use std::io::ErrorKind;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

use cranberryridge::net::memory::{Memory, Stream};
use cranberryridge::net::Net;
use cranberryridge_standin::engine::expected_answer;

use peer::{pair_plan, start_fleet, text, with_timeout, Deployment};

/// Length of an answer that takes seconds.
const ANSWER_TOKENS: u64 = 200;

/// Sends a request for a stream to the first entry.
async fn send(net: &Memory, fleet: &Deployment, version: &str, prompt: &str) -> Stream {
    let body = format!(
        r#"{{"model":"summaries","prompt":"{prompt}","max_tokens":{ANSWER_TOKENS},"stream":true}}"#
    );
    let text = format!(
        "POST /v1/completions HTTP/{version}\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = net.connect(fleet.entries[0].address()).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer until its connection ends. Returns the bytes, and the error if it did not
/// end in order.
async fn read(mut stream: Stream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let read = with_timeout(stream.read_to_end(&mut bytes)).await;
    (bytes, read.err().map(|error| error.kind()))
}

// Guards against a stream that was cut and ends for a caller of HTTP/1.0 like a whole one.
#[tokio::test(start_paused = true)]
async fn a_stream_whose_engine_is_killed_ends_with_a_reset() {
    let (net, fleet) = start_fleet(pair_plan()).await;
    let (answer, error) = read(send(&net, &fleet, "1.0", "whole").await).await;
    assert_eq!(error, None);
    assert_eq!(text(&answer), expected_answer("whole", ANSWER_TOKENS));
    for (version, end) in [("1.1", None), ("1.0", Some(ErrorKind::ConnectionReset))] {
        let (net, fleet) = start_fleet(pair_plan()).await;
        let stream = send(&net, &fleet, version, "cut").await;
        sleep(Duration::from_secs(1)).await;
        net.kill(fleet.runner_address(1).ip());
        let (answer, error) = read(stream).await;
        let answer = String::from_utf8(answer).unwrap();
        assert!(answer.contains("data: {\"choices\""), "{answer}");
        assert!(!answer.contains("[DONE]"), "{answer}");
        assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        assert_eq!(error, end, "{version}");
    }
}
