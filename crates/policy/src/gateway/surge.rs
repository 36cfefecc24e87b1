//! Predicts how long a request will wait for room.
//!
//! In a surge, requests that need little overtake those that need much. A large
//! one then waits in vain, and is better told at once to come back when the
//! surge is over than held until it gives up.

use std::time::{Duration, Instant};

/// Time over which arrivals are averaged. Shorter than a surge, longer than
/// the pauses within one.
const AVERAGING_TIME: Duration = Duration::from_millis(1500);

/// Sizes that are told apart: steps of a fourth of a power of two.
const SIZE_BUCKETS: usize = 80;

/// Time that a surge still lasts, when nothing says so. Callers' surges last a
/// few seconds.
pub const SURGE_DURATION: Duration = Duration::from_secs(4);

/// Work that has arrived lately, by the size of requests. Work is memory for a
/// time, in token seconds.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// Work in a second, as of `at`, by the step of its size.
    rates: [f64; SIZE_BUCKETS],
    /// When it was worked out.
    updated_at: Instant,
}

impl Arrivals {
    /// No arrivals.
    pub fn new(now: Instant) -> Self {
        Self {
            rates: [0.0; SIZE_BUCKETS],
            updated_at: now,
        }
    }

    /// Counts a request that arrived.
    pub fn add(&mut self, now: Instant, size: u32, work: f64) {
        let decay = self.decay(now);
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        self.rates[bucket(size)] += work / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Work in a second of requests that are smaller.
    pub fn rate_below(&self, now: Instant, size: u32) -> f64 {
        self.rates[..bucket(size)].iter().sum::<f64>() * self.decay(now)
    }

    /// Work in a second of all requests.
    pub fn total_rate(&self, now: Instant) -> f64 {
        self.rates.iter().sum::<f64>() * self.decay(now)
    }

    /// Part of the average that has not faded.
    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Predicted time until so much work before a request is done, while more that
/// overtakes it arrives. `None` when that is never.
pub fn predict_wait(ahead: f64, overtaking: f64, capacity: f64) -> Option<Duration> {
    if ahead <= 0.0 {
        return Some(Duration::ZERO);
    }
    let rate = capacity - overtaking;
    let seconds = ahead / rate;
    (rate > 0.0 && seconds.is_finite())
        .then(|| Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)))
}

/// Longest wait that is told, in seconds.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// The step of a size.
fn bucket(size: u32) -> usize {
    let bucket = f64::from(size.max(1)).log2() * 4.0;
    (bucket as usize).min(SIZE_BUCKETS - 1)
}
