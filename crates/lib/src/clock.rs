//! Clock interface, and its implementation with Tokio's clock.

use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

use cranberryridge_policy::answer::deadline::Moment;

/// Source of the time.
pub trait Clock: Clone + Send + Sync + Unpin + 'static {
    /// Returns the current time of a monotonic clock that stops while the host is
    /// suspended.
    fn now(&self) -> Instant;

    /// Returns the time since a fixed moment, such as the boot of the host. Unlike
    /// [`Clock::now`], it advances while the host is suspended.
    fn uptime(&self) -> Duration;

    /// Returns the current time on both clocks.
    fn moment(&self) -> Moment {
        Moment {
            now: self.now(),
            uptime: self.uptime(),
        }
    }
}

/// Tokio's clock. [`Clock::now`] stops while the runtime's clock is paused.
///
/// # Examples
///
/// ```
/// use cranberryridge::clock::{Clock, Tokio};
/// assert!(Tokio.now() <= Tokio.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Tokio;

impl Clock for Tokio {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn uptime(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        // Neither part is ever negative.
        Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
    }
}
