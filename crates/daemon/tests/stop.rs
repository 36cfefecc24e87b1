//! Tests of planned stops of a gateway's process that overlap.

mod host;

use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

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
