//! Streams that callers take up at a host which is out of step with the others, while engines of
//! a new software version join.

use std::net::SocketAddr;
use std::ops::AddAssign;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, Instant};

use cranberryridge_standin::stream::{Form, Ledger};

use super::caller::{Manner, Stream};
use super::engine::Stop;
use super::link::State;
use super::site::Site;

/// Time for which the hosts have known one version, longer than a stream lives.
const KNOWN_TIME: Duration = Duration::from_secs(65);

/// Time between the first tries of streams and the end of the fault, in which they break.
const BREAK_TIME: Duration = Duration::from_millis(700);

/// Number of streams of a play.
const STREAMS: usize = 36;

/// Pieces of a stream, and those that reach the caller before it breaks.
const PIECES: u32 = 40;
const PIECES_BEFORE_BREAK: usize = 4;

/// Tries of a caller at the host where it takes a stream up.
const TRIES: usize = 5;

/// Version of the engines that join.
const NEW_VERSION: &str = "v2";

/// What puts a host out of step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skew {
    /// It stands still.
    Frozen,
    /// It does not reach the store.
    StoreCut,
    /// It reaches neither the store nor another host. The others do not reach each other either.
    Apart,
}

/// All of them.
pub const ALL: [Skew; 3] = [Skew::Frozen, Skew::StoreCut, Skew::Apart];

impl Skew {
    /// Returns the one with a name.
    pub fn parse(name: &str) -> Self {
        let skew = ALL.iter().find(|skew| format!("{skew:?}") == name);
        *skew.unwrap_or_else(|| panic!("{name} puts no host out of step, but {ALL:?} do"))
    }
}

/// What became of the streams of a play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Streams that broke and were taken up at the host out of step.
    pub taken_up: usize,
    /// Those of them that had begun at the new version.
    pub at_new: usize,
    /// Streams that went on there, and those of them that had begun at the new version.
    pub gone_on: usize,
    pub gone_on_at_new: usize,
    /// Streams of two versions.
    pub mixed: usize,
    /// Streams that are wrong otherwise.
    pub wrong: usize,
}

impl Counts {
    /// Adds a stream that had `before` events when it broke.
    fn add(&mut self, stream: &Stream, before: usize, ledger: &Ledger) {
        let Some(first) = stream.events[..before].first() else {
            return;
        };
        let is_new = first.trim_end().ends_with(NEW_VERSION);
        let has_gone_on = stream.events.len() > before;
        self.taken_up += 1;
        self.at_new += usize::from(is_new);
        self.gone_on += usize::from(has_gone_on);
        self.gone_on_at_new += usize::from(is_new && has_gone_on);
        match stream.check(ledger) {
            Some(Form::Mixed) => self.mixed += 1,
            Some(_) => self.wrong += 1,
            None => {}
        }
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.taken_up += other.taken_up;
        self.at_new += other.at_new;
        self.gone_on += other.gone_on;
        self.gone_on_at_new += other.gone_on_at_new;
        self.mixed += other.mixed;
        self.wrong += other.wrong;
    }
}

/// Plays a host that is out of step for `time` from the moment at which half of the engines join.
/// Streams that began at the other hosts break shortly before its end, and are taken up there.
pub async fn play(
    site: &mut Site,
    skew: Skew,
    host: usize,
    time: Duration,
    ledger: &Ledger,
) -> Counts {
    let joining = site.engines.len() / 2..site.engines.len();
    for engine in joining.clone() {
        site.unlist(engine);
        site.engines[engine].stop(Stop::Close).await;
    }
    if skew == Skew::Apart {
        for host in 0..site.hosts().len() {
            site.kill(host);
            site.take_scheduler(host).await;
            site.restart(host);
        }
    }
    sleep(KNOWN_TIME).await;
    if skew == Skew::Frozen {
        site.signal(host, "STOP");
    } else {
        site.links[host].set(State::Cut);
    }
    let until = Instant::now() + time;
    for engine in joining {
        site.set_version(engine, NEW_VERSION);
        site.restart_engine(engine).await;
    }
    sleep_until(until - BREAK_TIME).await;
    let mut others = site.hosts();
    let host_out_of_step = others.remove(host);
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let name = format!("k{number}");
        streams.spawn(take_up(name, others.clone(), host_out_of_step));
    }
    sleep_until(until).await;
    if skew == Skew::Frozen {
        site.signal(host, "CONT");
    } else {
        site.links[host].set(State::Open);
    }
    let mut counts = Counts::default();
    for (stream, before) in &streams.join_all().await {
        counts.add(stream, *before, ledger);
    }
    counts
}

/// Begins a stream at one of some hosts, and takes it up at another one when it has broken.
/// Returns it with the number of events that it had by then.
async fn take_up(name: String, hosts: Vec<SocketAddr>, host: SocketAddr) -> (Stream, usize) {
    let mut stream = Stream {
        name,
        total: PIECES,
        may_resume: true,
        begun_at: Instant::now(),
        events: Vec::new(),
        ends: Vec::new(),
        first_attempt: None,
        refusals: Vec::new(),
    };
    let first = Manner {
        tries: 1,
        breaks_after: Some(PIECES_BEFORE_BREAK),
        ..Manner::default()
    };
    stream.play(&hosts, first).await;
    let before = stream.events.len();
    let further = Manner {
        tries: TRIES,
        ..Manner::default()
    };
    if before > 0 {
        stream.play(&[host], further).await;
    }
    (stream, before)
}
