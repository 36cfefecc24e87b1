//! Decides whether an endpoint has outlived the end of an answer that it stated.
//!
//! A process that stops may end its answers in order as it goes, so an end that it states then does
//! not say that nothing follows. An endpoint that serves on behind the end did not state it because
//! it stopped.

use std::time::{Duration, Instant};

/// Time between an end and the first look at its endpoint. The sockets of a process that stops are
/// closed one after the other, and its listener may be the last.
const FIRST_LOOK_DELAY: Duration = Duration::from_millis(20);

/// Time until the last look at an endpoint that may be stopping. Servers cancel their handlers some
/// time before they close their listeners and exit.
const LAST_LOOK_DELAY: Duration = Duration::from_millis(200);

/// Time until the next look at an endpoint that did not answer, as its link may lose packets.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Number of looks without an answer after which an endpoint counts as gone if another one may
/// tell what follows.
const MAX_SILENT_LOOKS: u32 = 3;

/// Time between further looks at an endpoint that alone can tell what follows.
const PATIENT_DELAY: Duration = Duration::from_millis(400);

/// Age of what an endpoint says of its exit, at most.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// What an endpoint that drains says of its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It names no time, as it waits for its runs. Its listener may be closed long before.
    AfterRuns,
    /// It exits at this time, whatever it runs.
    At(Instant),
}

impl Departure {
    /// Returns the name in logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::survival::Departure;
    /// assert_eq!(Departure::AfterRuns.name(), "after runs");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::AfterRuns => "after runs",
            Self::At(_) => "at a time",
        }
    }

    /// Returns whether an endpoint may end a run now because of its exit. It may stop before an
    /// event that it cannot complete, which takes `event_time`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::survival::Departure;
    /// let (now, event_time) = (Instant::now(), Duration::from_millis(300));
    /// assert!(!Departure::AfterRuns.may_end_run(now, event_time));
    /// assert!(Departure::At(now).may_end_run(now, event_time));
    /// assert!(!Departure::At(now + Duration::from_secs(5)).may_end_run(now, event_time));
    /// ```
    pub fn may_end_run(self, now: Instant, event_time: Duration) -> bool {
        match self {
            Self::AfterRuns => false,
            Self::At(exit) => now + MAX_REPORT_AGE + event_time >= exit,
        }
    }

    /// Returns whether an endpoint that is silent has exited at the time that it named, and so
    /// tells nothing any more.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::survival::Departure;
    /// let (now, departure) = (Instant::now(), Departure::At(Instant::now()));
    /// assert!(!departure.is_over(now));
    /// assert!(departure.is_over(now + Duration::from_secs(5)));
    /// ```
    pub fn is_over(self, now: Instant) -> bool {
        match self {
            Self::AfterRuns => false,
            Self::At(exit) => now >= exit + MAX_REPORT_AGE,
        }
    }
}

/// Shortest wait for data that was not there already.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Last time at which the endpoint of a run is known to have been at work, from waits for its data.
/// Data that is there at once may be old, as this host may have stood still or its caller may read
/// slowly. A link that holds data back passes for work.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::survival::Sighting;
/// let sent_at = Instant::now();
/// let after = |time| sent_at + Duration::from_millis(time);
/// let mut sighting = Sighting::new(sent_at);
/// sighting.record([after(100), after(3000)]);
/// sighting.record([after(3000), after(3001)]);
/// assert_eq!(sighting.at(), after(100));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    at: Instant,
}

impl Sighting {
    /// Creates the sighting of an endpoint that was sent a request.
    pub fn new(sent_at: Instant) -> Self {
        Self { at: sent_at }
    }

    /// Records the beginning and the end of a wait for data, which arrived after the beginning
    /// unless it was there already.
    pub fn record(&mut self, [begun, ended]: [Instant; 2]) {
        if ended.saturating_duration_since(begun) >= MIN_WAIT {
            self.at = begun;
        }
    }

    /// Returns the time.
    pub fn at(&self) -> Instant {
        self.at
    }
}

/// What an endpoint shows when it is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The start that gave the answer serves on.
    Serving,
    /// It refuses connections.
    Refusing,
    /// Another start has its address.
    Restarted,
    /// It accepts connections and breaks them, as at the limit of their number.
    Resetting,
    /// It does not answer.
    Silent,
}

impl Sign {
    /// Returns the name in logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::survival::Sign;
    /// assert_eq!(Sign::Restarted.name(), "restarted");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::Refusing => "refusing",
            Self::Restarted => "restarted",
            Self::Resetting => "resetting",
            Self::Silent => "silent",
        }
    }
}

/// Looks at an endpoint after an end that it stated.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cranberryridge_policy::answer::survival::{Sign, Watch};
/// let mut watch = Watch::default();
/// let (may_be_stopping, patience) = (false, Duration::ZERO);
/// let delay = watch.next_look(may_be_stopping, patience);
/// assert_eq!(delay, Some(Duration::from_millis(20)));
/// watch.record(Sign::Serving, true);
/// assert_eq!(watch.next_look(may_be_stopping, patience), None);
/// assert!(watch.has_survived());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watch {
    /// Whether the endpoint has said that it completes its runs before it exits. Nothing that it
    /// shows contradicts the end then.
    completes_runs: bool,
    last_sign: Option<Sign>,
    serving_looks: u32,
    silent_looks: u32,
}

impl Watch {
    /// Records that the endpoint has said that it completes its runs before it exits
    /// ([`Departure::may_end_run`]).
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cranberryridge_policy::answer::survival::{Sign, Watch};
    /// let (mut watch, is_leaving, patience) = (Watch::default(), true, Duration::ZERO);
    /// watch.record(Sign::Silent, false);
    /// assert!(!watch.has_survived() && watch.next_look(is_leaving, patience).is_some());
    /// watch.expect_completion();
    /// assert!(watch.has_survived() && watch.next_look(is_leaving, patience).is_none());
    /// ```
    pub fn expect_completion(&mut self) {
        self.completes_runs = true;
    }

    /// Returns the time until the next look, or `None` if the looks tell enough. `may_be_stopping`
    /// is whether the endpoint is leaving, or has closed the connection behind its answer.
    /// `patience` is the time for which a silent endpoint is waited for, zero if another one may
    /// tell what follows the end.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cranberryridge_policy::answer::survival::{Sign, Watch};
    /// let (mut watch, patience) = (Watch::default(), Duration::ZERO);
    /// watch.record(Sign::Serving, true);
    /// assert!(watch.next_look(true, patience).is_some());
    /// watch.record(Sign::Refusing, false);
    /// assert!(watch.next_look(true, patience).is_none() && !watch.has_survived());
    /// ```
    pub fn next_look(&self, may_be_stopping: bool, patience: Duration) -> Option<Duration> {
        match self.last_sign {
            _ if self.completes_runs => None,
            None => Some(FIRST_LOOK_DELAY),
            Some(Sign::Refusing | Sign::Restarted) => None,
            Some(Sign::Resetting | Sign::Silent) if self.silent_looks >= MAX_SILENT_LOOKS => {
                (patience > PATIENT_DELAY).then_some(PATIENT_DELAY)
            }
            Some(Sign::Resetting | Sign::Silent) => Some(RETRY_DELAY),
            Some(Sign::Serving) if may_be_stopping && self.serving_looks < 2 => {
                Some(LAST_LOOK_DELAY)
            }
            Some(Sign::Serving) => None,
        }
    }

    /// Records a look. `is_held` is whether the connection of the answer is still open: the process
    /// that gave it lives then, if its address is used at all.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::survival::{Sign, Watch};
    /// for (sign, has_survived) in [(Sign::Resetting, true), (Sign::Refusing, false)] {
    ///     let (mut watch, is_held) = (Watch::default(), true);
    ///     watch.record(sign, is_held);
    ///     assert_eq!(watch.has_survived(), has_survived);
    /// }
    /// ```
    pub fn record(&mut self, sign: Sign, is_held: bool) {
        let sign = match sign {
            // The list is old, or the endpoint is at the limit of its connections.
            Sign::Restarted | Sign::Resetting if is_held => Sign::Serving,
            sign => sign,
        };
        self.last_sign = Some(sign);
        match sign {
            Sign::Serving => self.serving_looks += 1,
            Sign::Resetting | Sign::Silent => self.silent_looks += 1,
            Sign::Refusing | Sign::Restarted => {}
        }
    }

    /// Returns what the endpoint showed at last, or `None` before the first look.
    pub fn last_sign(&self) -> Option<Sign> {
        self.last_sign
    }

    /// Returns whether the endpoint has outlived the end, or did not state it because it stopped.
    pub fn has_survived(&self) -> bool {
        self.completes_runs || self.last_sign == Some(Sign::Serving)
    }
}
