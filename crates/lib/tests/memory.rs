//! Tests of the faults that the in-memory network injects.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, Instant};

use cranberryridge::net::memory::{Listener, Memory, Stream};
use cranberryridge::net::{Listen, Net};

/// Time after which data or a connection counts as not delivered.
const TIMEOUT: Duration = Duration::from_secs(1);

struct Pair {
    net: Memory,
    caller: SocketAddr,
    server: SocketAddr,
    listener: Listener,
    caller_end: Stream,
    server_end: Stream,
}

/// Creates a network with a connection between two hosts.
async fn connect() -> Pair {
    let net = Memory::default();
    let caller = "127.0.0.1:1".parse::<SocketAddr>().unwrap();
    let server = "127.0.0.2:2".parse::<SocketAddr>().unwrap();
    let mut listener = net.for_host(server.ip()).bind(server).await.unwrap();
    let caller_end = net.for_host(caller.ip()).connect(server).await.unwrap();
    let server_end = listener.accept().await.unwrap();
    Pair {
        net,
        caller,
        server,
        listener,
        caller_end,
        server_end,
    }
}

#[tokio::test(start_paused = true)]
async fn a_killed_host_breaks_its_connections_and_can_restart() {
    let mut pair = connect().await;
    pair.net.kill(pair.server.ip());
    assert!(pair.caller_end.read_u8().await.is_err());
    assert!(pair.caller_end.write_u8(1).await.is_err());
    assert!(pair.net.connect(pair.server).await.is_err());
    let restarted = pair.net.for_host(pair.server.ip());
    let _port = restarted.bind(pair.server).await.unwrap();
    assert!(pair.net.connect(pair.server).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_frozen_host_loses_no_data() {
    let mut pair = connect().await;
    pair.net.freeze(pair.server.ip());
    pair.caller_end.write_u8(7).await.unwrap();
    assert!(timeout(TIMEOUT, pair.server_end.read_u8()).await.is_err());
    let _second = pair.net.connect(pair.server).await.unwrap();
    assert!(timeout(TIMEOUT, pair.listener.accept()).await.is_err());
    pair.net.thaw(pair.server.ip());
    assert_eq!(pair.server_end.read_u8().await.unwrap(), 7);
    assert!(timeout(TIMEOUT, pair.listener.accept()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn what_a_blocked_host_is_sent_arrives_late() {
    let mut pair = connect().await;
    let (caller, server) = (pair.caller.ip(), pair.server.ip());
    let own = pair.net.for_host(caller);
    pair.net.block(caller, server);
    pair.caller_end.write_u8(7).await.unwrap();
    pair.server_end.write_u8(8).await.unwrap();
    let received = timeout(TIMEOUT, pair.caller_end.read_u8()).await;
    assert_eq!(received.unwrap().unwrap(), 8, "the other way is open");
    assert!(timeout(TIMEOUT, pair.server_end.read_u8()).await.is_err());
    assert!(timeout(TIMEOUT, own.connect(pair.server)).await.is_err());
    pair.net.kill(server);
    assert!(pair.caller_end.read_u8().await.is_err());
    let mut listener = pair.net.for_host(server).bind(pair.server).await.unwrap();
    pair.net.unblock(caller, server);
    let mut second = own.connect(pair.server).await.unwrap();
    let mut accepted = listener.accept().await.unwrap();
    pair.net.block(caller, server);
    second.write_u8(9).await.unwrap();
    drop(second);
    assert!(timeout(TIMEOUT, accepted.read_u8()).await.is_err());
    pair.net.unblock(caller, server);
    assert_eq!(accepted.read_u8().await.unwrap(), 9);
    assert!(
        accepted.read_u8().await.is_err(),
        "the end arrives behind it"
    );
}

#[tokio::test(start_paused = true)]
async fn a_silenced_connection_drops_data_without_error_and_new_ones_work() {
    let mut pair = connect().await;
    let silenced = pair.net.silence(pair.caller.ip(), pair.server.ip());
    assert_eq!(silenced, 1);
    pair.caller_end.write_u8(7).await.unwrap();
    drop(pair.caller_end);
    assert!(timeout(TIMEOUT, pair.server_end.read_u8()).await.is_err());
    let mut replacement = pair
        .net
        .for_host(pair.caller.ip())
        .connect(pair.server)
        .await
        .unwrap();
    replacement.write_u8(8).await.unwrap();
    assert_eq!(
        pair.listener
            .accept()
            .await
            .unwrap()
            .read_u8()
            .await
            .unwrap(),
        8
    );
}

#[tokio::test(start_paused = true)]
async fn a_delay_keeps_order_and_content() {
    let mut pair = connect().await;
    pair.net.delay(pair.server.ip(), Duration::from_millis(30));
    let start = Instant::now();
    pair.caller_end.write_all(&[1, 2, 3]).await.unwrap();
    drop(pair.caller_end);
    let mut all = Vec::new();
    pair.server_end.read_to_end(&mut all).await.unwrap();
    assert_eq!(all, [1, 2, 3]);
    assert_eq!(start.elapsed().as_millis(), 30);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_is_reset_on_close_delivers_what_was_sent() {
    for delay in [0, 30].map(Duration::from_millis) {
        let mut pair = connect().await;
        pair.net.delay(pair.server.ip(), delay);
        pair.server_end.write_all(&[1, 2, 3]).await.unwrap();
        pair.net.set_reset_on_close(&mut pair.server_end, true);
        drop(pair.server_end);
        let mut all = Vec::new();
        let error = pair.caller_end.read_to_end(&mut all).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
        assert_eq!(all, [1, 2, 3]);
    }
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_is_no_longer_reset_on_close_ends_in_order() {
    let mut pair = connect().await;
    pair.server_end.write_all(&[1, 2, 3]).await.unwrap();
    for resets in [true, false] {
        pair.net.set_reset_on_close(&mut pair.server_end, resets);
    }
    drop(pair.server_end);
    let mut all = Vec::new();
    pair.caller_end.read_to_end(&mut all).await.unwrap();
    assert_eq!(all, [1, 2, 3]);
}
