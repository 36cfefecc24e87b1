//! Retry budget and backoff.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Retry budget of a service, earned by its successes.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::retry::{Budget, Settings};
/// let mut budget = Budget::new(Settings { capacity: 1.0, ..Settings::default() });
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// (0..10).for_each(|_| budget.earn());
/// assert!(budget.try_spend());
/// ```
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    /// Retries that may still be spent.
    remaining: f64,
}

/// Rules of a budget and its backoff.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of retries earned by each success.
    pub earned_per_success: f64,
    /// Maximum number of saved retries, also the initial number.
    pub capacity: f64,
    /// Backoff before the first retry, before jitter.
    pub base_backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            earned_per_success: 0.1,
            capacity: 20.0,
            base_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(2),
        }
    }
}

impl Budget {
    /// Creates a budget with all its retries.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            remaining: settings.capacity,
        }
    }

    /// Earns a share of a retry for a success.
    pub fn earn(&mut self) {
        self.remaining =
            (self.remaining + self.settings.earned_per_success).min(self.settings.capacity);
    }

    /// Spends one retry. Returns false if none is left.
    pub fn try_spend(&mut self) -> bool {
        if self.remaining < 1.0 - 1e-9 {
            return false;
        }
        self.remaining -= 1.0;
        true
    }

    /// Returns the backoff before an attempt, counted from 1: exponential, with jitter
    /// between one half and the whole of it.
    pub fn backoff<R: Rng>(&self, attempt: u32, random: &mut R) -> Duration {
        let doubled =
            self.settings.base_backoff * 2u32.saturating_pow(attempt.saturating_sub(1).min(16));
        doubled
            .min(self.settings.max_backoff)
            .mul_f64(random.random_range(0.5..=1.0))
    }
}
