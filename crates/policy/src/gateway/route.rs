//! The configuration in force, and the route that a request takes.

use std::time::Duration;

use compact_str::CompactString;
use rand::{Rng, RngExt};

use cranberryridge_wire::Map;

/// One version of the configuration, as operators wrote it.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Grows with each change.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What serves them.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
}

/// Where the requests of one host and path go.
#[derive(Clone, Debug)]
pub struct Route {
    /// Its name, for logs.
    pub name: CompactString,
    /// The host that callers name.
    pub host: CompactString,
    /// The beginning of the path, from slash to slash.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time until the answer begins.
    pub timeout: Duration,
    /// Time until the answer, or its first event, for it to be on time.
    pub latency_target: Duration,
    /// Longest pause between two events for a stream to be on time.
    pub max_event_gap: Duration,
    /// Most endpoints that may get one attempt of a caller.
    pub max_attempts: u32,
    /// The services, with their weights.
    pub targets: Vec<Target>,
}

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All of it.
    Idempotent,
    /// Nothing: it runs at most once.
    Single,
    /// A stream of events, which runs at most once.
    Stream,
    /// A stream of events that another endpoint can go on with.
    ResumableStream,
}

impl Kind {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request may run again after an unknown outcome.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub service: CompactString,
    /// Its share, against the sum of all shares.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Its engines' sizes, if it is a model service.
    pub engine: Option<Engine>,
}

/// Sizes of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Size of the KV cache in tokens.
    pub kv_capacity: u32,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Longest time that room can be reserved, zero if it cannot.
    pub max_reservation: Duration,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A configuration with its routes indexed.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::route::{Configuration, Table};
/// let table = Table::new(Configuration::default());
/// assert!(table.find("desk.example", "/quotes/7").is_none());
/// ```
#[derive(Debug, Default)]
pub struct Table {
    /// The configuration.
    configuration: Configuration,
    /// Positions of routes, by host and prefix.
    routes: Map<CompactString, Map<CompactString, usize>>,
    /// Positions of services, by name.
    services: Map<CompactString, usize>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes = Map::<CompactString, Map<CompactString, usize>>::default();
        for (index, route) in configuration.routes.iter().enumerate() {
            let hosts = routes.entry(route.host.clone()).or_default();
            hosts.insert(route.path_prefix.clone(), index);
        }
        let names = configuration.services.iter().enumerate();
        let services = names.map(|(index, service)| (service.name.clone(), index));
        Self {
            services: services.collect(),
            routes,
            configuration,
        }
    }

    /// The version.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// What a caller may send.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }

    /// The route of a host with the longest prefix of a path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(index, _)| index);
        let mut found = slashes.filter_map(|index| prefixes.get(&path[..=index]));
        found.next().map(|index| &self.configuration.routes[*index])
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.configuration.services[*index])
    }

    /// The engines of a service, if it is a model's.
    pub fn engine(&self, name: &str) -> Option<Engine> {
        self.service(name)?.engine
    }
}

impl Route {
    /// Draws one of the services by weight.
    pub fn choose_service<R: Rng>(&self, random: &mut R) -> Option<&CompactString> {
        let sum = self.targets.iter().map(|target| target.weight).sum::<u32>();
        if sum == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = random.random_range(0..sum);
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}
