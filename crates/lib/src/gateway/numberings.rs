//! Numberings of events by service and software version.
//!
//! What a host has learned is recorded in the store, so that it outlives the host. What a host
//! reads there, or knows of another version of the service, holds until its own streams contradict.

use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;

use cranberryridge_policy::answer::numbering::{Finding, Ids, Numbering};
use cranberryridge_wire::Map;

use super::store::{Answer, Numbered, Store};
use super::{lock, Shared};
use crate::clock::Clock;

/// Maximum number of services and versions. Above it, all are learned anew.
const MAX_ENTRIES: usize = 256;

/// Delay after a failed call to the store, and before findings are recorded. Doubles with each
/// further time.
const MIN_PAUSE: Duration = Duration::from_millis(500);

/// Maximum delay after a failed call.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// Maximum delay before findings are recorded.
const MAX_RECORD_PAUSE: Duration = Duration::from_secs(600);

/// Range of the random delay, in seconds, of a reading after the store came back from an older
/// copy.
const RESTORE_PAUSE_S: std::ops::Range<u64> = 10..60;

/// Service and software version.
type Key = (CompactString, CompactString);

/// What is known of the numbering of each service at each software version.
#[derive(Debug, Default)]
pub struct Registry(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// What this host's streams have shown.
    observed: Map<Key, Numbering>,
    /// Findings in the store.
    recorded: Map<Key, Finding>,
    /// Findings that the store lacks.
    unrecorded: Map<Key, Finding>,
}

impl State {
    /// Returns the finding that the store has or suggests for a service and version. Findings of
    /// other versions count if they agree.
    fn recorded(&self, key: &Key) -> Option<Finding> {
        let exact = self.recorded.get(key).copied();
        exact.or_else(|| common(&self.recorded, &key.0, |finding| Some(*finding)))
    }

    /// Returns the numbering of a service and version.
    fn numbering(&self, key: &Key) -> Numbering {
        let observed = self.observed.get(key).copied().unwrap_or_default();
        if !observed.has_few_streams() {
            return observed;
        }
        let exact = self.recorded.get(key).copied();
        let finding = exact
            .or_else(|| common(&self.observed, &key.0, Numbering::finding))
            .or_else(|| self.recorded(key));
        finding.map_or(observed, Numbering::from)
    }

    /// Notes whether the store lacks what has been observed. Returns whether it newly does.
    fn compare(&mut self, key: &Key) -> bool {
        let finding = self.observed.get(key).and_then(Numbering::finding);
        match finding.filter(|finding| self.recorded(key) != Some(*finding)) {
            Some(finding) => self.unrecorded.insert(key.clone(), finding) != Some(finding),
            None => {
                self.unrecorded.remove(key);
                false
            }
        }
    }

    /// Replaces what the store has.
    fn adopt(&mut self, entries: Vec<Numbered>) {
        let entries = entries.into_iter().take(MAX_ENTRIES);
        let entries = entries.map(|entry| ((entry.service, entry.version), entry.finding));
        self.recorded = entries.collect();
        let keys = self.observed.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            self.compare(&key);
        }
    }
}

/// Returns the finding of a service's versions if all that have one agree.
fn common<T>(
    entries: &Map<Key, T>,
    service: &CompactString,
    finding: impl Fn(&T) -> Option<Finding>,
) -> Option<Finding> {
    let entries = entries.iter().filter(|((of, _), _)| of == service);
    let mut findings = entries.filter_map(|(_, entry)| finding(entry));
    let first = findings.next()?;
    findings.all(|other| other == first).then_some(first)
}

impl Registry {
    /// Returns the numbering of a service's engines at a version.
    pub fn get(&self, service: &CompactString, version: &CompactString) -> Numbering {
        lock(&self.0).numbering(&(service.clone(), version.clone()))
    }

    /// Updates the numbering of a service's engines at a version. Returns whether the store
    /// newly lacks a finding.
    fn update(
        &self,
        service: &CompactString,
        version: &CompactString,
        update: impl FnOnce(&mut Numbering),
    ) -> bool {
        let key = (service.clone(), version.clone());
        let mut state = lock(&self.0);
        let mut numbering = state.numbering(&key);
        update(&mut numbering);
        if state.observed.len() >= MAX_ENTRIES && !state.observed.contains_key(&key) {
            state.observed.clear();
            state.unrecorded.clear();
        }
        state.observed.insert(key.clone(), numbering);
        state.compare(&key)
    }

    /// Replaces what the store has.
    fn adopt(&self, entries: Vec<Numbered>) {
        lock(&self.0).adopt(entries);
    }

    /// Returns a finding that the store lacks.
    fn next_unrecorded(&self) -> Option<Numbered> {
        let state = lock(&self.0);
        let (key, finding) = state.unrecorded.iter().next()?;
        Some(Numbered {
            service: key.0.clone(),
            version: key.1.clone(),
            finding: *finding,
        })
    }

    /// Records that the store has a finding.
    fn finish(&self, entry: Numbered) {
        let key = (entry.service, entry.version);
        let mut state = lock(&self.0);
        if state.recorded.len() >= MAX_ENTRIES {
            state.recorded.clear();
        }
        state.recorded.insert(key.clone(), entry.finding);
        // Findings of other versions may be suggested by this one.
        let keys = state.unrecorded.keys().cloned().collect::<Vec<_>>();
        for key in keys {
            state.compare(&key);
        }
    }
}

/// Reads the numberings that hosts have recorded, and records what this host has learned. Runs
/// until the process ends.
pub(super) async fn follow<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut eras = shared.era.subscribe();
    let mut pause = MIN_PAUSE;
    loop {
        let entries = call(shared, || store.numberings()).await;
        // The answer is of the current era, which it may have been the first to name.
        eras.mark_unchanged();
        shared.numberings.adopt(entries);
        while let Some(entry) = shared.numberings.next_unrecorded() {
            call(shared, || store.record_numbering(&entry)).await;
            shared.metrics.count("numbering.recorded");
            slog::info!(shared.logger, "numbering: recorded"; "service" => %entry.service,
                "version" => %entry.version, "finding" => ?entry.finding);
            shared.numberings.finish(entry);
        }
        let wait = tokio::select! {
            () = shared.numbering_learned.notified() => {
                let wait = spread(pause);
                pause = (pause * 2).min(MAX_RECORD_PAUSE);
                wait
            }
            _ = eras.changed() => {
                Duration::from_secs(rand::rng().random_range(RESTORE_PAUSE_S))
            }
        };
        tokio::time::sleep(wait).await;
    }
}

/// Returns a random part of a pause, so that hosts do not call at once.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Calls the store until it succeeds.
async fn call<N, C: Clock, D, T, F: Future<Output = Answer<T>>>(
    shared: &Shared<N, C, D>,
    call: impl Fn() -> F,
) -> T {
    let mut pause = MIN_PAUSE;
    loop {
        match shared.call_store(call()).await {
            Ok(value) => return value,
            Err(error) => {
                slog::debug!(shared.logger, "numbering: call failed"; "error" => %error);
            }
        }
        let wait = spread(pause);
        tokio::time::sleep(wait).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

impl<N, C, D> Shared<N, C, D> {
    /// Records the ids of a stream whose end was stated.
    pub(super) fn record_ids(&self, service: &CompactString, version: &CompactString, ids: Ids) {
        let record = |numbering: &mut Numbering| numbering.record(ids);
        self.update_numbering(service, version, record);
    }

    /// Records that a run left a gap.
    pub(super) fn record_gap(&self, service: &CompactString, version: &CompactString) {
        self.metrics.count("endpoint.event_missing");
        self.update_numbering(service, version, Numbering::record_gap);
    }

    fn update_numbering(
        &self,
        service: &CompactString,
        version: &CompactString,
        update: impl FnOnce(&mut Numbering),
    ) {
        if self.numberings.update(service, version, update) {
            self.numbering_learned.notify_one();
        }
    }
}
