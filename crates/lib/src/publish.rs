//! Publishes configuration changes through the platform's log.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{Rng, RngExt};
use serde_json::Value;

use cranberryridge_policy::publish::{Configuration, Outcome, Reader};
use cranberryridge_wire::id::Version;
use cranberryridge_wire::record::{Change, Copy, Record, Service};

use crate::platform::log::{Error as LogError, Log};

/// Maximum number of attempts to publish a draft; each later one is based on the version
/// that another operator published meanwhile.
const MAX_ATTEMPTS: u32 = 16;

/// Maximum wait until an appended record is read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of appends of one record while its outcome is unknown.
const MAX_APPENDS: u32 = 4;

/// Maximum random pause between two attempts.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Change of the services that an operator wants.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Name of the operator.
    pub author: CompactString,
    /// Services to add or replace.
    pub services: Vec<Service>,
    /// Services to remove.
    pub removed: Vec<CompactString>,
    /// Whether to remove every service that is not in `services`.
    pub replace_all: bool,
}

/// Effect of a published draft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The draft was already in force; nothing was published.
    Unchanged(Version),
    /// The draft is in force with this version.
    InForce(Version),
}

/// Reason why a draft is not in force.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Another operator changed the same services first.
    #[error("version {version} by {author} changed {services} first")]
    Conflict {
        /// Version in force now.
        version: Version,
        /// Operator who published that version.
        author: CompactString,
        /// Comma-separated names of the services that both change.
        services: String,
    },
    /// Other operators published first on every attempt.
    #[error("others published first {MAX_ATTEMPTS} times in a row")]
    Contention,
    /// The change was not appended.
    #[error("not published: {0}")]
    NotAppended(LogError),
    /// The change may have been appended, so it may still come into force.
    #[error("not known whether it was published: {0}")]
    Unclear(LogError),
    /// The log could not be read; nothing was appended.
    #[error("not published: {0}")]
    Unreadable(LogError),
    /// The log has dropped the records of the version in force.
    #[error("not published: the log has dropped the version in force")]
    Trimmed,
}

/// Publishes drafts. It reads the log in the same way as the daemons.
#[derive(Debug)]
pub struct Publisher<L> {
    log: L,
    reader: Reader,
    /// Operator who published the version in force.
    author: CompactString,
}

impl<L: Log> Publisher<L> {
    /// Creates a publisher that has read nothing.
    pub fn new(log: L) -> Self {
        Self {
            log,
            reader: Reader::default(),
            author: CompactString::default(),
        }
    }

    /// Adopts a daemon's copy, so that only the records after it need to be read.
    pub fn adopt(&mut self, copy: &Copy) {
        self.reader.adopt(copy.version, copy.next, &copy.services);
        self.reader.skip_known();
    }

    /// Reads the log to its end and returns the configuration in force.
    ///
    /// # Errors
    ///
    /// If the log cannot be read or has dropped the version in force.
    pub async fn current(&mut self) -> Result<Arc<Configuration>, Error> {
        self.read_until(Duration::ZERO, None)
            .await
            .map_err(Error::Unreadable)?;
        if !self.reader.is_synced() {
            return Err(Error::Trimmed);
        }
        Ok(self.reader.configuration().clone())
    }

    /// Puts a draft in force. If another operator publishes at the same time but changes
    /// other services, the draft is published again on top of that version.
    ///
    /// # Errors
    ///
    /// If the draft is not in force, or its outcome is unknown.
    pub async fn publish(&mut self, draft: &Draft, random: &mut impl Rng) -> Result<Effect, Error> {
        let initial = self.current().await?;
        let mut base = initial.clone();
        for _ in 0..MAX_ATTEMPTS {
            let Some(change) = draft.change(&base, random.random()) else {
                return Ok(Effect::Unchanged(base.version));
            };
            if self.append(&change).await? == Outcome::Applied {
                return Ok(Effect::InForce(self.reader.configuration().version));
            }
            base = self.current().await?;
            let names = draft.conflicts(&initial, &base);
            if !names.is_empty() {
                return Err(Error::Conflict {
                    version: base.version,
                    author: self.author.clone(),
                    services: names.join(", "),
                });
            }
            tokio::time::sleep(MAX_RETRY_PAUSE.mul_f64(random.random())).await;
        }
        Err(Error::Contention)
    }

    /// Appends a change and reads its outcome back. If the answer is lost and the record
    /// does not show up, the same record is appended again: the first one in the log counts
    /// and makes the later ones conflict.
    async fn append(&mut self, change: &Change) -> Result<Outcome, Error> {
        let record = Record::Change(change.clone());
        // Serializing a record cannot fail.
        let record = serde_json::to_vec(&record).unwrap_or_default();
        let mut unclear = None;
        for _ in 0..MAX_APPENDS {
            match self.log.append(record.clone()).await {
                Ok(_) => {}
                Err(LogError::Unclear(text)) => unclear = Some(LogError::Unclear(text)),
                Err(error) if unclear.is_none() => return Err(Error::NotAppended(error)),
                Err(_) => {}
            }
            let outcome = self.read_until(READ_BACK_TIMEOUT, Some(change.id)).await;
            if let Some(outcome) = outcome.map_err(Error::Unclear)? {
                return Ok(outcome);
            }
        }
        let not_found = || LogError::Unclear("the log does not show the record".into());
        Err(Error::Unclear(unclear.unwrap_or_else(not_found)))
    }

    /// Reads the log to its end, or up to the change `id`, whose outcome it returns. Waits
    /// up to `wait` for that change.
    async fn read_until(
        &mut self,
        wait: Duration,
        id: Option<u64>,
    ) -> Result<Option<Outcome>, LogError> {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
            let page = match self.log.read(self.reader.next_offset(), remaining).await {
                Err(LogError::Trimmed { first }) => {
                    self.reader.trim(first);
                    continue;
                }
                page => page?,
            };
            for entry in &page.records {
                let record = serde_json::from_str::<Record>(&entry.data).ok();
                let outcome = self.reader.apply(entry.offset, record.as_ref());
                if outcome == Outcome::Adopted {
                    break;
                }
                let Some(Record::Change(change)) = record else {
                    continue;
                };
                if outcome == Outcome::Applied {
                    self.author = change.author;
                }
                if id == Some(change.id) {
                    return Ok(Some(outcome));
                }
            }
            let may_stop = id.is_none() || remaining.is_zero();
            if may_stop && self.reader.next_offset() >= page.end {
                return Ok(None);
            }
        }
    }
}

impl Draft {
    /// Returns the change that puts the draft in force on top of `base`, or `None` if it
    /// is already in force there.
    pub fn change(&self, base: &Configuration, id: u64) -> Option<Change> {
        let differs = |service: &&Service| {
            let known = base.services.get(&service.name);
            known.is_none_or(|known| **known != **service)
        };
        let services = self.services.iter().filter(differs).cloned();
        let services = services.collect::<Vec<_>>();
        let removed = self.removals(base);
        if services.is_empty() && removed.is_empty() {
            return None;
        }
        Some(Change {
            id,
            base: base.version,
            author: self.author.clone(),
            snapshot: false,
            services,
            removed,
        })
    }

    /// Describes what the draft changes, one line per field, added service or removed
    /// service.
    pub fn difference(&self, base: &Configuration) -> Vec<String> {
        let mut lines = Vec::new();
        for name in self.removals(base) {
            lines.push(format!("{name}: removed"));
        }
        for service in &self.services {
            match base.services.get(&service.name) {
                None => lines.push(format!("{}: added", service.name)),
                Some(known) => lines.extend(changed_fields(known, service)),
            }
        }
        lines
    }

    /// Returns the services that changed between two configurations and that the draft
    /// changes too.
    fn conflicts(&self, from: &Configuration, to: &Configuration) -> Vec<String> {
        let names = from.services.keys().chain(to.services.keys());
        let names = names.collect::<BTreeSet<_>>();
        let changed = names
            .into_iter()
            .filter(|name| from.services.get(*name) != to.services.get(*name));
        let ours = changed.filter(|name| {
            self.replace_all
                || self.removed.contains(name)
                || self.services.iter().any(|service| service.name == **name)
        });
        ours.map(|name| name.to_string()).collect()
    }

    /// Returns the services of `base` that the draft removes, sorted by name.
    fn removals(&self, base: &Configuration) -> Vec<CompactString> {
        let is_kept = |name: &CompactString| self.services.iter().any(|kept| kept.name == *name);
        let is_removed = |name: &&CompactString| {
            self.removed.contains(*name) || (self.replace_all && !is_kept(name))
        };
        let mut names = base
            .services
            .keys()
            .filter(is_removed)
            .cloned()
            .collect::<Vec<_>>();
        names.sort();
        names
    }
}

/// Describes the fields in which two services differ, one line each.
fn changed_fields(known: &Service, wanted: &Service) -> Vec<String> {
    let document = |service: &Service| serde_json::to_value(service).unwrap_or_default();
    let (known, wanted) = (document(known), document(wanted));
    let Value::Object(fields) = &wanted else {
        return Vec::new();
    };
    let name = wanted["name"].as_str().unwrap_or_default();
    let changed = fields
        .iter()
        .filter(|(field, value)| known[*field] != **value);
    changed
        .map(|(field, value)| format!("{name}.{field}: {} -> {value}", known[field]))
        .collect()
}
