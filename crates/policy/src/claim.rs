//! Which claim of an idempotency key counts: the first in the log's order.
//!
//! A chosen key begins with a log position that was the log's end when the
//! key was made, so every claim of it lies at or behind that position. The
//! table knows each first claim from some offset on; a key from before it is
//! refused, because an earlier claim may be forgotten.

use std::collections::VecDeque;

use compact_str::CompactString;

use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::record::Batch;
use cranberryridge_wire::Map;

/// Most claims that a table holds.
pub const MAX_CLAIMS: usize = 131_072;

/// First claims by key.
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
    /// First claims.
    rows: Map<Digest, Row>,
    /// The same keys in order of their claims.
    order: VecDeque<Digest>,
    /// Every first claim from this offset on is known.
    known_from: u64,
    /// Offset behind the last record read.
    end: u64,
    /// Most rows.
    max_claims: usize,
}

/// A first claim, as far as is known.
#[derive(Clone, Debug)]
struct Row {
    /// The claim.
    winner: Winner,
    /// The table's start when it was read: an earlier claim may lie before.
    known_from: u64,
}

/// The claim that counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Where it is in the log.
    pub offset: u64,
    /// The request that made it.
    pub request: Request,
    /// The sidecar that it names.
    pub sidecar: CompactString,
    /// That sidecar's incarnation.
    pub incarnation: Incarnation,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// It was claimed.
    Won(Winner),
    /// No claim of it is in the log up to the table's end.
    Free,
    /// It is older than what is known.
    Expired,
    /// It is newer than what was read.
    Ahead,
}

impl Table {
    /// A table of at most so many rows.
    pub fn new(max_claims: usize) -> Self {
        Self {
            rows: Map::default(),
            order: VecDeque::new(),
            known_from: 0,
            end: 0,
            max_claims,
        }
    }

    /// Offset behind the last record read.
    pub fn end(&self) -> u64 {
        self.end
    }

    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Takes the claims of one record; only the first of a key counts.
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

    /// Notes that the log was read up to an offset.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
    }

    /// Notes that records before an offset cannot be read any more.
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

    /// What is known of a key that was made at a position.
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

    /// Forgets the oldest claims over the limit, and what is as old.
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

/// The log position that a chosen key begins with, before its first dot.
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
