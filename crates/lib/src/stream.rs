//! Messages on h2 streams.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::{de::DeserializeOwned, Serialize};

use cranberryridge_wire::codec;

/// Most streams of one connection at once.
pub const MAX_STREAMS: u32 = 4096;

/// Window of one stream towards a sidecar, which reads at once, in bytes.
pub const UP_WINDOW_BYTES: u32 = 1024 * 1024;

/// Window of one stream towards an entry, whose caller may read slowly, in
/// bytes.
pub const DOWN_WINDOW_BYTES: u32 = 64 * 1024;

/// Window of one connection, in bytes: enough that slow streams never hold up
/// the others.
pub const CONNECTION_WINDOW_BYTES: u32 = DOWN_WINDOW_BYTES * MAX_STREAMS;

/// Why a stream is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the stream broke.
    #[error("stream broken: {0}")]
    Broken(#[from] h2::Error),
    /// The peer sent something that is not understood.
    #[error("{0}")]
    Codec(#[from] codec::Error),
    /// The stream ended inside a message.
    #[error("stream ended inside a message")]
    Truncated,
    /// The peer gave the stream up.
    #[error("stream given up by the peer")]
    Closed,
    /// There is no connection, so nothing was sent.
    #[error("no connection, nothing was sent")]
    Unsent,
}

/// How a peer left a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It gave up what runs on the stream.
    Cancelled,
    /// It needs the stream no more; what runs on it goes on.
    Released,
    /// The connection broke, or nobody can tell.
    Broken,
}

/// The sending half of a stream. Dropping it before [`Sender::finish`] resets
/// the stream, which tells the peer that nobody waits.
#[derive(Debug)]
pub struct Sender {
    /// The h2 stream.
    inner: SendStream<Bytes>,
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    /// The h2 stream.
    inner: RecvStream,
    /// Bytes of messages that are not whole.
    buffer: BytesMut,
}

impl Sender {
    /// Sends messages on an h2 stream.
    pub fn new(inner: SendStream<Bytes>) -> Self {
        Self { inner }
    }

    /// Sends a message, waiting while the peer's window is full.
    ///
    /// # Errors
    ///
    /// When the stream broke or was given up.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), Error> {
        let mut unsent = Bytes::from(codec::encode(message)?);
        while !unsent.is_empty() {
            self.inner.reserve_capacity(unsent.len());
            let capacity = poll_fn(|cx| self.inner.poll_capacity(cx)).await;
            let capacity = capacity.ok_or(Error::Closed)??;
            let piece = unsent.split_to(capacity.min(unsent.len()));
            self.inner.send_data(piece, false)?;
        }
        Ok(())
    }

    /// Ends the stream in good order.
    pub fn finish(&mut self) {
        // The peer may be gone already, which is just as well an end.
        let _ = self.inner.send_data(Bytes::new(), true);
    }

    /// Leaves the stream without giving up what runs on it.
    pub fn release(&mut self) {
        self.inner.send_reset(Reason::NO_ERROR);
    }

    /// Waits until the peer resets the stream or the connection breaks.
    pub async fn cancelled(&mut self) -> End {
        match poll_fn(|cx| self.inner.poll_reset(cx)).await {
            Ok(Reason::CANCEL) => End::Cancelled,
            Ok(Reason::NO_ERROR) => End::Released,
            Ok(_) | Err(_) => End::Broken,
        }
    }

    /// How the peer left a stream that takes no more messages.
    pub async fn end_reason(&mut self, error: &Error) -> End {
        match error {
            Error::Codec(_) | Error::Truncated => End::Broken,
            Error::Broken(_) | Error::Closed | Error::Unsent => self.cancelled().await,
        }
    }
}

impl Receiver {
    /// Receives messages from an h2 stream.
    pub fn new(inner: RecvStream) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
        }
    }

    /// The next message, or `None` at the stream's end. Safe to cancel.
    ///
    /// # Errors
    ///
    /// When the stream broke or what came is not understood.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        loop {
            if let Some(message) = codec::decode(&mut self.buffer)? {
                return Ok(Some(message));
            }
            let Some(data) = self.inner.data().await else {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::Truncated)
                };
            };
            let data = data?;
            self.inner.flow_control().release_capacity(data.len())?;
            self.buffer.extend_from_slice(&data);
        }
    }
}
