//! Follows the configuration in the platform's log, and in peers' copies of
//! it while the log is down or far behind.

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

/// How long one read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(10);

/// Pause after a read that failed.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between looks whether a copy is due.
const REPUBLISH_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A daemon's view of the configuration, fed by the log and by peers.
#[derive(Debug)]
pub struct Feed {
    /// Reads records.
    reader: Mutex<Reader>,
    /// Hands out what is in force.
    configuration: watch::Sender<Arc<Configuration>>,
    /// Tells the follower that it is to read elsewhere.
    position_changed: Notify,
    /// Copies seen in the log.
    copy_count: AtomicU64,
    /// Lag behind peers.
    lag: Mutex<Lag>,
    /// Whether a peer is being asked.
    is_fetching: AtomicBool,
    /// Log lines.
    logger: Logger,
}

/// Leave to ask a peer. Dropping it lets the next one be asked.
#[derive(Debug)]
pub struct Permit(Arc<Feed>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.is_fetching.store(false, Ordering::Release);
    }
}

impl Feed {
    /// A feed without a configuration, and where to see it.
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

    /// The version in force.
    pub fn version(&self) -> Version {
        self.configuration.borrow().version
    }

    /// What a peer may take over, `None` when it has that version already.
    pub fn peer_copy(&self, known: Version) -> Option<Copy> {
        if known >= self.version() {
            return None;
        }
        self.reader().peer_copy()
    }

    /// What is in force and up to which record of the log, `None` while this
    /// daemon cannot vouch for it.
    pub fn log_copy(&self) -> Option<record::Copy> {
        self.reader().log_copy()
    }

    /// Takes a peer's copy. An older one, or one that is not understood,
    /// changes nothing.
    pub fn adopt(&self, copy: &Copy) {
        let Ok(services) = serde_json::from_slice::<Vec<Service>>(copy.services.as_slice()) else {
            warn!(self.logger, "config: copy not understood"; "version" => copy.version.0);
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

    /// Whether to ask the peer that runs a version, `None` for not now.
    pub fn begin_fetch(self: &Arc<Self>, now: Instant, peer: Version) -> Option<Permit> {
        let mut lag = self.lag.lock().unwrap_or_else(PoisonError::into_inner);
        if !lag.observe(now, self.version(), peer) {
            return None;
        }
        let is_fetching = self.is_fetching.swap(true, Ordering::Acquire);
        (!is_fetching).then(|| Permit(self.clone()))
    }

    /// Applies the records of a page.
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
                Outcome::Conflict => debug!(self.logger, "config: void"; "offset" => entry.offset),
                // What lies between the copy's place and here comes again.
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

    /// The reader.
    fn reader(&self) -> MutexGuard<'_, Reader> {
        self.reader.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes what is read of the log besides the configuration.
pub trait Sink: Send + Sync + 'static {
    /// Whether it needs every record, so that none may be skipped when a peer
    /// has told what is in force behind them.
    const NEEDS_ALL_RECORDS: bool = true;

    /// Takes records in order, each once.
    fn handle_page(&self, page: &Page);

    /// Notes that records before an offset cannot be read any more.
    fn handle_trim(&self, first: u64);
}

/// Takes nothing.
impl Sink for () {
    const NEEDS_ALL_RECORDS: bool = false;

    fn handle_page(&self, _: &Page) {}

    fn handle_trim(&self, _: u64) {}
}

/// Reads the log for ever, for the configuration and for a sink.
pub async fn follow<L: Log, S: Sink>(log: L, feed: Arc<Feed>, sink: Arc<S>) {
    // Offset behind the last record that the sink took.
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
                warn!(feed.logger, "config: log begins later"; "first" => first);
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

/// Says again in the log what is in force, before retention drops it.
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
        // A record always has a JSON form.
        let record = serde_json::to_vec(&Record::Copy(copy)).unwrap_or_default();
        if let Err(error) = log.append(record).await {
            warn!(feed.logger, "config: not said again"; "error" => %error);
        }
    }
}
