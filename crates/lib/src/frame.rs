//! Messages on a connection, both ways, with heartbeats.

use std::future::Future;
use std::time::Duration;

use bytes::BytesMut;
use serde::{de::DeserializeOwned, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::Instant;

use cranberryridge_wire::codec;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Time without a message after which a connection has gone silent. A lost
/// packet is sent again in less.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);

/// Most bytes that are written at once.
const WRITE_BATCH_BYTES: usize = 32 * 1024;

/// Most bytes of a message.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Why a connection is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It broke.
    #[error("connection broken: {0}")]
    Broken(#[from] std::io::Error),
    /// The peer sent something that is not understood.
    #[error("{0}")]
    Codec(#[from] codec::Error),
    /// The peer closed it.
    #[error("connection closed")]
    Closed,
    /// The peer sent nothing, or took nothing.
    #[error("peer silent for {SILENCE_TIMEOUT:?}")]
    Silent,
}

/// Takes messages as they arrive.
pub trait Handler<I>: Send {
    /// Takes one; the next one waits for it.
    fn handle(&mut self, message: I) -> impl Future<Output = ()> + Send;
}

/// Carries messages until the connection breaks, goes silent, or nobody sends
/// any more. Those that arrive, heartbeats included, are handed on.
///
/// # Errors
///
/// When it did not end by itself.
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
