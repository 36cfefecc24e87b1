//! Tells whether an endpoint may have stopped work at the deadline that it was sent.
//!
//! An endpoint stops at its deadline and may end its answer in order then, so an end that is
//! stated there does not say that nothing follows.

use std::time::{Duration, Instant};

use super::Framing;

/// Longest time by which an endpoint's clock and timers may run ahead. The protocol cuts the
/// deadline to whole milliseconds as well.
const MAX_CLOCK_LEAD: Duration = Duration::from_millis(10);

/// Most that an engine's events take, as a multiple of the longest gap between events that its
/// route allows. Longer gaps are pauses, such as of a run that is short of memory.
const MAX_SLOWDOWN: u32 = 8;

/// Most that a run's next event takes, as a multiple of its mean gap. Events hold several tokens,
/// and a batch that fills makes them slower.
const MAX_UNEVENNESS: u32 = 4;

/// Gaps between the events of a run.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::deadline::Pace;
/// let (begun_at, mut pace) = (Instant::now(), Pace::default());
/// pace.record(begun_at, 1);
/// pace.record(begun_at + Duration::from_millis(60), 2);
/// pace.record(begun_at + Duration::from_millis(90), 1);
/// let max_gap = Duration::from_millis(50);
/// assert_eq!(pace.event_time(max_gap), Duration::from_millis(120));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    /// Time of the last events.
    last_at: Option<Instant>,
    /// Sum of the gaps without the longest one, and the number of events behind them.
    total: Duration,
    count: u32,
    /// The longest gap, and the number of events behind it. It may be a pause.
    longest: (Duration, u32),
}

impl Pace {
    /// Records events that arrived together.
    pub fn record(&mut self, now: Instant, event_count: u32) {
        let Some(last_at) = self.last_at.replace(now) else {
            return;
        };
        let mut gap = (now.saturating_duration_since(last_at), event_count);
        if gap.0 > self.longest.0 {
            std::mem::swap(&mut gap, &mut self.longest);
        }
        self.total += gap.0;
        self.count = self.count.saturating_add(gap.1);
    }

    /// Returns the time before its deadline from which on an endpoint may not begin an event that it
    /// could not complete. `max_gap` is the longest gap between events that the route allows.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::deadline::Pace;
    /// let (max_gap, begun_at, mut pace) = (Duration::from_millis(300), Instant::now(), Pace::default());
    /// assert_eq!(pace.event_time(max_gap), max_gap);
    /// let times = [0, 200, 400, 3000, 3200].map(Duration::from_millis);
    /// times.map(|time| pace.record(begun_at + time, 1));
    /// assert_eq!(pace.event_time(max_gap), Duration::from_millis(800));
    /// pace.record(begun_at + Duration::from_secs(9), 1);
    /// assert_eq!(pace.event_time(max_gap), max_gap * 8);
    /// ```
    pub fn event_time(&self, max_gap: Duration) -> Duration {
        let (longest_gap, longest_count) = self.longest;
        let usual_gap = self.total / self.count.max(1);
        let mean_gap = (self.total + longest_gap) / (self.count + longest_count).max(1);
        let next_gap = mean_gap.max(usual_gap * MAX_UNEVENNESS);
        next_gap.min(max_gap * MAX_SLOWDOWN).max(max_gap)
    }
}

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
    pub fn since(&self, earlier: &Self) -> Duration {
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
/// let sent_at = Moment { now: Instant::now(), uptime: Duration::ZERO };
/// let deadline = Deadline { sent_at, duration: Duration::from_secs(14) };
/// let end = Moment { now: sent_at.now + Duration::from_secs(13), ..sent_at };
/// assert!(!deadline.may_have_stopped(end, Duration::from_millis(50)));
/// let suspended = Moment { uptime: Duration::from_secs(14), ..end };
/// assert!(deadline.may_have_stopped(suspended, Duration::ZERO));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    /// Time at which the request was sent.
    pub sent_at: Moment,
    /// Time that the endpoint was given.
    pub duration: Duration,
}

impl Deadline {
    /// Returns whether the endpoint may have ended its answer because of the deadline, at a moment
    /// that is up to `event_time` before it.
    pub fn may_have_stopped(&self, end: Moment, event_time: Duration) -> bool {
        end.since(&self.sent_at) + event_time + MAX_CLOCK_LEAD >= self.duration
    }
}

/// Time for which events have to arrive after the deadline to show that an endpoint works on. It
/// covers events that a link delays.
const MIN_OVERRUN: Duration = Duration::from_millis(500);

/// Waits for the events of a run after its deadline. They show that its endpoint does not stop
/// there, unlike events that this host only reads late.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::deadline::{Deadline, Moment, Overrun};
/// let sent_at = Moment { now: Instant::now(), uptime: Duration::ZERO };
/// let deadline = Deadline { sent_at, duration: Duration::from_secs(3) };
/// let after = |time| Moment { now: sent_at.now + Duration::from_millis(time), ..sent_at };
/// let mut overrun = Overrun::default();
/// overrun.record(deadline, [after(2_000), after(9_000)]);
/// assert!(!overrun.is_evident());
/// overrun.record(deadline, [after(9_000), after(9_500)]);
/// assert!(overrun.is_evident());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Overrun {
    waited: Duration,
}

impl Overrun {
    /// Records the beginning and the end of a wait for an event. One that began before the
    /// deadline may have ended before this host noticed.
    pub fn record(&mut self, deadline: Deadline, [begun, ended]: [Moment; 2]) {
        if begun.since(&deadline.sent_at) >= deadline.duration {
            self.waited += ended.now.saturating_duration_since(begun.now);
        }
    }

    /// Returns whether the endpoint evidently does not stop at its deadline.
    pub fn is_evident(&self) -> bool {
        self.waited >= MIN_OVERRUN
    }
}

/// How an answer states its end, and until when its endpoint worked on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// How the end is marked.
    pub framing: Framing,
    /// Time at which the head arrived.
    pub head_at: Moment,
    /// Deadline that the endpoint was sent.
    pub deadline: Deadline,
}

impl Timing {
    /// Returns whether the endpoint may have stopped at its deadline when it stated the end of the
    /// answer, which was read at a moment. A length states the end with the head. `event_time` is
    /// that of [`Pace::event_time`], zero if the answer is no stream.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::deadline::{Deadline, Moment, Timing};
    /// use cranberryridge_policy::answer::Framing;
    /// let head_at = Moment { now: Instant::now(), uptime: Duration::ZERO };
    /// let deadline = Deadline { sent_at: head_at, duration: Duration::from_secs(1) };
    /// let timing = Timing { framing: Framing::Chunks, head_at, deadline };
    /// let read_at = Moment { now: head_at.now + Duration::from_secs(1), ..head_at };
    /// assert!(timing.is_overdue(read_at, Duration::ZERO));
    /// let timing = Timing { framing: Framing::Length, ..timing };
    /// assert!(!timing.is_overdue(read_at, Duration::ZERO));
    /// ```
    pub fn is_overdue(&self, read_at: Moment, event_time: Duration) -> bool {
        let stated_at = match self.framing {
            Framing::Length => self.head_at,
            Framing::Chunks | Framing::Connection => read_at,
        };
        self.deadline.may_have_stopped(stated_at, event_time)
    }
}
