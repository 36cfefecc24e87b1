//! Callers: they send, read what comes, and know how it ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{json, Value};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use cranberryridge::client::Client;
use cranberryridge::net::memory::Memory;
use cranberryridge_standin::observer::Outcome;

/// Where in the log chosen keys are said to be made: behind the first
/// configuration.
const KEY_POSITION: u64 = 1;

/// A call under way.
#[derive(Debug)]
pub struct Caller {
    /// Its name, which its runs are noted under.
    pub name: String,
    /// Reads the answer.
    task: JoinHandle<()>,
    /// What came so far.
    seen: Arc<Mutex<Seen>>,
}

/// What a caller has received.
#[derive(Debug, Default)]
pub struct Seen {
    /// Tokens.
    pub tokens: u32,
    /// Its ends, in order.
    pub ends: Vec<(Instant, Outcome)>,
}

impl Caller {
    /// Asks for a model's answer as a stream.
    pub fn model(net: &Memory, entry: SocketAddr, tag: &str, prompt: &str, tokens: u32) -> Self {
        let body = json!({
            "model": "summaries",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
        });
        Self::start(net, entry, tag, post("/v1/completions", tag, &body))
    }

    /// Makes a plain call without a key.
    pub fn plain(net: &Memory, entry: SocketAddr, tag: &str) -> Self {
        let request = post("/services/orders/reserve", tag, &json!({ "reel": tag }));
        Self::start(net, entry, tag, request)
    }

    /// Makes a plain call with a key.
    pub fn keyed(net: &Memory, entry: SocketAddr, name: &str, key: &str) -> Self {
        let mut request = post("/services/orders/reserve", name, &json!({ "reel": key }));
        let key = format!("{KEY_POSITION}.{key}").parse().unwrap();
        request.headers_mut().insert("idempotency-key", key);
        Self::start(net, entry, name, request)
    }

    /// Sends a request and reads in the background.
    fn start(net: &Memory, entry: SocketAddr, name: &str, request: Request<Full<Bytes>>) -> Self {
        let client = Client::new(net.clone(), entry);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let reader = seen.clone();
        let task = tokio::spawn(async move {
            let outcome = match client.send(request).await {
                Ok(answer) => read(answer, &reader).await,
                Err(_) => Outcome::Truncated,
            };
            // Later ends that were seen before the first was noted stay later.
            let mut seen = reader.lock().unwrap();
            seen.ends.insert(0, (Instant::now(), outcome));
        });
        Self {
            name: name.to_owned(),
            task,
            seen,
        }
    }

    /// What came so far.
    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap()
    }

    /// Whether it has its end.
    pub fn over(&self) -> bool {
        !self.seen().ends.is_empty()
    }

    /// Hangs up, unless it is over.
    pub fn hang_up(&self) {
        if !self.over() {
            self.task.abort();
            self.seen().ends.push((Instant::now(), Outcome::HungUp));
        }
    }
}

/// A request with a JSON body.
fn post(path: &str, tag: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request.headers_mut().insert("x-tag", tag.parse().unwrap());
    request
}

/// Reads an answer to its end.
async fn read(answer: Response<Incoming>, seen: &Mutex<Seen>) -> Outcome {
    let (head, body) = answer.into_parts();
    if head.status != 200 {
        let header = |name: &str| {
            let value = head.headers.get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        return Outcome::Refused {
            code: header("x-cranberryridge-code").parse().unwrap_or_default(),
            not_run: header("x-cranberryridge-class") == "not run",
        };
    }
    let stream = head
        .headers
        .get("content-type")
        .is_some_and(|media| media == "text/event-stream");
    if stream {
        return events(body, seen).await;
    }
    let Ok(whole) = body.collect().await else {
        return Outcome::Truncated;
    };
    let answer = serde_json::from_slice::<Value>(&whole.to_bytes());
    match answer.as_ref().map(|answer| answer["tag"].as_str()) {
        Ok(Some(tag)) => Outcome::Answered(tag.to_owned()),
        _ => Outcome::Answered("not a plain service's answer".to_owned()),
    }
}

/// Reads an answer in events. Whatever follows its end counts as a second one.
async fn events(mut body: Incoming, seen: &Mutex<Seen>) -> Outcome {
    let mut rest = String::new();
    let mut text = String::new();
    let mut ends = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        rest.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, after)) = rest.split_once("\n\n") {
            let event = event.trim_start_matches("data: ").to_owned();
            rest = after.to_owned();
            let end = meaning(&event, &mut text, seen);
            let more = || (!ends.is_empty()).then(|| Outcome::Answered("more".to_owned()));
            ends.extend(end.or_else(more));
        }
    }
    let mut ends = ends.into_iter();
    let first = ends.next().unwrap_or(Outcome::Truncated);
    let later = ends.map(|end| (Instant::now(), end));
    seen.lock().unwrap().ends.extend(later);
    first
}

/// Takes an event; returns the outcome if it is the end.
fn meaning(event: &str, text: &mut String, seen: &Mutex<Seen>) -> Option<Outcome> {
    if event == "[DONE]" {
        return Some(Outcome::Answered(text.clone()));
    }
    let event = serde_json::from_str::<Value>(event).unwrap_or_default();
    if let Some(code) = event["code"].as_u64() {
        return Some(Outcome::Refused {
            code: code as u16,
            not_run: event["class"] == "not run",
        });
    }
    text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
    seen.lock().unwrap().tokens += 1;
    None
}
