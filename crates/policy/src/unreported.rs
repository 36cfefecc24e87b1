//! Work that an entry sent and that no report shows yet.

use std::time::{Duration, Instant};

use slotmap::SecondaryMap;

use crate::member::EndpointKey;

/// Longest time that sent work is kept without a report.
const RETENTION: Duration = Duration::from_secs(1);

/// What was sent lately, by endpoint.
#[derive(Debug, Default)]
pub struct Table {
    /// Work in the order of sending.
    rows: SecondaryMap<EndpointKey, Vec<Work>>,
}

/// Work sent at one time.
#[derive(Clone, Copy, Debug)]
struct Work {
    /// When.
    sent_at: Instant,
    /// Its tokens.
    tokens: u32,
}

/// Work that a report does not show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Total {
    /// Requests.
    pub requests: u32,
    /// Their tokens.
    pub tokens: u64,
}

impl Table {
    /// Notes work, and forgets what a report shows by now.
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

    /// What was sent after a report came.
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
