//! The configuration that results from the log's records.
//!
//! Each change names the version on which it was made. It counts only if that version is
//! in force at the change's place in the log, so all readers of the log agree on one winner
//! among concurrent operators.
//!
//! Once the log has dropped its first records, it no longer shows which version was in force
//! where it now begins. A reader that starts there applies no change until it reads a copy
//! of the configuration in force at an offset that is still kept. From that offset on it
//! applies the same records by the same rule as every other reader.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::{Rng, RngExt};

use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message;
use cranberryridge_wire::record::{Change, Copy, Record, Service};
use cranberryridge_wire::Map;

/// The configuration in force.
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
    /// Offset of the last applied change, plus 1; 0 before the first one.
    pub version: Version,
    /// Services by name.
    pub services: Map<CompactString, Arc<Service>>,
}

/// Effect of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in force.
    Applied,
    /// The change was made on a version that was not in force, and is void.
    Conflict,
    /// The reader cannot decide, because the log has dropped earlier records.
    Unknown,
    /// The reader took over the copy and continues at the offset that the copy names.
    Adopted,
    /// The record changes nothing.
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

    /// Finds a service by its name or by the model that it serves.
    pub fn find(&self, name: &str) -> Option<&Arc<Service>> {
        let named = self.services.get(name);
        named.or_else(|| self.services.values().find(|service| service.model == name))
    }

    /// Creates a configuration from a list of services.
    fn from_services(version: Version, services: &[Service]) -> Self {
        let services = services
            .iter()
            .map(|service| (service.name.clone(), Arc::new(service.clone())));
        Self {
            version,
            services: services.collect(),
        }
    }

    /// Returns the services in the order of their names.
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

/// Reads the log's records in order; its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    /// The configuration in force before the record at `exact_end`.
    configuration: Arc<Configuration>,
    /// Offset up to which the configuration is exact.
    exact_end: u64,
    /// Next offset to read. It is beyond `exact_end` after records were missed, and before
    /// it after a peer's copy covered records that were not read yet.
    next_offset: u64,
    /// Offset from which on records were read without a gap.
    contiguous_from: u64,
}

impl Reader {
    /// The configuration in force, as far as the log was read.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Next offset to read.
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

    /// Skips the records that a peer's copy already covers.
    pub fn skip_known(&mut self) {
        self.next_offset = self.next_offset.max(self.exact_end);
    }

    /// Records that the log now begins at an offset.
    pub fn trim(&mut self, first: u64) {
        if first <= self.next_offset {
            return;
        }
        self.next_offset = first;
        self.contiguous_from = first;
    }

    /// Applies the record at an offset, or `None` for a record that cannot be parsed.
    /// After [`Outcome::Adopted`], reading must continue at [`Reader::next_offset`].
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

    /// Takes over a peer's configuration. Returns whether its version is newer.
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

    /// Returns the copy that a peer may take over, or `None` while no change is in force.
    pub fn peer_copy(&self) -> Option<message::Copy> {
        let configuration = &self.configuration;
        if configuration.version == Version::default() {
            return None;
        }
        // Serializing services to JSON cannot fail.
        let services = serde_json::to_vec(&configuration.sorted_services()).unwrap_or_default();
        Some(message::Copy {
            version: configuration.version,
            next: self.exact_end,
            services: Blob(services),
        })
    }

    /// Returns the record that repeats the configuration in force in the log, or `None`
    /// while no change is in force or this reader has missed records.
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

    /// Takes over a copy from the log, if the log has kept every record since it.
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

    /// Continues from an offset at which the configuration is known.
    fn restart(&mut self, next: u64, configuration: Configuration) {
        self.configuration = Arc::new(configuration);
        self.exact_end = next;
        self.next_offset = next;
        self.contiguous_from = next;
    }
}

/// Schedules copies of the configuration in force into the log, before the log drops the
/// changes behind it. Every entry has one. Random jitter makes one entry write first; the
/// others read its copy and wait for the next interval. Concurrent copies do no harm.
#[derive(Clone, Copy, Debug)]
pub struct Republisher {
    due_at: Instant,
}

/// Minimum time between two copies; far below the log's retention.
pub const REPUBLISH_INTERVAL: Duration = Duration::from_secs(600);

/// Maximum random time added to [`REPUBLISH_INTERVAL`].
pub const REPUBLISH_JITTER: Duration = Duration::from_secs(120);

/// Delay after an append, unless the copy is read back from the log before.
const RETRY_DELAY: Duration = Duration::from_secs(5);

impl Republisher {
    /// Creates a schedule; the first copy is due within [`REPUBLISH_JITTER`].
    pub fn new(now: Instant, random: &mut impl Rng) -> Self {
        Self {
            due_at: now + REPUBLISH_JITTER.mul_f64(random.random()),
        }
    }

    /// Records that a copy was read from the log.
    pub fn record_copy(&mut self, now: Instant, random: &mut impl Rng) {
        self.due_at = now + REPUBLISH_INTERVAL + REPUBLISH_JITTER.mul_f64(random.random());
    }

    /// Records that a copy was appended, or may have been.
    pub fn record_attempt(&mut self, now: Instant) {
        self.due_at = now + RETRY_DELAY;
    }

    /// Whether a copy is due.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.due_at
    }
}

/// Decides when a daemon whose version lags behind a peer's takes over the peer's
/// configuration instead of waiting for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    /// Version of the lagging daemon.
    version: Version,
    /// Time since which it has lagged, or of the last takeover.
    since: Option<Instant>,
}

/// How long a daemon may lag before it takes over a peer's configuration.
pub const LAG_TOLERANCE: Duration = Duration::from_millis(500);

impl Lag {
    /// Compares the two versions. Returns whether to take over now; a daemon without any
    /// configuration does so at once.
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
