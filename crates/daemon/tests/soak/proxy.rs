//! TCP proxy on loopback that injects network faults.

use std::borrow::Cow;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use cranberryridge_standin::server;

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

/// End of connections after a part of what the server sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Where each connection ends.
    pub place: Place,
    /// How it ends.
    pub end: End,
    /// Answers without a length or chunks that an end in order spares. It would end them like
    /// their last byte while the server goes on to serve.
    pub spared: Spared,
}

/// Place at which a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// After this many further bytes from the server.
    Bytes(usize),
    /// After this many further events from the server.
    Events(usize),
}

/// How a connection that is cut ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Both sides are reset.
    Reset,
    /// Both sides are closed in order.
    Close,
    /// The server's side ends in order, and the caller's stays open.
    HalfClose,
}

/// Answers without a length or chunks that are spared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spared {
    /// All.
    All,
    /// Those that are no streams. Nothing but the connection tells of their end.
    Plain,
}

impl Cut {
    /// Returns whether an answer may be cut.
    fn hits(self, answer: Answer) -> bool {
        match (self.end, self.spared) {
            _ if !answer.is_unframed => true,
            (End::Reset, _) => true,
            (_, Spared::All) => false,
            (_, Spared::Plain) => answer.is_stream,
        }
    }
}

impl Place {
    /// Takes bytes from the server. Returns how many of them are forwarded, and whether the
    /// connection is cut after them.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self {
            Self::Bytes(rest) => {
                let taken = bytes.len().min(*rest);
                *rest -= taken;
                (taken, *rest == 0)
            }
            Self::Events(rest) => {
                let mut taken = 0;
                while *rest > 0 {
                    let Some(at) = find(&bytes[taken..], END_OF_EVENT) else {
                        return (bytes.len(), false);
                    };
                    taken += at + END_OF_EVENT.len();
                    *rest -= 1;
                }
                (taken, true)
            }
        }
    }
}

/// What is known of the answer that a connection carries.
#[derive(Clone, Copy, Debug, Default)]
struct Answer {
    /// Whether it has neither a length nor chunks.
    is_unframed: bool,
    /// Whether it is a stream of events.
    is_stream: bool,
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

/// Begin of the same answers in the later version, which ends its connection by a header.
const UNFRAMED_LATER: &[u8] = b"HTTP/1.1 200 OK\r\nconnection: close";

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// Last bytes of an event. Endpoints send each event at once.
const END_OF_EVENT: &[u8] = b"\n\n";

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
    /// Whether each second answer without a length or chunks has the later version.
    has_later_heads: Arc<AtomicBool>,
}

/// What the connections of a proxy share.
#[derive(Clone)]
struct Shared {
    mode: watch::Receiver<Mode>,
    has_later_heads: Arc<AtomicBool>,
    /// Number of answers without a length or chunks.
    unframed_count: Arc<AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and connects to `server`.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> Self {
        let mut listener = TcpListener::bind(listen).await.unwrap();
        let (mode, state) = (
            watch::Sender::new(Mode::Open),
            watch::Sender::new(State::Up),
        );
        let mut states = state.subscribe();
        let (listening, is_listening) = watch::channel(true);
        let has_later_heads = Arc::<AtomicBool>::default();
        let shared = Shared {
            mode: mode.subscribe(),
            has_later_heads: has_later_heads.clone(),
            unframed_count: Arc::default(),
        };
        tokio::spawn(async move {
            loop {
                let caller = tokio::select! {
                    biased;
                    _ = states.wait_for(|state| *state != State::Up) => None,
                    accepted = listener.accept() => accepted.ok(),
                };
                if let Some((caller, _)) = caller {
                    tokio::spawn(forward(caller, server, shared.clone(), states.clone()));
                    continue;
                }
                drop(listener);
                listening.send_replace(false);
                // The sender lives as long as the site.
                let _ = states.wait_for(|state| *state == State::Up).await;
                listener = server::rebind(|| TcpListener::bind(listen)).await.unwrap();
                listening.send_replace(true);
            }
        });
        Self {
            address: listen,
            mode,
            state,
            is_listening,
            has_later_heads,
        }
    }

    /// Gives each second answer without a length or chunks the head of the later version.
    pub fn send_later_heads(&self) {
        self.has_later_heads.store(true, Ordering::SeqCst);
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
    shared: Shared,
    mut state: watch::Receiver<State>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    let mut mode = shared.mode.clone();
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        let up = copy(from_caller, to_server, mode.clone(), Mode::RequestsOnly);
        let down = copy_answers(from_server, to_caller, shared);
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
                Err(Break::Cut(cut)) => cut.end == End::Reset,
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
    mut shared: Shared,
) -> Result<(), Break> {
    let mut buffer = [0; 16 * 1024];
    let mut answer = Answer::default();
    let mut place = None;
    loop {
        let read = from.read(&mut buffer).await?;
        let Ok(current) = wait_until_open(&mut shared.mode, Mode::Open).await else {
            return Ok(());
        };
        let mut bytes = Cow::Borrowed(&buffer[..read]);
        if bytes.starts_with(UNFRAMED) {
            answer.is_unframed = true;
            answer.is_stream = find(&bytes, EVENT_STREAM).is_some();
            bytes = shared.change_head(bytes);
        }
        match current {
            Mode::Cut(cut) if cut.hits(answer) => {
                let (taken, is_cut) = place.get_or_insert(cut.place).take(&bytes);
                if is_cut {
                    to.write_all(&bytes[..taken]).await?;
                    if cut.end == End::HalfClose {
                        return Ok(to.shutdown().await?);
                    }
                    return Err(Break::Cut(cut));
                }
            }
            Mode::Cut(_) => {}
            _ => place = None,
        }
        if read == 0 {
            return Ok(to.shutdown().await?);
        }
        to.write_all(&bytes).await?;
    }
}

impl Shared {
    /// Gives the begin of an answer without a length or chunks the later head if it is its
    /// turn. An answer that is no success stays as it is.
    fn change_head<'a>(&self, bytes: Cow<'a, [u8]>) -> Cow<'a, [u8]> {
        let count = self.unframed_count.fetch_add(1, Ordering::SeqCst);
        if !self.has_later_heads.load(Ordering::SeqCst) || count.is_multiple_of(2) {
            return bytes;
        }
        match find(&bytes, b"\r\n") {
            Some(at) if bytes[..at].ends_with(b" 200 OK") => {
                Cow::Owned([UNFRAMED_LATER, &bytes[at..]].concat())
            }
            _ => bytes,
        }
    }
}

/// Returns where a part first begins.
fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
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
