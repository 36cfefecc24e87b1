//! Software versions that began streams.
//!
//! Endpoints of several versions may serve one service side by side. What two versions
//! generate does not fit together, so a stream may go on only at the version that began it.
//! The caller that takes it up at another host names only its first attempt, so hosts tell
//! a few others which version began a stream while several versions serve.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::{format_compact, CompactString};

use cranberryridge_wire::Map;

use super::member::Endpoint;
use crate::answer::deadline::Moment;

pub use self::version::{is_fresh, Change, Usage, Versions, MAX_LIST_AGE_INTERVALS};

mod version;

/// Time for which a stream may be taken up after it began or was last taken up.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Number of hosts up to which all keep the records of all streams, so that any one of them
/// that is left knows what began a stream.
const MAX_KEEPING_HOSTS: usize = 8;

/// Number of hosts that keep the record of a stream, of more hosts.
const KEEPERS: usize = 3;

/// Number of groups of a service's streams. Each has keepers of its own, so that hosts which
/// are lost together take the records of some streams only.
pub const GROUPS: u64 = 4;

/// Returns the group of a stream, from 0 to [`GROUPS`] - 1.
pub fn group(stream: u64) -> u64 {
    stream % GROUPS
}

/// Returns the key by which hosts choose the keepers of a stream, which is the same for all of
/// its group.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::origin::{keeper_key, GROUPS};
/// assert_eq!(keeper_key("model", 1), keeper_key("model", 1 + GROUPS));
/// assert_ne!(keeper_key("model", 1), keeper_key("model", 2));
/// ```
pub fn keeper_key(service: &str, stream: u64) -> CompactString {
    format_compact!("{service}/{}", group(stream))
}

/// Returns how many of all hosts keep the record of a stream.
pub fn keeper_count(hosts: usize) -> usize {
    if hosts <= MAX_KEEPING_HOSTS {
        hosts
    } else {
        KEEPERS
    }
}

/// Maximum number of streams in a table. The oldest are forgotten first.
const MAX_STREAMS: usize = 1 << 17;

/// Maximum number of streams whose origin waits to be recorded in the store. The oldest are left out
/// first.
const MAX_UNRECORDED: usize = 1 << 13;

/// What a host knows of streams and of the software versions of services.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::answer::deadline::Moment;
/// use cranberryridge_policy::gateway::origin::{Decision, Origin, Registry};
/// let (mut registry, now) = (Registry::default(), Instant::now());
/// let origin = Origin { service: "model".into(), version: "v1".into() };
/// registry.record(now, 7, origin);
/// let now = Moment { now, uptime: Duration::ZERO };
/// let decision = registry.decide(now, Some(7), "model", Duration::from_secs(1));
/// assert_eq!(decision, Decision::GoOn("v1".into()));
/// ```
#[derive(Debug, Default)]
pub struct Registry {
    /// Streams that this host serves, or that did not end.
    own: Table,
    /// Streams of other hosts.
    told: Table,
    /// Streams of this host of which an event has reached the caller, so that they go on at no other
    /// version.
    begun: Table,
    /// Those of them that are to be recorded in the store, oldest first.
    unrecorded: VecDeque<u64>,
    /// Whether the origins in the store have been read since the start of this host.
    are_records_read: bool,
    versions: Versions,
}

/// What a host does with a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes on at this version.
    GoOn(CompactString),
    /// The hosts that keep the service's records are asked.
    Ask {
        /// Whether they get more time to answer, as this host itself can conclude nothing.
        is_patient: bool,
    },
    /// Its route no longer leads to the service that began it.
    Gone,
}

impl Registry {
    /// Replaces the list of endpoints. Returns the versions that began or ceased to be listed.
    pub fn update(&mut self, now: Instant, endpoints: &[Endpoint]) -> Vec<Change> {
        self.versions.update(now, endpoints)
    }

    /// Records the origin of a stream that this host begins or takes up. Returns whether
    /// other hosts have to be told.
    pub fn record(&mut self, now: Instant, stream: u64, origin: Origin) -> bool {
        let needs_records = self.versions.needs_records(now, &origin.service);
        self.own.record(now, stream, origin);
        needs_records
    }

    /// Forgets a stream of this host that its caller got in full.
    pub fn forget(&mut self, stream: u64) {
        self.own.remove(stream);
        self.begun.remove(stream);
    }

    /// Records that an event of this host's stream has reached the caller, from an endpoint of
    /// `version`. Returns whether its origin has to be recorded in the store.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::gateway::origin::{Origin, Registry};
    /// let (mut registry, now) = (Registry::default(), Instant::now());
    /// let origin = Origin { service: "model".into(), version: "v1".into() };
    /// registry.record(now, 7, origin.clone());
    /// registry.versions_mut().record_move(now, "model");
    /// assert!(registry.record_begin(now, 7, "v1"));
    /// assert_eq!(registry.take_unrecorded(now, 10), [(7, origin)]);
    /// ```
    pub fn record_begin(&mut self, now: Instant, stream: u64, version: &str) -> bool {
        let origin = self.own.find(now, stream);
        let Some(origin) = origin.filter(|origin| origin.version == version) else {
            return false;
        };
        let origin = origin.clone();
        let is_needed = self.versions.are_mixed(now, &origin.service);
        self.begun.record(now, stream, origin);
        if is_needed {
            self.queue_records([stream]);
        }
        is_needed
    }

    /// Queues the origins of this host's open streams of a service for the store. Returns whether
    /// there are any, none while one version is in use.
    pub fn queue_open(&mut self, now: Instant, service: &str) -> bool {
        if !self.versions.are_mixed(now, service) {
            return false;
        }
        let open = self.begun.of_service(now, service);
        let open = open.map(|(stream, _)| stream).collect::<Vec<_>>();
        let is_any = !open.is_empty();
        self.queue_records(open);
        is_any
    }

    /// Records the origins of streams that the store has. `is_last` is whether there are no further
    /// ones.
    pub fn merge_records(
        &mut self,
        now: Instant,
        records: impl IntoIterator<Item = (u64, Origin)>,
        is_last: bool,
    ) {
        for (stream, origin) in records {
            self.merge(now, stream, origin);
        }
        self.are_records_read |= is_last;
    }

    /// Returns whether the origins in the store have been read since the start of this host.
    pub fn are_records_read(&self) -> bool {
        self.are_records_read
    }

    /// Queues the origins of streams of this host for the store.
    pub fn queue_records(&mut self, streams: impl IntoIterator<Item = u64>) {
        self.unrecorded.extend(streams);
        let excess = self.unrecorded.len().saturating_sub(MAX_UNRECORDED);
        self.unrecorded.drain(..excess);
    }

    /// Removes up to `max_count` origins from the queue for the store. Streams that their callers
    /// have got in full meanwhile are left out.
    pub fn take_unrecorded(&mut self, now: Instant, max_count: usize) -> Vec<(u64, Origin)> {
        let mut taken = Vec::new();
        while taken.len() < max_count {
            let Some(stream) = self.unrecorded.pop_front() else {
                break;
            };
            if let Some(origin) = self.begun.find(now, stream) {
                taken.push((stream, origin.clone()));
            }
        }
        taken
    }

    /// Records the origin of another host's stream.
    pub fn merge(&mut self, now: Instant, stream: u64, origin: Origin) {
        self.told.record(now, stream, origin);
    }

    /// Returns the origin of a stream, if this host has a record of it.
    pub fn find(&self, now: Instant, stream: u64) -> Option<&Origin> {
        let origin = self.own.find(now, stream);
        origin.or_else(|| self.told.find(now, stream))
    }

    /// Returns the origin of a stream that this host serves, or that did not end.
    pub fn find_own(&self, now: Instant, stream: u64) -> Option<&Origin> {
        self.own.find(now, stream)
    }

    /// Returns the version at which a service began a stream, if this host has a record that
    /// it did.
    pub fn version(&self, now: Instant, stream: u64, service: &str) -> Option<&CompactString> {
        let origin = self.find(now, stream);
        let origin = origin.filter(|origin| origin.service == service)?;
        Some(&origin.version)
    }

    /// Records that a route was moved to a service ([`Versions::record_move`]).
    pub fn record_move(&mut self, now: Instant, service: &str) {
        self.versions.record_move(now, service);
    }

    /// Returns the origins of this host's streams of a service of which other hosts have to be
    /// told, none while one version is in use and listed.
    pub fn open(&self, now: Instant, service: &str) -> Vec<(u64, Origin)> {
        if !self.versions.needs_records(now, service) {
            return Vec::new();
        }
        let open = self.own.of_service(now, service);
        open.map(|(stream, origin)| (stream, origin.clone()))
            .collect()
    }

    /// Decides how to find the version of a stream that a caller takes up, `None` if it names
    /// no stream. `list_interval` is the time between readings of the list of endpoints.
    pub fn decide(
        &self,
        now: Moment,
        stream: Option<u64>,
        service: &str,
        list_interval: Duration,
    ) -> Decision {
        let recorded = stream.and_then(|stream| self.find(now.now, stream));
        if recorded.is_some_and(|origin| origin.service != service) {
            return Decision::Gone;
        }
        let recorded = recorded.map(|origin| &origin.version);
        let settled = || self.versions.settled(now, service, list_interval);
        if let Some(version) = recorded.or_else(settled) {
            return Decision::GoOn(version.clone());
        }
        let is_single = self.versions.only(now.now, service).is_some();
        Decision::Ask {
            is_patient: !is_single || !self.versions.has_fresh_list(now, list_interval),
        }
    }

    /// Returns what this host knows of the versions in use.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// Returns what this host knows of the versions in use, to record its readings.
    pub fn versions_mut(&mut self) -> &mut Versions {
        &mut self.versions
    }
}

/// The endpoints at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Origin {
    /// Service that began the stream.
    pub service: CompactString,
    /// Software version of the endpoint that began it.
    pub version: CompactString,
}

/// Streams by the digest of their first attempt's id, with their origins.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cranberryridge_policy::gateway::origin::{Origin, Table, STREAM_LIFETIME};
/// let (mut table, now) = (Table::default(), Instant::now());
/// let origin = Origin { service: "model".into(), version: "v1".into() };
/// table.record(now, 7, origin.clone());
/// assert_eq!(table.find(now, 7), Some(&origin));
/// assert_eq!(table.find(now + STREAM_LIFETIME, 7), None);
/// ```
#[derive(Debug, Default)]
pub struct Table {
    /// Origins with the time of their last record.
    origins: Map<u64, (Instant, Origin)>,
    /// Records, oldest first. Those that are not a stream's last one are outdated.
    by_age: VecDeque<(Instant, u64)>,
}

impl Table {
    /// Records the origin of a stream. Replaces an earlier one, as an attempt that brought
    /// no event may be followed by another one elsewhere.
    pub fn record(&mut self, now: Instant, stream: u64, origin: Origin) {
        self.origins.insert(stream, (now, origin));
        self.by_age.push_back((now, stream));
        while let Some((at, stream)) = self.by_age.front().copied() {
            let is_expired = now.saturating_duration_since(at) >= STREAM_LIFETIME;
            if !is_expired && self.by_age.len() <= MAX_STREAMS {
                return;
            }
            self.by_age.pop_front();
            let last = self.origins.get(&stream);
            if last.is_some_and(|(last, _)| *last == at) {
                self.origins.remove(&stream);
            }
        }
    }

    /// Returns the origin of a stream, or `None` if it is unknown.
    pub fn find(&self, now: Instant, stream: u64) -> Option<&Origin> {
        let (at, origin) = self.origins.get(&stream)?;
        let is_valid = now.saturating_duration_since(*at) < STREAM_LIFETIME;
        is_valid.then_some(origin)
    }

    /// Forgets a stream that has ended.
    pub fn remove(&mut self, stream: u64) {
        self.origins.remove(&stream);
    }

    /// Returns the streams of a service, in no particular order.
    pub fn of_service<'a>(
        &'a self,
        now: Instant,
        service: &'a str,
    ) -> impl Iterator<Item = (u64, &'a Origin)> {
        let streams = self.origins.keys();
        let known = streams.filter_map(move |stream| Some((*stream, self.find(now, *stream)?)));
        known.filter(move |(_, origin)| origin.service == service)
    }
}

/// Answers of the hosts that keep the records of a service's streams to a question for one
/// that none of them knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    /// Number of hosts that answered.
    pub answered: usize,
    /// Number of hosts that did not.
    pub silent: usize,
    /// Whether one of them knows of several versions in use.
    pub are_mixed: bool,
    /// The only version of which a stream can be, by a fresh list of one of them
    /// ([`Versions::settled`]).
    pub confirmed: Option<CompactString>,
}
