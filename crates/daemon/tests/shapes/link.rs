//! Links that forward connections of a host to the store, and may be cut or slowed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// State of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Bytes pass at once.
    #[default]
    Open,
    /// Bytes of either side pass late.
    Slow(Duration),
    /// No byte passes, and connections stay open.
    Cut,
}

/// A link to the store.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    state: watch::Sender<State>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts to forward connections from `at` to `store`.
    pub async fn start(at: SocketAddr, store: SocketAddr) -> Self {
        let listener = TcpListener::bind(at).await.unwrap();
        let (sender, state) = watch::channel(State::Open);
        let task = tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else {
                    continue;
                };
                let state = state.clone();
                tokio::spawn(async move {
                    if let Ok(server) = TcpStream::connect(store).await {
                        let (client_read, client_write) = client.into_split();
                        let (server_read, server_write) = server.into_split();
                        // A connection ends as soon as either side has closed it.
                        tokio::select! {
                            () = forward(client_read, server_write, state.clone()) => {}
                            () = forward(server_read, client_write, state) => {}
                        }
                    }
                });
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

/// Forwards bytes until either side is closed.
async fn forward(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    mut state: watch::Receiver<State>,
) {
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let count = match from.read(&mut bytes).await {
            Ok(count) if count > 0 => count,
            _ => return,
        };
        if state.wait_for(|state| *state != State::Cut).await.is_err() {
            return;
        }
        let current = *state.borrow();
        if let State::Slow(delay) = current {
            tokio::time::sleep(delay).await;
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            return;
        }
    }
}
