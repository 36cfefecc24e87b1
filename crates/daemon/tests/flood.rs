//! Memory that sidecars and entries take while endpoints send answers without end.

mod bed;

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge_standin::flood::{endless_answers, Answer, Settings};

use bed::{post, Process, Testbed, FIRST_DECODE_RUNNER};

/// Number of concurrent callers of answers without end.
const CALLERS: usize = 400;

/// Time for which they call.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// Timeout of a sound request.
const SOUND_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory for control, in megabytes.
const CONTROL_MEGABYTES: usize = 32;

/// Memory that a sidecar may take: for control, for the answers that it keeps, and four buffers
/// of 64 KiB for each of the 20 slots.
const MAX_SIDECAR_MEGABYTES: usize = CONTROL_MEGABYTES + 32 + 5;

/// Memory that an entry may take: for control, and three buffers of 64 KiB for each caller.
const MAX_ENTRY_MEGABYTES: usize = CONTROL_MEGABYTES + 3 * CALLERS / 16;

/// Text in the requests whose answers do not end.
const TRIGGER: &str = "endless";

/// Index of the first plain runner.
const FIRST_PLAIN_RUNNER: usize = 4;

/// Head of an answer, without the empty line.
const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// Head of a stream, without the empty line.
const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

/// Returns the resident memory of a process, in megabytes.
fn resident_megabytes(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<usize>().unwrap() / 1024
}

/// Peaks of the memory of the two flooded sidecars and of the entry, in megabytes.
async fn watch_memory(processes: Vec<u32>, stop: Arc<AtomicBool>) -> Vec<usize> {
    let mut peaks = vec![0; processes.len()];
    while !stop.load(Ordering::SeqCst) {
        for (peak, process) in peaks.iter_mut().zip(&processes) {
            *peak = resident_megabytes(*process).max(*peak);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    peaks
}

/// Calls again and again until `stop` is set. A caller that does not read keeps its connection.
async fn call(entry: SocketAddr, request: String, reads: bool, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let socket = TcpSocket::new_v4().unwrap();
        if !reads {
            socket.set_recv_buffer_size(4096).unwrap();
        }
        let Ok(mut stream) = socket.connect(entry).await else {
            continue;
        };
        if stream.write_all(request.as_bytes()).await.is_err() {
            continue;
        }
        let mut bytes = vec![0; 16 * 1024];
        while !stop.load(Ordering::SeqCst) {
            if !reads {
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
            let read = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut bytes));
            if matches!(read.await, Ok(Ok(0) | Err(_))) {
                break;
            }
        }
    }
}

/// Endpoints that send without end.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flooded {
    Plain,
    Decode,
}

impl Flooded {
    /// Returns the request of a caller whose answer does not end.
    fn request(self, caller: usize) -> String {
        let (path, body) = match self {
            Self::Plain => ("/services/orders/read", json!({ "text": TRIGGER })),
            Self::Decode => (
                "/v1/completions",
                json!({
                    "model": "summaries", "prompt": format!("{TRIGGER} {caller}"),
                    "max_tokens": 60, "stream": true,
                }),
            ),
        };
        let body = body.to_string();
        format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nx-client: flooded-{caller}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Sends a request to sound endpoints. Returns whether it was served.
    async fn send_sound(self, entry: SocketAddr, number: usize) -> bool {
        let request = match self {
            Self::Plain => {
                let body = json!({
                    "model": "summaries", "prompt": format!("sound {number}"),
                    "max_tokens": 5, "stream": true,
                });
                post("/v1/completions", &body, "sound")
            }
            Self::Decode => post("/services/orders/read", &json!({}), "sound"),
        };
        let answer = async {
            let answer = Client::new(Tcp, entry).send(request).await.ok()?;
            let status = answer.status();
            let body = answer.into_body().collect().await.ok()?.to_bytes();
            let is_whole = self == Self::Decode || body.ends_with(b"data: [DONE]\n\n");
            (status == 200 && is_whole).then_some(())
        };
        matches!(
            tokio::time::timeout(SOUND_TIMEOUT, answer).await,
            Ok(Some(()))
        )
    }
}

/// Sends sound requests for [`FLOOD_TIME`]. Returns their number, and that of those served.
async fn send_sound_requests(flooded: Flooded, entry: SocketAddr) -> (usize, usize) {
    let ends_at = tokio::time::Instant::now() + FLOOD_TIME;
    let (mut sent, mut served) = (0, 0);
    while tokio::time::Instant::now() < ends_at {
        served += usize::from(flooded.send_sound(entry, sent).await);
        sent += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    (sent, served)
}

/// Result of a flood.
#[derive(Debug)]
struct Outcome {
    /// Peaks of the memory of the flooded sidecars and of the entry, in megabytes.
    peaks: Vec<usize>,
    /// Number of sound requests, and of those that were served.
    sound: (usize, usize),
}

/// Floods both endpoints of a kind with callers of answers without end.
async fn flood(subnet: u8, flooded: Flooded, answer: &Answer, reads: bool) -> Outcome {
    let mut bed = Testbed::start(subnet).await;
    let first = match flooded {
        Flooded::Plain => FIRST_PLAIN_RUNNER,
        Flooded::Decode => FIRST_DECODE_RUNNER,
    };
    let mut floods = Vec::new();
    for index in [first, first + 1] {
        let settings: Settings = answer.settings(TRIGGER, Duration::ZERO);
        floods.push(bed.flood_runner(index, settings).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    bed.wait_until_ready().await;
    let stop = Arc::new(AtomicBool::new(false));
    let processes: [&Process; 3] = [
        &bed.sidecars[first],
        &bed.sidecars[first + 1],
        &bed.entries[0],
    ];
    let processes = processes.map(Process::id).to_vec();
    let peaks = tokio::spawn(watch_memory(processes, stop.clone()));
    let entry = bed.entry_address(0);
    let callers = (0..CALLERS).map(|caller| {
        let request = flooded.request(caller);
        tokio::spawn(call(entry, request, reads, stop.clone()))
    });
    let callers = callers.collect::<Vec<_>>();
    let sound = send_sound_requests(flooded, entry).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    let answers = floods.iter().map(|flood| flood.answer_count());
    let answers = answers.sum::<usize>();
    assert!(answers > 0, "not called");
    let outcome = Outcome {
        peaks: peaks.await.unwrap(),
        sound,
    };
    println!(
        "{flooded:?}, {}, reads {reads}: {outcome:?}, {answers} answers",
        answer.name
    );
    outcome
}

/// Returns an answer of a name.
fn named(answers: Vec<Answer>, name: &str) -> Answer {
    answers
        .into_iter()
        .find(|answer| answer.name == name)
        .unwrap()
}

/// Returns the streams without end.
fn streams() -> Vec<Answer> {
    let event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
    let stream = |name, rest: &str, filler| Answer {
        name,
        prefix: format!("{STREAM}\r\n{rest}"),
        filler,
    };
    vec![
        stream("event", "data: ", "a"),
        stream("comments", "", ":\n\n"),
        stream("events", "", event),
    ]
}

/// Runs floods of endpoints, each in a deployment of its own, and returns those that took more
/// memory than allowed or cost sound requests.
async fn failures(first_subnet: u8, flooded: Flooded, answers: &[Answer]) -> Vec<String> {
    let mut failures = Vec::new();
    let cases = answers
        .iter()
        .flat_map(|answer| [(answer, true), (answer, false)]);
    for ((answer, reads), subnet) in cases.zip(first_subnet..) {
        let outcome = flood(subnet, flooded, answer, reads).await;
        let (sidecars, entry) = outcome.peaks.split_at(2);
        let is_bounded = sidecars.iter().all(|peak| *peak < MAX_SIDECAR_MEGABYTES)
            && entry.iter().all(|peak| *peak < MAX_ENTRY_MEGABYTES);
        if !is_bounded || outcome.sound.0 != outcome.sound.1 {
            failures.push(format!("{}, reads {reads}: {outcome:?}", answer.name));
        }
    }
    failures
}

// Guards against plain services whose answers without end take the memory of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn plain_answers_without_end_take_bounded_memory() {
    let answers =
        ["interim heads", "header", "body"].map(|name| named(endless_answers(HEAD), name));
    let answers = [answers.to_vec(), streams()].concat();
    let failures = failures(40, Flooded::Plain, &answers).await;
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// Guards against engines whose streams without end take the memory of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_of_engines_without_end_take_bounded_memory() {
    let failures = failures(60, Flooded::Decode, &streams()).await;
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Sends the beginning of a request and then a filler until the entry closes the connection or
/// `stop` is set, again and again.
async fn send_without_end(
    entry: SocketAddr,
    head: String,
    filler: &'static str,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = tokio::net::TcpStream::connect(entry).await else {
            continue;
        };
        let filler = filler.repeat(16 * 1024 / filler.len());
        let mut written = stream.write_all(head.as_bytes()).await;
        while written.is_ok() && !stop.load(Ordering::SeqCst) {
            let write = stream.write_all(filler.as_bytes());
            if let Ok(result) = tokio::time::timeout(Duration::from_millis(200), write).await {
                written = result;
            }
        }
    }
}

/// Head of a request, without the empty line.
const REQUEST: &str = "POST /services/orders/read HTTP/1.1\r\nhost: a\r\n";

/// Floods an entry with requests without end, and asserts that it takes bounded memory and
/// serves sound requests.
async fn assert_requests_are_bounded(subnet: u8, head: String, filler: &'static str) {
    let bed = Testbed::start(subnet).await;
    let stop = Arc::new(AtomicBool::new(false));
    let peaks = tokio::spawn(watch_memory(vec![bed.entries[0].id()], stop.clone()));
    let entry = bed.entry_address(0);
    let callers = (0..CALLERS)
        .map(|_| tokio::spawn(send_without_end(entry, head.clone(), filler, stop.clone())));
    let callers = callers.collect::<Vec<_>>();
    let (sent, served) = send_sound_requests(Flooded::Decode, entry).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    let peak = peaks.await.unwrap()[0];
    println!("{filler:?}: {peak} MB, {served} of {sent} sound requests served");
    assert!(peak < MAX_ENTRY_MEGABYTES, "{peak} MB");
    assert_eq!(served, sent);
}

// Guards against callers whose heads have no end and take the memory of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heads_of_requests_without_end_take_bounded_memory() {
    assert_requests_are_bounded(80, REQUEST.into(), "x-filler: a\r\n").await;
}

// Guards against callers whose bodies have no end and take the memory of others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_of_requests_without_end_take_bounded_memory() {
    let head = format!("{REQUEST}transfer-encoding: chunked\r\n\r\n");
    let chunk = "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    assert_requests_are_bounded(81, head, chunk).await;
}

/// Size of a body near the limit of 8 MB, in bytes.
const LARGE_BODY_BYTES: usize = 8 * 1024 * 1024 - 64 * 1024;

/// Time in which the room of callers that have left is given back. What they sent before may
/// still be read.
const MAX_RELEASE_TIME: Duration = Duration::from_secs(5);

/// Number of connections that declare a body near the limit, and send nothing of it.
const DECLARING_CALLERS: usize = 16;

/// Calls the plain service with a body near the limit. Returns what went wrong.
async fn call_with_large_body(entry: SocketAddr, client: &'static str) -> Result<(), String> {
    let body = json!({ "text": "a".repeat(LARGE_BODY_BYTES) });
    let mut request = post("/services/orders/read", &body, "large");
    let account = http::HeaderValue::from_static(client);
    request.headers_mut().insert("x-client", account);
    let caller = Client::new(Tcp, entry);
    let answer = tokio::time::timeout(SOUND_TIMEOUT, caller.fetch(request)).await;
    match answer {
        Ok(Ok(answer)) if answer.status() == 200 => Ok(()),
        answer => Err(format!("{client}: {answer:?}")),
    }
}

/// Calls the plain service with bodies near the limit, and asserts that all are served.
async fn assert_large_bodies_are_served(entry: SocketAddr, client: &'static str) {
    for _ in 0..5 {
        let result = call_with_large_body(entry, client).await;
        assert!(result.is_ok(), "{result:?}");
    }
}

/// Waits until a body near the limit is served, for up to [`MAX_RELEASE_TIME`].
async fn wait_for_room(entry: SocketAddr, client: &'static str) {
    let start = tokio::time::Instant::now();
    while let Err(error) = call_with_large_body(entry, client).await {
        assert!(start.elapsed() < MAX_RELEASE_TIME, "{error}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    println!("{client}: room after {:?}", start.elapsed());
}

/// Starts callers of the client account `endless` that send bodies without end.
fn start_endless_bodies(
    entry: SocketAddr,
    stop: &Arc<AtomicBool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let head = format!("{REQUEST}x-client: endless\r\ntransfer-encoding: chunked\r\n\r\n");
    let chunk = "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
    let callers = (0..CALLERS)
        .map(|_| tokio::spawn(send_without_end(entry, head.clone(), chunk, stop.clone())));
    callers.collect()
}

// Guards against callers of one client account whose bodies leave no room for large bodies of
// another.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_bodies_pass_beside_bodies_without_end() {
    let bed = Testbed::start(82).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_endless_bodies(bed.entry_address(0), &stop);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_large_bodies_are_served(bed.entry_address(0), "sound").await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
}

// Guards against bodies without end that keep their room after their callers have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn room_is_given_back_after_bodies_without_end() {
    let bed = Testbed::start(84).await;
    let entry = bed.entry_address(0);
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_endless_bodies(entry, &stop);
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    tokio::time::sleep(MAX_RELEASE_TIME).await;
    assert_large_bodies_are_served(entry, "endless").await;
}

// Guards against declared bodies for which there is no room, which are read all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn declared_bodies_without_room_are_refused_before_they_are_read() {
    let bed = Testbed::start(83).await;
    let entry = bed.entry_address(0);
    let head = format!("{REQUEST}x-client: greedy\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n");
    let mut open = Vec::new();
    let mut refusals = Vec::new();
    for _ in 0..DECLARING_CALLERS {
        let mut stream = tokio::net::TcpStream::connect(entry).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = vec![0; 4096];
        let read = tokio::time::timeout(Duration::from_millis(300), stream.read(&mut bytes));
        match read.await {
            Ok(read) => {
                refusals.push(String::from_utf8_lossy(&bytes[..read.unwrap()]).into_owned())
            }
            Err(_) => open.push(stream),
        }
    }
    assert!(!open.is_empty(), "all were refused");
    assert!(!refusals.is_empty(), "none was refused");
    for refusal in &refusals {
        assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
        assert!(refusal.contains("x-cranberryridge-code: 1103"), "{refusal}");
        assert!(refusal.contains("retry-after: "), "{refusal}");
    }
    assert_large_bodies_are_served(entry, "sound").await;
    drop(open);
    wait_for_room(entry, "greedy").await;
    assert_large_bodies_are_served(entry, "greedy").await;
}
