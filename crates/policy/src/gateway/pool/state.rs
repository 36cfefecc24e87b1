//! What is known of one endpoint.

use std::time::{Duration, Instant};

use super::baseline::Deviation;
use super::{ServiceKey, Settings};
use crate::gateway::member::{Endpoint, Phase};

/// One endpoint.
#[derive(Debug)]
pub struct State {
    /// As it is listed.
    pub endpoint: Endpoint,
    /// Own attempts in flight.
    pub running: u32,
    /// Prompt tokens of own attempts that are not read yet.
    pub pending_prefill_tokens: u64,
    /// KV cache of own attempts in tokens.
    pub kv_tokens: u64,
    /// Other hosts' requests, when last reported.
    pub(super) peer_requests: f64,
    /// When that was.
    pub(super) reported_at: Option<Instant>,
    /// Its service.
    pub(super) service: ServiceKey,
    /// Time that reading or answering takes against what is usual.
    pub(super) slowdown: Deviation,
    /// Time between two events against what is usual.
    pub(super) event_slowdown: Deviation,
    /// Share of answers that were failures.
    pub(super) failure_rate: Deviation,
    /// Failures without an answer between them.
    pub(super) consecutive_failures: u32,
    /// Until when it gets nothing if others can.
    pub(super) paused_until: Option<Instant>,
    /// Until when it is taken to have no room.
    pub(super) full_until: Option<Instant>,
    /// Denials without an answer between them.
    pub(super) consecutive_full: u32,
    /// The stage that it is being moved to, and until when that counts.
    pub(super) moving: Option<(Phase, Instant)>,
}

/// Why an endpoint did not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It had no room.
    Full,
    /// It broke off, was out of reach or answered nonsense.
    Broken,
    /// Another endpoint has its address.
    Misdirected,
}

/// Slowest and fastest pace that is believed.
pub(super) const SLOWDOWN_RANGE: (f64, f64) = (0.3, 20.0);

impl State {
    /// An endpoint that nothing is known of.
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
            moving: None,
        }
    }

    /// Whether it is being moved to another stage and takes nothing.
    pub fn is_moving(&self, now: Instant) -> bool {
        let moving = self.moving.filter(|(_, until)| *until > now);
        moving.is_some_and(|(phase, _)| self.endpoint.phase != Some(phase))
    }

    /// Whether it said lately that it has no room.
    pub(in crate::gateway) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| until > now)
    }

    /// Whether it may get work while others can take it.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.endpoint.draining && self.paused_until.is_none_or(|until| until <= now)
    }

    /// Time that reading or answering takes against what is usual.
    pub fn slowdown(&self, now: Instant) -> f64 {
        1.0 + self.slowdown.value(now)
    }

    /// Time between two events against what is usual.
    pub fn event_slowdown(&self, now: Instant) -> f64 {
        1.0 + self.event_slowdown.value(now)
    }

    /// Share of answers that were failures.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failure_rate.value(now)
    }

    /// Notes that it broke.
    pub(super) fn record_broken(&mut self, now: Instant, settings: Settings) {
        let backoff =
            settings.failure_backoff * 2u32.saturating_pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.paused_until = Some(now + backoff.min(settings.max_failure_backoff));
        self.failure_rate.learn(now, 1.0);
    }

    /// Notes that it had no room.
    pub(super) fn record_full(&mut self, now: Instant, settings: Settings) {
        let backoff = settings.full_backoff * 2u32.saturating_pow(self.consecutive_full.min(8));
        let backoff = backoff.min(settings.max_full_backoff);
        self.consecutive_full += 1;
        self.paused_until = Some(now + settings.failure_backoff.max(backoff));
        self.full_until = Some(now + backoff);
    }

    /// Learns how long work took.
    pub(super) fn learn_slowdown(&mut self, now: Instant, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let ratio = took.as_secs_f64() / expected.as_secs_f64();
        self.slowdown
            .learn(now, ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1) - 1.0);
    }
}
