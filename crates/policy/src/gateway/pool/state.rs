//! What is known of one endpoint.

use std::time::{Duration, Instant};

use super::usual::Smooth;
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
    pub unread: u64,
    /// KV cache of own attempts in tokens.
    pub tokens: u64,
    /// Other hosts' requests, when last reported.
    pub(super) others: f64,
    /// When that was.
    pub(super) reported: Option<Instant>,
    /// Its service.
    pub(super) service: ServiceKey,
    /// Time that reading or answering takes against what is usual.
    pub(super) pace: Smooth,
    /// Time between two events against what is usual.
    pub(super) event_pace: Smooth,
    /// Share of answers that were failures.
    pub(super) failing: Smooth,
    /// Failures without an answer between them.
    pub(super) failures: u32,
    /// Until when it gets nothing if others can.
    pub(super) paused: Option<Instant>,
    /// Until when it is taken to have no room.
    pub(super) denying: Option<Instant>,
    /// Denials without an answer between them.
    pub(super) denials: u32,
    /// The stage that it is being moved to, and until when that counts.
    pub(super) moving: Option<(Phase, Instant)>,
}

/// Why an endpoint did not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// It had no room.
    Full,
    /// It broke off, was out of reach or answered nonsense.
    Broken,
    /// Another endpoint has its address.
    Misdirected,
}

/// Slowest and fastest pace that is believed.
pub(super) const PACE: (f64, f64) = (0.3, 20.0);

impl State {
    /// An endpoint that nothing is known of.
    pub(super) fn new(endpoint: Endpoint, service: ServiceKey) -> Self {
        Self {
            endpoint,
            service,
            running: 0,
            unread: 0,
            tokens: 0,
            others: 0.0,
            reported: None,
            pace: Smooth::default(),
            event_pace: Smooth::default(),
            failing: Smooth::default(),
            failures: 0,
            paused: None,
            denying: None,
            denials: 0,
            moving: None,
        }
    }

    /// Whether it is being moved to another stage and takes nothing.
    pub fn is_moving(&self, now: Instant) -> bool {
        let moving = self.moving.filter(|(_, until)| *until > now);
        moving.is_some_and(|(phase, _)| self.endpoint.phase != Some(phase))
    }

    /// Whether it said lately that it has no room.
    pub(in crate::gateway) fn is_denying(&self, now: Instant) -> bool {
        self.denying.is_some_and(|until| until > now)
    }

    /// Whether it may get work while others can take it.
    pub fn is_open(&self, now: Instant) -> bool {
        !self.endpoint.draining && self.paused.is_none_or(|until| until <= now)
    }

    /// Time that reading or answering takes against what is usual.
    pub fn pace(&self, now: Instant) -> f64 {
        1.0 + self.pace.off(now)
    }

    /// Time between two events against what is usual.
    pub fn event_pace(&self, now: Instant) -> f64 {
        1.0 + self.event_pace.off(now)
    }

    /// Share of answers that were failures.
    pub fn failing(&self, now: Instant) -> f64 {
        self.failing.off(now)
    }

    /// Notes that it broke.
    pub(super) fn broke(&mut self, now: Instant, settings: Settings) {
        let pause = settings.pause * 2u32.saturating_pow(self.failures.min(8));
        self.failures += 1;
        self.paused = Some(now + pause.min(settings.longest_pause));
        self.failing.learn(now, 1.0);
    }

    /// Notes that it had no room.
    pub(super) fn full(&mut self, now: Instant, settings: Settings) {
        let denial = settings.denial * 2u32.saturating_pow(self.denials.min(8));
        let denial = denial.min(settings.longest_denial);
        self.denials += 1;
        self.paused = Some(now + settings.pause.max(denial));
        self.denying = Some(now + denial);
    }

    /// Learns how long work took.
    pub(super) fn keep_pace(&mut self, now: Instant, expected: Duration, took: Duration) {
        if expected.is_zero() {
            return;
        }
        let seen = took.as_secs_f64() / expected.as_secs_f64();
        self.pace.learn(now, seen.clamp(PACE.0, PACE.1) - 1.0);
    }
}
