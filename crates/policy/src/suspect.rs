//! Requests that crash the endpoints that run them.
//!
//! Each sidecar counts the crashes that it saw, so that counts from several
//! sidecars add up and the same count heard twice counts once. A request that
//! ran to its end after a crash is cleared of that crash.

use std::time::{Duration, Instant};

use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::message::Suspect;
use cranberryridge_wire::{Map, Set};

/// Crashes after which a request is barred.
pub const BARRING_CRASHES: u32 = 2;

/// How long a request stays suspect or barred after its last crash.
pub const RETENTION: Duration = Duration::from_secs(600);

/// How long a change is told to peers again and again, as reports get lost.
pub const GOSSIP_DURATION: Duration = Duration::from_secs(3);

/// Most changes told at once.
pub const MAX_CHANGES: usize = 64;

/// Most requests remembered.
pub const MAX_REQUESTS: usize = 4096;

/// Most sidecars counted for one request.
const MAX_ORIGINS: usize = 4;

/// Crashes by request digest.
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
    /// What is known of each request.
    rows: Map<Digest, Row>,
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct Row {
    /// Crashes by the sidecar that saw them.
    counts: Vec<Count>,
    /// When the last one was.
    last_crash: Instant,
    /// When the row last changed.
    changed_at: Instant,
}

/// Crashes that one sidecar saw.
#[derive(Clone, Copy, Debug)]
struct Count {
    /// The sidecar.
    origin: Incarnation,
    /// Crashes.
    crashes: u32,
    /// Those that the request was cleared of.
    cleared: u32,
}

impl Row {
    /// Crashes that count.
    fn uncleared_crashes(&self) -> u32 {
        let counts = self.counts.iter();
        counts
            .map(|count| count.crashes.saturating_sub(count.cleared))
            .sum()
    }

    /// Whether the request must not run.
    fn is_barred(&self, now: Instant) -> bool {
        self.uncleared_crashes() >= BARRING_CRASHES && now < self.last_crash + RETENTION
    }
}

impl Table {
    /// Counts a crash of an endpoint that ran the request.
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

    /// Notes that a request ran to its end: the crashes so far were not its.
    /// One that is barred stays so.
    pub fn record_success(&mut self, now: Instant, digest: Digest) {
        let Some(row) = self.rows.get_mut(&digest) else {
            return;
        };
        if row.is_barred(now) || row.uncleared_crashes() == 0 {
            return;
        }
        for count in &mut row.counts {
            count.cleared = count.crashes;
        }
        row.changed_at = now;
    }

    /// Takes what a peer knows. Returns whether it was news.
    pub fn merge_peer(&mut self, now: Instant, suspect: &Suspect) -> bool {
        let last_crash = now.checked_sub(suspect.age.into()).unwrap_or(now);
        let count = Count {
            origin: suspect.origin,
            crashes: suspect.crashes,
            cleared: suspect.cleared.min(suspect.crashes),
        };
        self.merge(now, last_crash, suspect.digest, count)
    }

    /// Whether a request must not run.
    pub fn is_barred(&self, now: Instant, digest: Digest) -> bool {
        let row = self.rows.get(&digest);
        row.is_some_and(|row| row.is_barred(now))
    }

    /// Every request that must not run.
    pub fn barred(&self, now: Instant) -> Set<Digest> {
        let rows = self.rows.iter().filter(|(_, row)| row.is_barred(now));
        rows.map(|(digest, _)| *digest).collect()
    }

    /// What changed lately.
    pub fn recent_changes(&self, now: Instant) -> Vec<Suspect> {
        let is_recent = |row: &Row| now < row.changed_at + GOSSIP_DURATION;
        self.collect_suspects(now, |row| is_recent(row), MAX_CHANGES)
    }

    /// All that is known, for a peer that is new.
    pub fn all(&self, now: Instant) -> Vec<Suspect> {
        self.collect_suspects(now, |row| now < row.last_crash + RETENTION, MAX_REQUESTS)
    }

    /// Messages for some rows.
    fn collect_suspects(
        &self,
        now: Instant,
        filter: impl Fn(&Row) -> bool,
        limit: usize,
    ) -> Vec<Suspect> {
        let rows = self.rows.iter().filter(|(_, row)| filter(row));
        let suspects = rows.flat_map(|(digest, row)| {
            row.counts.iter().map(move |count| Suspect {
                digest: *digest,
                origin: count.origin,
                crashes: count.crashes,
                cleared: count.cleared,
                age: now.saturating_duration_since(row.last_crash).into(),
            })
        });
        suspects.take(limit).collect()
    }

    /// Takes a count; the higher of two by the same sidecar stands.
    fn merge(&mut self, now: Instant, last_crash: Instant, digest: Digest, count: Count) -> bool {
        if !self.rows.contains_key(&digest) {
            if now >= last_crash + RETENTION {
                return false;
            }
            self.evict(now);
        }
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
                return false;
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

    /// Forgets what is over, and if need be the oldest row, the barred last.
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
