//! Bodies of requests and responses.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Body of a response, either complete or sent in pieces.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Full(Chunks),
    /// The pieces as they arrive.
    Pieces(Pieces),
}

/// A complete body in chunks. Clones share the memory of the chunks.
#[derive(Clone, Debug, Default)]
pub struct Chunks {
    rest: VecDeque<Bytes>,
}

/// Pieces of a body as they arrive. The body is complete only with [`Piece::End`]; it
/// fails if all senders are dropped before. Dropping the body shows the senders that the
/// caller disconnected.
#[derive(Debug)]
pub struct Pieces {
    receiver: mpsc::Receiver<Piece>,
    /// Whether the end or a failure was reported.
    is_ended: bool,
}

/// Reads a body into one buffer, so that parts of a few bytes each take no more memory
/// than their bytes.
///
/// # Errors
///
/// [`ReadError::TooLarge`] if the body has more than `limit` bytes, [`ReadError::Broken`] if
/// it is incomplete.
pub async fn read<B>(mut body: B, limit: usize) -> Result<Bytes, ReadError<B::Error>>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.map_err(ReadError::Broken)?.into_data() {
            if part.len() > limit - buffer.len() {
                return Err(ReadError::TooLarge);
            }
            buffer.extend_from_slice(&part);
        }
    }
    Ok(buffer.freeze())
}

/// Reason for which a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError<E> {
    /// It is larger than allowed.
    #[error("the body is too large")]
    TooLarge,
    /// There is no memory left for bodies.
    #[error("no memory left for bodies")]
    NoMemory,
    /// The connection failed before its end.
    #[error("the body is incomplete: {0}")]
    Broken(E),
}

/// Part of a body that is sent in pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// Marks the body as complete.
    End,
}

/// Error that aborts a body. The caller sees a broken connection.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the answer was cut off")]
pub struct Aborted;

impl Body {
    /// Creates a complete body.
    ///
    /// # Examples
    ///
    /// ```
    /// let body = cranberryridge::body::Body::full("ok");
    /// assert!(matches!(body, cranberryridge::body::Body::Full(_)));
    /// ```
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Chunks::from(bytes.into()))
    }

    /// Creates a body that is sent in pieces, of which up to `capacity` wait for the
    /// caller.
    ///
    /// # Examples
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    /// # runtime.block_on(async {
    /// use cranberryridge::body::{Body, Piece};
    /// use http_body_util::BodyExt;
    /// let (sender, body) = Body::channel(2);
    /// sender.send(Piece::Data("ok".into())).await.unwrap();
    /// sender.send(Piece::End).await.unwrap();
    /// assert_eq!(body.collect().await.unwrap().to_bytes(), "ok");
    /// # });
    /// ```
    pub fn channel(capacity: usize) -> (mpsc::Sender<Piece>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        let pieces = Pieces {
            receiver,
            is_ended: false,
        };
        (sender, Self::Pieces(pieces))
    }
}

impl Pieces {
    /// Polls for the next bytes; `None` after the end or a failure.
    fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Aborted>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let piece = ready!(self.receiver.poll_recv(cx));
        self.is_ended = !matches!(piece, Some(Piece::Data(_)));
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => Some(Ok(bytes)),
            Some(Piece::End) => None,
            None => Some(Err(Aborted)),
        })
    }
}

impl Chunks {
    /// Appends a chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.rest.push_back(chunk);
        }
    }

    /// Returns the chunks in order.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.rest.iter()
    }

    /// Returns the size of the body in bytes.
    pub fn size(&self) -> usize {
        self.iter().map(Bytes::len).sum()
    }

    /// Returns the body as one piece. It is copied if it has several chunks.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut chunks = cranberryridge::body::Chunks::default();
    /// chunks.push("a".into());
    /// chunks.push("b".into());
    /// assert_eq!(chunks.to_bytes(), "ab");
    /// ```
    pub fn to_bytes(&self) -> Bytes {
        match self.rest.len() {
            1 => self.rest[0].clone(),
            _ => self.iter().flatten().copied().collect(),
        }
    }
}

impl From<Bytes> for Chunks {
    fn from(bytes: Bytes) -> Self {
        let mut chunks = Self::default();
        chunks.push(bytes);
        chunks
    }
}

impl http_body::Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.get_mut().rest.pop_front();
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.size() as u64)
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Self::Full(full) => {
                let never = |never: Infallible| match never {};
                Pin::new(full).poll_frame(cx).map_err(never)
            }
            Self::Pieces(pieces) => {
                let data = pieces.poll_data(cx);
                data.map(|data| data.map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
