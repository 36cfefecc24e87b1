//! Bidirectional messages on a connection, with heartbeats.

use std::future::Future;
use std::time::Duration;

use bytes::BytesMut;
use serde::{de::DeserializeOwned, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::Instant;

use cranberryridge_wire::codec;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a message after which a connection counts as silent. Longer than the
/// retransmission of a lost packet takes.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Size of a write at which no more queued messages are added to it.
const WRITE_BATCH_BYTES: usize = 32 * 1024;

const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Why a connection cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error("connection broken: {0}")]
    Broken(#[from] std::io::Error),
    /// A message could not be encoded or decoded.
    #[error("{0}")]
    Codec(#[from] codec::Error),
    /// The peer closed the connection.
    #[error("connection closed")]
    Closed,
    /// The peer sent nothing or read nothing for too long.
    #[error("peer silent for {SILENCE_TIMEOUT:?}")]
    Silent,
}

/// Handles received messages.
pub trait Handler<I>: Send {
    /// Handles one message. Nothing is sent or received on the connection meanwhile.
    fn handle(&mut self, message: I) -> impl Future<Output = ()> + Send;
}

/// Sends the messages of `outbox` and hands received ones, including heartbeats, to
/// `handler`. Returns once all senders of `outbox` are dropped.
///
/// # Errors
///
/// Fails if the connection breaks, goes silent or is closed by the peer, or if a
/// message is invalid.
pub async fn run<S, I, O>(
    stream: S,
    heartbeat: impl Fn() -> O + Send,
    outbox: &mut mpsc::Receiver<O>,
    mut handler: impl Handler<I>,
) -> Result<(), Error>
where
    S: AsyncRead + AsyncWrite,
    I: DeserializeOwned,
    O: Serialize,
{
    let (mut reader, mut writer) = tokio::io::split(stream);
    let mut buffer = BytesMut::new();
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut last_message = Instant::now();
    loop {
        while let Some(message) = codec::decode_within::<I>(&mut buffer, MAX_MESSAGE_BYTES)? {
            last_message = Instant::now();
            handler.handle(message).await;
        }
        let bytes = tokio::select! {
            read = reader.read_buf(&mut buffer) => {
                if read? == 0 {
                    return Err(Error::Closed);
                }
                continue;
            }
            message = outbox.recv() => {
                let Some(message) = message else { return Ok(()) };
                let mut bytes = codec::encode(&message)?;
                while bytes.len() < WRITE_BATCH_BYTES {
                    let Ok(message) = outbox.try_recv() else { break };
                    bytes.extend(codec::encode(&message)?);
                }
                bytes
            }
            _ = interval.tick() => codec::encode(&heartbeat())?,
            () = tokio::time::sleep_until(last_message + SILENCE_TIMEOUT) => return Err(Error::Silent),
        };
        let written = tokio::time::timeout(SILENCE_TIMEOUT, writer.write_all(&bytes)).await;
        written.map_err(|_| Error::Silent)??;
    }
}
