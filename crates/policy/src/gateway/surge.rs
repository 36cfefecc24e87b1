//! Predicts how long a request waits for room.
//!
//! In a surge, small requests overtake large ones. A large request might be held
//! until its deadline and never get room, so it is refused at once and its caller
//! is told to come back after the surge.

use std::time::{Duration, Instant};

/// Time constant of the arrival average. Shorter than a surge, longer than the
/// gaps within one.
const AVERAGING_TIME: Duration = Duration::from_millis(1500);

/// Number of size classes. Each spans a factor of 2 to the power of 1/4.
const SIZE_BUCKETS: usize = 80;

/// Assumed remaining duration of a surge if nothing else is known. Callers'
/// surges last a few seconds.
pub const SURGE_DURATION: Duration = Duration::from_secs(4);

/// Recently arrived work by request size. Work is memory multiplied by time, in
/// token-seconds.
#[derive(Clone, Debug)]
pub struct Arrivals {
    /// Work per second at `updated_at`, by size class.
    rates: [f64; SIZE_BUCKETS],
    updated_at: Instant,
}

impl Arrivals {
    /// Creates a record without arrivals.
    pub fn new(now: Instant) -> Self {
        Self {
            rates: [0.0; SIZE_BUCKETS],
            updated_at: now,
        }
    }

    /// Adds a request that arrived, with its work in token-seconds.
    pub fn add(&mut self, now: Instant, size: u32, work: f64) {
        let decay = self.decay(now);
        self.rates.iter_mut().for_each(|rate| *rate *= decay);
        self.rates[bucket(size)] += work / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the work per second of requests in smaller size classes.
    pub fn rate_below(&self, now: Instant, size: u32) -> f64 {
        self.rates[..bucket(size)].iter().sum::<f64>() * self.decay(now)
    }

    /// Returns the work per second of all requests.
    pub fn total_rate(&self, now: Instant) -> f64 {
        self.rates.iter().sum::<f64>() * self.decay(now)
    }

    /// Returns the share of the average that remains at `now`.
    fn decay(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        (-age / AVERAGING_TIME.as_secs_f64()).exp()
    }
}

/// Predicts the time until the work queued ahead is done, while further work
/// arrives and overtakes. `ahead` is in token-seconds, the other two in
/// token-seconds per second. Returns `None` if the overtaking work uses all
/// capacity.
pub fn predict_wait(ahead: f64, overtaking: f64, capacity: f64) -> Option<Duration> {
    if ahead <= 0.0 {
        return Some(Duration::ZERO);
    }
    let rate = capacity - overtaking;
    let seconds = ahead / rate;
    (rate > 0.0 && seconds.is_finite())
        .then(|| Duration::from_secs_f64(seconds.min(MAX_WAIT_SECONDS)))
}

/// Upper bound of a predicted wait.
const MAX_WAIT_SECONDS: f64 = 60.0;

/// Returns the size class of a request. The last class has no upper bound.
fn bucket(size: u32) -> usize {
    let bucket = f64::from(size.max(1)).log2() * 4.0;
    (bucket as usize).min(SIZE_BUCKETS - 1)
}
