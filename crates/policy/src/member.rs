//! Which sidecars and endpoints there are, and in what state.
//!
//! The platform's host list says who exists, late. What a sidecar says on its
//! own connection goes first: a connected sidecar stays whatever the list
//! says, and one that drains gets no work even if the list calls it live. The
//! list can only take work away, never give it back against a sidecar's word.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::SlotMap;

use cranberryridge_wire::id::{Incarnation, Version};
use cranberryridge_wire::message::{self, Kind, Report, Welcome};
use cranberryridge_wire::{Map, Set};

slotmap::new_key_type! {
    /// A sidecar in a view.
    pub struct SidecarKey;
    /// An endpoint in a view.
    pub struct EndpointKey;
}

/// Most sidecars in a view; what is listed beyond them is left out.
pub const MAX_SIDECARS: usize = 16_384;

/// Most endpoints of one sidecar; what it names beyond them is left out.
pub const MAX_ENDPOINTS_PER_SIDECAR: usize = 64;

/// Lists in a row that must lack a sidecar that is not connected before it is
/// forgotten.
pub const LISTS_UNTIL_REMOVAL: u32 = 5;

/// What an entry knows of sidecars and endpoints.
///
/// A clone shares everything but the loads, so that a snapshot is cheap.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The sidecars.
    pub sidecars: Arc<SlotMap<SidecarKey, Sidecar>>,
    /// Their endpoints.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Endpoints by what they do and serve.
    pub pools: Arc<Map<Pool, Vec<EndpointKey>>>,
    /// Sidecars by address.
    addresses: Arc<Map<SocketAddr, SidecarKey>>,
}

/// Endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pool {
    /// What they do.
    pub kind: Kind,
    /// The model or service.
    pub serves: CompactString,
}

/// A sidecar as the view has it.
#[derive(Clone, Debug)]
pub struct Sidecar {
    /// Its name, empty until it said so.
    pub name: CompactString,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Configuration that it runs.
    pub version: Version,
    /// Whether its connection is up.
    pub connected: bool,
    /// Whether it leaves, by its own word or the host list's.
    pub draining: bool,
    /// Whether this incarnation said that it leaves.
    announced_leaving: bool,
    /// Whether the host list says that it leaves.
    listed_leaving: bool,
    /// Lists in a row that lack it.
    missed_lists: u32,
    /// Its endpoints.
    pub endpoints: Vec<EndpointKey>,
}

/// An endpoint as the view has it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its sidecar.
    pub sidecar: SidecarKey,
    /// What its sidecar said of it.
    pub info: Arc<message::Endpoint>,
    /// Its last load.
    pub load: message::Load,
    /// When that load came.
    pub reported_at: Instant,
    /// Work sent there since that load came.
    pub sent: u32,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Where its sidecar listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it leaves.
    pub leaving: bool,
}

/// What a host list changes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Diff {
    /// Sidecars to connect to.
    pub added: Vec<SocketAddr>,
    /// Sidecars that are listed no more and not connected.
    pub removed: Vec<SocketAddr>,
}

impl View {
    /// Takes a host list. A host that is gone from the list stays while it is
    /// connected, and for some lists after that, because the list lags. An
    /// empty list says nothing: it is a fault of the platform.
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

    /// Takes a sidecar's first words. A new incarnation replaces what its
    /// predecessor had; the same one keeps its endpoints and their loads.
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

    /// Takes a sidecar's report.
    pub fn apply_report(&mut self, now: Instant, address: SocketAddr, report: &Report) {
        let Some(key) = self.addresses.get(&address).copied() else {
            return;
        };
        let sidecar = &self.sidecars[key];
        // Most reports bring new loads only, and leave what is shared alone.
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

    /// Notes that a sidecar's connection is down.
    pub fn mark_disconnected(&mut self, address: SocketAddr) {
        let Some(key) = self.addresses.get(&address).copied() else {
            return;
        };
        Arc::make_mut(&mut self.sidecars)[key].connected = false;
    }

    /// The sidecar at an address.
    pub fn sidecar_at(&self, address: SocketAddr) -> Option<&Sidecar> {
        self.addresses.get(&address).map(|key| &self.sidecars[*key])
    }

    /// Whether an endpoint takes new work, as far as is known.
    pub fn is_open(&self, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let sidecar = &self.sidecars[endpoint.sidecar];
        sidecar.connected && !sidecar.draining && endpoint.load.ready
    }

    /// Takes a listed host that is new.
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

    /// Takes what a list says of a host that is known.
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

    /// Whether a sidecar's endpoints are as it now says.
    fn has_same_endpoints(&self, key: SidecarKey, infos: &[message::Endpoint]) -> bool {
        let endpoints = self.sidecars[key].endpoints.iter();
        endpoints
            .map(|endpoint| &*self.endpoints[*endpoint].info)
            .eq(infos)
    }

    /// Forgets a sidecar.
    fn remove(&mut self, address: SocketAddr) {
        let Some(key) = Arc::make_mut(&mut self.addresses).remove(&address) else {
            return;
        };
        self.clear_endpoints(key);
        Arc::make_mut(&mut self.sidecars).remove(key);
    }

    /// Forgets a sidecar's endpoints.
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

/// The pool of an endpoint.
fn pool_of(info: &message::Endpoint) -> Pool {
    Pool {
        kind: info.kind,
        serves: info.serves.clone(),
    }
}

/// The load of an endpoint that has not reported: it takes no work.
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
