//! Gateway processes in the shape of a deployment, with engines and the platform's store.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;

use cranberryridge::net::Tcp;
use cranberryridge::policy::subset::{self, Member};
use cranberryridge_standin::server::Server;
use cranberryridge_standin::store::Store;
use cranberryridge_standin::stream::Ledger;

use super::deployment::{Deployment, Versions};
use super::engine::{Engine, Name};
use super::link::Link;

/// Hosts of the gateways begin with this one.
const FIRST_GATEWAY_HOST: u8 = 2;

/// Hosts of the engines begin with this one.
const FIRST_ENGINE_HOST: u8 = 100;

/// Ports of the links to the store begin with this one.
const FIRST_LINK_PORT: u16 = 7100;

/// Port of the link to an engine.
const ENGINE_LINK_PORT: u16 = 7101;

/// Port at which a gateway serves the scheduler to other hosts.
const SCHEDULER_PORT: u16 = 7003;

/// One engine in this many reads prompts.
const PREFILL_SHARE: usize = 3;

/// Gateways, engines and the store of a deployment.
pub struct Site {
    pub deployment: Deployment,
    pub engines: Vec<Engine>,
    pub store: Store,
    /// Link of each host to the store, if the deployment has links.
    pub links: Vec<Link>,
    /// Link of each engine, if the deployment has them.
    pub engine_links: Vec<Link>,
    /// Listeners that take the place of the schedulers of hosts, with their hosts.
    taken_schedulers: Vec<(usize, TcpListener)>,
    _store_server: Server,
    processes: Vec<(PathBuf, Child)>,
    subnet: u8,
    version: u64,
    /// Whether routes lead to the other service.
    pub is_moved: bool,
}

impl Site {
    /// Starts everything and waits until the gateways accept connections.
    pub async fn start(subnet: u8, deployment: Deployment, ledger: &Ledger) -> Self {
        let store = Store::default();
        let store_server = store.serve(&Tcp, address(subnet, 1, 7001)).await.unwrap();
        let mut site = Self {
            deployment,
            engines: Vec::new(),
            store,
            links: Vec::new(),
            engine_links: Vec::new(),
            taken_schedulers: Vec::new(),
            _store_server: store_server,
            processes: Vec::new(),
            subnet,
            version: 0,
            is_moved: false,
        };
        site.publish(14_000, true, 2);
        for index in 0..usize::from(deployment.engines) {
            let at = address(subnet, FIRST_ENGINE_HOST + index as u8, 7001);
            let piece_time = Duration::from_millis(deployment.piece_ms);
            let is_prefill = index % PREFILL_SHARE == 0;
            let share = deployment.kept_id_share;
            let name = Name {
                text: format!("i-{index}"),
                keeps_id: share.is_some_and(|share| index.is_multiple_of(share)),
            };
            let mut engine = Engine::new(name, at, is_prefill, piece_time, ledger.clone());
            engine.start().await;
            site.engines.push(engine);
            if deployment.has_engine_links {
                let from = SocketAddr::new(at.ip(), ENGINE_LINK_PORT);
                site.engine_links.push(Link::start(from, at).await);
            }
            site.set_version(index, &deployment.versions.name(index, 1));
            site.list(index, "ready");
        }
        for _ in 0..deployment.hosts {
            site.add_host().await;
        }
        for host in site.hosts() {
            while tokio::net::TcpStream::connect(host).await.is_err() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        site
    }

    /// Starts a further gateway. Returns its index.
    pub async fn add_host(&mut self) -> usize {
        let index = self.processes.len();
        let host = FIRST_GATEWAY_HOST + index as u8;
        if self.deployment.has_links {
            let at = address(self.subnet, 1, FIRST_LINK_PORT + u16::from(host));
            let link = Link::start(at, address(self.subnet, 1, 7001)).await;
            self.links.push(link);
        }
        let settings = self.write_settings(host);
        let child = start_gateway(&settings);
        self.processes.push((settings, child));
        index
    }

    /// Returns the service of an engine.
    fn service(&self, index: usize) -> &'static str {
        let others = usize::from(self.deployment.other_engines);
        if index + others >= usize::from(self.deployment.engines) {
            "other"
        } else {
            "model"
        }
    }

    /// Sets the version of an engine's software, which differs between services.
    pub fn set_version(&self, index: usize, version: &str) {
        let version = match self.service(index) {
            "model" => version.to_owned(),
            service => format!("{service}-{version}"),
        };
        self.engines[index].set_version(&version);
    }

    /// Lists the current start of an engine.
    pub fn list(&self, index: usize, state: &str) {
        let engine = &self.engines[index];
        let phase = if engine.is_prefill() {
            "prefill"
        } else {
            "decode"
        };
        let link = self.engine_links.get(index);
        let address = link.map_or(engine.address, |link| link.address);
        let entry = json!({
            "service": self.service(index), "address": address.to_string(), "zone": "a",
            "slots": 64, "state": state, "born": engine.born(), "phase": phase,
            "version": engine.version(),
        });
        self.store.put("keyed.servers", &engine.id(), Some(&entry));
    }

    /// Removes the current start of an engine from the list.
    pub fn unlist(&self, index: usize) {
        self.store
            .put("keyed.servers", &self.engines[index].id(), None);
    }

    /// Starts an engine that was killed under a new id, or in place of its entry if it keeps its
    /// id.
    pub async fn restart_engine(&mut self, index: usize) {
        if !self.engines[index].is_running() {
            let id = self.engines[index].id();
            if self.deployment.versions == Versions::Release {
                let born = self.engines[index].born() + 1;
                self.set_version(index, &Versions::Release.name(index, born));
            }
            self.engines[index].start().await;
            if self.engines[index].id() != id {
                self.store.put("keyed.servers", &id, None);
            }
            self.list(index, "ready");
        }
    }

    /// Publishes a configuration.
    pub fn publish(&mut self, timeout_ms: u64, is_resumable: bool, attempts: u32) {
        self.version += 3;
        let service = if self.is_moved { "other" } else { "model" };
        let route = |name: &str, attempts: u32, is_resumable: bool| {
            json!({
                "name": name, "host": "desk.example", "pathPrefix": format!("/{name}/"),
                "kind": "streaming", "timeoutMs": timeout_ms, "sloMs": 1000, "priority": 1,
                "service": service, "attempts": attempts, "sticky": true,
                "resumable": is_resumable, "gapAimMs": 300,
            })
        };
        let services = ["model", "other"].into_iter();
        let services = services.take(1 + usize::from(self.deployment.other_engines > 0));
        let services = services.map(|name| {
            json!({ "name": name, "engine": {
                "slots": 64, "kvCapacity": 33279, "stride": 11, "holdMs": 2000.0,
                "handleTtlS": 0.5,
            }})
        });
        let services = services.collect::<Vec<_>>();
        let configuration = json!({
            "version": self.version,
            "routes": [route("note", 1, false), route("list", attempts, is_resumable)],
            "services": services,
            "limits": { "headerBytes": 16384, "bodyBytes": 100_000,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        });
        self.store.put("keyed.op", "config", Some(&configuration));
    }

    fn write_settings(&self, host: u8) -> PathBuf {
        let ip = address(self.subnet, host, 0).ip();
        let links = self.links.get(usize::from(host - FIRST_GATEWAY_HOST));
        let store = links.map_or(address(self.subnet, 1, 7001), |link| link.address);
        let memory_mb = self.deployment.memory_mb;
        let text = format!(
            "nodeName = \"front-{host}\"\nzone = \"a\"\nheartbeatMs = 1200\n\
             ip = \"{ip}\"\nportRange = [7003, 7010]\n\
             [listen]\nfront = \"{ip}:7001\"\nready = \"{ip}:7002\"\n\
             [limits]\nmemoryMb = {memory_mb}\ncpuShare = 0.2\ncores = 1\n[contractParams]\n\
             budgetExtra = 52\n\
             [platform]\naddress = \"{store}\"\n"
        );
        let name = format!("shapes-{}-{}-{host}.toml", std::process::id(), self.subnet);
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Addresses of the gateways for callers.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        let hosts = (FIRST_GATEWAY_HOST..).take(self.processes.len());
        hosts.map(|host| address(self.subnet, host, 7001)).collect()
    }

    /// Returns the address of a host's scheduler.
    fn scheduler(&self, index: usize) -> SocketAddr {
        let host = FIRST_GATEWAY_HOST + index as u8;
        address(self.subnet, host, SCHEDULER_PORT)
    }

    /// Returns the host among some that schedules the service of the streams.
    pub fn leader(&self, hosts: &[usize]) -> Option<usize> {
        let names = hosts.iter().map(|host| {
            let name = format!("front-{}", usize::from(FIRST_GATEWAY_HOST) + host);
            (name, self.scheduler(*host))
        });
        let names = names.collect::<Vec<_>>();
        let members = names.iter().map(|(name, address)| Member {
            key: (name.as_str(), *address),
            domain: "",
        });
        let members = members.collect::<Vec<_>>();
        let (name, _) = subset::choose("model", "", &members, 1).pop()?;
        let at = names.iter().position(|(other, _)| other == name)?;
        Some(hosts[at])
    }

    /// Takes the address of the scheduler of a host that is not running. Until it is given back
    /// and the host restarted, connections of other hosts to it are silent.
    pub async fn take_scheduler(&mut self, index: usize) {
        if self.taken_schedulers.iter().all(|(host, _)| *host != index) {
            let listener = TcpListener::bind(self.scheduler(index)).await.unwrap();
            self.taken_schedulers.push((index, listener));
        }
    }

    /// Gives the address of a host's scheduler back.
    pub fn give_scheduler(&mut self, index: usize) {
        self.taken_schedulers.retain(|(host, _)| *host != index);
    }

    /// Kills a gateway and waits until its process has ended.
    pub fn kill(&mut self, index: usize) {
        let (_, child) = &mut self.processes[index];
        // The process may have ended already.
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Sends a signal to a gateway if its process is still running.
    pub fn signal(&mut self, index: usize, name: &str) {
        let (_, child) = &mut self.processes[index];
        if matches!(child.try_wait(), Ok(None)) {
            let command = format!("kill -{name} {}", child.id());
            // The process may have ended in the meantime.
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Returns whether the process of a gateway is running.
    pub fn is_running(&mut self, index: usize) -> bool {
        matches!(self.processes[index].1.try_wait(), Ok(None))
    }

    /// Restarts a gateway if its process has ended.
    pub fn restart(&mut self, index: usize) {
        let (settings, child) = &mut self.processes[index];
        if !matches!(child.try_wait(), Ok(None)) {
            *child = start_gateway(settings);
        }
    }

    /// Restarts the gateways whose processes have ended.
    pub fn restart_ended(&mut self) {
        for index in 0..self.processes.len() {
            self.restart(index);
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns an address of a site. The second octet depends on the process, so that runs on the
/// same machine rarely collide.
fn address(subnet: u8, host: u8, port: u16) -> SocketAddr {
    let second = 30 + (std::process::id() % 200) as u8;
    SocketAddr::from(([127, second, subnet, host], port))
}

/// Starts a gateway process that appends its log to a file next to its settings.
fn start_gateway(settings: &PathBuf) -> Child {
    let log = settings.with_extension("log");
    let log = std::fs::File::options().create(true).append(true).open(log);
    let gateway = std::env::var("SHAPES_GATEWAY").or_else(|_| std::env::var("DAYS_GATEWAY"));
    let gateway = gateway.unwrap_or_else(|_| env!("CARGO_BIN_EXE_cranberryridge-gateway").into());
    Command::new(gateway)
        .env("CRANBERRYRIDGE_BOOT", settings)
        .stdout(log.unwrap())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
