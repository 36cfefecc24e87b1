//! Callers: they send a request and record what they receive.

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

/// Log position in chosen keys, which comes after the first configuration.
const KEY_POSITION: u64 = 1;

/// A call in flight, or its outcome.
#[derive(Debug)]
pub struct Caller {
    /// Tag under which the ledger records the call's runs.
    pub name: String,
    /// Sends the request and reads the answer.
    task: JoinHandle<()>,
    /// What the caller has received so far.
    received: Arc<Mutex<Received>>,
}

/// What a caller has received.
#[derive(Debug, Default)]
pub struct Received {
    /// Number of tokens.
    pub tokens: u32,
    /// Outcomes in order. More than one means that the call was answered twice.
    pub outcomes: Vec<(Instant, Outcome)>,
}

impl Caller {
    /// Requests a streamed answer from a model.
    pub fn stream(net: &Memory, entry: SocketAddr, tag: &str, prompt: &str, tokens: u32) -> Self {
        let body = json!({
            "model": "summaries",
            "prompt": prompt,
            "max_tokens": tokens,
            "stream": true,
        });
        Self::start(net, entry, tag, json_request("/v1/completions", tag, &body))
    }

    /// Makes a plain call without an idempotency key.
    pub fn call_plain(net: &Memory, entry: SocketAddr, tag: &str) -> Self {
        let request = json_request("/services/orders/reserve", tag, &json!({ "reel": tag }));
        Self::start(net, entry, tag, request)
    }

    /// Makes a plain call with an idempotency key.
    pub fn call_keyed(net: &Memory, entry: SocketAddr, name: &str, key: &str) -> Self {
        let mut request = json_request("/services/orders/reserve", name, &json!({ "reel": key }));
        let key = format!("{KEY_POSITION}.{key}").parse().unwrap();
        request.headers_mut().insert("idempotency-key", key);
        Self::start(net, entry, name, request)
    }

    /// Sends a request and reads the answer in the background.
    fn start(net: &Memory, entry: SocketAddr, name: &str, request: Request<Full<Bytes>>) -> Self {
        let client = Client::new(net.clone(), entry);
        let received = Arc::new(Mutex::new(Received::default()));
        let reader = received.clone();
        let task = tokio::spawn(async move {
            let outcome = match client.send(request).await {
                Ok(answer) => read_answer(answer, &reader).await,
                Err(_) => Outcome::Truncated,
            };
            // Further outcomes may have been recorded while the answer was
            // read, so insert the first one before them.
            let mut received = reader.lock().unwrap();
            received.outcomes.insert(0, (Instant::now(), outcome));
        });
        Self {
            name: name.to_owned(),
            task,
            received,
        }
    }

    /// What the caller has received so far.
    pub fn received(&self) -> MutexGuard<'_, Received> {
        self.received.lock().unwrap()
    }

    /// Whether the call has an outcome.
    pub fn is_finished(&self) -> bool {
        !self.received().outcomes.is_empty()
    }

    /// Hangs up unless the call has finished.
    pub fn hang_up(&self) {
        if !self.is_finished() {
            self.task.abort();
            self.received()
                .outcomes
                .push((Instant::now(), Outcome::HungUp));
        }
    }
}

/// Builds a POST request with a JSON body and a tag.
fn json_request(path: &str, tag: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request.headers_mut().insert("x-tag", tag.parse().unwrap());
    request
}

/// Reads an answer to its end and classifies it.
async fn read_answer(answer: Response<Incoming>, received: &Mutex<Received>) -> Outcome {
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
    let is_stream = head
        .headers
        .get("content-type")
        .is_some_and(|media| media == "text/event-stream");
    if is_stream {
        return read_events(body, received).await;
    }
    let Ok(bytes) = body.collect().await else {
        return Outcome::Truncated;
    };
    let answer = serde_json::from_slice::<Value>(&bytes.to_bytes());
    match answer.as_ref().map(|answer| answer["tag"].as_str()) {
        Ok(Some(tag)) => Outcome::Answered(tag.to_owned()),
        _ => Outcome::Answered("not an answer of a plain service".to_owned()),
    }
}

/// Reads a streamed answer. Events after its end count as a second outcome.
async fn read_events(mut body: Incoming, received: &Mutex<Received>) -> Outcome {
    let mut buffer = String::new();
    let mut text = String::new();
    let mut outcomes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        buffer.push_str(&String::from_utf8_lossy(&data));
        while let Some((event, remaining)) = buffer.split_once("\n\n") {
            let event = event.trim_start_matches("data: ").to_owned();
            buffer = remaining.to_owned();
            let outcome = parse_event(&event, &mut text, received);
            let extra = || (!outcomes.is_empty()).then(|| Outcome::Answered("more".to_owned()));
            outcomes.extend(outcome.or_else(extra));
        }
    }
    let mut outcomes = outcomes.into_iter();
    let first = outcomes.next().unwrap_or(Outcome::Truncated);
    let later = outcomes.map(|outcome| (Instant::now(), outcome));
    received.lock().unwrap().outcomes.extend(later);
    first
}

/// Processes an event. Returns the outcome if the event ends the stream.
fn parse_event(event: &str, text: &mut String, received: &Mutex<Received>) -> Option<Outcome> {
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
    received.lock().unwrap().tokens += 1;
    None
}
