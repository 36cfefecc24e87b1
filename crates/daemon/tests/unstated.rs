//! Tests of streams on real sockets whose link ends in order while their endpoints live on.

mod host;

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
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

/// Number of plays of each case.
const PLAYS: usize = 10;

/// Number of events in a stream.
const EVENT_COUNT: u32 = 5;

/// Number of events after which a link ends.
const SENT_EVENTS: u32 = 2;

/// Hosts of the endpoints.
const HOSTS: [u8; 2] = [10, 11];

/// Time after which the gateway may use the fixed part of the retry budget.
const TIME_TO_RETRIES: Duration = Duration::from_secs(14);

/// Header with the number of the case that endpoints play.
const CASE: &str = "x-case";

/// How the link of a stream's first run ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    /// The endpoint closes it after all events.
    Whole,
    /// It is closed midway.
    Close,
    /// The endpoint's side is closed midway, and the other one stays open.
    HalfClose,
}

const LINKS: [Link; 3] = [Link::Whole, Link::Close, Link::HalfClose];

/// How the second run of a stream marks its end.
const FRAMINGS: [&str; 2] = ["chunks", "connection"];

/// Ids of the attempts that an endpoint has run.
type Begun = Arc<Mutex<HashSet<String>>>;

/// Returns the events from `first` to `last`.
fn events(first: u32, last: u32) -> String {
    let events = (first..=last).map(|event| format!("id: {event}\ndata: token-{event}\n\n"));
    events.collect()
}

/// Serves an endpoint until the test ends.
async fn serve(listener: TcpListener, begun: Begun) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let begun = begun.clone();
        tokio::spawn(async move {
            // The gateway may have closed the connection.
            let _ = answer(stream, begun).await;
        });
    }
}

/// Answers a request. The first run of an attempt gives neither a length nor chunks.
async fn answer(mut stream: TcpStream, begun: Begun) -> std::io::Result<()> {
    let Some(request) = read_request(&mut stream).await else {
        return Ok(());
    };
    if request.contains(" /-/") {
        let text = if request.contains("/-/hold-take") {
            "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"hold\":\"h\"}"
        } else if request.contains("/-/report") {
            "HTTP/1.1 200 OK\r\ncontent-length: 23\r\n\r\n{\"sequence\":0,\"born\":1}"
        } else {
            "HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n"
        };
        return stream.write_all(text.as_bytes()).await;
    }
    let attempt = header(&request, "attempt-id").unwrap_or_default();
    let case = header(&request, CASE).map_or(0, |case| case.parse::<usize>().unwrap());
    let (link, framing) = (LINKS[case % LINKS.len()], FRAMINGS[case / LINKS.len()]);
    let is_first = begun.lock().unwrap().insert(attempt.to_owned());
    let last_id = header(&request, "last-event-id").map_or(0, |id| id.parse().unwrap());
    let last = match link {
        Link::Close | Link::HalfClose if is_first => SENT_EVENTS,
        _ => EVENT_COUNT,
    };
    let body = events(last_id + 1, last);
    let (framing, body) = match framing {
        "chunks" if !is_first => (
            "transfer-encoding: chunked\r\n",
            format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
        ),
        _ => ("", body),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-stamp: s\r\n\
         content-type: text/event-stream\r\n{framing}\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).await?;
    if is_first && link == Link::HalfClose {
        stream.shutdown().await?;
        // Until the gateway closes its side.
        while stream.read(&mut [0; 64]).await? > 0 {}
    }
    Ok(())
}

/// Starts a gateway and two engines.
async fn start() -> Site {
    let mut site = Site::start().await;
    let begun = Begun::default();
    for host in HOSTS {
        let listener = TcpListener::bind(address(site.subnet, host)).await.unwrap();
        tokio::spawn(serve(listener, begun.clone()));
        site.list_soon(host, &format!("i-{host}"), "model", Some("decode"));
    }
    tokio::time::sleep(TIME_TO_RETRIES).await;
    assert!(site.gateway.try_wait().unwrap().is_none(), "no gateway");
    site
}

/// Plays a case on a route. Returns the text that arrived, and whether it ended as complete.
async fn play(site: &Site, route: &str, number: usize, case: usize) -> (String, bool) {
    let request = Request::post(format!("/{route}/7"))
        .header("host", "desk.example")
        .header("attempt-id", format!("a{number}"))
        .header("deadline-ms", "4000")
        .header("model", "m")
        .header("token-count", "300,80")
        .header(CASE, case)
        .body(Full::new(Bytes::from(format!("call {number}"))));
    let client = Client::new(Tcp, site.gateway());
    let answer = client.send(request.unwrap()).await.unwrap();
    assert_eq!(answer.status(), 200, "{route}, case {case}");
    let (mut body, mut text) = (answer.into_body(), String::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (text, false);
        };
        let data = frame.into_data().unwrap_or_default();
        text += &String::from_utf8_lossy(&data);
    }
    (text, true)
}

/// Plays the cases of links on a route. Returns those that did not end as `is_expected`.
async fn play_all(
    route: &str,
    links: &[Link],
    is_expected: impl Fn(Link, &str, &(String, bool)) -> bool,
) -> String {
    let site = start().await;
    let mut wrong = Vec::new();
    let cases = 0..LINKS.len() * FRAMINGS.len();
    for case in cases.filter(|case| links.contains(&LINKS[case % LINKS.len()])) {
        let link = LINKS[case % LINKS.len()];
        let framing = FRAMINGS[case / LINKS.len()];
        let mut count = 0;
        for number in 0..PLAYS {
            let got = play(&site, route, case * PLAYS + number, case).await;
            count += usize::from(!is_expected(link, framing, &got));
        }
        if count > 0 {
            wrong.push(format!(
                "{route}, {link:?}, then {framing}: {count} of {PLAYS}"
            ));
        }
    }
    wrong.join("\n")
}

// Guards against a link that ends in order between two events, while the engine lives on: the
// caller got a complete stream with too few events.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_link_ends_in_order_goes_on_elsewhere() {
    let links = [Link::Close, Link::HalfClose];
    let wrong = play_all("list", &links, |_, framing, (text, is_complete)| {
        // Two runs may be sent, and nobody has confirmed the second one's end.
        *text == events(1, EVENT_COUNT) && *is_complete == (framing == "chunks")
    });
    let wrong = wrong.await;
    assert!(wrong.is_empty(), "{wrong}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_link_ends_in_order_is_cut_if_it_may_not_go_on() {
    let wrong = play_all("note", &LINKS, |link, _, (text, is_complete)| {
        let last = match link {
            Link::Whole => EVENT_COUNT,
            Link::Close | Link::HalfClose => SENT_EVENTS,
        };
        *text == events(1, last) && !is_complete
    });
    let wrong = wrong.await;
    assert!(wrong.is_empty(), "{wrong}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_stream_without_a_length_is_complete_once_a_second_run_states_its_end() {
    let wrong = play_all("list", &[Link::Whole], |_, framing, (text, is_complete)| {
        *text == events(1, EVENT_COUNT) && *is_complete == (framing == "chunks")
    });
    let wrong = wrong.await;
    assert!(wrong.is_empty(), "{wrong}");
}
