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
    /// Connections end after some bytes from the server.
    Cut(Cut),
}

/// End of connections after some bytes from the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Bytes that each connection still forwards.
    pub bytes: usize,
    /// Whether connections are reset then; otherwise they are closed in order. A close in
    /// order spares answers that end with their connection, as it would end them like their
    /// last byte while the server goes on to serve.
    pub resets: bool,
}

/// State of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It serves.
    Up,
    /// It is down, and its open connections are reset.
    Reset,
    /// It accepts no connection any more, and its open ones are about to close in order.
    Closing,
}

/// Reason for which a direction of a connection ended before its sender ended it.
enum Break {
    /// A connection failed.
    Failed,
    /// The mode cut it.
    Cut(Cut),
}

impl From<io::Error> for Break {
    fn from(_: io::Error) -> Self {
        Self::Failed
    }
}

/// Begin of the answers that end with their connection.
const UNFRAMED: &[u8] = b"HTTP/1.0";

/// Time in which the connections of a server that has crashed close in order. One whose end is
/// held back for longer is reset.
const CLOSE_TIME: Duration = Duration::from_millis(300);

/// Delay of each read in [`Mode::Delayed`].
const DELAY: Duration = Duration::from_millis(150);

/// A proxy in front of one server. Clones share it.
#[derive(Clone)]
pub struct Proxy {
    /// Listening address of the proxy.
    pub address: SocketAddr,
    /// Current treatment of connections.
    mode: watch::Sender<Mode>,
    /// State of the server.
    state: watch::Sender<State>,
    /// Whether connections are accepted.
    is_listening: watch::Receiver<bool>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and connects to `server`.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let mut listener = TcpListener::bind(listen).await.unwrap();
        let (mode, state) = (
            watch::Sender::new(Mode::Open),
            watch::Sender::new(State::Up),
        );
        let (modes, mut states) = (mode.clone(), state.subscribe());
        let (listening, is_listening) = watch::channel(true);
        tokio::spawn(async move {
            loop {
                let caller = tokio::select! {
                    biased;
                    _ = states.wait_for(|state| *state != State::Up) => None,
                    accepted = listener.accept() => accepted.ok(),
                };
                if let Some((caller, _)) = caller {
                    tokio::spawn(forward(caller, server, modes.subscribe(), states.clone()));
                    continue;
                }
                drop(listener);
                listening.send_replace(false);
                // The sender lives as long as the site.
                let _ = states.wait_for(|state| *state == State::Up).await;
                listener = TcpListener::bind(listen).await.unwrap();
                listening.send_replace(true);
            }
        });
        Self {
            address: listen,
            mode,
            state,
            is_listening,
        }
    }

    /// Resets all connections and refuses new ones, as a host whose server has crashed.
    pub fn stop(&self) {
        self.state.send_replace(State::Reset);
    }

    /// Refuses new connections and lets the server close the open ones in order, as the kernel
    /// does for a process that is killed. Returns once new ones are refused.
    pub async fn begin_close(&self) {
        self.state.send_replace(State::Closing);
        let mut is_listening = self.is_listening.clone();
        // The sender lives as long as the site.
        let _ = is_listening.wait_for(|is_listening| !is_listening).await;
    }

    /// Accepts connections again.
    pub fn start_again(&self) {
        self.state.send_replace(State::Up);
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
    mut state: watch::Receiver<State>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let up = copy(from_caller, to_server, mode.clone(), Mode::RequestsOnly);
        let down = copy_answers(from_server, to_caller, mode.clone());
        let mut closing = state.clone();
        let close = async {
            // The sender lives as long as the site.
            let _ = closing.wait_for(|state| *state == State::Closing).await;
            tokio::time::sleep(CLOSE_TIME).await;
        };
        tokio::select! {
            biased;
            _ = state.wait_for(|state| *state == State::Reset) => true,
            ended = async { tokio::try_join!(up, down) } => match ended {
                Ok(_) => false,
                Err(Break::Cut(cut)) => cut.resets,
                Err(Break::Failed) => true,
            },
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => true,
            () = close => true,
        }
    };
    if is_reset {
        // Without this, a connection whose bytes have all been read is closed in order.
        caller.set_zero_linger().unwrap();
        server.set_zero_linger().unwrap();
    }
}

/// Copies the answers of a connection up to its end, or as far as [`Mode::Cut`] lets them.
///
/// # Errors
///
/// Fails if either connection breaks or is cut.
async fn copy_answers(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
) -> Result<(), Break> {
    let mut buffer = [0; 16 * 1024];
    let mut is_unframed = false;
    let mut uncut_bytes = None;
    loop {
        let read = from.read(&mut buffer).await?;
        let mut bytes = &buffer[..read];
        let Ok(current) = wait_until_open(&mut mode, Mode::Open).await else {
            return Ok(());
        };
        is_unframed |= bytes.starts_with(UNFRAMED);
        match current {
            Mode::Cut(cut) if cut.resets || !is_unframed => {
                let rest = uncut_bytes.get_or_insert(cut.bytes);
                bytes = &bytes[..bytes.len().min(*rest)];
                *rest -= bytes.len();
                if *rest == 0 {
                    to.write_all(bytes).await?;
                    return Err(Break::Cut(cut));
                }
            }
            Mode::Cut(_) => {}
            _ => uncut_bytes = None,
        }
        if read == 0 {
            return Ok(to.shutdown().await?);
        }
        to.write_all(bytes).await?;
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
) -> Result<(), Break> {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).await?;
        if wait_until_open(&mut mode, also_open).await.is_err() {
            return Ok(());
        }
        if read == 0 {
            return Ok(to.shutdown().await?);
        }
        to.write_all(&buffer[..read]).await?;
    }
}

/// Waits until a mode forwards bytes and returns it. Besides the modes that forward both
/// directions, `also_open` does.
///
/// # Errors
///
/// Fails if the proxy is gone.
async fn wait_until_open(
    mode: &mut watch::Receiver<Mode>,
    also_open: Mode,
) -> Result<Mode, watch::error::RecvError> {
    let is_open = |mode: &Mode| {
        matches!(mode, Mode::Open | Mode::Delayed | Mode::Cut(_)) || *mode == also_open
    };
    let current = mode.wait_for(is_open).await.map(|mode| *mode)?;
    if current == Mode::Delayed {
        tokio::time::sleep(DELAY).await;
    }
    Ok(current)
}
