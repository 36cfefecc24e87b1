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

/// Time for which a stream may be taken up after it began or was last taken up.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum age of a fresh list of endpoints, in reading intervals. A new version begins streams
/// that may be taken up only once no list without it is fresh ([`Versions::joining_time`]).
pub const MAX_LIST_AGE_INTERVALS: u32 = 3;

/// Time in which a version that was just listed begins no stream that may be taken up, in
/// reading intervals. The further interval covers clocks and timers that run late.
const JOINING_INTERVALS: u32 = MAX_LIST_AGE_INTERVALS + 1;

/// Time in which the caller of a stream that was broken off takes it up, if it does.
const TAKE_UP_TIME: Duration = Duration::from_secs(10);

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

/// What a host knows of streams and of the software versions of services.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use cranberryridge_policy::gateway::origin::{Decision, Origin, Registry};
/// let (mut registry, now) = (Registry::default(), Instant::now());
/// let origin = Origin { service: "model".into(), version: "v1".into() };
/// registry.record(now, 7, origin);
/// let decision = registry.decide(now, Some(7), "model", true);
/// assert_eq!(decision, Decision::GoOn("v1".into()));
/// ```
#[derive(Debug, Default)]
pub struct Registry {
    /// Streams that this host serves, or that did not end.
    own: Table,
    /// Streams of other hosts.
    told: Table,
    versions: Versions,
}

/// What a host does with a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It goes on at this version.
    GoOn(CompactString),
    /// The hosts that keep the service's records are asked.
    Ask {
        /// Whether those to which no link is open are asked as well.
        waits_for_links: bool,
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
        let are_mixed = self.versions.are_mixed(now, &origin.service);
        self.own.record(now, stream, origin);
        are_mixed
    }

    /// Forgets a stream of this host that its caller got in full.
    pub fn forget(&mut self, stream: u64) {
        self.own.remove(stream);
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
    /// told, none while one version is in use.
    pub fn open(&self, now: Instant, service: &str) -> Vec<(u64, Origin)> {
        if !self.versions.are_mixed(now, service) {
            return Vec::new();
        }
        let open = self.own.of_service(now, service);
        open.map(|(stream, origin)| (stream, origin.clone()))
            .collect()
    }

    /// Decides how to find the version of a stream that a caller takes up, `None` if it names
    /// no stream. `is_list_fresh` tells whether this host itself has read the list of endpoints
    /// recently; what others told may have been under way for any time.
    pub fn decide(
        &self,
        now: Instant,
        stream: Option<u64>,
        service: &str,
        is_list_fresh: bool,
    ) -> Decision {
        let recorded = stream.and_then(|stream| self.find(now, stream));
        if recorded.is_some_and(|origin| origin.service != service) {
            return Decision::Gone;
        }
        let recorded = recorded.map(|origin| &origin.version);
        let sole = self.versions.sole(now, service);
        if let Some(version) = recorded.or(sole.filter(|_| is_list_fresh)) {
            return Decision::GoOn(version.clone());
        }
        let is_single = self.versions.only(now, service).is_some();
        Decision::Ask {
            waits_for_links: !is_single || !is_list_fresh,
        }
    }

    /// Returns what this host knows of the versions in use.
    pub fn versions(&self) -> &Versions {
        &self.versions
    }
}

/// The endpoints at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
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
    /// The only version until shortly ago, as one of them says ([`Versions::before`]).
    pub before: Option<CompactString>,
    /// The only version of which a stream can be, as a host says that has read the list
    /// itself recently.
    pub confirmed: Option<CompactString>,
    /// Whether the asking host has read the list of endpoints recently.
    pub is_list_fresh: bool,
}

impl Answers {
    /// Returns whether a version of which the asking host does not know would be known to
    /// one that answered. A host that is cut off from all others and from the list must not
    /// rely on what it knows.
    fn are_sufficient(&self) -> bool {
        self.is_list_fresh || self.answered > 0 || self.silent == 0
    }
}

/// A software version of a service's endpoints.
#[derive(Clone, Debug)]
struct Seen {
    version: CompactString,
    /// Time at which its first endpoint was listed.
    since: Instant,
    /// Time since which it is listed, or was last listed, without a gap.
    listed_at: Instant,
    /// Time at which the last endpoint with this version was gone, or `None` while one is
    /// listed.
    gone_at: Option<Instant>,
}

/// A version that began or ceased to be listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the service.
    pub service: CompactString,
    /// Software version that some endpoint of the service had or has.
    pub version: CompactString,
    /// Whether it is listed now.
    pub is_listed: bool,
}

/// Software versions of the services' endpoints, now and in the lifetime of streams.
#[derive(Debug, Default)]
pub struct Versions {
    /// Time of the first list, or `None` before it.
    known_since: Option<Instant>,
    services: Map<CompactString, Vec<Seen>>,
    /// Services to which routes were moved in the lifetime of a stream, with the last time.
    moved: Map<CompactString, Instant>,
}

impl Versions {
    /// Replaces the list of endpoints. Returns the versions that began or ceased to be listed.
    pub fn update(&mut self, now: Instant, endpoints: &[Endpoint]) -> Vec<Change> {
        self.known_since.get_or_insert(now);
        let mut listed = Map::<&str, Vec<&str>>::default();
        for endpoint in endpoints {
            let versions = listed.entry(&endpoint.service).or_default();
            if !versions.contains(&endpoint.version.as_str()) {
                versions.push(&endpoint.version);
            }
        }
        let mut changes = Vec::new();
        for (service, seen) in &mut self.services {
            let current = listed.remove(service.as_str()).unwrap_or_default();
            changes.extend(update_service(now, service, seen, &current));
        }
        for (service, current) in listed {
            let seen = self.services.entry(service.into()).or_default();
            changes.extend(update_service(now, service, seen, &current));
        }
        self.services.retain(|_, seen| !seen.is_empty());
        changes
    }

    /// Records that a route was moved to a service. A stream that is taken up there may have
    /// begun at another one, so that for the lifetime of a stream its records count alone, as
    /// if several versions were in use.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::gateway::origin::{Versions, STREAM_LIFETIME};
    /// let (mut versions, now) = (Versions::default(), Instant::now());
    /// versions.record_move(now, "model");
    /// assert!(versions.are_mixed(now, "model"));
    /// assert!(!versions.are_mixed(now + STREAM_LIFETIME, "model"));
    /// ```
    pub fn record_move(&mut self, now: Instant, service: &str) {
        self.moved
            .retain(|_, at| now.saturating_duration_since(*at) < STREAM_LIFETIME);
        self.moved.insert(service.into(), now);
    }

    /// Returns whether a route was moved to a service in the lifetime of a stream.
    fn is_moved_to(&self, now: Instant, service: &str) -> bool {
        let moved_at = self.moved.get(service);
        moved_at.is_some_and(|at| now.saturating_duration_since(*at) < STREAM_LIFETIME)
    }

    /// Returns the only version of which streams can be that are taken up at a service, as far
    /// as this host knows. `None` if there may be several, or streams of another service.
    pub fn only(&self, now: Instant, service: &str) -> Option<&CompactString> {
        if self.is_moved_to(now, service) {
            return None;
        }
        only(self.recent(now, service).map(|seen| &seen.version))
    }

    /// Returns whether streams of a service may be of different versions, as endpoints of
    /// several have been listed in the lifetime of a stream or a route was moved to it.
    pub fn are_mixed(&self, now: Instant, service: &str) -> bool {
        self.is_moved_to(now, service) || self.recent(now, service).count() > 1
    }

    /// Returns the only version of which a stream can be, or `None` if there may be
    /// several or this host has not known the endpoints for long enough.
    pub fn sole(&self, now: Instant, service: &str) -> Option<&CompactString> {
        let known_since = self.known_since?;
        if now.saturating_duration_since(known_since) < STREAM_LIFETIME {
            return None;
        }
        self.only(now, service)
    }

    /// Returns the version of a stream of which no host has a record. Streams are told only
    /// while several versions are in use, so that it is the only one that this host knows, or
    /// began when there was only one. `None` if there may be others.
    pub fn conclude(
        &self,
        now: Instant,
        service: &str,
        answers: &Answers,
    ) -> Option<CompactString> {
        if self.is_moved_to(now, service) {
            return None;
        }
        if let Some(before) = &answers.before {
            return Some(before.clone());
        }
        if answers.are_mixed || !answers.are_sufficient() {
            return None;
        }
        let only = self.only(now, service)?;
        let confirmed = answers.confirmed.as_ref();
        confirmed
            .is_none_or(|confirmed| confirmed == only)
            .then(|| only.clone())
    }

    /// Returns the only version that was in use until another one appeared, if streams of
    /// that time may still be taken up. A host that knows it has been told each stream that
    /// began since, so one that it does not know began before.
    pub fn before(&self, now: Instant, service: &str) -> Option<&CompactString> {
        if self.is_moved_to(now, service) {
            return None;
        }
        let known_since = self.known_since?;
        let newest = self.recent(now, service).map(|seen| seen.since).max()?;
        let is_recent = now.saturating_duration_since(newest) < TAKE_UP_TIME;
        let is_known = newest.saturating_duration_since(known_since) >= STREAM_LIFETIME;
        let earlier = self.recent(now, service).filter(|seen| seen.since < newest);
        only(earlier.map(|seen| &seen.version)).filter(|_| is_recent && is_known)
    }

    /// Returns the time for which a version begins no stream that may be taken up, zero if it
    /// may begin one. A host that stood still or was cut off may not know the version yet,
    /// and would let the stream go on at another one, until its list no longer counts as
    /// fresh. `list_interval` is the time between readings of the list. The only version
    /// that is listed begins streams at once.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::gateway::origin::Versions;
    /// let versions = Versions::default();
    /// let time = versions.joining_time(Instant::now(), "model", "v1", Duration::from_secs(1));
    /// assert_eq!(time, Duration::ZERO);
    /// ```
    pub fn joining_time(
        &self,
        now: Instant,
        service: &str,
        version: &str,
        list_interval: Duration,
    ) -> Duration {
        let mut joining = self.joining(now, service, list_interval);
        let own = joining.find(|(joining, _)| *joining == version);
        own.map_or(Duration::ZERO, |(_, time)| time)
    }

    /// Returns the versions of a service of which [`Versions::joining_time`] is not zero, with
    /// that time.
    pub fn joining<'a>(
        &'a self,
        now: Instant,
        service: &str,
        list_interval: Duration,
    ) -> impl Iterator<Item = (&'a str, Duration)> {
        let seen = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let listed = seen.iter().filter(|seen| seen.gone_at.is_none());
        let is_only = listed.clone().nth(1).is_none();
        let times = listed.filter(move |_| !is_only).map(move |seen| {
            let listed_for = now.saturating_duration_since(seen.listed_at);
            let time = (list_interval * JOINING_INTERVALS).saturating_sub(listed_for);
            (seen.version.as_str(), time)
        });
        times.filter(|(_, time)| !time.is_zero())
    }

    /// Returns the services for which [`Versions::are_mixed`] holds.
    pub fn mixed(&self, now: Instant) -> Vec<CompactString> {
        let services = self.services.keys();
        let mixed = services.filter(|service| self.are_mixed(now, service));
        mixed.cloned().collect()
    }

    /// Returns the versions listed in the lifetime of a stream.
    fn recent<'a>(&'a self, now: Instant, service: &str) -> impl Iterator<Item = &'a Seen> {
        let seen = self.services.get(service).map_or(&[][..], Vec::as_slice);
        seen.iter().filter(move |seen| seen.is_recent(now))
    }
}

impl Seen {
    fn is_recent(&self, now: Instant) -> bool {
        self.gone_at
            .is_none_or(|at| now.saturating_duration_since(at) < STREAM_LIFETIME)
    }
}

/// Updates the versions of one service to those that are listed.
fn update_service(
    now: Instant,
    service: &str,
    seen: &mut Vec<Seen>,
    listed: &[&str],
) -> Vec<Change> {
    let change = |version: &str, is_listed| Change {
        service: service.into(),
        version: version.into(),
        is_listed,
    };
    let mut changes = Vec::new();
    for one in seen.iter_mut() {
        let is_listed = listed.contains(&one.version.as_str());
        if is_listed != one.gone_at.is_none() {
            if is_listed && !one.is_recent(now) {
                one.since = now;
            }
            if is_listed {
                one.listed_at = now;
            }
            one.gone_at = (!is_listed).then_some(now);
            changes.push(change(&one.version, is_listed));
        }
    }
    for version in listed {
        if !seen.iter().any(|one| one.version == *version) {
            seen.push(Seen {
                version: (*version).into(),
                since: now,
                listed_at: now,
                gone_at: None,
            });
            changes.push(change(version, true));
        }
    }
    seen.retain(|one| one.is_recent(now));
    changes
}

/// Returns the only item, or `None` if there are none or several.
fn only<T>(mut items: impl Iterator<Item = T>) -> Option<T> {
    let first = items.next()?;
    items.next().is_none().then_some(first)
}
