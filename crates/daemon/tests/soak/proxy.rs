//! TCP proxy on loopback that injects network faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Treatment of connections, including those that are already open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Bytes are forwarded after a delay.
    Delayed,
    /// Neither bytes nor the end of a connection are forwarded.
    Silent,
    /// Only bytes from the caller are forwarded.
    RequestsOnly,
    /// Connections are reset.
    Reset,
}

/// Delay of each read in [`Mode::Delayed`].
const DELAY: Duration = Duration::from_millis(150);

/// A proxy in front of one server. Clones share it.
#[derive(Clone)]
pub struct Proxy {
    /// Listening address of the proxy.
    pub address: SocketAddr,
    /// Current treatment of connections.
    mode: watch::Sender<Mode>,
    /// Whether connections are refused and open ones reset, as the server is down.
    stopped: watch::Sender<bool>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and connects to `server`.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let mut listener = TcpListener::bind(listen).await.unwrap();
        let (mode, stopped) = (watch::Sender::new(Mode::Open), watch::Sender::new(false));
        let (modes, mut stops) = (mode.clone(), stopped.subscribe());
        tokio::spawn(async move {
            loop {
                let caller = tokio::select! {
                    biased;
                    _ = stops.wait_for(|stopped| *stopped) => None,
                    accepted = listener.accept() => accepted.ok(),
                };
                if let Some((caller, _)) = caller {
                    tokio::spawn(forward(caller, server, modes.subscribe(), stops.clone()));
                    continue;
                }
                drop(listener);
                // The sender lives as long as the site.
                let _ = stops.wait_for(|stopped| !*stopped).await;
                listener = TcpListener::bind(listen).await.unwrap();
            }
        });
        Self {
            address: listen,
            mode,
            stopped,
        }
    }

    /// Resets all connections and refuses new ones, as a host whose server has crashed.
    pub fn stop(&self) {
        self.stopped.send_replace(true);
    }

    /// Accepts connections again.
    pub fn start_again(&self) {
        self.stopped.send_replace(false);
    }

    /// Changes the treatment of all connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Forwards a connection to the server.
async fn forward(
    mut caller: TcpStream,
    server: SocketAddr,
    mut mode: watch::Receiver<Mode>,
    mut stopped: watch::Receiver<bool>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let up = copy(from_caller, to_server, mode.clone(), Mode::RequestsOnly);
        let down = copy(from_server, to_caller, mode.clone(), Mode::Open);
        tokio::select! {
            biased;
            _ = stopped.wait_for(|stopped| *stopped) => true,
            ended = async { tokio::try_join!(up, down) } => ended.is_err(),
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => true,
        }
    };
    if is_reset {
        // Without this, a connection whose bytes have all been read is closed in order.
        caller.set_zero_linger().unwrap();
        server.set_zero_linger().unwrap();
    }
}

/// Copies one direction of a connection up to its end. Besides the open and delayed
/// modes, it also forwards in the mode `also_open`.
///
/// # Errors
///
/// Fails if either connection breaks.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    also_open: Mode,
) -> io::Result<()> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await?;
        let is_open =
            |mode: &Mode| matches!(mode, Mode::Open | Mode::Delayed) || *mode == also_open;
        let Ok(current) = mode.wait_for(is_open).await.map(|mode| *mode) else {
            return Ok(());
        };
        if current == Mode::Delayed {
            tokio::time::sleep(DELAY).await;
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..read]).await?;
    }
}
