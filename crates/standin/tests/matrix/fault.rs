//! The faults, and how each is brought about.

use std::time::Duration;

use cranberryridge::client::Client;
use cranberryridge::clock::Tokio;
use cranberryridge::net::Net;
use cranberryridge::platform::log::{Http, Log};
use cranberryridge::wire::record::{Change, Record};
use cranberryridge_standin::engine;
use cranberryridge_standin::fleet::LOG_PORT;
use cranberryridge_standin::log::Faults;

use crate::scene::{Scene, DELAY, OPERATOR};
use crate::table::Step;

/// How long an entry is paused: past every timeout.
const PAUSE: Duration = Duration::from_secs(8);

/// How long until a daemon or an engine is there again.
const RESTART: Duration = Duration::from_millis(600);

/// How long a fault of the platform or of a link lasts.
const SPELL: Duration = Duration::from_secs(3);

/// Time that each message takes while messages are delayed.
const LATE: Duration = Duration::from_millis(400);

/// Time that each of the log's answers takes while it is slow.
const SLOW: Duration = Duration::from_millis(500);

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The entry dies.
    EntryDies,
    /// The entry pauses past every timeout, and its callers hang up.
    EntryPauses,
    /// A sidecar dies, and another takes its place.
    SidecarDies,
    /// An engine crashes and starts again.
    EngineCrashes,
    /// The caller hangs up.
    CallerHangsUp,
    /// The caller sends the same again through another entry.
    CallerSendsAgain,
    /// The entry's connections to all sidecars go silent.
    ConnectionSilent,
    /// The entry's connections break, and what was under way is lost.
    MessageLost,
    /// The entry's messages come late.
    MessageDelayed,
    /// A message comes twice.
    MessageDoubled,
    /// Two messages change places.
    MessageCrossed,
    /// Transfers make no progress.
    TransferStalls,
    /// The log is down.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// The answer to an operator's append is lost.
    AppendAnswerLost,
    /// The host list goes on naming a sidecar that is gone for good.
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

/// What ends a fault.
#[derive(Clone, Copy, Debug)]
pub enum Restore {
    /// Thaw the entry.
    Thaw,
    /// Start a runner's sidecar again.
    Sidecar(usize),
    /// Start an engine again.
    Engine(usize),
    /// Messages take their usual time.
    Prompt,
    /// Transfers go on.
    Flow,
    /// The log works.
    Log,
}

impl Fault {
    /// Every fault.
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

    /// Whether a request under way may end without its answer through this
    /// fault alone.
    pub fn harms(self) -> bool {
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

    /// Brings the fault about.
    pub async fn strike(self, scene: &mut Scene, step: Step) {
        let victim = scene.victim(step);
        match self {
            Self::EntryDies => scene.net.kill(scene.entry().ip()),
            Self::EntryPauses => {
                scene.net.freeze(scene.entry().ip());
                scene.later(PAUSE, Restore::Thaw);
                scene.hang_up();
            }
            Self::SidecarDies => {
                scene.net.kill(scene.fleet.sidecar_address(victim).ip());
                scene.later(RESTART, Restore::Sidecar(victim));
            }
            Self::EngineCrashes => {
                scene.fleet.servers[2 + victim].kill();
                if let Some(engine) = scene.fleet.engines.get(victim) {
                    engine.crash();
                    scene.later(RESTART, Restore::Engine(victim));
                }
            }
            Self::CallerHangsUp => scene.hang_up(),
            Self::CallerSendsAgain => scene.send_again(),
            Self::ConnectionSilent => {
                for address in scene.sidecars() {
                    scene.net.silence(scene.entry().ip(), address.ip());
                }
            }
            Self::MessageLost => {
                for address in scene.sidecars() {
                    scene.net.cut(scene.entry().ip(), address.ip());
                }
            }
            Self::MessageDelayed => {
                scene.net.delay(scene.entry().ip(), LATE);
                scene.later(SPELL, Restore::Prompt);
            }
            Self::TransferStalls => {
                scene.stall(true);
                scene.later(SPELL, Restore::Flow);
            }
            Self::LogDown => scene.log(
                Faults {
                    down: true,
                    ..Faults::default()
                },
                SPELL,
            ),
            Self::LogSlow => scene.log(
                Faults {
                    delay: SLOW,
                    ..Faults::default()
                },
                SPELL,
            ),
            Self::AppendAnswerLost => {
                let faults = Faults {
                    lose_answers: true,
                    ..Faults::default()
                };
                scene.log(faults, SPELL);
                append(scene);
            }
            Self::HostListStale => {
                scene.net.kill(scene.fleet.sidecar_address(victim).ip());
                scene.lose(victim);
            }
            Self::ConfigurationPublished => scene.publish(),
            Self::EntryDrains => {
                scene.shelter();
                let entry = scene.fleet.entries[0].clone();
                scene.drain(async move { entry.drain().await });
            }
            Self::SidecarDrains => {
                scene.shelter();
                let engine = scene.fleet.runner_address(victim);
                scene
                    .observer
                    .record_drain(tokio::time::Instant::now(), engine);
                scene.lose(victim);
                let sidecar = scene.fleet.sidecars[victim].clone();
                scene.drain(async move { sidecar.drain().await });
            }
            Self::MessageDoubled | Self::MessageCrossed | Self::ClockSkewed => {}
        }
    }
}

impl Restore {
    /// Ends the fault.
    pub async fn end(self, scene: &mut Scene) {
        match self {
            Self::Thaw => scene.net.thaw(scene.entry().ip()),
            Self::Sidecar(index) => {
                let net = scene.net.clone();
                let life = scene.life();
                let engine = scene.fleet.runner_address(index);
                scene.observer.record_return(engine);
                let started = scene.fleet.restart_sidecar(&net, &Tokio, index, life).await;
                started.expect("sidecar's address taken");
            }
            Self::Engine(index) => {
                let address = scene.fleet.runner_address(index);
                let engine = scene.fleet.engines[index].clone();
                engine.restart();
                let server = engine.serve(address).await;
                scene.fleet.servers[2 + index] = server.expect("engine's address taken");
            }
            Self::Prompt => scene.net.delay(scene.entry().ip(), DELAY),
            Self::Flow => scene.stall(false),
            Self::Log => scene.fleet.log.set_faults(Faults::default()),
        }
    }
}

impl Scene {
    /// Makes transfers stall, or go on.
    fn stall(&self, stall: bool) {
        for engine in &self.fleet.engines {
            engine.set_faults(engine::Faults { stall });
        }
    }

    /// Gives the log faults for a while.
    fn log(&mut self, faults: Faults, spell: Duration) {
        self.fleet.log.set_faults(faults);
        self.later(spell, Restore::Log);
    }
}

/// Appends an operator's change whose answer is lost. That it is in the log is
/// what counts, so it is accepted.
fn append(scene: &mut Scene) {
    let base = scene.version();
    let change = Record::Change(Change {
        id: base.0,
        base,
        author: OPERATOR.into(),
        snapshot: false,
        services: scene.services.clone(),
        removed: Vec::new(),
    });
    let operator = scene.net.at("127.0.1.250".parse().unwrap());
    let log = Http::new(Client::new(operator, scene.fleet.plan.address(1, LOG_PORT)));
    let record = serde_json::to_vec(&change).unwrap();
    tokio::spawn(async move { log.append(record).await });
    scene.appending = Some(base);
}
