//! Gateway processes between stand-ins, and the checks of what was seen.

use std::collections::HashMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use serde_json::json;

use cranberryridge::net::Tcp;
use cranberryridge_standin::runner::{self, Runner};
use cranberryridge_standin::server::Server;
use cranberryridge_standin::store::{self, Store};

use super::load::Row;
use super::proxy::{Proxy, Way};

/// Share of requests that must be served once faults are over.
const SERVED: f64 = 0.95;

/// A gateway's process.
struct Process {
    /// The settings file.
    settings: PathBuf,
    /// The child.
    child: Child,
}

/// Everything that takes part.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The endpoints.
    pub runners: Vec<Runner>,
    /// Proxies before the endpoints.
    pub proxies: Vec<Proxy>,
    /// Servers, which end when dropped.
    _servers: Vec<Server>,
    /// The gateways.
    processes: Vec<Process>,
    /// Third number of all addresses.
    subnet: u8,
    /// Version of the configuration.
    version: u64,
}

impl Site {
    /// Starts everything and waits until the gateways are ready.
    pub async fn start(subnet: u8) -> Self {
        let at = |host, port| SocketAddr::from(([127, 0, subnet, host], port));
        let store = Store::default();
        let mut servers = vec![store.serve(&Tcp, at(1, 7001)).await.unwrap()];
        let (mut runners, mut proxies) = (Vec::new(), Vec::new());
        let phases = [None, None, Some("prefill"), Some("decode"), Some("decode")];
        for (index, phase) in phases.into_iter().enumerate() {
            let host = 10 + index as u8;
            let runner = Runner::new(runner::Settings {
                id: format!("i-{index}"),
                phase,
                ..runner::Settings::default()
            });
            servers.push(runner.serve(&Tcp, at(host, 7001)).await.unwrap());
            let proxy = Proxy::start(at(host, 7002), at(host, 7001)).await;
            let service = if phase.is_some() { "model" } else { "orders" };
            let mut entry = json!({
                "service": service, "address": proxy.address.to_string(), "zone": "a",
                "slots": 8, "state": "ready", "born": 1,
            });
            if let Some(phase) = phase {
                entry["phase"] = phase.into();
            }
            store.put("keyed.servers", &runner.settings.id, Some(&entry));
            runners.push(runner);
            proxies.push(proxy);
        }
        let mut site = Self {
            store,
            runners,
            proxies,
            _servers: servers,
            processes: Vec::new(),
            subnet,
            version: 0,
        };
        site.change();
        for host in [2, 3] {
            let settings = site.settings(host);
            let child = start(&settings);
            site.processes.push(Process { settings, child });
        }
        for gateway in site.gateways() {
            while tokio::net::TcpStream::connect(gateway).await.is_err() {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
        site
    }

    /// Writes a gateway's settings.
    fn settings(&self, host: u8) -> PathBuf {
        let ip = format!("127.0.{}.{host}", self.subnet);
        let text = format!(
            "nodeName = \"front-{host}\"\nzone = \"a\"\nheartbeatMs = 1200\n\
             ip = \"{ip}\"\nportRange = [7003, 7010]\n\
             [listen]\nfront = \"{ip}:7001\"\nready = \"{ip}:7002\"\n\
             [limits]\nmemoryMb = 110\ncpuShare = 0.2\ncores = 1\n[contractParams]\nbudgetExtra = 50\n\
             [platform]\naddress = \"127.0.{}.1:7001\"\n",
            self.subnet
        );
        let name = format!("soak-{}-{}-{host}.toml", std::process::id(), self.subnet);
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Where callers connect.
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let hosts = [2, 3].map(|host| SocketAddr::from(([127, 0, self.subnet, host], 7001)));
        hosts.to_vec()
    }

    /// How many gateways there are.
    pub fn processes(&self) -> usize {
        self.processes.len()
    }

    /// Sends a gateway a signal, if it still runs.
    pub fn signal(&mut self, index: usize, name: &str) {
        let child = &mut self.processes[index].child;
        if matches!(child.try_wait(), Ok(None)) {
            let order = format!("kill -{name} {}", child.id());
            // A process that ends meanwhile is as good as one that got it.
            let _ = Command::new("sh").args(["-c", &order]).status();
        }
    }

    /// Starts gateways that have ended.
    pub fn revive(&mut self) {
        for process in &mut self.processes {
            if !matches!(process.child.try_wait(), Ok(None)) {
                process.child = start(&process.settings);
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store.set_fault(store::Fault::None);
        for proxy in &self.proxies {
            proxy.set(Way::Open);
        }
        for index in 0..self.processes.len() {
            self.signal(index, "CONT");
        }
        self.runners.iter().for_each(Runner::clear_faults);
    }

    /// Puts another version of the configuration in the store.
    pub fn change(&mut self) {
        self.version += 3;
        let route = |name: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": name, "host": "desk.example", "pathPrefix": format!("/{name}/"),
                "kind": kind, "timeoutMs": 2400 + self.version, "sloMs": 1000,
                "service": service, "attempts": attempts, "gapAimMs": 300,
            })
        };
        let configuration = json!({
            "version": self.version,
            "routes": [
                route("read", "idempotent", "orders", 2),
                route("book", "non_idempotent", "orders", 1),
                route("note", "streaming", "model", 1),
            ],
            "services": [{ "name": "orders" }, { "name": "model", "engine": {
                "slots": 64, "kvCapacity": 30000, "stride": 11, "holdMs": 2000.0,
            }}],
            "limits": { "headerBytes": 16384, "bodyBytes": 100_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        });
        self.store.put("keyed.op", "config", Some(&configuration));
    }

    /// Checks what callers and endpoints saw.
    pub fn check(&self, seed: u64, rows: &[Row]) {
        let mut runs = HashMap::<String, u32>::new();
        for seen in self.runners.iter().flat_map(Runner::calls) {
            let id = seen.headers["attempt-id"].to_str().unwrap().to_owned();
            *runs.entry(id).or_default() += u32::from(seen.ran);
        }
        let whole = (1..=5).map(|event| format!("id: {event}\ndata: token-{event}\n\n"));
        let whole = whole.collect::<String>();
        for row in rows {
            let ran = runs.get(&row.attempt).copied().unwrap_or_default();
            let most = if row.route == "read" { 2 } else { 1 };
            assert!(ran <= most, "seed {seed}: {row:?} ran {ran} times");
            if matches!(row.status, Some(429 | 503)) && row.route != "read" {
                assert_eq!(ran, 0, "seed {seed}: {row:?} ran");
            }
            if let (Some(200), Some(body)) = (row.status, &row.body) {
                let expected = match row.route {
                    "note" => whole.clone(),
                    "book" => "POST /book/7?a=b".into(),
                    _ => "GET /read/7?a=b".into(),
                };
                assert_eq!(*body, expected, "seed {seed}: {row:?}");
            }
        }
        for runner in &self.runners {
            let id = &runner.settings.id;
            assert_eq!(runner.running_count(), 0, "seed {seed}: {id} still runs");
            assert_eq!(
                runner.reserved_tokens(),
                0,
                "seed {seed}: {id} still reserves"
            );
        }
        let healed = rows.iter().filter(|row| row.healed).collect::<Vec<_>>();
        let served = healed.iter().filter(|row| row.status == Some(200)).count();
        let share = served as f64 / healed.len().max(1) as f64;
        println!(
            "soak: seed {seed}: {} requests, {share:.3} served in the end",
            rows.len()
        );
        assert!(
            share >= SERVED,
            "seed {seed}: {share:.3} served, {healed:?}"
        );
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for process in &mut self.processes {
            // One that is gone already is just as well.
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

/// Starts a gateway, whose log goes beside its settings.
fn start(settings: &PathBuf) -> Child {
    let log = settings.with_extension("log");
    let log = File::options().create(true).append(true).open(log).unwrap();
    Command::new(env!("CARGO_BIN_EXE_cranberryridge-gateway"))
        .env("CRANBERRYRIDGE_BOOT", settings)
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
