//! The faults of the network of pipes.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout, Instant};

use cranberryridge::net::memory::{Listener, Memory, Stream};
use cranberryridge::net::{Listen, Net};

/// Long enough for whatever comes at all.
const WAIT: Duration = Duration::from_secs(1);

/// Two hosts with a connection.
struct Pair {
    /// The network.
    net: Memory,
    /// Who connected.
    caller: SocketAddr,
    /// Who listens.
    server: SocketAddr,
    /// The listener.
    port: Listener,
    /// The caller's end.
    near: Stream,
    /// The server's end.
    far: Stream,
}

/// Connects two hosts.
async fn pair() -> Pair {
    let net = Memory::default();
    let caller = "127.0.0.1:1".parse::<SocketAddr>().unwrap();
    let server = "127.0.0.2:2".parse::<SocketAddr>().unwrap();
    let mut port = net.for_host(server.ip()).bind(server).await.unwrap();
    let near = net.for_host(caller.ip()).connect(server).await.unwrap();
    let far = port.accept().await.unwrap();
    Pair {
        net,
        caller,
        server,
        port,
        near,
        far,
    }
}

#[tokio::test(start_paused = true)]
async fn a_dead_host_breaks_and_its_next_life_works() {
    let mut pair = pair().await;
    pair.net.kill(pair.server.ip());
    assert!(pair.near.read_u8().await.is_err());
    assert!(pair.near.write_u8(1).await.is_err());
    assert!(pair.net.connect(pair.server).await.is_err());
    let next = pair.net.for_host(pair.server.ip());
    let _port = next.bind(pair.server).await.unwrap();
    assert!(pair.net.connect(pair.server).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_frozen_host_loses_nothing() {
    let mut pair = pair().await;
    pair.net.freeze(pair.server.ip());
    pair.near.write_u8(7).await.unwrap();
    assert!(timeout(WAIT, pair.far.read_u8()).await.is_err());
    let _second = pair.net.connect(pair.server).await.unwrap();
    assert!(timeout(WAIT, pair.port.accept()).await.is_err());
    pair.net.thaw(pair.server.ip());
    assert_eq!(pair.far.read_u8().await.unwrap(), 7);
    assert!(timeout(WAIT, pair.port.accept()).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_tells_nobody_and_new_ones_work() {
    let mut pair = pair().await;
    let silenced = pair.net.silence(pair.caller.ip(), pair.server.ip());
    assert_eq!(silenced, 1);
    pair.near.write_u8(7).await.unwrap();
    drop(pair.near);
    assert!(timeout(WAIT, pair.far.read_u8()).await.is_err());
    let mut fresh = pair
        .net
        .for_host(pair.caller.ip())
        .connect(pair.server)
        .await
        .unwrap();
    fresh.write_u8(8).await.unwrap();
    assert_eq!(
        pair.port.accept().await.unwrap().read_u8().await.unwrap(),
        8
    );
}

#[tokio::test(start_paused = true)]
async fn a_delay_keeps_order_and_content() {
    let mut pair = pair().await;
    pair.net.delay(pair.server.ip(), Duration::from_millis(30));
    let start = Instant::now();
    pair.near.write_all(&[1, 2, 3]).await.unwrap();
    drop(pair.near);
    let mut all = Vec::new();
    pair.far.read_to_end(&mut all).await.unwrap();
    assert_eq!(all, [1, 2, 3]);
    assert_eq!(start.elapsed().as_millis(), 30);
}
