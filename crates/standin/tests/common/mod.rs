//! A network whose connections can be cut and redirected.

#![allow(dead_code)]

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::DuplexStream;
use tokio::sync::watch;

use cranberryridge::net::memory::{self, Memory};
use cranberryridge::net::{Listen, Net};
use cranberryridge::wire::Map;

/// Capacity of a pipe in bytes.
const PIPE_BYTES: usize = 256 * 1024;

/// Pipes with faults. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct FaultyNet {
    inner: Memory,
    /// Routes by the address that callers connect to.
    routes: Arc<Mutex<Map<SocketAddr, Route>>>,
}

/// Where the connections to an address go.
#[derive(Clone, Debug)]
struct Route {
    /// Number of cuts. A change ends the connections made before it.
    cuts: Arc<watch::Sender<u32>>,
    /// Whether new connections are refused.
    down: bool,
    /// Address that connections lead to.
    to: SocketAddr,
}

impl FaultyNet {
    /// Ends the connections to an address. With `down`, new ones are refused.
    pub fn cut(&self, at: SocketAddr, down: bool) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let route = routes.entry(at).or_insert_with(|| Route::new(at));
        route.down = down;
        route.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Redirects new connections to another address.
    pub fn redirect(&self, at: SocketAddr, to: SocketAddr) {
        let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let route = routes.entry(at).or_insert_with(|| Route::new(at));
        route.down = false;
        route.to = to;
    }
}

impl Route {
    /// Returns a route that leads to the address itself.
    fn new(to: SocketAddr) -> Self {
        Self {
            cuts: Arc::new(watch::Sender::new(0)),
            down: false,
            to,
        }
    }
}

impl Net for FaultyNet {
    type Stream = DuplexStream;
    type Listener = Port;

    async fn connect(&self, to: SocketAddr) -> io::Result<DuplexStream> {
        let route = {
            let mut routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
            routes.entry(to).or_insert_with(|| Route::new(to)).clone()
        };
        if route.down {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let mut cuts = route.cuts.subscribe();
        let mut far = self.inner.connect(route.to).await?;
        let (near, mut middle) = tokio::io::duplex(PIPE_BYTES);
        tokio::spawn(async move {
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut middle, &mut far) => {}
                _ = cuts.changed() => {}
            }
        });
        Ok(near)
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<Port> {
        self.inner.bind(at).await.map(Port)
    }
}

/// A listener of pipes.
#[derive(Debug)]
pub struct Port(memory::Listener);

impl Listen for Port {
    type Stream = DuplexStream;

    async fn accept(&mut self) -> io::Result<DuplexStream> {
        let mut far = self.0.accept().await?;
        let (near, mut middle) = tokio::io::duplex(PIPE_BYTES);
        tokio::spawn(async move {
            // The ends of a pipe see how it closed.
            let _ = tokio::io::copy_bidirectional(&mut middle, &mut far).await;
        });
        Ok(near)
    }

    fn address(&self) -> SocketAddr {
        self.0.address()
    }
}
