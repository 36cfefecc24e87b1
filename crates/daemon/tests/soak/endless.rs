//! Endpoints that send bytes without end, their callers, and the gateways' memory meanwhile.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http_body_util::BodyExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use super::load::{self, CALL_DEADLINE};
use super::site::{self, Site, MEMORY_MB};

/// Plain service whose endpoints send without end.
pub const SERVICE: &str = "endless";

/// Service of engines that do.
pub const MODEL: &str = "endless-model";

/// Routes to them: name, kind and service.
pub const ROUTES: [(&str, &str, &str); 3] = [
    ("endless-read", "idempotent", SERVICE),
    ("endless-list", "streaming", SERVICE),
    ("endless-note", "streaming", MODEL),
];

/// Hosts of the endpoints with their service.
const ENDPOINTS: [(u8, &str); 4] = [(250, SERVICE), (251, SERVICE), (252, MODEL), (253, MODEL)];

/// Number of callers if `SOAK_ENDLESS` is not set.
const CALLERS: u64 = 48;

/// Bytes that a connection is sent at a time.
const WRITE_BYTES: usize = 16 * 1024;

/// Time between two of these.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two looks at the gateways' memory.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);

/// Head of an answer in events, without its empty line.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n";

/// Answers without end: what they begin with after the head, and what they repeat. The head
/// itself is left out where the begin has its place.
const ANSWERS: [(bool, &str, &str); 13] = [
    (true, "x-filler: ", "a"),
    (true, "", "x-filler: a\r\n"),
    (false, "", "HTTP/1.1 100 Continue\r\n\r\n"),
    (false, "", "\0"),
    (true, "\r\n", "a"),
    (true, "content-length: 99999999999\r\n\r\n", "a"),
    (
        true,
        "transfer-encoding: chunked\r\n\r\n",
        "8\r\naaaaaaaa\r\n",
    ),
    (true, "transfer-encoding: chunked\r\n\r\n1;", "a"),
    (true, "transfer-encoding: chunked\r\n\r\n0\r\n", "x: a\r\n"),
    (true, "\r\ndata: ", "a"),
    (true, "\r\n", ": comment\n\n"),
    (true, "\r\nid: 1\ndata: a\n\n", ": comment\n\n"),
    (true, "\r\nid: 1\ndata: a\n\nid: 2\ndata: ", "a"),
];

/// Starts the endpoints. Returns their ids and entries.
pub async fn start_endpoints(subnet: u8) -> Vec<(String, Value)> {
    let next_answer = Arc::<AtomicUsize>::default();
    let mut entries = Vec::new();
    for (host, service) in ENDPOINTS {
        let at = site::address(subnet, host, 7002);
        let listener = TcpListener::bind(at).await.unwrap();
        let next_answer = next_answer.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A caller that is gone ends its connection only.
                tokio::spawn(serve(stream, next_answer.clone()));
            }
        });
        let mut entry = json!({
            "service": service, "address": at.to_string(), "zone": "a", "slots": 64,
            "state": "ready", "born": 1,
        });
        if service == MODEL {
            entry["phase"] = "decode".into();
        }
        entries.push((format!("e-{host}"), entry));
    }
    entries
}

/// Answers one request without end.
///
/// # Errors
///
/// Fails once the caller is gone.
async fn serve(mut stream: TcpStream, next_answer: Arc<AtomicUsize>) -> io::Result<()> {
    let request = read_request(&mut stream).await?;
    if request.contains(" /-/") {
        let reservation = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"hold\":\"h\"}";
        return stream.write_all(reservation.as_bytes()).await;
    }
    let attempt = request
        .lines()
        .find_map(|line| line.strip_prefix("attempt-id: "));
    let number = next_answer.fetch_add(1, Ordering::SeqCst);
    let (has_head, begin, filler) = ANSWERS[number % ANSWERS.len()];
    if has_head {
        let attempt = attempt.unwrap_or_default();
        let head = format!("{HEAD}attempt-id: {attempt}\r\nresponse-stamp: s\r\n");
        stream.write_all(head.as_bytes()).await?;
    }
    stream.write_all(begin.as_bytes()).await?;
    let filler = filler.repeat(WRITE_BYTES / filler.len());
    loop {
        stream.write_all(filler.as_bytes()).await?;
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
}

/// Reads a request's head.
///
/// # Errors
///
/// Fails if the caller is gone.
async fn read_request(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Running callers of the endpoints, and what they cost the gateways.
pub struct Callers {
    callers: Vec<JoinHandle<()>>,
    watcher: JoinHandle<()>,
    /// Attempts whose answer ended as complete.
    complete: Arc<Mutex<Vec<String>>>,
    requests: Arc<AtomicUsize>,
    /// Most resident memory of a gateway, in megabytes.
    peak_mb: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts the callers, and to watch the gateways' memory.
    pub fn start(site: &Site, seed: u64) -> Self {
        let number = std::env::var("SOAK_ENDLESS").ok();
        let number = number.map_or(CALLERS, |number| number.parse().unwrap());
        let mut all = Self {
            callers: Vec::new(),
            watcher: tokio::spawn(std::future::ready(())),
            complete: Arc::default(),
            requests: Arc::default(),
            peak_mb: Arc::default(),
            stop: Arc::default(),
        };
        for caller in 0..number {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 3000));
            let gateways = site.gateways();
            let (complete, requests) = (all.complete.clone(), all.requests.clone());
            let stop = all.stop.clone();
            all.callers.push(tokio::spawn(async move {
                while !stop.load(Ordering::SeqCst) {
                    let number = requests.fetch_add(1, Ordering::SeqCst);
                    let attempt = format!("e{caller}-{number}");
                    let (route, ..) = *ROUTES.choose(&mut random).unwrap();
                    let gateway = *gateways.choose(&mut random).unwrap();
                    let deadline = Instant::now() + CALL_DEADLINE;
                    let answer = timeout_at(deadline, fetch(gateway, route, &attempt)).await;
                    if answer == Ok(Some(200)) {
                        complete.lock().unwrap().push(attempt);
                    }
                    let pause = random.random_range(20..200);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }));
        }
        let (processes, peak_mb) = (site.process_ids.clone(), all.peak_mb.clone());
        all.watcher = tokio::spawn(async move {
            loop {
                let ids = processes.lock().unwrap().clone();
                let most = ids.into_iter().filter_map(resident_mb).max();
                peak_mb.fetch_max(most.unwrap_or_default(), Ordering::SeqCst);
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
        });
        all
    }

    /// Lets callers end after their current request.
    pub fn begin_stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Waits until the callers have ended, and checks that no answer was complete and that no
    /// gateway took more memory than its host has.
    pub async fn stop(self, seed: u64) {
        self.begin_stop();
        for caller in self.callers {
            caller.await.unwrap();
        }
        self.watcher.abort();
        let peak_mb = self.peak_mb.load(Ordering::SeqCst);
        let requests = self.requests.load(Ordering::SeqCst);
        println!("soak: seed {seed}: {requests} requests without end, peak of {peak_mb} MB");
        let complete = self.complete.lock().unwrap();
        assert!(complete.is_empty(), "seed {seed}: complete: {complete:?}");
        // The platform ends a process that takes more.
        assert!(peak_mb < MEMORY_MB, "seed {seed}: peak of {peak_mb} MB");
    }
}

/// Sends a request and drops what it is answered. Returns the status if the answer is
/// complete.
async fn fetch(gateway: SocketAddr, route: &str, attempt: &str) -> Option<u16> {
    let mut sender = load::connect(gateway).await?;
    let mut request = load::request(route, attempt);
    *request.body_mut() = attempt.to_owned().into();
    let answer = sender.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    let mut body = answer.into_body();
    while let Some(frame) = body.frame().await {
        frame.ok()?;
    }
    Some(status)
}

/// Returns the resident memory of a process, in megabytes, if it is there.
fn resident_mb(process: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kilobytes = line.split_whitespace().nth(1)?.parse::<usize>().ok()?;
    Some(kilobytes / 1024)
}
