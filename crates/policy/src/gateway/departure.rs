//! What is known of the exits of endpoints that leave.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

use super::member::Endpoint;
use crate::answer::survival::Departure;

/// Time between two questions to an endpoint, whose reports lag behind.
const QUESTION_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which an endpoint that leaves is remembered at least, also if it is listed no more.
const ENTRY_LIFETIME: Duration = Duration::from_secs(60);

/// Whether an endpoint that leaves can be expected to say so itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Voice {
    /// It is listed, and its report tells of its exit.
    Reporting,
    /// It is listed no more, has no report or must not be asked for it.
    Mute,
}

/// Endpoints that leave.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::survival::Departure;
/// use cranberryridge_policy::gateway::departure::{Start, Table, Voice};
/// let (mut table, now) = (Table::default(), Instant::now());
/// let start = Start { id: "d-1".into(), started_ms: 7 };
/// table.begin(now, start.clone(), true);
/// assert!(table.begin_question(now, &start));
/// assert!(!table.begin_question(now, &start));
/// assert!(table.begin_question(now + Duration::from_millis(300), &start));
/// table.record(now, start.clone(), Departure::AfterRuns);
/// let found = table.find(&start, Voice::Reporting, now, Duration::from_secs(1));
/// assert_eq!(found, Some(Departure::AfterRuns));
/// ```
#[derive(Debug, Default)]
pub struct Table {
    starts: Map<Start, Leaving>,
}

/// One start of an endpoint, which may start again under its id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Start {
    /// Id of the endpoint.
    pub id: CompactString,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl From<&Endpoint> for Start {
    fn from(endpoint: &Endpoint) -> Self {
        Self {
            id: endpoint.id.clone(),
            started_ms: endpoint.started_ms,
        }
    }
}

/// An endpoint that leaves.
#[derive(Debug)]
struct Leaving {
    /// Whether the list still holds it.
    is_listed: bool,
    /// Time since which this host has known that it leaves, and `is_listed` has been as it is.
    since: Instant,
    /// Time of the last question.
    asked_at: Option<Instant>,
    /// What it has said of its exit.
    said: Option<Departure>,
}

impl Leaving {
    fn new(now: Instant, is_listed: bool) -> Self {
        Self {
            is_listed,
            since: now,
            asked_at: None,
            said: None,
        }
    }
}

impl Table {
    /// Records that an endpoint leaves. The time counts from the first call, and anew when the
    /// endpoint drops out of the list or returns.
    pub fn begin(&mut self, now: Instant, start: Start, is_listed: bool) {
        let new = || Leaving::new(now, is_listed);
        let leaving = self.starts.entry(start).or_insert_with(new);
        if leaving.is_listed != is_listed {
            (leaving.is_listed, leaving.since) = (is_listed, now);
        }
    }

    /// Forgets endpoints that do not leave after all, as they are listed again, and those that left
    /// long ago.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::gateway::departure::{Start, Table, Voice};
    /// let (mut table, now) = (Table::default(), Instant::now());
    /// let start = Start { id: "d-1".into(), started_ms: 7 };
    /// table.begin(now, start.clone(), false);
    /// table.retain(now, |start| start.id != "d-1");
    /// let found = table.find(&start, Voice::Mute, now + Duration::from_secs(9), Duration::ZERO);
    /// assert_eq!(found, None);
    /// ```
    pub fn retain(&mut self, now: Instant, is_leaving: impl Fn(&Start) -> bool) {
        self.starts.retain(|start, leaving| {
            is_leaving(start) && now.saturating_duration_since(leaving.since) < ENTRY_LIFETIME
        });
    }

    /// Returns what is known of the exit of an endpoint that was at work at `served_at`: what it has
    /// said, or that it completes its runs if it has served for `min_service_time` since it left
    /// without a word. One that stops as it leaves is gone by then.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::survival::Departure;
    /// use cranberryridge_policy::gateway::departure::{Start, Table, Voice};
    /// let (mut table, now, second) = (Table::default(), Instant::now(), Duration::from_secs(1));
    /// let start = Start { id: "d-1".into(), started_ms: 7 };
    /// table.begin(now, start.clone(), false);
    /// let find = |voice, served_at| table.find(&start, voice, served_at, second);
    /// assert_eq!(find(Voice::Mute, now + second / 2), None);
    /// assert_eq!(find(Voice::Mute, now + second), Some(Departure::AfterRuns));
    /// assert_eq!(find(Voice::Reporting, now + second), None);
    /// ```
    pub fn find(
        &self,
        start: &Start,
        voice: Voice,
        served_at: Instant,
        min_service_time: Duration,
    ) -> Option<Departure> {
        let leaving = self.starts.get(start)?;
        let has_served_on = served_at >= leaving.since + min_service_time;
        let inferred = (voice == Voice::Mute && has_served_on).then_some(Departure::AfterRuns);
        leaving.said.or(inferred)
    }

    /// Returns what an endpoint has said of its exit.
    pub fn said(&self, start: &Start) -> Option<Departure> {
        self.starts.get(start)?.said
    }

    /// Returns whether to ask an endpoint now: it has not said when it exits, and was not asked
    /// shortly before.
    pub fn begin_question(&mut self, now: Instant, start: &Start) -> bool {
        let Some(leaving) = self.starts.get_mut(start) else {
            return false;
        };
        let is_due = leaving
            .asked_at
            .is_none_or(|at| now.saturating_duration_since(at) >= QUESTION_INTERVAL);
        if leaving.said.is_some() || !is_due {
            return false;
        }
        leaving.asked_at = Some(now);
        true
    }

    /// Records what an endpoint says of its exit. One that was not known to leave counts as listed.
    pub fn record(&mut self, now: Instant, start: Start, departure: Departure) {
        let new = || Leaving::new(now, true);
        self.starts.entry(start).or_insert_with(new).said = Some(departure);
    }
}
