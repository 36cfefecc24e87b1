//! Endpoints as the platform lists them.
//!
//! The list drops an endpoint that has not been heard of for a while, also
//! when the list itself was the cause. So a removal that arrives around an
//! outage of the list, if that was long enough for an endpoint to lapse,
//! stands only once the endpoint had time to come back.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

/// Time that an endpoint has to be listed again after an outage of the list.
/// The platform states about two seconds.
pub const RELIST_GRACE_PERIOD: Duration = Duration::from_millis(2200);

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id, which is new with most of its starts.
    pub id: CompactString,
    /// When it started, in milliseconds of Unix time; tells two starts under
    /// one id apart.
    pub started_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it serves.
    pub service: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Which stage of a model request it takes, if it is an engine.
    pub phase: Option<Phase>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Which stage of a model request an engine takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads prompts.
    Prefill,
    /// Generates answers, and reads prompts at a lower speed.
    Decode,
}

/// The list as this host follows it.
#[derive(Debug)]
pub struct List {
    /// Rows by id.
    records: Map<CompactString, Record>,
    /// Shortest outage in which an endpoint lapses.
    entry_ttl: Duration,
    /// Until when removals wait.
    removals_held_until: Option<Instant>,
    /// When the list was last read.
    last_read: Option<Instant>,
}

/// One endpoint.
#[derive(Debug)]
struct Record {
    /// The endpoint.
    endpoint: Endpoint,
    /// When the list dropped it, if it did.
    removed_at: Option<Instant>,
}

impl List {
    /// An empty list, of which endpoints lapse in outages of such length.
    pub fn new(entry_ttl: Duration) -> Self {
        Self {
            records: Map::default(),
            entry_ttl,
            removals_held_until: None,
            last_read: None,
        }
    }

    /// Notes that the list was read.
    pub fn record_read(&mut self, now: Instant) {
        if self.is_outage(now) {
            self.removals_held_until = Some(now + RELIST_GRACE_PERIOD);
        }
        self.last_read = Some(now);
    }

    /// Whether the list has been out of reach for long enough for an endpoint
    /// to lapse.
    fn is_outage(&self, now: Instant) -> bool {
        let elapsed = |last_read| now.saturating_duration_since(last_read);
        self.last_read
            .is_some_and(|last_read| elapsed(last_read) >= self.entry_ttl)
    }

    /// Takes an entry.
    pub fn put(&mut self, endpoint: Endpoint) {
        let record = Record {
            endpoint,
            removed_at: None,
        };
        self.records.insert(record.endpoint.id.clone(), record);
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &str) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.removed_at.get_or_insert(now);
    }

    /// Takes a whole list: what it lacks is removed.
    pub fn replace(&mut self, now: Instant, endpoints: Vec<Endpoint>) {
        for record in self.records.values_mut() {
            record.removed_at.get_or_insert(now);
        }
        for endpoint in endpoints {
            self.put(endpoint);
        }
    }

    /// The endpoints that stand, once removals that waited long enough are
    /// carried out.
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

    /// The endpoints as they were last read, those whose removal waits left out.
    pub fn listed(&self) -> Vec<Endpoint> {
        let records = self
            .records
            .values()
            .filter(|record| record.removed_at.is_none());
        records.map(|record| record.endpoint.clone()).collect()
    }

    /// When removals that wait are carried out.
    pub fn removals_due(&self) -> Option<Instant> {
        self.removals_held_until
    }
}
