//! A testbed of daemon processes, with in-process stand-ins for the platform,
//! engines and plain services.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;

use cranberryridge::client::Client;
use cranberryridge::net::Tcp;
use cranberryridge::platform::hosts::Row;
use cranberryridge::wire::record::{Change, Record};
use cranberryridge_standin::engine::{self, Engine};
use cranberryridge_standin::flood::{Flood, Settings};
use cranberryridge_standin::hosts::Hosts;
use cranberryridge_standin::ledger::Ledger;
use cranberryridge_standin::log::Log;
use cranberryridge_standin::plain::{self, Plain};
use cranberryridge_standin::server::{self, Server};

pub mod load;

/// Maximum time to wait for a condition.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Kind of each runner, by index.
const RUNNER_KINDS: [&str; 6] = ["prefill", "prefill", "decode", "decode", "plain", "plain"];

/// Index of the first decode runner.
pub const FIRST_DECODE_RUNNER: usize = 2;

/// Daemons and stand-ins of one test, on addresses that no other test uses.
pub struct Testbed {
    /// Third octet of all addresses.
    subnet: u8,
    /// Directory of the settings files.
    folder: PathBuf,
    /// Record of the requests that ran.
    pub ledger: Ledger,
    /// Engines of the prefill and decode runners, in order.
    pub engines: Vec<Engine<Tcp>>,
    /// Servers of all runners, by index.
    pub runners: Vec<Server>,
    /// Servers of the platform, which stop when dropped.
    _platform_servers: Vec<Server>,
    /// Sidecars, by index of their runner.
    pub sidecars: Vec<Process>,
    /// Entries, by index.
    pub entries: Vec<Process>,
}

/// A daemon process. Dropping it kills and reaps the process.
pub struct Process {
    /// The child process.
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts a daemon program with a settings file.
    fn start(program: &str, settings: &PathBuf) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child }
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status().unwrap();
        assert!(status.success(), "{command}");
    }

    /// Waits until the process exits on its own.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("process ended", || {
            status = self.child.try_wait().unwrap();
            let ended = status.is_some();
            async move { ended }
        })
        .await;
        status.unwrap()
    }
}

impl Testbed {
    /// Starts the stand-ins and daemons and waits until all of them are ready.
    pub async fn start(subnet: u8) -> Self {
        let name = format!("bed-{}-{subnet}", std::process::id());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (log, hosts) = (Log::default(), Hosts::default());
        let mut bed = Self {
            subnet,
            folder,
            ledger: Ledger::default(),
            engines: Vec::new(),
            runners: Vec::new(),
            _platform_servers: vec![
                log.serve(&Tcp, test_address(subnet, 1, 7001))
                    .await
                    .unwrap(),
                hosts
                    .serve(&Tcp, test_address(subnet, 1, 7002))
                    .await
                    .unwrap(),
            ],
            sidecars: Vec::new(),
            entries: Vec::new(),
        };
        publish_services(&log);
        let rows = (0..RUNNER_KINDS.len()).map(|index| Row {
            address: bed.sidecar_address(index).to_string().into(),
            domain: "a".into(),
            leaving: false,
        });
        hosts.set_rows(rows.collect());
        for (index, kind) in RUNNER_KINDS.iter().enumerate() {
            bed.start_runner(index, kind).await;
            let sidecar = bed.start_sidecar(index);
            bed.sidecars.push(sidecar);
        }
        for index in 0..2 {
            let entry = bed.start_entry(index);
            bed.entries.push(entry);
        }
        bed.wait_until_ready().await;
        bed
    }

    /// Starts the server of a runner.
    async fn start_runner(&mut self, index: usize, kind: &str) {
        let at = self.runner_address(index);
        let server = self.serve_runner(at, kind).await;
        self.runners.push(server);
    }

    /// Puts an endpoint whose answers to some calls never end in front of a new runner.
    pub async fn flood_runner(&mut self, index: usize, settings: Settings) -> Flood {
        let at = self.runner_address(index);
        let behind = test_address(self.subnet, 200 + index as u8, 7100);
        self.runners[index].kill();
        tokio::time::sleep(Duration::from_millis(100)).await;
        self.runners[index] = self.serve_runner(behind, RUNNER_KINDS[index]).await;
        let flood = server::rebind(|| Flood::start(&Tcp, at, behind, settings.clone()));
        flood.await.unwrap()
    }

    /// Serves a runner of a kind.
    async fn serve_runner(&mut self, at: SocketAddr, kind: &str) -> Server {
        let server = if kind == "plain" {
            let plain = Plain::new(plain::Settings {
                ledger: self.ledger.clone(),
                ..plain::Settings::default()
            });
            plain.serve(&Tcp, at).await
        } else {
            let engine = Engine::new(
                Tcp,
                engine::Settings {
                    step: Duration::from_millis(5),
                    ledger: self.ledger.clone(),
                    ..engine::Settings::default()
                },
            );
            self.engines.push(engine.clone());
            engine.serve(at).await
        };
        server.unwrap()
    }

    /// Starts the sidecar of a runner.
    pub fn start_sidecar(&self, index: usize) -> Process {
        let kind = RUNNER_KINDS[index];
        let serves = if kind == "plain" { "orders" } else { "model" };
        let common = self.common_settings(&format!("sidecar-{index}"), self.sidecar_address(index));
        let text = format!(
            "{common}\n[[endpoints]]\naddress = \"{}\"\nkind = \"{kind}\"\nserves = \"{serves}\"\n",
            self.runner_address(index),
        );
        let file = self.folder.join(format!("sidecar-{index}.toml"));
        std::fs::write(&file, text).unwrap();
        Process::start(env!("CARGO_BIN_EXE_cranberryridge-sidecar"), &file)
    }

    /// Starts the process of an entry.
    pub fn start_entry(&self, index: usize) -> Process {
        let host_list = test_address(self.subnet, 1, 7002);
        let common = self.common_settings(&format!("entry-{index}"), self.entry_address(index));
        let text = format!("host_list = \"{host_list}\"\n{common}");
        let file = self.folder.join(format!("entry-{index}.toml"));
        std::fs::write(&file, text).unwrap();
        Process::start(env!("CARGO_BIN_EXE_cranberryridge-entry"), &file)
    }

    /// The `[common]` table of a daemon's settings.
    fn common_settings(&self, name: &str, listen: SocketAddr) -> String {
        let log = test_address(self.subnet, 1, 7001);
        format!(
            "[common]\nname = \"{name}\"\ndomain = \"a\"\nlisten = \"{listen}\"\n\
             log_service = \"{log}\"\ndrain_ms = 50000\ngrace_ms = 1000\n"
        )
    }

    /// Address of a runner.
    pub fn runner_address(&self, index: usize) -> SocketAddr {
        test_address(self.subnet, 100 + index as u8, 7100)
    }

    /// Listening address of a runner's sidecar.
    pub fn sidecar_address(&self, index: usize) -> SocketAddr {
        test_address(self.subnet, 10 + index as u8, 7200)
    }

    /// Listening address of an entry.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        test_address(self.subnet, 2 + index as u8, 8080)
    }

    /// Waits until both entries are ready and see every endpoint ready.
    pub async fn wait_until_ready(&self) {
        for index in 0..2 {
            wait_until("entry ready", || {
                self.has_ready_endpoints(index, RUNNER_KINDS.len())
            })
            .await;
        }
    }

    /// Whether an entry is ready and sees exactly `count` endpoints ready.
    pub async fn has_ready_endpoints(&self, index: usize, count: usize) -> bool {
        let client = Client::new(Tcp, self.entry_address(index));
        let ready = client.fetch(get("/readyz")).await;
        if !ready.is_ok_and(|ready| ready.status() == 200) {
            return false;
        }
        let Ok(status) = client.fetch(get("/status")).await else {
            return false;
        };
        let status = serde_json::from_slice::<Value>(status.body()).unwrap();
        let sidecars = status["sidecars"].as_array().cloned().unwrap_or_default();
        let connected = sidecars
            .iter()
            .filter(|sidecar| sidecar["connected"] == true && sidecar["draining"] == false);
        let endpoints = connected.flat_map(|sidecar| sidecar["endpoints"].as_array().cloned());
        let ready = endpoints
            .flatten()
            .filter(|endpoint| endpoint["load"]["ready"] == true);
        ready.count() == count
    }

    /// Number of requests that hold engine memory.
    pub fn held_reservations(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.resident_ids().len())
            .sum()
    }

    /// Waits until no engine holds memory.
    pub async fn wait_until_memory_is_free(&self) {
        wait_until("memory free", || async { self.held_reservations() == 0 }).await;
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        // A leftover directory is harmless.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Polls until `is_true` returns true; fails with `condition` after
/// [`LIVENESS_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(condition: &str, mut is_true: impl FnMut() -> F) {
    let wait = async {
        while !is_true().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(LIVENESS_TIMEOUT, wait).await;
    assert!(waited.is_ok(), "never: {condition}");
}

/// Publishes a configuration with a model service and a plain service.
fn publish_services(log: &Log) {
    let services = [
        "name = \"summaries\"\nmodel = \"model\"\nlate = \"serve\"\n",
        "name = \"orders\"\nroutes = [{ path = \"/\", idempotent = false }]\n",
    ];
    let services = services.map(|text| cranberryridge::wire::service::parse(text).unwrap());
    let change = Record::Change(Change {
        id: 1,
        base: Default::default(),
        author: "test".into(),
        snapshot: true,
        services: services.into(),
        removed: Vec::new(),
    });
    log.append(serde_json::to_string(&change).unwrap());
}

/// An address of a test. The second octet depends on the process, so that test
/// runs on the same machine rarely collide.
fn test_address(subnet: u8, host: u8, port: u16) -> SocketAddr {
    let second = 100 + (std::process::id() % 100) as u8;
    SocketAddr::from(([127, second, subnet, host], port))
}

/// Builds a GET request.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// Builds a POST request with a JSON body and a tag.
pub fn post(path: &str, body: &Value, tag: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request.headers_mut().insert("x-tag", tag.parse().unwrap());
    request
}
