//! Concurrency limits of client accounts.

use compact_str::CompactString;

use cranberryridge_wire::Map;

/// Number of requests in flight by client account.
///
/// # Examples
///
/// ```
/// let mut table = cranberryridge_policy::limit::Table::default();
/// assert!(table.acquire("sfax", 1));
/// assert!(!table.acquire("sfax", 1));
/// table.release("sfax");
/// assert!(table.acquire("sfax", 1));
/// ```
#[derive(Debug, Default)]
pub struct Table {
    /// Requests in flight; an account without any has no row.
    in_flight: Map<CompactString, u32>,
}

impl Table {
    /// Counts a new request. Returns false if the account is at its limit.
    pub fn acquire(&mut self, client: &str, limit: u32) -> bool {
        let in_flight = self.in_flight.entry(client.into()).or_default();
        if *in_flight >= limit {
            return false;
        }
        *in_flight += 1;
        true
    }

    /// Counts a request that ended.
    pub fn release(&mut self, client: &str) {
        let Some(in_flight) = self.in_flight.get_mut(client) else {
            return;
        };
        *in_flight -= 1;
        if *in_flight == 0 {
            self.in_flight.remove(client);
        }
    }
}
