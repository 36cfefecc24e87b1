//! Messages on HTTP/2 streams.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use serde::{de::DeserializeOwned, Serialize};

use cranberryridge_wire::codec;

/// Maximum number of concurrent streams of one connection.
pub const MAX_STREAMS: u32 = 4096;

/// Flow control window of one stream to a sidecar, which reads immediately.
pub const UP_WINDOW_BYTES: u32 = 1024 * 1024;

/// Flow control window of one stream to an entry, whose caller may read slowly.
pub const DOWN_WINDOW_BYTES: u32 = 64 * 1024;

/// Flow control window of one connection. Large enough that slow streams never block
/// the others.
pub const CONNECTION_WINDOW_BYTES: u32 = DOWN_WINDOW_BYTES * MAX_STREAMS;

/// Why a stream cannot be used any more.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection or the stream broke.
    #[error("stream broken: {0}")]
    Broken(#[from] h2::Error),
    /// A message could not be encoded or decoded.
    #[error("{0}")]
    Codec(#[from] codec::Error),
    /// The stream ended inside a message.
    #[error("stream ended inside a message")]
    Truncated,
    /// The peer closed the stream, or did not respond in time.
    #[error("stream closed by the peer")]
    Closed,
    /// The peer has not processed the stream and will not.
    #[error("not processed by the peer")]
    Unsent,
}

impl Error {
    /// Returns [`Error::Unsent`] for an error of a stream that the peer has declared as not
    /// processed: by refusing it, or by a GOAWAY with the id of an earlier stream.
    pub fn into_unsent(self) -> Self {
        match &self {
            Self::Broken(error)
                if error.is_remote()
                    && (error.is_go_away() || error.reason() == Some(Reason::REFUSED_STREAM)) =>
            {
                Self::Unsent
            }
            _ => self,
        }
    }
}

/// How a peer closed a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The peer cancelled the work of the stream.
    Cancelled,
    /// The peer no longer needs the stream, but its work continues.
    Released,
    /// The connection broke, or the cause is unknown.
    Broken,
}

/// The sending half of a stream. Dropping it before [`Sender::finish`] resets the
/// stream, which cancels its work at the peer.
#[derive(Debug)]
pub struct Sender {
    inner: SendStream<Bytes>,
}

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    inner: RecvStream,
    /// Bytes of an incomplete message.
    buffer: BytesMut,
}

impl Sender {
    /// Creates a sender on an HTTP/2 stream.
    pub fn new(inner: SendStream<Bytes>) -> Self {
        Self { inner }
    }

    /// Sends a message, waiting while the flow control window is full.
    ///
    /// # Errors
    ///
    /// Fails if the stream broke or the peer closed it.
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

    /// Ends the stream normally.
    pub fn finish(&mut self) {
        // If the peer already closed the stream, it has ended as well.
        let _ = self.inner.send_data(Bytes::new(), true);
    }

    /// Closes the stream without cancelling its work.
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

    /// Returns how the peer closed a stream after sending on it failed.
    pub async fn end_reason(&mut self, error: &Error) -> End {
        match error {
            Error::Codec(_) | Error::Truncated => End::Broken,
            Error::Broken(_) | Error::Closed | Error::Unsent => self.cancelled().await,
        }
    }
}

impl Receiver {
    /// Creates a receiver on an HTTP/2 stream.
    pub fn new(inner: RecvStream) -> Self {
        Self {
            inner,
            buffer: BytesMut::new(),
        }
    }

    /// Receives the next message, or `None` at the end of the stream. Cancel safe.
    ///
    /// # Errors
    ///
    /// Fails if the stream broke or a message could not be decoded.
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
