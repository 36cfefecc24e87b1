//! The `demo` command, which runs both deployments on embedded stand-ins over loopback.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::StreamExt;
use getopts::Options;
use http::Request;
use http_body_util::{BodyDataStream, Full};
use rand::{rngs::StdRng, RngExt, SeedableRng};
use serde_json::{json, Value};
use tokio::sync::mpsc;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::Tcp;
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::{Fleet, Plan, LOG_PORT};
use cranberryridge_wire::id::Version;
use cranberryridge_wire::record::Service;
use cranberryridge_wire::service;

use crate::report::{Outcome, Report};
use crate::{options, EXIT_FAILED};

/// Service files of the Lipowa deployment, the model service first.
const LIPOWA_SERVICES: &[&str] = &[
    include_str!("../../../examples/lipowa/summaries.toml"),
    include_str!("../../../examples/lipowa/loans.toml"),
];

/// Service files of the Sahel Tubes deployment, the model service first.
const SAHEL_SERVICES: &[&str] = &[
    include_str!("../../../examples/sahel/quotes.toml"),
    include_str!("../../../examples/sahel/orders.toml"),
];

/// Maximum time until a deployment is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum time until the last answers arrive after the load has ended.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum time until the engines' memory is free after the last request.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// A deployment over loopback TCP.
type Deployment = Fleet<Tcp, Tokio>;

/// Load on one deployment.
#[derive(Clone, Copy, Debug)]
struct Load {
    /// Model requests per second.
    model_rate: f64,
    /// Plain calls per second.
    plain_rate: f64,
    /// Mean length of a prompt without the prefix that it shares with others.
    mean_prompt_bytes: usize,
    /// Number of tokens per answer.
    output_tokens: u64,
    /// Route of the plain service to call; not idempotent.
    route: &'static str,
}

/// Runs the command and returns its exit code.
pub fn run(arguments: &[String]) -> Result<i32> {
    let mut accepted = Options::new();
    accepted.optflag("", "serve", "keep the deployments up, send no load");
    accepted.optopt("", "seconds", "how long to send load, 20 by default", "N");
    accepted.optopt("", "seed", "seed of the load, 1 by default", "N");
    let brief = "Usage: cranberryridge demo [--serve | --seconds N] [--seed N]";
    let Some(matches) = options::parse(accepted, brief, arguments)? else {
        return Ok(0);
    };
    let seconds = options::parse_value(&matches, "seconds", 20)?;
    let seed = options::parse_value(&matches, "seed", 1)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let lipowa = start_deployment(Plan::lipowa(), LIPOWA_SERVICES).await?;
        let sahel = start_deployment(Plan::sahel(), SAHEL_SERVICES).await?;
        if matches.opt_present("serve") {
            return serve(&lipowa, &sahel).await;
        }
        run_load(lipowa, sahel, Duration::from_secs(seconds), seed).await
    })
}

/// Starts a deployment, publishes its services and waits until it is ready.
async fn start_deployment(plan: Plan, files: &[&str]) -> Result<Deployment> {
    let fleet = Fleet::start(Tcp, Tokio, plan).await?;
    fleet.publish(Version::default(), parse_services(files)?);
    let ready = tokio::time::timeout(READY_TIMEOUT, fleet.wait_ready()).await;
    ready.context("the deployment did not become ready")?;
    Ok(fleet)
}

/// Parses service files.
fn parse_services(files: &[&str]) -> Result<Vec<Service>> {
    let parse = |text: &&str| {
        service::parse(text).map_err(|problems| anyhow::anyhow!("service file: {problems:?}"))
    };
    files.iter().map(parse).collect()
}

/// Prints commands to try, and keeps the deployments up until Ctrl-C.
async fn serve(lipowa: &Deployment, sahel: &Deployment) -> Result<i32> {
    let quotes = sahel.entries[0].address();
    let loans = lipowa.entries[0].address();
    println!("Serving until Ctrl-C. Try:\n");
    println!(
        "curl -N http://{quotes}/v1/completions -d '{{\"model\":\"sahel-quotes\",\"prompt\":\"Quote 400 cores\",\"max_tokens\":20,\"stream\":true}}'\n"
    );
    println!(
        "curl http://{quotes}/v1/chat/completions -d '{{\"model\":\"sahel-quotes\",\"messages\":[{{\"role\":\"user\",\"content\":\"Quote\"}}],\"max_tokens\":20}}'\n"
    );
    println!(
        "curl http://{loans}/v1/completions -d '{{\"model\":\"lipowa-summaries\",\"prompt\":\"Summarise the application\"}}'\n"
    );
    println!("curl http://{loans}/services/loans/decisions -d '{{\"application\":17}}'\n");
    println!("cargo run --release -- status --entry {quotes}\n");
    println!("Change a target in examples/sahel/quotes.toml, then:\n");
    let entries = sahel.entries.iter();
    let entries = entries.map(|entry| format!(" --entry {}", entry.address()));
    println!(
        "cargo run --release -- publish --log {}{} examples/sahel",
        sahel.plan.address(1, LOG_PORT),
        entries.collect::<String>()
    );
    tokio::signal::ctrl_c().await?;
    Ok(0)
}

/// Sends load to both deployments and reports the result. Returns the exit code.
async fn run_load(lipowa: Deployment, sahel: Deployment, time: Duration, seed: u64) -> Result<i32> {
    let (lipowa_load, sahel_load) = (
        Load {
            model_rate: 3.0,
            plain_rate: 10.0,
            mean_prompt_bytes: 24_000,
            output_tokens: 60,
            route: "decisions",
        },
        Load {
            model_rate: 25.0,
            plain_rate: 20.0,
            mean_prompt_bytes: 2_000,
            output_tokens: 40,
            route: "reservations",
        },
    );
    let started = Instant::now();
    let progress = tokio::spawn(async move {
        loop {
            tokio::time::sleep(Duration::from_secs(2)).await;
            eprintln!(
                "demo: {} of {} s",
                started.elapsed().as_secs(),
                time.as_secs()
            );
        }
    });
    let (lipowa, sahel) = tokio::join!(
        send_load(&lipowa, LIPOWA_SERVICES, lipowa_load, time, seed),
        send_load(&sahel, SAHEL_SERVICES, sahel_load, time, seed + 1),
    );
    progress.abort();
    let violations = lipowa? + sahel?;
    if violations > 0 {
        eprintln!("{violations} broken promises");
        return Ok(EXIT_FAILED);
    }
    println!("no broken promise");
    Ok(0)
}

/// Sends load to one deployment and prints its reports. Returns the number of broken
/// guarantees: wrong answers, missing answers, memory that was not released, and calls that
/// ran twice.
async fn send_load(
    fleet: &Deployment,
    files: &[&str],
    load: Load,
    time: Duration,
    seed: u64,
) -> Result<u64> {
    let services = parse_services(files)?;
    let millis = |value: u32| Duration::from_millis(u64::from(value));
    let (model, plain) = (&services[0], &services[1]);
    let targets = (
        millis(model.first_token_ms),
        millis(model.between_tokens_ms),
    );
    let mut models = Report::new(&model.name, targets.0, targets.1);
    let mut plains = Report::new(&plain.name, Duration::ZERO, Duration::ZERO);
    let (sender, mut outcomes) = mpsc::unbounded_channel::<(bool, Outcome)>();
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    let mut number = 0u64;
    while Instant::now() < end {
        let rate = load.model_rate + load.plain_rate;
        let pause = -(1.0 - random.random::<f64>()).ln() / rate;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        number += 1;
        let entry = &fleet.entries[random.random_range(0..fleet.entries.len())];
        let client = Client::new(Tcp, entry.address());
        let sender = sender.clone();
        if random.random_bool(load.model_rate / rate) {
            models.sent += 1;
            let body = random_prompt(&mut random, load.mean_prompt_bytes, number);
            let name = model.name.clone();
            tokio::spawn(async move {
                let outcome = call_model(&client, &name, &body, load.output_tokens).await;
                // Sending fails only if the answer arrives after the run has ended.
                let _ = sender.send((true, outcome));
            });
        } else {
            plains.sent += 1;
            let path = format!("/services/{}/{}", plain.name, load.route);
            tokio::spawn(async move {
                let outcome = call_plain(&client, &path, number).await;
                let _ = sender.send((false, outcome));
            });
        }
    }
    drop(sender);
    let last_answers = async {
        while let Some((is_model, outcome)) = outcomes.recv().await {
            if is_model {
                models.add(outcome)
            } else {
                plains.add(outcome)
            }
        }
    };
    let has_lost_answers = tokio::time::timeout(LAST_ANSWER_TIMEOUT, last_answers)
        .await
        .is_err();
    models.print();
    plains.print();

    let release = async {
        while fleet.resident_count() > 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let has_leaked = tokio::time::timeout(RELEASE_TIMEOUT, release)
        .await
        .is_err();
    let run_twice = (1..=number)
        .filter(|tag| fleet.ledger.runs(&tag.to_string()) > 1)
        .count() as u64;
    let (read, wasted) = (fleet.ledger.tokens_read(), fleet.ledger.tokens_wasted());
    println!("    prefill: {read} tokens read, {wasted} wasted");
    Ok(models.wrong
        + plains.wrong
        + u64::from(has_lost_answers)
        + u64::from(has_leaked)
        + run_twice)
}

/// Generates a prompt of random length, whose beginning is shared with other prompts.
fn random_prompt(random: &mut StdRng, mean_bytes: usize, number: u64) -> String {
    let family = random.random_range(0..8);
    let size = (mean_bytes as f64 * -(1.0 - random.random::<f64>()).ln()) as usize;
    let shared = format!("family {family} of long papers ").repeat(mean_bytes / 60);
    let own = format!("request {number} ").repeat(size.clamp(16, mean_bytes * 8) / 16);
    shared + &own
}

/// Sends a model request and reads the streamed answer.
async fn call_model(client: &Client<Tcp>, model: &str, prompt: &str, output: u64) -> Outcome {
    let body = json!({ "model": model, "prompt": prompt, "max_tokens": output, "stream": true });
    let started = Instant::now();
    let answer = match client.send(json_request("/v1/completions", &body, 0)).await {
        Ok(answer) => answer,
        Err(error) => return Outcome::Refused(error.to_string()),
    };
    if let Some(code) = answer.headers().get("x-cranberryridge-code") {
        return Outcome::Refused(String::from_utf8_lossy(code.as_bytes()).into_owned());
    }
    let mut events = BodyDataStream::new(answer.into_body()).eventsource();
    let (mut text, mut last, mut first) = (String::new(), started, Duration::ZERO);
    let mut between = Vec::new();
    let mut is_whole = false;
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            is_whole = true;
            break;
        }
        let event = serde_json::from_str::<Value>(&event.data).unwrap_or_default();
        if !event["error"].is_null() {
            return Outcome::Refused(event["code"].to_string());
        }
        text += event["choices"][0]["text"].as_str().unwrap_or_default();
        if first.is_zero() {
            first = started.elapsed();
        } else {
            between.push(last.elapsed());
        }
        last = Instant::now();
    }
    Outcome::Answered(
        first,
        between,
        is_whole && text == expected_answer(prompt, output),
    )
}

/// Sends a plain call and checks the answer.
async fn call_plain(client: &Client<Tcp>, path: &str, number: u64) -> Outcome {
    let started = Instant::now();
    let answer = match client
        .fetch(json_request(path, &json!({ "number": number }), number))
        .await
    {
        Ok(answer) => answer,
        Err(error) => return Outcome::Refused(error.to_string()),
    };
    if let Some(code) = answer.headers().get("x-cranberryridge-code") {
        return Outcome::Refused(String::from_utf8_lossy(code.as_bytes()).into_owned());
    }
    let document = serde_json::from_slice::<Value>(answer.body()).unwrap_or_default();
    let is_right = document["tag"] == json!(number.to_string());
    Outcome::Answered(started.elapsed(), Vec::new(), is_right)
}

/// Builds a POST request with a JSON body. The stand-ins count runs by the tag.
fn json_request(path: &str, body: &Value, tag: u64) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = http::Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
        .headers_mut()
        .insert("x-tag", http::HeaderValue::from(tag));
    request
}
