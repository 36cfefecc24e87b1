//! What a caller's connection is doing, for its time limits.
//!
//! The server library's own limit on reading a head also runs while a kept
//! connection is idle, so the two are told apart here.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use cranberryridge_policy::gateway::route::Limits;

use crate::body::{Aborted, Body};
use crate::clock::Clock;

/// What a connection is doing.
#[derive(Clone, Debug)]
pub struct Activity {
    /// Shared with the stream and the answers' bodies.
    state: Arc<Mutex<State>>,
}

/// What a connection is doing.
#[derive(Debug)]
struct State {
    /// Requests that are being answered.
    busy: u32,
    /// When the connection was opened or last answered.
    idle: Instant,
    /// When the first byte of a head came that is not complete.
    head: Option<Instant>,
}

impl Activity {
    /// A connection that was opened now.
    pub fn new(now: Instant) -> Self {
        let state = State {
            busy: 0,
            idle: now,
            head: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Notes that a head is complete and its request being answered.
    pub fn begin(&self) -> Busy {
        self.with(|state| {
            state.busy += 1;
            state.head = None;
        });
        Busy {
            activity: self.clone(),
            ended: None,
        }
    }

    /// Whether a request is being answered.
    pub fn is_busy(&self) -> bool {
        self.with(|state| state.busy > 0)
    }

    /// When the connection will have been idle or slow for too long.
    pub fn due(&self, limits: Limits, now: Instant) -> Instant {
        self.with(|state| match state.head {
            _ if state.busy > 0 => now + limits.idle_timeout,
            Some(head) => head + limits.head_timeout,
            None => state.idle + limits.idle_timeout,
        })
    }

    /// Notes bytes that came.
    fn heard(&self, now: Instant) {
        self.with(|state| {
            if state.busy == 0 {
                state.head.get_or_insert(now);
            }
        });
    }

    /// Works on the state.
    fn with<R>(&self, work: impl FnOnce(&mut State) -> R) -> R {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request that is being answered, until dropped.
#[derive(Debug)]
pub struct Busy {
    /// The connection.
    activity: Activity,
    /// When the answer ended.
    ended: Option<Instant>,
}

impl Busy {
    /// Lasts until an answer's body has ended.
    pub fn until_end_of<C: Clock>(self, body: Body, clock: C) -> Tracked<C> {
        Tracked {
            body,
            busy: self,
            clock,
        }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let ended = self.ended;
        self.activity.with(|state| {
            state.busy = state.busy.saturating_sub(1);
            if let Some(ended) = ended {
                state.idle = ended;
            }
        });
    }
}

/// A body whose end is noted.
#[derive(Debug)]
pub struct Tracked<C: Clock> {
    /// The body.
    body: Body,
    /// Its request.
    busy: Busy,
    /// The clock.
    clock: C,
}

impl<C: Clock> Drop for Tracked<C> {
    fn drop(&mut self) {
        self.busy.ended = Some(self.clock.now());
    }
}

impl<C: Clock> http_body::Body for Tracked<C> {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream whose reads are noted.
#[derive(Debug)]
pub struct Watched<S, C> {
    /// The stream.
    stream: S,
    /// Its connection.
    activity: Activity,
    /// The clock.
    clock: C,
}

impl<S, C> Watched<S, C> {
    /// Watches a stream.
    pub fn new(stream: S, activity: Activity, clock: C) -> Self {
        Self {
            stream,
            activity,
            clock,
        }
    }
}

impl<S: AsyncRead + Unpin, C: Clock> AsyncRead for Watched<S, C> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.activity.heard(this.clock.now());
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin, C: Unpin> AsyncWrite for Watched<S, C> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
