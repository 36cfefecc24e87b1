//! Endpoints as listed by the platform.
//!
//! The list drops an endpoint whose heartbeats stop arriving, even if the list
//! itself was unreachable. Therefore removals around an outage long enough for
//! endpoints to expire are held until the endpoints had time to be listed
//! again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

/// Time for endpoints to be listed again after an outage of the list. The
/// platform specifies about two seconds.
pub const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2200);

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint. Most restarts change it.
    pub id: CompactString,
    /// Start time in milliseconds since the Unix epoch. Tells apart two starts
    /// with the same id.
    pub started_ms: u64,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Name of the service that the endpoint serves.
    pub service: CompactString,
    /// Failure domain of the endpoint.
    pub domain: CompactString,
    /// Stage that the endpoint takes, or `None` if it is no engine.
    pub phase: Option<Phase>,
    /// Number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint is shutting down and accepts no new requests.
    pub draining: bool,
}

/// Stage of a model request that an engine takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The engine reads prompts.
    Prefill,
    /// The engine generates answers. It can also read prompts, at a lower
    /// speed.
    Decode,
}

/// A local copy of the list.
#[derive(Debug)]
pub struct List {
    records: Map<CompactString, Record>,
    /// Shortest outage in which an endpoint expires.
    entry_ttl: Duration,
    /// Time until which removals are held, or `None` if they are not held.
    removals_held_until: Option<Instant>,
    last_read: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    endpoint: Endpoint,
    /// Time of the removal from the list, or `None` while listed.
    removed_at: Option<Instant>,
}

impl List {
    /// Creates an empty list, whose endpoints expire in outages of `entry_ttl`
    /// or longer.
    pub fn new(entry_ttl: Duration) -> Self {
        Self {
            records: Map::default(),
            entry_ttl,
            removals_held_until: None,
            last_read: None,
        }
    }

    /// Records a successful read. After an outage, starts to hold removals.
    pub fn record_read(&mut self, now: Instant) {
        if self.is_outage(now) {
            self.removals_held_until = Some(now + RELIST_GRACE_PERIOD);
        }
        self.last_read = Some(now);
    }

    /// Returns whether the list has been unreachable long enough for endpoints
    /// to expire.
    fn is_outage(&self, now: Instant) -> bool {
        let elapsed = |last_read| now.saturating_duration_since(last_read);
        self.last_read
            .is_some_and(|last_read| elapsed(last_read) >= self.entry_ttl)
    }

    /// Adds or replaces an endpoint.
    pub fn put(&mut self, endpoint: Endpoint) {
        let record = Record {
            endpoint,
            removed_at: None,
        };
        self.records.insert(record.endpoint.id.clone(), record);
    }

    /// Marks an endpoint as removed.
    pub fn remove(&mut self, now: Instant, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.removed_at.get_or_insert(now);
    }

    /// Replaces all endpoints. Those missing from the new list are marked as
    /// removed.
    pub fn replace(&mut self, now: Instant, endpoints: Vec<Endpoint>) {
        for record in self.records.values_mut() {
            record.removed_at.get_or_insert(now);
        }
        for endpoint in endpoints {
            self.put(endpoint);
        }
    }

    /// Drops the removed endpoints, except those whose removal is held, and
    /// returns the rest. Removals of draining endpoints are never held.
    pub fn current(&mut self, now: Instant) -> Vec<Endpoint> {
        if self.removals_held_until.is_some_and(|until| until <= now) {
            self.removals_held_until = None;
        }
        let is_held = self.is_outage(now) || self.removals_held_until.is_some();
        self.records.retain(|_, record| {
            record.removed_at.is_none() || (is_held && !record.endpoint.draining)
        });
        let records = self.records.values();
        records.map(|record| record.endpoint.clone()).collect()
    }

    /// Returns the listed endpoints, without those whose removal is held.
    pub fn listed(&self) -> Vec<Endpoint> {
        let records = self
            .records
            .values()
            .filter(|record| record.removed_at.is_none());
        records.map(|record| record.endpoint.clone()).collect()
    }

    /// Returns the end of the grace period after an outage, when held removals take
    /// effect. `None` if no grace period has begun since the last one ended.
    pub fn removals_due(&self) -> Option<Instant> {
        self.removals_held_until
    }
}
