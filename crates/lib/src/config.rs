//! Follows the configuration in the platform's log, and adopts copies from peers while
//! the log is down or this daemon lags behind.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::{rngs::StdRng, SeedableRng};
use slog::{debug, info, warn, Logger};
use tokio::sync::{watch, Notify};

use cranberryridge_policy::publish::{Configuration, Lag, Outcome, Reader, Republisher};
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message::Copy;
use cranberryridge_wire::record::{self, Record, Service};

use crate::clock::Clock;
use crate::platform::log::{Error, Log, Page};

/// Maximum time that a read waits for the next record.
const READ_WAIT: Duration = Duration::from_secs(10);

/// Delay after a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval at which [`republish`] checks whether a copy is due.
const REPUBLISH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon's view of the configuration, updated from the log and from peers.
#[derive(Debug)]
pub struct Feed {
    reader: Mutex<Reader>,
    /// Publishes the configuration in force to the daemon.
    configuration: watch::Sender<Arc<Configuration>>,
    /// Signals [`follow`] that the reader's offset may have jumped.
    position_changed: Notify,
    /// Number of copies read from the log.
    copy_count: AtomicU64,
    lag: Mutex<Lag>,
    /// Whether a copy is being fetched from a peer.
    is_fetching: AtomicBool,
    logger: Logger,
}

/// Permit to fetch a copy from a peer. At most one exists per feed; dropping it allows
/// the next fetch.
#[derive(Debug)]
pub struct Permit(Arc<Feed>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.is_fetching.store(false, Ordering::Release);
    }
}

impl Feed {
    /// Creates a feed without a configuration, and a receiver of the configuration in
    /// force.
    pub fn new(logger: Logger) -> (Arc<Self>, watch::Receiver<Arc<Configuration>>) {
        let (configuration, receiver) = watch::channel(Arc::default());
        let feed = Self {
            reader: Mutex::default(),
            configuration,
            position_changed: Notify::new(),
            copy_count: AtomicU64::new(0),
            lag: Mutex::default(),
            is_fetching: AtomicBool::new(false),
            logger,
        };
        (Arc::new(feed), receiver)
    }

    /// Returns the version in force.
    pub fn version(&self) -> Version {
        self.configuration.borrow().version
    }

    /// Returns the copy that a peer may adopt, or `None` if the peer's version is not
    /// older.
    pub fn peer_copy(&self, known: Version) -> Option<Copy> {
        if known >= self.version() {
            return None;
        }
        self.reader().peer_copy()
    }

    /// Returns the record that repeats the configuration in force in the log, or `None`
    /// while no change is in force or this daemon has missed records.
    pub fn log_copy(&self) -> Option<record::Copy> {
        self.reader().log_copy()
    }

    /// Adopts a peer's copy. An older or malformed copy changes nothing.
    pub fn adopt(&self, copy: &Copy) {
        let Ok(services) = serde_json::from_slice::<Vec<Service>>(copy.services.as_slice()) else {
            warn!(self.logger, "config: malformed copy from a peer"; "version" => copy.version.0);
            return;
        };
        let mut reader = self.reader();
        if reader.adopt(copy.version, copy.next, &services) {
            info!(self.logger, "config: in force, from a peer"; "version" => copy.version.0);
            self.configuration
                .send_replace(reader.configuration().clone());
        }
        self.position_changed.notify_one();
    }

    /// Records the version that a peer runs. Returns a permit if this daemon lags behind it
    /// and no other fetch is in progress.
    pub fn begin_fetch(self: &Arc<Self>, now: Instant, peer: Version) -> Option<Permit> {
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        if !lag.observe(now, self.version(), peer) {
            return None;
        }
        let is_fetching = self.is_fetching.swap(true, Ordering::Acquire);
        (!is_fetching).then(|| Permit(self.clone()))
    }

    fn apply(&self, page: &Page) {
        let mut reader = self.reader();
        let previous_version = reader.configuration().version;
        for entry in &page.records {
            let record = serde_json::from_str::<Record>(&entry.data).ok();
            if record.is_none() {
                warn!(self.logger, "config: record not understood"; "offset" => entry.offset);
            }
            let outcome = reader.apply(entry.offset, record.as_ref());
            if matches!(record, Some(Record::Copy(_))) {
                self.copy_count.fetch_add(1, Ordering::Relaxed);
            }
            match outcome {
                Outcome::Conflict => {
                    debug!(self.logger, "config: conflicting change ignored"; "offset" => entry.offset)
                }
                // The reader continues at the offset that the copy names; records from
                // there on are read again.
                Outcome::Adopted => break,
                _ => {}
            }
        }
        let configuration = reader.configuration();
        if configuration.version > previous_version {
            info!(self.logger, "config: in force"; "version" => configuration.version.0);
            self.configuration.send_replace(configuration.clone());
        }
    }

    fn reader(&self) -> MutexGuard<'_, Reader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Consumer of the log records that [`follow`] reads, besides the configuration.
pub trait Sink: Send + Sync + 'static {
    /// Whether the sink needs every record. If not, [`follow`] skips the records that a
    /// peer's copy already covers.
    const NEEDS_ALL_RECORDS: bool = true;

    /// Handles the next records; each is passed once, in order.
    fn handle_page(&self, page: &Page);

    /// Handles that the log has dropped the records before offset `first`, unread.
    fn handle_trim(&self, first: u64);
}

/// Ignores all records.
impl Sink for () {
    const NEEDS_ALL_RECORDS: bool = false;

    fn handle_page(&self, _: &Page) {}

    fn handle_trim(&self, _: u64) {}
}

/// Reads the log endlessly, for the configuration and for a sink.
pub async fn follow<L: Log, S: Sink>(log: L, feed: Arc<Feed>, sink: Arc<S>) {
    // Offset after the last record passed to the sink.
    let mut sink_offset = 0;
    loop {
        if !S::NEEDS_ALL_RECORDS {
            feed.reader().skip_known();
        }
        let next = feed.reader().next_offset();
        let page = tokio::select! {
            page = log.read(next, READ_WAIT) => page,
            () = feed.position_changed.notified() => continue,
        };
        match page {
            Ok(mut page) => {
                feed.apply(&page);
                page.records.retain(|entry| entry.offset >= sink_offset);
                sink_offset = page
                    .records
                    .last()
                    .map_or(sink_offset, |entry| entry.offset + 1);
                sink.handle_page(&page);
            }
            Err(Error::Trimmed { first }) => {
                warn!(feed.logger, "config: log has dropped unread records"; "first" => first);
                feed.reader().trim(first);
                if first > sink_offset {
                    sink_offset = first;
                    sink.handle_trim(first);
                }
            }
            Err(error) => {
                warn!(feed.logger, "config: log not read"; "error" => %error);
                tokio::time::sleep(READ_RETRY_DELAY).await;
            }
        }
    }
}

/// Appends copies of the configuration in force to the log, before the log's retention
/// drops the changes behind it.
pub async fn republish<L: Log, C: Clock>(log: L, clock: C, feed: Arc<Feed>, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut republisher = Republisher::new(clock.now(), &mut random);
    let mut seen_copies = feed.copy_count.load(Ordering::Relaxed);
    loop {
        tokio::time::sleep(REPUBLISH_CHECK_INTERVAL).await;
        let copies = feed.copy_count.load(Ordering::Relaxed);
        if copies != seen_copies {
            seen_copies = copies;
            republisher.record_copy(clock.now(), &mut random);
        }
        if !republisher.is_due(clock.now()) {
            continue;
        }
        let Some(copy) = feed.reader().log_copy() else {
            continue;
        };
        republisher.record_attempt(clock.now());
        // Serializing a record cannot fail.
        let record = serde_json::to_vec(&Record::Copy(copy)).unwrap_or_default();
        if let Err(error) = log.append(record).await {
            warn!(feed.logger, "config: cannot append a copy to the log"; "error" => %error);
        }
    }
}
