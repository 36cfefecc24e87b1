//! Links that forward connections, and may be cut, slowed or made to lose them.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Time for which a lossy link stands still.
const STALL_TIME: Duration = Duration::from_millis(1500);

/// Maximum time by which a lossy link delays bytes, in milliseconds.
const MAX_LOSSY_DELAY_MS: u64 = 40;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Bytes pass at once.
    #[default]
    Open,
    /// Bytes of either side pass late.
    Slow(Duration),
    /// Bytes of either side pass late. Of a thousand reads, this many are followed by a stall,
    /// and as many by a reset of the connection, behind some of the bytes.
    Lossy(u32),
    /// No byte passes, and connections stay open.
    Cut,
}

/// How one side of a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A link to the store or to an engine.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts to forward connections from `at` to `server`.
    pub async fn start(at: SocketAddr, server: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).await.unwrap();
        let (sender, state) = watch::channel(State::Open);
        let task = tokio::spawn(async move {
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        if let Ok((client, _)) = accepted {
                            connections.spawn(connect(client, server, state.clone()));
                        }
                    }
                    Some(_) = connections.join_next() => {}
                }
            }
        });
        Self {
            address: at,
            state: sender,
            task,
        }
    }

    /// Replaces the state.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Forwards a connection until either side has ended it, and ends the other side likewise.
async fn connect(mut client: TcpStream, server: SocketAddr, state: watch::Receiver<State>) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        // The client may have closed the connection, here and below.
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let end = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            end = forward(client_read, server_write, state.clone()) => end,
            end = forward(server_read, client_write, state) => end,
        }
    };
    if end == End::Reset {
        let _ = (client.set_zero_linger(), server.set_zero_linger());
    }
}

/// Forwards bytes until either side has ended the connection, or the link resets it.
async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<State>,
) -> End {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let mut count = match from.read(&mut bytes).await {
            Ok(0) => return End::Close,
            Ok(count) => count,
            Err(_) => return End::Reset,
        };
        if state.wait_for(|state| *state != State::Cut).await.is_err() {
            return End::Close;
        }
        let current = *state.borrow();
        let mut is_reset = false;
        match current {
            State::Slow(delay) => tokio::time::sleep(delay).await,
            State::Lossy(per_mille) => {
                let drawn = rand::rng().random_range(0..1000);
                let delay_ms = rand::rng().random_range(0..=MAX_LOSSY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                is_reset = drawn < per_mille;
                if is_reset {
                    count = rand::rng().random_range(0..=count);
                } else if drawn < 2 * per_mille {
                    tokio::time::sleep(STALL_TIME).await;
                }
            }
            State::Open | State::Cut => {}
        }
        if to.write_all(&bytes[..count]).await.is_err() || is_reset {
            return End::Reset;
        }
    }
}
