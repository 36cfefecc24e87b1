//! Software versions of the services' endpoints.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::{Map, Set};

use super::{Answers, STREAM_LIFETIME};
use crate::answer::deadline::Moment;
use crate::gateway::member::Endpoint;

/// Maximum age of a fresh list of endpoints, in reading intervals. A new version begins streams
/// that may be taken up only once no list without it is fresh ([`Versions::joining_time`]).
pub const MAX_LIST_AGE_INTERVALS: u32 = 3;

/// Age of a list in reading intervals at which streams are told to other hosts. Below
/// [`MAX_LIST_AGE_INTERVALS`], so that they are told before the list is of no more use.
const STALE_LIST_INTERVALS: u32 = 2;

/// Age of a list at which a host that reaches no other one begins no streams that may be taken up.
/// Hosts that know a newer list forget a version that has left after [`STREAM_LIFETIME`], of which a
/// stream keeps a part to be taken up in.
const MAX_ISOLATION: Duration = Duration::from_secs(STREAM_LIFETIME.as_secs() / 2);

/// Time in which a version that was just listed begins no stream that may be taken up, in
/// reading intervals. The further interval covers clocks and timers that run late.
const JOINING_INTERVALS: u32 = MAX_LIST_AGE_INTERVALS + 1;

/// Software versions of the services' endpoints, now and in the lifetime of streams.
#[derive(Debug, Default)]
pub struct Versions {
    /// Time of the first list after which there was no gap in which a version could begin
    /// streams and leave unseen. `None` before the first list.
    known_since: Option<Instant>,
    /// Begin of the last reading of the list, by this host or its reader.
    listed_at: Option<Moment>,
    /// Begin of this host's last own reading.
    read_at: Option<Moment>,
    /// Services that had one version in the lifetime of a stream, by an own reading.
    settled: Map<CompactString, Settled>,
    /// Whether the list has not been confirmed for some time.
    is_stale: bool,
    services: Map<CompactString, Vec<Seen>>,
    /// Versions in use of each service as last read from or written to the store.
    history: Map<CompactString, Vec<CompactString>>,
    /// Whether the store's record has been read since the last gap of the list. Until then, this
    /// host concludes nothing and needs records of all streams.
    is_history_known: bool,
    /// Services whose record may still be replaced by a write that got no answer.
    unconfirmed: Set<CompactString>,
    /// Number of times that the record may have changed unseen.
    gap_count: u64,
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
        // Another host may have removed a version from the record before it appeared again.
        for change in changes.iter().filter(|change| change.is_listed) {
            self.history.remove(&change.service);
        }
        changes
    }

    /// Records that this host has a list that was read at `read_at`, by itself or by its reader.
    /// After a gap, versions may have begun streams and left meanwhile.
    pub fn record_list(&mut self, read_at: Moment, list_interval: Duration) {
        let gap = self.listed_at.map(|last| read_at.since(&last));
        if gap.is_some_and(|gap| gap > list_interval * JOINING_INTERVALS) {
            self.known_since = Some(read_at.now);
            self.forget_history();
        }
        self.listed_at = Some(read_at);
    }

    /// Records that this host has itself read the complete list, beginning at `read_at`.
    pub fn record_reading(&mut self, read_at: Moment) {
        self.read_at = Some(read_at);
        let mut settled = std::mem::take(&mut self.settled);
        settled.retain(|service, _| self.services.contains_key(service));
        for service in self.services.keys() {
            let Some(version) = self.sole(read_at.now, service) else {
                continue;
            };
            let version = version.clone();
            settled.insert(service.clone(), Settled { version, read_at });
        }
        self.settled = settled;
    }

    /// Returns whether the store's record of versions in use must be read, as versions may have
    /// begun streams and left unseen.
    pub fn needs_history(&self) -> bool {
        !self.is_history_known
    }

    /// Returns the number of times that the store's record may have changed unseen. A reading that
    /// began before the last one does not count.
    pub fn gap_count(&self) -> u64 {
        self.gap_count
    }

    /// Records that the store's record may have changed unseen.
    pub fn forget_history(&mut self) {
        self.gap_count += 1;
        self.is_history_known = false;
        self.history.clear();
    }

    /// Merges the store's record of versions in use. A version that is not listed counts as one
    /// that has just left, unless this host has seen the same record before and the version leave
    /// since.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::gateway::origin::{Usage, Versions};
    /// let (mut versions, now) = (Versions::default(), Instant::now());
    /// let usage = Usage { service: "model".into(), versions: vec!["v1".into(), "v1.2".into()] };
    /// versions.merge_history(now, vec![usage]);
    /// assert!(versions.are_mixed(now, "model"));
    /// ```
    pub fn merge_history(&mut self, now: Instant, history: Vec<Usage>) {
        for usage in history {
            if self.history.get(&usage.service) == Some(&usage.versions) {
                continue;
            }
            let seen = self.services.entry(usage.service.clone()).or_default();
            for version in &usage.versions {
                match seen.iter_mut().find(|one| one.version == *version) {
                    Some(known) => known.gone_at = known.gone_at.map(|_| now),
                    None => seen.push(Seen {
                        version: version.clone(),
                        listed_at: now,
                        gone_at: Some(now),
                    }),
                }
            }
            self.history.insert(usage.service, usage.versions);
        }
        self.is_history_known = true;
    }

    /// Returns a service whose versions in use differ from the store's record, with these. `None`
    /// while the record is unknown.
    pub fn unrecorded(&self, now: Instant) -> Option<Usage> {
        if !self.is_history_known {
            return None;
        }
        let services = self.services.keys().chain(self.history.keys());
        let mut usages = services.map(|service| {
            let versions = self.recent(now, service);
            let mut versions = versions
                .map(|seen| seen.version.clone())
                .collect::<Vec<_>>();
            versions.sort_unstable();
            Usage {
                service: service.clone(),
                versions,
            }
        });
        usages.find(|usage| {
            let recorded = self.history.get(&usage.service);
            let recorded = recorded.map_or(&[][..], Vec::as_slice);
            recorded != usage.versions || self.unconfirmed.contains(&usage.service)
        })
    }

    /// Records that the store has this record, and that no earlier write can replace it.
    pub fn record_usage(&mut self, usage: Usage) {
        self.unconfirmed.remove(&usage.service);
        self.history.insert(usage.service, usage.versions);
    }

    /// Records that a write of a service's record got no answer. The store may carry it out until
    /// another one succeeds.
    pub fn record_unconfirmed(&mut self, service: &CompactString) {
        self.unconfirmed.insert(service.clone());
    }

    /// Returns whether a list that this host has itself read names every version that may have
    /// begun a stream.
    pub fn has_fresh_list(&self, now: Moment, list_interval: Duration) -> bool {
        let read_at = self.read_at.as_ref();
        read_at.is_some_and(|read_at| is_fresh(now.since(read_at), list_interval))
    }

    /// Returns the only version that a service had by this host's own readings until shortly
    /// ago, with the age of the last of these. `None` if there was none.
    pub fn last_settled(&self, now: Moment, service: &str) -> Option<(&CompactString, Duration)> {
        if self.is_moved_to(now.now, service) {
            return None;
        }
        let settled = self.settled.get(service)?;
        Some((&settled.version, now.since(&settled.read_at)))
    }

    /// Returns the only version of which a stream can be that is taken up at a service. Another
    /// one that has joined since this host read the list begins no stream that may be taken up
    /// until the reading is no longer fresh ([`Versions::joining_time`]).
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use cranberryridge_policy::answer::deadline::Moment;
    /// use cranberryridge_policy::gateway::origin::Versions;
    /// let now = Moment { now: Instant::now(), uptime: Duration::ZERO };
    /// let settled = Versions::default();
    /// assert_eq!(settled.settled(now, "model", Duration::from_secs(1)), None);
    /// ```
    pub fn settled(
        &self,
        now: Moment,
        service: &str,
        list_interval: Duration,
    ) -> Option<&CompactString> {
        let (version, age) = self.last_settled(now, service)?;
        is_fresh(age, list_interval).then_some(version)
    }

    /// Updates whether the list has not been confirmed for some time. A host whose list becomes
    /// old can conclude nothing from it, so that records of streams are needed also of services
    /// with one version. Returns whether it has just become so.
    pub fn update_staleness(&mut self, now: Moment, list_interval: Duration) -> bool {
        let was_stale = self.is_stale;
        let age = self.listed_at.map(|last| now.since(&last));
        self.is_stale = age.is_some_and(|age| age > list_interval * STALE_LIST_INTERVALS);
        self.is_stale && !was_stale
    }

    /// Returns whether a host that reaches no other one begins no streams that may be taken up, as
    /// others may have forgotten their version by then.
    pub fn is_outdated(&self, now: Moment) -> bool {
        let age = self.listed_at.map(|last| now.since(&last));
        age.is_some_and(|age| age > MAX_ISOLATION)
    }

    /// Returns whether streams of a service have to be told to the hosts that keep its records.
    pub fn needs_records(&self, now: Instant, service: &str) -> bool {
        self.is_stale || !self.is_history_known || self.are_mixed(now, service)
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
        let known_for = now.saturating_duration_since(self.known_since?);
        if known_for < STREAM_LIFETIME {
            return None;
        }
        self.only(now, service)
    }

    /// Returns the version of a stream of which no host has a record. That none has one tells
    /// nothing by itself: the host that began the stream may have reached none of them, and
    /// they may know as little of a new version as this host. It takes a fresh list with one
    /// version, of any host. `None` if there may be other versions.
    pub fn conclude(
        &self,
        now: Moment,
        service: &str,
        list_interval: Duration,
        answers: &Answers,
    ) -> Option<CompactString> {
        if self.is_moved_to(now.now, service) {
            return None;
        }
        if let Some(confirmed) = &answers.confirmed {
            let mut known = self.recent(now.now, service);
            let is_known = known.any(|seen| seen.version == *confirmed);
            return is_known.then(|| confirmed.clone());
        }
        let is_answered = answers.answered > 0 || answers.silent == 0;
        let knows_all = self.is_history_known && self.has_fresh_list(now, list_interval);
        if answers.are_mixed || !is_answered || !knows_all {
            return None;
        }
        self.only(now.now, service).cloned()
    }

    /// Returns the time for which a version begins no stream that may be taken up, zero if it
    /// may begin one. A host that stood still or was cut off may not know the version yet,
    /// and would let the stream go on at another one, until its list no longer counts as
    /// fresh. `list_interval` is the time between readings of the list. A version begins
    /// streams at once if no other one is listed, and was not for as long. While another one
    /// is listed, the time passes up to the last list only, as the version may have left since.
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
        let joining_time = list_interval * JOINING_INTERVALS;
        // Another version may have left just before the first list.
        let unknown = self.known_since.filter(|_| !self.is_history_known);
        let listed = seen.iter().filter(|seen| seen.gone_at.is_none());
        let is_only = listed.clone().nth(1).is_none();
        let known_at = match self.listed_at {
            Some(last) if !is_only => last.now.min(now),
            _ => now,
        };
        let times = listed.map(move |one| {
            let listed_for = known_at.saturating_duration_since(one.listed_at);
            let others = seen.iter().filter(|other| other.version != one.version);
            // Endpoints that are no longer listed may serve for some time, and old lists name
            // them.
            let others = others.map(|other| joining_time.saturating_sub(other.gone_for(known_at)));
            let unknown = unknown.map(|since| {
                joining_time.saturating_sub(known_at.saturating_duration_since(since))
            });
            let time = others.chain(unknown).max().unwrap_or_default();
            let time = time.min(joining_time.saturating_sub(listed_for));
            (one.version.as_str(), time)
        });
        times.filter(|(_, time)| !time.is_zero())
    }

    /// Returns the services for which [`Versions::needs_records`] holds.
    pub fn recorded(&self, now: Instant) -> Vec<CompactString> {
        let services = self.services.keys();
        let recorded = services.filter(|service| self.needs_records(now, service));
        recorded.cloned().collect()
    }

    /// Returns the versions listed in the lifetime of a stream.
    fn recent<'a>(&'a self, now: Instant, service: &str) -> impl Iterator<Item = &'a Seen> {
        let seen = self.services.get(service).map_or(&[][..], Vec::as_slice);
        seen.iter().filter(move |seen| seen.is_recent(now))
    }
}

/// A software version of a service's endpoints.
#[derive(Clone, Debug)]
struct Seen {
    version: CompactString,
    /// Time since which it is listed, or was last listed, without a gap.
    listed_at: Instant,
    /// Time at which the last endpoint with this version was gone, or `None` while one is
    /// listed.
    gone_at: Option<Instant>,
}

/// The only version of a service.
#[derive(Clone, Debug)]
struct Settled {
    version: CompactString,
    /// Begin of the last reading by which it was the only one.
    read_at: Moment,
}

/// The versions of a service that have been listed in the lifetime of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Name of the service.
    pub service: CompactString,
    /// Software versions of its endpoints, in order.
    pub versions: Vec<CompactString>,
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

impl Seen {
    /// Returns the time for which it has not been listed, zero if it is listed.
    fn gone_for(&self, now: Instant) -> Duration {
        let gone_for = self.gone_at.map(|at| now.saturating_duration_since(at));
        gone_for.unwrap_or_default()
    }

    fn is_recent(&self, now: Instant) -> bool {
        self.gone_at
            .is_none_or(|at| now.saturating_duration_since(at) < STREAM_LIFETIME)
    }
}

/// Returns whether a list of this age names every version that may have begun a stream.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cranberryridge_policy::gateway::origin::is_fresh;
/// let interval = Duration::from_millis(800);
/// assert!(is_fresh(Duration::from_millis(2400), interval));
/// assert!(!is_fresh(Duration::from_millis(2401), interval));
/// ```
pub fn is_fresh(age: Duration, list_interval: Duration) -> bool {
    age <= list_interval * MAX_LIST_AGE_INTERVALS
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
