//! Runs a list of cells on a small deployment.

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
use crate::fault::{Fault, Recovery};
use crate::table::{Cell, Step};

/// Latency of each of the entry's messages, so that steps don't coincide.
pub const ENTRY_MESSAGE_DELAY: Duration = Duration::from_millis(10);

/// Polling interval while waiting for a step.
const STEP_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Polling interval after the faults.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Deadline of requests in the service settings.
const SERVICE_DEADLINE: Duration = Duration::from_secs(60);

/// Time limit for a step, and for all calls to finish.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(70);

/// Time after the last outcome during which violations are still observed, such
/// as engine memory that isn't released.
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

/// Length of an answer.
const ANSWER_TOKENS: u32 = 24;

/// Length of a prompt.
const PROMPT_BYTES: usize = 8_000;

/// Author of the change whose append answer is lost.
pub const CHANGE_AUTHOR: &str = "operator";

/// Number of new calls after the faults.
const PROBE_COUNT: usize = 4;

/// Length of a prompt that keeps a prefill endpoint busy.
const FILLER_PROMPT_BYTES: usize = 60_000;

/// Number of requests that keep the prefill endpoints busy.
const FILLER_COUNT: usize = 8;

/// Interval between these requests.
const FILLER_INTERVAL: Duration = Duration::from_millis(120);

/// Number of received tokens that counts as the middle of a stream.
const MIDSTREAM_TOKENS: u32 = 5;

/// Number of model runners. The plain runner comes after them.
const MODEL_RUNNER_COUNT: usize = 4;

/// Number of prefill runners, which come before the decode runners.
const PREFILL_RUNNER_COUNT: usize = 2;

/// A deployment, its callers and the faults in effect.
#[derive(Debug)]
pub struct Scenario {
    /// In-memory network between all parts.
    pub net: Memory,
    /// Daemons, engines and platform services.
    pub fleet: Fleet<Memory, Tokio>,
    /// Services in the last published configuration.
    pub services: Vec<Service>,
    /// Checks the guarantees.
    pub observer: Observer,
    /// Calls through the faulty entry. The first one is the model request.
    callers: Vec<Caller>,
    /// Calls through the other entry.
    other_callers: Vec<Caller>,
    /// Time at which a poll first found the request in flight at the entry, or
    /// `None` before that.
    parsed_at: Option<Instant>,
    /// Pending recoveries and their due times.
    recoveries: Vec<(Instant, Recovery)>,
    /// Graceful shutdowns in progress or finished.
    drains: Vec<JoinHandle<bool>>,
    /// Time from which the log works.
    log_up_at: Instant,
    /// Number of sidecar incarnations started by recoveries.
    incarnations: u64,
    /// Base version of the operator's change, until the change is known to be in
    /// the log. `None` if there is no such change.
    pub append_base: Option<Version>,
    /// Indices of runners that don't come back.
    lost_runners: Vec<usize>,
    /// Whether the faulty entry's version is checked.
    checks_entry_version: bool,
    /// Whether sidecars' versions are checked, because no sidecar crashes.
    checks_sidecar_versions: bool,
    /// Whether none of the faults may fail a call.
    is_benign: bool,
    /// Random source, seeded per run.
    random: StdRng,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Cells of the run.
    pub cells: Vec<Cell>,
    /// Whether every step was reached.
    pub reached: bool,
    /// Guarantees that were violated.
    violations: Vec<Violation>,
    /// Outcomes of new calls after the faults that aren't answers.
    unserved: Vec<Outcome>,
    /// Descriptions of the outcomes of the affected calls.
    pub outcomes: Vec<String>,
}

impl Report {
    /// Whether a guarantee was violated or a new call wasn't answered.
    pub fn is_red(&self) -> bool {
        !self.violations.is_empty() || !self.unserved.is_empty()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cells = self.cells.iter().map(Cell::to_string).collect::<Vec<_>>();
        write!(f, "{} ({}):", cells.join(" and "), self.outcomes.join(", "))?;
        for violation in &self.violations {
            write!(f, " {violation:?}")?;
        }
        for outcome in &self.unserved {
            write!(f, " afterwards {outcome:?}")?;
        }
        Ok(())
    }
}

impl Scenario {
    /// Runs cells, which must be sorted by step.
    pub async fn run(cells: &[Cell], seed: u64) -> Report {
        let needs_queue = cells.iter().any(|cell| cell.step == Step::PrefillQueued);
        let late = if needs_queue {
            Late::Serve
        } else {
            Late::Refuse
        };
        let mut scenario = Self::start(seed, late).await;
        if needs_queue {
            scenario.fill_prefill().await;
        }
        scenario.checks_entry_version = !cells.iter().any(|cell| {
            matches!(
                cell.fault,
                Fault::EntryDies | Fault::EntryPauses | Fault::EntryDrains
            )
        });
        scenario.checks_sidecar_versions = !cells
            .iter()
            .any(|cell| matches!(cell.fault, Fault::SidecarDies | Fault::HostListStale));
        scenario.is_benign = !cells.iter().any(|cell| cell.fault.is_disruptive());
        scenario.send_calls();
        let mut reached = true;
        for cell in cells {
            reached &= scenario.wait_for_step(cell.step).await;
            cell.fault.inject(&mut scenario, cell.step).await;
        }
        scenario.wait_until_quiet().await;
        let unserved = scenario.send_probes().await;
        Report {
            cells: cells.to_vec(),
            reached,
            outcomes: scenario.describe_outcomes(),
            violations: scenario.evaluate(),
            unserved,
        }
    }

    /// Starts a deployment and waits until it is ready.
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
            service.deadline_ms = SERVICE_DEADLINE.as_millis() as u32;
        }
        fleet.publish(Version::default(), services.clone());
        let ready = tokio::time::timeout(Duration::from_secs(10), fleet.wait_ready()).await;
        ready.expect("fleet not ready");
        net.delay(fleet.entries[0].address().ip(), ENTRY_MESSAGE_DELAY);
        Self {
            net,
            fleet,
            services,
            observer: Observer::new(observer::Settings::default(), ledger),
            callers: Vec::new(),
            other_callers: Vec::new(),
            parsed_at: None,
            recoveries: Vec::new(),
            drains: Vec::new(),
            log_up_at: Instant::now(),
            incarnations: 0,
            append_base: None,
            lost_runners: Vec::new(),
            checks_entry_version: true,
            checks_sidecar_versions: true,
            is_benign: true,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Address of the entry that faults affect.
    pub fn faulty_entry(&self) -> SocketAddr {
        self.fleet.plan.address(2, ENTRY_PORT)
    }

    /// Addresses of all sidecars.
    pub fn sidecar_addresses(&self) -> Vec<SocketAddr> {
        let all = 0..self.fleet.sidecars.len();
        all.map(|index| self.fleet.sidecar_address(index)).collect()
    }

    /// Counts a sidecar incarnation and returns its number.
    pub fn next_incarnation(&mut self) -> u64 {
        self.incarnations += 1;
        self.incarnations
    }

    /// Chooses the runner that a fault affects: the plain runner at the step
    /// `Claimed`, else the one that worked on the request last, or else a random
    /// model runner.
    pub fn target_runner(&mut self, step: Step) -> usize {
        if step == Step::Claimed {
            return MODEL_RUNNER_COUNT;
        }
        let events = self.fleet.ledger.events();
        let last = events
            .iter()
            .rfind(|event| event.tag == self.callers[0].name);
        let index = last.and_then(|event| {
            (0..MODEL_RUNNER_COUNT).find(|index| self.fleet.runner_address(*index) == event.engine)
        });
        index.unwrap_or_else(|| self.random.random_range(0..MODEL_RUNNER_COUNT))
    }

    /// Records that a runner doesn't come back.
    pub fn mark_lost(&mut self, index: usize) {
        self.lost_runners.push(index);
    }

    /// Whether both pools have a runner left.
    fn is_served(&self) -> bool {
        let has_runner = |mut pool: std::ops::Range<usize>| {
            pool.any(|index| !self.lost_runners.contains(&index))
        };
        has_runner(0..PREFILL_RUNNER_COUNT) && has_runner(PREFILL_RUNNER_COUNT..MODEL_RUNNER_COUNT)
    }

    /// Schedules the recovery from a fault.
    pub fn schedule(&mut self, after: Duration, recovery: Recovery) {
        let at = Instant::now() + after;
        if matches!(recovery, Recovery::Log) {
            self.log_up_at = self.log_up_at.max(at);
        }
        self.recoveries.push((at, recovery));
    }

    /// Makes the callers of the faulty entry hang up.
    pub fn hang_up(&self) {
        self.callers.iter().for_each(Caller::hang_up);
    }

    /// Sends a model request and the keyed call again through the other entry.
    pub fn resend(&mut self) {
        let entry = self.fleet.entries[1].address();
        let model = self.request_model(entry, "again", PROMPT_BYTES);
        self.observer
            .record_call("keyed-again", "keyed", Kind::AtMostOnce);
        let keyed = Caller::call_keyed(&self.net, entry, "keyed-again", "keyed");
        self.other_callers.extend([model, keyed]);
    }

    /// Tells the observer that the calls in flight must not be cut off, unless
    /// another fault may fail them.
    pub fn protect_callers(&mut self) {
        if !self.is_benign {
            return;
        }
        for caller in self.callers.iter().filter(|caller| !caller.is_finished()) {
            self.observer.protect(&caller.name);
        }
    }

    /// Runs a graceful shutdown in the background.
    pub fn spawn_drain(&mut self, drain: impl Future<Output = bool> + Send + 'static) {
        self.drains.push(tokio::spawn(drain));
    }

    /// Configuration version in force at the entry that no fault affects.
    pub fn current_version(&self) -> Version {
        self.fleet.entries[1]
            .shared()
            .configuration
            .borrow()
            .version
    }

    /// Publishes a change of all services.
    pub fn publish(&mut self) {
        for service in &mut self.services {
            service.client_concurrency += 1;
        }
        let version = self
            .fleet
            .publish(self.current_version(), self.services.clone());
        let at = Instant::now().max(self.log_up_at);
        self.observer.record_publication(at, version);
    }

    /// Records the operator's change as accepted once it is in the log, provided
    /// that the version in force is its base or the change itself.
    fn record_append(&mut self) {
        let Some(base) = self.append_base else { return };
        let records = self.fleet.log.records();
        let mut operator = records
            .iter()
            .filter(|record| record.data.contains(CHANGE_AUTHOR));
        let Some(record) = operator.next() else {
            return;
        };
        self.append_base = None;
        let version = Version(record.offset + 1);
        if [base, version].contains(&self.current_version()) {
            let at = Instant::now().max(self.log_up_at);
            self.observer.record_publication(at, version);
        }
    }

    /// Keeps the prefill endpoints busy.
    async fn fill_prefill(&mut self) {
        let entry = self.fleet.entries[1].address();
        for number in 0..FILLER_COUNT {
            let filler = self.request_model(entry, &format!("filler{number}"), FILLER_PROMPT_BYTES);
            self.other_callers.push(filler);
            // The sidecars must report before the next request is placed.
            tokio::time::sleep(FILLER_INTERVAL).await;
        }
    }

    /// Sends the calls that faults affect.
    fn send_calls(&mut self) {
        let entry = self.faulty_entry();
        let model = self.request_model(entry, "model", PROMPT_BYTES);
        self.observer
            .record_call("plain", "plain", Kind::AtMostOnce);
        let plain = Caller::call_plain(&self.net, entry, "plain");
        self.observer
            .record_call("keyed", "keyed", Kind::AtMostOnce);
        let keyed = Caller::call_keyed(&self.net, entry, "keyed", "keyed");
        self.callers = vec![model, plain, keyed];
    }

    /// Requests an answer from a model.
    fn request_model(&mut self, entry: SocketAddr, tag: &str, length: usize) -> Caller {
        let prompt = format!("{tag} {}", tag.repeat(length / tag.len()));
        let answer = expected_answer(&prompt, u64::from(ANSWER_TOKENS));
        self.observer.record_call(tag, tag, Kind::Model(answer));
        Caller::stream(&self.net, entry, tag, &prompt, ANSWER_TOKENS)
    }

    /// Waits for a step. Returns whether it was reached.
    async fn wait_for_step(&mut self, step: Step) -> bool {
        let limit = Instant::now() + COMPLETION_TIMEOUT;
        while !self.has_reached(step) {
            if Instant::now() > limit || (step < Step::Answered && self.callers[0].is_finished()) {
                return false;
            }
            tokio::time::sleep(STEP_POLL_INTERVAL).await;
            self.poll().await;
        }
        // These steps are inferred from message latencies, so the check is that
        // no engine has received the request yet.
        let before_engine = [Step::HoldAsked, Step::HoldGranted, Step::PrefillQueued];
        !(before_engine.contains(&step) && self.has_stage(Stage::Received))
    }

    /// Whether the request is at or past a step.
    fn has_reached(&mut self, step: Step) -> bool {
        let now = Instant::now();
        if self.parsed_at.is_none() && *self.fleet.entries[0].shared().in_flight.borrow() > 0 {
            self.parsed_at = Some(now);
        }
        let since = self
            .parsed_at
            .map(|parsed_at| now.duration_since(parsed_at));
        let after =
            |steps: f64| since.is_some_and(|since| since >= ENTRY_MESSAGE_DELAY.mul_f64(steps));
        match step {
            Step::Parsed => self.parsed_at.is_some(),
            Step::Claimed => {
                let records = self.fleet.log.records();
                records.iter().any(|record| record.data.contains("claims"))
            }
            Step::HoldAsked => after(0.5),
            Step::HoldGranted => after(1.5),
            Step::PrefillQueued => after(4.0),
            Step::PrefillRunning => self.has_stage(Stage::Prefill),
            Step::Prefilled => self.has_stage(Stage::Prefilled),
            Step::Transferring => self.has_stage(Stage::Import),
            Step::DecodingFirst => self.has_stage(Stage::Generate),
            Step::MidStream => self.callers[0].received().tokens >= MIDSTREAM_TOKENS,
            Step::LastToken => self.has_stage(Stage::Generated),
            Step::Answered => self.callers[0].is_finished(),
        }
    }

    /// Whether an engine has reached a stage with the request.
    fn has_stage(&self, stage: Stage) -> bool {
        let events = self.fleet.ledger.events();
        let mut own_events = events
            .iter()
            .filter(|event| event.tag == self.callers[0].name);
        own_events.any(|event| event.stage == stage)
    }

    /// Samples engine memory and versions, and runs the recoveries that are due.
    async fn poll(&mut self) {
        self.record_append();
        let now = Instant::now();
        let due = |(at, _): &mut (Instant, Recovery)| *at <= now;
        let due = self.recoveries.extract_if(.., due).collect::<Vec<_>>();
        for (_, recovery) in due {
            recovery.apply(self).await;
        }
        let held = self
            .fleet
            .engines
            .iter()
            .flat_map(|engine| engine.resident_ids());
        self.observer.record_memory(now, held.collect());
        for (index, entry) in self.fleet.entries.iter().enumerate() {
            if index > 0 || self.checks_entry_version {
                let version = entry.shared().configuration.borrow().version;
                self.observer
                    .record_version(now, &format!("entry-{index}"), version);
            }
        }
        let sidecars = self
            .fleet
            .sidecars
            .iter()
            .filter(|_| self.checks_sidecar_versions);
        for sidecar in sidecars {
            let version = sidecar.shared().configuration.borrow().version;
            self.observer.record_version(now, sidecar.name(), version);
        }
    }

    /// Waits until all calls, recoveries and shutdowns have finished, and then for
    /// [`OBSERVATION_TIME`].
    async fn wait_until_quiet(&mut self) {
        let limit = Instant::now() + COMPLETION_TIMEOUT;
        while Instant::now() < limit {
            let mut callers = self.callers.iter().chain(&self.other_callers);
            let all_finished = callers.all(Caller::is_finished) && self.recoveries.is_empty();
            if all_finished && self.drains.iter().all(JoinHandle::is_finished) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
            self.poll().await;
        }
        let limit = Instant::now() + OBSERVATION_TIME;
        while Instant::now() < limit {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.poll().await;
        }
    }

    /// Sends the keyed call again and a few new calls through the other entry.
    /// Returns the outcomes of the new calls that aren't answers.
    async fn send_probes(&mut self) -> Vec<Outcome> {
        let entry = self.fleet.entries[1].address();
        self.observer
            .record_call("keyed-later", "keyed", Kind::AtMostOnce);
        let later = Caller::call_keyed(&self.net, entry, "keyed-later", "keyed");
        self.other_callers.push(later);

        let fresh = if self.is_served() { PROBE_COUNT } else { 0 };
        let probes = (0..fresh)
            .map(|number| self.request_model(entry, &format!("probe{number}"), PROMPT_BYTES));
        let probes = probes.collect::<Vec<_>>();
        let limit = Instant::now() + COMPLETION_TIMEOUT;
        let all_finished =
            |other_callers: &[Caller]| other_callers.iter().chain(&probes).all(Caller::is_finished);
        while Instant::now() < limit && !all_finished(&self.other_callers) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let outcomes = probes
            .iter()
            .filter_map(|probe| probe.received().outcomes.first().cloned());
        let outcomes = outcomes.map(|(_, outcome)| outcome);
        let unserved = outcomes.filter(|outcome| !matches!(outcome, Outcome::Answered(_)));
        let unserved = unserved.collect();
        self.other_callers.extend(probes);
        unserved
    }

    /// Describes the outcomes of the affected calls.
    fn describe_outcomes(&self) -> Vec<String> {
        let describe = |caller: &Caller| match caller.received().outcomes.first() {
            None => format!("{} without an end", caller.name),
            Some((_, Outcome::Answered(_))) => format!("{} answered", caller.name),
            Some((_, Outcome::Refused { code, .. })) => format!("{} {code}", caller.name),
            Some((_, Outcome::Truncated)) => format!("{} cut", caller.name),
            Some((_, Outcome::HungUp)) => format!("{} gone", caller.name),
        };
        let later = self
            .other_callers
            .iter()
            .filter(|caller| caller.name.starts_with("keyed"));
        self.callers.iter().chain(later).map(describe).collect()
    }

    /// Passes the callers' outcomes to the observer and returns the violations.
    fn evaluate(mut self) -> Vec<Violation> {
        for caller in self.callers.iter().chain(&self.other_callers) {
            for (at, outcome) in caller.received().outcomes.iter().cloned() {
                self.observer.record_outcome(&caller.name, at, outcome);
            }
        }
        self.observer.violations()
    }
}
