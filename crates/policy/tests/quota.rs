//! Tests of quotas that many hosts keep together, on days of hosts that fail.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use cranberryridge_policy::gateway::account::{Quota, Unit};
use cranberryridge_policy::gateway::quota::{Decision, Denial, Ledger, Settings, Standing, Wallet};

/// Number of entry hosts.
const HOSTS: usize = 29;

/// Hosts that become the ledger, in order of preference.
const CANDIDATES: usize = 3;

/// Length of a step of a day.
const STEP: Duration = Duration::from_millis(20);

/// Silence after which both ends of a link take it for lost.
const LINK_TIMEOUT: Duration = Duration::from_millis(1300);

/// Interval at which a ledger recomputes its share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Time in which a lower quota must be in force.
const APPLY_TIME: Duration = Duration::from_secs(3);

const NAME: &str = "branch";

fn tokens(rate: f64, burst: f64) -> Quota {
    Quota {
        rate,
        burst,
        unit: Unit::Tokens { unstated: 200 },
    }
}

/// Settings of a deployment: a tenth and 140,000 units may be used beyond a quota.
fn settings() -> Settings {
    Settings {
        slack: 140_000.0,
        ..Settings::default()
    }
}

/// Fault of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// The host reaches no other host, but endpoints.
    Cut,
    /// The host does nothing, and goes on with what it knew.
    Frozen,
    /// The host is gone, and comes back knowing nothing.
    Killed,
}

struct Host {
    wallet: Wallet,
    ledger: Ledger,
    fault: Option<(Fault, Instant)>,
    /// Time of the last contact with each candidate, if the link is up.
    contacts: [Option<Instant>; CANDIDATES],
    /// Candidate that the host lends to.
    ledger_of: Option<usize>,
}

impl Host {
    fn new() -> Self {
        Self {
            wallet: Wallet::new(settings()),
            ledger: Ledger::new(settings()),
            fault: None,
            contacts: [None; CANDIDATES],
            ledger_of: None,
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault.is_some_and(|(current, _)| current == fault)
    }

    fn is_running(&self) -> bool {
        !self.has(Fault::Frozen) && !self.has(Fault::Killed)
    }
}

/// A deployment of many hosts with one account.
struct Day {
    begin: Instant,
    now: Instant,
    hosts: Vec<Host>,
    quota: Quota,
    /// Quotas with the time from which each was in force.
    quotas: Vec<(Instant, Quota)>,
    /// Units that ran, with their times.
    runs: Vec<(Instant, u32)>,
    refused: usize,
}

impl Day {
    /// Starts all hosts, and waits until they know each other.
    fn new(quota: Quota) -> Self {
        let begin = Instant::now();
        let mut day = Self {
            begin,
            now: begin,
            hosts: (0..HOSTS).map(|_| Host::new()).collect(),
            quota,
            quotas: vec![(begin, quota)],
            runs: Vec::new(),
            refused: 0,
        };
        (0..150).for_each(|_| day.step());
        day
    }

    fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        self.quotas.push((self.now, quota));
    }

    fn reaches(&self, host: usize, other: usize) -> bool {
        let (from, to) = (&self.hosts[host], &self.hosts[other]);
        let is_cut = from.has(Fault::Cut) || to.has(Fault::Cut);
        from.is_running() && to.is_running() && (host == other || !is_cut)
    }

    /// Lets time pass, and moves links and shares.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        for host in 0..HOSTS {
            if let Some((fault, _)) = self.hosts[host].fault.filter(|(_, until)| now >= *until) {
                self.hosts[host].fault = None;
                if fault == Fault::Killed {
                    self.hosts[host] = Host::new();
                }
            }
        }
        for host in 0..HOSTS {
            for other in 0..CANDIDATES {
                self.update_link(host, other);
            }
            let up = |other: &usize| self.hosts[host].contacts[*other].is_some();
            let next = (0..CANDIDATES).find(up);
            let previous = self.hosts[host].ledger_of;
            if self.hosts[host].is_running() && next != previous {
                if let Some(previous) = previous {
                    self.hosts[previous].ledger.remove_lender(host as u64);
                }
                if let Some(next) = next {
                    self.hosts[next].ledger.add_lender(now, host as u64);
                }
                self.hosts[host].ledger_of = next;
            }
        }
        let elapsed = now - self.begin;
        if elapsed
            .as_millis()
            .is_multiple_of(UPDATE_INTERVAL.as_millis())
        {
            for host in self.hosts.iter_mut().filter(|host| host.is_running()) {
                host.ledger.update(now, HOSTS, true);
            }
        }
    }

    /// Opens the link of a host to a candidate, or closes it behind a silence.
    fn update_link(&mut self, host: usize, other: usize) {
        let now = self.now;
        let is_reset = self.hosts[host].has(Fault::Killed) || self.hosts[other].has(Fault::Killed);
        if self.reaches(host, other) {
            self.hosts[host].contacts[other] = Some(now);
            return;
        }
        let contact = self.hosts[host].contacts[other];
        let is_lost = contact.is_some_and(|at| is_reset || now >= at + LINK_TIMEOUT);
        if !is_lost {
            return;
        }
        // A frozen end notices once it is thawed.
        if self.hosts[other].is_running() {
            self.hosts[other].ledger.remove_lender(host as u64);
        }
        if !self.hosts[host].has(Fault::Frozen) {
            self.hosts[host].contacts[other] = None;
            if self.hosts[host].ledger_of == Some(other) {
                self.hosts[host].ledger_of = None;
            }
        }
    }

    /// Draws units at the ledger of a host.
    fn draw(&mut self, host: usize, needed: u32, wanted: u32) -> Result<u32, Denial> {
        let Some(ledger) = self.hosts[host].ledger_of else {
            return Err(Denial::NotLent);
        };
        if !self.reaches(host, ledger) {
            return Err(Denial::NotLent);
        }
        let (now, quota) = (self.now, self.quota);
        let ledger = &mut self.hosts[ledger].ledger;
        ledger.draw(now, NAME, quota, needed, wanted)
    }

    /// Sends a request to a host. Returns whether it ran.
    fn request(&mut self, host: usize, cost: u32) -> bool {
        if !self.hosts[host].is_running() {
            return false;
        }
        let (now, quota) = (self.now, self.quota);
        let share = 1.0 / HOSTS as f64;
        let standing = match self.hosts[host].ledger_of {
            Some(_) => Standing::Linked,
            None => Standing::Alone { share },
        };
        let wallet = &mut self.hosts[host].wallet;
        wallet.record_demand(now, NAME, cost);
        let runs = match wallet.charge(now, NAME, quota, cost, standing) {
            Decision::Granted { prefetch } => {
                if prefetch > 0 {
                    let drawn = self.draw(host, 0, prefetch);
                    let wallet = &mut self.hosts[host].wallet;
                    if let Ok(units) = drawn {
                        wallet.receive(now, now, NAME, quota, units, 0);
                    }
                    wallet.finish_prefetch(NAME);
                }
                true
            }
            Decision::Refused(_) => false,
            Decision::Draw { needed, wanted } => {
                let drawn = self.draw(host, needed, wanted);
                let wallet = &mut self.hosts[host].wallet;
                match drawn {
                    Ok(units) => wallet.receive(now, now, NAME, quota, units, needed),
                    Err(Denial::Exhausted(wait)) => {
                        assert!(wait > Duration::ZERO);
                        wallet.record_answer(NAME);
                        false
                    }
                    Err(Denial::NotLent) => {
                        let decision = wallet.charge_alone(now, NAME, quota, cost, share);
                        !matches!(decision, Decision::Refused(_))
                    }
                }
            }
        };
        if runs {
            self.runs.push((now, cost));
        } else {
            self.refused += 1;
        }
        runs
    }

    /// Breaks a third of the hosts at once.
    fn break_third(&mut self, fault: Fault, time: Duration, random: &mut impl Rng) {
        let first = random.random_range(0..HOSTS);
        for host in (0..HOSTS / 3).map(|index| (first + index) % HOSTS) {
            self.hosts[host].fault = Some((fault, self.now + time));
        }
    }

    /// Sends requests for a time, `per_second` units at hosts that `choose` picks.
    fn send<R: Rng>(
        &mut self,
        time: Duration,
        per_second: f64,
        random: &mut R,
        mut choose: impl FnMut(&mut R) -> usize,
    ) {
        let until = self.now + time;
        let mut due = 0.0;
        while self.now < until {
            self.step();
            due += per_second * STEP.as_secs_f64();
            while due > 0.0 {
                let is_plain = random.random_bool(0.6);
                let cost = if is_plain {
                    200
                } else {
                    random.random_range(1500..6800)
                };
                due -= f64::from(cost);
                let host = choose(random);
                self.request(host, cost);
            }
        }
    }

    /// Returns the units that ran since a time.
    fn used_since(&self, since: Instant) -> f64 {
        let runs = self.runs.iter().filter(|(at, _)| *at > since);
        runs.map(|(_, units)| f64::from(*units)).sum()
    }

    /// Asserts that no window has more units than its quotas allow.
    fn assert_bounded(&self, label: &str) {
        let window = settings().window;
        let (mut first, mut sum) = (0, 0.0);
        for (at, units) in &self.runs {
            sum += f64::from(*units);
            while self.runs[first].0 + window <= *at {
                sum -= f64::from(self.runs[first].1);
                first += 1;
            }
            // A lower quota binds one window after it must be in force.
            let from = *at - window - APPLY_TIME;
            let changes = self.quotas.windows(2).filter(|pair| pair[1].0 > from);
            let earlier = changes.map(|pair| pair[0].1);
            let last = self.quotas.iter().rev().find(|(since, _)| since <= at);
            let quotas = earlier.chain(last.map(|(_, quota)| *quota));
            let bound = quotas.map(|quota| settings().bound(quota));
            let bound = bound.fold(0.0, f64::max);
            assert!(sum <= bound, "{label}: {sum} of {bound} units in a window");
        }
    }
}

/// Quotas of a small and of a large account.
const RATES: [f64; 2] = [36_000.0, 187_000.0];

// Guards against an account that gets more than it was sold, as hosts that do not reach each
// other give out the same units twice.
#[test]
fn no_window_exceeds_a_quota_while_a_third_of_the_hosts_fails() {
    for seed in 0..24 {
        for rate in RATES {
            for fault in [Fault::Cut, Fault::Frozen, Fault::Killed] {
                let mut random = StdRng::seed_from_u64(seed);
                let mut day = Day::new(tokens(rate, rate));
                for _ in 0..3 {
                    let calm = Duration::from_millis(random.random_range(500..6000));
                    let surge = rate * random.random_range(1.0..7.5);
                    let any = |random: &mut StdRng| random.random_range(0..HOSTS);
                    day.send(calm, surge, &mut random, any);
                    let time = Duration::from_millis(random.random_range(300..12_000));
                    day.break_third(fault, time, &mut random);
                    day.send(Duration::from_secs(9), surge, &mut random, any);
                }
                day.assert_bounded(&format!("seed {seed}, rate {rate}, {fault:?}"));
            }
        }
    }
}

// Guards against what was drawn at a higher quota being used for longer than the change may take.
#[test]
fn no_window_exceeds_a_quota_that_is_lowered_and_raised() {
    for seed in 0..24 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut day = Day::new(tokens(100_000.0, 100_000.0));
        for rate in [10_000.0, 60_000.0, 1_000.0, 300_000.0, 5_000.0] {
            let any = |random: &mut StdRng| random.random_range(0..HOSTS);
            day.send(Duration::from_secs(10), 200_000.0, &mut random, any);
            day.set_quota(tokens(rate, rate));
        }
        day.assert_bounded(&format!("seed {seed}"));
    }
}

// Guards against shares that leave most of a quota unused, as an account's callers meet few hosts.
#[test]
fn a_quota_can_be_used_at_few_hosts() {
    for rate in RATES {
        for hosts in [vec![17], vec![5, 23]] {
            let mut random = StdRng::seed_from_u64(1);
            let mut day = Day::new(tokens(rate, rate));
            let mut turn = 0;
            let mut choose = |_: &mut StdRng| {
                turn += 1;
                hosts[turn % hosts.len()]
            };
            day.send(Duration::from_secs(2), 2.0 * rate, &mut random, &mut choose);
            let since = day.now;
            day.send(Duration::from_secs(8), 2.0 * rate, &mut random, &mut choose);
            let used = day.used_since(since) / (8.0 * rate);
            assert!(used >= 0.9, "rate {rate}, hosts {hosts:?}: {used} used");
            day.assert_bounded("few hosts");
        }
    }
}

// Guards against refusals of accounts within their quotas, which are worth lost, while the ledger
// moves to another host.
#[test]
fn an_account_within_its_quota_is_served_while_the_ledger_fails() {
    for fault in [Fault::Killed, Fault::Cut, Fault::Frozen] {
        let rate = 187_000.0;
        let mut random = StdRng::seed_from_u64(3);
        let mut day = Day::new(tokens(rate, rate));
        let other = |random: &mut StdRng| random.random_range(CANDIDATES..HOSTS);
        day.send(Duration::from_secs(5), 0.55 * rate, &mut random, other);
        let (served, refused) = (day.runs.len(), day.refused);
        day.hosts[0].fault = Some((fault, day.now + Duration::from_secs(5)));
        day.send(Duration::from_secs(10), 0.55 * rate, &mut random, other);
        let (served, refused) = (day.runs.len() - served, day.refused - refused);
        let share = served as f64 / (served + refused) as f64;
        assert!(share >= 0.9, "{fault:?}: {share} served");
        day.assert_bounded(&format!("{fault:?}"));
    }
}

// Guards against an account that is refused as it has not asked for anything before.
#[test]
fn the_first_request_of_an_account_is_served() {
    let mut day = Day::new(tokens(36_000.0, 36_000.0));
    (0..100).for_each(|_| day.step());
    assert!(day.request(9, 5000));
}

// Guards against a request that is larger than the burst and would never run.
#[test]
fn a_request_larger_than_the_burst_runs_at_times() {
    let mut random = StdRng::seed_from_u64(1);
    let mut day = Day::new(tokens(2_000.0, 2_000.0));
    let mut served = 0;
    for _ in 0..3000 {
        day.step();
        served += usize::from(day.request(random.random_range(0..HOSTS), 6000));
    }
    // 60 s at a third of a request per second.
    assert!((15..=22).contains(&served), "{served} served");
}

// Guards against units of refused requests that are lost, so that a busy endpoint costs the account
// its quota.
#[test]
fn units_of_requests_that_did_not_run_are_used_again() {
    let (quota, now) = (tokens(36_000.0, 36_000.0), Instant::now());
    let mut wallet = Wallet::new(settings());
    assert!(wallet.receive(now, now, NAME, quota, 5000, 5000));
    let soon = now + Duration::from_millis(100);
    assert!(wallet.give_back(soon, NAME, quota, 5000, now));
    let decision = wallet.charge(soon, NAME, quota, 5000, Standing::Linked);
    assert!(matches!(decision, Decision::Granted { .. }));
    let late = now + settings().return_age(quota);
    assert!(!wallet.give_back(late, NAME, quota, 5000, now));
}

// Guards against an account that the ledger does not know, and that is refused for as long as the
// ledger answers for another one.
#[test]
fn an_account_unknown_to_the_ledger_uses_the_share_of_the_host() {
    let (quota, begin) = (tokens(36_000.0, 36_000.0), Instant::now());
    let mut wallet = Wallet::new(settings());
    let mut used = 0;
    for step in 0..1000 {
        let now = begin + STEP * step;
        assert!(wallet.receive(now, now, "other", quota, 200, 200));
        let decision = wallet.charge_alone(now, NAME, quota, 200, 0.1);
        used += if decision == (Decision::Granted { prefetch: 0 }) {
            200
        } else {
            0
        };
    }
    // 20 s at a tenth of the rate.
    assert!((68_000..76_000).contains(&used), "{used} used");
}

// Guards against a ledger that is slow now and then, and each time lets all hosts use units ahead.
#[test]
fn a_ledger_that_misses_answers_does_not_raise_a_quota() {
    let (quota, begin) = (tokens(36_000.0, 36_000.0), Instant::now());
    let mut wallet = Wallet::new(settings());
    let (mut drawn, mut alone) = (0.0, 0.0);
    for step in 0..400 {
        let now = begin + STEP * step;
        if step % 10 > 0 {
            wallet.receive(now, now, NAME, quota, 720, 720);
            drawn += 720.0;
        } else if !matches!(
            wallet.charge_alone(now, NAME, quota, 720, 0.0),
            Decision::Refused(_)
        ) {
            alone += 720.0;
        }
    }
    assert!(alone <= 0.15 * drawn, "{alone} beside {drawn} drawn");
}
