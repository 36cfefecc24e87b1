//! Answers whose end only the close of their connection marks.
//!
//! Such a connection is reset unless the answer was written completely. It is set up so before
//! the first byte, as the kernel closes the connections of a process that is killed.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use http::{header, Method, Request, Response, StatusCode, Version};
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::Net;

/// Answers of a connection. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Closing {
    /// Whether the last answer is incomplete and only the close marks its end.
    is_open: Arc<AtomicBool>,
}

/// What the version and the method of a request say about the end of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Whether an answer without a length ends with the connection.
    needs_close: bool,
}

impl Caller {
    /// Reads the version and the method of a request.
    pub fn of<B>(request: &Request<B>) -> Self {
        let is_old = request.version() < Version::HTTP_11;
        Self {
            needs_close: is_old && request.method() != Method::HEAD,
        }
    }
}

impl Closing {
    /// Watches whether an answer to a caller becomes complete.
    pub fn watch<B: http_body::Body>(
        &self,
        caller: Caller,
        answer: Response<B>,
    ) -> Response<Body<B>> {
        let has_body = !matches!(
            answer.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        let has_length = answer.headers().contains_key(header::CONTENT_LENGTH)
            || answer.body().size_hint().exact().is_some();
        let is_marked = caller.needs_close && has_body && !has_length;
        if is_marked {
            self.is_open.store(true, Ordering::Relaxed);
        }
        let closing = is_marked.then(|| self.clone());
        answer.map(|body| Body { body, closing })
    }

    /// Returns whether closing the connection now would pass off a part of an answer as whole.
    fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }
}

/// Body of an answer.
#[derive(Debug)]
pub struct Body<B> {
    body: B,
    /// `None` if the close of the connection does not mark its end.
    closing: Option<Closing>,
}

impl<B: http_body::Body + Unpin> http_body::Body for Body<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            if let Some(closing) = &this.closing {
                closing.is_open.store(false, Ordering::Relaxed);
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's connection.
#[derive(Debug)]
pub struct Stream<N: Net> {
    stream: N::Stream,
    net: N,
    closing: Closing,
    /// Whether closing the connection resets it.
    resets: bool,
    /// Most bytes that are read at once.
    max_read_bytes: usize,
}

impl<N: Net> Stream<N> {
    /// Wraps a connection whose answers `closing` watches.
    pub fn new(stream: N::Stream, net: N, closing: Closing) -> Self {
        Self {
            stream,
            net,
            closing,
            resets: false,
            max_read_bytes: usize::MAX,
        }
    }

    /// Bounds the bytes that are read at once. The HTTP library enlarges its buffer when a read
    /// fills it, and keeps it for as long as the connection is open.
    pub fn with_max_read_bytes(self, max_read_bytes: usize) -> Self {
        Self {
            max_read_bytes,
            ..self
        }
    }

    /// Sets whether closing the connection resets it.
    fn set_reset(&mut self, resets: bool) {
        if self.resets != resets {
            self.net.set_reset_on_close(&mut self.stream, resets);
            self.resets = resets;
        }
    }

    /// Prepares the connection for a part of an answer.
    fn prepare_write(&mut self) {
        if self.closing.is_open() {
            self.set_reset(true);
        }
    }
}

impl<N: Net> AsyncRead for Stream<N> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if buffer.remaining() <= this.max_read_bytes {
            return Pin::new(&mut this.stream).poll_read(cx, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(this.max_read_bytes));
        ready!(Pin::new(&mut this.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<N: Net> AsyncWrite for Stream<N> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.prepare_write();
        Pin::new(&mut this.stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    // The server has written all it has before it shuts a connection down.
    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.closing.is_open() {
            return Poll::Ready(Ok(()));
        }
        this.set_reset(false);
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.prepare_write();
        Pin::new(&mut this.stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
