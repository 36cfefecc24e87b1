//! The sidecar's control task, which owns the admission gates, the load reports and the
//! drain state.

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

/// Polling interval of the gates while requests are queued.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Sends commands to the control task. Clones refer to the same task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::UnboundedSender<Command>,
    /// The latest report.
    reports: watch::Receiver<Arc<Report>>,
}

/// A command to the control task. Endpoints are given by their index.
#[derive(Debug)]
enum Command {
    /// Requests admission to an endpoint.
    Request(usize, Demand, Digest, mpsc::UnboundedSender<Answer>),
    /// Starts admitted work, with an answer once its slot is actually free.
    Start(usize, Key, oneshot::Sender<()>),
    /// Releases a slot.
    Release(usize, Key),
    /// Sets whether an endpoint is up.
    SetReady(usize, bool),
    /// Records a request that was running when an endpoint crashed.
    RecordCrash(Digest),
    /// Records a request that ran to its end.
    RecordSuccess(Digest),
    /// Merges a peer's crash counts of a request.
    MergeSuspect(Suspect),
    /// Refuses new and queued work from here on.
    Drain,
}

/// Answer to a request for admission.
#[derive(Debug)]
pub enum Answer {
    /// The work is admitted.
    Granted(Permit),
    /// The work is queued, with its predicted wait.
    Queued(Duration),
    /// The work did not run and will not run.
    Refused(Code),
}

/// A slot at an endpoint. Dropping it releases the slot.
#[derive(Debug)]
pub struct Permit {
    endpoint: usize,
    key: Key,
    commands: mpsc::UnboundedSender<Command>,
}

impl Permit {
    /// Waits until the slot is actually free. A slot may be granted in advance, on the
    /// prediction that it will be free when the work starts.
    pub async fn start(&self) {
        let (sender, started) = oneshot::channel();
        let command = Command::Start(self.endpoint, self.key, sender);
        // Sending fails only if the control task has ended, and then no gate limits work.
        let _ = self.commands.send(command);
        let _ = started.await;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        // Sending fails only if the control task has ended, and its gates with it.
        let _ = self
            .commands
            .send(Command::Release(self.endpoint, self.key));
    }
}

/// A pending request for admission. Dropping it gives up the slot or the place in the
/// queue.
#[derive(Debug)]
pub struct Pending {
    answers: mpsc::UnboundedReceiver<Answer>,
}

impl Pending {
    /// Waits for the next answer. Cancellation safe.
    pub async fn next(&mut self) -> Answer {
        let answer = self.answers.recv().await;
        answer.unwrap_or(Answer::Refused(Code::Draining))
    }
}

impl Handle {
    /// Requests a slot at an endpoint. `digest` identifies requests that crash endpoints.
    pub fn request(&self, endpoint: usize, demand: Demand, digest: Digest) -> Pending {
        let (sender, answers) = mpsc::unbounded_channel();
        self.send(Command::Request(endpoint, demand, digest, sender));
        Pending { answers }
    }

    /// Sets whether an endpoint is up; a down endpoint refuses all requests.
    pub fn set_ready(&self, endpoint: usize, ready: bool) {
        self.send(Command::SetReady(endpoint, ready));
    }

    /// Records a request that was running when an endpoint crashed.
    pub fn record_crash(&self, digest: Digest) {
        self.send(Command::RecordCrash(digest));
    }

    /// Records a request that ran to its end and so did not cause the earlier crashes.
    pub fn record_success(&self, digest: Digest) {
        self.send(Command::RecordSuccess(digest));
    }

    /// Merges crash counts that an entry passes on from another sidecar.
    pub fn merge_suspect(&self, suspect: Suspect) {
        self.send(Command::MergeSuspect(suspect));
    }

    /// Refuses new and queued work from here on.
    pub fn drain(&self) {
        self.send(Command::Drain);
    }

    /// Subscribes to the load reports.
    pub fn reports(&self) -> watch::Receiver<Arc<Report>> {
        self.reports.clone()
    }

    /// Waits until the sidecar is draining and no work is running or queued.
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

    /// Waits until the sidecar has been draining for `duration`.
    pub async fn wait_draining(&self, duration: Duration) {
        let mut reports = self.reports.clone();
        // The control task outlives its handles, so a report always comes.
        let _ = reports.wait_for(|report| report.draining).await;
        tokio::time::sleep(duration).await;
    }

    fn send(&self, command: Command) {
        // The control task ends only with the runtime.
        let _ = self.commands.send(command);
    }
}

/// Starts the control task. All endpoints are down until [`Handle::set_ready`].
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

/// Settings of an endpoint's gate. Only the capacities that limit its kind are set.
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

struct State<C> {
    clock: C,
    /// Gates by endpoint index.
    gates: Vec<Gate>,
    /// Whether each endpoint is up.
    ready: Vec<bool>,
    /// Answer channels of queued work, by endpoint and key at its gate.
    queued: Map<(usize, Key), mpsc::UnboundedSender<Answer>>,
    /// Answer channels of admitted work that waits until its slot is actually free.
    starting: Map<(usize, Key), oneshot::Sender<()>>,
    /// Crash counts of requests.
    suspects: suspect::Table,
    /// Incarnation of this sidecar, the origin of its crash counts.
    incarnation: Incarnation,
    /// Whether new work is refused.
    draining: bool,
    /// Number of the last report.
    sequence: u64,
    /// Channel that permits use to release their slots. It is weak, so that the task ends
    /// with the last handle and permit.
    commands: mpsc::WeakUnboundedSender<Command>,
    reports: watch::Sender<Arc<Report>>,
    /// The configuration in force; reports carry its version.
    configuration: watch::Receiver<Arc<Configuration>>,
}

impl<C: Clock> State<C> {
    /// Runs until the last handle and the last permit are dropped.
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

    fn handle(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Request(endpoint, demand, digest, sender) => {
                self.request(now, endpoint, demand, digest, sender);
            }
            Command::Start(endpoint, key, sender) => {
                if self.gates[endpoint].start(now, key) {
                    // The receiver is gone if the work was given up.
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
            Command::RecordSuccess(digest) => {
                self.suspects.record_success(now, digest);
            }
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

    /// Requests admission and sends the answer.
    fn request(
        &mut self,
        now: Instant,
        endpoint: usize,
        demand: Demand,
        digest: Digest,
        sender: mpsc::UnboundedSender<Answer>,
    ) {
        if let Some(code) = self.refusal_code(now, endpoint, digest) {
            // The receiver is gone if the request was given up.
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

    /// Code of a refusal that does not depend on the load.
    fn refusal_code(&self, now: Instant, endpoint: usize, digest: Digest) -> Option<Code> {
        if self.draining {
            return Some(Code::Draining);
        }
        if !self.ready[endpoint] {
            return Some(Code::NoEndpoint);
        }
        self.suspects.is_barred(now, digest).then_some(Code::Barred)
    }

    /// Sends a verdict. If the receiver is gone, the permit drops and so releases its slot.
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
            // Work that starts already has its permit.
            Verdict::Started => return,
        };
        let _ = sender.send(answer);
    }

    /// Removes queued work whose receiver is gone, then admits work that now fits.
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

    /// Refuses queued work while draining, so that it runs at another endpoint.
    fn refuse_queued(&mut self, now: Instant) {
        for ((endpoint, key), sender) in std::mem::take(&mut self.queued) {
            self.gates[endpoint].release(now, key);
            // The receiver is gone if the request was given up.
            let _ = sender.send(Answer::Refused(Code::Draining));
        }
    }

    /// Publishes a report on the load of all endpoints.
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
