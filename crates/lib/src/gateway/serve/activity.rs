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

use crate::body::{Body, Cut};
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
    active_requests: u32,
    /// When the connection was opened or last answered.
    idle_since: Instant,
    /// When the first byte of a head came that is not complete.
    head_started_at: Option<Instant>,
}

impl Activity {
    /// A connection that was opened now.
    pub fn new(now: Instant) -> Self {
        let state = State {
            active_requests: 0,
            idle_since: now,
            head_started_at: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Notes that a head is complete and its request being answered.
    pub fn begin_request(&self) -> RequestGuard {
        self.with_state(|state| {
            state.active_requests += 1;
            state.head_started_at = None;
        });
        RequestGuard {
            activity: self.clone(),
            ended_at: None,
        }
    }

    /// Whether a request is being answered.
    pub fn is_busy(&self) -> bool {
        self.with_state(|state| state.active_requests > 0)
    }

    /// When the connection will have been idle or slow for too long.
    pub fn deadline(&self, limits: Limits, now: Instant) -> Instant {
        self.with_state(|state| match state.head_started_at {
            _ if state.active_requests > 0 => now + limits.idle_timeout,
            Some(started_at) => started_at + limits.head_timeout,
            None => state.idle_since + limits.idle_timeout,
        })
    }

    /// Notes bytes that came.
    fn record_read(&self, now: Instant) {
        self.with_state(|state| {
            if state.active_requests == 0 {
                state.head_started_at.get_or_insert(now);
            }
        });
    }

    /// Works on the state.
    fn with_state<R>(&self, work: impl FnOnce(&mut State) -> R) -> R {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request that is being answered, until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    /// The connection.
    activity: Activity,
    /// When the answer ended.
    ended_at: Option<Instant>,
}

impl RequestGuard {
    /// Lasts until an answer's body has ended.
    pub fn track<C: Clock>(self, body: Body, clock: C) -> TrackedBody<C> {
        TrackedBody {
            body,
            guard: self,
            clock,
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ended_at = self.ended_at;
        self.activity.with_state(|state| {
            state.active_requests = state.active_requests.saturating_sub(1);
            if let Some(ended_at) = ended_at {
                state.idle_since = ended_at;
            }
        });
    }
}

/// A body whose end is noted.
#[derive(Debug)]
pub struct TrackedBody<C: Clock> {
    /// The body.
    body: Body,
    /// Its request.
    guard: RequestGuard,
    /// The clock.
    clock: C,
}

impl<C: Clock> Drop for TrackedBody<C> {
    fn drop(&mut self) {
        self.guard.ended_at = Some(self.clock.now());
    }
}

impl<C: Clock> http_body::Body for TrackedBody<C> {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
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
pub struct TrackedStream<S, C> {
    /// The stream.
    stream: S,
    /// Its connection.
    activity: Activity,
    /// The clock.
    clock: C,
}

impl<S, C> TrackedStream<S, C> {
    /// Watches a stream.
    pub fn new(stream: S, activity: Activity, clock: C) -> Self {
        Self {
            stream,
            activity,
            clock,
        }
    }
}

impl<S: AsyncRead + Unpin, C: Clock> AsyncRead for TrackedStream<S, C> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            this.activity.record_read(this.clock.now());
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin, C: Unpin> AsyncWrite for TrackedStream<S, C> {
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
