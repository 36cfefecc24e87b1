//! Tests of a gateway's process under many answers without end. What they take must fit in
//! its memory, and must not displace the requests to other services.

mod host;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::Instant;

use cranberryridge::body::Body;
use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge_standin::flood::{endless_answers, Answer, Flood, ATTEMPT};
use cranberryridge_standin::runner::{self, Runner};
use cranberryridge_standin::server::Server;

use host::{address, Site, MEMORY_MB};

/// Number of callers of the faulty service, unless `ENDLESS_CALLERS` names another.
const CALLERS: usize = 400;

/// Number of callers that get interim heads only, unless `ENDLESS_CALLERS` names another.
const INTERIM_CALLERS: usize = 1500;

/// Callers for each faulty endpoint, of which there are at most [`MAX_ENDPOINTS`].
const CALLERS_PER_ENDPOINT: usize = 50;

const MAX_ENDPOINTS: usize = 24;

/// Time for which the faulty service is called.
const LOAD_TIME: Duration = Duration::from_secs(7);

/// Time after which the sound service is asked, beside the load.
const SOUND_START: Duration = Duration::from_millis(1500);

/// Time between two requests to the sound service.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);

/// Number of requests to the sound service.
const SOUND_REQUESTS: usize = 200;

/// Time in which a request to the sound service must be served.
const SOUND_TIME: Duration = Duration::from_secs(5);

/// Time in which a caller of the faulty service is answered: its deadline, and half a second.
const ANSWER_TIME: Duration = Duration::from_millis(5000 + 500);

/// Time after which a caller of the faulty service gives up, so that a test ends.
const MAX_FETCH_TIME: Duration = Duration::from_secs(20);

/// Least share of requests to the sound service that are served.
const MIN_SERVED_SHARE: f64 = 0.99;

/// Pause of a caller after its answer has broken off or was refused.
const CALLER_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two parts of an answer that drips.
const DRIP_PAUSE: Duration = Duration::from_millis(200);

/// Forms that are played unless `ENDLESS_FORMS` is `all` or names others.
const PLAIN_FORMS: &str = "interim heads,body";

const STREAM_FORMS: &str = "event,comments";

/// Only one gateway is under load at a time.
static LOAD: Mutex<()> = Mutex::const_new(());

/// An answer without end, and the pause before each repetition.
type Form = (Answer, Duration);

/// Returns the forms of answers of a test. `head` is a head without the empty line.
fn forms(head: &str, defaults: &str) -> Vec<Form> {
    let answer = |name, prefix: String, filler| Answer {
        name,
        prefix,
        filler,
    };
    let mut forms = endless_answers(head);
    forms.push(answer("status line", "HTTP/1.1 200 ".into(), "a"));
    if head.contains("event-stream") {
        let body = |rest: &str| format!("{head}\r\n{rest}");
        let event = body("id: 1\ndata: a\n\n");
        forms.push(answer("event", body("id: 1\ndata: "), "a"));
        forms.push(answer("comments", body(""), ":\n\n"));
        forms.push(answer("later comments", event, ": a\n\n"));
    }
    let mut forms = forms
        .into_iter()
        .map(|answer| (answer, Duration::ZERO))
        .collect::<Vec<_>>();
    forms.push((answer("drip", head.into(), "x: a\r\n"), DRIP_PAUSE));
    let hints = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    forms.push((answer("early hints", String::new(), hints), Duration::ZERO));
    let names = std::env::var("ENDLESS_FORMS").unwrap_or(defaults.into());
    forms.retain(|(answer, _)| names == "all" || names.split(',').any(|name| name == answer.name));
    forms
}

/// Returns the number of callers of the faulty service.
fn caller_count(default: usize) -> usize {
    let count = std::env::var("ENDLESS_CALLERS").ok();
    count.map_or(default, |count| count.parse().unwrap())
}

/// Returns the peak of the memory of a process in megabytes.
fn peak_memory(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<usize>().unwrap() / 1024
}

/// Sends a request of a route and reads its answer as it arrives. Returns the status, and
/// whether the answer is complete.
async fn fetch(gateway: SocketAddr, route: &str, attempt: &str) -> (u16, bool) {
    let request = Request::post(format!("/{route}/{attempt}"))
        .header("host", "desk.example")
        .header("attempt-id", attempt)
        .header("deadline-ms", "5000")
        .header("model", "m")
        .header("token-count", "30,32")
        .header("length-hint", "32")
        .body(Full::new(Bytes::from("p")));
    let Ok(answer) = Client::new(Tcp, gateway).send(request.unwrap()).await else {
        return (0, false);
    };
    let (head, mut body) = answer.into_parts();
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return (head.status.as_u16(), false);
        }
    }
    (head.status.as_u16(), true)
}

/// Starts an endpoint that answers at once.
async fn start_sound(at: SocketAddr) -> Server {
    let handler = |request: Request<Bytes>| {
        let mut response = Response::new(Body::full("sound"));
        let headers = response.headers_mut();
        headers.insert("response-stamp", HeaderValue::from_static("stamp"));
        if let Some(attempt) = request.headers().get("attempt-id") {
            headers.insert("attempt-id", attempt.clone());
        }
        async move { response }
    };
    Server::start(&Tcp, at, handler).await.unwrap()
}

/// Starts a sound service, and a faulty one whose answers to calls of a route have no end.
async fn start_site(
    route: &str,
    is_stream: bool,
    callers: usize,
    form: &Form,
) -> (Site, Vec<Flood>) {
    let mut site = Site::start().await;
    let sound = start_sound(address(site.subnet, 10)).await;
    site.servers.push(sound);
    site.list_soon(10, "i-10", "stock", None);
    let behind = address(site.subnet, 11);
    let server = if is_stream {
        let runner = Runner::new(runner::Settings {
            id: "i-11".into(),
            phase: Some("prefill"),
            ..runner::Settings::default()
        });
        site.list_soon(11, "i-11", "model", Some("prefill"));
        runner.serve(&Tcp, behind).await.unwrap()
    } else {
        start_sound(behind).await
    };
    site.servers.push(server);
    let count = (callers / CALLERS_PER_ENDPOINT).clamp(1, MAX_ENDPOINTS);
    let mut floods = Vec::new();
    for host in (20..).take(count) {
        let id = format!("i-{host}");
        let at = address(site.subnet, host);
        let behind = if is_stream {
            let runner = Runner::new(runner::Settings {
                id: id.clone(),
                phase: Some("decode"),
                ..runner::Settings::default()
            });
            let own = address(site.subnet, host + 100);
            site.servers.push(runner.serve(&Tcp, own).await.unwrap());
            own
        } else {
            behind
        };
        let settings = form.0.settings(&format!("POST /{route}/"), form.1);
        floods.push(Flood::start(&Tcp, at, behind, settings).await.unwrap());
        let (service, phase) = match is_stream {
            true => ("model", Some("decode")),
            false => ("orders", None),
        };
        site.list_soon(host, &id, service, phase);
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    (site, floods)
}

/// What callers of the faulty service got.
#[derive(Debug, Default)]
struct Outcome {
    /// How often each status came.
    statuses: BTreeMap<u16, usize>,
    /// Whether an answer was passed on as a whole one.
    is_any_whole: bool,
    /// Number of answers that ended after [`ANSWER_TIME`].
    late: usize,
    /// Longest time of an answer.
    longest: Duration,
}

/// Calls the faulty service again and again until a time.
async fn call_faulty(
    gateway: SocketAddr,
    route: &'static str,
    callers: usize,
    until: Instant,
) -> Outcome {
    let numbers = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let numbers = numbers.clone();
        tasks.spawn(async move {
            let mut answers = Vec::new();
            while Instant::now() < until {
                let attempt = format!("a{}", numbers.fetch_add(1, Ordering::SeqCst));
                let began_at = Instant::now();
                let answer = fetch(gateway, route, &attempt);
                let answer = tokio::time::timeout(MAX_FETCH_TIME, answer).await;
                let (status, is_complete) = answer.unwrap_or((0, false));
                answers.push((status, is_complete, began_at.elapsed()));
                tokio::time::sleep(CALLER_PAUSE).await;
            }
            answers
        });
    }
    let mut outcome = Outcome::default();
    while let Some(answers) = tasks.join_next().await {
        for (status, is_complete, took) in answers.unwrap() {
            *outcome.statuses.entry(status).or_default() += 1;
            outcome.is_any_whole |= status == 200 && is_complete;
            outcome.late += usize::from(took > ANSWER_TIME);
            outcome.longest = outcome.longest.max(took);
        }
    }
    outcome
}

/// Asks the sound service. Returns how often each status came, and 0 for no whole answer in time.
async fn ask_sound(gateway: SocketAddr) -> BTreeMap<u16, usize> {
    tokio::time::sleep(SOUND_START).await;
    let mut requests = JoinSet::new();
    for number in 0..SOUND_REQUESTS {
        requests.spawn(async move {
            let attempt = format!("s{number}");
            let answer = tokio::time::timeout(SOUND_TIME, fetch(gateway, "look", &attempt)).await;
            answer.map_or(0, |(status, is_whole)| if is_whole { status } else { 0 })
        });
        tokio::time::sleep(SOUND_INTERVAL).await;
    }
    let mut counts = BTreeMap::new();
    while let Some(request) = requests.join_next().await {
        *counts.entry(request.unwrap()).or_default() += 1;
    }
    counts
}

/// Plays forms of answers without end, and asserts for each that the process stays within its
/// memory and that the sound service is served. Returns what the callers of each form got.
async fn assert_bounded(
    route: &'static str,
    is_stream: bool,
    callers: usize,
    forms: Vec<Form>,
) -> Vec<(&'static str, Outcome)> {
    let _load = LOAD.lock().await;
    let (mut failed, mut outcomes) = (Vec::new(), Vec::new());
    for form in forms {
        let (site, floods) = start_site(route, is_stream, callers, &form).await;
        let before = peak_memory(site.gateway.id());
        let until = Instant::now() + LOAD_TIME;
        let faulty = call_faulty(site.gateway(), route, callers, until);
        let (faulty, sound) = tokio::join!(faulty, ask_sound(site.gateway()));
        let peak = peak_memory(site.gateway.id());
        let answers = floods.iter().map(Flood::answer_count).sum::<usize>();
        let name = form.0.name;
        println!(
            "{route}, {name}: {before} MB before, peak of {peak} MB, {sound:?} \
             of the sound service, {answers} answers, {faulty:?}"
        );
        let served = sound.get(&200).copied().unwrap_or_default();
        let share = served as f64 / SOUND_REQUESTS as f64;
        let is_whole = faulty.is_any_whole;
        assert!(faulty.longest < MAX_FETCH_TIME, "{name}: never answered");
        if peak >= MEMORY_MB || share < MIN_SERVED_SHARE || is_whole || answers == 0 {
            failed.push(name);
        }
        outcomes.push((name, faulty));
    }
    assert!(failed.is_empty(), "{route}: {failed:?}");
    outcomes
}

// Read buffers and connections were not counted, and a faulty service took the room of others.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_without_end_fit_in_memory() {
    let head = format!("HTTP/1.1 200 OK\r\nattempt-id: {ATTEMPT}\r\nresponse-stamp: s\r\n");
    assert_bounded(
        "read",
        false,
        caller_count(CALLERS),
        forms(&head, PLAIN_FORMS),
    )
    .await;
}

// Each attempt read thousands of interim heads, which took the processor from all others.
#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_without_end_delay_nobody() {
    let forms = forms("HTTP/1.1 200 OK\r\n", "interim heads,early hints");
    let callers = caller_count(INTERIM_CALLERS);
    for (name, outcome) in assert_bounded("read", false, callers, forms).await {
        assert_eq!(outcome.late, 0, "{name}: {outcome:?}");
    }
}

// Parts of events were not counted.
#[tokio::test(flavor = "multi_thread")]
async fn streams_without_end_fit_in_memory() {
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {ATTEMPT}\r\nresponse-stamp: s\r\n\
         content-type: text/event-stream\r\n"
    );
    assert_bounded(
        "note",
        true,
        caller_count(CALLERS),
        forms(&head, STREAM_FORMS),
    )
    .await;
}
