//! Follows the configuration, the endpoints and the other entry hosts.
//!
//! No request waits for any of this: while the store is away, what was last
//! read stands.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::gateway::member::{Endpoint, List};
use cranberryridge_policy::gateway::route::{Configuration, Table};
use cranberryridge_policy::subset::{self, Member};

use super::snapshot::{self, Snapshot};
use super::store::{Error, Host, Page, Record, Store, Topic};
use super::{lock, Shared};
use crate::clock::Clock;

/// Pause after a call to the store that failed; doubles with each further.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest pause after calls that failed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Longest time of a call, its wait not counted. With the longest pause it is
/// under the time in which a configuration must be in force.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two announcements of this host. Until it has announced itself,
/// a host is asked nothing; one that is gone is not reached.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);

/// Time from the first announcement to the second: hosts that start together
/// find each other soon.
const SECOND_ANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// Time after which an entry host that announced nothing is gone: three
/// announcements that were lost.
const HOST_EXPIRY: Duration = Duration::from_secs(35);

/// Hosts that are asked for a service's endpoints, one after the other, should
/// one be out of reach.
const SCHEDULER_CANDIDATES: usize = 3;

/// Most hosts of which one reads for all. Beyond, each failure domain has a
/// reader of its own, so that news do not cross between domains.
const MAX_SINGLE_READER_HOSTS: usize = 64;

/// Part of the largest host's processor time that a scheduler must have: one in
/// so much.
const MAX_CORES_RATIO: f64 = 1.5;

/// Follows all topics, for ever.
pub async fn run<N, C: Clock, D, S: Store>(shared: Arc<Shared<N, C, D>>, store: S) {
    tokio::join!(
        follow_configuration(&shared, &store),
        follow_endpoints(&shared, &store),
        follow_hosts(&shared, &store),
    );
}

/// Reads one topic in order.
struct Reader<'a, S> {
    /// The store.
    store: &'a S,
    /// What is read.
    topic: Topic,
    /// Offset of the next record; `None` until the newest were read.
    next: Option<u64>,
    /// Calls that failed since the last one that did not.
    failures: u32,
}

/// Records, and whether they are all that there is.
struct Batch {
    /// The records.
    page: Page,
    /// Whether what they lack is gone.
    is_full: bool,
}

impl<'a, S: Store> Reader<'a, S> {
    /// A reader that has read nothing.
    fn new(store: &'a S, topic: Topic) -> Self {
        Self {
            store,
            topic,
            next: None,
            failures: 0,
        }
    }

    /// The next records, or what is newest.
    async fn read<N, C: Clock, D>(
        &mut self,
        shared: &Shared<N, C, D>,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let is_full = self.next.is_none();
        // While the store is away, each call is an attempt to reach it.
        let wait = if is_full || self.failures > 0 {
            Duration::ZERO
        } else {
            wait
        };
        let limit = self.backoff(shared.settings.call, MAX_CALL_TIMEOUT) + wait;
        let call = async {
            match self.next {
                Some(from) => self.store.since(self.topic, from, wait).await,
                None => self.store.newest(self.topic).await,
            }
        };
        let page = tokio::time::timeout(limit, call).await;
        let page = page.unwrap_or_else(|_| Err(Error::Unavailable("no answer".into())));
        self.record_result(shared, &page);
        let page = page?;
        self.next = Some(page.next);
        Ok(Batch { page, is_full })
    }

    /// A time that doubles with each failure: a slow store needs it, and one
    /// that is away is not called too often.
    fn backoff(&self, time: Duration, longest: Duration) -> Duration {
        let doubled = time * 2u32.saturating_pow(self.failures.min(8));
        doubled.min(longest.max(time))
    }

    /// Waits after a call that failed, until another topic could be read.
    async fn wait_to_retry<N, C, D>(&self, shared: &Shared<N, C, D>) {
        if self.failures > 0 {
            // A timeout is the next attempt of its own accord.
            let pause = self.backoff(RETRY_DELAY, MAX_RETRY_DELAY);
            let _ = tokio::time::timeout(pause, shared.reached.notified()).await;
        }
    }

    /// Notes how a call went.
    fn record_result<N, C: Clock, D>(
        &mut self,
        shared: &Shared<N, C, D>,
        page: &Result<Page, Error>,
    ) {
        let topic = format!("{:?}", self.topic);
        match page {
            Ok(_) if self.failures > 0 => {
                self.failures = 0;
                shared.reached.notify_waiters();
                slog::info!(shared.logger, "store: back"; "topic" => topic);
            }
            Ok(_) => {}
            Err(Error::Trimmed) => {
                self.next = None;
                slog::info!(shared.logger, "store: records deleted, reading the newest";
                    "topic" => topic);
            }
            Err(error @ Error::Unavailable(_)) => {
                shared.metrics.count("store.failed");
                if self.failures == 0 {
                    slog::warn!(shared.logger, "store: lost"; "topic" => topic, "error" => %error);
                }
                self.failures += 1;
            }
        }
    }
}

/// Logs a record that names nothing of use.
fn log_unreadable<N, C: Clock, D>(shared: &Shared<N, C, D>, key: &str, reason: &str) {
    shared.metrics.count("store.unreadable");
    slog::warn!(shared.logger, "store: record skipped"; "key" => key, "why" => reason);
}

/// Follows the configuration.
async fn follow_configuration<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Configuration);
    let mut news = shared.news.subscribe();
    let interval = shared.settings.list_pace;
    loop {
        let now = shared.clock.now();
        let version = shared.table.load().version();
        let valid_until = news
            .borrow_and_update()
            .configuration_valid_until(version, interval);
        if let Some(until) = valid_until.filter(|until| *until > now) {
            let _ = tokio::time::timeout(until - now, news.changed()).await;
            continue;
        }
        // Hosts that follow this one rely on each answer.
        let wait = if shared.followers.count() > 0 {
            interval
        } else {
            shared.settings.configuration_wait
        };
        let Ok(batch) = reader.read(shared, wait).await else {
            reader.wait_to_retry(shared).await;
            continue;
        };
        for record in batch.page.records {
            match record {
                Record::Configuration(configuration) => apply(shared, configuration),
                Record::Unreadable { key, reason } => log_unreadable(shared, &key, &reason),
                _ => {}
            }
        }
        let now = shared.clock.now();
        shared
            .seen
            .send_modify(|seen| seen.configured_at = Some(now));
        if shared.table.load().version() == 0 {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Puts a configuration in force, unless a newer one is.
fn apply<N, C: Clock, D>(shared: &Shared<N, C, D>, configuration: Configuration) {
    let before = shared.table.load().version();
    let version = configuration.version;
    if version <= before {
        return;
    }
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    shared.table.store(Arc::new(Table::new(configuration)));
    shared.metrics.count("configuration.applied");
    slog::info!(shared.logger, "configuration: in force";
        "version" => version, "before" => before, "routes" => routes, "services" => services);
}

/// Follows the endpoints.
async fn follow_endpoints<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Endpoints);
    let mut list = List::new(shared.settings.lapse);
    let mut published = Vec::new();
    let mut news = shared.news.subscribe();
    let interval = shared.settings.list_pace;
    let mut own_read = None;
    let mut adopted = None;
    loop {
        let now = shared.clock.now();
        let (endpoints, valid_until) = {
            let snapshot = news.borrow_and_update();
            (
                snapshot.endpoints.clone(),
                snapshot.list_valid_until(own_read, interval),
            )
        };
        if let Some(until) = valid_until.filter(|until| *until > now) {
            list.record_read(now);
            let is_due = list.removals_due().is_some_and(|due| due <= now);
            // Mostly, the news are that there are none.
            if is_due || !is_same(&endpoints, &adopted) {
                if let Some(endpoints) = &endpoints {
                    list.replace(now, endpoints.to_vec());
                }
                publish(shared, &mut list, now, &mut published);
                adopted = endpoints;
            }
            // What was read before is too long ago to go on from.
            reader.next = None;
            let until = list.removals_due().map_or(until, |due| due.min(until));
            // A timeout is the next look.
            let pause = until.saturating_duration_since(now);
            let _ = tokio::time::timeout(pause, news.changed()).await;
            continue;
        }
        adopted = None;
        let started = now;
        let batch = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        match batch {
            Ok(batch) => {
                list.record_read(now);
                apply_batch(shared, &mut list, now, batch);
                own_read = Some(started);
                shared.seen.send_modify(|seen| seen.listed_at = own_read);
            }
            Err(Error::Trimmed) => continue,
            Err(Error::Unavailable(_)) => {}
        }
        if own_read.is_some() {
            publish(shared, &mut list, now, &mut published);
        }
        if reader.failures > 0 {
            reader.wait_to_retry(shared).await;
        } else {
            let due = list
                .removals_due()
                .map(|due| due.saturating_duration_since(now));
            let pause = due.map_or(interval, |due| due.min(interval));
            let is_valid = |snapshot: &Snapshot| {
                let valid_until = snapshot.list_valid_until(own_read, interval);
                valid_until.is_some_and(|until| until > shared.clock.now())
            };
            // A timeout is the next reading.
            let _ = tokio::time::timeout(pause, news.wait_for(is_valid)).await;
        }
    }
}

/// Puts what stands of the list in force.
fn publish<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    list: &mut List,
    now: Instant,
    published: &mut Vec<Endpoint>,
) {
    let listed = list.listed();
    if has_changed(&shared.read.borrow(), &listed) {
        shared.read.send_replace(listed);
    }
    let current = list.current(now);
    if shared.listed.borrow().is_none() || has_changed(published, &current) {
        log_changes(shared, published, &current);
        published.clone_from(&current);
        shared.list(current);
    }
}

/// Takes records of the list.
fn apply_batch<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    list: &mut List,
    now: Instant,
    batch: Batch,
) {
    if batch.is_full {
        let mut endpoints = Vec::new();
        for record in batch.page.records {
            match record {
                Record::Endpoint(endpoint) => endpoints.push(endpoint),
                Record::Unreadable { key, reason } => log_unreadable(shared, &key, &reason),
                _ => {}
            }
        }
        return list.replace(now, endpoints);
    }
    for record in batch.page.records {
        match record {
            Record::Endpoint(endpoint) => list.put(endpoint),
            Record::Removed(id) => list.remove(now, &id),
            Record::Unreadable { key, reason } => {
                log_unreadable(shared, &key, &reason);
                list.remove(now, &key);
            }
            _ => {}
        }
    }
}

/// Whether two lists are the same one.
fn is_same(one: &Option<Arc<Vec<Endpoint>>>, other: &Option<Arc<Vec<Endpoint>>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        _ => false,
    }
}

/// Whether two lists differ.
fn has_changed(before: &[Endpoint], after: &[Endpoint]) -> bool {
    if before.len() != after.len() {
        return true;
    }
    let before_by_id = snapshot::by_id(before);
    let mut after = after.iter();
    after.any(|endpoint| before_by_id.get(endpoint.id.as_str()) != Some(&endpoint))
}

/// Logs what changed between two lists.
fn log_changes<N, C: Clock, D>(shared: &Shared<N, C, D>, before: &[Endpoint], after: &[Endpoint]) {
    let (before_by_id, after_by_id) = (snapshot::by_id(before), snapshot::by_id(after));
    let new = |endpoint: &&Endpoint| before_by_id.get(endpoint.id.as_str()) != Some(endpoint);
    for endpoint in after.iter().filter(new) {
        slog::info!(shared.logger, "endpoints: listed";
            "endpoint" => %endpoint.id, "service" => %endpoint.service,
            "address" => %endpoint.address, "phase" => ?endpoint.phase,
            "draining" => endpoint.draining);
    }
    let gone = |endpoint: &&Endpoint| !after_by_id.contains_key(endpoint.id.as_str());
    for endpoint in before.iter().filter(gone) {
        slog::info!(shared.logger, "endpoints: gone"; "endpoint" => %endpoint.id);
    }
}

/// Announces this host, and follows the others.
async fn follow_hosts<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Hosts);
    let mut pause = SECOND_ANNOUNCE_DELAY;
    loop {
        let host = shared.host();
        let announced = store.announce(&host);
        let announced = tokio::time::timeout(shared.settings.call, announced).await;
        if !matches!(announced, Ok(Ok(()))) {
            slog::debug!(shared.logger, "store: host not announced");
        }
        let batch = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        if let Ok(batch) = batch {
            let mut hosts = lock(&shared.hosts);
            for record in batch.page.records {
                match record {
                    Record::Host(host) => hosts.record(now, host),
                    Record::Unreadable { key, reason } => log_unreadable(shared, &key, &reason),
                    _ => {}
                }
            }
            hosts.remove_expired(now);
            shared.pool().set_host_count(hosts.count());
        }
        // A timeout is the next announcement of its own accord.
        let _ = tokio::time::timeout(pause, shared.announce.notified()).await;
        pause = ANNOUNCE_INTERVAL;
    }
}

/// The entry hosts that announced themselves lately.
#[derive(Debug, Default)]
pub struct Hosts {
    /// The hosts, by name, with when they were heard.
    by_name: BTreeMap<CompactString, (Instant, Host)>,
}

impl Hosts {
    /// Takes an announcement.
    fn record(&mut self, now: Instant, host: Host) {
        self.by_name.insert(host.name.clone(), (now, host));
    }

    /// Forgets hosts that are gone.
    fn remove_expired(&mut self, now: Instant) {
        let is_gone = |at: Instant| now.saturating_duration_since(at) >= HOST_EXPIRY;
        self.by_name.retain(|_, (at, _)| !is_gone(*at));
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_name.len()
    }

    /// Addresses of the hosts to ask for a service's endpoints, the first one
    /// first. All hosts that know the same hosts agree, and each change of them
    /// moves few services.
    pub fn schedulers(&self, service: &str) -> Vec<SocketAddr> {
        self.choose(service, |_| true)
    }

    /// Addresses of the hosts that read the platform for a failure domain, the
    /// first one first. While there are few hosts, one reads for all.
    pub fn readers(&self, domain: &str) -> Vec<SocketAddr> {
        if self.by_name.len() <= MAX_SINGLE_READER_HOSTS {
            return self.choose("", |_| true);
        }
        self.choose(domain, |host| host.domain == domain)
    }

    /// The addresses that stand first for a key among the largest of some
    /// hosts.
    fn choose(&self, key: &str, is_candidate: impl Fn(&Host) -> bool) -> Vec<SocketAddr> {
        let hosts = || {
            let hosts = self.by_name.values().map(|(_, host)| host);
            hosts.filter(|host| is_candidate(host))
        };
        let max_cores = hosts().map(|host| host.cores).fold(0.0, f64::max);
        let large = hosts().filter(|host| host.cores * MAX_CORES_RATIO >= max_cores);
        let members = large.filter_map(|host| Some((host.name.as_str(), host.scheduler?)));
        let members = members.map(|key| Member { key, domain: "" });
        let members = members.collect::<Vec<_>>();
        let chosen = subset::choose(key, "", &members, SCHEDULER_CANDIDATES);
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether a host takes questions at an address.
    pub fn has_scheduler(&self, address: SocketAddr) -> bool {
        let mut hosts = self.by_name.values().map(|(_, host)| host);
        hosts.any(|host| host.scheduler == Some(address))
    }
}
