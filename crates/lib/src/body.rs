//! Bodies of responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::Full;
use tokio::sync::mpsc;

/// Body of a response, either complete or sent in pieces.
#[derive(Debug)]
pub enum Body {
    /// The complete body.
    Full(Full<Bytes>),
    /// The pieces as they arrive. Dropping the body shows the sender that the caller
    /// disconnected.
    Pieces(mpsc::Receiver<Result<Bytes, Aborted>>),
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
        Self::Full(Full::new(bytes.into()))
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
            Self::Pieces(receiver) => {
                let piece = receiver.poll_recv(cx);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
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
