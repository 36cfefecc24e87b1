//! Crowds of callers that misbehave, at a gateway process with low limits.
//!
//! The platform kills a process that exceeds its memory, and a process without descriptors serves
//! nobody. `HOST_GATEWAY` is the path of another gateway, such as an older one.

mod host;

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Mutex;
use tokio::task::JoinSet;

use cranberryridge::body::Body;
use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge_standin::server::Server;

use host::{address, Limits, Site};

/// Limits of the process, low enough for a small crowd to exceed them.
const LIMITS: Limits = Limits {
    memory_mb: 28,
    descriptors: 500,
};

/// Number of callers of a crowd, more than there are descriptors for connections.
const CALLERS: usize = 600;

/// Time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_millis(2500);

/// Time in which an ordinary request is answered once the crowd has gone. Covers the timeouts of
/// what the crowd left behind.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the crowd's bodies, in bytes. A body may have 4 MiB.
const BODY_BYTES: usize = 128 * 1024;

/// Size of the endpoint's answers, in bytes.
const ANSWER_BYTES: usize = 256 * 1024;

/// Tests of crowds run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// How the callers of a crowd misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// A body of legal size, sent at once but for its last byte.
    Whole,
    /// A body of legal size, sent in small pieces but for its last byte.
    Pieces,
    /// A body of legal size, sent in chunks but for the last one.
    Chunks,
    /// Chunks without end.
    Endless,
    /// A declared length far over the limit.
    FarOver,
    /// A head of legal size, made of very many short fields.
    Fields,
    /// Many requests ahead, whose answers are not read.
    Ahead,
    /// A head, sent byte by byte.
    SlowHead,
    /// A body, sent byte by byte.
    SlowBody,
    /// A request whose answer is not read.
    SlowRead,
    /// A head that stops half-way.
    HalfHead,
    /// A connection without a byte.
    Silent,
}

/// Returns the start of a request's head, without its last line.
fn head(method: &str, path: &str, caller: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nattempt-id: c{caller}\r\n\
         deadline-ms: 14000\r\nmodel: m\r\ntoken-count: 300,32\r\nlength-hint: 32\r\n"
    )
}

/// Sends what a caller of a form sends, until it has no more to send or the connection ends.
async fn misbehave(stream: &mut TcpStream, form: Form, path: &str, caller: usize) -> Option<()> {
    let post = head("POST", path, caller);
    let get = head("GET", path, caller);
    let pause = Duration::from_millis(20);
    let sized = |bytes: usize| format!("{post}content-length: {bytes}\r\n\r\n");
    match form {
        Form::Silent => {}
        Form::Whole => {
            let mut bytes = sized(BODY_BYTES).into_bytes();
            bytes.resize(bytes.len() + BODY_BYTES - 1, b'b');
            stream.write_all(&bytes).await.ok()?;
        }
        Form::Pieces => {
            stream.write_all(sized(BODY_BYTES).as_bytes()).await.ok()?;
            let piece = vec![b'b'; BODY_BYTES / 64];
            for _ in 1..64 {
                stream.write_all(&piece).await.ok()?;
                tokio::time::sleep(pause).await;
            }
        }
        Form::Chunks | Form::Endless => {
            let text = format!("{post}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            let chunk = format!("800\r\n{}\r\n", "b".repeat(0x800));
            let count = if form == Form::Chunks { 64 } else { 4096 };
            for _ in 0..count {
                stream.write_all(chunk.as_bytes()).await.ok()?;
                tokio::task::yield_now().await;
            }
        }
        Form::FarOver => {
            stream.write_all(sized(1 << 32).as_bytes()).await.ok()?;
            let piece = vec![b'b'; 64 * 1024];
            for _ in 0..64 {
                stream.write_all(&piece).await.ok()?;
            }
        }
        Form::Fields => {
            let fields = "a:b\r\n".repeat(2800);
            let text = format!("{post}{fields}content-length: 2\r\n\r\nb");
            stream.write_all(text.as_bytes()).await.ok()?;
        }
        Form::Ahead => {
            let request = format!("{get}\r\n");
            for _ in 0..400 {
                stream.write_all(request.as_bytes()).await.ok()?;
            }
        }
        Form::SlowHead => {
            for byte in post.repeat(8).bytes() {
                stream.write_all(&[byte]).await.ok()?;
                tokio::time::sleep(pause).await;
            }
        }
        Form::SlowBody => {
            stream.write_all(sized(BODY_BYTES).as_bytes()).await.ok()?;
            for _ in 0..1000 {
                stream.write_all(b"b").await.ok()?;
                tokio::time::sleep(pause).await;
            }
        }
        Form::SlowRead => {
            stream
                .write_all(format!("{get}\r\n").as_bytes())
                .await
                .ok()?;
        }
        Form::HalfHead => {
            stream.write_all(post.as_bytes()).await.ok()?;
        }
    }
    Some(())
}

/// Connects and misbehaves again and again, until `stop` is set.
async fn call(
    at: SocketAddr,
    form: Form,
    path: &'static str,
    caller: usize,
    stop: Arc<AtomicBool>,
) {
    while !stop.load(Ordering::SeqCst) {
        let socket = TcpSocket::new_v4().unwrap();
        // An answer that is not read fills this at once.
        socket.set_recv_buffer_size(4096).unwrap();
        let connected = tokio::time::timeout(CROWD_TIME, socket.connect(at)).await;
        let Ok(Ok(mut stream)) = connected else {
            continue;
        };
        let _ = tokio::time::timeout(CROWD_TIME, misbehave(&mut stream, form, path, caller)).await;
        let mut bytes = [0; 64];
        while !stop.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let reads = !matches!(form, Form::Ahead | Form::SlowRead);
            let read = if reads {
                stream.try_read(&mut bytes).map_err(|error| error.kind())
            } else {
                let peeked = stream.peek(&mut bytes);
                let peeked = tokio::time::timeout(Duration::ZERO, peeked).await;
                match peeked {
                    Ok(peeked) => peeked.map_err(|error| error.kind()),
                    Err(_) => Err(std::io::ErrorKind::WouldBlock),
                }
            };
            match read {
                Ok(1..) | Err(std::io::ErrorKind::WouldBlock) => {}
                Ok(0) | Err(_) => break,
            }
        }
    }
}

/// Largest use of a process.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Resident memory and received bytes that were not read, in kilobytes.
    kilobytes: usize,
    descriptors: usize,
}

/// Returns the resident memory of a process, in kilobytes. `None` if it has ended.
fn resident_kilobytes(process: u32) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the bytes that were received at an IP address and not read, in kilobytes.
fn unread_kilobytes(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return 0 };
    let local = format!("{:08X}:", u32::from_ne_bytes(at.ip().octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_own = fields.next()?.starts_with(&local);
        // A listener counts connections there.
        let is_listener = fields.nth(1)? == "0A";
        let queue = fields.next()?.split(':').nth(1)?;
        let unread = usize::from_str_radix(queue, 16).ok()?;
        (is_own && !is_listener).then_some(unread)
    });
    rows.sum::<usize>() / 1024
}

/// Watches a process until `stop` is set. Returns `None` if it ends before.
async fn watch(process: u32, at: SocketAddr, stop: Arc<AtomicBool>) -> Option<Peak> {
    let mut peak = Peak::default();
    while !stop.load(Ordering::SeqCst) {
        let kilobytes = resident_kilobytes(process)? + unread_kilobytes(at);
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
        peak.kilobytes = peak.kilobytes.max(kilobytes);
        peak.descriptors = peak.descriptors.max(descriptors);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Some(peak)
}

/// Answers each call with a large body.
async fn start_endpoint(site: &mut Site) {
    let handler = move |request: Request<Bytes>| {
        let attempt = request.headers().get("attempt-id").cloned();
        let mut response = Response::new(Body::full(vec![b'a'; ANSWER_BYTES]));
        let headers = response.headers_mut();
        headers.insert("response-stamp", HeaderValue::from_static("stamp"));
        if let Some(attempt) = attempt {
            headers.insert("attempt-id", attempt);
        }
        async move { response }
    };
    let server = Server::start(&Tcp, address(site.subnet, 10), handler).await;
    site.servers.push(server.unwrap());
    site.list(10, "i-10", "orders", None).await;
}

/// Sends ordinary requests one after the other until one is answered.
async fn is_answered(gateway: SocketAddr) -> bool {
    let attempts = async {
        for attempt in 0.. {
            let request = Request::post("/book/7")
                .header("host", "desk.example")
                .header("attempt-id", format!("ordinary-{attempt}"))
                .header("deadline-ms", "14000")
                .body(Full::new(Bytes::from(vec![b'o'; 64 * 1024])))
                .unwrap();
            let answer = async {
                let answer = Client::new(Tcp, gateway).send(request).await.ok()?;
                let status = answer.status();
                let body = answer.into_body().collect().await.ok()?.to_bytes();
                (status == 200 && body.len() == ANSWER_BYTES).then_some(())
            };
            let answer = tokio::time::timeout(Duration::from_secs(15), answer).await;
            if matches!(answer, Ok(Some(()))) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    };
    tokio::time::timeout(ANSWER_TIMEOUT, attempts).await.is_ok()
}

/// Returns whether the readiness probe answers 200.
async fn is_ready(probe: SocketAddr) -> bool {
    let request = Request::get("/-/readiness").body(Full::<Bytes>::default());
    let client = Client::new(Tcp, probe);
    let answer = client.send(request.unwrap());
    let answer = tokio::time::timeout(Duration::from_secs(15), answer).await;
    matches!(answer, Ok(Ok(answer)) if answer.status() == 200)
}

/// Where a crowd comes.
#[derive(Clone, Copy, Debug)]
enum Door {
    Callers(&'static str),
    Probes,
}

/// Paths of a crowd: a model route, a plain one, none, and that of the probe.
const DOORS: [Door; 5] = [
    Door::Callers("/note/7"),
    Door::Callers("/book/7"),
    Door::Callers("/none/7"),
    Door::Callers("/-/readiness"),
    Door::Probes,
];

/// Plays crowds of a form at all paths. Each finds the process alive, within its memory and its
/// descriptors, and an ordinary request answered afterwards.
async fn assert_bounded(form: Form) {
    let _turn = TURN.lock().await;
    let mut failures = Vec::new();
    let mut site = Site::start_limited(LIMITS).await;
    start_endpoint(&mut site).await;
    let (process, gateway) = (site.gateway.id(), site.gateway());
    let probe = SocketAddr::new(gateway.ip(), 7002);
    assert!(is_answered(gateway).await, "not served in calm");
    for door in DOORS {
        let (at, path) = match door {
            Door::Callers(path) => (gateway, path),
            Door::Probes => (probe, "/-/readiness"),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let peak = tokio::spawn(watch(process, gateway, stop.clone()));
        let mut crowd = JoinSet::new();
        for caller in 0..CALLERS {
            crowd.spawn(call(at, form, path, caller, stop.clone()));
        }
        tokio::time::sleep(CROWD_TIME).await;
        stop.store(true, Ordering::SeqCst);
        crowd.shutdown().await;
        let peak = peak.await.unwrap();
        let is_served = is_answered(gateway).await;
        let is_ready = is_ready(probe).await;
        println!("{form:?} at {door:?}: {peak:?}, served {is_served}, ready {is_ready}");
        let is_bounded = peak.is_some_and(|peak| {
            peak.kilobytes <= LIMITS.memory_mb * 1024 && peak.descriptors <= LIMITS.descriptors
        });
        if !is_bounded || !is_served || !is_ready {
            failures.push(format!(
                "{door:?}: {peak:?}, served {is_served}, ready {is_ready}"
            ));
        }
    }
    assert!(failures.is_empty(), "{form:?}: {failures:#?}");
}

/// Declares a test for each form, with the failure that it guards against.
macro_rules! crowds {
    ($($(#[$comment:meta])* $name:ident: $form:ident;)+) => {
        $($(#[$comment])*
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        async fn $name() {
            assert_bounded(Form::$form).await;
        })+
    };
}

crowds! {
    /// Bodies that lack a byte filled the memory for bodies until their deadlines.
    bodies_that_lack_a_byte: Whole;
    /// The same of bodies that come in pieces.
    pieces_that_stop_short: Pieces;
    /// Chunks that stop short took a connection, a request's state and a body each.
    chunks_that_stop_short: Chunks;
    /// Bodies without a declared length were read up to the limit, all at once.
    chunks_without_end: Endless;
    /// Bodies far over the limit are refused by their length.
    lengths_far_over_the_limit: FarOver;
    /// Heads of legal size take a multiple of it once they are parsed.
    heads_of_many_fields: Fields;
    /// Requests that are sent ahead wait in the receive buffer, and their answers in memory.
    requests_sent_ahead: Ahead;
    /// Connections with a part of a head were not counted.
    heads_sent_byte_by_byte: SlowHead;
    /// Bodies that come slowly hold what their length declares.
    bodies_sent_byte_by_byte: SlowBody;
    /// Answers that are not read stayed in memory for good.
    answers_that_are_not_read: SlowRead;
    /// Connections with half a head were not counted.
    heads_that_stop_half_way: HalfHead;
    /// Connections without a byte were not counted.
    silent_connections: Silent;
}
