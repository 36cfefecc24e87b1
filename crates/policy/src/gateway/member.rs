//! Endpoints as listed by the platform.
//!
//! The list drops an endpoint whose heartbeats stop arriving, even if the list
//! itself was unreachable. Therefore removals around an outage long enough for
//! endpoints to expire are held until the endpoints had time to be listed
//! again.
//!
//! The platform's store may come back from an older copy. An endpoint that was
//! known to leave or to be gone is then not used only because the copy still
//! lists it, and one that the copy lacks has time to be listed again.

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
    /// Version of the endpoint's software, empty if it names none.
    pub version: CompactString,
    /// Stage that the endpoint takes, or `None` if it is no engine.
    pub phase: Option<Phase>,
    /// Number of requests that the endpoint runs at once.
    pub slots: u32,
    /// Whether the endpoint is shutting down and accepts no new requests.
    pub draining: bool,
}

impl Endpoint {
    /// Returns whether another endpoint has taken the address of this one, which has
    /// therefore ended. A later start with the same id is none: what was sent to the id may
    /// have run in either.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::member::Endpoint;
    /// let endpoint = Endpoint {
    ///     id: "i-1".into(),
    ///     started_ms: 1000,
    ///     address: "10.0.0.3:80".parse().unwrap(),
    ///     service: "model".into(),
    ///     domain: "a".into(),
    ///     version: "v1".into(),
    ///     phase: None,
    ///     slots: 8,
    ///     draining: false,
    /// };
    /// let successor = Endpoint { id: "i-2".into(), started_ms: 2000, ..endpoint.clone() };
    /// assert!(endpoint.is_succeeded_by(&successor));
    /// assert!(!successor.is_succeeded_by(&endpoint));
    /// ```
    pub fn is_succeeded_by(&self, other: &Self) -> bool {
        other.id != self.id && other.address == self.address && other.started_ms > self.started_ms
    }

    /// Returns whether a request that needs a software version may use the endpoint. With
    /// `None`, any version will do.
    pub fn has_version(&self, version: Option<&str>) -> bool {
        version.is_none_or(|version| self.version == version)
    }
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
    /// Time until which the list may contain entries of an older copy whose
    /// endpoints are gone, or `None` if it does not.
    stale_until: Option<Instant>,
    /// Endpoints that were removed recently, by id.
    departed: Map<CompactString, Departure>,
    last_read: Option<Instant>,
}

#[derive(Debug)]
struct Record {
    endpoint: Endpoint,
    /// Time of the removal from the list, or `None` while listed.
    removed_at: Option<Instant>,
    /// Time until which the entry may be a stale one of an endpoint that is
    /// gone, or `None` if it is valid.
    withheld_until: Option<Instant>,
}

/// An endpoint that was removed.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started_ms: u64,
    /// Whether it was draining.
    draining: bool,
    removed_at: Instant,
}

/// What is known of one start of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Start {
    started_ms: u64,
    draining: bool,
    is_gone: bool,
}

/// Time after which a copy of the store no longer lists a removed endpoint.
/// Copies are some seconds old.
const DEPARTURE_TTL: Duration = Duration::from_secs(60);

/// Number of departures that are kept. Older ones are forgotten first.
const MAX_DEPARTURES: usize = 4096;

/// Time after a return from an older copy in which a stale entry expires, as a
/// multiple of the shortest outage in which one expires.
const STALE_TTL_MULTIPLE: u32 = 2;

impl List {
    /// Creates an empty list, whose endpoints expire in outages of `entry_ttl`
    /// or longer.
    pub fn new(entry_ttl: Duration) -> Self {
        Self {
            records: Map::default(),
            entry_ttl,
            removals_held_until: None,
            stale_until: None,
            departed: Map::default(),
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

    /// Prepares for entries from an older copy of the store. Holds removals, as
    /// the copy may lack new endpoints, and withholds entries of endpoints that
    /// are gone until their next record or until a stale entry has expired.
    pub fn begin_era(&mut self, now: Instant) {
        self.removals_held_until = Some(now + RELIST_GRACE_PERIOD);
        self.stale_until = Some(now + self.entry_ttl * STALE_TTL_MULTIPLE);
    }

    /// Returns whether a reading that began at `read_at` lists all endpoints that run. After an
    /// outage, or in an older copy of the store, some are listed again only after a time.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::gateway::member::{List, RELIST_GRACE_PERIOD};
    /// let (mut list, now) = (List::new(Duration::from_secs(2)), Instant::now());
    /// assert!(list.is_complete(now));
    /// list.begin_era(now);
    /// assert!(!list.is_complete(now));
    /// assert!(list.is_complete(now + RELIST_GRACE_PERIOD));
    /// ```
    pub fn is_complete(&self, read_at: Instant) -> bool {
        let held_until = self.removals_held_until;
        held_until.is_none_or(|until| until <= read_at)
    }

    /// Adds or replaces an endpoint that has written its entry.
    pub fn put(&mut self, endpoint: Endpoint) {
        self.insert(endpoint, None);
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
        let stale_until = self.stale_until.filter(|until| *until > now);
        let endpoints = endpoints.into_iter();
        let endpoints = endpoints
            .filter(|endpoint| stale_until.is_none() || !self.has_restarted_since(endpoint));
        let endpoints = endpoints.map(|endpoint| {
            let withheld_until = stale_until.filter(|_| self.is_gone(&endpoint));
            (endpoint, withheld_until)
        });
        let endpoints = endpoints.collect::<Vec<_>>();
        for record in self.records.values_mut() {
            record.removed_at.get_or_insert(now);
        }
        for (endpoint, withheld_until) in endpoints {
            self.insert(endpoint, withheld_until);
        }
    }

    /// Returns whether a later start of the endpoint is known.
    fn has_restarted_since(&self, endpoint: &Endpoint) -> bool {
        let mut starts = self.known_starts(&endpoint.id);
        starts.any(|start| start.started_ms > endpoint.started_ms)
    }

    /// Returns whether this start of the endpoint is known to be gone.
    fn is_gone(&self, endpoint: &Endpoint) -> bool {
        let mut starts = self.known_starts(&endpoint.id);
        starts.any(|start| start.started_ms == endpoint.started_ms && start.is_gone)
    }

    /// Returns whether this start of the endpoint is known to be draining.
    fn is_draining(&self, endpoint: &Endpoint) -> bool {
        let mut starts = self.known_starts(&endpoint.id);
        starts.any(|start| start.started_ms == endpoint.started_ms && start.draining)
    }

    /// Returns the starts of an endpoint that are known from its entry and its
    /// departure.
    fn known_starts(&self, id: &str) -> impl Iterator<Item = Start> {
        let listed = self.records.get(id).map(|record| Start {
            started_ms: record.endpoint.started_ms,
            draining: record.endpoint.draining,
            is_gone: record.removed_at.is_some() || record.withheld_until.is_some(),
        });
        let departed = self.departed.get(id).map(|departure| Start {
            started_ms: departure.started_ms,
            draining: departure.draining,
            is_gone: true,
        });
        listed.into_iter().chain(departed)
    }

    /// Adds or replaces an endpoint. One that was draining stays so until it
    /// restarts. The entry of an earlier start does not make the departure of
    /// a later one forgotten, as a copy may list that one again.
    fn insert(&mut self, mut endpoint: Endpoint, withheld_until: Option<Instant>) {
        endpoint.draining |= self.is_draining(&endpoint);
        if withheld_until.is_none() && !endpoint.draining {
            let departure = self.departed.get(&endpoint.id);
            if departure.is_some_and(|departure| departure.started_ms <= endpoint.started_ms) {
                self.departed.remove(&endpoint.id);
            }
        }
        let record = Record {
            endpoint,
            removed_at: None,
            withheld_until,
        };
        self.records.insert(record.endpoint.id.clone(), record);
    }

    /// Drops the removed endpoints, except those whose removal is held, and
    /// returns the rest without withheld ones. Removals of draining endpoints
    /// are never held.
    pub fn current(&mut self, now: Instant) -> Vec<Endpoint> {
        if self.removals_held_until.is_some_and(|until| until <= now) {
            self.removals_held_until = None;
        }
        if self.stale_until.is_some_and(|until| until <= now) {
            self.stale_until = None;
        }
        let is_held = self.is_outage(now) || self.removals_held_until.is_some();
        let departed = &mut self.departed;
        self.records.retain(|id, record| {
            if record.withheld_until.is_some_and(|until| until <= now) {
                record.withheld_until = None;
            }
            let Some(removed_at) = record.removed_at else {
                return true;
            };
            let is_kept = is_held && !record.endpoint.draining;
            if !is_kept {
                let departure = Departure {
                    started_ms: record.endpoint.started_ms,
                    draining: record.endpoint.draining,
                    removed_at,
                };
                let known = departed.entry(id.clone()).or_insert(departure);
                if known.started_ms <= departure.started_ms {
                    *known = departure;
                }
            }
            is_kept
        });
        self.forget_departures(now);
        let records = self.records.values();
        let used = records.filter(|record| record.withheld_until.is_none());
        used.map(|record| record.endpoint.clone()).collect()
    }

    /// Returns the listed endpoints, without withheld ones and those whose
    /// removal is held.
    pub fn listed(&self) -> Vec<Endpoint> {
        let records = self.records.values();
        let listed =
            records.filter(|record| record.removed_at.is_none() && record.withheld_until.is_none());
        listed.map(|record| record.endpoint.clone()).collect()
    }

    /// Returns when [`List::current`] changes next without a read: at the end
    /// of the time in which removals are held or entries withheld. `None` if
    /// neither is the case.
    pub fn change_due(&self) -> Option<Instant> {
        let withheld = self
            .records
            .values()
            .filter_map(|record| record.withheld_until);
        withheld.chain(self.removals_held_until).min()
    }

    /// Forgets departures that no copy of the store can lack, and the oldest
    /// ones beyond the limit.
    fn forget_departures(&mut self, now: Instant) {
        self.departed.retain(|_, departure| {
            now.saturating_duration_since(departure.removed_at) < DEPARTURE_TTL
        });
        let Some(excess) = self.departed.len().checked_sub(MAX_DEPARTURES + 1) else {
            return;
        };
        let times = self.departed.values().map(|departure| departure.removed_at);
        let mut times = times.collect::<Vec<_>>();
        let limit = *times.select_nth_unstable(excess).1;
        self.departed
            .retain(|_, departure| departure.removed_at > limit);
    }
}
