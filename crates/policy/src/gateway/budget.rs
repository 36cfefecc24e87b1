//! Retry budget shared by all entry hosts.
//!
//! Each entry host spends what its own requests earn and its share of the fixed
//! allowance, see [`Roster::share`](super::roster::Roster::share).

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parameters of the budget.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that each request earns.
    pub retries_per_request: f64,
    /// Length of the sliding window in which retries and requests are counted.
    pub window: Duration,
    /// Retries per window that need no requests, for all hosts together.
    pub fixed_retries: f64,
    /// Share of the budget that may be spent. The rest is a reserve, as the
    /// windows of different hosts are not aligned.
    pub usable_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retries_per_request: 0.2,
            window: Duration::from_secs(10),
            fixed_retries: 50.0,
            usable_share: 0.8,
        }
    }
}

/// Retry budget of one service at one entry host.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cranberryridge_policy::gateway::budget::{Budget, Settings};
/// let settings = Settings { fixed_retries: 10.0, usable_share: 1.0, ..Settings::default() };
/// let (mut budget, now) = (Budget::new(settings), Instant::now());
/// assert!((0..5).all(|_| budget.spend(now, 0.5)));
/// assert!(!budget.spend(now, 0.5));
/// ```
#[derive(Debug)]
pub struct Budget {
    settings: Settings,
    /// Times of the requests in the window.
    requests: VecDeque<Instant>,
    /// Times of the retries in the window.
    retries: VecDeque<Instant>,
}

impl Budget {
    /// Creates an unspent budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Adds a request, which earns a share of a retry.
    pub fn earn(&mut self, now: Instant) {
        expire(&mut self.requests, now, self.settings.window);
        self.requests.push_back(now);
    }

    /// Spends one retry and returns true if the budget allows it, where `share` is
    /// this host's part of the fixed retries, from 0 to 1.
    pub fn spend(&mut self, now: Instant, share: f64) -> bool {
        expire(&mut self.requests, now, self.settings.window);
        expire(&mut self.retries, now, self.settings.window);
        let earned = self.settings.retries_per_request * self.requests.len() as f64;
        let fixed = self.settings.fixed_retries * share;
        let limit = (earned + fixed) * self.settings.usable_share;
        if (self.retries.len() + 1) as f64 > limit {
            return false;
        }
        self.retries.push_back(now);
        true
    }
}

/// Sends of one request to endpoints, each of which beyond the first is a retry. The
/// first prompt read that an endpoint accepts does not count.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::budget::Sends;
/// let mut sends = Sends::default();
/// sends.record_prefill(true);
/// assert!(!sends.is_next_retry());
/// sends.record();
/// assert!(sends.is_next_retry());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Sends {
    /// Sends that count.
    counted: u32,
    /// Retries that the budget has paid for.
    paid: u32,
    /// Whether an endpoint has accepted to read the prompt.
    is_prompt_read: bool,
}

impl Sends {
    /// Returns whether the next send has to be paid from the budget.
    pub fn is_next_retry(&self) -> bool {
        self.paid < self.counted
    }

    /// Records that the budget paid for the next send.
    pub fn record_payment(&mut self) {
        self.paid += 1;
    }

    /// Records a send, whether or not the endpoint accepted it.
    pub fn record(&mut self) {
        self.counted += 1;
    }

    /// Records a send that only has the prompt read.
    pub fn record_prefill(&mut self, is_accepted: bool) {
        if !is_accepted || self.is_prompt_read {
            self.counted += 1;
        }
        self.is_prompt_read |= is_accepted;
    }
}

/// Removes times older than the window.
fn expire(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times.front().is_some_and(|first| *first + window <= now) {
        times.pop_front();
    }
}
