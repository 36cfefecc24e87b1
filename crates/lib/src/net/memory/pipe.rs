//! Connection between two in-process hosts, with fault injection.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::Host;

/// Capacity of a pipe per direction; a writer waits while it is full.
const PIPE_BYTES: usize = 256 * 1024;

/// Maximum number of bytes of one chunk in a pipe with latency.
const CHUNK_BYTES: usize = 8 * 1024;

/// State of a working connection.
const OPEN: u8 = 0;

/// State of a connection that drops all bytes without an error at either end.
const SILENT: u8 = 1;

/// State of a connection that was reset; both ends get an error.
const RESET: u8 = 2;

/// State of a connection that one end reset when it was dropped; the other gets an error
/// behind the bytes that were sent before.
const CUT: u8 = 3;

/// State shared by both ends of a connection.
#[derive(Debug)]
pub(super) struct Pipe {
    /// Host that connected, and host that accepted.
    hosts: [Arc<Host>; 2],
    /// [`OPEN`], [`SILENT`], [`RESET`] or [`CUT`].
    state: AtomicU8,
    /// Whether what is sent to an end is held back, by that end.
    blocked: [AtomicBool; 2],
    /// Tasks that wait to read, by end.
    readers: [AtomicWaker; 2],
    /// Tasks that wait to write, by end.
    writers: [AtomicWaker; 2],
}

impl Pipe {
    /// Resets the connection; both ends get an error.
    pub fn reset(&self) {
        self.state.store(RESET, Ordering::Relaxed);
        self.wake();
    }

    /// Resets the connection behind the bytes that were sent, unless it has failed before.
    fn cut(&self) {
        let order = Ordering::Relaxed;
        // It has failed before.
        let _ = self.state.compare_exchange(OPEN, CUT, order, order);
    }

    /// Makes the connection drop all bytes from now on.
    pub fn silence(&self) {
        self.state.store(SILENT, Ordering::Relaxed);
        self.wake();
    }

    /// Sets whether what one host sends to another is held back, if the connection is between
    /// them.
    pub fn set_blocked(&self, from: IpAddr, to: IpAddr, is_blocked: bool) {
        for end in 0..2 {
            let [sender, receiver] = [&self.hosts[1 - end], &self.hosts[end]];
            if (sender.address, receiver.address) == (from, to) {
                self.blocked[end].store(is_blocked, Ordering::Relaxed);
            }
        }
        self.wake();
    }

    /// Wakes all tasks that wait to read or write.
    pub fn wake(&self) {
        self.readers.iter().for_each(AtomicWaker::wake);
        self.writers.iter().for_each(AtomicWaker::wake);
    }

    /// Whether the connection is between two hosts, in either direction.
    pub fn is_between(&self, one: IpAddr, other: IpAddr) -> bool {
        let [from, to] = [self.hosts[0].address, self.hosts[1].address];
        (from, to) == (one, other) || (from, to) == (other, one)
    }

    /// Whether one end is at this host.
    pub fn has_end_at(&self, host: &Arc<Host>) -> bool {
        self.hosts.iter().any(|end| Arc::ptr_eq(end, host))
    }

    /// Returns the latency of the connection, the sum of both hosts' latencies.
    fn delay(&self) -> Duration {
        let delays = self.hosts.iter();
        Duration::from_micros(delays.map(|host| host.delay.load(Ordering::Relaxed)).sum())
    }
}

/// One end of a connection.
#[derive(Debug)]
pub struct Stream {
    /// Underlying byte stream; `None` only while this is dropped.
    inner: Option<DuplexStream>,
    pipe: Arc<Pipe>,
    /// Index of this end: 0 connected, 1 accepted.
    end: usize,
    /// Received chunks that may not be read before their arrival time.
    in_flight: VecDeque<Chunk>,
    /// Fires when the first chunk in `in_flight` arrives.
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the connection is reset when this is dropped.
    resets_on_drop: bool,
}

/// Bytes that arrive together.
#[derive(Debug)]
struct Chunk {
    arrival: Instant,
    /// Empty at the end of the stream.
    bytes: Bytes,
}

/// Creates a connection and returns both of its ends.
pub(super) fn pair(from: Arc<Host>, to: Arc<Host>) -> (Stream, Stream) {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let pipe = Arc::new(Pipe {
        hosts: [from, to],
        state: AtomicU8::new(OPEN),
        blocked: Default::default(),
        readers: Default::default(),
        writers: Default::default(),
    });
    let stream = |inner, end| Stream {
        inner: Some(inner),
        pipe: pipe.clone(),
        end,
        in_flight: VecDeque::new(),
        timer: None,
        resets_on_drop: false,
    };
    (stream(near, 0), stream(far, 1))
}

impl Stream {
    pub(super) fn pipe(&self) -> &Arc<Pipe> {
        &self.pipe
    }

    /// Returns the address of the host at the other end.
    pub(super) fn peer(&self) -> IpAddr {
        self.pipe.hosts[1 - self.end].address
    }

    /// Sets whether the connection is reset when this is dropped.
    pub(super) fn set_reset_on_drop(&mut self, resets: bool) {
        self.resets_on_drop = resets;
    }

    fn is_frozen(&self) -> bool {
        self.pipe.hosts[self.end].frozen.load(Ordering::Relaxed)
    }

    /// Returns whether what one of the ends sends is held back.
    fn is_blocked(&self, receiver: usize) -> bool {
        self.pipe.blocked[receiver].load(Ordering::Relaxed)
    }

    fn state(&self) -> u8 {
        self.pipe.state.load(Ordering::Relaxed)
    }

    fn inner(&mut self) -> io::Result<Pin<&mut DuplexStream>> {
        let inner = self.inner.as_mut();
        inner
            .map(Pin::new)
            .ok_or(io::ErrorKind::NotConnected.into())
    }

    /// Reads available bytes into chunks and sets their arrival times.
    fn receive(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let delay = self.pipe.delay();
        while self.in_flight.len() < PIPE_BYTES / CHUNK_BYTES {
            if self
                .in_flight
                .back()
                .is_some_and(|chunk| chunk.bytes.is_empty())
            {
                return Ok(());
            }
            let mut chunk = [0; CHUNK_BYTES];
            let mut buffer = ReadBuf::new(&mut chunk);
            let Poll::Ready(read) = self.inner()?.poll_read(cx, &mut buffer) else {
                return Ok(());
            };
            read?;
            self.in_flight.push_back(Chunk {
                arrival: Instant::now() + delay,
                bytes: Bytes::copy_from_slice(buffer.filled()),
            });
        }
        Ok(())
    }

    /// Reads from the first chunk once it has arrived.
    fn poll_delayed(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.receive(cx)?;
        let Some(first) = self.in_flight.front_mut() else {
            return Poll::Pending;
        };
        if first.arrival > Instant::now() {
            let arrival = first.arrival;
            let timer = self
                .timer
                .insert(Box::pin(tokio::time::sleep_until(arrival)));
            ready!(timer.as_mut().poll(cx));
        }
        let Some(first) = self.in_flight.front_mut() else {
            return Poll::Pending;
        };
        let count = first.bytes.len().min(buffer.remaining());
        buffer.put_slice(&first.bytes[..count]);
        first.bytes.advance(count);
        // The chunk that marks the end of the stream stays, so that every later read
        // returns the end as well.
        if first.bytes.is_empty() && count > 0 {
            self.in_flight.pop_front();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.pipe.readers[self.end].register(cx.waker());
        // A reset or the end of the stream is held back as well.
        if self.is_frozen() || self.is_blocked(self.end) {
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = match self.state() {
            RESET => return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            SILENT => return Poll::Pending,
            _ if self.in_flight.is_empty() && self.pipe.delay().is_zero() => {
                self.inner()?.poll_read(cx, buffer)
            }
            _ => self.poll_delayed(cx, buffer),
        };
        let is_end = polled.is_ready() && buffer.filled().len() == before;
        if is_end && buffer.remaining() > 0 && self.state() == CUT {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        polled
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.pipe.writers[self.end].register(cx.waker());
        if self.is_frozen() {
            return Poll::Pending;
        }
        let is_blocked = self.is_blocked(self.end) || self.is_blocked(1 - self.end);
        match self.state() {
            // A host that is cut off does not learn that the other one has closed.
            RESET if is_blocked => Poll::Ready(Ok(bytes.len())),
            RESET => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            // The bytes are dropped.
            SILENT => Poll::Ready(Ok(bytes.len())),
            _ => match ready!(self.inner()?.poll_write(cx, bytes)) {
                Err(_) if is_blocked => Poll::Ready(Ok(bytes.len())),
                written => Poll::Ready(written),
            },
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_frozen() || self.state() != OPEN {
            return Poll::Ready(Ok(()));
        }
        self.inner()?.poll_shutdown(cx)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let resets = self.resets_on_drop;
        if !self.is_frozen() {
            if resets {
                self.pipe.cut();
            }
            return;
        }
        // A paused host closes its connections only once it is thawed.
        let Some(inner) = self.inner.take() else {
            return;
        };
        let pipe = self.pipe.clone();
        let host = self.pipe.hosts[self.end].clone();
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            host.wait_until_thawed().await;
            if resets {
                pipe.cut();
            }
            drop(inner);
        });
    }
}
