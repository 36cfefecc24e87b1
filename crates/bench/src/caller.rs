//! Simulated caller: sends a job, waits for the answer, hangs up and retries.

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

/// Delay before a retry if the refusal has no `retry-after` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Outcome of a job.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of requests sent.
    pub attempts: u32,
    /// Codes of refusals. "timeout" stands for a hang-up without an answer and
    /// "connection" for a failed connection.
    pub refused: Vec<String>,
    /// The answer, or `None` if no attempt got one.
    pub answer: Option<Answer>,
    /// Whether the caller hung up for good.
    pub abandoned: bool,
}

/// An answer and its latencies.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Time from the job's arrival to the first token. For a plain call, the time
    /// to the whole answer.
    pub first_token: Duration,
    /// Time from sending the answered request to the first token.
    pub first_token_of_attempt: Duration,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Whether the answer is complete and has the expected content.
    pub is_correct: bool,
}

/// Outcome of one attempt.
enum Attempt {
    /// The caller got an answer.
    Answered(Answer),
    /// The attempt was refused with a code; retry after the delay.
    Refused(String, Duration),
    /// The first token did not arrive in time.
    TimedOut,
}

/// Runs a job until it is answered or given up.
pub async fn run(client: Client<Memory>, deployment: &Deployment, job: &Job) -> Outcome {
    let Kind::Summary(summary) = job.kind else {
        return call_plain(&client, deployment, job).await;
    };
    let outcome = request_until_answered(&client, deployment, job, summary);
    let Some(hang_up_after) = summary.hang_up_after else {
        return outcome.await;
    };
    let abandoned = Outcome {
        attempts: 1,
        abandoned: true,
        ..Outcome::default()
    };
    tokio::time::timeout(hang_up_after, outcome)
        .await
        .unwrap_or(abandoned)
}

/// Requests a summary until it is answered or the attempts are used up.
async fn request_until_answered(
    client: &Client<Memory>,
    deployment: &Deployment,
    job: &Job,
    summary: Summary,
) -> Outcome {
    let mut outcome = Outcome::default();
    let started = Instant::now();
    while outcome.attempts < deployment.workload.max_attempts {
        outcome.attempts += 1;
        let delay = match request_summary(client, deployment, job, summary, started).await {
            Attempt::Answered(answer) => {
                outcome.answer = Some(answer);
                return outcome;
            }
            Attempt::Refused(code, delay) => {
                outcome.refused.push(code);
                delay
            }
            Attempt::TimedOut => {
                outcome.refused.push("timeout".into());
                Duration::ZERO
            }
        };
        tokio::time::sleep(delay).await;
    }
    outcome
}

/// Requests a summary once.
async fn request_summary(
    client: &Client<Memory>,
    deployment: &Deployment,
    job: &Job,
    summary: Summary,
    started: Instant,
) -> Attempt {
    let prompt = summary.prompt(job.number);
    let body = json!({
        "model": deployment.model.name,
        "prompt": prompt,
        "max_tokens": summary.output_tokens,
        "stream": true,
    });
    let sent = Instant::now();
    let limit = sent + deployment.workload.first_token_timeout;
    let request = json_request("/v1/completions", &body, job);
    let answer = match tokio::time::timeout_at(limit, client.send(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => return Attempt::Refused("connection".into(), DEFAULT_RETRY_DELAY),
        Err(_) => return Attempt::TimedOut,
    };
    if let Some(code) = refusal_code(answer.headers()) {
        return Attempt::Refused(code, retry_delay(answer.headers()));
    }

    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let mut received = Answer::default();
    let (mut text, mut last) = (String::new(), started);
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            received.is_correct =
                text == expected_answer(&prompt, u64::from(summary.output_tokens));
            break;
        }
        let event = serde_json::from_str::<Value>(&event.data).unwrap_or_default();
        if !event["error"].is_null() {
            return Attempt::Refused(event["code"].to_string(), DEFAULT_RETRY_DELAY);
        }
        text += event["choices"][0]["text"].as_str().unwrap_or_default();
        let now = Instant::now();
        if received.first_token.is_zero() {
            received.first_token = now - started;
            received.first_token_of_attempt = now - sent;
        } else {
            received.token_gaps.push(now - last);
        }
        last = now;
    }
    Attempt::Answered(received)
}

/// Makes a plain call. Lookups are retried after a refusal, orders are not.
async fn call_plain(client: &Client<Memory>, deployment: &Deployment, job: &Job) -> Outcome {
    let order = matches!(job.kind, Kind::Order);
    let (route, method, attempts) = if order {
        (deployment.order_route, Method::POST, 1)
    } else {
        (deployment.lookup_route, Method::GET, 3)
    };
    let path = format!("/services/{}/{route}", deployment.plain.name);
    let mut outcome = Outcome::default();
    let started = Instant::now();
    while outcome.attempts < attempts {
        outcome.attempts += 1;
        let mut request = json_request(&path, &json!({ "number": job.number }), job);
        *request.method_mut() = method.clone();
        let Ok(answer) = client.fetch(request).await else {
            outcome.refused.push("connection".into());
            continue;
        };
        if let Some(code) = refusal_code(answer.headers()) {
            outcome.refused.push(code);
            tokio::time::sleep(retry_delay(answer.headers())).await;
            continue;
        }
        let document = serde_json::from_slice::<Value>(answer.body()).unwrap_or_default();
        outcome.answer = Some(Answer {
            first_token: started.elapsed(),
            is_correct: document["tag"] == json!(job.number.to_string()),
            ..Answer::default()
        });
        break;
    }
    outcome
}

/// Code of a refusal, or `None` for an answer.
fn refusal_code(headers: &http::HeaderMap) -> Option<String> {
    let code = headers.get("x-cranberryridge-code")?;
    Some(String::from_utf8_lossy(code.as_bytes()).into_owned())
}

/// Delay before a retry, from the `retry-after` header.
fn retry_delay(headers: &http::HeaderMap) -> Duration {
    let seconds = headers.get(http::header::RETRY_AFTER);
    let seconds = seconds.and_then(|seconds| seconds.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
}

/// Builds a POST request with a JSON body, a tag and a client account.
fn json_request(path: &str, body: &Value, job: &Job) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert("x-tag", http::HeaderValue::from(job.number));
    headers.insert("x-client", http::HeaderValue::from(job.client as u64));
    request
}
