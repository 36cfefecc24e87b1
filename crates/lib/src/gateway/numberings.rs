//! Numberings of events by service and software version.

use std::sync::Mutex;

use compact_str::CompactString;

use cranberryridge_policy::answer::numbering::{Ids, Numbering};
use cranberryridge_wire::Map;

use super::{lock, Shared};

/// Maximum number of services and versions. Above it, all are learned anew.
const MAX_ENTRIES: usize = 256;

/// What is known of the numbering of each service at each software version.
#[derive(Debug, Default)]
pub struct Registry(Mutex<Map<(CompactString, CompactString), Numbering>>);

impl Registry {
    /// Returns the numbering of a service's engines at a version.
    pub fn get(&self, service: &CompactString, version: &CompactString) -> Numbering {
        let key = (service.clone(), version.clone());
        lock(&self.0).get(&key).copied().unwrap_or_default()
    }

    /// Updates the numbering of a service's engines at a version.
    fn update(
        &self,
        service: &CompactString,
        version: &CompactString,
        update: impl FnOnce(&mut Numbering),
    ) {
        let key = (service.clone(), version.clone());
        let mut entries = lock(&self.0);
        if entries.len() >= MAX_ENTRIES && !entries.contains_key(&key) {
            entries.clear();
        }
        update(entries.entry(key).or_default());
    }
}

impl<N, C, D> Shared<N, C, D> {
    /// Records the ids of a stream whose end was stated.
    pub(super) fn record_ids(&self, service: &CompactString, version: &CompactString, ids: Ids) {
        let record = |numbering: &mut Numbering| numbering.record(ids);
        self.numberings.update(service, version, record);
    }

    /// Records that a run left a gap.
    pub(super) fn record_gap(&self, service: &CompactString, version: &CompactString) {
        self.metrics.count("endpoint.event_missing");
        self.numberings
            .update(service, version, Numbering::record_gap);
    }
}
