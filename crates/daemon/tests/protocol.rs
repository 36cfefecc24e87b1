//! Tests of the ends of answers that callers of HTTP/1.0 see on real sockets.

mod host;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use host::raw::{header, read_request};
use host::{address, Site};

/// Header with the number of the case that an endpoint plays.
const CASE: &str = "x-case";

/// Number of times that each case is played.
const PLAYS: usize = 10;

/// Hosts of the endpoints.
const ENDPOINTS: std::ops::Range<u8> = 20..120;

/// Time for which an endpoint that is gone accepts no connections.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for the bytes of an answer to reach its caller. A reset may overtake them.
const TRANSIT_TIME: Duration = Duration::from_millis(100);

/// Time in which a caller must see how its answer ends.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of events in a stream, and of those before a cut.
const EVENTS: usize = 5;
const EVENTS_BEFORE_CUT: usize = 2;

/// Size of the data in each event of a large stream, and their number. They exceed the socket
/// buffers between the endpoint and a caller that does not read.
const LARGE_DATA_BYTES: usize = 32 * 1024;
const LARGE_EVENTS: usize = 1000;

/// How an answer tells where it ends.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// What an endpoint does with its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// It sends the whole answer.
    Whole,
    /// It closes the connection in order before the answer is complete.
    Close,
    /// It resets the connection.
    Reset,
    /// It closes its listener and the connection.
    Gone,
    /// It waits for its caller to leave before the answer is complete.
    Stay,
    /// It closes the connection in order after a large part of the answer.
    CloseLarge,
}

const CASES: [(Framing, End); 12] = [
    (Framing::Length, End::Whole),
    (Framing::Length, End::Close),
    (Framing::Length, End::Reset),
    (Framing::Length, End::Gone),
    (Framing::Chunks, End::Whole),
    (Framing::Chunks, End::Close),
    (Framing::Chunks, End::Reset),
    (Framing::Chunks, End::Gone),
    (Framing::Connection, End::Reset),
    (Framing::Connection, End::Gone),
    (Framing::Chunks, End::Stay),
    (Framing::Chunks, End::CloseLarge),
];

/// How a caller's connection ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Seen {
    Closed,
    Reset,
}

/// Returns an event of a stream.
fn event(id: usize) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

/// Returns the events up to an id.
fn events(last: usize) -> String {
    (1..=last).map(event).collect()
}

/// Returns the number of the case with this framing and end.
fn case(framing: Framing, end: End) -> usize {
    let mut cases = CASES.iter();
    let found = cases.position(|case| format!("{case:?}") == format!("{:?}", (framing, end)));
    found.unwrap()
}

/// Serves an endpoint, which is away for a time after each [`End::Gone`].
async fn serve(at: SocketAddr) {
    let (sender, mut gone) = mpsc::unbounded_channel::<TcpStream>();
    loop {
        let listener = TcpListener::bind(at).await.unwrap();
        let stream = loop {
            tokio::select! {
                accepted = listener.accept() => {
                    tokio::spawn(answer(accepted.unwrap().0, sender.clone()));
                }
                Some(stream) = gone.recv() => break stream,
            }
        };
        drop(listener);
        drop(stream);
        tokio::time::sleep(RESTART_TIME).await;
    }
}

/// Answers a request. A connection that is to end with its endpoint is sent to `gone`.
async fn answer(mut stream: TcpStream, gone: mpsc::UnboundedSender<TcpStream>) {
    let Some(request) = read_request(&mut stream).await else {
        return;
    };
    let number = header(&request, CASE).map(|case| case.parse::<usize>().unwrap());
    let Some((framing, end)) = number.map(|number| CASES[number]) else {
        let reservation = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"hold\":\"h\"}";
        let unknown = "HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n";
        let is_reservation = request.contains("/-/hold-take");
        let text = if is_reservation { reservation } else { unknown };
        // A caller that is gone needs no answer.
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    };
    let attempt = header(&request, "attempt-id").unwrap_or_default();
    let head = format!("attempt-id: {attempt}\r\nresponse-stamp: s\r\n");
    if header(&request, "last-event-id").is_some() {
        let text = format!("HTTP/1.1 500 x\r\n{head}content-length: 0\r\n\r\n");
        let _ = stream.write_all(text.as_bytes()).await;
        return;
    }
    let framing_header = match framing {
        Framing::Length => format!("content-length: {}\r\n", events(EVENTS).len()),
        Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        Framing::Connection => String::new(),
    };
    let mut text =
        format!("HTTP/1.1 200 OK\r\n{head}content-type: text/event-stream\r\n{framing_header}\r\n");
    let large = |id| format!("id: {id}\ndata: {}\n\n", "x".repeat(LARGE_DATA_BYTES));
    let sent = match end {
        End::Whole => (1..=EVENTS).map(event).collect::<Vec<_>>(),
        End::CloseLarge => (1..=LARGE_EVENTS).map(large).collect(),
        _ => (1..=EVENTS_BEFORE_CUT).map(event).collect(),
    };
    for event in sent {
        text += &match framing {
            Framing::Chunks => format!("{:x}\r\n{event}\r\n", event.len()),
            Framing::Length | Framing::Connection => event,
        };
    }
    if matches!((framing, end), (Framing::Chunks, End::Whole)) {
        text += "0\r\n\r\n";
    }
    if stream.write_all(text.as_bytes()).await.is_err() {
        return;
    }
    match end {
        End::Whole | End::Close | End::CloseLarge => {}
        End::Reset => {
            tokio::time::sleep(TRANSIT_TIME).await;
            stream.set_zero_linger().unwrap();
        }
        // The receiver lives as long as the endpoint.
        End::Gone => gone.send(stream).unwrap_or_default(),
        End::Stay => {
            let _ = stream.read(&mut [0; 16]).await;
        }
    }
}

/// Starts a gateway with all endpoints.
async fn start() -> Site {
    let site = Site::start().await;
    for host in ENDPOINTS {
        tokio::spawn(serve(address(site.subnet, host)));
        site.list_soon(host, &format!("i-{host}"), "model", Some("decode"));
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    site
}

/// Sends a request of a version of HTTP. Bodies differ by their number, as equal requests
/// would be refused after two crashes.
async fn send(
    gateway: SocketAddr,
    version: &str,
    route: &str,
    case: usize,
    number: usize,
) -> TcpStream {
    let body = format!("call {route} {case} {number}");
    let text = format!(
        "POST /{route}/7 HTTP/{version}\r\nhost: desk.example\r\nattempt-id: a{case}-{number}\r\n\
         deadline-ms: 9000\r\nmodel: m\r\ntoken-count: 300,80\r\n{CASE}: {case}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(gateway).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Reads an answer until its connection ends. Returns the bytes, and how it ended.
async fn read(stream: &mut TcpStream) -> (String, Seen) {
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(LIVENESS_TIMEOUT, stream.read_to_end(&mut bytes));
    let seen = match read.await.expect("no end in time") {
        Ok(_) => Seen::Closed,
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Seen::Reset,
        Err(error) => panic!("{error}"),
    };
    (String::from_utf8(bytes).unwrap(), seen)
}

/// Plays a case until an endpoint takes the request. Returns the body, and how it ended.
async fn play(gateway: SocketAddr, route: &str, case: usize, number: usize) -> (String, Seen) {
    loop {
        let mut stream = send(gateway, "1.0", route, case, number).await;
        let (text, seen) = read(&mut stream).await;
        // The endpoints of earlier cases are not used for a while.
        if text.starts_with("HTTP/1.0 503") {
            tokio::time::sleep(Duration::from_millis(300)).await;
            continue;
        }
        let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
        return (body.unwrap_or_default(), seen);
    }
}

// Guards against a stream that was cut and ends for a caller of HTTP/1.0 like a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_knows_ends_by_the_connection_sees_that_a_stream_was_cut() {
    let site = start().await;
    let gateway = site.gateway();
    let mut wrong = Vec::new();
    for (number, (framing, end)) in CASES.into_iter().enumerate() {
        if matches!(end, End::Stay | End::CloseLarge) {
            continue;
        }
        let expected = match end {
            End::Whole => (events(EVENTS), Seen::Closed),
            _ => (events(EVENTS_BEFORE_CUT), Seen::Reset),
        };
        for route in ["note", "list"] {
            let mut plays = JoinSet::new();
            let mut got = Vec::new();
            for play_number in 0..PLAYS {
                plays.spawn(play(gateway, route, number, play_number));
                // An endpoint that closes its listener resets the connections of other plays that
                // it has not accepted yet, and their callers rightly get 502.
                if end == End::Gone {
                    got.extend(plays.join_next().await.transpose().unwrap());
                }
            }
            got.extend(plays.join_all().await);
            assert_eq!(got.len(), PLAYS);
            let other = got.iter().filter(|got| **got != expected);
            let other = other.collect::<Vec<_>>();
            if let Some(first) = other.first() {
                let count = other.len();
                wrong.push(format!("{route}, {framing:?}, {end:?}: {count}, {first:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

// Guards against the kernel's close in order of the connections of a process that is killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_a_gateway_that_is_killed_sees_that_its_stream_was_cut() {
    let mut site = start().await;
    let mut streams = Vec::new();
    for number in 0..PLAYS {
        let case = case(Framing::Chunks, End::Stay);
        streams.push(send(site.gateway(), "1.0", "note", case, number).await);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    site.gateway.kill().unwrap();
    for stream in &mut streams {
        let (text, seen) = read(stream).await;
        assert!(text.ends_with(&events(EVENTS_BEFORE_CUT)), "{text}");
        assert_eq!(seen, Seen::Reset);
    }
}

// Guards against a close in order after the bytes that a slow caller had not read at the cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_late_sees_that_its_stream_was_cut() {
    let site = start().await;
    let case = case(Framing::Chunks, End::CloseLarge);
    let mut stream = send(site.gateway(), "1.0", "note", case, 0).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (text, seen) = read(&mut stream).await;
    assert!(text.starts_with("HTTP/1.0 200"), "{}", &text[..100]);
    assert_eq!(seen, Seen::Reset);
}

// The last chunk tells the end to a caller of HTTP/1.1.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_chunks_sees_a_close_in_order_without_the_last_chunk() {
    let site = start().await;
    for framing in [Framing::Length, Framing::Chunks] {
        for number in 0..PLAYS {
            let case = case(framing, End::Close);
            let mut stream = send(site.gateway(), "1.1", "note", case, number).await;
            let (text, seen) = read(&mut stream).await;
            assert!(text.contains(&event(EVENTS_BEFORE_CUT)), "{text}");
            assert!(!text.ends_with("0\r\n\r\n"), "{text}");
            assert_eq!(seen, Seen::Closed);
        }
    }
}
