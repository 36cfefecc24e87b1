//! Gateway processes with stand-ins for the platform and endpoints, and checks of
//! the results.

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::Instant;

use cranberryridge::net::Tcp;
use cranberryridge_standin::runner::{self, Runner};
use cranberryridge_standin::server::Server;
use cranberryridge_standin::store::{self, Store};
use cranberryridge_standin::stream::Ledger;

use super::budget::{assert_within_budget, FIXED_RETRIES};
use super::endless;
use super::late::LATE_ROUTES;
use super::limit::LIMITS;
use super::load::Row;
use super::order;
use super::proxy::{Mode, Proxy};
use super::release::Link;

/// Memory of a gateway's host, in megabytes.
pub const MEMORY_MB: usize = 110;

/// Hosts of the gateways begin with this one.
const FIRST_GATEWAY_HOST: u8 = 2;

/// Hosts of the endpoints begin with this one.
const FIRST_RUNNER_HOST: u8 = 240;

/// Port at which other gateways ask one.
const SCHEDULER_PORT: u16 = 7003;

/// Ports of the links of a gateway, to the store and to others, begin with this one.
const FIRST_LINK_PORT: u16 = 7100;

/// Ports at which the store serves the gateways' links begin with this one.
const FIRST_STORE_PORT: u16 = 8000;

/// Bytes of an event of a stream beside its names.
const FILLER_BYTES: usize = 12;

/// Minimum share of requests served after the faults are over.
const MIN_SERVED_SHARE: f64 = 0.95;

/// Maximum number of prompts with a part that crashes engines that are sent after the
/// faults are over.
const MAX_LATE_SENDS: usize = 3;

/// Stage of an engine, and the version of its software, empty if it names none.
pub type Engine = (&'static str, &'static str);

/// Engines of a site.
pub const ENGINES: [Engine; 3] = [("prefill", ""), ("decode", ""), ("decode", "")];

/// Engines of a site with several versions.
pub const VERSION_ENGINES: [Engine; 6] = [
    ("prefill", "v1"),
    ("decode", "v1"),
    ("decode", "v1"),
    ("prefill", "v1.2"),
    ("decode", "v1.2"),
    ("decode", "v1.2"),
];

/// Engines of a site whose endpoints answer a continuation in other forms.
pub const CONTINUATION_ENGINES: [Engine; 4] = [
    ("prefill", "v1"),
    ("decode", "v1"),
    ("decode", "v1"),
    ("decode", "v1"),
];

/// Engines of a site with releases. Those of other versions than the first one join later.
pub const RELEASE_ENGINES: [Engine; 9] = [
    ("prefill", "v1"),
    ("decode", "v1"),
    ("decode", "v1"),
    ("prefill", "v2"),
    ("decode", "v2"),
    ("decode", "v2"),
    ("prefill", "v3"),
    ("decode", "v3"),
    ("decode", "v3"),
];

/// Entry of an endpoint in the store.
pub struct Entry {
    /// Id of the endpoint.
    pub id: String,
    /// The entry, or null while the endpoint is gone.
    pub value: Value,
    /// Ids of the endpoints that this one has replaced.
    pub removed: Vec<String>,
}

/// A gateway process.
struct Process {
    /// Its settings file.
    settings: PathBuf,
    /// The child process.
    child: Child,
    /// Whether a signal has frozen it.
    is_frozen: bool,
    /// Times from when to when signals were sent that kill, freeze or thaw it.
    interruptions: Vec<RangeInclusive<Instant>>,
}

/// The gateways, the endpoints behind proxies and the store.
pub struct Site {
    /// Stand-in for the platform's store.
    pub store: Store,
    /// Stand-ins for the endpoints.
    pub runners: Vec<Runner>,
    /// What they made of streams.
    pub ledger: Ledger,
    /// Proxies in front of the endpoints, by index.
    pub proxies: Vec<Proxy>,
    /// Links of the gateways, if the site has releases.
    pub links: Vec<Link>,
    /// Servers of the store, which stop when dropped.
    store_servers: Vec<Server>,
    /// Servers of the endpoints by index, which stop when dropped.
    pub servers: Vec<Option<Server>>,
    /// Processes of the gateways.
    processes: Vec<Process>,
    /// Third octet of all addresses.
    subnet: u8,
    /// Entries of the endpoints in the store, by index.
    pub entries: Arc<Mutex<Vec<Entry>>>,
    /// Entries of engines that are yet to join, each with its index.
    pub waiting: Vec<(usize, Value)>,
    /// Gateways that signals of faults spare, by index.
    pub spared: Vec<usize>,
    /// The last published configuration and its version.
    configuration: Value,
    version: u64,
    /// Whether the configuration has the routes of late requests.
    has_late_routes: bool,
    /// Whether it has the routes of answers without end.
    has_endless_routes: bool,
    /// Ids of the gateways' processes.
    pub process_ids: Arc<Mutex<Vec<u32>>>,
    /// Time at which the last frozen gateway thawed, or `None` while one is frozen.
    pub thawed_at: Arc<Mutex<Option<Instant>>>,
}

/// Parameters of a site.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u8,
    /// The engines.
    pub engines: &'static [Engine],
    /// Duration of a plain call.
    pub service_time: Duration,
    /// Whether there are routes for requests that become whole late.
    pub has_late_routes: bool,
    /// Whether there are endpoints and routes of answers without end.
    pub has_endless_routes: bool,
    /// Whether only engines of the first version are listed at first, and the gateways' links
    /// lead through proxies.
    pub has_releases: bool,
}

impl Site {
    /// Starts everything and waits until the gateways accept connections.
    pub async fn start(subnet: u8, settings: Settings) -> Self {
        let at = |host, port| address(subnet, host, port);
        let store = Store::default();
        let store_server = store.serve(&Tcp, at(1, 7001)).await.unwrap();
        let mut servers = Vec::new();
        let (mut runners, mut proxies) = (Vec::new(), Vec::new());
        let mut entries = Vec::new();
        let mut waiting = Vec::new();
        let ledger = Ledger::new(FILLER_BYTES);
        let plain = [(None, ""), (None, "")].into_iter();
        let engines = { settings.engines }
            .iter()
            .map(|(phase, version)| (Some(*phase), *version));
        for (index, (phase, version)) in plain.chain(engines).enumerate() {
            let host = FIRST_RUNNER_HOST + index as u8;
            let runner = Runner::new(runner::Settings {
                id: format!("i-{index}"),
                phase,
                version: version.into(),
                service_time: if phase.is_some() {
                    runner::Settings::default().service_time
                } else {
                    settings.service_time
                },
                ledger: Some(ledger.clone()),
                ..runner::Settings::default()
            });
            servers.push(runner.serve(&Tcp, at(host, 7001)).await.ok());
            let proxy = Proxy::start(at(host, 7002), at(host, 7001)).await;
            let service = if phase.is_some() { "model" } else { "orders" };
            let mut entry = json!({
                "service": service, "address": proxy.address.to_string(), "zone": "a",
                "slots": 8, "state": "ready", "born": 1,
            });
            if let Some(phase) = phase {
                entry["phase"] = phase.into();
            }
            if !version.is_empty() {
                entry["version"] = version.into();
            }
            if settings.has_releases && phase.is_some() && version != RELEASE_ENGINES[0].1 {
                waiting.push((index, entry.take()));
            } else {
                store.put("keyed.servers", &runner.settings.id, Some(&entry));
            }
            entries.push(Entry {
                id: runner.settings.id.clone(),
                value: entry,
                removed: Vec::new(),
            });
            runners.push(runner);
            proxies.push(proxy);
        }
        if settings.has_endless_routes {
            for endpoint in endless::start_endpoints(subnet).await {
                let (id, value) = endpoint;
                store.put("keyed.servers", &id, Some(&value));
                entries.push(Entry {
                    id,
                    value,
                    removed: Vec::new(),
                });
            }
        }
        let mut site = Self {
            store,
            runners,
            ledger,
            proxies,
            links: Vec::new(),
            store_servers: vec![store_server],
            servers,
            processes: Vec::new(),
            subnet,
            entries: Arc::new(Mutex::new(entries)),
            waiting,
            spared: Vec::new(),
            configuration: Value::Null,
            version: 0,
            has_late_routes: settings.has_late_routes,
            has_endless_routes: settings.has_endless_routes,
            process_ids: Arc::default(),
            thawed_at: Arc::new(Mutex::new(Some(Instant::now()))),
        };
        site.publish_configuration();
        let hosts = (FIRST_GATEWAY_HOST..FIRST_RUNNER_HOST).take(settings.gateways.into());
        let hosts = hosts.collect::<Vec<_>>();
        if settings.has_releases {
            site.start_links(&hosts).await;
        }
        for host in hosts {
            let settings = site.write_settings(host);
            let child = start_gateway(&settings);
            site.processes.push(Process {
                settings,
                child,
                is_frozen: false,
                interruptions: Vec::new(),
            });
        }
        site.record_processes();
        for gateway in site.gateways() {
            while tokio::net::TcpStream::connect(gateway).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        site
    }

    /// Puts a proxy between each gateway and the store, and between any two gateways. The store
    /// tells each of them the others' addresses as those of its links.
    async fn start_links(&mut self, hosts: &[u8]) {
        for (index, host) in hosts.iter().enumerate() {
            let port = FIRST_LINK_PORT + u16::from(*host);
            let mut replacements = Vec::new();
            for (other_index, other) in hosts.iter().enumerate().filter(|(_, other)| *other != host)
            {
                let scheduler = address(self.subnet, *other, SCHEDULER_PORT);
                let proxy = Proxy::start(address(self.subnet, *other, port), scheduler).await;
                replacements.push((scheduler.to_string(), proxy.address.to_string()));
                self.links.push(Link {
                    from: index,
                    to: Some(other_index),
                    proxy,
                });
            }
            let at = address(self.subnet, 1, FIRST_STORE_PORT + u16::from(*host));
            let store = self.store.translated(replacements);
            self.store_servers
                .push(store.serve(&Tcp, at).await.unwrap());
            self.links.push(Link {
                from: index,
                to: None,
                proxy: Proxy::start(address(self.subnet, 1, port), at).await,
            });
        }
    }

    /// Lists the engines of the next version. Those before them serve on.
    pub fn list_next_version(&mut self) {
        let next = { self.waiting.first() }.map(|(_, entry)| entry["version"].clone());
        let mut entries = self.entries.lock().unwrap();
        for (index, value) in { &mut self.waiting }
            .extract_if(.., |(_, entry)| Some(&entry["version"]) == next.as_ref())
        {
            let entry = &mut entries[index];
            self.store.put("keyed.servers", &entry.id, Some(&value));
            entry.value = value;
        }
    }

    /// Lets a plain endpoint and a decode engine name limits.
    pub fn name_limits(&self) {
        for (index, limit) in LIMITS {
            self.runners[index].set_limit(Some(limit));
        }
    }

    /// Writes the settings file of a gateway.
    fn write_settings(&self, host: u8) -> PathBuf {
        let ip = address(self.subnet, host, 0).ip();
        let store_port = if self.links.is_empty() {
            7001
        } else {
            FIRST_LINK_PORT + u16::from(host)
        };
        let store = address(self.subnet, 1, store_port);
        let text = format!(
            "nodeName = \"front-{host}\"\nzone = \"a\"\nheartbeatMs = 1200\n\
             ip = \"{ip}\"\nportRange = [{SCHEDULER_PORT}, 7010]\n\
             [listen]\nfront = \"{ip}:7001\"\nready = \"{ip}:7002\"\n\
             [limits]\nmemoryMb = {MEMORY_MB}\ncpuShare = 0.2\ncores = 1\n[contractParams]\n\
             budgetExtra = {FIXED_RETRIES}\n\
             [platform]\naddress = \"{store}\"\n"
        );
        let name = format!("soak-{}-{}-{host}.toml", std::process::id(), self.subnet);
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Addresses of the gateways for callers.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let hosts = (FIRST_GATEWAY_HOST..).take(self.processes.len());
        hosts.map(|host| address(self.subnet, host, 7001)).collect()
    }

    /// Number of gateways.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Sends a signal to a gateway if its process is still running, unless it is spared.
    pub fn signal(&mut self, index: usize, name: &str) {
        if !self.spared.contains(&index) {
            self.send_signal(index, name);
        }
    }

    /// Sends a signal to a gateway if its process is still running.
    pub fn send_signal(&mut self, index: usize, name: &str) {
        let process = &mut self.processes[index];
        if matches!(process.child.try_wait(), Ok(None)) {
            let command = format!("kill -{name} {}", process.child.id());
            let sent_from = Instant::now();
            // The process may have ended in the meantime.
            let _ = Command::new("sh").args(["-c", &command]).status();
            if ["KILL", "STOP", "CONT"].contains(&name) {
                process.is_frozen = name == "STOP";
                process.interruptions.push(sent_from..=Instant::now());
            }
        }
        self.record_thaw();
    }

    /// Records whether a gateway is frozen, or when the last one thawed.
    fn record_thaw(&self) {
        let mut thawed_at = self.thawed_at.lock().unwrap();
        if self.processes.iter().any(|process| process.is_frozen) {
            *thawed_at = None;
        } else if thawed_at.is_none() {
            *thawed_at = Some(Instant::now());
        }
    }

    /// Returns whether a gateway was killed, frozen or thawed in a time.
    pub fn is_interrupted(&self, gateway: SocketAddr, from: Instant, until: Instant) -> bool {
        let index = self.gateways().iter().position(|other| *other == gateway);
        let interruptions = index.map(|index| &self.processes[index].interruptions);
        let mut interruptions = interruptions.into_iter().flatten();
        interruptions.any(|at| *at.start() <= until && from <= *at.end())
    }

    /// Restarts the gateways whose processes have ended.
    pub fn restart_ended(&mut self) {
        for process in &mut self.processes {
            if !matches!(process.child.try_wait(), Ok(None)) {
                process.child = start_gateway(&process.settings);
                process.is_frozen = false;
            }
        }
        self.record_processes();
        self.record_thaw();
    }

    /// Records the ids of the gateways' processes.
    fn record_processes(&self) {
        let ids = self.processes.iter().map(|process| process.child.id());
        *self.process_ids.lock().unwrap() = ids.collect();
    }

    /// Ends all faults and resumes stopped gateways.
    pub fn end_faults(&mut self) {
        self.store.set_fault(store::Fault::None);
        for proxy in &self.proxies {
            proxy.set(Mode::Open);
        }
        for index in 0..self.processes.len() {
            self.signal(index, "CONT");
        }
        for runner in &self.runners {
            runner.clear_faults();
            runner.set_rest(None);
        }
    }

    /// Puts a new version of the configuration into the store.
    pub fn publish_configuration(&mut self) {
        self.version += 3;
        let route = |name: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": name, "host": "desk.example", "pathPrefix": format!("/{name}/"),
                "kind": kind, "timeoutMs": 2400 + self.version, "sloMs": 1000,
                "service": service, "attempts": attempts, "gapAimMs": 300,
            })
        };
        let mut resumable = route("list", "streaming", "model", 2);
        resumable["resumable"] = true.into();
        let mut routes = vec![
            route("read", "idempotent", "orders", 2),
            route("book", "non_idempotent", "orders", 1),
            route("note", "streaming", "model", 1),
            resumable,
        ];
        if self.has_late_routes {
            for (name, kind, service, attempts) in LATE_ROUTES {
                let mut late = route(name, kind, service, attempts);
                late["timeoutMs"] = (30_000 + self.version).into();
                routes.push(late);
            }
        }
        let engine = json!({
            "slots": 64, "kvCapacity": 30000, "stride": 11, "holdMs": 2000.0,
        });
        let mut services = vec![
            json!({ "name": "orders" }),
            json!({ "name": "model", "engine": engine }),
        ];
        if self.has_endless_routes {
            for (name, kind, service) in endless::ROUTES {
                routes.push(route(name, kind, service, 2));
            }
            services.push(json!({ "name": endless::SERVICE }));
            services.push(json!({ "name": endless::MODEL, "engine": engine }));
        }
        let configuration = json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": { "headerBytes": 16384, "bodyBytes": 100_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        });
        self.store.put("keyed.op", "config", Some(&configuration));
        self.configuration = configuration;
    }

    /// Lets the store return from a copy that is `age` old. The operator and the
    /// endpoints write again what they wrote since.
    pub fn restore_store(&self, age: Duration) {
        self.store.restore(age);
        let configuration = Some(&self.configuration);
        self.store.put("keyed.op", "config", configuration);
        let entries = self.entries.lock().unwrap();
        for entry in &*entries {
            for id in &entry.removed {
                self.store.put("keyed.servers", id, None);
            }
            if !entry.value.is_null() {
                self.store
                    .put("keyed.servers", &entry.id, Some(&entry.value));
            }
        }
    }

    /// Prints how many streams gateways joined from several runs, and how many of them ended as
    /// complete.
    fn print_joined(&self, seed: u64, rows: &[Row]) {
        let calls = self.runners.iter().flat_map(Runner::calls);
        let calls = calls.filter(|call| call.ran).collect::<Vec<_>>();
        let attempt = |call: &runner::Call| call.headers["attempt-id"].to_str().unwrap().to_owned();
        let mut runs = HashMap::<String, usize>::new();
        for call in &calls {
            *runs.entry(attempt(call)).or_default() += 1;
        }
        let resumed = calls
            .iter()
            .filter(|call| call.headers.contains_key("last-event-id"));
        let resumed = resumed.map(attempt).filter(|attempt| runs[attempt] > 1);
        let resumed = resumed.collect::<HashSet<_>>();
        let complete = rows
            .iter()
            .filter(|row| row.status == Some(200) && row.body.is_some());
        let complete = complete
            .filter(|row| resumed.contains(&row.attempt))
            .count();
        println!(
            "soak: seed {seed}: {} streams had a second run, {complete} of them ended as complete",
            resumed.len()
        );
    }

    /// Checks how often requests ran, what callers received, that no endpoint
    /// still runs or reserves anything, and that service has recovered.
    pub fn assert_guarantees(&self, seed: u64, rows: &[Row]) {
        let mut runs = HashMap::<String, u32>::new();
        for seen in self.runners.iter().flat_map(Runner::calls) {
            let id = seen.headers["attempt-id"].to_str().unwrap().to_owned();
            *runs.entry(id).or_default() += u32::from(seen.ran);
        }
        for row in rows {
            let ran = runs.get(&row.attempt).copied().unwrap_or_default();
            let is_repeatable = ["read", "list", "late-read"].contains(&row.route);
            let max_runs = if is_repeatable { 2 } else { 1 };
            assert!(ran <= max_runs, "seed {seed}: {row:?} ran {ran} times");
            if matches!(row.status, Some(408 | 421 | 429 | 503)) && !is_repeatable {
                assert_eq!(ran, 0, "seed {seed}: {row:?} ran");
            }
            if row.status == Some(200) && row.is_stream() {
                let form = order::form_of(row, &self.ledger);
                let made = self.ledger.runs_of(&[&row.attempt]);
                assert_eq!(form, None, "seed {seed}: {row:?}, made by {made:?}");
            } else if let (Some(200), Some(body)) = (row.status, &row.body) {
                let expected = match row.route {
                    "read" => "GET /read/7?a=b".into(),
                    route => format!("POST /{route}/7?a=b"),
                };
                assert_eq!(*body, expected, "seed {seed}: {row:?}");
            }
        }
        self.print_joined(seed, rows);
        println!(
            "soak: seed {seed}: {} runs of streams recorded",
            self.ledger.run_count()
        );
        for runner in &self.runners {
            let id = &runner.settings.id;
            assert_eq!(runner.running_count(), 0, "seed {seed}: {id} still runs");
            assert_eq!(
                runner.reserved_tokens(),
                0,
                "seed {seed}: {id} still reserves"
            );
        }
        assert_within_budget(seed, rows, &self.runners);
        let is_sent = |row: &&Row| runs.contains_key(&row.attempt);
        let crashing = rows.iter().filter(|row| row.is_crashing).filter(is_sent);
        let crashing = crashing.collect::<Vec<_>>();
        let late_sends = crashing.iter().filter(|row| row.after_faults).count();
        assert!(
            late_sends <= MAX_LATE_SENDS,
            "seed {seed}: {late_sends} prompts with a part that crashes engines were sent, all \
             such prompts with the seconds until the end: {:?}",
            seconds_until_end(rows, &crashing)
        );
        let after_faults = rows
            .iter()
            .filter(|row| row.after_faults && !row.is_crashing)
            .collect::<Vec<_>>();
        let served = after_faults
            .iter()
            .filter(|row| row.status == Some(200))
            .count();
        let share = served as f64 / after_faults.len().max(1) as f64;
        println!(
            "soak: seed {seed}: {} requests, {share:.3} served in the end",
            rows.len()
        );
        assert!(
            share >= MIN_SERVED_SHARE,
            "seed {seed}: {share:.3} served, {after_faults:?}"
        );
    }
}

/// Returns the ids of attempts with the time from when they were sent until the last request.
fn seconds_until_end<'a>(rows: &[Row], attempts: &[&'a Row]) -> Vec<(&'a str, f64)> {
    let Some(end) = rows.iter().map(|row| row.sent_at).max() else {
        return Vec::new();
    };
    let seconds = |row: &Row| (end - row.sent_at).as_secs_f64();
    let attempts = attempts.iter();
    attempts
        .map(|row| (row.attempt.as_str(), seconds(row)))
        .collect()
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // The process may have ended already.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

/// Returns an address of a site. The second octet depends on the process, so that runs on the
/// same machine rarely collide.
pub fn address(subnet: u8, host: u8, port: u16) -> SocketAddr {
    let second = 30 + (std::process::id() % 100) as u8;
    SocketAddr::from(([127, second, subnet, host], port))
}

/// Starts a gateway process that appends its log to a file next to its settings.
fn start_gateway(settings: &PathBuf) -> Child {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log).unwrap();
    let gateway = std::env::var("SOAK_GATEWAY");
    let gateway = gateway.unwrap_or_else(|_| env!("CARGO_BIN_EXE_cranberryridge-gateway").into());
    Command::new(gateway)
        .env("CRANBERRYRIDGE_BOOT", settings)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
