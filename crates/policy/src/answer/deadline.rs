//! Tells whether an endpoint may have stopped work at the deadline that it was sent.
//!
//! An endpoint stops at its deadline and may end its answer in order then, so an end that is
//! stated there does not say that nothing follows.

use std::time::{Duration, Instant};

use super::Framing;

/// Longest time by which an endpoint's clock and timers may run ahead. The protocol cuts the
/// deadline to whole milliseconds as well.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(10);

/// A time on the clocks of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Time of a monotonic clock that stops while the host is suspended.
    pub now: Instant,
    /// Time since a fixed moment, including time in which the host was suspended.
    pub uptime: Duration,
}

impl Moment {
    /// Returns the time since an earlier moment, including time in which the host was suspended.
    fn since(&self, earlier: &Self) -> Duration {
        let steady = self.now.saturating_duration_since(earlier.now);
        steady.max(self.uptime.saturating_sub(earlier.uptime))
    }
}

/// Deadline that an endpoint was sent with a request.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::deadline::{Deadline, Moment};
/// let sent = Moment { now: Instant::now(), uptime: Duration::ZERO };
/// let deadline = Deadline { sent, time: Duration::from_secs(14) };
/// let end = Moment { now: sent.now + Duration::from_secs(13), ..sent };
/// assert!(!deadline.may_end(end, Duration::from_millis(50)));
/// let suspended = Moment { uptime: Duration::from_secs(14), ..end };
/// assert!(deadline.may_end(suspended, Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    /// Time at which the request was sent.
    pub sent: Moment,
    /// Time that the endpoint was given.
    pub time: Duration,
}

impl Deadline {
    /// Returns whether an answer that ended at a moment may have ended because of the deadline.
    /// `interval` is the time that its endpoint takes for an event: it may not begin one that it
    /// cannot complete.
    pub fn may_end(&self, end: Moment, interval: Duration) -> bool {
        end.since(&self.sent) + interval + MAX_CLOCK_LEAD >= self.time
    }
}

/// How an answer states its end, and until when its endpoint worked on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How the end is marked.
    pub framing: Framing,
    /// Time at which the head arrived.
    pub began: Moment,
    /// Deadline that the endpoint was sent.
    pub deadline: Deadline,
}

impl Timing {
    /// Returns whether the endpoint may have stopped at its deadline when it stated the end of the
    /// answer, which was read at a moment. A length states the end with the head. `interval` is
    /// the time that the endpoint takes for an event.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::deadline::{Deadline, Moment, Timing};
    /// use cranberryridge_policy::answer::Framing;
    /// let began = Moment { now: Instant::now(), uptime: Duration::ZERO };
    /// let deadline = Deadline { sent: began, time: Duration::from_secs(1) };
    /// let timing = Timing { framing: Framing::Chunks, began, deadline };
    /// let read = Moment { now: began.now + Duration::from_secs(1), ..began };
    /// assert!(timing.is_overdue(read, Duration::ZERO));
    /// let timing = Timing { framing: Framing::Length, ..timing };
    /// assert!(!timing.is_overdue(read, Duration::ZERO));
    /// ```
    pub fn is_overdue(&self, read: Moment, interval: Duration) -> bool {
        let stated = match self.framing {
            Framing::Length => self.began,
            Framing::Chunks | Framing::Connection => read,
        };
        self.deadline.may_end(stated, interval)
    }
}
