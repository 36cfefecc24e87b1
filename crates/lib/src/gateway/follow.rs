//! Follows the configuration, the endpoints, the other entry hosts and what they have learned.
//!
//! No request waits for the store: while it is unavailable, the last readings
//! stay in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use rand::RngExt;

use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::member::{Endpoint, List};
use cranberryridge_policy::gateway::origin;
use cranberryridge_policy::gateway::roster::{self, Roster};
use cranberryridge_policy::gateway::route::{Configuration, Table};
use cranberryridge_policy::subset::{self, Member};
use cranberryridge_wire::Map;

use super::snapshot::{self, Snapshot};
use super::store::{Answer, Error, Host, Page, Record, Store, Topic};
use super::{history, journal, lock, numberings, Shared};
use crate::clock::Clock;

/// Delay after a failed call to the store. Doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum timeout of a call, without its long-polling wait. Together with the
/// longest delay, it is below the time in which a configuration must be in
/// force.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay between the first two announcements, so that hosts that start together
/// soon find each other.
const SECOND_ANNOUNCE_DELAY: Duration = Duration::from_secs(2);

/// Range of the random delay of an announcement after the store came back from
/// an older copy. Hosts must not all announce themselves at once, and a host
/// that started shortly before is unknown to others until then.
const RESTORE_ANNOUNCE_DELAY_MS: std::ops::Range<u64> = 0..1500;

/// Maximum number of hosts whose announcements are removed in one call.
const MAX_REMOVALS: usize = 64;

/// Number of hosts that are tried in turn as the scheduler of a service, in
/// case some are unreachable.
const SCHEDULER_CANDIDATES: usize = 3;

/// Maximum number of hosts for which a single host reads the platform. With
/// more, each failure domain has a reader, so that snapshots do not cross
/// domains.
const MAX_SINGLE_READER_HOSTS: usize = 64;

/// Maximum ratio of the largest host's processor time to that of a scheduler.
const MAX_CORES_RATIO: f64 = 1.5;

/// Follows all topics. Runs until the process ends.
pub async fn run<N, C: Clock, D, S: Store>(shared: Arc<Shared<N, C, D>>, store: S) {
    tokio::join!(
        follow_configuration(&shared, &store),
        follow_endpoints(&shared, &store),
        follow_hosts(&shared, &store),
        numberings::follow(&shared, &store),
        history::follow(&shared, &store),
        journal::follow(&shared, &store),
    );
}

struct Reader<'a, S> {
    store: &'a S,
    topic: Topic,
    /// Offset of the next record, or `None` if the newest records must be read.
    next: Option<u64>,
    /// Era of that offset.
    era: Era,
    /// Number of failed calls since the last successful one.
    failures: u32,
}

/// The records of one call.
struct Batch {
    page: Page,
    /// Whether the records are complete, so that any other entry is gone.
    is_full: bool,
}

impl<'a, S: Store> Reader<'a, S> {
    fn new(store: &'a S, topic: Topic) -> Self {
        Self {
            store,
            topic,
            next: None,
            era: Era::default(),
            failures: 0,
        }
    }

    /// Reads the next records, or the newest record of each key at first.
    async fn read<N, C: Clock, D>(
        &mut self,
        shared: &Shared<N, C, D>,
        wait: Duration,
    ) -> Result<Batch, Error> {
        let mut eras = shared.era.subscribe();
        if *eras.borrow_and_update() != self.era {
            self.next = None;
        }
        let is_full = self.next.is_none();
        // After a failure, each call only probes whether the store is back.
        let wait = if is_full || self.failures > 0 {
            Duration::ZERO
        } else {
            wait
        };
        let limit = self.backoff(shared.settings.call_timeout, MAX_CALL_TIMEOUT) + wait;
        let call = async {
            match self.next {
                Some(from) => self.store.since(self.topic, from, wait).await,
                None => self.store.newest(self.topic).await,
            }
        };
        let answer = tokio::select! {
            answer = tokio::time::timeout(limit, call) => {
                answer.unwrap_or_else(|_| Answer::none(Error::Unavailable("no answer".into())))
            }
            // The offset belongs to an earlier era.
            _ = eras.changed(), if !is_full => Answer::none(Error::Trimmed),
        };
        let page = self.check_era(shared, answer);
        self.record_result(shared, &page);
        let page = page?;
        self.next = Some(page.next);
        Ok(Batch { page, is_full })
    }

    /// Returns the page of an answer if its era is the current one and that of
    /// the offset from which it was read.
    fn check_era<N, C: Clock, D>(
        &mut self,
        shared: &Shared<N, C, D>,
        answer: Answer<Page>,
    ) -> Result<Page, Error> {
        let era = answer.era.unwrap_or(*shared.era.borrow());
        if !shared.observe_era(era) {
            return Err(Error::Outdated);
        }
        if self.next.is_some() && self.era != era {
            return Err(Error::Trimmed);
        }
        self.era = era;
        answer.result
    }

    /// Doubles a time with each failure, up to `longest`. A slow store needs
    /// longer timeouts, and an unavailable one should not be called too often.
    fn backoff(&self, time: Duration, longest: Duration) -> Duration {
        let doubled = time * 2u32.saturating_pow(self.failures.min(8));
        doubled.min(longest.max(time))
    }

    /// Waits after a failed call, until the delay is over or a call for another
    /// topic succeeds again.
    async fn wait_to_retry<N, C, D>(&self, shared: &Shared<N, C, D>) {
        if self.failures > 0 {
            // The next attempt follows either way.
            let pause = self.backoff(RETRY_DELAY, MAX_RETRY_DELAY);
            let _ = tokio::time::timeout(pause, shared.store_recovered.notified()).await;
        }
    }

    /// Records the result of a call.
    fn record_result<N, C: Clock, D>(
        &mut self,
        shared: &Shared<N, C, D>,
        page: &Result<Page, Error>,
    ) {
        let topic = format!("{:?}", self.topic);
        match page {
            Ok(_) if self.failures > 0 => {
                self.failures = 0;
                shared.store_recovered.notify_waiters();
                slog::info!(shared.logger, "store: back"; "topic" => topic);
            }
            Ok(_) => {}
            Err(Error::Trimmed) => {
                self.next = None;
                slog::info!(shared.logger, "store: records deleted, reading the newest";
                    "topic" => topic);
            }
            Err(error @ (Error::Unavailable(_) | Error::Outdated)) => {
                shared.metrics.count("store.failed");
                if self.failures == 0 {
                    slog::warn!(shared.logger, "store: lost"; "topic" => topic, "error" => %error);
                }
                self.failures += 1;
            }
        }
    }
}

/// Logs a record that could not be decoded.
fn log_unreadable<N, C: Clock, D>(shared: &Shared<N, C, D>, key: &str, reason: &str) {
    shared.metrics.count("store.unreadable");
    slog::warn!(shared.logger, "store: record skipped"; "key" => key, "why" => reason);
}

async fn follow_configuration<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Configuration);
    let mut news = shared.news.subscribe();
    let interval = shared.settings.list_interval;
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
        // Followers discard readings that are too old, so this host uses a
        // shorter long poll while it has followers.
        let wait = if shared.followers.count() > 0 {
            interval
        } else {
            shared.settings.configuration_poll_timeout
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

/// Puts a configuration in force if it is newer than the current one.
fn apply<N, C: Clock, D>(shared: &Shared<N, C, D>, configuration: Configuration) {
    let before = shared.table.load().version();
    let version = configuration.version;
    if version <= before {
        return;
    }
    let (routes, services) = (configuration.routes.len(), configuration.services.len());
    let table = Arc::new(Table::new(configuration));
    // Before a request can take its new route.
    shared.record_moves(&table);
    shared.table.store(table);
    shared.metrics.count("configuration.applied");
    slog::info!(shared.logger, "configuration: in force";
        "version" => version, "before" => before, "routes" => routes, "services" => services);
}

async fn follow_endpoints<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Endpoints);
    let mut list = List::new(shared.settings.endpoint_ttl);
    let mut published = Vec::new();
    let mut news = shared.news.subscribe();
    let interval = shared.settings.list_interval;
    let mut own_read = None;
    let mut adopted = None;
    let mut era = *shared.era.borrow();
    loop {
        let now = shared.clock.now();
        begin_era(shared, &mut list, now, &mut era);
        let (endpoints, listed_at, valid_until) = {
            let snapshot = news.borrow_and_update();
            (
                snapshot.endpoints.clone(),
                snapshot.listed_at,
                snapshot.list_valid_until(own_read, interval),
            )
        };
        if let Some(until) = valid_until.filter(|until| *until > now) {
            list.record_read(now);
            let age = listed_at.map(|read_at| now.saturating_duration_since(read_at));
            shared.record_list(age.unwrap_or_default());
            let is_due = list.change_due().is_some_and(|due| due <= now);
            // Most messages bring no change.
            if is_due || !is_same(&endpoints, &adopted) {
                if let Some(endpoints) = &endpoints {
                    list.replace(now, endpoints.to_vec());
                }
                publish(shared, &mut list, now, &mut published);
                adopted = endpoints;
            }
            // The next own reading must be complete, as this offset is too old.
            reader.next = None;
            // Others follow this host again once it reaches the store.
            if !shared.is_reader() {
                let until = list.change_due().map_or(until, |due| due.min(until));
                // On a timeout, the snapshot is checked again.
                let pause = until.saturating_duration_since(now);
                let _ = tokio::time::timeout(pause, news.changed()).await;
                continue;
            }
        }
        adopted = None;
        let started = shared.clock.moment();
        let batch = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        begin_era(shared, &mut list, now, &mut era);
        let is_read = batch.is_ok();
        match batch {
            Ok(batch) => {
                list.record_read(now);
                shared.record_list(now.saturating_duration_since(started.now));
                apply_batch(shared, &mut list, now, batch);
                own_read = Some(started.now);
                shared.seen.send_modify(|seen| seen.listed = Some(started));
            }
            Err(Error::Trimmed) => continue,
            Err(Error::Unavailable(_) | Error::Outdated) => {}
        }
        if own_read.is_some() {
            publish(shared, &mut list, now, &mut published);
        }
        if is_read && list.is_complete(started.now) {
            shared.record_reading(started);
        }
        if reader.failures > 0 {
            reader.wait_to_retry(shared).await;
        } else {
            let due = list
                .change_due()
                .map(|due| due.saturating_duration_since(now));
            let pause = due.map_or(interval, |due| due.min(interval));
            let is_valid = |snapshot: &Snapshot| {
                let valid_until = snapshot.list_valid_until(own_read, interval);
                valid_until.is_some_and(|until| until > shared.clock.now())
            };
            // On a timeout, the list is read again.
            let _ = tokio::time::timeout(pause, news.wait_for(is_valid)).await;
        }
    }
}

/// Prepares the list for a new era of the store. `era` is the last one that the
/// list was prepared for.
fn begin_era<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    list: &mut List,
    now: Instant,
    era: &mut Era,
) {
    let current = *shared.era.borrow();
    if current > *era {
        *era = current;
        list.begin_era(now);
    }
}

/// Publishes the list as read, and the endpoints that are in force.
fn publish<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    list: &mut List,
    now: Instant,
    published: &mut Vec<Endpoint>,
) {
    let current = list.current(now);
    let listed = list.listed();
    if has_changed(&shared.listed_endpoints.borrow(), &listed) {
        shared.listed_endpoints.send_replace(listed);
    }
    if shared.current_endpoints.borrow().is_none() || has_changed(published, &current) {
        log_changes(shared, published, &current);
        published.clone_from(&current);
        shared.update_endpoints(current);
        shared.resolve_lost_prompts(published);
    }
}

/// Applies the records of one call to the list.
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

/// Returns whether both are the same allocation.
fn is_same(one: &Option<Arc<Vec<Endpoint>>>, other: &Option<Arc<Vec<Endpoint>>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        _ => false,
    }
}

/// Returns whether the endpoints differ, in any order.
fn has_changed(before: &[Endpoint], after: &[Endpoint]) -> bool {
    if before.len() != after.len() {
        return true;
    }
    let before_by_id = snapshot::by_id(before);
    let mut after = after.iter();
    after.any(|endpoint| before_by_id.get(endpoint.id.as_str()) != Some(&endpoint))
}

/// Logs the endpoints that were added, changed or removed.
fn log_changes<N, C: Clock, D>(shared: &Shared<N, C, D>, before: &[Endpoint], after: &[Endpoint]) {
    let (before_by_id, after_by_id) = (snapshot::by_id(before), snapshot::by_id(after));
    let new = |endpoint: &&Endpoint| before_by_id.get(endpoint.id.as_str()) != Some(endpoint);
    for endpoint in after.iter().filter(new) {
        slog::info!(shared.logger, "endpoints: listed";
            "endpoint" => %endpoint.id, "service" => %endpoint.service,
            "address" => %endpoint.address, "phase" => ?endpoint.phase,
            "version" => %endpoint.version,
            "draining" => endpoint.draining);
    }
    let gone = |endpoint: &&Endpoint| !after_by_id.contains_key(endpoint.id.as_str());
    for endpoint in before.iter().filter(gone) {
        slog::info!(shared.logger, "endpoints: gone"; "endpoint" => %endpoint.id);
    }
}

/// Announces this host and follows the announcements of others.
async fn follow_hosts<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Hosts);
    let mut pause = SECOND_ANNOUNCE_DELAY;
    let mut eras = shared.era.subscribe();
    loop {
        let sent_at = shared.clock.now();
        let host = shared.host();
        let announced = store.announce(&host);
        let announced = tokio::time::timeout(shared.settings.call_timeout, announced).await;
        let announced = announced.ok();
        if let Some(era) = announced.as_ref().and_then(|answer| answer.era) {
            shared.observe_era(era);
        }
        if announced.is_some_and(|answer| answer.result.is_ok()) {
            let mut hosts = lock(&shared.hosts);
            hosts.roster.record(sent_at, host.name.clone(), host);
            hosts.roster.record_announcement(sent_at);
        } else {
            slog::debug!(shared.logger, "store: announcement failed");
        }
        let era_before = reader.era;
        let batch = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        if let Ok(batch) = batch {
            let is_restored = batch.is_full && reader.era != era_before;
            let next = batch.page.next;
            record_hosts(shared, now, batch, is_restored);
            remove_hosts(shared, store, next).await;
        }
        // On a timeout, the host announces itself again.
        let wait = tokio::time::timeout(pause, shared.announce_requested.notified());
        tokio::select! {
            _ = wait => {}
            _ = eras.changed() => {
                // The copy may lack the last announcement.
                let delay = rand::rng().random_range(RESTORE_ANNOUNCE_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay)).await;
            }
        }
        pause = shared.settings.roster.announce_interval;
    }
}

/// Records the announcements of one call, from an older copy of the store if `is_restored`.
fn record_hosts<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    now: Instant,
    batch: Batch,
    is_restored: bool,
) {
    let mut hosts = lock(&shared.hosts);
    for record in batch.page.records {
        match record {
            Record::Host(host) => hosts.record(now, host, is_restored),
            Record::Removed(name) => hosts.roster.record_removal(now, &name),
            Record::Unreadable { key, reason } => log_unreadable(shared, &key, &reason),
            _ => {}
        }
    }
    hosts.finish_reading(now);
    shared.pool().set_host_count(hosts.count());
}

/// Removes the announcements of hosts that are gone from the store, if this host is the one that
/// does so. `next` is the offset up to which it has read them: a host that has announced itself
/// since is not gone.
async fn remove_hosts<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S, next: u64) {
    let names = {
        let hosts = lock(&shared.hosts);
        if hosts.hubs().first() != Some(&shared.settings.scheduler) {
            return;
        }
        let names = hosts.roster.removable().take(MAX_REMOVALS).cloned();
        names.collect::<Vec<_>>()
    };
    if names.is_empty() {
        return;
    }
    match shared.call_store(store.remove_hosts(&names, next)).await {
        Ok(true) => {
            let (now, mut hosts) = (shared.clock.now(), lock(&shared.hosts));
            for name in &names {
                hosts.roster.record_removal(now, name);
            }
            slog::info!(shared.logger, "hosts: gone, announcements removed";
                "hosts" => names.join(" "));
        }
        // They are removed after the next reading.
        Ok(false) => {}
        Err(error) => {
            slog::debug!(shared.logger, "hosts: removal failed"; "error" => %error);
        }
    }
}

/// The entry hosts with a recent announcement.
#[derive(Debug)]
pub struct Hosts {
    roster: Roster<Host>,
    /// Last known addresses of the hosts' schedulers, also of hosts that are stopping.
    addresses: Map<CompactString, SocketAddr>,
}

impl Hosts {
    /// Creates a list without hosts.
    pub fn new(settings: roster::Settings) -> Self {
        Self {
            roster: Roster::new(settings),
            addresses: Map::default(),
        }
    }

    /// Records an announcement, from an older copy of the store if `is_restored`.
    fn record(&mut self, now: Instant, host: Host, is_restored: bool) {
        if let Some(address) = host.scheduler {
            self.addresses.insert(host.name.clone(), address);
        }
        if is_restored {
            self.roster.record_restored(now, host.name.clone(), host);
        } else {
            self.roster.record(now, host.name.clone(), host);
        }
    }

    /// Records that all announcements have been read.
    fn finish_reading(&mut self, now: Instant) {
        self.roster.finish_reading(now);
        let roster = &self.roster;
        self.addresses.retain(|name, _| roster.get(name).is_some());
    }

    /// Returns the number of known hosts.
    pub fn count(&self) -> usize {
        self.roster.count()
    }

    /// Returns the part of a limit of all hosts that this host may use.
    pub fn share(&self, now: Instant) -> f64 {
        self.roster.share(now)
    }

    /// Returns whether no other host has removed this one.
    pub fn is_listed(&self, now: Instant) -> bool {
        self.roster.is_listed(now)
    }

    /// Returns whether all hosts know of this one.
    pub fn is_known_to_all(&self, now: Instant) -> bool {
        self.roster.is_known_to_all(now)
    }

    /// Returns the addresses of a service's scheduler and its substitutes, in
    /// order of preference. Hosts that know the same hosts agree on them, and a
    /// change of the hosts moves few services.
    pub fn schedulers(&self, service: &str) -> Vec<SocketAddr> {
        self.choose(service, SCHEDULER_CANDIDATES, |_| true)
    }

    /// Returns the addresses of the hosts that keep the record of a service's stream.
    pub fn keepers(&self, service: &str, stream: u64) -> Vec<SocketAddr> {
        let count = origin::keeper_count(self.count());
        self.choose(&origin::keeper_key(service, stream), count, |_| true)
    }

    /// Returns the addresses of the host that reads the platform for a failure
    /// domain and its substitutes, in order of preference. One host reads for
    /// all domains if there are few hosts.
    pub fn readers(&self, domain: &str) -> Vec<SocketAddr> {
        if self.count() <= MAX_SINGLE_READER_HOSTS {
            return self.hubs();
        }
        let is_candidate = |host: &Host| host.domain == domain;
        self.choose(domain, SCHEDULER_CANDIDATES, is_candidate)
    }

    /// Returns the addresses of the host that links the readers of all failure domains and
    /// its substitutes, in order of preference.
    pub fn hubs(&self) -> Vec<SocketAddr> {
        self.choose("", SCHEDULER_CANDIDATES, |_| true)
    }

    /// Returns the addresses of the host that keeps the quotas and its substitutes, in order of
    /// preference. A stopping host keeps its rank, as hosts learn of stops and starts one after the
    /// other, and would lend to several hosts meanwhile. A link tells sooner whether it is there.
    pub fn ledgers(&self) -> Vec<SocketAddr> {
        let address = |host: &Host| {
            let last = self.addresses.get(&host.name).copied();
            host.scheduler.or(last)
        };
        self.choose_at("", SCHEDULER_CANDIDATES, |_| true, address)
    }

    /// Returns the addresses of the `count` preferred hosts for a key, in order of
    /// preference. Candidates with too few cores ([`MAX_CORES_RATIO`]) are left
    /// out.
    fn choose(
        &self,
        key: &str,
        count: usize,
        is_candidate: impl Fn(&Host) -> bool,
    ) -> Vec<SocketAddr> {
        self.choose_at(key, count, is_candidate, |host| host.scheduler)
    }

    /// Returns the same of the hosts' addresses that `address` returns.
    fn choose_at(
        &self,
        key: &str,
        count: usize,
        is_candidate: impl Fn(&Host) -> bool,
        address: impl Fn(&Host) -> Option<SocketAddr>,
    ) -> Vec<SocketAddr> {
        let hosts = || {
            let hosts = self.roster.iter().map(|(_, host)| host);
            hosts.filter(|host| is_candidate(host))
        };
        let max_cores = hosts().map(|host| host.cores).fold(0.0, f64::max);
        let large = hosts().filter(|host| host.cores * MAX_CORES_RATIO >= max_cores);
        let members = large.filter_map(|host| Some((host.name.as_str(), address(host)?)));
        let members = members.map(|key| Member { key, domain: "" });
        let members = members.collect::<Vec<_>>();
        let chosen = subset::choose(key, "", &members, count);
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns whether a known host runs a scheduler at this address.
    pub fn has_scheduler(&self, address: SocketAddr) -> bool {
        let mut hosts = self.roster.iter().map(|(_, host)| host);
        hosts.any(|host| host.scheduler == Some(address))
    }
}
