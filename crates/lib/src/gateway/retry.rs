//! Pauses after failed calls to the store.

use std::time::Duration;

use rand::RngExt;

use super::Shared;

/// Pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause after a failed call.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Pause after the next failed call. Doubles with each one.
#[derive(Debug)]
pub(super) struct Pause(Duration);

impl Default for Pause {
    fn default() -> Self {
        Self(FIRST_PAUSE)
    }
}

impl Pause {
    /// Waits until the pause is over or a call for another topic succeeds again. A random part of it
    /// keeps hosts from calling at once.
    pub async fn wait<N, C, D>(&mut self, shared: &Shared<N, C, D>) {
        let spread = self.0.mul_f64(rand::rng().random_range(0.5..1.0));
        // The next call follows either way.
        let _ = tokio::time::timeout(spread, shared.store_recovered.notified()).await;
        self.0 = (self.0 * 2).min(MAX_PAUSE);
    }
}
