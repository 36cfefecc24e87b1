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
pub const RETURN: Duration = Duration::from_millis(2200);

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id, which is new with most of its starts.
    pub id: CompactString,
    /// When it started, in milliseconds of Unix time; tells two starts under
    /// one id apart.
    pub born: u64,
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
    rows: Map<CompactString, Row>,
    /// Shortest outage in which an endpoint lapses.
    lapse: Duration,
    /// Until when removals wait.
    wait: Option<Instant>,
    /// When the list was last read.
    read: Option<Instant>,
}

/// One endpoint.
#[derive(Debug)]
struct Row {
    /// The endpoint.
    endpoint: Endpoint,
    /// When the list dropped it, if it did.
    removed: Option<Instant>,
}

impl List {
    /// An empty list, of which endpoints lapse in outages of such length.
    pub fn new(lapse: Duration) -> Self {
        Self {
            rows: Map::default(),
            lapse,
            wait: None,
            read: None,
        }
    }

    /// Notes that the list was read.
    pub fn read(&mut self, now: Instant) {
        if self.is_outage(now) {
            self.wait = Some(now + RETURN);
        }
        self.read = Some(now);
    }

    /// Whether the list has been out of reach for long enough for an endpoint
    /// to lapse.
    fn is_outage(&self, now: Instant) -> bool {
        let since = |read| now.saturating_duration_since(read);
        self.read.is_some_and(|read| since(read) >= self.lapse)
    }

    /// Takes an entry.
    pub fn put(&mut self, endpoint: Endpoint) {
        let row = Row {
            endpoint,
            removed: None,
        };
        self.rows.insert(row.endpoint.id.clone(), row);
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Instant, id: &str) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        row.removed.get_or_insert(now);
    }

    /// Takes a whole list: what it lacks is removed.
    pub fn replace(&mut self, now: Instant, endpoints: Vec<Endpoint>) {
        for row in self.rows.values_mut() {
            row.removed.get_or_insert(now);
        }
        for endpoint in endpoints {
            self.put(endpoint);
        }
    }

    /// The endpoints that stand, once removals that waited long enough are
    /// carried out.
    pub fn standing(&mut self, now: Instant) -> Vec<Endpoint> {
        if self.wait.is_some_and(|wait| wait <= now) {
            self.wait = None;
        }
        let wait = self.is_outage(now) || self.wait.is_some();
        self.rows
            .retain(|_, row| row.removed.is_none() || (wait && !row.endpoint.draining));
        let rows = self.rows.values();
        rows.map(|row| row.endpoint.clone()).collect()
    }

    /// The endpoints as they were last read, those whose removal waits left out.
    pub fn listed(&self) -> Vec<Endpoint> {
        let rows = self.rows.values().filter(|row| row.removed.is_none());
        rows.map(|row| row.endpoint.clone()).collect()
    }

    /// When removals that wait are carried out.
    pub fn due(&self) -> Option<Instant> {
        self.wait
    }
}
