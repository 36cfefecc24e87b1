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

/// What a deployment looks like.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Third number of its loopback addresses.
    pub subnet: u8,
    /// Failure domains.
    pub domains: Vec<CompactString>,
    /// Model served.
    pub model: CompactString,
    /// Plain service.
    pub plain: CompactString,
    /// Prefill runners.
    pub prefills: u8,
    /// Decode runners.
    pub decodes: u8,
    /// Plain runners.
    pub plains: u8,
    /// Entries.
    pub entries: u8,
    /// Engine settings.
    pub engine: engine::Settings,
    /// Most requests that a decode runner takes at once.
    pub slots: u32,
    /// How entries decide.
    pub decision: setting::Decision,
    /// How sidecars admit work.
    pub admission: setting::Admission,
    /// Time of a plain call.
    pub call: Duration,
    /// Seed of incarnations and choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            subnet: 1,
            domains: vec!["a".into(), "b".into()],
            model: "model".into(),
            plain: "orders".into(),
            prefills: 2,
            decodes: 2,
            plains: 2,
            entries: 2,
            engine: engine::Settings::default(),
            slots: 20,
            decision: setting::Decision::default(),
            admission: setting::Admission::default(),
            call: Duration::from_millis(20),
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
            plain: "loans".into(),
            prefills: 9,
            decodes: 9,
            plains: 4,
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
            plain: "orders".into(),
            prefills: 8,
            decodes: 10,
            plains: 3,
            ..Self::default()
        }
    }

    /// An address of the deployment.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 0, self.subnet, host)), port)
    }

    /// The address of one of many hosts of a kind, which begin at a network.
    fn numbered(&self, network: u8, index: usize, port: u16) -> SocketAddr {
        let network = network + (index / HOSTS_A_NETWORK) as u8;
        let host = (index % HOSTS_A_NETWORK) as u8 + 1;
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, network, self.subnet, host)),
            port,
        )
    }
}

/// Second number of the sidecars' first network.
const SIDECARS: u8 = 1;

/// Second number of the runners' first network.
const RUNNERS: u8 = 128;

/// Hosts with numbers of their own in one network.
const HOSTS_A_NETWORK: usize = 250;

/// Port of sidecars.
pub const SIDECAR: u16 = 7200;

/// Port of engines and plain services.
pub const ENDPOINT: u16 = 7100;

/// Port of entries.
pub const ENTRY: u16 = 8080;

/// Port of the log.
pub const LOG: u16 = 7001;

/// Port of the host list.
pub const HOSTS: u16 = 7002;

/// A running deployment.
#[derive(Debug)]
pub struct Fleet<N, C> {
    /// Its plan.
    pub plan: Plan,
    /// The platform's log.
    pub log: Log,
    /// The platform's host list.
    pub hosts: Hosts,
    /// What was run.
    pub ledger: Ledger,
    /// Model engines, prefill first.
    pub engines: Vec<Engine<N>>,
    /// Sidecars, in order: prefill, decode, plain.
    pub sidecars: Vec<Sidecar<N, C>>,
    /// Entries.
    pub entries: Vec<Entry<N, C>>,
    /// Servers of the stand-ins, in order: log, hosts, endpoints.
    pub servers: Vec<Server>,
}

impl<N: Net, C: Clock> Fleet<N, C> {
    /// Starts a deployment on the present runtime.
    ///
    /// # Errors
    ///
    /// When an address is taken.
    pub async fn start(net: N, clock: C, plan: Plan) -> anyhow::Result<Self> {
        let ledger = plan.engine.ledger.clone();
        let log = Log::default();
        let hosts = Hosts::default();
        let servers = vec![
            log.serve(&net, plan.address(1, LOG)).await?,
            hosts.serve(&net, plan.address(1, HOSTS)).await?,
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
        let (prefills, decodes) = (fleet.plan.prefills, fleet.plan.decodes);
        let runners = std::iter::repeat_n(Kind::Prefill, usize::from(prefills))
            .chain(std::iter::repeat_n(Kind::Decode, usize::from(decodes)))
            .chain(std::iter::repeat_n(
                Kind::Plain,
                usize::from(fleet.plan.plains),
            ));
        for (index, kind) in runners.enumerate() {
            fleet.runner(&net, &clock, index, kind).await?;
        }
        for index in 0..usize::from(fleet.plan.entries) {
            fleet.entry(&net, &clock, index).await?;
        }
        Ok(fleet)
    }

    /// Publishes services by a record in the log.
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

    /// The services that the deployment's plan needs.
    pub fn services(&self) -> Vec<Service> {
        let model = format!("name = \"summaries\"\nmodel = \"{}\"\n", self.plan.model);
        let plain = format!(
            "name = \"{}\"\nroutes = [{{ path = \"/\", idempotent = false }}]\n",
            self.plan.plain
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
    /// When its address is taken.
    pub async fn add_entry(&mut self, net: &N, clock: &C) -> anyhow::Result<usize> {
        let index = self.entries.len();
        self.entry(net, clock, index).await?;
        Ok(index)
    }

    /// Adds a plain runner and its sidecar, and returns the sidecar's index.
    ///
    /// # Errors
    ///
    /// When its address is taken.
    pub async fn add_plain(&mut self, net: &N, clock: &C) -> anyhow::Result<usize> {
        let index = self.sidecars.len();
        self.runner(net, clock, index, Kind::Plain).await?;
        Ok(index)
    }

    /// Waits until every entry knows the configuration and every endpoint.
    pub async fn ready(&self) {
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
                shared.ready() && open.count() == count
            });
            if ready {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Pages that requests hold in all engines.
    pub fn held(&self) -> usize {
        self.engines.iter().map(|engine| engine.held().len()).sum()
    }

    /// Starts a runner and its sidecar. Each has an address of its own, so that
    /// a fault can hit one alone.
    async fn runner(&mut self, net: &N, clock: &C, index: usize, kind: Kind) -> anyhow::Result<()> {
        let address = self.runner_address(index);
        let net = net.at(address.ip());
        match kind {
            Kind::Plain => {
                let plain = Plain::new(plain::Settings {
                    time: self.plan.call,
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
        let sidecar = self.sidecar(&net, clock, index, kind, 0).await?;
        self.sidecars.push(sidecar);
        self.list();
        Ok(())
    }

    /// Where a runner serves.
    pub fn runner_address(&self, index: usize) -> SocketAddr {
        self.plan.numbered(RUNNERS, index, ENDPOINT)
    }

    /// Where a runner's sidecar listens.
    pub fn sidecar_address(&self, index: usize) -> SocketAddr {
        self.plan.numbered(SIDECARS, index, SIDECAR)
    }

    /// What a runner is.
    fn kind(&self, index: usize) -> Kind {
        let prefills = usize::from(self.plan.prefills);
        let models = prefills + usize::from(self.plan.decodes);
        match index {
            _ if index < prefills => Kind::Prefill,
            _ if index < models => Kind::Decode,
            _ => Kind::Plain,
        }
    }

    /// Starts a runner's sidecar again after its end, as its given life.
    ///
    /// # Errors
    ///
    /// When its address is still taken.
    pub async fn restart(
        &mut self,
        net: &N,
        clock: &C,
        index: usize,
        life: u64,
    ) -> anyhow::Result<()> {
        let kind = self.kind(index);
        self.sidecars[index] = self.sidecar(net, clock, index, kind, life).await?;
        Ok(())
    }

    /// Starts a runner's sidecar.
    async fn sidecar(
        &self,
        net: &N,
        clock: &C,
        index: usize,
        kind: Kind,
        life: u64,
    ) -> anyhow::Result<Sidecar<N, C>> {
        let listen = self.sidecar_address(index);
        let net = net.at(listen.ip());
        let serves = match kind {
            Kind::Plain => self.plan.plain.clone(),
            Kind::Prefill | Kind::Decode => self.plan.model.clone(),
        };
        let settings = setting::Sidecar {
            common: self.common(index, format_compact!("sidecar-{index}"), listen),
            endpoints: vec![setting::Endpoint {
                address: self.runner_address(index).to_string().into(),
                kind,
                serves,
                pages: self.plan.engine.pages,
                page_tokens: self.plan.engine.page_tokens,
                slots: if kind == Kind::Prefill {
                    2
                } else {
                    self.plan.slots
                },
                rate: self.plan.engine.rate,
                link: self.plan.engine.link,
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

    /// Starts an entry.
    async fn entry(&mut self, net: &N, clock: &C, index: usize) -> anyhow::Result<()> {
        let host = 2 + u8::try_from(index)?;
        let net = &net.at(self.plan.address(host, ENTRY).ip());
        let settings = setting::Entry {
            common: self.common(
                index,
                format_compact!("entry-{index}"),
                self.plan.address(host, ENTRY),
            ),
            host_list: self.plan.address(1, HOSTS).to_string().into(),
            decision: self.plan.decision.clone(),
            ..setting::Entry::default()
        };
        let hosts = Client::new(net.clone(), self.plan.address(1, HOSTS));
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

    /// Settings that both daemons share.
    fn common(&self, index: usize, name: CompactString, listen: SocketAddr) -> setting::Common {
        setting::Common {
            name,
            domain: self.plan.domains[index % self.plan.domains.len()].clone(),
            listen: listen.to_string().into(),
            log_service: self.plan.address(1, LOG).to_string().into(),
            ..setting::Common::default()
        }
    }

    /// A client of the log.
    fn platform_log(&self, net: &N) -> platform_log::Http<N> {
        platform_log::Http::new(Client::new(net.clone(), self.plan.address(1, LOG)))
    }

    /// Lists every sidecar as a host.
    fn list(&self) {
        let rows = self
            .sidecars
            .iter()
            .enumerate()
            .map(|(index, sidecar)| host_list::Row {
                address: sidecar.address().to_string().into(),
                domain: self.plan.domains[index % self.plan.domains.len()].clone(),
                leaving: false,
            });
        self.hosts.set(rows.collect());
    }
}
