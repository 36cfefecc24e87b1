//! A connection of two hosts, with its faults.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use futures::task::AtomicWaker;
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::time::{Instant, Sleep};

use super::Host;

/// Bytes that a pipe holds before its writer waits.
const PIPE_BYTES: usize = 256 * 1024;

/// Bytes read at once from a pipe that delays.
const CHUNK_BYTES: usize = 8 * 1024;

/// The connection works.
const OPEN: u8 = 0;

/// The connection carries nothing, and neither end is told.
const SILENT: u8 = 1;

/// The connection is broken, and both ends are told.
const RESET: u8 = 2;

/// What both ends of a connection share.
#[derive(Debug)]
pub(super) struct Pipe {
    /// Who connected, and to whom.
    hosts: [Arc<Host>; 2],
    /// Whether it works.
    state: AtomicU8,
    /// Whoever waits to read, by end.
    readers: [AtomicWaker; 2],
    /// Whoever waits to write, by end.
    writers: [AtomicWaker; 2],
}

impl Pipe {
    /// Breaks the connection.
    pub fn reset(&self) {
        self.state.store(RESET, Ordering::Relaxed);
        self.wake();
    }

    /// Makes the connection silent for good.
    pub fn silence(&self) {
        self.state.store(SILENT, Ordering::Relaxed);
        self.wake();
    }

    /// Wakes whoever waits.
    pub fn wake(&self) {
        self.readers.iter().for_each(AtomicWaker::wake);
        self.writers.iter().for_each(AtomicWaker::wake);
    }

    /// Whether it is between two hosts.
    pub fn is_between(&self, one: IpAddr, other: IpAddr) -> bool {
        let [from, to] = [self.hosts[0].address, self.hosts[1].address];
        (from, to) == (one, other) || (from, to) == (other, one)
    }

    /// Whether an end of it is at this life of a host.
    pub fn has_end_at(&self, host: &Arc<Host>) -> bool {
        self.hosts.iter().any(|end| Arc::ptr_eq(end, host))
    }

    /// Time that bytes take.
    fn delay(&self) -> Duration {
        let delays = self.hosts.iter();
        Duration::from_micros(delays.map(|host| host.delay.load(Ordering::Relaxed)).sum())
    }
}

/// One end of a connection.
#[derive(Debug)]
pub struct Stream {
    /// The bytes' way; `None` only while this drops.
    inner: Option<DuplexStream>,
    /// What both ends share.
    pipe: Arc<Pipe>,
    /// Which end this is.
    end: usize,
    /// Bytes that are still on their way, and when each arrives.
    in_flight: VecDeque<Chunk>,
    /// Goes off when the next of them arrives.
    timer: Option<Pin<Box<Sleep>>>,
}

/// Bytes on their way.
#[derive(Debug)]
struct Chunk {
    /// When they arrive.
    arrival: Instant,
    /// The bytes; none for the end.
    bytes: Bytes,
}

/// Both ends of a new connection.
pub(super) fn pair(from: Arc<Host>, to: Arc<Host>) -> (Stream, Stream) {
    let (near, far) = tokio::io::duplex(PIPE_BYTES);
    let pipe = Arc::new(Pipe {
        hosts: [from, to],
        state: AtomicU8::new(OPEN),
        readers: Default::default(),
        writers: Default::default(),
    });
    let stream = |inner, end| Stream {
        inner: Some(inner),
        pipe: pipe.clone(),
        end,
        in_flight: VecDeque::new(),
        timer: None,
    };
    (stream(near, 0), stream(far, 1))
}

impl Stream {
    /// What both ends share.
    pub(super) fn pipe(&self) -> &Arc<Pipe> {
        &self.pipe
    }

    /// Whether this end's host is paused.
    fn is_frozen(&self) -> bool {
        self.pipe.hosts[self.end].frozen.load(Ordering::Relaxed)
    }

    /// The state of the connection.
    fn state(&self) -> u8 {
        self.pipe.state.load(Ordering::Relaxed)
    }

    /// The bytes' way.
    fn inner(&mut self) -> io::Result<Pin<&mut DuplexStream>> {
        let inner = self.inner.as_mut();
        inner
            .map(Pin::new)
            .ok_or(io::ErrorKind::NotConnected.into())
    }

    /// Takes what arrived and notes when it may be read.
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

    /// Reads what has arrived, each part after its delay.
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
        // The end stays where it is, so that it is read again and again.
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
        if self.is_frozen() {
            return Poll::Pending;
        }
        match self.state() {
            RESET => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            SILENT => Poll::Pending,
            _ if self.in_flight.is_empty() && self.pipe.delay().is_zero() => {
                self.inner()?.poll_read(cx, buffer)
            }
            _ => self.poll_delayed(cx, buffer),
        }
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
        match self.state() {
            RESET => Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
            // Whatever is written goes nowhere.
            SILENT => Poll::Ready(Ok(bytes.len())),
            _ => self.inner()?.poll_write(cx, bytes),
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
        if !self.is_frozen() {
            return;
        }
        // A paused host closes nothing until it goes on.
        let Some(inner) = self.inner.take() else {
            return;
        };
        let host = self.pipe.hosts[self.end].clone();
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            host.wait_until_thawed().await;
            drop(inner);
        });
    }
}
