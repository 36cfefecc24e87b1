//! Kinds of faults, each of which strikes some times in its window.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use tokio::time::{sleep, Instant};

use super::caller::Manner;
use super::engine::{Fault, Share, Stop};
use super::site::Site;

/// Time for which a kind strikes.
pub const WINDOW: Duration = Duration::from_secs(12);

/// Time between two strikes.
const STRIKE_INTERVAL: Duration = Duration::from_secs(4);

/// Time for which a frozen host stands still, longer than callers wait.
const FREEZE_TIME: Duration = Duration::from_millis(6100);

/// Timeout of routes that is shorter than that of callers, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 6_000;

/// Time after which a killed process is back.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Share of the entry hosts that are struck, rounded up to one.
const HOST_SHARE: f64 = 0.16;

/// Share of the engines that are struck.
const ENGINE_SHARE: f64 = 0.17;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    None,
    /// Entry hosts are killed, some or all.
    Kill,
    HerdKill,
    /// Entry hosts stand still for longer than callers wait.
    Freeze,
    /// Entry hosts run at a sixth of their pace.
    SlowHost,
    /// Entry hosts are stopped in turn as planned.
    Roll,
    /// All entry hosts read their settings again.
    Hup,
    /// Engines are killed; their connections are closed in order or reset.
    Crash,
    CrashReset,
    /// Engines stop and end the chunks of their streams as they go.
    CrashEnds,
    /// The same, but they accept connections for some time behind that.
    CrashEndsFirst,
    /// Engines fall silent.
    Dark,
    /// Connections of engines are reset.
    ResetLinks,
    /// Runs at a share of engines have a fault.
    Runs(Fault),
    /// Routes have a shorter timeout than callers, and engines stop at it.
    ShortTimeout,
    /// All entry hosts are killed while runs lose a piece.
    HerdKillSkip,
    /// Timeouts change in quick succession.
    Timeouts,
    /// Routes that may be resumed are not for some time, and the reverse.
    Resumable,
    /// Engines leave as planned, and others come.
    Release,
    /// The same of engines that end the chunks of their streams as they go.
    ReleaseEnds,
    /// Callers leave.
    GiveUp,
    /// Callers read at a tenth of the pace while engines are killed.
    SlowCallers,
    /// Hosts freeze and are killed, engines crash and break runs, and routes change.
    Several,
}

/// All kinds.
pub const ALL: [Kind; 38] = [
    Kind::None,
    Kind::Kill,
    Kind::HerdKill,
    Kind::Freeze,
    Kind::SlowHost,
    Kind::Roll,
    Kind::Hup,
    Kind::Crash,
    Kind::CrashReset,
    Kind::CrashEnds,
    Kind::CrashEndsFirst,
    Kind::Dark,
    Kind::ResetLinks,
    Kind::Runs(Fault::Break),
    Kind::Runs(Fault::BreakReset),
    Kind::Runs(Fault::Close),
    Kind::Runs(Fault::Extra),
    Kind::Runs(Fault::Anew),
    Kind::Runs(Fault::Lost),
    Kind::Runs(Fault::Unframed),
    Kind::Runs(Fault::UnframedClose),
    Kind::Runs(Fault::Pause),
    Kind::Runs(Fault::Slow),
    Kind::Runs(Fault::Deadline),
    Kind::Runs(Fault::LastPiece),
    Kind::Runs(Fault::UnevenPiece),
    Kind::ShortTimeout,
    Kind::HerdKillSkip,
    Kind::Runs(Fault::Stop),
    Kind::Runs(Fault::Skip),
    Kind::Runs(Fault::Spoil),
    Kind::Timeouts,
    Kind::Resumable,
    Kind::Release,
    Kind::ReleaseEnds,
    Kind::GiveUp,
    Kind::SlowCallers,
    Kind::Several,
];

impl Kind {
    /// Returns the name in reports.
    pub fn name(self) -> String {
        format!("{self:?}")
    }

    /// Returns the kind with a name.
    pub fn parse(name: &str) -> Self {
        let kind = ALL.iter().find(|kind| kind.name() == name);
        *kind.unwrap_or_else(|| panic!("{name} is no kind, but {ALL:?} are"))
    }

    /// Returns how callers behave meanwhile.
    pub fn manner(self) -> Manner {
        Manner {
            is_slow: self == Self::SlowCallers,
            leaves: self == Self::GiveUp && rand::random_ratio(3, 10),
            ..Manner::default()
        }
    }

    /// Plays the kind in its window, and ends it.
    pub async fn play(self, site: &mut Site) {
        let until = Instant::now() + WINDOW;
        while Instant::now() < until {
            let next = Instant::now() + STRIKE_INTERVAL;
            self.strike(site).await;
            while Instant::now() < next {
                site.restart_ended();
                sleep(Duration::from_millis(100)).await;
            }
        }
        for engine in &site.engines {
            engine.set_fault(None);
        }
        for index in 0..site.hosts().len() {
            site.signal(index, "CONT");
        }
        site.publish(14_000, true, 2);
        for index in 0..site.engines.len() {
            site.restart_engine(index).await;
        }
    }

    async fn strike(self, site: &mut Site) {
        match self {
            Self::None | Self::GiveUp => {}
            Self::Kill => {
                for host in some_hosts(site) {
                    site.signal(host, "KILL");
                }
                sleep(RESTART_TIME).await;
            }
            Self::HerdKill => {
                for host in 0..site.hosts().len() {
                    site.signal(host, "KILL");
                }
                sleep(RESTART_TIME).await;
            }
            Self::Freeze => {
                let hosts = some_hosts(site);
                hosts.iter().for_each(|host| site.signal(*host, "STOP"));
                sleep(FREEZE_TIME).await;
                hosts.iter().for_each(|host| site.signal(*host, "CONT"));
            }
            Self::SlowHost => {
                let hosts = some_hosts(site);
                for _ in 0..6 {
                    hosts.iter().for_each(|host| site.signal(*host, "STOP"));
                    sleep(Duration::from_millis(500)).await;
                    hosts.iter().for_each(|host| site.signal(*host, "CONT"));
                    sleep(Duration::from_millis(100)).await;
                }
            }
            Self::Roll => {
                for host in some_hosts(site) {
                    site.signal(host, "TERM");
                    sleep(Duration::from_millis(1300)).await;
                }
            }
            Self::Hup => {
                for host in 0..site.hosts().len() {
                    site.signal(host, "HUP");
                }
            }
            Self::Crash | Self::SlowCallers => crash(site, Stop::Close).await,
            Self::CrashReset => crash(site, Stop::Reset).await,
            Self::CrashEnds => crash(site, Stop::EndStreams).await,
            Self::CrashEndsFirst => crash(site, Stop::EndStreamsFirst).await,
            Self::Dark => {
                let engines = some_engines(site);
                engines
                    .iter()
                    .for_each(|index| site.engines[*index].darken());
                sleep(Duration::from_secs(3)).await;
                for index in engines {
                    site.engines[index].stop(Stop::Reset).await;
                    site.restart_engine(index).await;
                }
            }
            Self::ResetLinks => {
                for index in some_engines(site) {
                    site.engines[index].reset_connections().await;
                }
            }
            Self::Runs(fault) => {
                set_faults(site, fault, 250);
            }
            Self::ShortTimeout => {
                site.publish(SHORT_TIMEOUT_MS, true, 2);
                set_faults(site, Fault::Deadline, 250);
            }
            Self::HerdKillSkip => {
                set_faults(site, Fault::Skip, 250);
                for host in 0..site.hosts().len() {
                    site.signal(host, "KILL");
                }
                sleep(RESTART_TIME).await;
            }
            Self::Timeouts => {
                for step in 0..8 {
                    site.publish(9_000 + step * 500, true, 2);
                    sleep(Duration::from_millis(330)).await;
                }
            }
            Self::Resumable => {
                for step in 0..4 {
                    site.publish(14_000, step % 2 == 1, 1 + step % 3);
                    sleep(Duration::from_millis(800)).await;
                }
            }
            Self::Release | Self::ReleaseEnds => {
                let stop = if self == Self::ReleaseEnds {
                    Stop::EndStreams
                } else {
                    Stop::Close
                };
                for index in some_engines(site) {
                    site.list(index, "draining");
                    sleep(Duration::from_millis(2000)).await;
                    site.unlist(index);
                    site.engines[index].stop(stop).await;
                    site.restart_engine(index).await;
                }
            }
            Self::Several => {
                let hosts = some_hosts(site);
                let fault = [Fault::Break, Fault::Close, Fault::Lost, Fault::Anew];
                let fault = *fault.choose(&mut rand::rng()).unwrap();
                set_faults(site, fault, 150);
                hosts.iter().for_each(|host| site.signal(*host, "STOP"));
                site.publish(13_000, false, 1);
                crash(site, Stop::Close).await;
                sleep(Duration::from_secs(2)).await;
                hosts.iter().for_each(|host| site.signal(*host, "CONT"));
                site.publish(14_000, true, 3);
                for host in some_hosts(site) {
                    site.signal(host, "KILL");
                }
            }
        }
    }
}

/// Sets the fault of some runs in a thousand at all engines.
fn set_faults(site: &Site, fault: Fault, per_mille: u32) {
    for engine in &site.engines {
        engine.set_fault(Some(Share { fault, per_mille }));
    }
}

/// Stops some engines, and starts them again.
async fn crash(site: &mut Site, stop: Stop) {
    let engines = some_engines(site);
    for index in &engines {
        site.engines[*index].stop(stop).await;
    }
    sleep(RESTART_TIME).await;
    for index in engines {
        site.restart_engine(index).await;
    }
}

/// Draws the hosts that are struck.
fn some_hosts(site: &Site) -> Vec<usize> {
    let hosts = site.hosts().len();
    let count = (hosts as f64 * HOST_SHARE).round().max(1.0);
    (0..hosts).sample(&mut rand::rng(), count as usize)
}

/// Draws the engines that are struck, which generate answers.
fn some_engines(site: &Site) -> Vec<usize> {
    let engines = (0..site.engines.len()).filter(|index| !site.engines[*index].is_prefill());
    let count = (site.engines.len() as f64 * ENGINE_SHARE).round().max(1.0);
    engines.sample(&mut rand::rng(), count as usize)
}
