//! Activity of a caller's connection, for its timeouts.
//!
//! The header timeout of `hyper` also runs while a persistent connection is
//! idle. This module distinguishes the two states.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use cranberryridge_policy::gateway::admission::Stage;
use cranberryridge_policy::gateway::route::Limits;

use crate::body::{Aborted, Body};
use crate::clock::Clock;

use super::admission::Connection;

/// Activity of a connection. Clones share their state.
#[derive(Clone, Debug)]
pub struct Activity {
    /// Shared with the stream and the response bodies.
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// Number of requests that are being answered.
    active_requests: u32,
    /// Time at which the connection was opened or the last answer ended.
    idle_since: Instant,
    /// Time at which an incomplete request head began to arrive, or `None` if no
    /// head is arriving.
    head_started_at: Option<Instant>,
    /// Whether the body of the last request may still be arriving.
    is_receiving: bool,
    /// Whether an answer cannot be written, as the caller does not read.
    is_stalled: bool,
    connection: Arc<Connection>,
}

impl State {
    /// Tells the table of connections what this one does. An answer that waits to be written goes
    /// before a request that arrives behind it.
    fn update_stage(&self, now: Instant) {
        let stage = if self.is_stalled {
            Stage::Stalled
        } else if self.is_receiving {
            Stage::Body
        } else if self.active_requests > 0 {
            Stage::Serving
        } else if self.head_started_at.is_some() {
            Stage::Head
        } else {
            Stage::Idle
        };
        self.connection.set_stage(now, stage);
    }
}

impl Activity {
    /// Creates the state of a connection that opens at `now`.
    pub fn new(now: Instant, connection: Arc<Connection>) -> Self {
        let state = State {
            active_requests: 0,
            idle_since: now,
            head_started_at: None,
            is_receiving: false,
            is_stalled: false,
            connection,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records that a request head is complete. The request is active until the
    /// guard is dropped.
    pub fn begin_request(&self, now: Instant) -> RequestGuard {
        self.with_state(|state| {
            state.active_requests += 1;
            state.head_started_at = None;
            state.is_receiving = true;
            state.update_stage(now);
        });
        RequestGuard {
            activity: self.clone(),
            ended_at: None,
        }
    }

    /// Records that the body of a request is complete.
    pub fn end_body(&self, now: Instant) {
        self.with_state(|state| {
            state.is_receiving = false;
            state.update_stage(now);
        });
    }

    /// Returns whether a request is being answered.
    pub fn is_busy(&self) -> bool {
        self.with_state(|state| state.active_requests > 0)
    }

    /// Returns the time at which the idle or header timeout expires. While a
    /// request is active, that is one idle timeout after `now`.
    pub fn deadline(&self, limits: Limits, now: Instant) -> Instant {
        self.with_state(|state| match state.head_started_at {
            _ if state.active_requests > 0 => now + limits.idle_timeout,
            Some(started_at) => started_at + limits.head_timeout,
            None => state.idle_since + limits.idle_timeout,
        })
    }

    /// Records that bytes were received.
    fn record_read(&self, now: Instant) {
        self.with_state(|state| {
            if state.active_requests == 0 && state.head_started_at.is_none() {
                state.head_started_at = Some(now);
                state.update_stage(now);
            }
        });
    }

    /// Records whether an answer cannot be written, as the caller does not read.
    fn record_stall(&self, now: Instant, is_stalled: bool) {
        self.with_state(|state| {
            state.is_stalled = is_stalled;
            state.update_stage(now);
        });
    }

    /// Calls a function with the locked state.
    fn with_state<R>(&self, work: impl FnOnce(&mut State) -> R) -> R {
        work(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Keeps a request active until dropped.
#[derive(Debug)]
pub struct RequestGuard {
    activity: Activity,
    /// Time at which the response body ended.
    ended_at: Option<Instant>,
}

impl RequestGuard {
    /// Moves the guard into a response body, so that the request stays active
    /// until the body is dropped.
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
                state.is_receiving &= state.active_requests > 0;
                state.update_stage(ended_at);
            }
        });
    }
}

/// A response body that keeps its request active and records its end.
#[derive(Debug)]
pub struct TrackedBody<C: Clock> {
    body: Body,
    guard: RequestGuard,
    clock: C,
}

impl<C: Clock> Drop for TrackedBody<C> {
    fn drop(&mut self) {
        self.guard.ended_at = Some(self.clock.now());
    }
}

impl<C: Clock> http_body::Body for TrackedBody<C> {
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

/// A stream whose reads and stalled writes are recorded.
#[derive(Debug)]
pub struct TrackedStream<S, C> {
    stream: S,
    activity: Activity,
    clock: C,
    /// Whether the last write had to wait.
    is_stalled: bool,
}

impl<S, C> TrackedStream<S, C> {
    /// Wraps a stream and records its reads in `activity`.
    pub fn new(stream: S, activity: Activity, clock: C) -> Self {
        Self {
            stream,
            activity,
            clock,
            is_stalled: false,
        }
    }
}

impl<S, C: Clock> TrackedStream<S, C> {
    /// Records the result of a write, and returns it.
    fn record_write<T>(&mut self, polled: Poll<T>) -> Poll<T> {
        let is_stalled = polled.is_pending();
        if is_stalled != self.is_stalled {
            self.is_stalled = is_stalled;
            self.activity.record_stall(self.clock.now(), is_stalled);
        }
        polled
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

impl<S: AsyncWrite + Unpin, C: Clock> AsyncWrite for TrackedStream<S, C> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, bytes);
        this.record_write(polled)
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
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bytes);
        this.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
