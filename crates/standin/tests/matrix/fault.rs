//! Fault injection and recovery.

use std::time::Duration;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::Net;
use cranberryridge::platform::log::{Http, Log};
use cranberryridge::wire::record::{Change, Record};
use cranberryridge_standin::engine;
use cranberryridge_standin::fleet::LOG_PORT;
use cranberryridge_standin::log::Faults;

use crate::scene::{Scenario, CHANGE_AUTHOR, ENTRY_MESSAGE_DELAY};
use crate::table::Step;

/// Time that an entry is paused, longer than every timeout.
const ENTRY_PAUSE: Duration = Duration::from_secs(8);

/// Time until a stopped daemon or engine starts again.
const RESTART_DELAY: Duration = Duration::from_millis(600);

/// Time that a fault of the platform or of a connection lasts.
const FAULT_DURATION: Duration = Duration::from_secs(3);

/// Latency of the entry's messages while they are delayed.
const MESSAGE_DELAY: Duration = Duration::from_millis(400);

/// Latency of the log's answers while it is slow.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The entry crashes.
    EntryDies,
    /// The entry pauses for longer than every timeout, and its callers hang up.
    EntryPauses,
    /// A sidecar crashes, and another one takes its place.
    SidecarDies,
    /// An engine crashes and starts again.
    EngineCrashes,
    /// The caller hangs up.
    CallerHangsUp,
    /// The caller sends the same request again through another entry.
    CallerSendsAgain,
    /// The entry's connections to all sidecars stop delivering data.
    ConnectionSilent,
    /// The entry's connections break, and messages in flight are lost.
    MessageLost,
    /// The entry's messages are delayed.
    MessageDelayed,
    /// A message is delivered twice.
    MessageDoubled,
    /// Two messages are reordered.
    MessageCrossed,
    /// Transfers make no progress.
    TransferStalls,
    /// The log is down.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// The answer to an operator's append is lost.
    AppendAnswerLost,
    /// The host list still contains a sidecar that doesn't come back.
    HostListStale,
    /// A clock is wrong.
    ClockSkewed,
    /// A configuration is published.
    ConfigurationPublished,
    /// The entry shuts down gracefully.
    EntryDrains,
    /// A sidecar shuts down gracefully.
    SidecarDrains,
}

/// What to do to end a fault.
#[derive(Clone, Copy, Debug)]
pub enum Recovery {
    /// Let the paused entry continue.
    Entry,
    /// Start the sidecar of a runner again.
    Sidecar(usize),
    /// Start an engine again.
    Engine(usize),
    /// Reset the latency of the entry's messages.
    Messages,
    /// Let transfers continue.
    Transfers,
    /// Clear the faults of the log.
    Log,
}

impl Fault {
    /// All faults, in the order of the matrix.
    pub const ALL: &[Self] = &[
        Self::EntryDies,
        Self::EntryPauses,
        Self::SidecarDies,
        Self::EngineCrashes,
        Self::CallerHangsUp,
        Self::CallerSendsAgain,
        Self::ConnectionSilent,
        Self::MessageLost,
        Self::MessageDelayed,
        Self::MessageDoubled,
        Self::MessageCrossed,
        Self::TransferStalls,
        Self::LogDown,
        Self::LogSlow,
        Self::AppendAnswerLost,
        Self::HostListStale,
        Self::ClockSkewed,
        Self::ConfigurationPublished,
        Self::EntryDrains,
        Self::SidecarDrains,
    ];

    /// Whether this fault alone may leave a request in flight without its answer.
    pub fn is_disruptive(self) -> bool {
        !matches!(
            self,
            Self::CallerSendsAgain
                | Self::LogDown
                | Self::LogSlow
                | Self::AppendAnswerLost
                | Self::ConfigurationPublished
                | Self::EntryDrains
                | Self::SidecarDrains
        )
    }

    /// Injects the fault.
    pub async fn inject(self, scenario: &mut Scenario, step: Step) {
        let target = scenario.target_runner(step);
        match self {
            Self::EntryDies => scenario.net.kill(scenario.faulty_entry().ip()),
            Self::EntryPauses => {
                scenario.net.freeze(scenario.faulty_entry().ip());
                scenario.schedule(ENTRY_PAUSE, Recovery::Entry);
                scenario.hang_up();
            }
            Self::SidecarDies => {
                scenario
                    .net
                    .kill(scenario.fleet.sidecar_address(target).ip());
                scenario.schedule(RESTART_DELAY, Recovery::Sidecar(target));
            }
            Self::EngineCrashes => {
                scenario.fleet.servers[2 + target].kill();
                if let Some(engine) = scenario.fleet.engines.get(target) {
                    engine.crash();
                    scenario.schedule(RESTART_DELAY, Recovery::Engine(target));
                }
            }
            Self::CallerHangsUp => scenario.hang_up(),
            Self::CallerSendsAgain => scenario.resend(),
            Self::ConnectionSilent => {
                for address in scenario.sidecar_addresses() {
                    scenario
                        .net
                        .silence(scenario.faulty_entry().ip(), address.ip());
                }
            }
            Self::MessageLost => {
                for address in scenario.sidecar_addresses() {
                    scenario
                        .net
                        .reset(scenario.faulty_entry().ip(), address.ip());
                }
            }
            Self::MessageDelayed => {
                scenario
                    .net
                    .delay(scenario.faulty_entry().ip(), MESSAGE_DELAY);
                scenario.schedule(FAULT_DURATION, Recovery::Messages);
            }
            Self::TransferStalls => {
                scenario.set_stall(true);
                scenario.schedule(FAULT_DURATION, Recovery::Transfers);
            }
            Self::LogDown => scenario.set_log_faults(
                Faults {
                    down: true,
                    ..Faults::default()
                },
                FAULT_DURATION,
            ),
            Self::LogSlow => scenario.set_log_faults(
                Faults {
                    delay: LOG_DELAY,
                    ..Faults::default()
                },
                FAULT_DURATION,
            ),
            Self::AppendAnswerLost => {
                let faults = Faults {
                    lose_answers: true,
                    ..Faults::default()
                };
                scenario.set_log_faults(faults, FAULT_DURATION);
                append_change(scenario);
            }
            Self::HostListStale => {
                scenario
                    .net
                    .kill(scenario.fleet.sidecar_address(target).ip());
                scenario.mark_lost(target);
            }
            Self::ConfigurationPublished => scenario.publish(),
            Self::EntryDrains => {
                scenario.protect_callers();
                let entry = scenario.fleet.entries[0].clone();
                scenario.spawn_drain(async move { entry.drain().await });
            }
            Self::SidecarDrains => {
                scenario.protect_callers();
                let engine = scenario.fleet.runner_address(target);
                scenario
                    .observer
                    .record_drain(tokio::time::Instant::now(), engine);
                scenario.mark_lost(target);
                let sidecar = scenario.fleet.sidecars[target].clone();
                scenario.spawn_drain(async move { sidecar.drain().await });
            }
            Self::MessageDoubled | Self::MessageCrossed | Self::ClockSkewed => {}
        }
    }
}

impl Recovery {
    /// Ends the fault.
    pub async fn apply(self, scenario: &mut Scenario) {
        match self {
            Self::Entry => scenario.net.thaw(scenario.faulty_entry().ip()),
            Self::Sidecar(index) => {
                let net = scenario.net.clone();
                let incarnation = scenario.next_incarnation();
                let engine = scenario.fleet.runner_address(index);
                scenario.observer.record_return(engine);
                let started = scenario
                    .fleet
                    .restart_sidecar(&net, &Tokio, index, incarnation)
                    .await;
                started.expect("the sidecar's address is in use");
            }
            Self::Engine(index) => {
                let address = scenario.fleet.runner_address(index);
                let engine = scenario.fleet.engines[index].clone();
                engine.restart();
                let server = engine.serve(address).await;
                scenario.fleet.servers[2 + index] = server.expect("the engine's address is in use");
            }
            Self::Messages => scenario
                .net
                .delay(scenario.faulty_entry().ip(), ENTRY_MESSAGE_DELAY),
            Self::Transfers => scenario.set_stall(false),
            Self::Log => scenario.fleet.log.set_faults(Faults::default()),
        }
    }
}

impl Scenario {
    /// Makes transfers of all engines stall or continue.
    fn set_stall(&self, stall: bool) {
        for engine in &self.fleet.engines {
            engine.set_faults(engine::Faults { stall });
        }
    }

    /// Sets faults of the log for a limited time.
    fn set_log_faults(&mut self, faults: Faults, duration: Duration) {
        self.fleet.log.set_faults(faults);
        self.schedule(duration, Recovery::Log);
    }
}

/// Appends an operator's change whose answer is lost. The change counts as
/// accepted once it is in the log.
fn append_change(scenario: &mut Scenario) {
    let base = scenario.current_version();
    let change = Record::Change(Change {
        id: base.0,
        base,
        author: CHANGE_AUTHOR.into(),
        snapshot: false,
        services: scenario.services.clone(),
        removed: Vec::new(),
    });
    let operator = scenario.net.for_host("127.0.1.250".parse().unwrap());
    let log = Http::new(Client::new(
        operator,
        scenario.fleet.plan.address(1, LOG_PORT),
    ));
    let record = serde_json::to_vec(&change).unwrap();
    tokio::spawn(async move { log.append(record).await });
    scenario.append_base = Some(base);
}
