//! Counts of items in progress, for a shutdown that waits until there are none.

use std::sync::Arc;

use tokio::sync::watch;

/// A count of items in progress, such as connections. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    count: Arc<watch::Sender<usize>>,
}

/// One counted item. Dropping it decrements the count.
#[derive(Debug)]
pub struct Guard {
    count: Arc<watch::Sender<usize>>,
}

impl Tally {
    /// Increments the count until the guard is dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// let tally = cranberryridge::tally::Tally::default();
    /// let guard = tally.enter();
    /// assert_eq!(tally.count(), 1);
    /// drop(guard);
    /// assert_eq!(tally.count(), 0);
    /// ```
    pub fn enter(&self) -> Guard {
        self.count.send_modify(|count| *count += 1);
        Guard {
            count: self.count.clone(),
        }
    }

    /// Returns the current count.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until the count is zero.
    pub async fn wait_idle(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
