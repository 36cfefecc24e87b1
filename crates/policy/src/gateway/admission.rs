//! Decides which connections of callers a host keeps.
//!
//! Guards against crowds of callers that open connections and then send nothing, a part of a request, or
//! read no answer. A host that has no descriptors or no memory left serves nobody, so one of these
//! connections is closed for each that comes beyond the bound. A caller whose request is complete
//! is not closed for it, unless it does not read its answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slotmap::{new_key_type, SlotMap};

new_key_type! {
    /// Key of a connection.
    pub struct Key;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The head of a request is arriving.
    Head,
    /// The body of a request is arriving.
    Body,
    /// No request has begun to arrive.
    Idle,
    /// An answer cannot be written, as the caller does not read.
    Stalled,
    /// A complete request is being served.
    Serving,
}

/// Time for which an answer that is not read is kept while there is too little room. Covers the
/// loss of a packet and its repetition.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Time for which a body may arrive while there is too little memory. Covers one of usual size.
const MIN_BODY_TIME: Duration = Duration::from_millis(250);

/// The open connections of callers.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::admission::{Stage, Table};
/// let (mut table, now) = (Table::new(2), Instant::now());
/// let (first, _) = table.admit(now).unwrap();
/// let (second, _) = table.admit(now + Duration::from_millis(1)).unwrap();
/// table.set_stage(now, first, Stage::Serving);
/// let (third, evicted) = table.admit(now + Duration::from_millis(2)).unwrap();
/// assert_eq!(evicted, Some(second));
/// table.set_stage(now, third, Stage::Serving);
/// assert!(table.admit(now + Duration::from_millis(3)).is_none());
/// ```
#[derive(Debug)]
pub struct Table {
    max_connections: usize,
    connections: SlotMap<Key, (Stage, Instant)>,
    /// Connections of each stage, by the time since which they are in it.
    order: BTreeMap<Stage, BTreeSet<(Instant, Key)>>,
}

impl Table {
    /// Creates a table that holds at most a number of connections, at least one.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections: max_connections.max(1),
            connections: SlotMap::default(),
            order: BTreeMap::new(),
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection. Returns its key, and the connection that has to be closed for it, which
    /// is removed. Returns `None` if none may be closed.
    pub fn admit(&mut self, now: Instant) -> Option<(Key, Option<Key>)> {
        let evicted = if self.connections.len() < self.max_connections {
            None
        } else {
            let longest = |stage, time| self.longest_in(stage, now, time);
            let arriving = [Stage::Head, Stage::Body].map(|stage| longest(stage, Duration::ZERO));
            let victim = arriving.into_iter().flatten().min();
            let victim = victim.or_else(|| longest(Stage::Idle, Duration::ZERO));
            let victim = victim.or_else(|| longest(Stage::Stalled, MIN_STALL));
            Some(self.remove(victim?.1)?)
        };
        let key = self.connections.insert((Stage::Idle, now));
        self.insert(Stage::Idle, now, key);
        Some((key, evicted))
    }

    /// Removes the connection that has to be closed for memory that another request needs. Returns
    /// `None` if none may be closed.
    pub fn evict_for_memory(&mut self, now: Instant) -> Option<Key> {
        let body = self.longest_in(Stage::Body, now, MIN_BODY_TIME);
        let victim = body.or_else(|| self.longest_in(Stage::Stalled, now, MIN_STALL));
        self.remove(victim?.1)
    }

    /// Records what a connection does since a time. Has no effect on a removed one.
    pub fn set_stage(&mut self, now: Instant, key: Key, stage: Stage) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let (before, since) = *connection;
        if before == stage {
            return;
        }
        *connection = (stage, now);
        self.take(before, since, key);
        self.insert(stage, now, key);
    }

    /// Removes a connection. Returns its key if it was not removed before.
    pub fn remove(&mut self, key: Key) -> Option<Key> {
        let (stage, since) = self.connections.remove(key)?;
        self.take(stage, since, key);
        Some(key)
    }

    fn insert(&mut self, stage: Stage, since: Instant, key: Key) {
        self.order.entry(stage).or_default().insert((since, key));
    }

    fn take(&mut self, stage: Stage, since: Instant, key: Key) {
        if let Some(connections) = self.order.get_mut(&stage) {
            connections.remove(&(since, key));
        }
    }

    /// Returns the connection that has been in a stage for longest, if that is at least `time`, and
    /// since when.
    fn longest_in(&self, stage: Stage, now: Instant, time: Duration) -> Option<(Instant, Key)> {
        let (since, key) = self.order.get(&stage)?.first()?;
        (now >= *since + time).then_some((*since, *key))
    }
}
