//! A deployment of stand-ins and daemons in one process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use compact_str::{format_compact, CompactString};

use cranberryridge::client::Client;
use cranberryridge::clock::Clock;
use cranberryridge::entry::{self, Entry};
use cranberryridge::metrics::Metrics;
use cranberryridge::net::Net;
use cranberryridge::platform::{hosts as host_list, log as platform_log};
use cranberryridge::sidecar::{self, Sidecar};
use cranberryridge::wire::id::{Incarnation, Version};
use cranberryridge::wire::record::{Change, Record, Service};
use cranberryridge::wire::setting::{self, Kind};

use crate::engine::{self, Engine};
use crate::hosts::Hosts;
use crate::ledger::Ledger;
use crate::log::Log;
use crate::plain::{self, Plain};
use crate::server::Server;

/// Number, names and settings of a deployment's parts.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Third octet of the deployment's loopback addresses.
    pub subnet: u8,
    /// Failure domains, which the runners and entries get in turn.
    pub domains: Vec<CompactString>,
    /// Name of the model that the engines serve.
    pub model: CompactString,
    /// Name of the plain service.
    pub plain_service: CompactString,
    /// Number of prefill runners.
    pub prefill_runners: u8,
    /// Number of decode runners.
    pub decode_runners: u8,
    /// Number of plain runners.
    pub plain_runners: u8,
    /// Number of entries.
    pub entries: u8,
    /// Settings of all engines.
    pub engine: engine::Settings,
    /// Most requests that a decode runner runs at once.
    pub decode_slots: u32,
    /// Settings by which entries place requests.
    pub decision: setting::Decision,
    /// Settings by which sidecars admit requests.
    pub admission: setting::Admission,
    /// Duration of a plain call.
    pub plain_call_time: Duration,
    /// Seed of the incarnations, which seed the entries' random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            subnet: 1,
            domains: vec!["a".into(), "b".into()],
            model: "model".into(),
            plain_service: "orders".into(),
            prefill_runners: 2,
            decode_runners: 2,
            plain_runners: 2,
            entries: 2,
            engine: engine::Settings::default(),
            decode_slots: 20,
            decision: setting::Decision::default(),
            admission: setting::Admission::default(),
            plain_call_time: Duration::from_millis(20),
            seed: 1,
        }
    }
}

impl Plan {
    /// Lipowa: four failure domains, 18 model runners, 4 loan runners.
    pub fn lipowa() -> Self {
        Self {
            subnet: 10,
            domains: ["lodz", "radom", "kielce", "plock"]
                .map(CompactString::from)
                .to_vec(),
            model: "underwriter-70b".into(),
            plain_service: "loans".into(),
            prefill_runners: 9,
            decode_runners: 9,
            plain_runners: 4,
            ..Self::default()
        }
    }

    /// Sahel Tubes: three failure domains, 18 summary runners, 3 order and
    /// warehouse runners.
    pub fn sahel() -> Self {
        Self {
            subnet: 20,
            domains: ["sfax", "tunis", "sousse"]
                .map(CompactString::from)
                .to_vec(),
            model: "estimator-13b".into(),
            plain_service: "orders".into(),
            prefill_runners: 8,
            decode_runners: 10,
            plain_runners: 3,
            ..Self::default()
        }
    }

    /// Returns the address of a host and port in the deployment's subnet.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, self.subnet, host)), port)
    }

    /// Returns the address of the host `index` of a kind whose first network is
    /// `network`. Each network has [`HOSTS_PER_NETWORK`] hosts.
    fn numbered_address(&self, network: u8, index: usize, port: u16) -> SocketAddr {
        let network = network + (index / HOSTS_PER_NETWORK) as u8;
        let host = (index % HOSTS_PER_NETWORK) as u8 + 1;
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, network, self.subnet, host)),
            port,
        )
    }
}

/// Second octet of the sidecars' first network.
const FIRST_SIDECAR_NETWORK: u8 = 1;

/// Second octet of the runners' first network.
const FIRST_RUNNER_NETWORK: u8 = 128;

/// Hosts in one network before the next one begins.
const HOSTS_PER_NETWORK: usize = 250;

/// Port that sidecars listen on.
pub const SIDECAR_PORT: u16 = 7200;

/// Port that engines and plain services listen on.
pub const ENDPOINT_PORT: u16 = 7100;

/// Port that entries listen on.
pub const ENTRY_PORT: u16 = 8080;

/// Port that the log listens on.
pub const LOG_PORT: u16 = 7001;

/// Port that the host list listens on.
pub const HOSTS_PORT: u16 = 7002;

/// A running deployment.
#[derive(Debug)]
pub struct Fleet<N, C> {
    /// The plan that the deployment was started from.
    pub plan: Plan,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    /// The ledger of all engines and plain services.
    pub ledger: Ledger,
    /// Model engines, prefill first.
    pub engines: Vec<Engine<N>>,
    /// Sidecars, in the order prefill, decode, plain.
    pub sidecars: Vec<Sidecar<N, C>>,
    /// Entries, in the order of their hosts.
    pub entries: Vec<Entry<N, C>>,
    /// Servers of the stand-ins, in the order log, hosts, endpoints.
    pub servers: Vec<Server>,
}

impl<N: Net, C: Clock> Fleet<N, C> {
    /// Starts a deployment on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use.
    pub async fn start(net: N, clock: C, plan: Plan) -> anyhow::Result<Self> {
        let ledger = plan.engine.ledger.clone();
        let log = Log::default();
        let hosts = Hosts::default();
        let servers = vec![
            log.serve(&net, plan.address(1, LOG_PORT)).await?,
            hosts.serve(&net, plan.address(1, HOSTS_PORT)).await?,
        ];
        let mut fleet = Self {
            plan,
            log,
            hosts,
            ledger,
            engines: Vec::new(),
            sidecars: Vec::new(),
            entries: Vec::new(),
            servers,
        };
        let (prefill_runners, decode_runners) =
            (fleet.plan.prefill_runners, fleet.plan.decode_runners);
        let runners = std::iter::repeat_n(Kind::Prefill, usize::from(prefill_runners))
            .chain(std::iter::repeat_n(
                Kind::Decode,
                usize::from(decode_runners),
            ))
            .chain(std::iter::repeat_n(
                Kind::Plain,
                usize::from(fleet.plan.plain_runners),
            ));
        for (index, kind) in runners.enumerate() {
            fleet.start_runner(&net, &clock, index, kind).await?;
        }
        for index in 0..usize::from(fleet.plan.entries) {
            fleet.start_entry(&net, &clock, index).await?;
        }
        Ok(fleet)
    }

    /// Publishes services by appending a change to the log. Returns the version
    /// that it gets if `base` is the version in force.
    pub fn publish(&self, base: Version, services: Vec<Service>) -> Version {
        let change = Record::Change(Change {
            id: base.0,
            base,
            author: "fleet".into(),
            snapshot: base == Version::default(),
            services,
            removed: Vec::new(),
        });
        // A record always has a JSON form.
        let record = serde_json::to_string(&change).unwrap_or_default();
        Version(self.log.append(record) + 1)
    }

    /// Returns the services of the plan: the model's and the plain one.
    pub fn services(&self) -> Vec<Service> {
        let model = format!("name = \"summaries\"\nmodel = \"{}\"\n", self.plan.model);
        let plain = format!(
            "name = \"{}\"\nroutes = [{{ path = \"/\", idempotent = false }}]\n",
            self.plan.plain_service
        );
        let parse = |text: &str| cranberryridge::wire::service::parse(text).ok();
        [model, plain]
            .iter()
            .filter_map(|text| parse(text))
            .collect()
    }

    /// Adds an entry and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if its address is in use.
    pub async fn add_entry(&mut self, net: &N, clock: &C) -> anyhow::Result<usize> {
        let index = self.entries.len();
        self.start_entry(net, clock, index).await?;
        Ok(index)
    }

    /// Adds a plain runner with its sidecar and returns the sidecar's index.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use.
    pub async fn add_plain(&mut self, net: &N, clock: &C) -> anyhow::Result<usize> {
        let index = self.sidecars.len();
        self.start_runner(net, clock, index, Kind::Plain).await?;
        Ok(index)
    }

    /// Waits until every entry has the configuration and sees every endpoint as
    /// ready.
    pub async fn wait_ready(&self) {
        let count = self.sidecars.len();
        loop {
            let ready = self.entries.iter().all(|entry| {
                let shared = entry.shared();
                let snapshot = shared.snapshot.load();
                let open = snapshot
                    .view
                    .endpoints
                    .keys()
                    .filter(|key| snapshot.view.is_open(*key));
                shared.is_ready() && open.count() == count
            });
            if ready {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the number of requests that hold memory in any engine.
    pub fn resident_count(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.resident_ids().len())
            .sum()
    }

    /// Starts a runner and its sidecar. Each has its own address, so that a
    /// fault can affect one alone.
    async fn start_runner(
        &mut self,
        net: &N,
        clock: &C,
        index: usize,
        kind: Kind,
    ) -> anyhow::Result<()> {
        let address = self.runner_address(index);
        let net = net.for_host(address.ip());
        match kind {
            Kind::Plain => {
                let plain = Plain::new(plain::Settings {
                    service_time: self.plan.plain_call_time,
                    ledger: self.ledger.clone(),
                });
                self.servers.push(plain.serve(&net, address).await?);
            }
            Kind::Prefill | Kind::Decode => {
                let engine = Engine::new(net.clone(), self.plan.engine.clone());
                self.servers.push(engine.serve(address).await?);
                self.engines.push(engine);
            }
        }
        let sidecar = self.start_sidecar(&net, clock, index, kind, 0).await?;
        self.sidecars.push(sidecar);
        self.update_hosts();
        Ok(())
    }

    /// Returns the address that a runner serves on.
    pub fn runner_address(&self, index: usize) -> SocketAddr {
        self.plan
            .numbered_address(FIRST_RUNNER_NETWORK, index, ENDPOINT_PORT)
    }

    /// Returns the address that a runner's sidecar listens on.
    pub fn sidecar_address(&self, index: usize) -> SocketAddr {
        self.plan
            .numbered_address(FIRST_SIDECAR_NETWORK, index, SIDECAR_PORT)
    }

    fn runner_kind(&self, index: usize) -> Kind {
        let prefill_runners = usize::from(self.plan.prefill_runners);
        let models = prefill_runners + usize::from(self.plan.decode_runners);
        match index {
            _ if index < prefill_runners => Kind::Prefill,
            _ if index < models => Kind::Decode,
            _ => Kind::Plain,
        }
    }

    /// Restarts a runner's sidecar after it has ended. `life` distinguishes its
    /// incarnation from earlier ones.
    ///
    /// # Errors
    ///
    /// Fails if its address is still in use.
    pub async fn restart_sidecar(
        &mut self,
        net: &N,
        clock: &C,
        index: usize,
        life: u64,
    ) -> anyhow::Result<()> {
        let kind = self.runner_kind(index);
        self.sidecars[index] = self.start_sidecar(net, clock, index, kind, life).await?;
        Ok(())
    }

    async fn start_sidecar(
        &self,
        net: &N,
        clock: &C,
        index: usize,
        kind: Kind,
        life: u64,
    ) -> anyhow::Result<Sidecar<N, C>> {
        let listen = self.sidecar_address(index);
        let net = net.for_host(listen.ip());
        let serves = match kind {
            Kind::Plain => self.plan.plain_service.clone(),
            Kind::Prefill | Kind::Decode => self.plan.model.clone(),
        };
        let settings = setting::Sidecar {
            common: self.common_settings(index, format_compact!("sidecar-{index}"), listen),
            endpoints: vec![setting::Endpoint {
                address: self.runner_address(index).to_string().into(),
                kind,
                serves,
                pages: self.plan.engine.pages,
                page_tokens: self.plan.engine.page_tokens,
                slots: if kind == Kind::Prefill {
                    2
                } else {
                    self.plan.decode_slots
                },
                rate: self.plan.engine.prefill_rate,
                link: self.plan.engine.link_rate,
                fenced: true,
            }],
            admission: self.plan.admission.clone(),
            ..setting::Sidecar::default()
        };
        Sidecar::start(sidecar::Parts {
            log: self.platform_log(&net),
            net,
            clock: clock.clone(),
            settings,
            metrics: Metrics::default(),
            logger: cranberryridge::logger::silent(),
            incarnation: Incarnation(life << 48 | self.plan.seed << 16 | 0x100 | index as u64),
            traffic: tokio::runtime::Handle::current(),
        })
        .await
    }

    async fn start_entry(&mut self, net: &N, clock: &C, index: usize) -> anyhow::Result<()> {
        let host = 2 + u8::try_from(index)?;
        let net = &net.for_host(self.plan.address(host, ENTRY_PORT).ip());
        let settings = setting::Entry {
            common: self.common_settings(
                index,
                format_compact!("entry-{index}"),
                self.plan.address(host, ENTRY_PORT),
            ),
            host_list: self.plan.address(1, HOSTS_PORT).to_string().into(),
            decision: self.plan.decision.clone(),
            ..setting::Entry::default()
        };
        let hosts = Client::new(net.clone(), self.plan.address(1, HOSTS_PORT));
        let entry = Entry::start(entry::Parts {
            net: net.clone(),
            clock: clock.clone(),
            log: self.platform_log(net),
            hosts: host_list::Http::new(hosts),
            settings,
            metrics: Metrics::default(),
            logger: cranberryridge::logger::silent(),
            incarnation: Incarnation(self.plan.seed << 16 | 0x200 | index as u64),
            traffic: tokio::runtime::Handle::current(),
        })
        .await?;
        self.entries.push(entry);
        Ok(())
    }

    /// Returns the settings that sidecars and entries share.
    fn common_settings(
        &self,
        index: usize,
        name: CompactString,
        listen: SocketAddr,
    ) -> setting::Common {
        setting::Common {
            name,
            domain: self.plan.domains[index % self.plan.domains.len()].clone(),
            listen: listen.to_string().into(),
            log_service: self.plan.address(1, LOG_PORT).to_string().into(),
            ..setting::Common::default()
        }
    }

    /// Returns a client of the log.
    fn platform_log(&self, net: &N) -> platform_log::Http<N> {
        platform_log::Http::new(Client::new(net.clone(), self.plan.address(1, LOG_PORT)))
    }

    /// Replaces the host list by one row for each sidecar.
    fn update_hosts(&self) {
        let rows = self
            .sidecars
            .iter()
            .enumerate()
            .map(|(index, sidecar)| host_list::Row {
                address: sidecar.address().to_string().into(),
                domain: self.plan.domains[index % self.plan.domains.len()].clone(),
                leaving: false,
            });
        self.hosts.set_rows(rows.collect());
    }
}
