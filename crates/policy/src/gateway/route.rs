//! Active configuration and routing of requests.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{Rng, RngExt};

use cranberryridge_wire::{Map, Set};

use super::account::{Account, Directory, Key, Urgency};

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Increases with each change.
    pub version: u64,
    /// Routes from host and path to services.
    pub routes: Vec<Route>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Client accounts, or `None` if requests need no key.
    pub accounts: Option<Vec<Account>>,
}

/// A route for requests with a given host and path prefix.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in logs.
    pub name: CompactString,
    /// Host name that the request must have.
    pub host: CompactString,
    /// Path prefix that the request must have, starting and ending with a
    /// slash.
    pub path_prefix: CompactString,
    /// How often a request may run and whether its answer is a stream.
    pub kind: Kind,
    /// Longest time until the answer begins.
    pub timeout: Duration,
    /// Longest time until the answer, or the first event of a stream, to be on
    /// time.
    pub latency_target: Duration,
    /// Longest gap between two events for a stream to be on time.
    pub max_event_gap: Duration,
    /// Maximum number of endpoints that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Rank of the route's requests, 0 is the highest.
    pub priority: u8,
    /// Whether requests need no key of a client account.
    pub is_open: bool,
    /// Services that share the route's requests, with their weights.
    pub targets: Vec<Target>,
}

/// How often a request may run and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Single,
    /// The answer is a stream of events, and the request runs at most once.
    Stream,
    /// The answer is a stream of events, which another endpoint can resume.
    ResumableStream,
}

impl Kind {
    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request may run again after an unknown outcome.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: CompactString,
    /// Weight of the service, relative to the sum of all weights.
    pub weight: u32,
}

/// A service in the configuration.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Parameters of its engines, or `None` if it is not a model service.
    pub engine: Option<Engine>,
}

/// Parameters of a service's engines.
#[derive(Clone, Copy, Debug)]
pub struct Engine {
    /// Number of requests that an engine runs at once.
    pub slots: u32,
    /// Size of the KV cache in tokens.
    pub kv_capacity: u32,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Longest time for which room can be reserved. Zero if the engine takes no
    /// reservations.
    pub max_reservation: Duration,
    /// Time for which an engine keeps the KV cache of a prompt for another one to
    /// take. Zero if it is unknown.
    pub cache_ttl: Duration,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head.
    pub max_head_bytes: usize,
    /// Largest request body.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
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

/// A configuration with indexed routes and services.
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
    configuration: Configuration,
    /// Indices of routes, by host and path prefix.
    routes: Map<CompactString, Map<CompactString, usize>>,
    /// Indices of services, by name.
    services: Map<CompactString, usize>,
    /// Client accounts.
    accounts: Directory,
    /// Services whose requests differ in urgency.
    ranked_services: Set<CompactString>,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(mut configuration: Configuration) -> Self {
        let accounts = Directory::new(configuration.accounts.take());
        let mut routes = Map::<CompactString, Map<CompactString, usize>>::default();
        for (index, route) in configuration.routes.iter().enumerate() {
            let hosts = routes.entry(route.host.clone()).or_default();
            hosts.insert(route.path_prefix.clone(), index);
        }
        let names = configuration.services.iter().enumerate();
        let services = names.map(|(index, service)| (service.name.clone(), index));
        Self {
            services: services.collect(),
            ranked_services: find_ranked_services(&configuration.routes, &accounts),
            accounts,
            routes,
            configuration,
        }
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.configuration.limits
    }

    /// Returns the route of `host` with the longest matching path prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.routes.get(host)?;
        let slashes = path.rmatch_indices('/').map(|(index, _)| index);
        let mut found = slashes.filter_map(|index| prefixes.get(&path[..=index]));
        found.next().map(|index| &self.configuration.routes[*index])
    }

    /// Returns the client accounts.
    pub fn accounts(&self) -> &Directory {
        &self.accounts
    }

    /// Returns the account of a request with a key on a route, `None` if the request needs and
    /// names none.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownKey`] if the request needs a key and names none that is known.
    pub fn authenticate(
        &self,
        route: &Route,
        key: Key,
    ) -> Result<Option<Arc<Account>>, UnknownKey> {
        let account = self.accounts.find(key);
        if account.is_none() && self.accounts.is_configured() && !route.is_open {
            return Err(UnknownKey);
        }
        Ok(account.cloned())
    }

    /// Returns whether requests for a service differ in urgency.
    pub fn has_ranks(&self, service: &str) -> bool {
        self.ranked_services.contains(service)
    }

    /// Returns the services to which routes of streams were moved since an earlier
    /// configuration, with repetitions. A caller may take up a stream there that another
    /// service began. A change of weights counts as well.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::route::{Configuration, Table};
    /// let (before, after) = (Table::default(), Table::new(Configuration::default()));
    /// assert_eq!(after.moved_services(&before).count(), 0);
    /// ```
    pub fn moved_services<'a>(
        &'a self,
        before: &'a Self,
    ) -> impl Iterator<Item = &'a CompactString> {
        let routes = [&before.configuration.routes, &self.configuration.routes];
        let moved = routes.into_iter().flatten().filter_map(|route| {
            let earlier = before.find(&route.host, &route.path_prefix)?;
            let current = self.find(&route.host, &route.path_prefix)?;
            let is_moved = earlier.kind.is_stream()
                && current.kind.is_stream()
                && earlier.targets != current.targets;
            is_moved.then_some(&current.targets)
        });
        moved.flatten().map(|target| &target.service)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let index = self.services.get(name)?;
        Some(&self.configuration.services[*index])
    }

    /// Returns the engine parameters of a service, or `None` if it is unknown
    /// or not a model service.
    pub fn engine(&self, name: &str) -> Option<Engine> {
        self.service(name)?.engine
    }
}

/// The request names no key that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

/// Returns the services to which requests of several urgencies are routed.
fn find_ranked_services(routes: &[Route], accounts: &Directory) -> Set<CompactString> {
    let mut urgencies = Map::<&CompactString, Set<Urgency>>::default();
    for route in routes {
        let of_accounts = accounts.iter().map(|account| Some(&**account));
        let of_others = (!accounts.is_configured() || route.is_open).then_some(None);
        let of_route = of_accounts.chain(of_others);
        let of_route = of_route.map(|account| Urgency::new(account, route.priority));
        let of_route = of_route.collect::<Set<_>>();
        for target in &route.targets {
            urgencies
                .entry(&target.service)
                .or_default()
                .extend(&of_route);
        }
    }
    let ranked = urgencies.into_iter().filter(|(_, ranks)| ranks.len() > 1);
    ranked.map(|(service, _)| service.clone()).collect()
}

impl Route {
    /// Picks a service at random by weight. Returns the first if all weights
    /// are zero, and `None` if there are no services.
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

    /// Returns whether several services share the route's requests.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cranberryridge_policy::gateway::route::{Kind, Route, Target};
    /// let target = |service: &str, weight| Target { service: service.into(), weight };
    /// let mut route = Route {
    ///     name: "quotes".into(),
    ///     host: "desk.example".into(),
    ///     path_prefix: "/".into(),
    ///     kind: Kind::ResumableStream,
    ///     max_attempts: 2,
    ///     timeout: Duration::from_secs(14),
    ///     latency_target: Duration::from_secs(1),
    ///     max_event_gap: Duration::from_millis(300),
    ///     priority: 1,
    ///     is_open: false,
    ///     targets: vec![target("model", 90), target("other", 0)],
    /// };
    /// assert!(!route.is_split());
    /// route.targets[1].weight = 10;
    /// assert!(route.is_split());
    /// ```
    pub fn is_split(&self) -> bool {
        let weighted = self.targets.iter().filter(|target| target.weight > 0);
        weighted.count() > 1
    }
}
