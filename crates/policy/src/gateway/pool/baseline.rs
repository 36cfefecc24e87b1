//! What is usual of a service, and how far one endpoint is off it.

use std::time::{Duration, Instant};

use super::EndpointKey;

/// Weight of the newest value in a smoothed one.
const NEWEST_WEIGHT: f64 = 0.25;

/// Time in which what was learned of an endpoint's pace and failures fades.
/// Long against its requests, short against an operator's patience.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Weight of the newest value in a slowly smoothed one.
pub(super) const SLOW_WEIGHT: f64 = 0.05;

/// Mean prompt in tokens before there was one.
const DEFAULT_PROMPT_TOKENS: f64 = 2000.0;

/// Mean time of a run before there was one.
pub(super) const DEFAULT_RUN_TIME: Duration = Duration::from_secs(3);

/// A service's endpoints, and what is common to them.
#[derive(Debug)]
pub(super) struct Service {
    /// Its endpoints.
    pub(super) endpoints: Vec<EndpointKey>,
    /// Mean prompt in tokens.
    pub(super) mean_prompt_tokens: f64,
    /// Mean KV cache of a run in tokens.
    pub(super) mean_kv_tokens: f64,
    /// Mean time of a run or of a plain answer, in seconds.
    mean_run_seconds: Option<f64>,
    /// Mean time between two events of a stream, in seconds.
    pub(super) mean_event_seconds: Option<f64>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            mean_prompt_tokens: DEFAULT_PROMPT_TOKENS,
            mean_kv_tokens: DEFAULT_PROMPT_TOKENS,
            mean_run_seconds: None,
            mean_event_seconds: None,
        }
    }
}

impl Service {
    /// Mean time of a run or of a plain answer in seconds, and what to take
    /// for it before there was one.
    pub(super) fn run_seconds_or(&self, default: Duration) -> f64 {
        self.mean_run_seconds.unwrap_or(default.as_secs_f64())
    }

    /// Learns the time of a run or of a plain answer.
    pub(super) fn learn_run(&mut self, took: Duration) {
        let mean = self.run_seconds_or(took);
        self.mean_run_seconds = Some(mean + (took.as_secs_f64() - mean) * SLOW_WEIGHT);
    }
}

/// A smoothed value that returns to where it began when nothing is learned.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deviation {
    /// Distance from the beginning, as of `at`.
    last_value: f64,
    /// When something was last learned.
    learned_at: Option<Instant>,
}

impl Deviation {
    /// The value's distance from where it began.
    pub(super) fn value(&self, now: Instant) -> f64 {
        let Some(learned_at) = self.learned_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(learned_at).as_secs_f64();
        self.last_value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Learns a new distance.
    pub(super) fn learn(&mut self, now: Instant, value: f64) {
        let before = self.value(now);
        self.last_value = before + (value - before) * NEWEST_WEIGHT;
        self.learned_at = Some(now);
    }
}
