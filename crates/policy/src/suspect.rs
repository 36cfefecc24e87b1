//! Requests that crash the endpoints that run them.
//!
//! Each origin counts crashes by itself. Counts of several origins therefore add up, and a
//! count received twice counts once. A request that runs to its end after a crash is
//! cleared of that crash.
//!
//! Sidecars know their callers, whose name is part of the digest, and are an origin each.
//! Gateways know only the addresses that requests come from. Their digests are of the
//! request alone, and the origin is the address: a request is barred for one address, or
//! for all once it has crashed endpoints for several.

use std::time::{Duration, Instant};

use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::message::Suspect;
use cranberryridge_wire::{Map, Set};

/// Number of crashes after which a request is barred.
pub const BARRING_CRASHES: u32 = 2;

/// Number of crashes after which a request is barred for all callers, whichever of them
/// sent it.
pub const SHARED_BARRING_CRASHES: u32 = 3;

/// Time after its last crash during which a request stays suspect or barred.
pub const RETENTION: Duration = Duration::from_secs(600);

/// How long a change is repeated in reports, because reports can get lost.
pub const GOSSIP_DURATION: Duration = Duration::from_secs(3);

/// Maximum number of changes in one report.
pub const MAX_CHANGES: usize = 64;

/// Maximum number of requests in a table.
pub const MAX_REQUESTS: usize = 4096;

/// Maximum number of origins whose counts are kept for one request.
const MAX_ORIGINS: usize = 4;

/// Crash counts by request digest.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cranberryridge_policy::suspect::Table;
/// use cranberryridge_wire::id::{Digest, Incarnation};
/// let (mut table, now, digest) = (Table::default(), Instant::now(), Digest([1, 2]));
/// table.record_crash(now, Incarnation(1), digest);
/// assert!(!table.is_barred(now, digest));
/// table.record_crash(now, Incarnation(2), digest);
/// assert!(table.is_barred(now, digest));
/// ```
#[derive(Debug, Default)]
pub struct Table {
    rows: Map<Digest, Row>,
    /// Time of the last crash of any request.
    last_crash: Option<Instant>,
}

/// Crash counts of one request.
#[derive(Clone, Debug)]
struct Row {
    /// Counts of each origin.
    counts: Vec<Count>,
    /// Time of the last crash.
    last_crash: Instant,
    changed_at: Instant,
}

/// Crashes counted by one origin.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// Incarnation of the sidecar, or number of the caller's address.
    origin: Incarnation,
    crashes: u32,
    /// Crashes of which the request was cleared.
    cleared: u32,
}

impl Count {
    /// Number of crashes of which the request was not cleared.
    fn uncleared_crashes(&self) -> u32 {
        self.crashes.saturating_sub(self.cleared)
    }
}

impl Row {
    /// Number of crashes of which the request was not cleared, over all origins.
    fn uncleared_crashes(&self) -> u32 {
        self.counts.iter().map(Count::uncleared_crashes).sum()
    }

    /// Whether the request must not run for a caller's address.
    fn is_barred_for(&self, now: Instant, origin: Incarnation) -> bool {
        let mut own = self.counts.iter().filter(|count| count.origin == origin);
        let is_dangerous = own.any(|count| count.uncleared_crashes() >= BARRING_CRASHES)
            || self.uncleared_crashes() >= SHARED_BARRING_CRASHES;
        is_dangerous && now < self.last_crash + RETENTION
    }

    /// Messages with the counts.
    fn suspects(&self, now: Instant, digest: Digest) -> impl Iterator<Item = Suspect> + '_ {
        let age = now.saturating_duration_since(self.last_crash);
        self.counts.iter().map(move |count| Suspect {
            digest,
            origin: count.origin,
            crashes: count.crashes,
            cleared: count.cleared,
            age: age.into(),
        })
    }

    /// Whether the request must not run.
    fn is_barred(&self, now: Instant) -> bool {
        self.uncleared_crashes() >= BARRING_CRASHES && now < self.last_crash + RETENTION
    }
}

impl Table {
    /// Counts a crash of an endpoint that was running the request.
    pub fn record_crash(&mut self, now: Instant, origin: Incarnation, digest: Digest) {
        let crashes = self.rows.get(&digest).and_then(|row| {
            let count = row.counts.iter().find(|count| count.origin == origin)?;
            Some((count.crashes, count.cleared))
        });
        let (crashes, cleared) = crashes.unwrap_or_default();
        let count = Count {
            origin,
            crashes: crashes + 1,
            cleared,
        };
        self.merge(now, now, digest, count);
    }

    /// Counts a crash for a request that arrived at `arrival`, unless an earlier crash was
    /// counted since. Returns whether it counts.
    ///
    /// Equal requests that run side by side when several endpoints crash count once, and
    /// only a request that comes again after a crash counts again.
    pub fn record_repeated_crash(
        &mut self,
        now: Instant,
        arrival: Instant,
        origin: Incarnation,
        digest: Digest,
    ) -> bool {
        let row = self.rows.get(&digest);
        if row.is_some_and(|row| arrival <= row.last_crash) {
            return false;
        }
        self.record_crash(now, origin, digest);
        true
    }

    /// Records that a request ran to its end, so it did not cause the crashes so far. A
    /// barred request stays barred. Returns whether this changed the table.
    pub fn record_success(&mut self, now: Instant, digest: Digest) -> bool {
        let Some(row) = self.rows.get_mut(&digest) else {
            return false;
        };
        if row.is_barred(now) || row.uncleared_crashes() == 0 {
            return false;
        }
        for count in &mut row.counts {
            count.cleared = count.crashes;
        }
        row.changed_at = now;
        true
    }

    /// Records that a request ran to its end for a caller's address, so that address's
    /// request did not cause the crashes counted for it. If it is barred, it stays so.
    /// Returns whether this changed the table.
    pub fn record_caller_success(
        &mut self,
        now: Instant,
        origin: Incarnation,
        digest: Digest,
    ) -> bool {
        let Some(row) = self.rows.get_mut(&digest) else {
            return false;
        };
        if row.is_barred_for(now, origin) {
            return false;
        }
        let mut own = row.counts.iter_mut().filter(|count| count.origin == origin);
        let Some(count) = own.find(|count| count.uncleared_crashes() > 0) else {
            return false;
        };
        count.cleared = count.crashes;
        row.changed_at = now;
        true
    }

    /// Merges a count from a peer. Returns whether it changed the table.
    pub fn merge_peer(&mut self, now: Instant, suspect: &Suspect) -> bool {
        let last_crash = now.checked_sub(suspect.age.into()).unwrap_or(now);
        let count = Count {
            origin: suspect.origin,
            crashes: suspect.crashes,
            cleared: suspect.cleared.min(suspect.crashes),
        };
        self.merge(now, last_crash, suspect.digest, count)
    }

    /// Whether all requests in the table have expired.
    pub fn is_empty(&self, now: Instant) -> bool {
        self.last_crash.is_none_or(|at| now >= at + RETENTION)
    }

    /// Returns the number of crashes of which a request was not cleared, over all origins.
    pub fn crash_count(&self, now: Instant, digest: Digest) -> u32 {
        let row = self.rows.get(&digest);
        let row = row.filter(|row| now < row.last_crash + RETENTION);
        row.map_or(0, Row::uncleared_crashes)
    }

    /// Whether a request must not run.
    pub fn is_barred(&self, now: Instant, digest: Digest) -> bool {
        let row = self.rows.get(&digest);
        row.is_some_and(|row| row.is_barred(now))
    }

    /// Returns the time for which a request must not run for a caller's address, or `None`
    /// if it may.
    pub fn barred_time(
        &self,
        now: Instant,
        origin: Incarnation,
        digest: Digest,
    ) -> Option<Duration> {
        let row = self.rows.get(&digest);
        let row = row.filter(|row| row.is_barred_for(now, origin))?;
        Some((row.last_crash + RETENTION).saturating_duration_since(now))
    }

    /// All requests that must not run.
    pub fn barred(&self, now: Instant) -> Set<Digest> {
        let rows = self.rows.iter().filter(|(_, row)| row.is_barred(now));
        rows.map(|(digest, _)| *digest).collect()
    }

    /// The counts of one request.
    pub fn counts(&self, now: Instant, digest: Digest) -> Vec<Suspect> {
        let row = self.rows.get_key_value(&digest);
        row.into_iter()
            .flat_map(|(digest, row)| row.suspects(now, *digest))
            .collect()
    }

    /// Recent changes, for the next report.
    pub fn recent_changes(&self, now: Instant) -> Vec<Suspect> {
        let is_recent = |row: &Row| now < row.changed_at + GOSSIP_DURATION;
        self.collect_suspects(now, |row| is_recent(row), MAX_CHANGES)
    }

    /// All counts that have not expired, for a peer that just connected.
    pub fn all(&self, now: Instant) -> Vec<Suspect> {
        self.collect_suspects(now, |row| now < row.last_crash + RETENTION, MAX_REQUESTS)
    }

    /// Messages for the rows that pass a filter.
    fn collect_suspects(
        &self,
        now: Instant,
        filter: impl Fn(&Row) -> bool,
        limit: usize,
    ) -> Vec<Suspect> {
        let rows = self.rows.iter().filter(|(_, row)| filter(row));
        let suspects = rows.flat_map(|(digest, row)| row.suspects(now, *digest));
        suspects.take(limit).collect()
    }

    /// Merges a count. Of two counts by the same origin the higher one wins.
    fn merge(&mut self, now: Instant, last_crash: Instant, digest: Digest, count: Count) -> bool {
        if !self.rows.contains_key(&digest) {
            if now >= last_crash + RETENTION {
                return false;
            }
            self.evict(now);
        }
        self.last_crash = self.last_crash.max(Some(last_crash));
        let row = self.rows.entry(digest).or_insert(Row {
            counts: Vec::new(),
            last_crash,
            changed_at: now,
        });
        let known = row
            .counts
            .iter_mut()
            .find(|known| known.origin == count.origin);
        let Some(known) = known else {
            if row.counts.len() >= MAX_ORIGINS {
                // A cleared count no longer matters.
                let cleared = row.counts.iter().position(|c| c.uncleared_crashes() == 0);
                let Some(cleared) = cleared else { return false };
                row.counts.swap_remove(cleared);
            }
            row.counts.push(count);
            row.last_crash = row.last_crash.max(last_crash);
            row.changed_at = now;
            return true;
        };
        if count.crashes <= known.crashes && count.cleared <= known.cleared {
            return false;
        }
        if count.crashes > known.crashes {
            row.last_crash = row.last_crash.max(last_crash);
        }
        known.crashes = known.crashes.max(count.crashes);
        known.cleared = known.cleared.max(count.cleared);
        row.changed_at = now;
        true
    }

    /// Removes expired rows and, if the table is still full, the oldest row, preferring
    /// one that is not barred.
    fn evict(&mut self, now: Instant) {
        if self.rows.len() < MAX_REQUESTS {
            return;
        }
        self.rows.retain(|_, row| now < row.last_crash + RETENTION);
        if self.rows.len() < MAX_REQUESTS {
            return;
        }
        let oldest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.is_barred(now), row.last_crash))
            .map(|(digest, _)| *digest);
        oldest.and_then(|oldest| self.rows.remove(&oldest));
    }
}
