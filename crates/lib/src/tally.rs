//! Counts what is under way, for a shutdown that waits for all of it.

use std::sync::Arc;

use tokio::sync::watch;

/// A count of what is under way. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// The count.
    count: Arc<watch::Sender<usize>>,
}

/// One of what is counted. Dropping it counts it out.
#[derive(Debug)]
pub struct Guard {
    /// The count.
    count: Arc<watch::Sender<usize>>,
}

impl Tally {
    /// Counts one in.
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

    /// How many there are.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until there are none.
    pub async fn wait_idle(&self) {
        // The sender lives as long as this.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
