//! One log line for each request, written when it is over.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use slog::Logger;

use super::dialect::Description;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// What became of a request. Its line is written when it is dropped, so a
/// request whose caller hung up leaves one too.
#[derive(Debug)]
pub struct Record<C: Clock> {
    /// Logs.
    logger: Logger,
    /// Counters.
    metrics: Metrics,
    /// The clock.
    clock: C,
    /// Version of the configuration that chose the route.
    pub version: u64,
    /// The route.
    pub route: CompactString,
    /// The service.
    pub service: CompactString,
    /// When the request arrived.
    pub arrival: Instant,
    /// When the first event or the whole answer was there.
    pub first: Option<Instant>,
    /// What the request says of itself.
    pub description: Description,
    /// Events that the caller got.
    pub events: u32,
    /// Longest pause between two events.
    pause: Duration,
    /// Calls to endpoints, in order, with what became of each.
    calls: String,
    /// What the caller got.
    pub outcome: &'static str,
    /// Status that the caller got, zero for none.
    pub status: u16,
}

/// Longest list of calls that is logged, in bytes.
const CALLS: usize = 512;

impl<C: Clock> Record<C> {
    /// A record of a request that arrives now.
    pub fn new(logger: Logger, metrics: Metrics, clock: C, description: Description) -> Self {
        Self {
            arrival: clock.now(),
            logger,
            metrics,
            clock,
            version: 0,
            route: CompactString::default(),
            service: CompactString::default(),
            first: None,
            description,
            events: 0,
            pause: Duration::ZERO,
            calls: String::new(),
            outcome: "caller gone",
            status: 0,
        }
    }

    /// Notes a call to an endpoint.
    pub fn call(&mut self, stage: &str, endpoint: &str, result: &str) {
        if self.calls.len() > CALLS {
            return;
        }
        let at = self.clock.now().saturating_duration_since(self.arrival);
        let space = if self.calls.is_empty() { "" } else { " " };
        let call = format!("{space}{stage}:{endpoint}:{result}@{}", at.as_millis());
        self.calls.push_str(&call);
    }

    /// Notes what the caller gets.
    pub fn end(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }

    /// Notes a pause between two events.
    pub fn paused(&mut self, pause: Duration) {
        self.pause = self.pause.max(pause);
    }

    /// Notes that the first event is there.
    pub fn begin(&mut self) {
        self.first.get_or_insert_with(|| self.clock.now());
    }
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        let total = self.clock.now().saturating_duration_since(self.arrival);
        let first = self
            .first
            .map(|at| at.saturating_duration_since(self.arrival));
        if let Some(first) = first {
            let kind = if self.events > 0 {
                "stream.first"
            } else {
                "plain.answer"
            };
            self.metrics.observe(kind, first);
        }
        if self.events > 1 {
            self.metrics.observe("stream.pause", self.pause);
        }
        self.metrics
            .count(&format!("request.{}", self.outcome.replace(' ', "_")));
        slog::info!(self.logger, "gateway: request over";
            "request" => %self.description.attempt,
            "route" => %self.route,
            "service" => %self.service,
            "configuration" => self.version,
            "outcome" => self.outcome,
            "status" => self.status,
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "prompt" => self.description.prompt,
            "estimate" => self.description.estimate,
            "longest" => self.description.output,
            "events" => self.events,
            "pause_ms" => self.pause.as_millis() as u64,
            "total_ms" => total.as_millis() as u64,
            "calls" => %self.calls);
    }
}
