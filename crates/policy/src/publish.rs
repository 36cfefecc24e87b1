//! The configuration that the log's records add up to.
//!
//! A change names the version that it was made on. At its place in the log it
//! counts only if that is the version in force there, so every reader of the
//! log alike has one winner among operators that race.
//!
//! A log that has dropped its first records no longer tells which change was
//! in force where it now begins. A reader that starts there trusts no change
//! until a copy says what was in force at an offset that is still kept; from
//! that offset on it applies the same records by the same rule as everybody.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::{Rng, RngExt};

use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message;
use cranberryridge_wire::record::{Change, Copy, Record, Service};
use cranberryridge_wire::Map;

/// Configuration in force.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::publish::{Configuration, Outcome};
/// use cranberryridge_wire::{id::Version, record::Change};
/// let change = |base| Change {
///     id: 1,
///     base: Version(base),
///     author: "ops".into(),
///     snapshot: false,
///     services: vec![],
///     removed: vec![],
/// };
/// let mut configuration = Configuration::default();
/// assert_eq!(configuration.apply(4, &change(0)), Outcome::Applied);
/// assert_eq!(configuration.apply(5, &change(0)), Outcome::Conflict);
/// assert_eq!(configuration.version, Version(5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Offset of the last change that counts, plus 1.
    pub version: Version,
    /// Services by name.
    pub services: Map<CompactString, Arc<Service>>,
}

/// What became of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force.
    Applied,
    /// It was made on a version that was not in force.
    Conflict,
    /// The reader cannot tell, because the log has dropped what came before.
    Unknown,
    /// It says what is in force, and the reader goes on from there.
    Adopted,
    /// It changes nothing.
    Ignored,
}

impl Configuration {
    /// Applies the change at an offset of the log.
    pub fn apply(&mut self, offset: u64, change: &Change) -> Outcome {
        let version = Version(offset + 1);
        if version <= self.version || change.base != self.version {
            return Outcome::Conflict;
        }

        if change.snapshot {
            self.services.clear();
        }
        for name in &change.removed {
            self.services.remove(name);
        }
        for service in &change.services {
            self.services
                .insert(service.name.clone(), Arc::new(service.clone()));
        }
        self.version = version;
        Outcome::Applied
    }

    /// The service that serves a model or has a name.
    pub fn find(&self, name: &str) -> Option<&Arc<Service>> {
        let named = self.services.get(name);
        named.or_else(|| self.services.values().find(|service| service.model == name))
    }

    /// A configuration of services.
    fn from_services(version: Version, services: &[Service]) -> Self {
        let services = services
            .iter()
            .map(|service| (service.name.clone(), Arc::new(service.clone())));
        Self {
            version,
            services: services.collect(),
        }
    }

    /// The services, ordered by name.
    fn sorted_services(&self) -> Vec<Service> {
        let mut services = self
            .services
            .values()
            .map(|service| Service::clone(service))
            .collect::<Vec<_>>();
        services.sort_by(|a, b| a.name.cmp(&b.name));
        services
    }
}

/// Reads the log's records in order, and never goes back.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    /// The configuration in force before the record at `exact_end`.
    configuration: Arc<Configuration>,
    /// Offset up to which the configuration is exact.
    exact_end: u64,
    /// Offset to read from next; beyond `exact_end` after records were missed,
    /// before it where a peer has told what they add up to.
    next_offset: u64,
    /// First offset read since records were missed.
    contiguous_from: u64,
}

impl Reader {
    /// The configuration in force, as far as it was read.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Offset to read from next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Whether no record was missed.
    pub fn is_synced(&self) -> bool {
        self.next_offset <= self.exact_end
    }

    /// Offset up to which the configuration is exact.
    pub fn exact_end(&self) -> u64 {
        self.exact_end
    }

    /// Skips records that are known to change nothing any more.
    pub fn skip_known(&mut self) {
        self.next_offset = self.next_offset.max(self.exact_end);
    }

    /// Notes that the log now begins at an offset.
    pub fn trim(&mut self, first: u64) {
        if first <= self.next_offset {
            return;
        }
        self.next_offset = first;
        self.contiguous_from = first;
    }

    /// Takes the record at an offset, `None` for one that is not understood.
    /// After [`Outcome::Adopted`], reading goes on at [`Reader::next`].
    pub fn apply(&mut self, offset: u64, record: Option<&Record>) -> Outcome {
        if offset < self.next_offset {
            return Outcome::Ignored;
        }
        self.trim(offset);
        let (synced, behind) = (self.is_synced(), offset < self.exact_end);
        self.next_offset = offset + 1;
        if behind {
            return Outcome::Ignored;
        }
        if synced {
            self.exact_end = self.next_offset;
        }
        match record {
            Some(Record::Change(change)) if synced => {
                let known = change.base == self.configuration.version;
                if !known {
                    return Outcome::Conflict;
                }
                Arc::make_mut(&mut self.configuration).apply(offset, change)
            }
            Some(Record::Change(_)) => Outcome::Unknown,
            Some(Record::Copy(copy)) if !synced => self.resume(offset, copy),
            _ => Outcome::Ignored,
        }
    }

    /// Takes a peer's configuration. Returns whether it is news.
    pub fn adopt(&mut self, version: Version, next: u64, services: &[Service]) -> bool {
        let own = self.configuration.version;
        let extends = !self.is_synced() && version == own && next > self.exact_end;
        if version <= own && !extends {
            return false;
        }
        self.configuration = Arc::new(Configuration::from_services(version, services));
        self.exact_end = next;
        self.next_offset = self.next_offset.min(next);
        version > own
    }

    /// What a peer may take over, `None` while nothing is in force.
    pub fn peer_copy(&self) -> Option<message::Copy> {
        let configuration = &self.configuration;
        if configuration.version == Version::default() {
            return None;
        }
        // Services always have a JSON form.
        let services = serde_json::to_vec(&configuration.sorted_services()).unwrap_or_default();
        Some(message::Copy {
            version: configuration.version,
            next: self.exact_end,
            services: Blob(services),
        })
    }

    /// The record that says again what is in force, `None` while this reader
    /// cannot vouch for it.
    pub fn log_copy(&self) -> Option<Copy> {
        let configuration = &self.configuration;
        if !self.is_synced() || configuration.version == Version::default() {
            return None;
        }
        Some(Copy {
            version: configuration.version,
            next: self.exact_end,
            services: configuration.sorted_services(),
        })
    }

    /// Goes on from a copy in the log, if everything since it is kept.
    fn resume(&mut self, offset: u64, copy: &Copy) -> Outcome {
        let kept = (self.contiguous_from..=offset).contains(&copy.next);
        if !kept || copy.version < self.configuration.version {
            return Outcome::Ignored;
        }
        self.restart(
            copy.next,
            Configuration::from_services(copy.version, &copy.services),
        );
        Outcome::Adopted
    }

    /// Goes on from an offset where the configuration is known.
    fn restart(&mut self, next: u64, configuration: Configuration) {
        self.configuration = Arc::new(configuration);
        self.exact_end = next;
        self.next_offset = next;
        self.contiguous_from = next;
    }
}

/// Says when to say again in the log what is in force. Every entry keeps one;
/// the random part lets one of them come first, and the others, who read its
/// copy, wait for another term. Copies that cross change nothing.
#[derive(Clone, Copy, Debug)]
pub struct Republisher {
    /// When the next copy is due.
    due_at: Instant,
}

/// Time from one copy to the next, at least; far below the log's retention.
pub const REPUBLISH_INTERVAL: Duration = Duration::from_secs(600);

/// Longest random time on top of it.
pub const REPUBLISH_JITTER: Duration = Duration::from_secs(120);

/// Time after an append that failed.
const RETRY_DELAY: Duration = Duration::from_secs(5);

impl Republisher {
    /// A keeper that has not seen a copy yet.
    pub fn new(now: Instant, random: &mut impl Rng) -> Self {
        Self {
            due_at: now + REPUBLISH_JITTER.mul_f64(random.random()),
        }
    }

    /// Notes a copy in the log.
    pub fn record_copy(&mut self, now: Instant, random: &mut impl Rng) {
        self.due_at = now + REPUBLISH_INTERVAL + REPUBLISH_JITTER.mul_f64(random.random());
    }

    /// Notes that a copy was appended, or may have been.
    pub fn record_attempt(&mut self, now: Instant) {
        self.due_at = now + RETRY_DELAY;
    }

    /// Whether a copy is due.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }
}

/// Says when a daemon that lags behind a peer is to get the peer's
/// configuration, rather than wait for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Version that lags.
    version: Version,
    /// Since when it lags, or was last helped.
    since: Option<Instant>,
}

/// How long a daemon may lag before it is helped.
pub const LAG_TOLERANCE: Duration = Duration::from_millis(500);

impl Lag {
    /// Takes the versions of both. Returns whether to help now; one that has
    /// no configuration at all is helped at once.
    pub fn observe(&mut self, now: Instant, behind: Version, ahead: Version) -> bool {
        if behind >= ahead {
            return false;
        }
        if self.version != behind {
            self.version = behind;
            self.since = None;
        }
        let is_first = behind == Version::default() && self.since.is_none();
        let since = *self.since.get_or_insert(now);
        if !is_first && now < since + LAG_TOLERANCE {
            return false;
        }
        self.since = Some(now);
        true
    }
}
