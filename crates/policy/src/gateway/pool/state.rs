//! State of one endpoint.

use std::time::{Duration, Instant};

use super::baseline::Deviation;
use super::{ServiceKey, Settings};
use crate::gateway::limit::Limit;
use crate::gateway::member::{Endpoint, Phase};

/// An endpoint with its load and health.
#[derive(Debug)]
pub struct State {
    /// The endpoint as listed.
    pub endpoint: Endpoint,
    /// Number of this host's attempts in flight.
    pub running: u32,
    /// Unread prompt tokens of this host's attempts.
    pub pending_prefill_tokens: u64,
    /// KV cache of this host's attempts, in tokens.
    pub kv_tokens: u64,
    /// Requests of other hosts, as of the last report.
    pub(super) peer_requests: f64,
    /// Time of the last load report. `None` before the first.
    pub(super) reported_at: Option<Instant>,
    pub(super) service: ServiceKey,
    /// Duration of prefill or of a plain answer relative to the expected one,
    /// minus 1.
    pub(super) slowdown: Deviation,
    /// Time between events relative to the service's mean, minus 1.
    pub(super) event_slowdown: Deviation,
    /// Smoothed share of failures among answers and broken attempts, from 0 to
    /// 1. Refusals for lack of room do not count.
    pub(super) failure_rate: Deviation,
    /// Failures since the last answer.
    pub(super) consecutive_failures: u32,
    /// Until this time, the endpoint gets work only if no other can take it.
    /// `None` if it is not backing off.
    pub(super) paused_until: Option<Instant>,
    /// The endpoint counts as full before this time. `None` if it never was.
    pub(super) full_until: Option<Instant>,
    /// Refusals for lack of room since the last answer.
    pub(super) consecutive_full: u32,
    /// Whether the endpoint said in an answer that it is shutting down.
    pub(super) is_leaving: bool,
    /// Until this time, the endpoint wants no requests from this host. `None`
    /// if it never said so.
    pub(super) resting_until: Option<Instant>,
    /// What the endpoint named as its limit.
    pub limit: Limit,
    /// Time from which a request for a permit may succeed, if the endpoint has named a
    /// limit.
    pub(in crate::gateway) permit_due: Option<Instant>,
    /// Stage that the endpoint is moving to, and when that mark expires.
    pub(super) moving: Option<(Phase, Instant)>,
    /// Time from which the endpoint may check ends again. `None` if it may at any time.
    pub(super) check_due: Option<Instant>,
}

/// Reason why an endpoint did not serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It had no room.
    Full,
    /// It was unreachable, closed the connection or sent an invalid answer.
    Broken,
    /// Another endpoint answered at its address.
    Misdirected,
}

/// Bounds of a measured slowdown. Values outside are clamped.
pub(super) const SLOWDOWN_RANGE: (f64, f64) = (0.3, 20.0);

impl State {
    /// Creates the state of a new endpoint.
    pub(super) fn new(endpoint: Endpoint, service: ServiceKey) -> Self {
        Self {
            endpoint,
            service,
            running: 0,
            pending_prefill_tokens: 0,
            kv_tokens: 0,
            peer_requests: 0.0,
            reported_at: None,
            slowdown: Deviation::default(),
            event_slowdown: Deviation::default(),
            failure_rate: Deviation::default(),
            consecutive_failures: 0,
            paused_until: None,
            full_until: None,
            consecutive_full: 0,
            is_leaving: false,
            resting_until: None,
            limit: Limit::default(),
            permit_due: None,
            moving: None,
            check_due: None,
        }
    }

    /// Returns whether the endpoint is moving to another stage, during which it
    /// accepts no work.
    pub fn is_moving(&self, now: Instant) -> bool {
        let moving = self.moving.filter(|(_, until)| *until > now);
        moving.is_some_and(|(phase, _)| self.endpoint.phase != Some(phase))
    }

    /// Returns whether the endpoint recently had no room.
    pub(in crate::gateway) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| until > now)
    }

    /// Returns whether the endpoint is shutting down, according to the list or
    /// its own answers.
    pub fn is_leaving(&self) -> bool {
        self.endpoint.draining || self.is_leaving
    }

    /// Returns whether the endpoint asked this host to send nothing now.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.is_some_and(|until| until > now)
    }

    /// Returns whether the endpoint may get requests: it is neither shutting
    /// down nor has it asked for a rest.
    pub fn accepts_work(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.is_resting(now)
    }

    /// Returns whether the endpoint accepts work and is not backing off.
    pub fn is_available(&self, now: Instant) -> bool {
        self.accepts_work(now) && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Returns whether the endpoint accepts work and has not just failed. It may be full.
    pub fn is_serving(&self, now: Instant) -> bool {
        let is_sound = self.is_available(now) || self.is_full(now);
        is_sound && self.accepts_work(now) && !self.is_moving(now) && self.consecutive_failures == 0
    }

    /// Returns the duration of its work relative to the expected one. Above 1
    /// is slower.
    pub fn slowdown(&self, now: Instant) -> f64 {
        1.0 + self.slowdown.value(now)
    }

    /// Returns the time between its events relative to the service's mean.
    /// Above 1 is slower.
    pub fn event_slowdown(&self, now: Instant) -> f64 {
        1.0 + self.event_slowdown.value(now)
    }

    /// Returns the smoothed share of failures among answers and broken attempts,
    /// from 0 to 1.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.value(now)
    }

    /// Records a failure and extends the backoff.
    pub(super) fn record_broken(&mut self, now: Instant, settings: Settings) {
        let backoff =
            settings.failure_backoff * 2u32.saturating_pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.paused_until = Some(now + backoff.min(settings.max_failure_backoff));
        self.failure_rate.learn(now, 1.0);
    }

    /// Records a refusal for lack of room and extends the backoff for it.
    pub(super) fn record_full(&mut self, now: Instant, settings: Settings) {
        let backoff = settings.full_backoff * 2u32.saturating_pow(self.consecutive_full.min(8));
        let backoff = backoff.min(settings.max_full_backoff);
        self.consecutive_full += 1;
        self.paused_until = Some(now + settings.failure_backoff.max(backoff));
        self.full_until = Some(now + backoff);
    }

    /// Updates the slowdown, unless `expected` is zero.
    pub(super) fn learn_slowdown(&mut self, now: Instant, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        self.slowdown
            .learn(now, ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1) - 1.0);
    }
}
