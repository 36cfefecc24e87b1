//! A caller: sends its job, waits, hangs up, and sends again.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use http::{Method, Request};
use http_body_util::{BodyDataStream, Full};
use serde_json::{json, Value};
use tokio::time::Instant;

use cranberryridge::client::Client;
use cranberryridge::net::memory::Memory;
use cranberryridge_standin::engine::expected_answer;

use crate::deployment::Deployment;
use crate::load::{Job, Kind, Summary};

/// Wait before another try where the answer names none.
const AGAIN: Duration = Duration::from_secs(1);

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests sent.
    pub tries: u32,
    /// Codes of refusals, and "timeout" for each hang-up without an answer.
    pub refused: Vec<String>,
    /// The answer, if there was one.
    pub answer: Option<Answer>,
    /// Whether the caller left for good.
    pub left: bool,
}

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Time from the job's arrival to the first token.
    pub first: Duration,
    /// The same from the sending of the request that was answered.
    pub first_of_try: Duration,
    /// Times between tokens.
    pub between: Vec<Duration>,
    /// Whether it was whole and right.
    pub right: bool,
}

/// How one try ended.
enum Try {
    /// With an answer.
    Answered(Answer),
    /// With a refusal and a time to come back.
    Refused(String, Duration),
    /// The caller waited too long for the first token.
    TimedOut,
}

/// Runs a job to its end.
pub async fn run(client: Client<Memory>, deployment: &Deployment, job: &Job) -> Outcome {
    let Kind::Summary(summary) = job.kind else {
        return call(&client, deployment, job).await;
    };
    let asking = ask_again(&client, deployment, job, summary);
    let Some(leaves) = summary.leaves else {
        return asking.await;
    };
    let left = Outcome {
        tries: 1,
        left: true,
        ..Outcome::default()
    };
    tokio::time::timeout(leaves, asking).await.unwrap_or(left)
}

/// Asks for a summary until there is one or the caller gives up.
async fn ask_again(
    client: &Client<Memory>,
    deployment: &Deployment,
    job: &Job,
    summary: Summary,
) -> Outcome {
    let mut outcome = Outcome::default();
    let begun = Instant::now();
    while outcome.tries < deployment.shape.tries {
        outcome.tries += 1;
        let pause = match ask(client, deployment, job, summary, begun).await {
            Try::Answered(answer) => {
                outcome.answer = Some(answer);
                return outcome;
            }
            Try::Refused(code, pause) => {
                outcome.refused.push(code);
                pause
            }
            Try::TimedOut => {
                outcome.refused.push("timeout".into());
                Duration::ZERO
            }
        };
        tokio::time::sleep(pause).await;
    }
    outcome
}

/// Asks for a summary once.
async fn ask(
    client: &Client<Memory>,
    deployment: &Deployment,
    job: &Job,
    summary: Summary,
    begun: Instant,
) -> Try {
    let prompt = summary.prompt(job.number);
    let body = json!({
        "model": deployment.model.name,
        "prompt": prompt,
        "max_tokens": summary.output,
        "stream": true,
    });
    let sent = Instant::now();
    let limit = sent + deployment.shape.patience;
    let request = post("/v1/completions", &body, job);
    let answer = match tokio::time::timeout_at(limit, client.send(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => return Try::Refused("connection".into(), AGAIN),
        Err(_) => return Try::TimedOut,
    };
    if let Some(code) = code(answer.headers()) {
        return Try::Refused(code, again(answer.headers()));
    }

    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let mut taken = Answer::default();
    let (mut text, mut last) = (String::new(), begun);
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            taken.right = text == expected_answer(&prompt, u64::from(summary.output));
            break;
        }
        let event = serde_json::from_str::<Value>(&event.data).unwrap_or_default();
        if !event["error"].is_null() {
            return Try::Refused(event["code"].to_string(), AGAIN);
        }
        text += event["choices"][0]["text"].as_str().unwrap_or_default();
        let now = Instant::now();
        if taken.first.is_zero() {
            taken.first = now - begun;
            taken.first_of_try = now - sent;
        } else {
            taken.between.push(now - last);
        }
        last = now;
    }
    Try::Answered(taken)
}

/// Makes a plain call once; a lookup is made again after a refusal.
async fn call(client: &Client<Memory>, deployment: &Deployment, job: &Job) -> Outcome {
    let order = matches!(job.kind, Kind::Order);
    let (route, method, tries) = if order {
        (deployment.order, Method::POST, 1)
    } else {
        (deployment.lookup, Method::GET, 3)
    };
    let path = format!("/services/{}/{route}", deployment.plain.name);
    let mut outcome = Outcome::default();
    let begun = Instant::now();
    while outcome.tries < tries {
        outcome.tries += 1;
        let mut request = post(&path, &json!({ "number": job.number }), job);
        *request.method_mut() = method.clone();
        let Ok(answer) = client.fetch(request).await else {
            outcome.refused.push("connection".into());
            continue;
        };
        if let Some(code) = code(answer.headers()) {
            outcome.refused.push(code);
            tokio::time::sleep(again(answer.headers())).await;
            continue;
        }
        let document = serde_json::from_slice::<Value>(answer.body()).unwrap_or_default();
        outcome.answer = Some(Answer {
            first: begun.elapsed(),
            right: document["tag"] == json!(job.number.to_string()),
            ..Answer::default()
        });
        break;
    }
    outcome
}

/// A refusal's code.
fn code(headers: &http::HeaderMap) -> Option<String> {
    let code = headers.get("x-cranberryridge-code")?;
    Some(String::from_utf8_lossy(code.as_bytes()).into_owned())
}

/// When to come back after a refusal.
fn again(headers: &http::HeaderMap) -> Duration {
    let seconds = headers.get(http::header::RETRY_AFTER);
    let seconds = seconds.and_then(|seconds| seconds.to_str().ok()?.parse().ok());
    seconds.map_or(AGAIN, Duration::from_secs)
}

/// A request with a JSON body, a tag and a client account.
fn post(path: &str, body: &Value, job: &Job) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("x-tag", http::HeaderValue::from(job.number));
    headers.insert("x-client", http::HeaderValue::from(job.client as u64));
    request
}
