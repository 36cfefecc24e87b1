//! Claims of idempotency keys: the first one in the log's order counts.
//!
//! A key chosen by a caller begins with the log's end at the time the key was made, so
//! every claim of the key lies at or after that position. The table knows every first
//! claim from some offset on. It refuses keys from before that offset, because an
//! earlier claim of them may be forgotten.

use std::collections::VecDeque;

use compact_str::CompactString;

use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::record::Batch;
use cranberryridge_wire::Map;

/// Maximum number of claims in a daemon's table.
pub const MAX_CLAIMS: usize = 131_072;

/// First claims by key digest.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::claim::{Lookup, Table};
/// use cranberryridge_wire::id::Digest;
/// let mut table = Table::new(10);
/// assert_eq!(table.lookup(Digest([1, 2]), 0), Lookup::Free);
/// table.trim(5);
/// assert_eq!(table.lookup(Digest([1, 2]), 0), Lookup::Expired);
/// assert_eq!(table.lookup(Digest([1, 2]), 5), Lookup::Free);
/// assert_eq!(table.lookup(Digest([1, 2]), 6), Lookup::Ahead);
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    rows: Map<Digest, Row>,
    /// Keys of `rows`, in the log's order of their claims.
    order: VecDeque<Digest>,
    /// Offset from which on every first claim is known.
    known_from: u64,
    /// Offset after the last record read.
    end: u64,
    /// Maximum number of rows; the oldest claims are evicted.
    max_claims: usize,
}

/// The first known claim of a key.
#[derive(Clone, Debug)]
struct Row {
    winner: Winner,
    /// The table's `known_from` when the claim was read; an earlier claim may lie before it.
    known_from: u64,
}

/// The claim that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Offset of the claim's record in the log.
    pub offset: u64,
    /// Request that made the claim.
    pub request: Request,
    /// Name of the sidecar that runs the key's call.
    pub sidecar: CompactString,
    /// Incarnation of that sidecar at the time of the claim.
    pub incarnation: Incarnation,
}

/// Result of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key was claimed.
    Won(Winner),
    /// The log has no claim of the key up to the table's end.
    Free,
    /// The key is older than the known claims.
    Expired,
    /// The key is newer than the last record read.
    Ahead,
}

impl Table {
    /// Creates a table that holds at most `max_claims` claims.
    pub fn new(max_claims: usize) -> Self {
        Self {
            rows: Map::default(),
            order: VecDeque::new(),
            known_from: 0,
            end: 0,
            max_claims,
        }
    }

    /// Offset after the last record read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Number of claims in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds the claims of the record at an offset; only the first claim of a key counts.
    pub fn apply(&mut self, offset: u64, batch: &Batch) {
        if offset < self.end {
            return;
        }
        for claim in &batch.claims {
            if self.rows.contains_key(&claim.key) {
                continue;
            }
            let winner = Winner {
                offset,
                request: claim.request,
                sidecar: claim.sidecar.clone(),
                incarnation: claim.incarnation,
            };
            let known_from = self.known_from;
            self.rows.insert(claim.key, Row { winner, known_from });
            self.order.push_back(claim.key);
        }
        self.advance(offset + 1);
        self.evict();
    }

    /// Records that the log was read up to an offset.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Records that the log now begins at an offset.
    pub fn trim(&mut self, first: u64) {
        if first <= self.end {
            return;
        }
        // Claims between the last record read and the first kept are unknown.
        self.rows.clear();
        self.order.clear();
        self.known_from = first;
        self.end = first;
    }

    /// Looks up a key that was made at a log position.
    pub fn lookup(&self, key: Digest, position: u64) -> Lookup {
        if let Some(row) = self.rows.get(&key) {
            let is_first = row.known_from <= position;
            return if is_first {
                Lookup::Won(row.winner.clone())
            } else {
                Lookup::Expired
            };
        }
        if position < self.known_from {
            return Lookup::Expired;
        }
        if position > self.end {
            return Lookup::Ahead;
        }
        Lookup::Free
    }

    /// Evicts the oldest claims above the limit and moves `known_from` past them.
    fn evict(&mut self) {
        while self.rows.len() > self.max_claims {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(row) = self.rows.remove(&oldest) {
                self.known_from = self.known_from.max(row.winner.offset + 1);
            }
        }
    }
}

/// Parses the log position at the start of a chosen key, before its first dot.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::claim::parse_position;
/// assert_eq!(parse_position("4711.f3a9"), Some(4711));
/// assert_eq!(parse_position("f3a9"), None);
/// ```
pub fn parse_position(key: &str) -> Option<u64> {
    let (position, rest) = key.split_once('.')?;
    let digits = position.bytes().all(|byte| byte.is_ascii_digit());
    (digits && !rest.is_empty()).then(|| position.parse().ok())?
}
