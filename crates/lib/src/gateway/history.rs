//! Software versions in use, as recorded in the store.
//!
//! A host that has just started, or was cut off, does not see which versions began streams and left
//! meanwhile. Hosts that read the list of endpoints record in the store which versions each
//! service has had in the lifetime of a stream.

use std::time::Duration;

use rand::RngExt;

use cranberryridge_policy::gateway::origin::{Usage, Versions};

use super::retry::Pause;
use super::store::{Error, Store};
use super::{lock, Shared};
use crate::clock::Clock;

/// Range of the random delay of a reading after the store came back from an older copy, in
/// milliseconds. Not all hosts read at once.
const RESTORE_PAUSE_MS: std::ops::Range<u64> = 0..1500;

/// Keeps this host's knowledge of the versions in use and the store's record in accord. Runs until
/// the process ends.
pub(super) async fn follow<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut eras = shared.era.subscribe();
    loop {
        let mut pause = Pause::default();
        while is_due(shared) {
            let Err(error) = synchronize(shared, store).await else {
                continue;
            };
            shared.metrics.count("versions.not_synchronized");
            slog::debug!(shared.logger, "versions: record not read or written"; "error" => %error);
            pause.wait(shared).await;
        }
        tokio::select! {
            () = shared.history_changed.notified() => {}
            _ = eras.changed() => {
                let pause = rand::rng().random_range(RESTORE_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

/// Returns whether the record has to be read or changed.
fn is_due<N, C: Clock, D>(shared: &Shared<N, C, D>) -> bool {
    let needs_history = lock(&shared.origins).versions().needs_history();
    needs_history || unrecorded(shared).is_some()
}

/// Returns what the record lacks of a service. A host whose list is old, or that has it from
/// another one, changes nothing.
fn unrecorded<N, C: Clock, D>(shared: &Shared<N, C, D>) -> Option<Usage> {
    let (now, interval) = (shared.clock.moment(), shared.settings.list_interval);
    let origins = lock(&shared.origins);
    let versions = origins.versions();
    let is_fresh = versions.has_fresh_list(now, interval);
    is_fresh.then(|| versions.unrecorded(now.now)).flatten()
}

/// Reads the record, and changes it if this host knows better.
async fn synchronize<N, C: Clock, D, S: Store>(
    shared: &Shared<N, C, D>,
    store: &S,
) -> Result<(), Error> {
    let gap_count = lock(&shared.origins).versions().gap_count();
    let history = shared.call_store(store.version_usages()).await?;
    let mut next = history.next;
    update(shared, gap_count, |versions| {
        versions.merge_history(shared.clock.now(), history.entries);
    })?;
    shared.queue_open_origins();
    while let Some(usage) = unrecorded(shared) {
        let recorded = shared
            .call_store(store.record_version_usage(&usage, next))
            .await;
        if recorded.is_err() {
            let mut origins = lock(&shared.origins);
            origins.versions_mut().record_unconfirmed(&usage.service);
        }
        let Some(offset) = recorded? else {
            return Err(Error::Unavailable("another host came first".into()));
        };
        next = offset + 1;
        shared.metrics.count("versions.recorded");
        slog::info!(shared.logger, "versions: recorded";
            "service" => %usage.service, "versions" => usage.versions.join(" "));
        update(shared, gap_count, |versions| versions.record_usage(usage))?;
    }
    Ok(())
}

/// Updates what this host knows by an answer of the store, unless the record may have changed since
/// the question.
fn update<N, C, D>(
    shared: &Shared<N, C, D>,
    gap_count: u64,
    apply: impl FnOnce(&mut Versions),
) -> Result<(), Error> {
    let mut origins = lock(&shared.origins);
    let versions = origins.versions_mut();
    if versions.gap_count() != gap_count {
        return Err(Error::Outdated);
    }
    apply(versions);
    Ok(())
}
