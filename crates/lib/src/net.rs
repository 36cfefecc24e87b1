//! Network interface, and its implementation over TCP.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use rustix::net::sockopt;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

pub mod closing;
pub mod memory;
pub mod tls;

/// Connections that wait to be accepted, at most. The kernel drops what comes beyond, and
/// callers repeat it seconds later. A lower limit of the system takes precedence.
const MAX_WAITING_CONNECTIONS: u32 = 4096;

/// Network that opens connections and listeners.
pub trait Net: Clone + Send + Sync + Unpin + 'static {
    /// An open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// A bound listener.
    type Listener: Listen<Stream = Self::Stream>;

    /// Connects to an address.
    fn connect(&self, address: SocketAddr)
        -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Listens at an address.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;

    /// Listens at an address for callers that may send more than is read. The system keeps about
    /// `unread_bytes` of each connection that were received and not read. Networks without such a
    /// limit ignore it.
    fn bind_bounded(
        &self,
        address: SocketAddr,
        _unread_bytes: u32,
    ) -> impl Future<Output = io::Result<Self::Listener>> + Send {
        self.bind(address)
    }

    /// Returns the IP address of the other end of a connection, or `None` if the network
    /// has no addresses or the connection is closed.
    fn peer(&self, _stream: &Self::Stream) -> Option<IpAddr> {
        None
    }

    /// Sets whether a connection is reset when it is dropped, rather than closed in order. Has no
    /// effect on networks that cannot reset connections.
    fn set_reset_on_close(&self, _stream: &mut Self::Stream, _resets: bool) {}

    /// Returns a handle that connects and listens as `host`. Only networks that simulate
    /// several hosts in one process tell hosts apart; others return a clone.
    fn for_host(&self, _host: IpAddr) -> Self {
        self.clone()
    }
}

/// Listener that accepts connections.
pub trait Listen: Send + 'static {
    /// An accepted connection.
    type Stream;

    /// Waits for the next connection.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Returns the address that the listener is bound to.
    fn address(&self) -> SocketAddr;
}

/// TCP network, with Nagle's algorithm disabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Net for Tcp {
    type Stream = TcpStream;
    type Listener = Listener;

    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn bind(&self, address: SocketAddr) -> io::Result<Listener> {
        listen(open_socket(address)?, address)
    }

    async fn bind_bounded(&self, address: SocketAddr, unread_bytes: u32) -> io::Result<Listener> {
        let socket = open_socket(address)?;
        // Connections inherit it. The kernel reserves twice as much, for what it adds to the bytes.
        socket.set_recv_buffer_size(unread_bytes)?;
        listen(socket, address)
    }

    fn peer(&self, stream: &TcpStream) -> Option<IpAddr> {
        let address = stream.peer_addr().ok()?;
        Some(address.ip().to_canonical())
    }

    fn set_reset_on_close(&self, stream: &mut TcpStream, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        // Fails only for a connection that has failed already.
        let _ = sockopt::set_socket_linger(stream, linger);
    }
}

/// Creates a socket for the family of an address.
fn open_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }
}

/// Binds a socket and listens.
fn listen(socket: TcpSocket, address: SocketAddr) -> io::Result<Listener> {
    // Connections that were closed a moment ago do not keep a restart from listening.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(MAX_WAITING_CONNECTIONS)?;
    let address = listener.local_addr()?;
    Ok(Listener { listener, address })
}

/// A TCP listener with its bound address.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
}

impl Listen for Listener {
    type Stream = TcpStream;

    async fn accept(&mut self) -> io::Result<TcpStream> {
        let (stream, _) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}
