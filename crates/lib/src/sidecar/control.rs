//! The sidecar's control task: gates, load and drain state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};

use cranberryridge_policy::gate::{Demand, Gate, Key, Settings, Verdict};
use cranberryridge_policy::publish::Configuration;
use cranberryridge_policy::suspect;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::{Digest, Incarnation};
use cranberryridge_wire::message::{Load, Report, Suspect};
use cranberryridge_wire::setting::{self, Kind};
use cranberryridge_wire::Map;

use crate::clock::Clock;

/// Time between looks at a queue that is not empty.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends commands to the control task. Clones reach the same one.
#[derive(Clone, Debug)]
pub struct Handle {
    /// Commands.
    commands: mpsc::UnboundedSender<Command>,
    /// The latest report.
    reports: watch::Receiver<Arc<Report>>,
}

/// What the control task is asked.
#[derive(Debug)]
enum Command {
    /// Admission to an endpoint.
    Request(usize, Demand, Digest, mpsc::UnboundedSender<Answer>),
    /// Work is about to begin in its place.
    Start(usize, Key, oneshot::Sender<()>),
    /// A place is free again.
    Release(usize, Key),
    /// An endpoint is up or down.
    SetReady(usize, bool),
    /// A request ran when an endpoint crashed.
    RecordCrash(Digest),
    /// A request ran to its end.
    RecordSuccess(Digest),
    /// A peer knows of a request that crashes endpoints.
    MergeSuspect(Suspect),
    /// No new work from here on.
    Drain,
}

/// What becomes of an ask.
#[derive(Debug)]
pub enum Answer {
    /// The place is there.
    Granted(Permit),
    /// The work waits for about this long.
    Queued(Duration),
    /// The work did not and will not run.
    Refused(Code),
}

/// A place at an endpoint. Dropping it frees the place.
#[derive(Debug)]
pub struct Permit {
    /// The endpoint.
    endpoint: usize,
    /// The place.
    key: Key,
    /// The control task.
    commands: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Waits until the place is free in truth, for one that was granted on the
    /// prediction that it would be.
    pub async fn start(&self) {
        let (sender, started) = oneshot::channel();
        let command = Command::Start(self.endpoint, self.key, sender);
        // Without a control task there is no gate left to wait at.
        let _ = self.commands.send(command);
        let _ = started.await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Without a control task there is no gate left to tell.
        let _ = self
            .commands
            .send(Command::Release(self.endpoint, self.key));
    }
}

/// An ask that is under way. Dropping it gives up the place or the wait.
#[derive(Debug)]
pub struct Pending {
    /// Answers of the control task.
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Pending {
    /// The next answer. Safe to cancel.
    pub async fn next(&mut self) -> Answer {
        let answer = self.answers.recv().await;
        answer.unwrap_or(Answer::Refused(Code::Draining))
    }
}

impl Handle {
    /// Asks for a place at an endpoint.
    pub fn request(&self, endpoint: usize, demand: Demand, digest: Digest) -> Pending {
        let (sender, answers) = mpsc::unbounded_channel();
        self.send(Command::Request(endpoint, demand, digest, sender));
        Pending { answers }
    }

    /// Notes that an endpoint is up or down.
    pub fn set_ready(&self, endpoint: usize, ready: bool) {
        self.send(Command::SetReady(endpoint, ready));
    }

    /// Notes a request that ran when an endpoint crashed.
    pub fn record_crash(&self, digest: Digest) {
        self.send(Command::RecordCrash(digest));
    }

    /// Notes a request that ran to its end.
    pub fn record_success(&self, digest: Digest) {
        self.send(Command::RecordSuccess(digest));
    }

    /// Takes what a peer knows of crashing requests.
    pub fn merge_suspect(&self, suspect: Suspect) {
        self.send(Command::MergeSuspect(suspect));
    }

    /// Takes no new work from here on.
    pub fn drain(&self) {
        self.send(Command::Drain);
    }

    /// Reports as they come.
    pub fn reports(&self) -> watch::Receiver<Arc<Report>> {
        self.reports.clone()
    }

    /// Waits until nothing runs and nothing waits while draining.
    pub async fn wait_idle(&self) {
        let mut reports = self.reports.clone();
        let idle = |report: &Arc<Report>| {
            report.draining
                && report
                    .loads
                    .iter()
                    .all(|load| load.running + load.queued == 0)
        };
        // The control task outlives its handles, so a report always comes.
        let _ = reports.wait_for(idle).await;
    }

    /// Waits until it has been draining for a while.
    pub async fn wait_draining(&self, duration: Duration) {
        let mut reports = self.reports.clone();
        // The control task outlives its handles, so a report always comes.
        let _ = reports.wait_for(|report| report.draining).await;
        tokio::time::sleep(duration).await;
    }

    /// Sends a command.
    fn send(&self, command: Command) {
        // The control task ends with the runtime only.
        let _ = self.commands.send(command);
    }
}

/// Starts the control task.
pub fn start<C: Clock>(
    clock: C,
    settings: &setting::Sidecar,
    incarnation: Incarnation,
    configuration: watch::Receiver<Arc<Configuration>>,
) -> Handle {
    let (commands, receiver) = mpsc::unbounded_channel();
    let (sender, reports) = watch::channel(Arc::new(Report {
        sequence: 0,
        version: Default::default(),
        draining: false,
        loads: Vec::new(),
        suspects: Vec::new(),
    }));
    let gates = settings
        .endpoints
        .iter()
        .map(|endpoint| Gate::new(gate_settings(endpoint, &settings.admission)));
    let state = State {
        clock,
        gates: gates.collect(),
        ready: vec![false; settings.endpoints.len()],
        queued: Map::default(),
        starting: Map::default(),
        suspects: suspect::Table::default(),
        incarnation,
        draining: false,
        sequence: 0,
        commands: commands.downgrade(),
        reports: sender,
        configuration,
    };
    let interval = Duration::from_millis(u64::from(settings.report_ms));
    tokio::spawn(state.run(receiver, interval));
    Handle { commands, reports }
}

/// The gate's settings for an endpoint.
fn gate_settings(endpoint: &setting::Endpoint, admission: &setting::Admission) -> Settings {
    let common = Settings {
        order_by_slack: admission.slack,
        refuse_early: admission.early,
        ..Settings::default()
    };
    match endpoint.kind {
        Kind::Prefill => Settings {
            slots: endpoint.slots,
            rate: endpoint.rate,
            ..common
        },
        Kind::Decode => Settings {
            slots: endpoint.slots,
            pages: endpoint.pages,
            ..common
        },
        Kind::Plain => Settings {
            slots: endpoint.slots,
            ..common
        },
    }
}

/// State of the control task.
struct State<C> {
    /// The clock.
    clock: C,
    /// A gate for each endpoint.
    gates: Vec<Gate>,
    /// Whether each endpoint is up.
    ready: Vec<bool>,
    /// Who waits for an answer, by endpoint and place.
    queued: Map<(usize, Key), mpsc::UnboundedSender<Answer>>,
    /// Who waits to begin, by endpoint and place.
    starting: Map<(usize, Key), oneshot::Sender<()>>,
    /// Requests that crash endpoints.
    suspects: suspect::Table,
    /// This sidecar's incarnation.
    incarnation: Incarnation,
    /// Whether no new work is taken.
    draining: bool,
    /// Number of the next report.
    sequence: u64,
    /// For permits to come back to.
    commands: mpsc::WeakUnboundedSender<Command>,
    /// Reports.
    reports: watch::Sender<Arc<Report>>,
    /// The configuration in force.
    configuration: watch::Receiver<Arc<Configuration>>,
}

impl<C: Clock> State<C> {
    /// Runs until the last handle is gone.
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>, interval: Duration) {
        let mut report_interval = tokio::time::interval(interval);
        loop {
            let has_queue = !self.queued.is_empty();
            tokio::select! {
                biased;
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    self.handle(command);
                }
                _ = report_interval.tick() => self.publish_report(),
                () = tokio::time::sleep(QUEUE_POLL_INTERVAL), if has_queue => self.advance(),
            }
        }
    }

    /// Takes a command.
    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Request(endpoint, demand, digest, sender) => {
                self.request(now, endpoint, demand, digest, sender);
            }
            Command::Start(endpoint, key, sender) => {
                if self.gates[endpoint].start(now, key) {
                    // Work that is given up needs no answer.
                    let _ = sender.send(());
                } else {
                    self.starting.insert((endpoint, key), sender);
                }
            }
            Command::Release(endpoint, key) => {
                self.starting.remove(&(endpoint, key));
                self.gates[endpoint].release(now, key);
                self.advance();
                if self.draining {
                    self.publish_report();
                }
            }
            Command::SetReady(endpoint, ready) => {
                self.ready[endpoint] = ready;
                self.publish_report();
            }
            Command::RecordCrash(digest) => {
                self.suspects.record_crash(now, self.incarnation, digest)
            }
            Command::RecordSuccess(digest) => self.suspects.record_success(now, digest),
            Command::MergeSuspect(suspect) => {
                self.suspects.merge_peer(now, &suspect);
            }
            Command::Drain => {
                self.draining = true;
                self.refuse_queued(now);
                self.publish_report();
            }
        }
    }

    /// Takes an ask.
    fn request(
        &mut self,
        now: Instant,
        endpoint: usize,
        demand: Demand,
        digest: Digest,
        sender: mpsc::UnboundedSender<Answer>,
    ) {
        if let Some(code) = self.refusal_code(now, endpoint, digest) {
            // The asker may be gone, then nobody needs the answer.
            let _ = sender.send(Answer::Refused(code));
            return;
        }
        let (key, verdict) = self.gates[endpoint].request(now, demand);
        if let Verdict::Queued(wait) = verdict {
            let _ = sender.send(Answer::Queued(wait));
            self.queued.insert((endpoint, key), sender);
            return;
        }
        self.send_verdict(endpoint, key, verdict, &sender);
    }

    /// Why an ask is refused whatever the load.
    fn refusal_code(&self, now: Instant, endpoint: usize, digest: Digest) -> Option<Code> {
        if self.draining {
            return Some(Code::Draining);
        }
        if !self.ready[endpoint] {
            return Some(Code::NoEndpoint);
        }
        self.suspects.is_barred(now, digest).then_some(Code::Barred)
    }

    /// Sends a verdict. A permit that nobody takes drops, and so frees its
    /// place.
    fn send_verdict(
        &self,
        endpoint: usize,
        key: Key,
        verdict: Verdict,
        sender: &mpsc::UnboundedSender<Answer>,
    ) {
        let answer = match verdict {
            Verdict::Granted => {
                let Some(commands) = self.commands.upgrade() else {
                    return;
                };
                Answer::Granted(Permit {
                    endpoint,
                    key,
                    commands,
                })
            }
            Verdict::Queued(wait) => Answer::Queued(wait),
            Verdict::Refused(code) => Answer::Refused(code),
            // What begins has its permit already.
            Verdict::Started => return,
        };
        let _ = sender.send(answer);
    }

    /// Admits what now fits, and frees the wait of askers that are gone.
    fn advance(&mut self) {
        let now = self.clock.now();
        let abandoned = self.queued.iter().filter(|(_, sender)| sender.is_closed());
        let abandoned = abandoned.map(|(place, _)| *place).collect::<Vec<_>>();
        for (endpoint, key) in abandoned {
            self.queued.remove(&(endpoint, key));
            self.gates[endpoint].release(now, key);
        }
        for endpoint in 0..self.gates.len() {
            for (key, verdict) in self.gates[endpoint].advance(now) {
                if let Some(sender) = self.starting.remove(&(endpoint, key)) {
                    let _ = sender.send(());
                }
                if let Some(sender) = self.queued.remove(&(endpoint, key)) {
                    self.send_verdict(endpoint, key, verdict, &sender);
                }
            }
        }
    }

    /// Refuses what waits, so that it runs elsewhere: an endpoint that leaves
    /// begins nothing new.
    fn refuse_queued(&mut self, now: Instant) {
        for ((endpoint, key), sender) in std::mem::take(&mut self.queued) {
            self.gates[endpoint].release(now, key);
            // The asker may be gone, then nobody needs the answer.
            let _ = sender.send(Answer::Refused(Code::Draining));
        }
    }

    /// Publishes a report.
    fn publish_report(&mut self) {
        self.sequence += 1;
        let now = self.clock.now();
        let loads = self.gates.iter().zip(&self.ready).enumerate();
        let loads = loads.map(|(index, (gate, ready))| {
            let load = gate.load();
            Load {
                endpoint: index as u16,
                ready: *ready && !self.draining,
                running: load.running,
                queued: load.queued,
                free: load.free,
                backlog: u32::try_from(load.backlog).unwrap_or(u32::MAX),
                wait: load.wait.into(),
            }
        });
        self.reports.send_replace(Arc::new(Report {
            sequence: self.sequence,
            version: self.configuration.borrow().version,
            draining: self.draining,
            loads: loads.collect(),
            suspects: self.suspects.recent_changes(now),
        }));
    }
}
