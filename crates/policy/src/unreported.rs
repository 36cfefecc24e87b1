//! Work that an entry sent and that no report shows yet.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::member::EndpointKey;

/// Maximum time that work is counted without a newer report.
const RETENTION: Duration = Duration::from_secs(1);

/// Recently sent work by endpoint.
#[derive(Debug, Default)]
pub struct Table {
    /// Work in the order in which it was sent.
    rows: SecondaryMap<EndpointKey, Vec<Work>>,
}

/// One request that was sent.
#[derive(Clone, Copy, Debug)]
struct Work {
    sent_at: Instant,
    tokens: u32,
}

/// Total of the unreported work of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Number of requests.
    pub requests: u32,
    /// Sum of their prompt tokens: only the uncached ones at a prefill endpoint, all
    /// of them at a decode endpoint.
    pub tokens: u64,
}

impl Table {
    /// Records sent work, and forgets work that a report already shows.
    pub fn record(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        reported_at: Instant,
        tokens: u32,
    ) {
        let Some(row) = self.rows.entry(endpoint) else {
            return;
        };
        let row = row.or_default();
        row.retain(|work| work.sent_at > reported_at && now < work.sent_at + RETENTION);
        row.push(Work {
            sent_at: now,
            tokens,
        });
    }

    /// Sums the work that was sent after a report arrived.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::{member::EndpointKey, unreported::Table};
    /// let mut table = Table::default();
    /// let key = slotmap::KeyData::from_ffi(1 << 32 | 1).into();
    /// let now = Instant::now();
    /// let before = now - std::time::Duration::from_millis(5);
    /// table.record(now, key, before, 30);
    /// assert_eq!(table.since(key, before).tokens, 30);
    /// assert_eq!(table.since(key, now).requests, 0);
    /// ```
    pub fn since(&self, endpoint: EndpointKey, reported_at: Instant) -> Total {
        let Some(row) = self.rows.get(endpoint) else {
            return Total::default();
        };
        let mut total = Total::default();
        for work in row
            .iter()
            .rev()
            .take_while(|work| work.sent_at > reported_at)
        {
            total.requests += 1;
            total.tokens += u64::from(work.tokens);
        }
        total
    }
}
