//! The network, passed in as an interface.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

pub mod memory;
pub mod tls;

/// Opens connections and listeners.
pub trait Net: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// A listener.
    type Listener: Listen<Stream = Self::Stream>;

    /// Connects to an address.
    fn connect(&self, address: SocketAddr)
        -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Listens at an address.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;

    /// The network as a host sees it, where hosts in one process are to be
    /// told apart.
    fn for_host(&self, _host: IpAddr) -> Self {
        self.clone()
    }
}

/// Takes connections.
pub trait Listen: Send + 'static {
    /// A connection.
    type Stream;

    /// The next connection.
    fn accept(&mut self) -> impl Future<Output = io::Result<Self::Stream>> + Send;

    /// Where this listens.
    fn address(&self) -> SocketAddr;
}

/// TCP.
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Listener { listener, address })
    }
}

/// A TCP listener.
#[derive(Debug)]
pub struct Listener {
    /// The socket.
    listener: TcpListener,
    /// Where it listens.
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
