//! Mean values of a service, and an endpoint's deviation from them.

use std::time::{Duration, Instant};

use super::EndpointKey;

/// Weight of a new sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.25;

/// Decay time of an endpoint's slowdown and failure rate. Long compared to a
/// request, short compared to the time in which an operator reacts.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Time in which the longest recent call is forgotten. Long compared to the time between two
/// calls of a service.
const PEAK_DECAY_TIME: Duration = Duration::from_secs(60);

/// Weight of a new sample in a slow moving average.
pub(super) const SLOW_WEIGHT: f64 = 0.05;

/// Mean prompt length assumed before the first sample.
const DEFAULT_PROMPT_TOKENS: f64 = 2000.0;

/// Mean duration of a run assumed before the first sample.
pub(super) const DEFAULT_RUN_TIME: Duration = Duration::from_secs(3);

/// Endpoints of a service and the mean values of its requests.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) endpoints: Vec<EndpointKey>,
    pub(super) mean_prompt_tokens: f64,
    /// Mean KV cache of a run.
    pub(super) mean_kv_tokens: f64,
    /// Mean duration of a run or of a plain answer. `None` before the first
    /// sample.
    mean_run_seconds: Option<f64>,
    /// Longest recent plain answer. `None` before the first sample.
    peak: Option<Peak>,
    /// Mean time between two events of a stream. `None` before the first
    /// sample.
    pub(super) mean_event_seconds: Option<f64>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            mean_prompt_tokens: DEFAULT_PROMPT_TOKENS,
            mean_kv_tokens: DEFAULT_PROMPT_TOKENS,
            mean_run_seconds: None,
            peak: None,
            mean_event_seconds: None,
        }
    }
}

impl Service {
    /// Returns the mean duration of a run or of a plain answer in seconds, or
    /// `default` before the first sample.
    pub(super) fn run_seconds_or(&self, default: Duration) -> f64 {
        self.mean_run_seconds.unwrap_or(default.as_secs_f64())
    }

    /// Returns the mean duration of a plain answer and the longest recent one. `None` before
    /// the first sample.
    pub(super) fn call_times(&self, now: Instant) -> Option<(Duration, Duration)> {
        let mean = self.mean_run_seconds?;
        let peak = self.peak?.seconds(now).max(mean);
        Some((Duration::from_secs_f64(mean), Duration::from_secs_f64(peak)))
    }

    /// Adds the duration of a plain answer to the longest recent one.
    pub(super) fn learn_peak(&mut self, now: Instant, took: Duration) {
        let seconds = took.as_secs_f64();
        if self.peak.is_none_or(|peak| peak.seconds(now) <= seconds) {
            self.peak = Some(Peak {
                last_seconds: seconds,
                learned_at: now,
            });
        }
    }

    /// Adds the duration of a run or of a plain answer to the mean.
    pub(super) fn learn_run(&mut self, took: Duration) {
        let mean = self.run_seconds_or(took);
        self.mean_run_seconds = Some(mean + (took.as_secs_f64() - mean) * SLOW_WEIGHT);
    }
}

/// A maximum that decays between samples.
#[derive(Clone, Copy, Debug)]
struct Peak {
    /// The maximum at `learned_at`, in seconds.
    last_seconds: f64,
    /// Time of the last sample that raised it.
    learned_at: Instant,
}

impl Peak {
    /// Returns the maximum at `now`, in seconds.
    fn seconds(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.learned_at);
        self.last_seconds * (-age.as_secs_f64() / PEAK_DECAY_TIME.as_secs_f64()).exp()
    }
}

/// A moving average that decays to zero between samples.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Deviation {
    /// The average at `learned_at`.
    last_value: f64,
    /// Time of the last sample.
    learned_at: Option<Instant>,
}

impl Deviation {
    /// Returns the average at `now`.
    pub(super) fn value(&self, now: Instant) -> f64 {
        let Some(learned_at) = self.learned_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(learned_at).as_secs_f64();
        self.last_value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    /// Adds a sample.
    pub(super) fn learn(&mut self, now: Instant, value: f64) {
        let before = self.value(now);
        self.last_value = before + (value - before) * NEWEST_WEIGHT;
        self.learned_at = Some(now);
    }
}
