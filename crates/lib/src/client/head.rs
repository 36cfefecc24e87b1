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

/// Maximum number of interim heads before the final one.
const MAX_INTERIM_HEADS: usize = 16;

/// Bytes of interim heads and the final one together, at most.
const MAX_HEADS_BYTES: usize = MAX_HEAD_BYTES + MAX_READ_AT_ONCE_BYTES;

/// Bytes that may be read before the caller has the head. Besides the head, the HTTP library
/// may have read ahead up to three buffers of the body by then.
const MAX_READ_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Most bytes that are read at once. The HTTP library enlarges its buffer when a read fills it,
/// and keeps it for as long as the connection is open.
const MAX_READ_AT_ONCE_BYTES: usize = 4 * 1024;

/// Time in which a head that has begun to arrive must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes of a status line up to the end of its code, as in `HTTP/1.1 103`.
const STATUS_BYTES: usize = 12;

/// A connection that fails if the peer sends too much, or for too long, before the head of
/// its answer is complete. The HTTP library bounds each head, but not the number of interim
/// ones.
#[derive(Debug)]
pub struct Stream<S> {
    inner: S,
    /// Bytes that were read so far.
    read_bytes: usize,
    heads: Heads,
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

/// Follows the bytes of an answer up to the end of its final head.
#[derive(Debug, Default)]
struct Heads {
    /// Beginning of the status line of the head that arrives.
    status: [u8; STATUS_BYTES],
    /// Bytes of the line that arrives, without its end.
    line_bytes: usize,
    /// Whether the status line of the head that arrives is complete.
    has_status: bool,
    /// Bytes of all heads.
    bytes: usize,
    /// Number of interim heads.
    interim: usize,
    /// Whether the final head has ended.
    is_final_complete: bool,
}

impl Heads {
    /// Follows bytes of the answer.
    fn follow(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.is_final_complete {
                return;
            }
            self.bytes += 1;
            match byte {
                b'\n' => self.end_line(),
                b'\r' => {}
                _ => {
                    if !self.has_status && self.line_bytes < STATUS_BYTES {
                        self.status[self.line_bytes] = *byte;
                    }
                    self.line_bytes += 1;
                }
            }
        }
    }

    /// Records the end of a line, of which an empty one ends a head.
    fn end_line(&mut self) {
        if self.line_bytes > 0 {
            self.has_status = true;
        } else if self.has_status {
            let code = &self.status[STATUS_BYTES - 3..];
            if code.starts_with(b"1") && code != b"101" {
                self.interim += 1;
            } else {
                self.is_final_complete = true;
            }
            self.status = [0; STATUS_BYTES];
            self.has_status = false;
        }
        self.line_bytes = 0;
    }

    /// Returns whether there are more interim heads, or more bytes, than allowed.
    fn is_excessive(&self) -> bool {
        self.interim > MAX_INTERIM_HEADS || !self.is_final_complete && self.bytes > MAX_HEADS_BYTES
    }
}

/// Bounds a new connection.
pub fn bound<S>(inner: S) -> (Stream<S>, Bound) {
    let is_complete = Arc::new(AtomicBool::new(false));
    let stream = Stream {
        inner,
        read_bytes: 0,
        heads: Heads::default(),
        timer: None,
        is_complete: is_complete.clone(),
    };
    (stream, Bound(is_complete))
}

/// Returns the error of a head that is too long, or of too many interim ones.
fn too_long() -> io::Error {
    let text = "head too long, or too many interim heads; \
                have the server send its answer after a few 1xx heads";
    io::Error::new(io::ErrorKind::InvalidData, text)
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let is_complete = this.is_complete.load(Ordering::Relaxed);
        if is_complete {
            this.timer = None;
        } else if this.read_bytes > MAX_READ_BYTES {
            return Poll::Ready(Err(too_long()));
        } else if let Some(timer) = &mut this.timer {
            if timer.as_mut().poll(cx).is_ready() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
        let room = buffer.remaining().min(MAX_READ_AT_ONCE_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        ready!(Pin::new(&mut this.inner).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        if !is_complete {
            this.heads.follow(part.filled());
            // Nothing of this read is passed on, as each interim head costs time.
            if this.heads.is_excessive() {
                return Poll::Ready(Err(too_long()));
            }
        }
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
