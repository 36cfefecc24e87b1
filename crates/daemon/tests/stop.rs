//! Tests of planned stops of a gateway's process that overlap.

mod host;

use std::process::Command;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge_standin::runner::{self, Runner};

use host::{address, Site};

/// Number of orders that run when the signals come.
const ORDERS: usize = 12;

/// Duration of an order.
const ORDER_TIME: Duration = Duration::from_millis(1500);

/// Signals that the process gets, one after the other.
const SIGNALS: [&str; 4] = ["TERM", "TERM", "INT", "TERM"];

fn order(number: usize) -> Request<Full<Bytes>> {
    let request = Request::post("/book/7")
        .header("host", "desk.example")
        .header("attempt-id", format!("a{number}"))
        .header("deadline-ms", "6000");
    request.body(Full::new(Bytes::from("order"))).unwrap()
}

// A second SIGTERM ended the process at once, and orders that ran got no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_cuts_off_no_order() {
    let mut site = Site::start().await;
    let runner = Runner::new(runner::Settings {
        service_time: ORDER_TIME,
        ..runner::Settings::default()
    });
    let server = runner.serve(&Tcp, address(site.subnet, 10)).await;
    site.servers.push(server.unwrap());
    site.list(10, "i-1", "orders", None).await;
    let client = Client::new(Tcp, site.gateway());
    let orders = (0..ORDERS).map(|number| {
        let client = client.clone();
        tokio::spawn(async move { client.fetch(order(number)).await })
    });
    let orders = orders.collect::<Vec<_>>();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for signal in SIGNALS {
        let id = site.gateway.id().to_string();
        let status = Command::new("kill")
            .args([format!("-{signal}"), id])
            .status();
        assert!(status.unwrap().success());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for order in orders {
        let answer = order.await.unwrap();
        assert_eq!(answer.unwrap().status(), 200);
    }
    assert_eq!(runner.run_count(), ORDERS);
    let mut status = None;
    while status.is_none() {
        status = site.gateway.try_wait().unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(status.unwrap().success(), "{status:?}");
}

/// Time from the signal after which the platform kills a gateway.
const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// Code of a process that gave up requests.
const EXIT_DRAIN_INCOMPLETE: i32 = 3;

/// Starts a request for a route, whose body has four bytes.
async fn begin(site: &Site, route: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.gateway()).await.unwrap();
    let text = format!(
        "POST /{route}/7 HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {route}{body}\r\n\
         deadline-ms: 13000\r\nmodel: m\r\ntoken-count: 300,80\r\nlength-hint: 40\r\n\
         content-length: 4\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

// A process that had to exit told the callers of its open requests nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_must_exit_answers_each_open_request() {
    let mut site = Site::start().await;
    let plain = Runner::new(runner::Settings {
        service_time: Duration::from_secs(12),
        ..runner::Settings::default()
    });
    let engine = Runner::new(runner::Settings {
        id: "d-1".into(),
        phase: Some("decode"),
        stream_events: 12,
        event_interval: Duration::from_secs(1),
        ..runner::Settings::default()
    });
    for (runner, host) in [(&plain, 10), (&engine, 11)] {
        let server = runner.serve(&Tcp, address(site.subnet, host)).await;
        site.servers.push(server.unwrap());
    }
    site.list(10, "i-1", "orders", None).await;
    site.list(11, "d-1", "model", Some("decode")).await;
    let mut answers = Vec::new();
    for (route, body) in [
        ("book", "full"),
        ("read", "full"),
        ("list", "full"),
        ("book", "pa"),
        ("note", ""),
    ] {
        let mut stream = begin(&site, route, body).await;
        let answer = tokio::spawn(async move {
            let mut bytes = Vec::new();
            let end = stream.read_to_end(&mut bytes).await;
            (String::from_utf8(bytes).unwrap(), end.is_ok())
        });
        answers.push((route, body, answer));
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let id = site.gateway.id().to_string();
    let status = Command::new("kill").args(["-TERM", &id]).status();
    assert!(status.unwrap().success());
    let signalled_at = Instant::now();
    for (route, body, answer) in answers {
        let (text, is_clean) = answer.await.unwrap();
        let name = format!("{route} with {body:?}: {text:?}");
        match (route, body) {
            ("list", _) => {
                assert!(text.starts_with("HTTP/1.1 200"), "{name}");
                assert!(text.contains("token-1"), "{name}");
                assert!(!text.ends_with("0\r\n\r\n"), "{name}");
                continue;
            }
            (_, "full") => {
                assert!(text.starts_with("HTTP/1.1 504"), "{name}");
                assert!(text.contains("\"code\":3008"), "{name}");
            }
            _ => {
                assert!(text.starts_with("HTTP/1.1 503"), "{name}");
                assert!(text.contains("\"code\":1105"), "{name}");
            }
        }
        assert!(is_clean && text.ends_with('}'), "{name}");
    }
    assert_eq!((plain.run_count(), engine.run_count()), (2, 1));
    let mut status = None;
    while status.is_none() {
        status = site.gateway.try_wait().unwrap();
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let took = signalled_at.elapsed();
    assert!(took < GRACE_PERIOD, "{took:?}");
    assert_eq!(status.unwrap().code(), Some(EXIT_DRAIN_INCOMPLETE));
}
