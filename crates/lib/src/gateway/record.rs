//! Log line of a request, written when the request ends.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::Version;
use slog::Logger;

use cranberryridge_policy::answer::survival::Sign;
use cranberryridge_policy::answer::{Framing, Proof};

use super::dialect::Description;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// Events and outcome of a request. The log line is written on drop, so that
/// requests whose caller disconnects are logged too.
#[derive(Debug)]
pub struct Record<C: Clock> {
    logger: Logger,
    metrics: Metrics,
    clock: C,
    /// IP address of the caller, if known.
    pub caller: Option<IpAddr>,
    /// Version of HTTP that the caller speaks. It is logged if it is not 1.1.
    pub protocol: Version,
    /// Version of the configuration that the route was found in.
    pub configuration_version: u64,
    /// Name of the route, or empty if no route or service was found.
    pub route: CompactString,
    /// Name of the caller's client account, if it has one.
    pub account: Option<CompactString>,
    /// Name of the service, or empty if none was found.
    pub service: CompactString,
    /// Time at which the request head arrived.
    pub arrival: Instant,
    /// Time at which the first event or the complete answer arrived.
    pub answer_started_at: Option<Instant>,
    /// Parameters from the request head.
    pub description: Description,
    /// Number of events relayed to the caller.
    pub event_count: u32,
    /// Longest gap between two events.
    max_event_gap: Duration,
    /// Framing of the last answer from an endpoint, if one arrived.
    pub framing: Option<Framing>,
    /// How the end of the caller's stream was established, if a run came to an end.
    pub end: Option<Proof>,
    /// What the endpoint showed after it stated the end of the last run, if it was looked at.
    pub sign: Option<Sign>,
    /// What was known of the exit of the endpoint whose run came to an end last, or `None` if it was
    /// not leaving.
    pub departure: Option<&'static str>,
    /// Bytes that arrived after the last complete event when the last stream
    /// ended.
    pub partial_bytes: usize,
    /// Software version of the endpoint that the last run was sent to, or empty if none was.
    pub version: CompactString,
    /// Calls to endpoints in order, with their results.
    calls: String,
    /// Runs whose events were relayed, in order.
    runs: String,
    /// Outcome for the caller, as logged.
    pub outcome: &'static str,
    /// Status sent to the caller, or zero if none was sent.
    pub status: u16,
}

/// Length of `calls` above which no further call is added, in bytes.
const MAX_CALLS_BYTES: usize = 512;

impl<C: Clock> Record<C> {
    /// Creates the record of a request that arrives now.
    pub fn new(logger: Logger, metrics: Metrics, clock: C, description: Description) -> Self {
        Self {
            arrival: clock.now(),
            logger,
            metrics,
            clock,
            caller: None,
            protocol: Version::HTTP_11,
            configuration_version: 0,
            route: CompactString::default(),
            account: None,
            service: CompactString::default(),
            answer_started_at: None,
            description,
            event_count: 0,
            max_event_gap: Duration::ZERO,
            framing: None,
            end: None,
            sign: None,
            departure: None,
            partial_bytes: 0,
            version: CompactString::default(),
            calls: String::new(),
            runs: String::new(),
            outcome: "caller gone",
            status: 0,
        }
    }

    /// Adds a call to an endpoint.
    pub fn add_call(&mut self, stage: &str, endpoint: &str, result: &str) {
        if self.calls.len() > MAX_CALLS_BYTES {
            return;
        }
        let at = self.clock.now().saturating_duration_since(self.arrival);
        let space = if self.calls.is_empty() { "" } else { " " };
        let call = format!("{space}{stage}:{endpoint}:{result}@{}", at.as_millis());
        self.calls.push_str(&call);
    }

    /// Adds a run whose stream has ended, with the ids of the first and the last event that
    /// it added to the caller's stream.
    pub fn add_run(&mut self, endpoint: &str, ids: [Option<&str>; 2], end: &str) {
        if self.runs.len() > MAX_CALLS_BYTES {
            return;
        }
        let framing = self.framing.map_or("none", Framing::name);
        let [first, last] = ids.map(|id| id.unwrap_or_default());
        let space = if self.runs.is_empty() { "" } else { " " };
        self.runs
            .push_str(&format!("{space}{endpoint}:{framing}:{first}-{last}:{end}"));
    }

    /// Sets the outcome and status for the caller.
    pub fn set_outcome(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }

    /// Records a gap between two events.
    pub fn record_gap(&mut self, gap: Duration) {
        self.max_event_gap = self.max_event_gap.max(gap);
    }

    /// Records that the first event or the complete answer arrived. Later calls
    /// have no effect.
    pub fn mark_answer_started(&mut self) {
        self.answer_started_at
            .get_or_insert_with(|| self.clock.now());
    }
}

impl<C: Clock> Drop for Record<C> {
    fn drop(&mut self) {
        let total = self.clock.now().saturating_duration_since(self.arrival);
        let timeout = self.description.timeout;
        let time_left = timeout.map(|timeout| timeout.saturating_sub(total));
        let other_protocol = Some(self.protocol).filter(|version| *version != Version::HTTP_11);
        let first = self
            .answer_started_at
            .map(|at| at.saturating_duration_since(self.arrival));
        if let Some(first) = first {
            let timer = if self.event_count > 0 {
                "stream.first"
            } else {
                "plain.answer"
            };
            self.metrics.observe(timer, first);
        }
        if self.event_count > 1 {
            self.metrics.observe("stream.pause", self.max_event_gap);
        }
        self.metrics
            .count(&format!("request.{}", self.outcome.replace(' ', "_")));
        if let Some(end) = self.end {
            self.metrics.count(&format!("stream.end_{}", end.name()));
        }
        // The drain writes the last field first, and readers may cut long lines.
        slog::info!(self.logger, "gateway: request over";
            "runs" => %self.runs,
            "calls" => %self.calls,
            "partial_bytes" => self.partial_bytes,
            "pause_ms" => self.max_event_gap.as_millis() as u64,
            "longest" => self.description.max_output_tokens,
            "estimate" => self.description.estimated_output_tokens,
            "parts" => self.description.shared_parts.join(","),
            "prompt" => self.description.prompt_tokens,
            "first_ms" => first.map(|first| first.as_millis() as u64),
            "configuration" => self.configuration_version,
            "version" => %self.version,
            "resumes" => self.description.first_attempt_id.as_deref(),
            "service" => %self.service,
            "account" => self.account.as_deref(),
            "protocol" => other_protocol.map(|version| format!("{version:?}")),
            "caller" => self.caller.map(|caller| caller.to_string()),
            "framing" => self.framing.map(Framing::name),
            "departure" => self.departure,
            "sign" => self.sign.map(Sign::name),
            "end" => self.end.map(Proof::name),
            "events" => self.event_count,
            "time_left_ms" => time_left.map(|time| time.as_millis() as u64),
            "total_ms" => total.as_millis() as u64,
            "route" => %self.route,
            "status" => self.status,
            "outcome" => self.outcome,
            "request" => %self.description.attempt_id);
    }
}
