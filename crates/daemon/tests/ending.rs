//! Tests of answers on real sockets that are cut, or whose endpoint's process is killed.

mod host;

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;

use host::raw::{header, read_request};
use host::{address, Site};

/// Environment variable with the address of an endpoint that this test's binary serves.
const ENDPOINT: &str = "ENDING_ENDPOINT";

/// Header with the number of the case that an endpoint plays.
const CASE: &str = "x-case";

/// Number of endpoints of each service that are killed.
const KILLS: u8 = 5;

/// Time from a request to the kill of its endpoint.
const TIME_TO_KILL: Duration = Duration::from_millis(300);

/// Number of endpoints of each service that cut their answers.
const CUTTING_ENDPOINTS: u8 = 20;

/// An event of a stream, of 15 bytes.
const EVENT: &str = "id: 1\ndata: a\n\n";

/// Framings of the event: name, header and body.
const FRAMINGS: [(&str, &str, &str); 3] = [
    ("length", "content-length: 15\r\n", EVENT),
    (
        "chunks",
        "transfer-encoding: chunked\r\n",
        "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    ),
    ("connection", "", EVENT),
];

/// Place at which an answer is cut.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Nothing,
    StatusLine,
    InHead,
    BeforeEndOfHead,
    AfterHead,
    InBody,
}

const CUTS: [Cut; 6] = [
    Cut::Nothing,
    Cut::StatusLine,
    Cut::InHead,
    Cut::BeforeEndOfHead,
    Cut::AfterHead,
    Cut::InBody,
];

impl Cut {
    /// Returns the number of bytes that are sent of an answer.
    fn bytes(self, head: usize, body: usize) -> usize {
        match self {
            Self::Nothing => 0,
            Self::StatusLine => 12,
            Self::InHead => head / 2,
            Self::BeforeEndOfHead => head - 2,
            Self::AfterHead => head,
            Self::InBody => head + body - 3,
        }
    }
}

/// How an endpoint ends the connection of a cut answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Returns all cases of cut answers.
fn cases() -> Vec<(usize, Cut, End)> {
    let mut cases = Vec::new();
    for framing in 0..FRAMINGS.len() {
        for cut in CUTS {
            cases.extend([(framing, cut, End::Close), (framing, cut, End::Reset)]);
        }
    }
    cases
}

/// Serves an endpoint. It cuts the answers to requests with a case, and sends an event without
/// an end to others.
async fn serve(at: SocketAddr) {
    let listener = TcpListener::bind(at).await.unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(answer(stream));
    }
}

/// Answers a request.
async fn answer(mut stream: TcpStream) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    if request.contains(" /-/") {
        let reservation = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"hold\":\"h\"}";
        let unknown = "HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n";
        let is_reservation = request.contains("/-/hold-take");
        let text = if is_reservation { reservation } else { unknown };
        // A caller that is gone needs no answer.
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    }
    let case = header(&request, CASE).map(|case| cases()[case.parse::<usize>().unwrap()]);
    let (_, framing, body) = FRAMINGS[case.map_or(2, |(framing, ..)| framing)];
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {}\r\nresponse-stamp: s\r\n\
         content-type: text/event-stream\r\n{framing}\r\n",
        header(&request, "attempt-id").unwrap_or_default(),
    );
    let text = format!("{head}{body}");
    let count = case.map_or(text.len(), |(_, cut, _)| cut.bytes(head.len(), body.len()));
    stream.write_all(&text.as_bytes()[..count]).await.unwrap();
    let Some((_, _, end)) = case else {
        // Until the caller closes the connection.
        let _ = stream.read(&mut [0; 16]).await;
        return;
    };
    if end == End::Reset {
        // A reset overtakes bytes that its peer has not read.
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream.set_zero_linger().unwrap();
    }
}

/// An endpoint in a process of its own.
struct Process(Child);

impl Process {
    /// Starts the process and waits until it accepts connections.
    async fn start(at: SocketAddr) -> Self {
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["endpoint_process", "--exact"])
            .env(ENDPOINT, at.to_string())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let process = Self(child.unwrap());
        while TcpStream::connect(at).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        process
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Serves the endpoint of [`Process`]. Has nothing to do when it is run as a test.
#[tokio::test]
async fn endpoint_process() {
    if let Ok(at) = std::env::var(ENDPOINT) {
        serve(at.parse().unwrap()).await;
    }
}

/// Builds a request for a route, whose body is told apart by its number. Equal requests would
/// be refused after two crashes.
fn request(route: &str, number: usize, case: Option<usize>) -> Request<Full<Bytes>> {
    let mut request = Request::post(format!("/{route}/7"))
        .header("host", "desk.example")
        .header("attempt-id", "a1")
        .header("deadline-ms", "4000")
        .header("model", "m")
        .header("token-count", "300,80");
    if let Some(case) = case {
        request = request.header(CASE, case);
    }
    let body = format!("call {number}");
    request.body(Full::new(Bytes::from(body))).unwrap()
}

/// Sends a request. Returns status and body, or `None` if the answer is cut off.
async fn fetch(
    site: &Site,
    route: &str,
    number: usize,
    case: Option<usize>,
) -> Option<(u16, Bytes)> {
    let client = Client::new(Tcp, site.gateway());
    let answer = client.send(request(route, number, case)).await.ok()?;
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Returns whether the caller knows that it has no whole answer.
fn is_lost(got: &Option<(u16, Bytes)>) -> bool {
    matches!(got, None | Some((502, _)))
}

// Guards against a process that is killed between two events of an answer without a length or
// chunks: its caller got a complete stream with too few events.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_process_is_killed_is_not_whole() {
    let mut site = Site::start().await;
    let mut whole = Vec::new();
    for kill in 0..KILLS {
        let hosts = [10 + kill, 30 + kill];
        let [orders, model] = hosts.map(|host| address(site.subnet, host));
        let processes = [Process::start(orders).await, Process::start(model).await];
        let ids = hosts.map(|host| format!("i-{host}"));
        site.list_soon(hosts[0], &ids[0], "orders", None);
        site.list(hosts[1], &ids[1], "model", Some("decode")).await;
        let killed = async {
            tokio::time::sleep(TIME_TO_KILL).await;
            drop(processes);
        };
        let number = usize::from(kill);
        let plain = fetch(&site, "book", number, None);
        let stream = fetch(&site, "note", number, None);
        let (plain, stream, ()) = tokio::join!(plain, stream, killed);
        for (route, got) in [("book", plain), ("note", stream)] {
            if !is_lost(&got) {
                whole.push(format!("{route}: {got:?}"));
            }
        }
        ids.iter().for_each(|id| site.unlist(id));
    }
    assert!(whole.is_empty(), "{}", whole.join("\n"));
}

// Guards against heads and bodies that are cut anywhere and pass as whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_by_bytes_is_not_whole() {
    let site = Site::start().await;
    for number in 0..CUTTING_ENDPOINTS {
        for (host, service, phase) in [
            (50 + number, "orders", None),
            (100 + number, "model", Some("decode")),
        ] {
            tokio::spawn(serve(address(site.subnet, host)));
            site.list_soon(host, &format!("i-{host}"), service, phase);
        }
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let mut whole = Vec::new();
    for (case, (framing, cut, end)) in cases().into_iter().enumerate() {
        for route in ["book", "note"] {
            let mut got = fetch(&site, route, case, Some(case)).await;
            // The endpoints of earlier cases are not used for a while.
            while matches!(got, Some((503, _))) {
                tokio::time::sleep(Duration::from_millis(300)).await;
                got = fetch(&site, route, case, Some(case)).await;
            }
            if !is_lost(&got) {
                let framing = FRAMINGS[framing].0;
                whole.push(format!("{route}, {framing}, {cut:?}, {end:?}: {got:?}"));
            }
        }
    }
    assert!(whole.is_empty(), "{}", whole.join("\n"));
}
