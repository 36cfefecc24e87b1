//! A gateway process, with stand-ins for the platform's store and endpoints.

#![allow(dead_code)]

pub mod raw;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;

use cranberryridge::net::Tcp;
use cranberryridge_standin::server::Server;
use cranberryridge_standin::store::Store;

/// Memory of a host of the small deployments, in megabytes.
pub const MEMORY_MB: usize = 110;

/// Largest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Third octets of the tests' addresses.
static NEXT_SUBNET: AtomicUsize = AtomicUsize::new(1);

/// Limits of a gateway's process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory in megabytes.
    pub memory_mb: usize,
    /// Number of descriptors, 200 of which are for files.
    pub descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            descriptors: 4100,
        }
    }
}

/// A gateway process, with stand-ins for store and endpoints.
pub struct Site {
    /// Third octet of all addresses.
    pub subnet: u8,
    store: Store,
    /// Servers of the stand-ins, which stop when dropped.
    pub servers: Vec<Server>,
    /// The gateway's process.
    pub gateway: Child,
}

impl Drop for Site {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

impl Site {
    /// Starts the store and the gateway.
    pub async fn start() -> Self {
        Self::start_limited(Limits::default()).await
    }

    /// Starts the store and a gateway with limits. `HOST_GATEWAY` is the path of another gateway.
    pub async fn start_limited(limits: Limits) -> Self {
        let subnet = NEXT_SUBNET.fetch_add(1, Ordering::SeqCst) as u8;
        let store = Store::default();
        let servers = vec![store.serve(&Tcp, address(subnet, 1)).await.unwrap()];
        store.put("keyed.op", "config", Some(&configuration()));
        let gateway = start_gateway(subnet, limits);
        Self {
            subnet,
            store,
            servers,
            gateway,
        }
    }

    /// Lists an endpoint of a service, and waits until the gateway knows it.
    pub async fn list(&mut self, host: u8, id: &str, service: &str, phase: Option<&str>) {
        self.list_soon(host, id, service, phase);
        tokio::time::sleep(Duration::from_millis(2500)).await;
    }

    /// Lists an endpoint of a service.
    pub fn list_soon(&self, host: u8, id: &str, service: &str, phase: Option<&str>) {
        let mut entry = json!({
            "service": service, "address": address(self.subnet, host).to_string(),
            "zone": "a", "slots": 64, "state": "ready", "born": 1,
        });
        if let Some(phase) = phase {
            entry["phase"] = phase.into();
        }
        self.store.put("keyed.servers", id, Some(&entry));
    }

    /// Removes an endpoint from the list.
    pub fn unlist(&self, id: &str) {
        self.store.put("keyed.servers", id, None);
    }

    /// Address of the gateway for callers.
    pub fn gateway(&self) -> SocketAddr {
        address(self.subnet, 2)
    }
}

/// Returns an address of a test. The second octet depends on the process, so that test runs
/// on the same machine rarely collide.
pub fn address(subnet: u8, host: u8) -> SocketAddr {
    let second = 130 + (std::process::id() % 100) as u8;
    SocketAddr::from(([127, second, subnet, host], 7001))
}

fn configuration() -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "desk.example", "pathPrefix": format!("/{name}/"),
            "kind": kind, "timeoutMs": 14_000, "sloMs": 1000, "service": service,
            "attempts": attempts, "gapAimMs": 300, "resumable": resumable,
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("read", "idempotent", "orders", 2, false),
            route("look", "idempotent", "stock", 2, false),
            route("book", "non_idempotent", "orders", 1, false),
            route("note", "streaming", "model", 1, false),
            route("list", "streaming", "model", 2, true),
        ],
        "services": [{ "name": "orders" }, { "name": "stock" }, { "name": "model", "engine": {
            "slots": 64, "kvCapacity": 30000, "stride": 11, "holdMs": 2000.0,
        }}],
        "limits": { "headerBytes": 16384, "bodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
    })
}

fn start_gateway(subnet: u8, limits: Limits) -> Child {
    let Limits {
        memory_mb,
        descriptors,
    } = limits;
    let at = address(subnet, 2);
    let ip = at.ip();
    let text = format!(
        "nodeName = \"front-1\"\nzone = \"a\"\nheartbeatMs = 1200\n\
         ip = \"{ip}\"\nportRange = [7003, 7010]\n\
         [listen]\nfront = \"{at}\"\nready = \"{ip}:7002\"\n\
         [limits]\nmemoryMb = {memory_mb}\nmaxFds = {descriptors}\ncpuShare = 0.2\ncores = 1\n[contractParams]\n\
         [platform]\naddress = \"{}\"\n",
        address(subnet, 1)
    );
    let name = format!("memory-{}-{subnet}.toml", std::process::id());
    let settings = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&settings, text).unwrap();
    let program = std::env::var("HOST_GATEWAY");
    let program = program.unwrap_or(env!("CARGO_BIN_EXE_cranberryridge-gateway").into());
    Command::new(program)
        .env("CRANBERRYRIDGE_BOOT", &settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
