//! Whether a prompt that was read for one decode endpoint can serve another.
//!
//! A decode endpoint that refuses a request has not taken the prompt's KV cache,
//! so another one can, and the prompt need not be read again. This answers load
//! in which many engines refuse after the prompt was read: they crash, leave, or
//! move to another stage at a time that nobody knows.

use std::time::{Duration, Instant};

/// Time in which a decode endpoint gets the request and begins to take the cache.
/// It covers a new connection between failure domains.
const MAX_TAKE_TIME: Duration = Duration::from_millis(60);

/// A KV cache that its prefill endpoint keeps for a decode endpoint.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::cache::Cache;
/// let now = Instant::now();
/// let mut cache = Cache::new(now + Duration::from_millis(500));
/// assert!(cache.offer(now));
/// assert!(cache.offer(now), "the first endpoint refused");
/// assert!(!cache.offer(now), "the cache may be gone");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Cache {
    /// Time at which the prefill endpoint drops it.
    valid_until: Instant,
    /// Number of decode endpoints that it was offered to.
    offers: u32,
}

/// Number of decode endpoints that a cache is offered to. A second refusal may
/// mean that the cache is gone.
const MAX_OFFERS: u32 = 2;

impl Cache {
    /// Creates a cache that nobody was offered.
    pub fn new(valid_until: Instant) -> Self {
        Self {
            valid_until,
            offers: 0,
        }
    }

    /// Returns whether the cache may be offered to a decode endpoint now, and
    /// counts the offer if so. The first offer is always made, as the cache is
    /// then as new as can be.
    pub fn offer(&mut self, now: Instant) -> bool {
        let is_valid = self.offers == 0 || now + MAX_TAKE_TIME < self.valid_until;
        let is_offered = self.offers < MAX_OFFERS && is_valid;
        self.offers += u32::from(is_offered);
        is_offered
    }
}
