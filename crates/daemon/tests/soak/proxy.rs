//! A proxy on loopback through which connections are disturbed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What happens to connections, the open ones too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Open,
    /// Bytes pass late.
    Delayed,
    /// No bytes pass, nor does an end.
    Silent,
    /// Only bytes of the caller pass.
    RequestsOnly,
    /// Connections are reset.
    Reset,
}

/// Delay of bytes in a slow mode.
const DELAY: Duration = Duration::from_millis(150);

/// A proxy before one server.
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    /// What happens.
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts a proxy.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).await.unwrap();
        let mode = watch::Sender::new(Mode::Open);
        let modes = mode.clone();
        tokio::spawn(async move {
            loop {
                let Ok((caller, _)) = listener.accept().await else {
                    continue;
                };
                tokio::spawn(forward(caller, server, modes.subscribe()));
            }
        });
        Self {
            address: listen,
            mode,
        }
    }

    /// Disturbs connections, or stops disturbing them.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Passes a connection on.
async fn forward(caller: TcpStream, server: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(server_stream) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server_stream.into_split();
    let up = copy(from_caller, to_server, mode.clone(), Mode::RequestsOnly);
    let down = copy(from_server, to_caller, mode.clone(), Mode::Open);
    // Dropping the halves with bytes unread resets the connections.
    tokio::select! {
        _ = async { tokio::join!(up, down) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

/// Copies one direction, which also passes in one other mode than the open one.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    also_open: Mode,
) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        let is_open =
            |mode: &Mode| matches!(mode, Mode::Open | Mode::Delayed) || *mode == also_open;
        let Ok(current) = mode.wait_for(is_open).await.map(|mode| *mode) else {
            return;
        };
        if current == Mode::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if read == 0 || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}
