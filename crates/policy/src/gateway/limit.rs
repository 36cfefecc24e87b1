//! Limits that endpoints name in their answers: the requests a second that one takes
//! from all hosts together.
//!
//! No host sees all requests, so the service's scheduler permits each of them. What an
//! endpoint named spreads among hosts in versions: of two, the higher one counts, and of
//! equal ones the stricter, so that all hosts end with the same whatever the order of
//! their messages.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use super::place::Scope;
use super::pool::{EndpointKey, Pool, State};

/// Requests that an endpoint takes in a time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cranberryridge_policy::gateway::limit::Rate;
/// assert_eq!(Rate::per_second(2.5).interval(), Duration::from_millis(400));
/// // One request is still sent now and then, to notice when the limit ends.
/// assert_eq!(Rate::per_second(0.0).interval(), Duration::from_secs(10));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate {
    /// Requests in 1,000 seconds.
    pub per_1000_s: u32,
}

/// Least rate at which requests are sent.
const MIN_RATE: Rate = Rate { per_1000_s: 100 };

/// A limit from this rate on counts as none.
const MAX_RATE: Rate = Rate {
    per_1000_s: 10_000_000,
};

/// Rates that differ by one in this many count as equal. Hysteresis keeps an endpoint whose
/// limit follows its load from causing messages to all hosts with each answer.
const RATE_TOLERANCE: u32 = 10;

impl Rate {
    /// Returns the rate of a number of requests per second, rounded down.
    pub fn per_second(requests: f64) -> Self {
        // The conversion saturates.
        let per_1000_s = (requests * 1000.0) as u32;
        Self { per_1000_s }
    }

    /// Returns the mean time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs(1000) / self.max(MIN_RATE).per_1000_s
    }

    /// Returns whether two rates are about equal.
    fn is_close_to(self, other: Self) -> bool {
        self.per_1000_s.abs_diff(other.per_1000_s)
            <= self.per_1000_s.max(other.per_1000_s) / RATE_TOLERANCE
    }
}

/// What an answer says of its endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// The endpoint names a limit.
    Limited(Rate),
    /// The endpoint names none.
    Unlimited,
    /// The endpoint names something that is no rate.
    Unreadable,
}

impl Statement {
    /// Returns what a number of requests per second says, `None` if there is none.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::limit::{Rate, Statement};
    /// let limited = Statement::Limited(Rate::per_second(0.4));
    /// assert_eq!(Statement::of(Some(0.4)), limited);
    /// assert_eq!(Statement::of(Some(1e9)), Statement::Unlimited);
    /// assert_eq!(Statement::of(Some(-1.0)), Statement::Unreadable);
    /// assert_eq!(Statement::of(None), Statement::Unlimited);
    /// ```
    pub fn of(per_second: Option<f64>) -> Self {
        let Some(per_second) = per_second else {
            return Self::Unlimited;
        };
        if per_second.is_nan() || per_second < 0.0 {
            return Self::Unreadable;
        }
        let rate = Rate::per_second(per_second);
        if rate >= MAX_RATE {
            Self::Unlimited
        } else {
            Self::Limited(rate)
        }
    }
}

/// What is known of an endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// `None` if the endpoint names no limit.
    pub rate: Option<Rate>,
    /// Number of changes since the endpoint's start, 0 before the first limit.
    pub version: u64,
}

impl Limit {
    /// Returns the limit after an answer, or `None` if it stays the same. `known` is the
    /// version that was known when the answer's request was sent. An answer to an earlier
    /// request may be from before the limit, so it only makes the limit stricter.
    fn after(self, statement: Statement, known: Option<u64>) -> Option<Self> {
        let rate = match statement {
            Statement::Limited(rate) => Some(rate),
            Statement::Unlimited => None,
            Statement::Unreadable => return None,
        };
        let is_same = match (self.rate, rate) {
            (Some(before), Some(rate)) => before.is_close_to(rate),
            (before, rate) => before == rate,
        };
        let is_stricter = compare(rate, self.rate) == Ordering::Less;
        let is_newer = known.is_some_and(|known| known >= self.version);
        (!is_same && (is_stricter || is_newer)).then_some(Self {
            rate,
            version: self.version + 1,
        })
    }

    /// Returns whether another host's limit counts more than this one.
    fn yields_to(self, other: Self) -> bool {
        let by_version = other.version.cmp(&self.version);
        by_version.then(compare(self.rate, other.rate)) == Ordering::Greater
    }
}

/// Compares two rates, where `None` is unlimited.
fn compare(one: Option<Rate>, other: Option<Rate>) -> Ordering {
    let key = |rate: Option<Rate>| rate.map_or(u32::MAX, |rate| rate.per_1000_s);
    key(one).cmp(&key(other))
}

/// Permits that an endpoint may accumulate while nobody asks.
const MAX_BURST: u32 = 2;

/// Time for which a permit is valid after it was given.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

impl Pool {
    /// Returns the endpoints that have named a limit, also those whose limit has ended.
    pub fn limits(&self) -> Vec<(CompactString, Limit)> {
        let states = self.states.values();
        let named = states.filter(|state| state.limit.version > 0);
        named
            .map(|state| (state.endpoint.id.clone(), state.limit))
            .collect()
    }

    /// Returns the limit of an endpoint.
    pub fn limit(&self, key: EndpointKey) -> Limit {
        self.get(key).map(|state| state.limit).unwrap_or_default()
    }

    /// Returns whether requests to an endpoint need a permit.
    pub fn is_limited(&self, key: EndpointKey) -> bool {
        self.limit(key).rate.is_some()
    }

    /// Records what an answer says of its endpoint's limit. `known` is the limit's version
    /// when the answer's request was sent, `None` if the answer may be of an earlier
    /// request. Returns whether the limit has changed.
    pub fn observe_limit(
        &mut self,
        now: Instant,
        key: EndpointKey,
        statement: Statement,
        known: Option<u64>,
    ) -> bool {
        let Some(limit) = self.limit(key).after(statement, known) else {
            return false;
        };
        self.set_limit(now, key, limit);
        true
    }

    /// Records what another host knows of an endpoint's limit. Returns whether this was
    /// news.
    pub fn merge_limit(&mut self, now: Instant, key: EndpointKey, limit: Limit) -> bool {
        let is_news = self.limit(key).yields_to(limit);
        if is_news {
            self.set_limit(now, key, limit);
        }
        is_news
    }

    /// Changes the limit of an endpoint. The first permit is due after a whole interval,
    /// as an earlier scheduler may just have given one.
    fn set_limit(&mut self, now: Instant, key: EndpointKey, limit: Limit) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let first = limit.rate.map(|rate| now + rate.interval());
        let due = state.permit_due.filter(|_| state.limit.rate.is_some());
        state.permit_due = match (due, first) {
            (Some(due), Some(first)) => Some(due.min(first)),
            (_, first) => first,
        };
        state.limit = limit;
    }

    /// Gives a permit for one request to an endpoint, at `share` of its limit.
    pub fn take_permit(&mut self, now: Instant, key: EndpointKey, share: f64) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let Some(rate) = state.limit.rate else { return };
        let interval = rate.interval().div_f64(share);
        let earliest = now.checked_sub(interval * (MAX_BURST - 1));
        let base = state.permit_due.max(earliest).unwrap_or(now);
        state.permit_due = Some(base + interval);
    }

    /// Requests no permit for an endpoint before a time.
    pub fn delay_permits(&mut self, key: EndpointKey, until: Instant) {
        if let Some(state) = self.states.get_mut(key) {
            state.permit_due = state.permit_due.max(Some(until));
        }
    }

    /// Returns the endpoints in a scope that accept work, with a permit if they are
    /// limited.
    pub fn candidates(&self, now: Instant, scope: Scope<'_>) -> Vec<EndpointKey> {
        let keys = self.endpoints(scope.service).iter().copied();
        let keys = keys.filter(|key| !scope.excluded.contains(key));
        keys.filter(|key| self.get(*key).is_some_and(|state| state.accepts_work(now)))
            .collect()
    }

    /// Returns the requests per second for which permits are given at endpoints, or `None`
    /// if one of them needs none or there are none.
    pub(super) fn permit_rate(&self, keys: impl Iterator<Item = EndpointKey>) -> Option<f64> {
        let rates = keys.map(|key| self.limit(key).rate);
        let rates = rates.map(|rate| Some(1.0 / rate?.interval().as_secs_f64()));
        rates.sum::<Option<f64>>().filter(|rate| *rate > 0.0)
    }

    /// Predicts the times of the next permits that are given at endpoints, at `share` of
    /// their limits. Empty if one of them needs none.
    pub(super) fn permit_times(
        &self,
        now: Instant,
        keys: impl Iterator<Item = EndpointKey>,
        share: f64,
    ) -> PermitTimes {
        let pace = |key| {
            let state = self.get(key)?;
            let interval = state.limit.rate?.interval().div_f64(share);
            Some(Reverse((
                state.permit_due.unwrap_or(now).max(now),
                interval,
            )))
        };
        let paces = keys.map(pace).collect::<Option<BinaryHeap<_>>>();
        PermitTimes {
            paces: paces.unwrap_or_default(),
        }
    }

    /// Returns the endpoints that generate answers and accept work.
    pub(super) fn active_decoders<'a>(
        &'a self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = EndpointKey> + 'a {
        let staying = self.staying_decoders(service);
        let active = staying.filter(move |(_, state)| state.accepts_work(now));
        active.map(|(key, _)| key)
    }
}

/// Predicted times of permits, in order.
pub(super) struct PermitTimes {
    /// Time of the next permit of each endpoint, and time between two of them.
    paces: BinaryHeap<Reverse<(Instant, Duration)>>,
}

impl Iterator for PermitTimes {
    type Item = Instant;

    fn next(&mut self) -> Option<Instant> {
        let Reverse((due, interval)) = self.paces.pop()?;
        self.paces.push(Reverse((due + interval, interval)));
        Some(due)
    }
}

impl State {
    /// Returns whether the endpoint needs no permit, or one can be had.
    pub fn has_permit(&self, now: Instant) -> bool {
        self.limit.rate.is_none() || self.permit_due.is_none_or(|due| due <= now)
    }
}

/// What a scheduler knows of its place among those that may give permits for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether hosts that know the same hosts as this one ask it first.
    pub is_first: bool,
    /// Whether all hosts know of this one.
    pub is_known_to_all: bool,
    /// Time since all those that hosts ask before this one became unreachable. `None` if
    /// one of them is not.
    pub others_down_for: Option<Duration>,
}

/// Part of a limit that a scheduler permits while no other one does.
const FULL_SHARE: f64 = 0.95;

/// Part of a limit that a scheduler permits while an earlier one may still give permits.
/// Together with that one's, it leaves room for permits that are used late.
const HANDOVER_SHARE: f64 = 0.35;

/// Part of a limit that a scheduler permits to hosts that cannot reach the first one.
const SUBSTITUTE_SHARE: f64 = 0.1;

/// Time after which an unreachable scheduler gives no more permits, as all its links have
/// ended.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

impl Standing {
    /// Returns the part of a limit for which a scheduler may give permits.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::limit::Standing;
    /// let substitute = Standing {
    ///     is_first: false,
    ///     is_known_to_all: true,
    ///     others_down_for: None,
    /// };
    /// assert!(substitute.share() <= 0.1);
    /// ```
    pub fn share(self) -> f64 {
        match self.others_down_for {
            _ if self.is_first && self.is_known_to_all => FULL_SHARE,
            _ if self.is_first => HANDOVER_SHARE,
            Some(down_for) if down_for >= HANDOVER_TIME => FULL_SHARE,
            Some(_) => HANDOVER_SHARE,
            None => SUBSTITUTE_SHARE,
        }
    }
}
