//! A player of the events of a day at the processes of a site.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::RngExt;
use tokio::time::{sleep, Instant};

use cranberryridge_standin::store::Fault as StoreFault;

use super::plan::{Event, Plan};
use crate::shapes::engine::{Fault, Share, Stop};
use crate::shapes::link::State;
use crate::shapes::site::Site;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(25);

/// Time after which a host that was started gets new callers, unless the site file states it.
const READY_TIME: Duration = Duration::from_millis(400);

/// Time for which an engine goes on after it was listed as draining.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time between two looks at the open runs of an engine that leaves behind them.
const RUNS_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which others come for engines that were taken away at short notice.
const SPOT_TIME: Duration = Duration::from_secs(4);

/// Time for which a host with a slowed processor runs at a stretch.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Time between the return of the store to an older copy and the next listing of engines.
const RELIST_TIME: Duration = Duration::from_millis(1500);

/// Time between the start of a new host and the end of the one that it replaces, which stood
/// still meanwhile.
const STAND_IN_TIME: Duration = Duration::from_secs(1);

/// Share of the reads of a lossy link that are followed by a stall, and of those by a reset.
const LOSS_SHARE: f64 = 0.005;

/// Timeout of routes in milliseconds, and the least one after a change.
const TIMEOUT_MS: u64 = 14_000;
const MIN_TIMEOUT_MS: u64 = 6_000;

/// Topics that the operator and the engines write.
const TOPICS: [&str; 4] = ["keyed.op", "keyed.servers", "keyed.hosts", "keyed.claims"];

/// How callers behave at a moment.
#[derive(Clone, Debug, Default)]
pub struct Mood {
    /// Hosts that get new callers.
    pub hosts: Vec<SocketAddr>,
    /// Factor of the usual load.
    pub load: f64,
    /// Share of the callers that leave.
    pub leaving_share: f64,
    /// Share of the callers that return at once.
    pub abusive_share: f64,
    /// Tries of a caller that returns at once.
    pub abusive_tries: usize,
}

/// Engines that end the chunks of their open streams as they stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stops {
    /// None: all close their connections.
    Close,
    /// Those that drain or are taken away.
    Drains,
    /// All that stop themselves, also when they crash.
    All,
}

impl Stops {
    /// Returns the setting with a name. An empty one stands for all engines.
    pub fn parse(name: &str) -> Self {
        match name {
            "" => Self::All,
            "drains" => Self::Drains,
            "close" => Self::Close,
            _ => panic!("{name} is no setting of stops, but drains and close are"),
        }
    }

    /// Returns how an engine stops that was told to leave.
    fn of_drain(self) -> Stop {
        if self == Self::Close {
            Stop::Close
        } else {
            Stop::EndStreams
        }
    }

    /// Returns how an engine stops that crashes.
    fn of_crash(self) -> Stop {
        if self == Self::All {
            Stop::EndStreams
        } else {
            Stop::Close
        }
    }
}

/// Step of an event.
#[derive(Clone, Debug)]
enum Step {
    Begin(Box<Event>),
    Kill {
        host: usize,
        down: Duration,
    },
    Term {
        host: usize,
    },
    /// Ends a host for good with a signal.
    Leave {
        host: usize,
        signal: &'static str,
    },
    Signal {
        host: usize,
        name: &'static str,
    },
    AddHost,
    Link {
        host: usize,
        state: State,
    },
    EngineLink {
        engine: usize,
        state: State,
    },
    /// Restarts a host that other hosts do not reach from then on, or reach again.
    Isolate {
        host: usize,
        is_isolated: bool,
    },
    StopEngine {
        engine: usize,
        stop: Stop,
    },
    StartEngine {
        engine: usize,
    },
    Darken {
        engine: usize,
    },
    Drain {
        engine: usize,
    },
    /// Stops an engine that leaves, and removes it from the list.
    TakeAway {
        engine: usize,
    },
    /// Removes an engine that leaves behind its runs from the list.
    Unlist {
        engine: usize,
    },
    /// Stops an engine once it has no open runs. Another comes some time later.
    StopBehindRuns {
        engine: usize,
        back_after: Duration,
    },
    /// Starts an engine that had left.
    ReturnEngine {
        engine: usize,
    },
    Replace {
        engine: usize,
        version: String,
    },
    ResetConnections {
        engine: usize,
    },
    Store(StoreFault),
    Compact,
    Rewind(Duration),
    /// Returns the store to an older copy, and lists nothing.
    Restore(Duration),
    /// Publishes the configuration and lists the engines that run.
    Relist,
    /// Moves the routes to the other service, or back.
    Move,
    Publish {
        timeout_ms: u64,
        attempts: u32,
    },
}

/// State of a host.
#[derive(Clone, Copy, Debug)]
struct Host {
    /// Time before which it is not started again.
    down_until: Instant,
    /// Time since which its process runs.
    up_since: Instant,
    is_running: bool,
    /// Whether it is stopping as planned.
    is_stopping: bool,
    /// Whether it is not started again.
    has_left: bool,
}

/// A player of a day.
pub struct Player {
    pub site: Site,
    pub mood: Arc<Mutex<Mood>>,
    /// Kinds that are not played.
    pub left_out: BTreeSet<String>,
    random: StdRng,
    hosts: Vec<Host>,
    steps: Vec<(Instant, Step)>,
    /// Faults of runs, with the engine and the end.
    shares: Vec<(Instant, usize, Share)>,
    /// Events that change the load or the callers, with their ends.
    moods: Vec<(Instant, Event)>,
    releases: u32,
    stops: Stops,
    /// Engines that have left for good, or are leaving behind their runs.
    left_engines: BTreeSet<usize>,
}

impl Player {
    /// Creates a player, and starts with usual load.
    pub fn new(site: Site, stops: Stops, random: StdRng) -> Self {
        let now = Instant::now();
        let host = Host {
            down_until: now,
            up_since: now,
            is_running: true,
            is_stopping: false,
            has_left: false,
        };
        Self {
            hosts: vec![host; site.hosts().len()],
            site,
            mood: Arc::default(),
            left_out: BTreeSet::new(),
            random,
            steps: Vec::new(),
            shares: Vec::new(),
            moods: Vec::new(),
            releases: 1,
            stops,
            left_engines: BTreeSet::new(),
        }
    }

    /// Plays events until a time.
    pub async fn play(&mut self, plan: &Plan, events: &[Event], begun_at: Instant, until: Instant) {
        for event in events {
            let begin = Step::Begin(Box::new(event.clone()));
            self.steps.push((begun_at + event.at, begin));
        }
        while Instant::now() < until {
            let now = Instant::now();
            while let Some(index) = (0..self.steps.len())
                .filter(|index| self.steps[*index].0 <= now)
                .min_by_key(|index| self.steps[*index].0)
            {
                let (at, step) = self.steps.remove(index);
                self.step(plan, at, step).await;
            }
            self.update(plan.ready.unwrap_or(READY_TIME));
            sleep(TICK).await;
        }
    }

    /// Restarts hosts that are due, and updates faults and callers.
    fn update(&mut self, ready: Duration) {
        let now = Instant::now();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if !host.has_left && now >= host.down_until && !self.site.is_running(index) {
                self.site.restart(index);
                (host.up_since, host.is_stopping) = (now, false);
            }
            host.is_running = self.site.is_running(index);
        }
        let count = self.shares.len();
        self.shares.retain(|(until, ..)| *until > now);
        if self.shares.len() != count {
            self.set_shares();
        }
        self.moods.retain(|(until, _)| *until > now);
        let addresses = self.site.hosts();
        let is_open =
            |host: &Host| host.is_running && !host.is_stopping && now >= host.up_since + ready;
        let open = addresses.iter().zip(&self.hosts);
        let open = open.filter(|(_, host)| is_open(host));
        let mut mood = Mood {
            hosts: open.map(|(address, _)| *address).collect(),
            load: 1.0,
            ..Mood::default()
        };
        for (_, event) in &self.moods {
            let share = event.share.unwrap_or(0.2);
            match event.kind.as_str() {
                // A burst of one of several classes raises the load by its part.
                "burst" if event.class.is_empty() => mood.load *= event.x.unwrap_or(1.5),
                "burst" => mood.load *= 1.0 + (event.x.unwrap_or(1.5) - 1.0) / 3.0,
                "give_up" => mood.leaving_share = share,
                "retry_abuse" => {
                    mood.abusive_share = share;
                    mood.abusive_tries = 1 + event.x.unwrap_or(3.0) as usize;
                }
                _ => {
                    let left = mood.hosts.len() as f64 * (1.0 - share);
                    mood.hosts.truncate(left.ceil() as usize);
                }
            }
        }
        *self.mood.lock().unwrap() = mood;
    }

    fn set_shares(&self) {
        for (index, engine) in self.site.engines.iter().enumerate() {
            let shares = self.shares.iter().filter(|(_, engine, _)| *engine == index);
            engine.set_faults(shares.map(|(_, _, share)| *share).collect());
        }
    }

    /// Draws hosts that have not left.
    fn draw_hosts(&mut self, event: &Event) -> Vec<usize> {
        let hosts = (0..self.hosts.len()).filter(|index| !self.hosts[*index].has_left);
        let hosts = hosts.collect::<Vec<_>>();
        let count = event.count_of(hosts.len());
        hosts.into_iter().sample(&mut self.random, count)
    }

    /// Draws the hosts that a loss of power strikes: all, or with the word `part` a share.
    fn draw_power_off(&mut self, event: &Event) -> Vec<usize> {
        if event.is("part") {
            self.draw_hosts(event)
        } else {
            (0..self.hosts.len()).collect()
        }
    }

    /// Returns the engines that a loss of power strikes.
    fn engines_of_power_off(&self, event: &Event) -> Range<usize> {
        0..if event.is("all") {
            self.site.engines.len()
        } else {
            0
        }
    }

    /// Draws engines that generate answers and have not left.
    fn draw_engines(&mut self, event: &Event) -> Vec<usize> {
        let engines = (0..self.site.engines.len())
            .filter(|index| !self.site.engines[*index].is_prefill())
            .filter(|index| !self.left_engines.contains(index))
            .collect::<Vec<_>>();
        let count = event.count_of(engines.len());
        engines.into_iter().sample(&mut self.random, count)
    }

    /// Gives a fault to runs at some engines.
    fn strike_runs(&mut self, event: &Event, fault: Fault, share: f64) {
        let per_mille = (share * 1000.0).round() as u32;
        let until = Instant::now() + event.lasts;
        for engine in self.draw_engines(event) {
            let share = Share { fault, per_mille };
            self.shares.push((until, engine, share));
        }
        self.set_shares();
    }

    /// Publishes the configuration and lists the engines that run.
    fn relist(&mut self) {
        self.site.publish(TIMEOUT_MS, true, 2);
        for engine in 0..self.site.engines.len() {
            if self.site.engines[engine].is_running() {
                self.site.list(engine, "ready");
            }
        }
    }

    /// Draws the host that a new one replaces: the one that schedules if `event` names it.
    fn draw_replaced(&mut self, event: &Event) -> Vec<usize> {
        if event.is("leader") {
            let hosts = 0..self.hosts.len();
            let hosts = hosts.filter(|index| !self.hosts[*index].has_left);
            let hosts = hosts.collect::<Vec<_>>();
            return self.site.leader(&hosts).into_iter().collect();
        }
        self.draw_hosts(&Event {
            count: Some(1),
            ..event.clone()
        })
    }

    /// Schedules a step, some time after another one.
    fn after(&mut self, at: Instant, delay: Duration, step: Step) {
        self.steps.push((at + delay, step));
    }

    async fn step(&mut self, plan: &Plan, at: Instant, step: Step) {
        match step {
            Step::Begin(event) => self.begin(plan, at, &event),
            Step::Kill { host, down } => {
                self.hosts[host].down_until = Instant::now() + down;
                self.site.signal(host, "KILL");
            }
            Step::Term { host } => {
                self.hosts[host].is_stopping = true;
                self.site.signal(host, "TERM");
            }
            Step::Leave { host, signal } => {
                self.hosts[host].is_stopping = true;
                self.hosts[host].has_left = true;
                self.site.signal(host, signal);
            }
            Step::Signal { host, name } => self.site.signal(host, name),
            Step::AddHost => {
                self.site.add_host().await;
                let now = Instant::now();
                self.hosts.push(Host {
                    down_until: now,
                    up_since: now,
                    is_running: true,
                    is_stopping: false,
                    has_left: false,
                });
            }
            Step::Link { host, state } => self.site.links[host].set(state),
            Step::EngineLink { engine, state } => self.site.engine_links[engine].set(state),
            Step::Isolate { host, is_isolated } => {
                if self.hosts[host].has_left {
                    return;
                }
                self.site.kill(host);
                if is_isolated {
                    self.site.take_scheduler(host).await;
                } else {
                    self.site.give_scheduler(host);
                }
            }
            Step::StopEngine { engine, stop } => self.site.engines[engine].stop(stop).await,
            Step::StartEngine { engine } => {
                if !self.left_engines.contains(&engine) {
                    self.site.restart_engine(engine).await;
                }
            }
            Step::Darken { engine } => self.site.engines[engine].darken(),
            Step::Drain { engine } => self.site.list(engine, "draining"),
            Step::TakeAway { engine } => {
                self.site.unlist(engine);
                self.site.engines[engine].stop(self.stops.of_drain()).await;
            }
            Step::Unlist { engine } => self.site.unlist(engine),
            Step::StopBehindRuns { engine, back_after } => {
                let now = Instant::now();
                if self.site.engines[engine].open_runs() > 0 {
                    self.after(now, RUNS_INTERVAL, step);
                } else {
                    self.site.engines[engine].stop(Stop::Close).await;
                    self.after(now, back_after, Step::ReturnEngine { engine });
                }
            }
            Step::ReturnEngine { engine } => {
                self.left_engines.remove(&engine);
                self.site.restart_engine(engine).await;
            }
            Step::Replace { engine, version } => {
                self.site.unlist(engine);
                self.site.engines[engine].stop(self.stops.of_drain()).await;
                self.site.set_version(engine, &version);
                self.site.restart_engine(engine).await;
            }
            Step::ResetConnections { engine } => {
                if self.site.engines[engine].is_running() {
                    self.site.engines[engine].reset_connections().await;
                }
            }
            Step::Store(fault) => self.site.store.set_fault(fault),
            Step::Compact => {
                for topic in TOPICS {
                    self.site.store.compact(topic);
                }
            }
            Step::Rewind(age) => {
                self.site.store.restore(age);
                self.relist();
            }
            Step::Restore(age) => self.site.store.restore(age),
            Step::Relist => self.relist(),
            Step::Move => {
                self.site.is_moved = !self.site.is_moved;
                self.site.publish(TIMEOUT_MS, true, 2);
            }
            Step::Publish {
                timeout_ms,
                attempts,
            } => self.site.publish(timeout_ms, true, attempts),
        }
    }

    /// Begins an event: draws what it strikes, and schedules its steps.
    fn begin(&mut self, plan: &Plan, at: Instant, event: &Event) {
        let (lasts, gap) = (event.lasts, event.gap);
        let is_other_service = !event.service.is_empty() && event.service != plan.service;
        match event.kind.as_str() {
            _ if is_other_service => self.leave_out(event),
            "config_change" if event.is("timeout") => {
                let drawn = self.random.random_range(MIN_TIMEOUT_MS..=TIMEOUT_MS);
                let timeout_ms = event.x.map_or(drawn, |timeout_ms| timeout_ms as u64);
                let step = Step::Publish {
                    timeout_ms,
                    attempts: 2,
                };
                self.after(at, Duration::ZERO, step);
            }
            "config_change" if event.is("idle") => {
                let step = Step::Publish {
                    timeout_ms: TIMEOUT_MS,
                    attempts: 2,
                };
                self.after(at, Duration::ZERO, step);
            }
            "config_change" if event.is("move") && plan.other_engines > 0 => {
                self.after(at, Duration::ZERO, Step::Move);
            }
            "config_storm" => {
                let mut delay = Duration::ZERO;
                while delay < lasts {
                    let timeout_ms = self.random.random_range(MIN_TIMEOUT_MS..=TIMEOUT_MS);
                    let attempts = self.random.random_range(1..=3);
                    let step = Step::Publish {
                        timeout_ms,
                        attempts,
                    };
                    self.after(at, delay, step);
                    delay += gap.max(TICK);
                }
            }
            "roll_term" if event.is("remove") => {
                let hosts = self.draw_hosts(event);
                let left = self.hosts.iter().filter(|host| !host.has_left).count();
                for (turn, host) in (0..).zip(hosts.into_iter().take(left - 1)) {
                    let signal = "TERM";
                    self.after(at, gap * turn, Step::Leave { host, signal });
                }
            }
            "roll_term" => {
                for (turn, host) in (0..).zip(self.draw_hosts(event)) {
                    self.after(at, gap * turn, Step::Term { host });
                }
            }
            "release" => {
                self.releases += 1;
                let version = format!("v{}", self.releases);
                for (turn, host) in (0..).zip(self.draw_hosts(event)) {
                    self.after(at, gap * turn, Step::Term { host });
                }
                for (turn, engine) in (0..).zip(self.draw_engines(event)) {
                    let version = version.clone();
                    self.after(at, gap * turn, Step::Drain { engine });
                    let replace = Step::Replace { engine, version };
                    self.after(at, gap * turn + DRAIN_TIME, replace);
                }
            }
            "scale_in" => {
                let (delay, back) = match event {
                    _ if event.is("spot") => (event.x.unwrap_or(2.0), Some(SPOT_TIME)),
                    _ if event.is("reclaim") => (event.x.unwrap_or(2.5), Some(lasts)),
                    _ => (DRAIN_TIME.as_secs_f64(), None),
                };
                let delay = Duration::from_secs_f64(delay);
                let is_unlisted = event.is("unlisted");
                let mut engines = self.draw_engines(event);
                if back.is_none() {
                    // Some engine has to remain.
                    let left = self.left_engines.len() + engines.len();
                    let all = self.site.engines.iter();
                    let generating = all.filter(|engine| !engine.is_prefill()).count();
                    engines.truncate(engines.len() - usize::from(left >= generating));
                    self.left_engines.extend(&engines);
                }
                for engine in engines {
                    if is_unlisted {
                        let back_after = lasts;
                        let stop = Step::StopBehindRuns { engine, back_after };
                        self.after(at, Duration::ZERO, Step::Unlist { engine });
                        self.after(at, delay, stop);
                        continue;
                    }
                    self.after(at, Duration::ZERO, Step::Drain { engine });
                    self.after(at, delay, Step::TakeAway { engine });
                    if let Some(back) = back {
                        self.after(at, delay + back, Step::StartEngine { engine });
                    }
                }
            }
            "add_nodes" => {
                for _ in 0..event.count_of(usize::from(plan.hosts)) {
                    self.after(at, Duration::ZERO, Step::AddHost);
                }
            }
            "replace_core" => {
                let delay = Duration::from_secs_f64(event.x.unwrap_or(1.0));
                let hosts = self.draw_replaced(event);
                if event.is("frozen") {
                    // The replaced host stands still while the new one starts, and goes on behind
                    // that until it is told to leave.
                    for host in hosts {
                        let [stop, go] = ["STOP", "CONT"].map(|name| Step::Signal { host, name });
                        self.after(at, Duration::ZERO, stop);
                        self.after(at, STAND_IN_TIME, Step::AddHost);
                        self.after(at, delay, go);
                        let signal = "TERM";
                        self.after(at, delay + STAND_IN_TIME, Step::Leave { host, signal });
                    }
                    return;
                }
                let (signal, left_after, added_after) = match event {
                    // Both happen at the same time.
                    _ if event.is("race") => ("TERM", Duration::ZERO, Duration::ZERO),
                    _ if event.is("planned") => ("TERM", delay, Duration::ZERO),
                    _ => ("KILL", Duration::ZERO, delay),
                };
                for host in hosts {
                    self.after(at, left_after, Step::Leave { host, signal });
                    self.after(at, added_after, Step::AddHost);
                }
            }
            "node_kill" | "herd_kill" => {
                for host in self.draw_hosts(event) {
                    self.after(at, Duration::ZERO, Step::Kill { host, down: lasts });
                }
            }
            "power_off_all" if event.is("silent") => {
                for host in self.draw_power_off(event) {
                    let name = "STOP";
                    self.after(at, Duration::ZERO, Step::Signal { host, name });
                    let down = Duration::ZERO;
                    self.after(at, lasts, Step::Kill { host, down });
                }
                for engine in self.engines_of_power_off(event) {
                    let stop = Stop::Reset;
                    self.after(at, Duration::ZERO, Step::Darken { engine });
                    self.after(at, lasts, Step::StopEngine { engine, stop });
                    self.after(at, lasts, Step::StartEngine { engine });
                }
            }
            "kill_all" | "power_off_all" => {
                for host in self.draw_power_off(event) {
                    self.after(at, Duration::ZERO, Step::Kill { host, down: lasts });
                }
                for engine in self.engines_of_power_off(event) {
                    let stop = Stop::Close;
                    self.after(at, Duration::ZERO, Step::StopEngine { engine, stop });
                    self.after(at, lasts, Step::StartEngine { engine });
                }
            }
            "node_freeze" => {
                for host in self.draw_hosts(event) {
                    let [stop, go] = ["STOP", "CONT"].map(|name| Step::Signal { host, name });
                    self.after(at, Duration::ZERO, stop);
                    self.after(at, lasts, go);
                }
            }
            "node_slow" => {
                let pause = RUN_TIME.mul_f64(event.x.unwrap_or(5.0) - 1.0);
                for host in self.draw_hosts(event) {
                    let mut delay = Duration::ZERO;
                    while delay < lasts {
                        let [stop, go] = ["STOP", "CONT"].map(|name| Step::Signal { host, name });
                        self.after(at, delay, stop);
                        self.after(at, delay + pause, go);
                        delay += pause + RUN_TIME;
                    }
                }
            }
            "hup" => {
                for (turn, host) in (0..).zip(self.draw_hosts(event)) {
                    let hup = Step::Signal { host, name: "HUP" };
                    self.after(at, gap * turn, hup);
                }
            }
            "srv_crash" => {
                let is_dark = event.is("dark");
                let stop = if event.is("reset") {
                    Stop::Reset
                } else {
                    self.stops.of_crash()
                };
                for engine in self.draw_engines(event) {
                    let stop = Step::StopEngine { engine, stop };
                    if is_dark {
                        self.after(at, Duration::ZERO, Step::Darken { engine });
                        self.after(at, lasts, stop);
                    } else {
                        self.after(at, Duration::ZERO, stop);
                    }
                    self.after(at, lasts, Step::StartEngine { engine });
                }
            }
            "srv_grey" if event.is("reset") => {
                self.strike_runs(event, Fault::BreakReset, event.x.unwrap_or(0.3));
            }
            "srv_slow" | "kv_slow" | "srv_grey" => self.strike_runs(event, Fault::Deadline, 1.0),
            "garble" => {
                let fault = match event {
                    _ if event.is("unframed") => Fault::Unframed,
                    _ if event.is("late") => Fault::ExtraLate,
                    _ if event.is("extra") => Fault::Extra,
                    _ => Fault::Break,
                };
                self.strike_runs(event, fault, event.x.unwrap_or(0.02));
            }
            "answer_lost" => self.strike_runs(event, Fault::Lost, event.x.unwrap_or(0.05)),
            "reset_conns" => {
                for engine in self.draw_engines(event) {
                    self.after(at, Duration::ZERO, Step::ResetConnections { engine });
                }
            }
            "give_up" | "retry_abuse" | "burst" | "shift" => {
                self.moods.push((at + lasts, event.clone()));
            }
            "platform_down" if event.is("nodes") => self.cut(at, event, State::Cut),
            "node_cut" | "core_cut" => self.cut(at, event, State::Cut),
            "platform_slow" => {
                let delay = Duration::from_millis(event.x.unwrap_or(60.0) as u64);
                self.cut(at, event, State::Slow(delay));
            }
            "platform_down" | "platform_lost" => {
                let fault = match event {
                    _ if event.kind == "platform_lost" => StoreFault::AnswersLost,
                    _ if event.is("silent") => StoreFault::Silent,
                    _ => StoreFault::Unavailable,
                };
                self.after(at, Duration::ZERO, Step::Store(fault));
                self.after(at, lasts, Step::Store(StoreFault::None));
            }
            "lossy" => self.make_lossy(at, event),
            "host_cut" => {
                for host in self.draw_hosts(event) {
                    for (delay, is_isolated) in [(Duration::ZERO, true), (lasts, false)] {
                        self.after(at, delay, Step::Isolate { host, is_isolated });
                    }
                }
            }
            "platform_rewind" => {
                self.after(at, Duration::ZERO, Step::Restore(gap));
                self.after(at, RELIST_TIME, Step::Relist);
            }
            "platform_compact" => {
                let mut delay = Duration::ZERO;
                while delay <= lasts {
                    self.after(at, delay, Step::Compact);
                    delay += Duration::from_secs(1);
                }
                if event.is("rewind") {
                    self.after(at, lasts, Step::Rewind(Duration::from_secs(1)));
                }
            }
            _ => self.leave_out(event),
        }
    }

    /// Changes the links of hosts to the store for the time of an event.
    fn cut(&mut self, at: Instant, event: &Event, state: State) {
        for host in self.draw_hosts(event) {
            self.after(at, Duration::ZERO, Step::Link { host, state });
            let state = State::Open;
            self.after(at, event.lasts, Step::Link { host, state });
        }
    }

    /// Makes links to the store or to engines lossy for the time of an event, or both.
    fn make_lossy(&mut self, at: Instant, event: &Event) {
        let per_mille = (event.x.unwrap_or(LOSS_SHARE) * 1000.0).ceil() as u32;
        let state = State::Lossy(per_mille);
        if !event.is("engines") {
            self.cut(at, event, state);
        }
        if !event.is("store") {
            // Links to engines that read prompts are lossy as well.
            let engines = self.site.engine_links.len();
            let count = event.count_of(engines);
            for engine in (0..engines).sample(&mut self.random, count) {
                self.after(at, Duration::ZERO, Step::EngineLink { engine, state });
                let state = State::Open;
                self.after(at, event.lasts, Step::EngineLink { engine, state });
            }
        }
    }

    /// Notes an event that is not played.
    fn leave_out(&mut self, event: &Event) {
        let words = [&event.kind, &event.how, &event.service].map(String::as_str);
        let words = words.into_iter().filter(|word| !word.is_empty());
        self.left_out.insert(words.collect::<Vec<_>>().join(" "));
    }
}
