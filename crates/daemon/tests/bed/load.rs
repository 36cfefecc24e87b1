//! A mixed load, and what callers may find.

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

/// Callers of one entry at once.
const CALLERS: usize = 6;

/// Tokens of an answer.
const TOKENS: u64 = 60;

/// Number of the next load, so that no two requests share a tag.
static LOADS: AtomicUsize = AtomicUsize::new(0);

/// What a caller found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its own whole answer.
    Whole,
    /// A numbered refusal or failure.
    Coded(Code),
    /// A broken connection.
    Broken,
}

/// One request and what came of it.
#[derive(Debug)]
pub struct Row {
    /// The tag of a plain call, empty for a completion.
    pub tag: String,
    /// What the caller found.
    pub outcome: Outcome,
}

/// A load on one entry.
pub struct Load {
    /// Whether no more is to be sent.
    stopped: Arc<AtomicBool>,
    /// The callers.
    callers: Vec<tokio::task::JoinHandle<Vec<Row>>>,
}

impl Load {
    /// Starts callers that send one request after the other.
    pub fn start(entry: SocketAddr) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let load = LOADS.fetch_add(1, Ordering::Relaxed);
        let callers = (0..CALLERS).map(|caller| {
            let stopped = stopped.clone();
            tokio::spawn(async move {
                let mut rows = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    let number = rows.len();
                    let name = format!("{load}-{caller}-{number}");
                    let row = send(entry, &name, (caller + number) % 3).await;
                    if row.outcome == Outcome::Broken {
                        // Not to spin while nobody listens.
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

    /// Sends no more, and waits for what is under way.
    pub async fn stop(self) -> Vec<Row> {
        self.stopped.store(true, Ordering::Relaxed);
        let mut rows = Vec::new();
        for caller in self.callers {
            let caller = tokio::time::timeout(Duration::from_secs(120), caller);
            rows.extend(caller.await.expect("a caller waits for ever").unwrap());
        }
        rows
    }
}

/// Checks what must hold of every request, whatever happened. Returns how many
/// answers were whole.
pub fn check(rows: &[Row], ledger: &Ledger) -> usize {
    for row in rows.iter().filter(|row| !row.tag.is_empty()) {
        let runs = ledger.runs(&row.tag);
        assert!(runs <= 1, "ran {runs} times: {row:?}");
        match row.outcome {
            Outcome::Whole => assert_eq!(runs, 1, "{row:?}"),
            Outcome::Coded(code) if code.class() == Class::NotRun => {
                assert_eq!(runs, 0, "{row:?}");
            }
            Outcome::Coded(_) | Outcome::Broken => {}
        }
    }
    let whole = rows.iter().filter(|row| row.outcome == Outcome::Whole);
    whole.count()
}

/// Requests that were not answered whole.
pub fn rest(rows: &[Row]) -> Vec<&Row> {
    let rest = rows.iter().filter(|row| row.outcome != Outcome::Whole);
    rest.collect()
}

/// Sends a request of a kind.
async fn send(entry: SocketAddr, name: &str, kind: usize) -> Row {
    let client = Client::new(Tcp, entry);
    if kind == 0 {
        let answer = client.fetch(post("/services/orders/reserve", &json!({}), name));
        let outcome = outcome(answer.await.ok(), |body| {
            serde_json::from_slice::<Value>(body).is_ok_and(|body| body["tag"] == name)
        });
        return Row {
            tag: name.to_owned(),
            outcome,
        };
    }
    let stream = kind == 1;
    let body =
        json!({ "model": "summaries", "prompt": name, "max_tokens": TOKENS, "stream": stream });
    let answer = client.send(post("/v1/completions", &body, name)).await;
    let answer = match answer {
        Ok(answer) => Some(read(answer).await),
        Err(_) => None,
    };
    let outcome = outcome(answer, |body| {
        let wanted = expected_answer(name, TOKENS);
        if stream {
            streamed(body) == wanted && body.ends_with(b"data: [DONE]\n\n")
        } else {
            serde_json::from_slice::<Value>(body)
                .is_ok_and(|body| body["choices"][0]["text"] == wanted)
        }
    });
    Row {
        tag: String::new(),
        outcome,
    }
}

/// Reads what comes of an answer. One that is cut off behind an error event
/// counts by the event's code, as if that were its head.
async fn read(answer: Response<Incoming>) -> Response<Bytes> {
    let (mut head, mut body) = answer.into_parts();
    let mut whole = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        whole.extend(frame.into_data().unwrap_or_default());
    }
    let text = String::from_utf8_lossy(&whole);
    let mut events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let last = events.next_back().map(serde_json::from_str::<Value>);
    if let Some(Ok(last)) = last {
        if let Some(code) = last["code"].as_u64() {
            head.headers.insert("x-cranberryridge-code", code.into());
        } else if head.status == 200 && text.starts_with("data: ") {
            head.headers.insert("x-cut", 1.into());
        }
    }
    Response::from_parts(head, whole.into())
}

/// What an answer amounts to. A whole one must be the caller's own.
fn outcome(answer: Option<Response<Bytes>>, own: impl Fn(&[u8]) -> bool) -> Outcome {
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
    assert!(own(answer.body()), "not its own answer: {body}");
    Outcome::Whole
}

/// The text of a streamed completion.
fn streamed(body: &[u8]) -> String {
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
