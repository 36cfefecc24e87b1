//! Bound on what is read before the head of an answer is complete.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Maximum size of a head, in bytes.
pub const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Bytes that may be read before the head is known to be complete. Besides the head, the
/// HTTP library may have read ahead up to three buffers of the body by then.
const MAX_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Most bytes that are read at once. The HTTP library enlarges its buffer when a read fills it,
/// and keeps it for as long as the connection is open.
const MAX_READ_AT_ONCE_BYTES: usize = 4 * 1024;

/// Time in which a head that has begun to arrive must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// A connection that fails if the peer sends too much, or for too long, before the head of
/// its answer is complete. The HTTP library bounds each head, but not the number of interim ones.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    /// Bytes that were read so far.
    read_bytes: usize,
    /// Runs from the first byte on until the head is complete.
    timer: Option<Pin<Box<Sleep>>>,
    is_complete: Arc<AtomicBool>,
}

/// Ends the bound of a connection.
#[derive(Debug)]
pub struct Bound(Arc<AtomicBool>);

impl Bound {
    /// Records that the head is complete.
    pub fn lift(self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Bounds a new connection.
pub fn bound<S>(inner: S) -> (Stream<S>, Bound) {
    let is_complete = Arc::new(AtomicBool::new(false));
    let stream = Stream {
        inner,
        read_bytes: 0,
        timer: None,
        is_complete: is_complete.clone(),
    };
    (stream, Bound(is_complete))
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_complete.load(Ordering::Relaxed) {
            this.timer = None;
        } else if this.read_bytes > MAX_READ_BYTES {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head too long");
            return Poll::Ready(Err(error));
        } else if let Some(timer) = &mut this.timer {
            if timer.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        let room = buffer.remaining().min(MAX_READ_AT_ONCE_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut this.inner).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buffer.advance(read);
        if this.read_bytes == 0 && read > 0 {
            this.timer = Some(Box::pin(tokio::time::sleep(HEAD_TIMEOUT)));
        }
        this.read_bytes = this.read_bytes.saturating_add(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().inner).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
