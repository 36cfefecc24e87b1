//! A mixed load of plain calls and completions, and checks of its results.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{json, Value};

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge::wire::code::{Class, Code};
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::ledger::Ledger;

use super::post;

/// Number of concurrent callers of an entry.
const CALLERS: usize = 6;

/// Number of tokens in a completion.
const ANSWER_TOKENS: u64 = 60;

/// Number of the next load. It is part of each tag, so that tags are unique
/// across the loads of a test process.
static NEXT_LOAD: AtomicUsize = AtomicUsize::new(0);

/// Result of a request from the view of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer to this request.
    Complete,
    /// A refusal or failure with a result code.
    Coded(Code),
    /// A broken connection or an answer that ended early without a code.
    Broken,
}

/// A request and its outcome.
#[derive(Debug)]
pub struct Row {
    /// Tag of a plain call, by which the ledger counts its runs; empty for a
    /// completion.
    pub tag: String,
    /// Result of the request.
    pub outcome: Outcome,
}

/// A running load on one entry.
pub struct Load {
    /// Set to stop the callers after their current request.
    stopped: Arc<AtomicBool>,
    /// Tasks of the callers, which return their requests.
    callers: Vec<tokio::task::JoinHandle<Vec<Row>>>,
}

impl Load {
    /// Starts callers that each send one request after another.
    pub fn start(entry: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let load_number = NEXT_LOAD.fetch_add(1, Ordering::Relaxed);
        let callers = (0..CALLERS).map(|caller| {
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut rows = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    let number = rows.len();
                    let name = format!("{load_number}-{caller}-{number}");
                    let row = send(entry, &name, (caller + number) % 3).await;
                    if row.outcome == Outcome::Broken {
                        // Avoid a busy loop while nothing listens.
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    rows.push(row);
                }
                rows
            })
        });
        Self {
            callers: callers.collect(),
            stopped,
        }
    }

    /// Stops sending, waits for the requests in flight and returns all requests.
    pub async fn stop(self) -> Vec<Row> {
        self.stopped.store(true, Ordering::Relaxed);
        let mut rows = Vec::new();
        for caller in self.callers {
            let caller = tokio::time::timeout(Duration::from_secs(120), caller);
            rows.extend(caller.await.expect("a caller hangs").unwrap());
        }
        rows
    }
}

/// Checks that no plain call ran more than once, and that each one's outcome
/// agrees with its runs. Returns the number of complete answers.
pub fn check_rows(rows: &[Row], ledger: &Ledger) -> usize {
    for row in rows.iter().filter(|row| !row.tag.is_empty()) {
        let runs = ledger.runs(&row.tag);
        assert!(runs <= 1, "ran {runs} times: {row:?}");
        match row.outcome {
            Outcome::Complete => assert_eq!(runs, 1, "{row:?}"),
            Outcome::Coded(code) if code.class() == Class::NotRun => {
                assert_eq!(runs, 0, "{row:?}");
            }
            Outcome::Coded(_) | Outcome::Broken => {}
        }
    }
    let complete = rows.iter().filter(|row| row.outcome == Outcome::Complete);
    complete.count()
}

/// Requests without a complete answer.
pub fn incomplete(rows: &[Row]) -> Vec<&Row> {
    let incomplete = rows.iter().filter(|row| row.outcome != Outcome::Complete);
    incomplete.collect()
}

/// Sends a plain call (`kind` 0), a streamed completion (1) or a completion in
/// one piece (2).
async fn send(entry: SocketAddr, name: &str, kind: usize) -> Row {
    let client = Client::new(Tcp, entry);
    if kind == 0 {
        let answer = client.fetch(post("/services/orders/reserve", &json!({}), name));
        let outcome = classify(answer.await.ok(), |body| {
            serde_json::from_slice::<Value>(body).is_ok_and(|body| body["tag"] == name)
        });
        return Row {
            tag: name.to_owned(),
            outcome,
        };
    }
    let stream = kind == 1;
    let body = json!({ "model": "summaries", "prompt": name, "max_tokens": ANSWER_TOKENS, "stream": stream });
    let answer = client.send(post("/v1/completions", &body, name)).await;
    let answer = match answer {
        Ok(answer) => Some(read_answer(answer).await),
        Err(_) => None,
    };
    let outcome = classify(answer, |body| {
        let expected_text = expected_answer(name, ANSWER_TOKENS);
        if stream {
            streamed_text(body) == expected_text && body.ends_with(b"data: [DONE]\n\n")
        } else {
            serde_json::from_slice::<Value>(body)
                .is_ok_and(|body| body["choices"][0]["text"] == expected_text)
        }
    });
    Row {
        tag: String::new(),
        outcome,
    }
}

/// Reads an answer to its end. If its last event is an error, the event's code
/// is added as a header, so that [`classify`] treats it like a refusal.
async fn read_answer(answer: Response<Incoming>) -> Response<Bytes> {
    let (mut head, mut body) = answer.into_parts();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        bytes.extend(frame.into_data().unwrap_or_default());
    }
    let text = String::from_utf8_lossy(&bytes);
    let mut events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let last = events.next_back().map(serde_json::from_str::<Value>);
    if let Some(Ok(last)) = last {
        if let Some(code) = last["code"].as_u64() {
            head.headers.insert("x-cranberryridge-code", code.into());
        } else if head.status == 200 && text.starts_with("data: ") {
            head.headers.insert("x-cut", 1.into());
        }
    }
    Response::from_parts(head, bytes.into())
}

/// Classifies an answer. A complete one must satisfy `is_expected`, so that a
/// caller never gets the answer of another one.
fn classify(answer: Option<Response<Bytes>>, is_expected: impl Fn(&[u8]) -> bool) -> Outcome {
    let Some(answer) = answer else {
        return Outcome::Broken;
    };
    if let Some(number) = answer.headers().get("x-cranberryridge-code") {
        let number = number.to_str().unwrap().parse().unwrap();
        return Outcome::Coded(Code::from_number(number).expect("unknown code"));
    }
    if answer.headers().contains_key("x-cut") {
        return Outcome::Broken;
    }
    let body = String::from_utf8_lossy(answer.body());
    assert!(is_expected(answer.body()), "unexpected answer: {body}");
    Outcome::Complete
}

/// Concatenates the text of a streamed completion.
fn streamed_text(body: &[u8]) -> String {
    let body = String::from_utf8_lossy(body);
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let text = events.map(|event| {
        event["choices"][0]["text"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    });
    text.collect()
}
