//! Stand-ins of the platform, its runners and its clients, for the cases of the review.
//!
//! They use the standard library only, real sockets on loopback addresses and the real clock.
//! The gateways are the project's own program, started with the command of the deploy file.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Command of `deploy/system.toml`, relative to the repository's root.
pub const GATEWAY: &str = "target/release/cranberryridge-gateway";

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn pause(milliseconds: u64) {
    thread::sleep(Duration::from_millis(milliseconds));
}

/// Returns whether the case plays its disruption (`TROUBLE=0` leaves it out).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Writes `record.txt` with the seconds since the start.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn create(path: &str) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { started_at: Instant::now(), file })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{:9.3} {text}", self.now());
    }
}

/// A request as a server received it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target.split_once('?')?.1.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    pub fn attempt(&self) -> String {
        self.header("attempt-id").unwrap_or_default().into()
    }
}

pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// Reads header lines up to the empty line.
fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().into(), value.trim().into()));
        }
    }
}

/// Reads a body by its length or chunks. `None` if the head names neither.
fn read_framed(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> io::Result<Option<Vec<u8>>> {
    let is_chunked = find_header(headers, "transfer-encoding").is_some();
    if is_chunked {
        let mut body = Vec::new();
        loop {
            let size = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let begin = body.len();
            body.resize(begin + size, 0);
            reader.read_exact(&mut body[begin..])?;
            read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }
    let Some(length) = find_header(headers, "content-length") else {
        return Ok(None);
    };
    let length = length.parse::<usize>().map_err(|_| io::ErrorKind::InvalidData)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let body = read_framed(reader, &headers)?.unwrap_or_default();
    Ok(Some(Request { method, target, headers, body }))
}

/// Writes a complete answer.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} x\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Answers a request on a connection. An error closes the connection.
pub type Handler = dyn Fn(Request, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A server with a thread for each connection.
pub struct Server {
    is_running: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(at: SocketAddr, handler: Arc<Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        listener.set_nonblocking(true)?;
        let is_running = Arc::new(AtomicBool::new(true));
        let connections = Arc::new(Mutex::new(Vec::new()));
        let (running, open) = (is_running.clone(), connections.clone());
        let accepting = thread::spawn(move || {
            while running.load(SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    pause(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    lock(&open).push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || serve_connection(stream, &*handler));
            }
        });
        Ok(Self { is_running, connections, accepting: Some(accepting) })
    }

    /// Closes the listener and all connections.
    pub fn stop(&mut self) {
        self.is_running.store(false, SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in lock(&self.connections).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let Ok(copy) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(copy), stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        if handler(request, &mut writer).is_err() {
            break;
        }
    }
    let _ = writer.shutdown(std::net::Shutdown::Both);
}

/// An answer as a client received it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Connection {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Connection {
    /// Clients allow a new connection one second.
    pub fn open(at: SocketAddr, patience: Duration) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&at, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(patience))?;
        writer.set_write_timeout(Some(patience))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { reader, writer })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        head += "\r\n";
        self.writer.write_all(head.as_bytes())?;
        self.writer.write_all(body)
    }

    /// Reads the head of an answer.
    pub fn read_head(&mut self) -> io::Result<Answer> {
        let line = read_line(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::ErrorKind::InvalidData)?;
        let headers = read_headers(&mut self.reader)?;
        Ok(Answer { status, headers, body: Vec::new() })
    }

    /// Reads a complete answer.
    pub fn read(&mut self) -> io::Result<Answer> {
        let mut answer = self.read_head()?;
        self.read_body(&mut answer)?;
        Ok(answer)
    }

    /// Reads the body of an answer, which must be complete.
    pub fn read_body(&mut self, answer: &mut Answer) -> io::Result<()> {
        let body = read_framed(&mut self.reader, &answer.headers)?;
        answer.body = match body {
            Some(body) => body,
            None => {
                let mut body = Vec::new();
                self.reader.read_to_end(&mut body)?;
                body
            }
        };
        Ok(())
    }
}

/// Host name of all routes.
pub const HOST: &str = "desk.example";

/// The platform's store: keyed topics with one partition each.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
    /// 0 while it works, 1 while each call gets 503.
    fault: Arc<AtomicU8>,
    /// Calls that were answered with 503, by path, with their times.
    refused: Arc<Mutex<Vec<(Instant, String)>>>,
    /// Appends of the gateways, with their times.
    appended: Arc<Mutex<Vec<Append>>>,
}

/// A record that a gateway appended.
#[derive(Clone, Debug)]
pub struct Append {
    pub at: Instant,
    pub topic: String,
    pub key: String,
    pub value: String,
}

#[derive(Default)]
struct Topic {
    /// Key and value of each record, from offset 0 on.
    records: Vec<(String, Vec<u8>)>,
    /// Offset of the newest record of each key.
    newest: BTreeMap<String, usize>,
}

/// Records in one page of the newest ones.
const PAGE_RECORDS: usize = 500;

/// Bytes of one answer to a read.
const READ_BYTES: usize = 1 << 20;

impl Store {
    pub fn serve(&self, at: SocketAddr) -> io::Result<Server> {
        let store = self.clone();
        Server::start(at, Arc::new(move |request, stream: &mut TcpStream| {
            store.handle(&request, stream)
        }))
    }

    /// Answers each call with 503 from now on, or works again.
    pub fn set_down(&self, is_down: bool) {
        self.fault.store(u8::from(is_down), SeqCst);
    }

    pub fn refused(&self) -> Vec<(Instant, String)> {
        lock(&self.refused).clone()
    }

    pub fn appended(&self) -> Vec<Append> {
        lock(&self.appended).clone()
    }

    /// Appends a record. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = lock(&self.topics.0);
        append(topics.entry(topic.into()).or_default(), key.into(), value.as_bytes().to_vec());
        self.topics.1.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        if self.fault.load(SeqCst) == 1 {
            lock(&self.refused).push((Instant::now(), request.target.clone()));
            return answer(stream, 503, &era(), b"");
        }
        match request.path() {
            "/-/log-append" => self.handle_append(request, stream),
            "/-/log-newest" => self.handle_newest(request, stream),
            "/-/log-read" => self.handle_read(request, stream),
            _ => answer(stream, 404, &era(), b""),
        }
    }

    fn handle_append(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let name = request.query("topic").unwrap_or_default();
        let mut topics = lock(&self.topics.0);
        let topic = topics.entry(name.into()).or_default();
        let end = topic.records.len();
        if request.number("at").is_some_and(|at| at != end as u64) {
            drop(topics);
            return answer(stream, 412, &era(), format!("{{\"endOffset\":{end}}}").as_bytes());
        }
        let mut body = &request.body[..];
        while body.len() >= 5 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            let record = &body[4..4 + length];
            let key = usize::from(record[0]);
            let value = record[1 + key..].to_vec();
            let key = String::from_utf8_lossy(&record[1..=key]).into_owned();
            lock(&self.appended).push(Append {
                at: Instant::now(),
                topic: name.into(),
                key: key.clone(),
                value: String::from_utf8_lossy(&value).into_owned(),
            });
            append(topic, key, value);
            body = &body[4 + length..];
        }
        let new_end = topic.records.len();
        self.topics.1.notify_all();
        drop(topics);
        // An append takes 2 ms.
        pause(2);
        let text = format!("{{\"offset\":{end},\"endOffset\":{new_end}}}");
        answer(stream, 200, &era(), text.as_bytes())
    }

    fn handle_newest(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let name = request.query("topic").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let mut items = Vec::new();
        let mut has_more = false;
        let mut end = 0;
        if let Some(topic) = lock(&self.topics.0).get(name) {
            end = topic.records.len();
            let newest = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
            for (key, offset) in newest {
                if items.len() == PAGE_RECORDS {
                    has_more = true;
                    break;
                }
                let value = base64(&topic.records[*offset].1);
                let item = format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}");
                items.push(item);
            }
        }
        let items = items.join(",");
        let text = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}");
        answer(stream, 200, &era(), text.as_bytes())
    }

    fn handle_read(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let name = request.query("topic").unwrap_or_default();
        let from = request.number("from").unwrap_or_default() as usize;
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or_default());
        let until = Instant::now() + wait;
        let mut topics = lock(&self.topics.0);
        let body = loop {
            let empty = Topic::default();
            let topic = topics.get(name).unwrap_or(&empty);
            let end = topic.records.len();
            let left = until.saturating_duration_since(Instant::now());
            if from >= end && !left.is_zero() {
                let waited = self.topics.1.wait_timeout(topics, left);
                topics = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            let mut body = Vec::new();
            body.extend((end as u64).to_be_bytes());
            body.extend(0u64.to_be_bytes());
            for (key, value) in topic.records.iter().skip(from) {
                if body.len() > READ_BYTES {
                    break;
                }
                body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend(key.as_bytes());
                body.extend(value);
            }
            break body;
        };
        drop(topics);
        answer(stream, 200, &era(), &body)
    }
}

fn era() -> [(&'static str, String); 1] {
    [("Store-Era", "1".into())]
}

fn append(topic: &mut Topic, key: String, value: Vec<u8>) {
    let offset = topic.records.len();
    if value.is_empty() {
        topic.newest.remove(&key);
    } else {
        topic.newest.insert(key.clone(), offset);
    }
    topic.records.push((key, value));
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    text
}

/// Interval at which runners write their entries.
pub const HEARTBEAT_MS: u64 = 1200;

/// A runner, plain or an engine.
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub recorder: Recorder,
    pub store: Store,
    /// Time that a plain request or an event takes, in milliseconds.
    pub work_ms: AtomicU64,
    /// Events of a stream.
    pub events: AtomicU64,
    /// Time that reading a prompt takes, in milliseconds.
    pub read_ms: AtomicU64,
    /// Stage of an engine: 0 if it is none, 1 for prefill, 2 for decode.
    pub phase: AtomicU8,
    /// Unix millisecond of the start.
    pub born: AtomicU64,
    /// Whether the runner leaves, as its answers say.
    pub is_leaving: AtomicBool,
    /// Whether its entry says so.
    pub is_draining: AtomicBool,
    /// Whether the entry is written.
    pub is_listed: AtomicBool,
    /// Whether orders get no answer and are carried out later.
    pub applies_late: AtomicBool,
    /// Whether the runner crashes right after the first event of the next stream.
    pub crashes: AtomicBool,
    /// Ids of the requests that ran.
    pub ran: Mutex<Vec<String>>,
    pub orders: Mutex<Vec<Order>>,
    pub sequence: AtomicU64,
    /// Whether an order is being carried out.
    pub is_busy: AtomicBool,
    pub running: AtomicU64,
    server: Mutex<Option<Server>>,
}

/// An order that arrived.
#[derive(Clone, Debug)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fencing_token: u64,
    pub phase: String,
}

/// Delay with which an order is carried out late (the pages allow 2 to 12 s).
const LATE_ORDER: Duration = Duration::from_secs(6);

/// Time that a change of the stage takes.
const SWAP: Duration = Duration::from_secs(6);

impl Runner {
    pub fn start(
        id: &str,
        service: &'static str,
        address: SocketAddr,
        phase: u8,
        store: &Store,
        recorder: &Recorder,
    ) -> io::Result<Arc<Self>> {
        let runner = Arc::new(Self {
            id: id.into(),
            service,
            address,
            recorder: recorder.clone(),
            store: store.clone(),
            work_ms: AtomicU64::new(60),
            events: AtomicU64::new(7),
            read_ms: AtomicU64::new(100),
            phase: AtomicU8::new(phase),
            born: AtomicU64::new(unix_ms()),
            is_leaving: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            is_listed: AtomicBool::new(true),
            applies_late: AtomicBool::new(false),
            crashes: AtomicBool::new(false),
            ran: Mutex::default(),
            orders: Mutex::default(),
            sequence: AtomicU64::new(0),
            is_busy: AtomicBool::new(false),
            running: AtomicU64::new(0),
            server: Mutex::default(),
        });
        runner.listen()?;
        let beating = Arc::downgrade(&runner);
        thread::spawn(move || {
            while let Some(runner) = beating.upgrade() {
                if runner.is_listed.load(SeqCst) {
                    runner.write_entry();
                }
                drop(runner);
                pause(HEARTBEAT_MS);
            }
        });
        Ok(runner)
    }

    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let weak = Arc::downgrade(self);
        let server = Server::start(self.address, Arc::new(move |request, stream: &mut TcpStream| {
            let runner = weak.upgrade().ok_or(io::ErrorKind::BrokenPipe)?;
            runner.handle(request, stream)
        }))?;
        *lock(&self.server) = Some(server);
        Ok(())
    }

    /// Ends the process of the runner without notice.
    pub fn crash(&self) {
        self.is_listed.store(false, SeqCst);
        if let Some(mut server) = lock(&self.server).take() {
            server.stop();
        }
    }

    /// Ends the process of the runner, and starts it again under its id after a time.
    pub fn restart(self: &Arc<Self>, after_ms: u64) -> io::Result<()> {
        if let Some(mut server) = lock(&self.server).take() {
            server.stop();
        }
        pause(after_ms);
        self.born.store(unix_ms(), SeqCst);
        self.sequence.store(0, SeqCst);
        self.is_leaving.store(false, SeqCst);
        self.is_draining.store(false, SeqCst);
        self.listen()?;
        self.is_listed.store(true, SeqCst);
        self.write_entry();
        Ok(())
    }

    /// Writes the entry in the store.
    pub fn write_entry(&self) {
        let state = if self.is_draining.load(SeqCst) { "draining" } else { "ready" };
        let phase = match self.phase.load(SeqCst) {
            1 => ",\"phase\":\"prefill\"",
            2 => ",\"phase\":\"decode\"",
            _ => "",
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"{state}\",\"coldLeftMs\":0,\"sequence\":{},\"born\":{}{phase}}}",
            self.service,
            self.address,
            unix_ms() / 1000,
            self.born.load(SeqCst),
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Removes the entry from the store.
    pub fn remove_entry(&self) {
        self.is_listed.store(false, SeqCst);
        self.store.put("keyed.servers", &self.id, "");
    }

    fn headers(&self, attempt: &str) -> Vec<(&'static str, String)> {
        let mut headers = vec![("Attempt-Id", attempt.to_owned())];
        headers.push(("Server-Load", format!("{},0,64", self.running.load(SeqCst))));
        self.add_notice(&mut headers);
        headers
    }

    fn handle(self: &Arc<Self>, request: Request, stream: &mut TcpStream) -> io::Result<()> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/report") => return self.handle_report(stream),
            ("POST", "/-/order") => return self.handle_order(&request, stream),
            ("POST", "/-/hold-take") => {
                let body = format!("{{\"hold\":\"h{}\"}}", unix_ms());
                return answer(stream, 200, &self.headers(""), body.as_bytes());
            }
            ("DELETE", _) => return answer(stream, 200, &self.headers(""), b""),
            _ => {}
        }
        let attempt = request.attempt();
        let mut headers = self.headers(&attempt);
        let is_other = request.header("expect-instance").is_some_and(|id| id != self.id);
        let is_prefill = request.header("serving-stage") == Some("prefill");
        let phase = self.phase.load(SeqCst);
        let is_wrong_stage = phase != 0 && is_prefill != (phase == 1);
        if is_other || is_wrong_stage {
            headers.push(("Not-Executed", "1".into()));
            return answer(stream, 421, &headers, b"");
        }
        if is_prefill {
            pause(self.read_ms.load(SeqCst));
            let headers = self.headers(&attempt);
            let body = format!("{{\"kvHandle\":\"k{attempt}\",\"tokens\":3000,\"version\":1}}");
            return answer(stream, 200, &headers, body.as_bytes());
        }
        lock(&self.ran).push(attempt.clone());
        self.recorder.write(&format!("runner {} runs {attempt}", self.id));
        self.running.fetch_add(1, SeqCst);
        headers.push(("Response-Stamp", format!("{}.{attempt}", self.id)));
        let answered = if phase == 2 {
            self.stream(&headers, stream)
        } else {
            pause(self.work_ms.load(SeqCst));
            let mut headers = self.headers(&attempt);
            headers.push(("Response-Stamp", format!("{}.{attempt}", self.id)));
            answer(stream, 200, &headers, format!("{} {}", request.method, request.target).as_bytes())
        };
        self.running.fetch_sub(1, SeqCst);
        answered
    }

    /// Adds what the runner says of itself when it answers.
    fn add_notice(&self, headers: &mut Vec<(&'static str, String)>) {
        if self.is_leaving.load(SeqCst) {
            headers.push(("Server-Leaving", "1".into()));
        }
    }

    /// Sends a stream of events.
    fn stream(self: &Arc<Self>, headers: &[(&'static str, String)], stream: &mut TcpStream) -> io::Result<()> {
        let mut head = "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n".to_owned();
        head += "content-type: text/event-stream\r\n";
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "\r\n";
        stream.write_all(head.as_bytes())?;
        for event in 1..=self.events.load(SeqCst) {
            let text = format!("id: {event}\ndata: token-{event}\n\n");
            write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
            if event == 1 && self.crashes.swap(false, SeqCst) {
                let runner = self.clone();
                thread::spawn(move || {
                    pause(50);
                    runner.crash();
                });
            }
            pause(self.work_ms.load(SeqCst));
        }
        stream.write_all(b"0\r\n\r\n")
    }

    fn handle_report(&self, stream: &mut TcpStream) -> io::Result<()> {
        let phase = if self.phase.load(SeqCst) == 1 { "prefill" } else { "decode" };
        let body = format!(
            "{{\"phase\":\"{phase}\",\"models\":[],\"busy\":{},\"sequence\":{},\"queued\":0,\
             \"running\":{},\"kvUsed\":0,\"kvTotal\":33279,\"handles\":0,\"born\":{}}}",
            self.is_busy.load(SeqCst),
            self.sequence.load(SeqCst),
            self.running.load(SeqCst),
            self.born.load(SeqCst),
        );
        answer(stream, 200, &self.headers(""), body.as_bytes())
    }

    /// Begins to carry out an order, unless another one is in progress or was accepted since.
    fn begin_order(&self, expected: u64) -> bool {
        let next = expected + 1;
        let is_first = !self.is_busy.load(SeqCst)
            && self.sequence.compare_exchange(expected, next, SeqCst, SeqCst).is_ok();
        if is_first {
            self.is_busy.store(true, SeqCst);
        }
        is_first
    }

    fn handle_order(self: &Arc<Self>, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let is_other = request.header("expect-instance").is_some_and(|id| id != self.id);
        if is_other {
            return answer(stream, 421, &self.headers(""), b"");
        }
        let order = Order {
            at: Instant::now(),
            holder: json_text(&body, "holder"),
            fencing_token: json_number(&body, "fencingToken"),
            phase: json_text(&body, "phase"),
        };
        self.recorder.say(&format!(
            "engine {} gets an order from {} with token {} to become {}",
            self.id, order.holder, order.fencing_token, order.phase
        ));
        lock(&self.orders).push(order.clone());
        let expected = json_number(&body, "expect");
        let is_late = self.applies_late.load(SeqCst);
        let is_refused = self.is_busy.load(SeqCst) || expected != self.sequence.load(SeqCst);
        if !is_late && is_refused {
            return answer(stream, 409, &self.headers(""), b"");
        }
        let engine = self.clone();
        let carry_out = move || {
            thread::sleep(SWAP);
            engine.phase.store(if order.phase == "prefill" { 1 } else { 2 }, SeqCst);
            engine.is_busy.store(false, SeqCst);
            engine.write_entry();
        };
        if is_late {
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LATE_ORDER);
                // `expect` is checked now.
                if engine.begin_order(expected) {
                    carry_out();
                }
            });
            // The order gets no answer.
            pause(3000);
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        if !self.begin_order(expected) {
            return answer(stream, 409, &self.headers(""), b"");
        }
        thread::spawn(carry_out);
        answer(stream, 202, &self.headers(""), b"")
    }
}

/// Returns a text field of a flat JSON object, or an empty text.
pub fn json_text(json: &str, name: &str) -> String {
    let rest = json.split_once(&format!("\"{name}\":\""));
    rest.map_or_else(String::new, |(_, rest)| rest.split('"').next().unwrap_or_default().into())
}

/// Returns a number field of a flat JSON object, or 0.
pub fn json_number(json: &str, name: &str) -> u64 {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else { return 0 };
    let digits = rest.trim_start().chars().take_while(char::is_ascii_digit);
    digits.collect::<String>().parse().unwrap_or_default()
}

/// A gateway process on a machine of the platform.
pub struct Gateway {
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Limits of the smallest machine of the small deployment that the pages describe.
pub const MEMORY_MB: u64 = 110;

impl Gateway {
    /// Writes the settings and starts the process.
    pub fn start(name: &str, site: &Site, host: u8) -> io::Result<Self> {
        let ip = site.ip(host);
        let settings = site.folder.join(format!("{name}.toml"));
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"gateway\"\nmachineClass = \"front\"\n\
             serves = [\"front\"]\nip = \"{ip}\"\nzone = \"a\"\nregion = \"r\"\n\
             portRange = [7380, 7395]\nseeds = []\nbootstrap = true\ndiscovery = \"platform\"\n\
             heartbeatMs = {HEARTBEAT_MS}\n[listen]\nfront = \"{ip}:7001\"\nready = \"{ip}:7002\"\n\
             [limits]\ncpuShare = 0.19\ncores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\n\
             [contractParams]\ndrainMs = 2000\ngraceS = 8\nconfigApplyMs = 2000\n\
             budgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 52\nleaseMs = 3000\n\
             stableWindowMs = 3000\nrecoveryS = 12\nrequireFence = false\n\
             [platform]\naddress = \"{}\"\nform = \"log\"\n",
            site.store_address()
        );
        std::fs::write(&settings, text)?;
        let mut gateway = Self {
            name: name.into(),
            front: SocketAddr::new(ip, 7001),
            ready: SocketAddr::new(ip, 7002),
            log: settings.with_extension("log"),
            settings,
            child: None,
        };
        gateway.launch()?;
        Ok(gateway)
    }

    /// Starts the process, as at the first time.
    pub fn launch(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(GATEWAY)
            .env("CRANBERRYRIDGE_BOOT", &self.settings)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        // `run.sh` ends what an interrupted case leaves.
        if let Ok(path) = std::env::var("REVIEW_PROCESSES") {
            let mut file = File::options().append(true).open(path)?;
            writeln!(file, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args([format!("-{name}"), pid.to_string()]).status();
        }
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        matches!(child.try_wait(), Ok(Some(_)))
    }

    /// Memory that the process occupies, in megabytes.
    pub fn memory_mb(&self) -> f64 {
        let Some(pid) = self.pid() else { return 0.0 };
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
        number.unwrap_or_default() / 1024.0
    }

    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let check = || {
            let mut connection = Connection::open(self.ready, Duration::from_secs(1))?;
            connection.send("GET", "/-/readiness", &[], b"")?;
            Ok::<_, io::Error>(connection.read_head()?.status == 200)
        };
        check().unwrap_or(false)
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}

/// Addresses and the folder of a case.
pub struct Site {
    pub folder: PathBuf,
    second: u8,
    third: u8,
}

impl Site {
    pub fn new(case: u8) -> io::Result<Self> {
        Self::at(case, (std::process::id() % 250) as u8)
    }

    /// Creates a site with the given third number of its addresses.
    pub fn at(case: u8, third: u8) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{case}-{id}-{third}"));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { folder, second: 100 + case, third })
    }

    /// Loopback address of a host.
    pub fn ip(&self, host: u8) -> std::net::IpAddr {
        std::net::IpAddr::from([127, self.second, self.third, host])
    }

    pub fn store_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(1), 8142)
    }

    pub fn runner_address(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 8080)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Configuration with a route of each kind: `read`, `book`, `note` and `list`.
pub fn configuration() -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{},\"sloMs\":1000,\"priority\":1,\"service\":\"{service}\",\
             \"attempts\":{attempts},\"sticky\":false{more}}}",
            if service == "loan-api" { 3000 } else { 14000 }
        )
    };
    let routes = [
        route("read", "idempotent", "loan-api", 2, ""),
        route("book", "non_idempotent", "loan-api", 1, ""),
        route("note", "streaming", "model-pool", 1, ",\"gapAimMs\":300,\"resumable\":false"),
        route("list", "streaming", "model-pool", 2, ",\"gapAimMs\":300,\"resumable\":true"),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[\
         {{\"name\":\"loan-api\",\"healthPath\":\"/health\",\"connLimit\":96}},\
         {{\"name\":\"model-pool\",\"healthPath\":\"/health\",\"connLimit\":360,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":33279,\"stride\":11,\"holdMs\":2000,\
         \"handleTtlS\":0.5}}}}],\
         \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of an attempt.
pub fn next_attempt() -> String {
    format!("a{:08}", NEXT_ATTEMPT.fetch_add(1, SeqCst))
}

/// Headers of a client's request.
pub fn client_headers(attempt: &str, deadline_ms: u64) -> Vec<(&'static str, String)> {
    vec![("Attempt-Id", attempt.into()), ("Deadline-Ms", deadline_ms.to_string())]
}

/// Headers of a client's model request.
pub fn model_headers(attempt: &str, prompt: u32, output: u32) -> Vec<(&'static str, String)> {
    let mut headers = client_headers(attempt, 14_000);
    headers.push(("Model", "m".into()));
    headers.push(("Token-Count", format!("{prompt},{output}")));
    headers.push(("Length-Hint", output.to_string()));
    headers.push(("Prompt-Prefix", format!("5c1e07a2:200,{attempt}:{}", prompt - 200)));
    headers
}

/// Waits until a condition holds, for some seconds at most. Returns whether it does.
pub fn wait_until(seconds: u64, mut is_true: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        if is_true() {
            return true;
        }
        pause(20);
    }
    false
}

/// Runs a case and exits with its code. An error means that the case could not run.
pub fn main(case: impl FnOnce(&Recorder) -> io::Result<i32>) -> ! {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".into());
    let code = Recorder::create(&path).and_then(|recorder| {
        let result = case(&recorder);
        match &result {
            Ok(code) => recorder.say(&format!("exit code {code}")),
            Err(error) => recorder.say(&format!("the case could not run: {error}")),
        }
        result
    });
    std::process::exit(code.unwrap_or(NOT_RUN))
}
