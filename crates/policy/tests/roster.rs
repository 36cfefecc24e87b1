//! Tests of the hosts' shares of the retry budget, over random series of restarts,
//! joins and outages of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use compact_str::{format_compact, CompactString};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::gateway::budget::{self, Budget};
use cranberryridge_policy::gateway::roster::{Roster, Settings};

/// Time between two steps of a series.
const STEP: Duration = Duration::from_millis(100);

/// Number of steps of a series.
const STEPS: u32 = 1800;

/// Retries that each request causes if the budget allows them.
const RETRIES_PER_REQUEST: u32 = 3;

/// A process of a host.
struct Process {
    name: CompactString,
    roster: Roster<()>,
    budget: Budget,
    /// Time of the next announcement and reading.
    next_round: Instant,
    /// Number of the last announcement that was read.
    read: u64,
    /// End of the time in which the store refuses this host.
    refused_until: Instant,
}

impl Process {
    fn new(now: Instant, name: CompactString) -> Self {
        Self {
            name,
            roster: Roster::new(Settings::default()),
            budget: Budget::new(budget::Settings::default()),
            next_round: now,
            read: 0,
            refused_until: now,
        }
    }

    /// Announces this host and reads the announcements of others.
    fn run_round(&mut self, now: Instant, store: &mut Announcements) {
        self.next_round = now + Settings::default().announce_interval;
        if now < self.refused_until {
            return;
        }
        store.last += 1;
        store.by_name.insert(self.name.clone(), store.last);
        store.removed.remove(&self.name);
        self.roster.record_announcement(now);
        for (name, number) in &store.by_name {
            if *number > self.read {
                self.roster.record(now, name.clone(), ());
            }
        }
        for (name, number) in &store.removed {
            if *number > self.read {
                self.roster.record_removal(now, name);
            }
        }
        self.read = store.last;
        self.roster.finish_reading(now);
        self.remove_announcements(now, store);
    }

    /// Removes the announcements of hosts that are gone, if this host is the one that does so.
    fn remove_announcements(&mut self, now: Instant, store: &mut Announcements) {
        let first = self.roster.iter().next().map(|(name, ())| name);
        if first != Some(&self.name) {
            return;
        }
        let names = self.roster.removable().cloned().collect::<Vec<_>>();
        for name in names {
            store.last += 1;
            store.by_name.remove(&name);
            self.roster.record_removal(now, &name);
            store.removed.insert(name, store.last);
        }
    }
}

/// Starts the processes of some hosts.
fn start_processes(begin: Instant, count: usize) -> Vec<Process> {
    let names = (0..count).map(|number| format_compact!("front-{number}"));
    names.map(|name| Process::new(begin, name)).collect()
}

/// The store's topic of announcements.
#[derive(Default)]
struct Announcements {
    /// Number of the last announcement.
    last: u64,
    /// Number of the last announcement of each host.
    by_name: BTreeMap<CompactString, u64>,
    /// Number of the removal of a host's announcement.
    removed: BTreeMap<CompactString, u64>,
}

/// Times of the requests and of the retries of all hosts.
#[derive(Default)]
struct Traffic {
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Traffic {
    /// Asserts that no window has more retries than are allowed.
    fn assert_within_budget(&self, seed: u64) {
        let settings = budget::Settings::default();
        let count = |times: &[Instant], from: Instant| {
            let before = times.partition_point(|at| *at < from);
            times.partition_point(|at| *at < from + settings.window) - before
        };
        for from in &self.retries {
            let (requests, retries) = (count(&self.requests, *from), count(&self.retries, *from));
            let allowed = settings.retries_per_request * requests as f64 + settings.fixed_retries;
            assert!(
                retries as f64 <= allowed,
                "seed {seed}: {retries} retries of {requests} requests"
            );
        }
    }
}

/// Injects one random fault, or none.
fn inject_fault(now: Instant, processes: &mut Vec<Process>, random: &mut StdRng) {
    let chosen = random.random_range(0..processes.len());
    let time = Duration::from_secs(random.random_range(1..60));
    match random.random_range(0..240) {
        0..4 => {
            let name = processes[chosen].name.clone();
            processes[chosen] = Process::new(now, name);
        }
        4 => {
            for process in processes {
                *process = Process::new(now, process.name.clone());
            }
        }
        5 => processes
            .iter_mut()
            .for_each(|process| process.refused_until = now + time),
        6..8 => processes[chosen].refused_until = now + time,
        8 if processes.len() < 8 => {
            let name = format_compact!("joined-{}", random.random::<u32>());
            processes.push(Process::new(now, name));
        }
        9 if processes.len() > 2 => drop(processes.remove(chosen)),
        _ => {}
    }
}

/// Runs a series of random faults under load.
fn run_series(seed: u64) -> Traffic {
    let mut random = StdRng::seed_from_u64(seed);
    let begin = Instant::now();
    let mut processes = start_processes(begin, random.random_range(2..6));
    let (mut store, mut traffic) = (Announcements::default(), Traffic::default());
    for step in 0..STEPS {
        let now = begin + STEP * step;
        inject_fault(now, &mut processes, &mut random);
        for process in &mut processes {
            if now >= process.next_round {
                process.run_round(now, &mut store);
            }
            process.budget.earn(now);
            traffic.requests.push(now);
            for _ in 0..RETRIES_PER_REQUEST {
                if process.budget.spend(now, process.roster.share(now)) {
                    traffic.retries.push(now);
                }
            }
        }
    }
    traffic
}

#[test]
fn no_series_of_restarts_joins_and_outages_exceeds_the_retry_budget() {
    for seed in 0..100 {
        run_series(seed).assert_within_budget(seed);
    }
}

#[test]
fn a_calm_site_may_spend_most_of_the_fixed_retries() {
    let begin = Instant::now();
    let names = ["front-1", "front-2", "front-3"];
    let mut processes = names.map(|name| Process::new(begin, name.into()));
    let mut store = Announcements::default();
    for step in 0..STEPS {
        let now = begin + STEP * step;
        for process in &mut processes {
            if now >= process.next_round {
                process.run_round(now, &mut store);
            }
        }
        if now >= begin + Duration::from_secs(25) {
            let total = processes.iter().map(|process| process.roster.share(now));
            assert!((total.sum::<f64>() - 1.0).abs() < 1e-9);
        }
    }
}

// Guards against hosts that are removed for good and count as there for whoever starts later.
#[test]
fn a_host_that_starts_does_not_count_those_that_are_gone() {
    let begin = Instant::now();
    let mut processes = start_processes(begin, 6);
    let mut store = Announcements::default();
    for step in 0..STEPS {
        let now = begin + STEP * step;
        if step == 300 {
            processes.truncate(2);
        }
        if step == 900 {
            let name = processes[1].name.clone();
            processes[1] = Process::new(now, name);
        }
        for process in &mut processes {
            if now >= process.next_round {
                process.run_round(now, &mut store);
            }
        }
        if step >= 900 {
            let counts = processes.iter().map(|process| process.roster.count());
            assert!(counts.into_iter().all(|count| count == 2), "step {step}");
        }
    }
    assert_eq!(store.by_name.len(), 2);
}

/// A host that the store refuses goes on to serve while the others forget it.
#[test]
fn a_host_that_others_may_have_removed_has_no_share() {
    let begin = Instant::now();
    let mut processes = start_processes(begin, 6);
    let mut store = Announcements::default();
    for step in 0..STEPS {
        let now = begin + STEP * step;
        for (index, process) in processes.iter_mut().enumerate() {
            if index > 0 && step == 300 {
                process.refused_until = now + Duration::from_secs(60);
            }
            if now >= process.next_round {
                process.run_round(now, &mut store);
            }
        }
        let total = processes.iter().map(|process| process.roster.share(now));
        assert!(total.sum::<f64>() <= 1.0 + 1e-9, "{step}");
    }
}

/// Announcements cannot arrive during an outage, so their absence says nothing.
#[test]
fn hosts_are_not_forgotten_because_of_an_outage() {
    let begin = Instant::now();
    let mut roster = Roster::new(Settings::default());
    for name in ["front-1", "front-2"] {
        roster.record(begin, name.into(), ());
    }
    roster.finish_reading(begin);
    let back = begin + Duration::from_secs(120);
    roster.record(back, "front-1".into(), ());
    roster.finish_reading(back);
    assert_eq!(roster.count(), 2);
    for second in [10, 20, 30] {
        let now = back + Duration::from_secs(second);
        roster.record(now, "front-1".into(), ());
        roster.finish_reading(now);
    }
    assert_eq!(roster.count(), 1);
}
