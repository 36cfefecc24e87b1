//! Membership: sidecars, their endpoints and their state.
//!
//! The platform's host list names the hosts, but lags. What a sidecar says on its own
//! connection takes precedence: a connected sidecar stays even if the list lacks it, and a
//! draining sidecar gets no work even if the list calls its host live. The list can take
//! work away from a sidecar, but cannot give it back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::SlotMap;

use cranberryridge_wire::id::{Incarnation, Version};
use cranberryridge_wire::message::{self, Kind, Report, Welcome};
use cranberryridge_wire::{Map, Set};

slotmap::new_key_type! {
    /// Identifies a sidecar in a view.
    pub struct SidecarKey;
    /// Identifies an endpoint in a view.
    pub struct EndpointKey;
}

/// Maximum number of sidecars in a view; the view ignores further listed hosts.
pub const MAX_SIDECARS: usize = 16_384;

/// Maximum number of endpoints of one sidecar; the view ignores further ones.
pub const MAX_ENDPOINTS_PER_SIDECAR: usize = 64;

/// Number of consecutive lists without a disconnected sidecar after which the view
/// removes it.
pub const LISTS_UNTIL_REMOVAL: u32 = 5;

/// An entry's view of the sidecars and their endpoints.
///
/// A clone copies only the endpoints and shares the rest, so a snapshot is cheap.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// All listed or still connected sidecars.
    pub sidecars: Arc<SlotMap<SidecarKey, Sidecar>>,
    /// All endpoints of these sidecars, with their loads.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Endpoints by kind and by the model or service that they serve.
    pub pools: Arc<Map<Pool, Vec<EndpointKey>>>,
    /// Keys of `sidecars` by address.
    addresses: Arc<Map<SocketAddr, SidecarKey>>,
}

/// Identifies a set of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// Kind of work.
    pub kind: Kind,
    /// Model or service that the endpoints serve.
    pub serves: CompactString,
}

/// A sidecar in a view.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Name; empty until the sidecar's first welcome.
    pub name: CompactString,
    /// Address on which the sidecar listens.
    pub address: SocketAddr,
    /// Failure domain, from the welcome or, before it, from the host list.
    pub domain: CompactString,
    /// Incarnation from the last welcome.
    pub incarnation: Incarnation,
    /// Version of the configuration in its last report.
    pub version: Version,
    /// Whether the connection to it is up.
    pub connected: bool,
    /// Whether it gets no new work, because the sidecar or the host list says that it
    /// is leaving.
    pub draining: bool,
    /// Whether this incarnation announced that it is leaving.
    announced_leaving: bool,
    /// Whether the host list says that it is leaving.
    listed_leaving: bool,
    /// Number of consecutive lists without it.
    missed_lists: u32,
    /// Its endpoints, in the order of the welcome.
    pub endpoints: Vec<EndpointKey>,
}

/// An endpoint in a view.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Sidecar of the endpoint.
    pub sidecar: SidecarKey,
    /// Description of the endpoint from its sidecar's welcome.
    pub info: Arc<message::Endpoint>,
    /// Load in its last report, or a load that takes no work before the first report.
    pub load: message::Load,
    /// Time at which that load arrived.
    pub reported_at: Instant,
    /// Requests sent since that load arrived.
    pub sent: u32,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Address on which the host's sidecar listens.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// Changes caused by a host list.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Diff {
    /// Sidecars to connect to.
    pub added: Vec<SocketAddr>,
    /// Disconnected sidecars that the view no longer holds.
    pub removed: Vec<SocketAddr>,
}

impl View {
    /// Applies a host list. A sidecar whose host is no longer listed stays while it is
    /// connected, and after that for [`LISTS_UNTIL_REMOVAL`] lists, because the list
    /// lags. An empty list is a fault of the platform and changes nothing.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::member::{Host, View};
    /// let address = "127.0.0.1:7200".parse().unwrap();
    /// let host = Host { address, domain: "sfax".into(), leaving: false };
    /// let mut view = View::default();
    /// assert_eq!(view.apply_list(&[host]).added, [address]);
    /// assert!(view.apply_list(&[]).removed.is_empty());
    /// assert!(view.sidecar_at(address).is_some());
    /// ```
    pub fn apply_list(&mut self, hosts: &[Host]) -> Diff {
        let mut diff = Diff::default();
        if hosts.is_empty() {
            return diff;
        }
        for host in hosts {
            match self.addresses.get(&host.address) {
                Some(key) => self.update_listed(*key, host),
                None if self.sidecars.len() < MAX_SIDECARS => {
                    self.insert(host);
                    diff.added.push(host.address);
                }
                None => {}
            }
        }

        let listed = hosts.iter().map(|host| host.address).collect::<Set<_>>();
        let absent = self.sidecars.iter();
        let absent = absent.filter(|(_, sidecar)| !listed.contains(&sidecar.address));
        for key in absent.map(|(key, _)| key).collect::<Vec<_>>() {
            let sidecar = &mut Arc::make_mut(&mut self.sidecars)[key];
            sidecar.missed_lists += 1;
            if !sidecar.connected && sidecar.missed_lists >= LISTS_UNTIL_REMOVAL {
                diff.removed.push(sidecar.address);
            }
        }
        for address in &diff.removed {
            self.remove(*address);
        }
        diff
    }

    /// Applies a sidecar's welcome, the first message of a connection. A new incarnation
    /// replaces the endpoints of its predecessor; the same incarnation keeps its
    /// endpoints and their loads.
    pub fn apply_welcome(&mut self, now: Instant, address: SocketAddr, welcome: &Welcome) {
        let Some(key) = self.addresses.get(&address).copied() else {
            return;
        };
        let infos = &welcome.endpoints[..welcome.endpoints.len().min(MAX_ENDPOINTS_PER_SIDECAR)];
        let is_same_incarnation = self.sidecars[key].incarnation == welcome.incarnation;
        let is_unchanged = is_same_incarnation && self.has_same_endpoints(key, infos);
        if !is_unchanged {
            self.clear_endpoints(key);
        }
        let sidecar = &mut Arc::make_mut(&mut self.sidecars)[key];
        sidecar.announced_leaving &= is_same_incarnation;
        sidecar.draining = sidecar.announced_leaving || sidecar.listed_leaving;
        sidecar.name = welcome.name.clone();
        sidecar.domain = welcome.domain.clone();
        sidecar.incarnation = welcome.incarnation;
        sidecar.connected = true;
        if is_unchanged {
            return;
        }
        for info in infos {
            let endpoint = self.endpoints.insert(Endpoint {
                sidecar: key,
                info: Arc::new(info.clone()),
                load: initial_load(info),
                reported_at: now,
                sent: 0,
            });
            sidecar.endpoints.push(endpoint);
            let pools = Arc::make_mut(&mut self.pools);
            pools.entry(pool_of(info)).or_default().push(endpoint);
        }
    }

    /// Applies a sidecar's report.
    pub fn apply_report(&mut self, now: Instant, address: SocketAddr, report: &Report) {
        let Some(key) = self.addresses.get(&address).copied() else {
            return;
        };
        let sidecar = &self.sidecars[key];
        // Most reports bring only new loads, so they must not copy the shared maps.
        if sidecar.version != report.version || sidecar.announced_leaving != report.draining {
            let sidecar = &mut Arc::make_mut(&mut self.sidecars)[key];
            sidecar.version = report.version;
            sidecar.announced_leaving |= report.draining;
            sidecar.draining = sidecar.announced_leaving || sidecar.listed_leaving;
        }
        let endpoints = &self.sidecars[key].endpoints;
        for load in &report.loads {
            let Some(endpoint) = endpoints.get(usize::from(load.endpoint)) else {
                continue;
            };
            let endpoint = &mut self.endpoints[*endpoint];
            endpoint.load = load.clone();
            endpoint.reported_at = now;
            endpoint.sent = 0;
        }
    }

    /// Records that the connection to a sidecar is down.
    pub fn mark_disconnected(&mut self, address: SocketAddr) {
        let Some(key) = self.addresses.get(&address).copied() else {
            return;
        };
        Arc::make_mut(&mut self.sidecars)[key].connected = false;
    }

    /// Returns the sidecar at an address.
    pub fn sidecar_at(&self, address: SocketAddr) -> Option<&Sidecar> {
        self.addresses.get(&address).map(|key| &self.sidecars[*key])
    }

    /// Whether an endpoint takes new work, according to the last report.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let sidecar = &self.sidecars[endpoint.sidecar];
        sidecar.connected && !sidecar.draining && endpoint.load.ready
    }

    /// Adds the sidecar of a newly listed host.
    fn insert(&mut self, host: &Host) {
        let key = Arc::make_mut(&mut self.sidecars).insert(Sidecar {
            name: CompactString::default(),
            address: host.address,
            domain: host.domain.clone(),
            incarnation: Incarnation::default(),
            version: Version::default(),
            connected: false,
            draining: host.leaving,
            announced_leaving: false,
            listed_leaving: host.leaving,
            missed_lists: 0,
            endpoints: Vec::new(),
        });
        Arc::make_mut(&mut self.addresses).insert(host.address, key);
    }

    /// Updates the sidecar of a host that was listed before.
    fn update_listed(&mut self, key: SidecarKey, host: &Host) {
        let sidecar = &self.sidecars[key];
        let moved = !sidecar.connected && sidecar.domain != host.domain;
        if sidecar.listed_leaving == host.leaving && sidecar.missed_lists == 0 && !moved {
            return;
        }
        let sidecar = &mut Arc::make_mut(&mut self.sidecars)[key];
        sidecar.listed_leaving = host.leaving;
        sidecar.draining = sidecar.announced_leaving || sidecar.listed_leaving;
        sidecar.missed_lists = 0;
        if moved {
            sidecar.domain = host.domain.clone();
        }
    }

    /// Whether a sidecar's endpoints equal those of its new welcome.
    fn has_same_endpoints(&self, key: SidecarKey, infos: &[message::Endpoint]) -> bool {
        let endpoints = self.sidecars[key].endpoints.iter();
        endpoints
            .map(|endpoint| &*self.endpoints[*endpoint].info)
            .eq(infos)
    }

    /// Removes a sidecar and its endpoints.
    fn remove(&mut self, address: SocketAddr) {
        let Some(key) = Arc::make_mut(&mut self.addresses).remove(&address) else {
            return;
        };
        self.clear_endpoints(key);
        Arc::make_mut(&mut self.sidecars).remove(key);
    }

    /// Removes a sidecar's endpoints.
    fn clear_endpoints(&mut self, key: SidecarKey) {
        let sidecar = &mut Arc::make_mut(&mut self.sidecars)[key];
        for key in std::mem::take(&mut sidecar.endpoints) {
            let Some(endpoint) = self.endpoints.remove(key) else {
                continue;
            };
            let pool = pool_of(&endpoint.info);
            let pools = Arc::make_mut(&mut self.pools);
            let Some(members) = pools.get_mut(&pool) else {
                continue;
            };
            members.retain(|member| *member != key);
            if members.is_empty() {
                pools.remove(&pool);
            }
        }
    }
}

/// Pool to which an endpoint belongs.
fn pool_of(info: &message::Endpoint) -> Pool {
    Pool {
        kind: info.kind,
        serves: info.serves.clone(),
    }
}

/// Load of an endpoint that has not reported yet; it takes no work.
fn initial_load(info: &message::Endpoint) -> message::Load {
    message::Load {
        endpoint: info.index,
        ready: false,
        running: 0,
        queued: 0,
        free: info.pages,
        backlog: 0,
        wait: Duration::ZERO.into(),
    }
}
