//! Tests of the memory that a gateway's process takes under many large bodies. The platform
//! kills a process that exceeds its limit, and with it all that the process serves.

mod host;

use std::fs;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

use cranberryridge::body::Body;
use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge_standin::runner::{self, Runner};
use cranberryridge_standin::server::Server;

use host::{address, Site, MAX_BODY_BYTES, MEMORY_MB};

/// Number of concurrent callers, whose bodies exceed the memory.
const CALLERS: usize = 40;

/// Time between the starts of two callers.
const CALLER_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the memory of a process until `stop` is set. Returns the peak in megabytes.
fn watch_memory(process: u32, stop: Arc<AtomicBool>) -> tokio::task::JoinHandle<usize> {
    let path = format!("/proc/{process}/status");
    tokio::spawn(async move {
        let mut peak = 0;
        while !stop.load(Ordering::SeqCst) {
            let status = fs::read_to_string(&path).unwrap();
            let line = status.lines().find(|line| line.starts_with("VmRSS:"));
            let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
            peak = peak.max(kilobytes.unwrap().parse::<usize>().unwrap() / 1024);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        peak
    })
}

/// Sends a model request with the largest body. Returns the status and the answer, `None`
/// if it is incomplete.
async fn send_prompt(gateway: SocketAddr, route: &str, caller: usize) -> (u16, Option<Bytes>) {
    let request = Request::post(format!("/{route}/7"))
        .header("host", "desk.example")
        .header("attempt-id", format!("a{caller}"))
        .header("deadline-ms", "14000")
        .header("model", "m")
        .header("token-count", "300,32")
        .header("length-hint", "32")
        .body(Full::new(Bytes::from(vec![b'p'; MAX_BODY_BYTES])));
    let answer = Client::new(Tcp, gateway).send(request.unwrap()).await;
    let Ok(answer) = answer else {
        return (0, None);
    };
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok();
    (status, body.map(|body| body.to_bytes()))
}

/// Runs streams of a route whose bodies together exceed the memory, and asserts that the
/// process stays within it and that each stream is served.
async fn assert_streams_fit(route: &'static str) {
    let mut site = Site::start().await;
    for (host, phase) in [(10, "prefill"), (11, "decode"), (12, "decode")] {
        let runner = Runner::new(runner::Settings {
            id: format!("i-{host}"),
            phase: Some(phase),
            stream_events: 32,
            event_interval: Duration::from_millis(250),
            ..runner::Settings::default()
        });
        let server = runner.serve(&Tcp, address(site.subnet, host)).await;
        site.servers.push(server.unwrap());
        let id = runner.settings.id.as_str();
        site.list(host, id, "model", Some(phase)).await;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let peak = watch_memory(site.gateway.id(), stop.clone());
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        callers.push(tokio::spawn(send_prompt(site.gateway(), route, caller)));
        tokio::time::sleep(CALLER_INTERVAL).await;
    }
    let mut served = 0;
    for caller in callers {
        let (status, answer) = caller.await.unwrap();
        served += usize::from(status == 200 && answer.is_some());
    }
    stop.store(true, Ordering::SeqCst);
    let peak = peak.await.unwrap();
    println!("{route}: peak of {peak} MB, {served} served");
    assert!(peak < MEMORY_MB, "{route}: {peak} MB");
    assert_eq!(served, CALLERS, "{route}");
}

// The bodies of running streams were not counted, so that a burst of large prompts took any
// amount of memory.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_running_streams_fit_in_memory() {
    assert_streams_fit("note").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_resumable_streams_fit_in_memory() {
    assert_streams_fit("list").await;
}

// Answers were counted while they were read, but not while their callers took them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_on_their_way_to_slow_callers_fit_in_memory() {
    let mut site = Site::start().await;
    let answers = Arc::new(AtomicUsize::new(0));
    let counted = answers.clone();
    let handler = move |request: Request<Bytes>| {
        counted.fetch_add(1, Ordering::SeqCst);
        let attempt = request.headers().get("attempt-id").cloned();
        let mut response = Response::new(Body::full(vec![b'a'; MAX_BODY_BYTES]));
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
    let stop = Arc::new(AtomicBool::new(false));
    let peak = watch_memory(site.gateway.id(), stop.clone());
    let mut streams = Vec::new();
    for caller in 0..CALLERS {
        let socket = TcpSocket::new_v4().unwrap();
        // The rest of the answer stays with the gateway.
        socket.set_recv_buffer_size(4096).unwrap();
        let mut stream = socket.connect(site.gateway()).await.unwrap();
        let head = format!(
            "GET /read/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: a{caller}\r\n\
             deadline-ms: 14000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        streams.push(stream);
        tokio::time::sleep(CALLER_INTERVAL).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    stop.store(true, Ordering::SeqCst);
    let peak = peak.await.unwrap();
    let answers = answers.load(Ordering::SeqCst);
    println!("peak of {peak} MB, {answers} answers");
    assert!(answers >= CALLERS / 2, "{answers} answers");
    assert!(peak < MEMORY_MB, "{peak} MB");
}
