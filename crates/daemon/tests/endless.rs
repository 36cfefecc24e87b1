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
    let names = std::env::var("ENDLESS_FORMS").unwrap_or(defaults.into());
    forms.retain(|(answer, _)| names == "all" || names.split(',').any(|name| name == answer.name));
    forms
}

/// Returns the number of callers of the faulty service.
fn caller_count() -> usize {
    let count = std::env::var("ENDLESS_CALLERS").ok();
    count.map_or(CALLERS, |count| count.parse().unwrap())
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
async fn start_site(route: &str, is_stream: bool, form: &Form) -> (Site, Vec<Flood>) {
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
    let count = (caller_count() / CALLERS_PER_ENDPOINT).clamp(1, MAX_ENDPOINTS);
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

/// Calls the faulty service again and again until a time. Returns how often each status came,
/// and whether an answer was passed on as a whole one.
async fn call_faulty(
    gateway: SocketAddr,
    route: &'static str,
    until: Instant,
) -> (BTreeMap<u16, usize>, bool) {
    let numbers = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    for _ in 0..caller_count() {
        let numbers = numbers.clone();
        callers.spawn(async move {
            let (mut statuses, mut is_whole) = (Vec::new(), false);
            while Instant::now() < until {
                let attempt = format!("a{}", numbers.fetch_add(1, Ordering::SeqCst));
                let (status, is_complete) = fetch(gateway, route, &attempt).await;
                is_whole |= status == 200 && is_complete;
                statuses.push(status);
                tokio::time::sleep(CALLER_PAUSE).await;
            }
            (statuses, is_whole)
        });
    }
    let (mut counts, mut is_any_whole) = (BTreeMap::new(), false);
    while let Some(caller) = callers.join_next().await {
        let (statuses, is_whole) = caller.unwrap();
        is_any_whole |= is_whole;
        for status in statuses {
            *counts.entry(status).or_default() += 1;
        }
    }
    (counts, is_any_whole)
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
/// memory and that the sound service is served.
async fn assert_bounded(route: &'static str, is_stream: bool, forms: Vec<Form>) {
    let _load = LOAD.lock().await;
    let mut failed = Vec::new();
    for form in forms {
        let (site, floods) = start_site(route, is_stream, &form).await;
        let before = peak_memory(site.gateway.id());
        let until = Instant::now() + LOAD_TIME;
        let faulty = call_faulty(site.gateway(), route, until);
        let (faulty, sound) = tokio::join!(faulty, ask_sound(site.gateway()));
        let (statuses, is_any_whole) = faulty;
        let peak = peak_memory(site.gateway.id());
        let answers = floods.iter().map(Flood::answer_count).sum::<usize>();
        let name = form.0.name;
        println!(
            "{route}, {name}: {before} MB before, peak of {peak} MB, {sound:?} \
             of the sound service, {answers} answers, {statuses:?}"
        );
        let served = sound.get(&200).copied().unwrap_or_default();
        let share = served as f64 / SOUND_REQUESTS as f64;
        if peak >= MEMORY_MB || share < MIN_SERVED_SHARE || is_any_whole || answers == 0 {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "{route}: {failed:?}");
}

// Read buffers and connections were not counted, and a faulty service took the room of others.
#[tokio::test(flavor = "multi_thread")]
async fn plain_answers_without_end_fit_in_memory() {
    let head = format!("HTTP/1.1 200 OK\r\nattempt-id: {ATTEMPT}\r\nresponse-stamp: s\r\n");
    assert_bounded("read", false, forms(&head, PLAIN_FORMS)).await;
}

// Parts of events were not counted.
#[tokio::test(flavor = "multi_thread")]
async fn streams_without_end_fit_in_memory() {
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {ATTEMPT}\r\nresponse-stamp: s\r\n\
         content-type: text/event-stream\r\n"
    );
    assert_bounded("note", true, forms(&head, STREAM_FORMS)).await;
}
