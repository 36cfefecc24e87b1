//! Origins of streams, as recorded in the store.
//!
//! Hosts that tell each other the origins of streams may all be killed together. While several
//! versions of a service are in use, each host also records them in the store, once an event has
//! reached the caller: until then the origin may change, and a record in the store cannot be taken
//! back. Hosts read the records as they start, and again if nobody knows a stream.

use std::time::Duration;

use super::retry::Pause;
use super::store::{Error, Store};
use super::{lock, Shared};
use crate::clock::Clock;

/// Maximum number of origins in one call.
const MAX_ORIGINS: usize = 1024;

/// Time between two calls that record origins, at least.
const MIN_RECORD_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of calls a second that all hosts together make to record origins.
const MAX_CALLS_PER_SECOND: f64 = 200.0;

/// Time between two readings, at least.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Records the origins of this host's streams in the store, and reads those of others. Runs until the
/// process ends.
pub(super) async fn follow<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    tokio::join!(record(shared, store), read(shared, store));
}

/// Records the origins that are queued.
async fn record<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut retry_pause = Pause::default();
    loop {
        let now = shared.clock.now();
        let batch = lock(&shared.origins).take_unrecorded(now, MAX_ORIGINS);
        if batch.is_empty() {
            shared.journal_changed.notified().await;
            continue;
        }
        match shared.call_store(store.record_origins(&batch)).await {
            Ok(()) => {
                shared.metrics.count("stream.origins_recorded");
                retry_pause = Pause::default();
                let host_count = lock(&shared.hosts).count() as f64;
                let interval = Duration::from_secs_f64(host_count / MAX_CALLS_PER_SECOND);
                tokio::time::sleep(interval.max(MIN_RECORD_INTERVAL)).await;
            }
            Err(error) => {
                shared.metrics.count("stream.origins_not_recorded");
                slog::debug!(shared.logger, "streams: origins not recorded"; "error" => %error);
                let streams = batch.into_iter().map(|(stream, _)| stream);
                lock(&shared.origins).queue_records(streams);
                retry_pause.wait(shared).await;
            }
        }
    }
}

/// Reads the last origins that hosts have recorded, and those that follow when they are wanted.
async fn read<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let (mut next, mut era) = (None, *shared.era.borrow());
    let mut retry_pause = Pause::default();
    loop {
        let current = *shared.era.borrow();
        if current != era {
            // The offset belongs to an earlier era.
            (next, era) = (None, current);
        }
        match shared.call_store(store.origins(next)).await {
            Ok(page) => {
                next = Some(page.next);
                retry_pause = Pause::default();
                let now = shared.clock.now();
                lock(&shared.origins).merge_records(now, page.entries, page.is_end);
                if page.is_end {
                    tokio::time::sleep(MIN_READ_INTERVAL).await;
                    shared.journal_wanted.notified().await;
                }
            }
            Err(error) => {
                slog::debug!(shared.logger, "streams: origins not read"; "error" => %error);
                if error == Error::Trimmed {
                    next = None;
                }
                retry_pause.wait(shared).await;
            }
        }
    }
}
