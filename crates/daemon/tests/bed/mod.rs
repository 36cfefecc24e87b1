//! Daemons as processes of their own, between stand-ins in the test.

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
use cranberryridge_standin::hosts::Hosts;
use cranberryridge_standin::ledger::Ledger;
use cranberryridge_standin::log::Log;
use cranberryridge_standin::plain::{self, Plain};
use cranberryridge_standin::server::Server;

pub mod load;

/// Longest wait for anything to become true.
const LIVENESS: Duration = Duration::from_secs(60);

/// What each runner does, by index.
const RUNNERS: [&str; 6] = ["prefill", "prefill", "decode", "decode", "plain", "plain"];

/// Index of the first decode runner.
pub const DECODE: usize = 2;

/// Daemons and stand-ins of one test, on addresses of its own.
pub struct Bed {
    /// Third number of its addresses.
    subnet: u8,
    /// Where the settings are.
    folder: PathBuf,
    /// What was run.
    pub ledger: Ledger,
    /// The engines, by runner.
    pub engines: Vec<Engine<Tcp>>,
    /// Servers of the runners.
    pub runners: Vec<Server>,
    /// Servers of the platform.
    _platform: Vec<Server>,
    /// Sidecars, by runner.
    pub sidecars: Vec<Process>,
    /// Entries.
    pub entries: Vec<Process>,
}

/// A daemon's process. Dropping it kills and reaps it.
pub struct Process {
    /// The child.
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts a daemon with a settings file.
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

    /// Kills it with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // One that is gone already is just as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends it a signal by name.
    pub fn signal(&self, name: &str) {
        let order = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &order]).status().unwrap();
        assert!(status.success(), "{order}");
    }

    /// Waits until it has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let mut status = None;
        until("process ended", || {
            status = self.child.try_wait().unwrap();
            let ended = status.is_some();
            async move { ended }
        })
        .await;
        status.unwrap()
    }
}

impl Bed {
    /// Starts stand-ins and daemons, and waits until all are ready.
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
            _platform: vec![
                log.serve(&Tcp, address(subnet, 1, 7001)).await.unwrap(),
                hosts.serve(&Tcp, address(subnet, 1, 7002)).await.unwrap(),
            ],
            sidecars: Vec::new(),
            entries: Vec::new(),
        };
        publish(&log);
        let rows = (0..RUNNERS.len()).map(|index| Row {
            address: bed.sidecar_address(index).to_string().into(),
            domain: "a".into(),
            leaving: false,
        });
        hosts.set_rows(rows.collect());
        for (index, kind) in RUNNERS.iter().enumerate() {
            bed.runner(index, kind).await;
            let sidecar = bed.sidecar(index);
            bed.sidecars.push(sidecar);
        }
        for index in 0..2 {
            let entry = bed.entry(index);
            bed.entries.push(entry);
        }
        bed.ready().await;
        bed
    }

    /// Starts a runner.
    async fn runner(&mut self, index: usize, kind: &str) {
        let at = self.runner_address(index);
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
        self.runners.push(server.unwrap());
    }

    /// Starts a runner's sidecar.
    pub fn sidecar(&self, index: usize) -> Process {
        let kind = RUNNERS[index];
        let serves = if kind == "plain" { "orders" } else { "model" };
        let common = self.common(&format!("sidecar-{index}"), self.sidecar_address(index));
        let text = format!(
            "{common}\n[[endpoints]]\naddress = \"{}\"\nkind = \"{kind}\"\nserves = \"{serves}\"\n",
            self.runner_address(index),
        );
        let file = self.folder.join(format!("sidecar-{index}.toml"));
        std::fs::write(&file, text).unwrap();
        Process::start(env!("CARGO_BIN_EXE_cranberryridge-sidecar"), &file)
    }

    /// Starts an entry.
    pub fn entry(&self, index: usize) -> Process {
        let list = address(self.subnet, 1, 7002);
        let common = self.common(&format!("entry-{index}"), self.entry_address(index));
        let text = format!("host_list = \"{list}\"\n{common}");
        let file = self.folder.join(format!("entry-{index}.toml"));
        std::fs::write(&file, text).unwrap();
        Process::start(env!("CARGO_BIN_EXE_cranberryridge-entry"), &file)
    }

    /// Settings that both daemons share.
    fn common(&self, name: &str, listen: SocketAddr) -> String {
        let log = address(self.subnet, 1, 7001);
        format!(
            "[common]\nname = \"{name}\"\ndomain = \"a\"\nlisten = \"{listen}\"\n\
             log_service = \"{log}\"\ndrain_ms = 50000\ngrace_ms = 1000\n"
        )
    }

    /// Where a runner serves.
    pub fn runner_address(&self, index: usize) -> SocketAddr {
        address(self.subnet, 100 + index as u8, 7100)
    }

    /// Where a runner's sidecar listens.
    pub fn sidecar_address(&self, index: usize) -> SocketAddr {
        address(self.subnet, 10 + index as u8, 7200)
    }

    /// Where an entry listens.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        address(self.subnet, 2 + index as u8, 8080)
    }

    /// Waits until both entries see every endpoint ready.
    pub async fn ready(&self) {
        for index in 0..2 {
            until("entry ready", || self.open(index, RUNNERS.len())).await;
        }
    }

    /// Whether an entry is ready and sees a number of endpoints ready.
    pub async fn open(&self, index: usize, count: usize) -> bool {
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
        let open = sidecars
            .iter()
            .filter(|sidecar| sidecar["connected"] == true && sidecar["draining"] == false);
        let endpoints = open.flat_map(|sidecar| sidecar["endpoints"].as_array().cloned());
        let ready = endpoints
            .flatten()
            .filter(|endpoint| endpoint["load"]["ready"] == true);
        ready.count() == count
    }

    /// Requests that hold engine memory.
    pub fn held(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.resident_ids().len())
            .sum()
    }

    /// Waits until no engine holds memory.
    pub async fn free(&self) {
        until("memory free", || async { self.held() == 0 }).await;
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        // A folder that stays behind does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until something is true.
pub async fn until<F: Future<Output = bool>>(what: &str, mut holds: impl FnMut() -> F) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(LIVENESS, wait).await;
    assert!(waited.is_ok(), "never: {what}");
}

/// Publishes a model and a plain service.
fn publish(log: &Log) {
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

/// An address of a test. Its second number keeps test runs apart that share a
/// machine.
fn address(subnet: u8, host: u8, port: u16) -> SocketAddr {
    let run = 100 + (std::process::id() % 100) as u8;
    SocketAddr::from(([127, run, subnet, host], port))
}

/// A GET request.
pub fn get(path: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.parse().unwrap();
    request
}

/// A POST request with a JSON body and a tag.
pub fn post(path: &str, body: &Value, tag: &str) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    request.headers_mut().insert("x-tag", tag.parse().unwrap());
    request
}
