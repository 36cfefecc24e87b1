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

use super::news::{self, News};
use super::store::{Error, Host, Page, Record, Store, Topic};
use super::{lock, Shared};
use crate::clock::Clock;

/// Pause after a call to the store that failed; doubles with each further.
const PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after calls that failed.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Longest time of a call, its wait not counted. With the longest pause it is
/// under the time in which a configuration must be in force.
const LONGEST_CALL: Duration = Duration::from_secs(1);

/// Time between two announcements of this host. Until it has announced itself,
/// a host is asked nothing; one that is gone is not reached.
const ANNOUNCE: Duration = Duration::from_secs(10);

/// Time from the first announcement to the second: hosts that start together
/// find each other soon.
const SECOND: Duration = Duration::from_secs(2);

/// Time after which an entry host that announced nothing is gone: three
/// announcements that were lost.
const HOST_GONE: Duration = Duration::from_secs(35);

/// Hosts that are asked for a service's endpoints, one after the other, should
/// one be out of reach.
const SCHEDULERS: usize = 3;

/// Most hosts of which one reads for all. Beyond, each failure domain has a
/// reader of its own, so that news do not cross between domains.
const FOLLOWERS: usize = 64;

/// Part of the largest host's processor time that a scheduler must have: one in
/// so much.
const LARGE: f64 = 1.5;

/// Follows all topics, for ever.
pub async fn run<N, C: Clock, D, S: Store>(shared: Arc<Shared<N, C, D>>, store: S) {
    tokio::join!(
        configuration(&shared, &store),
        endpoints(&shared, &store),
        hosts(&shared, &store),
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
struct Read {
    /// The records.
    page: Page,
    /// Whether what they lack is gone.
    whole: bool,
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
    ) -> Result<Read, Error> {
        let whole = self.next.is_none();
        // While the store is away, each call is an attempt to reach it.
        let wait = if whole || self.failures > 0 {
            Duration::ZERO
        } else {
            wait
        };
        let limit = self.stretch(shared.settings.call_timeout, LONGEST_CALL) + wait;
        let call = async {
            match self.next {
                Some(from) => self.store.since(self.topic, from, wait).await,
                None => self.store.newest(self.topic).await,
            }
        };
        let page = tokio::time::timeout(limit, call).await;
        let page = page.unwrap_or_else(|_| Err(Error::Down("no answer".into())));
        self.note(shared, &page);
        let page = page?;
        self.next = Some(page.next);
        Ok(Read { page, whole })
    }

    /// A time that doubles with each failure: a slow store needs it, and one
    /// that is away is not called too often.
    fn stretch(&self, time: Duration, longest: Duration) -> Duration {
        let stretched = time * 2u32.saturating_pow(self.failures.min(8));
        stretched.min(longest.max(time))
    }

    /// Waits after a call that failed, until another topic could be read.
    async fn pause<N, C, D>(&self, shared: &Shared<N, C, D>) {
        if self.failures > 0 {
            // A timeout is the next attempt of its own accord.
            let pause = self.stretch(PAUSE, LONGEST_PAUSE);
            let _ = tokio::time::timeout(pause, shared.store_recovered.notified()).await;
        }
    }

    /// Notes how a call went.
    fn note<N, C: Clock, D>(&mut self, shared: &Shared<N, C, D>, page: &Result<Page, Error>) {
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
            Err(error @ Error::Down(_)) => {
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
fn skip<N, C: Clock, D>(shared: &Shared<N, C, D>, key: &str, why: &str) {
    shared.metrics.count("store.unreadable");
    slog::warn!(shared.logger, "store: record skipped"; "key" => key, "why" => why);
}

/// Follows the configuration.
async fn configuration<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Configuration);
    let mut news = shared.news.subscribe();
    let pace = shared.settings.list_interval;
    loop {
        let now = shared.clock.now();
        let version = shared.table.load().version();
        let holds = news.borrow_and_update().configuration_holds(version, pace);
        if let Some(until) = holds.filter(|until| *until > now) {
            let _ = tokio::time::timeout(until - now, news.changed()).await;
            continue;
        }
        // Hosts that follow this one rely on each answer.
        let wait = if shared.followers.count() > 0 {
            pace
        } else {
            shared.settings.configuration_poll_timeout
        };
        let Ok(read) = reader.read(shared, wait).await else {
            reader.pause(shared).await;
            continue;
        };
        for record in read.page.records {
            match record {
                Record::Configuration(configuration) => apply(shared, configuration),
                Record::Unreadable { key, why } => skip(shared, &key, &why),
                _ => {}
            }
        }
        let now = shared.clock.now();
        shared.seen.send_modify(|seen| seen.configured = Some(now));
        if shared.table.load().version() == 0 {
            tokio::time::sleep(PAUSE).await;
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
async fn endpoints<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Endpoints);
    let mut list = List::new(shared.settings.endpoint_ttl);
    let mut known = Vec::new();
    let mut news = shared.news.subscribe();
    let pace = shared.settings.list_interval;
    let mut own = None;
    let mut taken = None;
    loop {
        let now = shared.clock.now();
        let (endpoints, holds) = {
            let told = news.borrow_and_update();
            (told.endpoints.clone(), told.list_holds(own, pace))
        };
        if let Some(until) = holds.filter(|until| *until > now) {
            list.record_read(now);
            let due = list.removals_due().is_some_and(|due| due <= now);
            // Mostly, the news are that there are none.
            if due || !same(&endpoints, &taken) {
                if let Some(endpoints) = &endpoints {
                    list.replace(now, endpoints.to_vec());
                }
                put(shared, &mut list, now, &mut known);
                taken = endpoints;
            }
            // What was read before is too long ago to go on from.
            reader.next = None;
            let until = list.removals_due().map_or(until, |due| due.min(until));
            // A timeout is the next look.
            let pause = until.saturating_duration_since(now);
            let _ = tokio::time::timeout(pause, news.changed()).await;
            continue;
        }
        taken = None;
        let asked = now;
        let read = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        match read {
            Ok(read) => {
                list.record_read(now);
                take(shared, &mut list, now, read);
                own = Some(asked);
                shared.seen.send_modify(|seen| seen.listed = own);
            }
            Err(Error::Trimmed) => continue,
            Err(Error::Down(_)) => {}
        }
        if own.is_some() {
            put(shared, &mut list, now, &mut known);
        }
        if reader.failures > 0 {
            reader.pause(shared).await;
        } else {
            let due = list
                .removals_due()
                .map(|due| due.saturating_duration_since(now));
            let pause = due.map_or(pace, |due| due.min(pace));
            let holds = |told: &News| {
                let holds = told.list_holds(own, pace);
                holds.is_some_and(|until| until > shared.clock.now())
            };
            // A timeout is the next reading.
            let _ = tokio::time::timeout(pause, news.wait_for(holds)).await;
        }
    }
}

/// Puts what stands of the list in force.
fn put<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    list: &mut List,
    now: Instant,
    known: &mut Vec<Endpoint>,
) {
    let read = list.listed();
    if changed(&shared.listed_endpoints.borrow(), &read) {
        shared.listed_endpoints.send_replace(read);
    }
    let standing = list.current(now);
    if shared.current_endpoints.borrow().is_none() || changed(known, &standing) {
        log(shared, known, &standing);
        known.clone_from(&standing);
        shared.update_endpoints(standing);
    }
}

/// Takes records of the list.
fn take<N, C: Clock, D>(shared: &Shared<N, C, D>, list: &mut List, now: Instant, read: Read) {
    if read.whole {
        let mut endpoints = Vec::new();
        for record in read.page.records {
            match record {
                Record::Endpoint(endpoint) => endpoints.push(endpoint),
                Record::Unreadable { key, why } => skip(shared, &key, &why),
                _ => {}
            }
        }
        return list.replace(now, endpoints);
    }
    for record in read.page.records {
        match record {
            Record::Endpoint(endpoint) => list.put(endpoint),
            Record::Removed(id) => list.remove(now, &id),
            Record::Unreadable { key, why } => {
                skip(shared, &key, &why);
                list.remove(now, &key);
            }
            _ => {}
        }
    }
}

/// Whether two lists are the same one.
fn same(one: &Option<Arc<Vec<Endpoint>>>, other: &Option<Arc<Vec<Endpoint>>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        _ => false,
    }
}

/// Whether two lists differ.
fn changed(before: &[Endpoint], after: &[Endpoint]) -> bool {
    if before.len() != after.len() {
        return true;
    }
    let known = news::by_id(before);
    let mut after = after.iter();
    after.any(|endpoint| known.get(endpoint.id.as_str()) != Some(&endpoint))
}

/// Logs what changed between two lists.
fn log<N, C: Clock, D>(shared: &Shared<N, C, D>, before: &[Endpoint], after: &[Endpoint]) {
    let (known, now) = (news::by_id(before), news::by_id(after));
    let new = |endpoint: &&Endpoint| known.get(endpoint.id.as_str()) != Some(endpoint);
    for endpoint in after.iter().filter(new) {
        slog::info!(shared.logger, "endpoints: listed";
            "endpoint" => %endpoint.id, "service" => %endpoint.service,
            "address" => %endpoint.address, "phase" => ?endpoint.phase,
            "draining" => endpoint.draining);
    }
    let gone = |endpoint: &&Endpoint| !now.contains_key(endpoint.id.as_str());
    for endpoint in before.iter().filter(gone) {
        slog::info!(shared.logger, "endpoints: gone"; "endpoint" => %endpoint.id);
    }
}

/// Announces this host, and follows the others.
async fn hosts<N, C: Clock, D, S: Store>(shared: &Shared<N, C, D>, store: &S) {
    let mut reader = Reader::new(store, Topic::Hosts);
    let mut pause = SECOND;
    loop {
        let host = shared.host();
        let announced = store.announce(&host);
        let announced = tokio::time::timeout(shared.settings.call_timeout, announced).await;
        if !matches!(announced, Ok(Ok(()))) {
            slog::debug!(shared.logger, "store: host not announced");
        }
        let read = reader.read(shared, Duration::ZERO).await;
        let now = shared.clock.now();
        if let Ok(read) = read {
            let mut hosts = lock(&shared.hosts);
            for record in read.page.records {
                match record {
                    Record::Host(host) => hosts.heard(now, host),
                    Record::Unreadable { key, why } => skip(shared, &key, &why),
                    _ => {}
                }
            }
            hosts.forget(now);
            shared.pool().set_host_count(hosts.count());
        }
        // A timeout is the next announcement of its own accord.
        let _ = tokio::time::timeout(pause, shared.announce_requested.notified()).await;
        pause = ANNOUNCE;
    }
}

/// The entry hosts that announced themselves lately.
#[derive(Debug, Default)]
pub struct Hosts {
    /// The hosts, by name, with when they were heard.
    rows: BTreeMap<CompactString, (Instant, Host)>,
}

impl Hosts {
    /// Takes an announcement.
    fn heard(&mut self, now: Instant, host: Host) {
        self.rows.insert(host.name.clone(), (now, host));
    }

    /// Forgets hosts that are gone.
    fn forget(&mut self, now: Instant) {
        let gone = |at: Instant| now.saturating_duration_since(at) >= HOST_GONE;
        self.rows.retain(|_, (at, _)| !gone(*at));
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.rows.len()
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
        if self.rows.len() <= FOLLOWERS {
            return self.choose("", |_| true);
        }
        self.choose(domain, |host| host.domain == domain)
    }

    /// The addresses that stand first for a key among the largest of some
    /// hosts.
    fn choose(&self, key: &str, of: impl Fn(&Host) -> bool) -> Vec<SocketAddr> {
        let hosts = || {
            let hosts = self.rows.values().map(|(_, host)| host);
            hosts.filter(|host| of(host))
        };
        let most = hosts().map(|host| host.cores).fold(0.0, f64::max);
        let large = hosts().filter(|host| host.cores * LARGE >= most);
        let members = large.filter_map(|host| Some((host.name.as_str(), host.scheduler?)));
        let members = members.map(|key| Member { key, domain: "" });
        let members = members.collect::<Vec<_>>();
        let chosen = subset::choose(key, "", &members, SCHEDULERS);
        chosen.into_iter().map(|(_, address)| address).collect()
    }

    /// Whether a host takes questions at an address.
    pub fn has_scheduler(&self, address: SocketAddr) -> bool {
        let mut hosts = self.rows.values().map(|(_, host)| host);
        hosts.any(|host| host.scheduler == Some(address))
    }
}
