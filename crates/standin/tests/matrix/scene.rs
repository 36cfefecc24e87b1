//! One run of cells on a small deployment.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use cranberryridge::clock::Tokio;
use cranberryridge::net::memory::Memory;
use cranberryridge::wire::id::Version;
use cranberryridge::wire::record::{Late, Service};
use cranberryridge_standin::engine::expected_answer;
use cranberryridge_standin::fleet::{Fleet, Plan, ENTRY_PORT};
use cranberryridge_standin::ledger::Stage;
use cranberryridge_standin::observer::{self, Kind, Observer, Outcome, Violation};

use crate::caller::Caller;
use crate::fault::{Fault, Restore};
use crate::table::{Cell, Step};

/// Time that each of the entry's messages takes, so that steps lie apart.
pub const DELAY: Duration = Duration::from_millis(10);

/// Time between looks while a step is waited for.
const TICK: Duration = Duration::from_millis(1);

/// Time between looks after the faults.
const LOOK: Duration = Duration::from_millis(100);

/// Longest time that a service lets a request take.
const DEADLINE: Duration = Duration::from_secs(60);

/// Longest time until every caller has its end.
const PATIENCE: Duration = Duration::from_secs(70);

/// Time after the last end in which engine memory must be free.
const SETTLE: Duration = Duration::from_secs(8);

/// Tokens of an answer.
const TOKENS: u32 = 24;

/// Bytes of a prompt.
const PROMPT: usize = 8_000;

/// Author of the change whose answer is lost.
pub const OPERATOR: &str = "operator";

/// Fresh calls after the faults.
const PROBES: usize = 4;

/// Bytes of a prompt that keeps a prefill endpoint busy.
const LONG_PROMPT: usize = 60_000;

/// Requests that keep the prefill endpoints busy.
const FILLERS: usize = 8;

/// Time between them.
const FILLING: Duration = Duration::from_millis(120);

/// Tokens that a caller has in the middle of its stream.
const MIDDLE: u32 = 5;

/// Runners of models; the plain one comes behind them.
const MODELS: usize = 4;

/// Prefill runners, the first of them.
const PREFILLS: usize = 2;

/// A deployment with its callers.
#[derive(Debug)]
pub struct Scene {
    /// The network.
    pub net: Memory,
    /// The deployment.
    pub fleet: Fleet<Memory, Tokio>,
    /// Its services.
    pub services: Vec<Service>,
    /// Judges.
    pub observer: Observer,
    /// Calls through the entry that faults strike; the model's first.
    callers: Vec<Caller>,
    /// Calls through the other entry.
    others: Vec<Caller>,
    /// When the entry had read the request.
    parsed: Option<Instant>,
    /// What ends faults, and when.
    restores: Vec<(Instant, Restore)>,
    /// Graceful shutdowns under way.
    drains: Vec<JoinHandle<bool>>,
    /// When the log works.
    log_up: Instant,
    /// Lives of sidecars so far.
    lives: u64,
    /// The version that an operator's change under way is based on.
    pub appending: Option<Version>,
    /// Runners that are gone for good.
    lost: Vec<usize>,
    /// Whether the struck entry's version still counts.
    watched: bool,
    /// Whether all sidecars live on, so that their versions count.
    steady: bool,
    /// Whether no fault but a graceful shutdown may harm a call.
    harmless: bool,
    /// Source of choices.
    random: StdRng,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// The cells.
    pub cells: Vec<Cell>,
    /// Whether every step was reached.
    pub reached: bool,
    /// Broken promises.
    violations: Vec<Violation>,
    /// Ends of fresh calls afterwards that are no answers.
    unserved: Vec<Outcome>,
    /// Ends of the calls that were struck, in words.
    pub ends: Vec<String>,
}

impl Report {
    /// Whether something was wrong.
    pub fn red(&self) -> bool {
        !self.violations.is_empty() || !self.unserved.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells = self.cells.iter().map(Cell::to_string).collect::<Vec<_>>();
        write!(f, "{} ({}):", cells.join(" and "), self.ends.join(", "))?;
        for violation in &self.violations {
            write!(f, " {violation:?}")?;
        }
        for outcome in &self.unserved {
            write!(f, " afterwards {outcome:?}")?;
        }
        Ok(())
    }
}

impl Scene {
    /// Plays cells in order of their steps.
    pub async fn play(cells: &[Cell], seed: u64) -> Report {
        let queued = cells.iter().any(|cell| cell.step == Step::PrefillQueued);
        let late = if queued { Late::Serve } else { Late::Refuse };
        let mut scene = Self::start(seed, late).await;
        if queued {
            scene.fill().await;
        }
        scene.watched = !cells.iter().any(|cell| {
            matches!(
                cell.fault,
                Fault::EntryDies | Fault::EntryPauses | Fault::EntryDrains
            )
        });
        scene.steady = !cells
            .iter()
            .any(|cell| matches!(cell.fault, Fault::SidecarDies | Fault::HostListStale));
        scene.harmless = !cells.iter().any(|cell| cell.fault.harms());
        scene.send();
        let mut reached = true;
        for cell in cells {
            reached &= scene.reach(cell.step).await;
            cell.fault.strike(&mut scene, cell.step).await;
        }
        scene.finish().await;
        let unserved = scene.probe().await;
        Report {
            cells: cells.to_vec(),
            reached,
            ends: scene.ends(),
            violations: scene.judge(),
            unserved,
        }
    }

    /// Starts a deployment that is ready.
    async fn start(seed: u64, late: Late) -> Self {
        let net = Memory::default();
        let plan = Plan {
            plain_runners: 1,
            plain_call_time: Duration::from_millis(150),
            seed,
            ..Plan::default()
        };
        let ledger = plan.engine.ledger.clone();
        let fleet = Fleet::start(net.clone(), Tokio, plan).await.unwrap();
        let mut services = fleet.services();
        for service in &mut services {
            service.late = late;
            service.deadline_ms = DEADLINE.as_millis() as u32;
        }
        fleet.publish(Version::default(), services.clone());
        let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready()).await;
        ready.expect("fleet not ready");
        net.delay(fleet.entries[0].address().ip(), DELAY);
        Self {
            net,
            fleet,
            services,
            observer: Observer::new(observer::Settings::default(), ledger),
            callers: Vec::new(),
            others: Vec::new(),
            parsed: None,
            restores: Vec::new(),
            drains: Vec::new(),
            log_up: Instant::now(),
            lives: 0,
            appending: None,
            lost: Vec::new(),
            watched: true,
            steady: true,
            harmless: true,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The entry that faults strike.
    pub fn entry(&self) -> SocketAddr {
        self.fleet.plan.address(2, ENTRY_PORT)
    }

    /// Where all sidecars listen.
    pub fn sidecars(&self) -> Vec<SocketAddr> {
        let all = 0..self.fleet.sidecars.len();
        all.map(|index| self.fleet.sidecar_address(index)).collect()
    }

    /// The number of the next sidecar's life.
    pub fn life(&mut self) -> u64 {
        self.lives += 1;
        self.lives
    }

    /// The runner that a fault strikes: the one that works on the request now,
    /// or any.
    pub fn victim(&mut self, step: Step) -> usize {
        if step == Step::Claimed {
            return MODELS;
        }
        let works = self.fleet.ledger.events();
        let last = works.iter().rfind(|work| work.tag == self.callers[0].name);
        let index = last.and_then(|work| {
            (0..MODELS).find(|index| self.fleet.runner_address(*index) == work.engine)
        });
        index.unwrap_or_else(|| self.random.random_range(0..MODELS))
    }

    /// Notes that a runner is gone for good.
    pub fn lose(&mut self, index: usize) {
        self.lost.push(index);
    }

    /// Whether each pool has a runner left.
    fn served(&self) -> bool {
        let there =
            |mut pool: std::ops::Range<usize>| pool.any(|index| !self.lost.contains(&index));
        there(0..PREFILLS) && there(PREFILLS..MODELS)
    }

    /// Ends a fault after a while.
    pub fn later(&mut self, after: Duration, restore: Restore) {
        let at = Instant::now() + after;
        if matches!(restore, Restore::Log) {
            self.log_up = self.log_up.max(at);
        }
        self.restores.push((at, restore));
    }

    /// Lets the callers of the struck entry hang up.
    pub fn hang_up(&self) {
        self.callers.iter().for_each(Caller::hang_up);
    }

    /// Sends the same again through the other entry.
    pub fn send_again(&mut self) {
        let entry = self.fleet.entries[1].address();
        let model = self.model(entry, "again", PROMPT);
        self.observer
            .record_call("keyed-again", "keyed", Kind::AtMostOnce);
        let keyed = Caller::keyed(&self.net, entry, "keyed-again", "keyed");
        self.others.extend([model, keyed]);
    }

    /// Notes that only a graceful shutdown may harm the calls under way, if
    /// that is so.
    pub fn shelter(&mut self) {
        if !self.harmless {
            return;
        }
        for caller in self.callers.iter().filter(|caller| !caller.over()) {
            self.observer.protect(&caller.name);
        }
    }

    /// Runs a graceful shutdown in the background.
    pub fn drain(&mut self, drain: impl Future<Output = bool> + Send + 'static) {
        self.drains.push(tokio::spawn(drain));
    }

    /// The version in force at the entry that no fault strikes.
    pub fn version(&self) -> Version {
        self.fleet.entries[1]
            .shared()
            .configuration
            .borrow()
            .version
    }

    /// Publishes a change.
    pub fn publish(&mut self) {
        for service in &mut self.services {
            service.client_concurrency += 1;
        }
        let version = self.fleet.publish(self.version(), self.services.clone());
        let at = Instant::now().max(self.log_up);
        self.observer.record_publication(at, version);
    }

    /// Notes that an operator's change is accepted once it is in the log, upon
    /// the version in force.
    fn appended(&mut self) {
        let Some(base) = self.appending else { return };
        let records = self.fleet.log.records();
        let mut operator = records
            .iter()
            .filter(|record| record.data.contains(OPERATOR));
        let Some(record) = operator.next() else {
            return;
        };
        self.appending = None;
        let version = Version(record.offset + 1);
        if [base, version].contains(&self.version()) {
            let at = Instant::now().max(self.log_up);
            self.observer.record_publication(at, version);
        }
    }

    /// Keeps the prefill endpoints busy.
    async fn fill(&mut self) {
        let entry = self.fleet.entries[1].address();
        for number in 0..FILLERS {
            let filler = self.model(entry, &format!("filler{number}"), LONG_PROMPT);
            self.others.push(filler);
            // So that the next one is placed by a fresh report.
            tokio::time::sleep(FILLING).await;
        }
    }

    /// Sends the calls that faults strike.
    fn send(&mut self) {
        let entry = self.entry();
        let model = self.model(entry, "model", PROMPT);
        self.observer
            .record_call("plain", "plain", Kind::AtMostOnce);
        let plain = Caller::plain(&self.net, entry, "plain");
        self.observer
            .record_call("keyed", "keyed", Kind::AtMostOnce);
        let keyed = Caller::keyed(&self.net, entry, "keyed", "keyed");
        self.callers = vec![model, plain, keyed];
    }

    /// Asks for a model's answer.
    fn model(&mut self, entry: SocketAddr, tag: &str, length: usize) -> Caller {
        let prompt = format!("{tag} {}", tag.repeat(length / tag.len()));
        let answer = expected_answer(&prompt, u64::from(TOKENS));
        self.observer.record_call(tag, tag, Kind::Model(answer));
        Caller::model(&self.net, entry, tag, &prompt, TOKENS)
    }

    /// Waits for a step. Returns whether it came.
    async fn reach(&mut self, step: Step) -> bool {
        let limit = Instant::now() + PATIENCE;
        while !self.at(step) {
            if Instant::now() > limit || (step < Step::Answered && self.callers[0].over()) {
                return false;
            }
            tokio::time::sleep(TICK).await;
            self.look().await;
        }
        // These steps are told by the time that messages take, so that no
        // engine has the request yet is checked.
        let early = [Step::HoldAsked, Step::HoldGranted, Step::PrefillQueued];
        !(early.contains(&step) && self.did(Stage::Received))
    }

    /// Whether the request is at a step or past it.
    fn at(&mut self, step: Step) -> bool {
        let now = Instant::now();
        if self.parsed.is_none() && *self.fleet.entries[0].shared().in_flight.borrow() > 0 {
            self.parsed = Some(now);
        }
        let since = self.parsed.map(|parsed| now.duration_since(parsed));
        let after = |steps: f64| since.is_some_and(|since| since >= DELAY.mul_f64(steps));
        match step {
            Step::Parsed => self.parsed.is_some(),
            Step::Claimed => {
                let records = self.fleet.log.records();
                records.iter().any(|record| record.data.contains("claims"))
            }
            Step::HoldAsked => after(0.5),
            Step::HoldGranted => after(1.5),
            Step::PrefillQueued => after(4.0),
            Step::PrefillRunning => self.did(Stage::Prefill),
            Step::Prefilled => self.did(Stage::Prefilled),
            Step::Transferring => self.did(Stage::Import),
            Step::DecodingFirst => self.did(Stage::Generate),
            Step::MidStream => self.callers[0].seen().tokens >= MIDDLE,
            Step::LastToken => self.did(Stage::Generated),
            Step::Answered => self.callers[0].over(),
        }
    }

    /// Whether an engine came to a stage with the request.
    fn did(&self, stage: Stage) -> bool {
        let works = self.fleet.ledger.events();
        let mut own = works.iter().filter(|work| work.tag == self.callers[0].name);
        own.any(|work| work.stage == stage)
    }

    /// Looks at engine memory and versions, and ends faults that are due.
    async fn look(&mut self) {
        self.appended();
        let now = Instant::now();
        let due = |(at, _): &mut (Instant, Restore)| *at <= now;
        let due = self.restores.extract_if(.., due).collect::<Vec<_>>();
        for (_, restore) in due {
            restore.end(self).await;
        }
        let held = self
            .fleet
            .engines
            .iter()
            .flat_map(|engine| engine.resident_ids());
        self.observer.record_memory(now, held.collect());
        for (index, entry) in self.fleet.entries.iter().enumerate() {
            if index > 0 || self.watched {
                let version = entry.shared().configuration.borrow().version;
                self.observer
                    .record_version(now, &format!("entry-{index}"), version);
            }
        }
        let sidecars = self.fleet.sidecars.iter().filter(|_| self.steady);
        for sidecar in sidecars {
            let version = sidecar.shared().configuration.borrow().version;
            self.observer.record_version(now, sidecar.name(), version);
        }
    }

    /// Goes on until every caller has its end and all is quiet.
    async fn finish(&mut self) {
        let limit = Instant::now() + PATIENCE;
        while Instant::now() < limit {
            let mut callers = self.callers.iter().chain(&self.others);
            let over = callers.all(Caller::over) && self.restores.is_empty();
            if over && self.drains.iter().all(JoinHandle::is_finished) {
                break;
            }
            tokio::time::sleep(LOOK).await;
            self.look().await;
        }
        let limit = Instant::now() + SETTLE;
        while Instant::now() < limit {
            tokio::time::sleep(LOOK).await;
            self.look().await;
        }
    }

    /// Sends the call with a key again, and a few fresh ones, through the other
    /// entry. Returns the ends of the fresh ones that are no answers.
    async fn probe(&mut self) -> Vec<Outcome> {
        let entry = self.fleet.entries[1].address();
        self.observer
            .record_call("keyed-later", "keyed", Kind::AtMostOnce);
        let later = Caller::keyed(&self.net, entry, "keyed-later", "keyed");
        self.others.push(later);

        let fresh = if self.served() { PROBES } else { 0 };
        let probes = (0..fresh).map(|number| self.model(entry, &format!("probe{number}"), PROMPT));
        let probes = probes.collect::<Vec<_>>();
        let limit = Instant::now() + PATIENCE;
        let over = |others: &[Caller]| others.iter().chain(&probes).all(Caller::over);
        while Instant::now() < limit && !over(&self.others) {
            tokio::time::sleep(LOOK).await;
        }
        let ends = probes
            .iter()
            .filter_map(|probe| probe.seen().ends.first().cloned());
        let ends = ends.map(|(_, outcome)| outcome);
        let unserved = ends.filter(|outcome| !matches!(outcome, Outcome::Answered(_)));
        let unserved = unserved.collect();
        self.others.extend(probes);
        unserved
    }

    /// Ends of the calls that were struck, in words.
    fn ends(&self) -> Vec<String> {
        let word = |caller: &Caller| match caller.seen().ends.first() {
            None => format!("{} without an end", caller.name),
            Some((_, Outcome::Answered(_))) => format!("{} answered", caller.name),
            Some((_, Outcome::Refused { code, .. })) => format!("{} {code}", caller.name),
            Some((_, Outcome::Truncated)) => format!("{} cut", caller.name),
            Some((_, Outcome::HungUp)) => format!("{} gone", caller.name),
        };
        let later = self
            .others
            .iter()
            .filter(|caller| caller.name.starts_with("keyed"));
        self.callers.iter().chain(later).map(word).collect()
    }

    /// Tells the observer what the callers saw, and lets it judge.
    fn judge(mut self) -> Vec<Violation> {
        for caller in self.callers.iter().chain(&self.others) {
            for (at, outcome) in caller.seen().ends.iter().cloned() {
                self.observer.record_outcome(&caller.name, at, outcome);
            }
        }
        self.observer.violations()
    }
}
