//! Prompt parts that crash engines: which part is barred, and which requests are refused
//! with it.

use std::time::{Duration, Instant};

use cranberryridge_policy::gateway::part::{Crash, Evidence, Loss, Settings, Table, PROBATION};
use cranberryridge_wire::id::{Digest, Incarnation};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const FIRST: Digest = Digest([1, 0]);
const SECOND: Digest = Digest([2, 0]);
const CULPRIT: Digest = Digest([3, 0]);

/// Returns a time in seconds after a fixed start.
fn seconds(start: Instant, seconds: f64) -> Instant {
    start + Duration::from_secs_f64(seconds)
}

/// Records at a table that a crash of an endpoint at a time ended a run with these parts,
/// which was sent 0.2 s before.
fn crash(table: &mut Table, endpoint: u64, at: Instant, parts: &[Digest]) {
    for part in parts {
        let crash = Crash {
            endpoint: Incarnation(endpoint),
            at,
        };
        let sent_at = at - Duration::from_millis(200);
        table.record_loss(at, *part, Loss { crash, sent_at }, true);
    }
}

/// Returns a table that has seen three crashes of requests with the culprit, one second
/// apart.
fn table_with_culprit(start: Instant) -> Table {
    let mut table = Table::new(Settings::default());
    for round in 1..=3 {
        let at = seconds(start, round as f64);
        crash(&mut table, round, at, &[FIRST, SECOND, CULPRIT]);
    }
    table
}

/// Returns a table that has seen the same, and then a run with the other parts.
fn table_with_proven_culprit(start: Instant) -> Table {
    let mut table = table_with_culprit(start);
    for part in [FIRST, SECOND] {
        table.record_proof(part, seconds(start, 3.0));
    }
    table
}

#[test]
fn parts_beside_the_culprit_are_not_refused_without_it() {
    let start = Instant::now();
    let mut table = table_with_culprit(start);
    let now = seconds(start, 3.1);
    assert!(table.admit(now, &[FIRST, SECOND, CULPRIT]).is_err());
    assert_eq!(table.admit(now, &[FIRST, SECOND]), Ok(()));
    // The run with these parts proves them harmless, so the culprit alone is left.
    assert!(table.record_proof(FIRST, now));
    assert!(table.record_proof(SECOND, now));
    assert!(table.admit(now, &[CULPRIT]).is_err());
    assert_eq!(table.admit(now, &[SECOND]), Ok(()));
}

#[test]
fn the_part_that_all_crashes_share_is_the_culprit() {
    let start = Instant::now();
    let mut table = table_with_culprit(start);
    for round in 4..=5 {
        let at = seconds(start, round as f64);
        crash(&mut table, round, at, &[FIRST, SECOND]);
    }
    let now = seconds(start, 5.1);
    // The earlier suspect explains three of the five, and the others all.
    assert!(table.admit(now, &[FIRST, SECOND]).is_err());
    assert_eq!(table.admit(now, &[CULPRIT]), Ok(()));
    for round in 6..=7 {
        let at = seconds(start, round as f64);
        crash(&mut table, round, at, &[FIRST]);
    }
    let now = seconds(start, 7.1);
    assert!(table.admit(now, &[FIRST]).is_err());
    assert_eq!(table.admit(now, &[SECOND]), Ok(()));
}

/// The host that sent the culprit ended with the crash, or its caller had left.
#[test]
fn a_crash_whose_culprit_was_not_observed_bars_no_part_beside_it() {
    let start = Instant::now();
    let mut table = table_with_culprit(start);
    crash(&mut table, 4, seconds(start, 4.0), &[FIRST, SECOND]);
    let now = seconds(start, 4.1);
    assert_eq!(table.admit(now, &[FIRST, SECOND]), Ok(()));
    assert!(table.admit(now, &[FIRST, SECOND, CULPRIT]).is_err());
}

#[test]
fn a_rack_that_fails_with_all_its_runs_three_times_bars_nothing() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    for round in 1..=3 {
        for endpoint in 0..4 {
            let at = seconds(start, 2.0 * round as f64 + 0.01 * endpoint as f64);
            crash(&mut table, 10 * round + endpoint, at, &[FIRST, SECOND]);
        }
    }
    assert_eq!(table.admit(seconds(start, 7.0), &[FIRST, SECOND]), Ok(()));
}

#[test]
fn runs_that_overlap_count_once() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    for endpoint in 0..9 {
        let at = seconds(start, 1.0 + 0.11 * endpoint as f64);
        let loss = Loss {
            crash: Crash {
                endpoint: Incarnation(endpoint),
                at,
            },
            sent_at: start,
        };
        table.record_loss(at, FIRST, loss, true);
    }
    assert_eq!(table.admit(seconds(start, 3.0), &[FIRST]), Ok(()));
}

#[test]
fn crashes_at_the_same_time_bar_a_part_in_the_end() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    for round in 1..=6 {
        for endpoint in 0..3 {
            let at = seconds(start, 0.5 * round as f64);
            crash(&mut table, 10 * round + endpoint, at, &[CULPRIT]);
        }
    }
    assert!(table.admit(seconds(start, 3.1), &[CULPRIT]).is_err());
}

#[test]
fn a_run_sent_before_a_crash_is_no_proof_after_it() {
    let start = Instant::now();
    let mut table = table_with_proven_culprit(start);
    assert!(table.record_proof(CULPRIT, seconds(start, 1.5)));
    crash(&mut table, 4, seconds(start, 4.0), &[CULPRIT]);
    let now = seconds(start, 4.1);
    assert!(table.admit(now, &[CULPRIT]).is_err(), "three crashes since");
    assert!(!table.record_proof(CULPRIT, seconds(start, 0.5)));
    assert!(table.admit(now, &[CULPRIT]).is_err());
    assert!(table.record_proof(CULPRIT, seconds(start, 4.0)));
    assert_eq!(table.admit(now, &[CULPRIT]), Ok(()));
}

#[test]
fn messages_count_in_any_order_and_once() {
    let start = Instant::now();
    let now = seconds(start, 3.1);
    let table = table_with_culprit(start);
    let mut evidence = table.evidence();
    evidence.push((FIRST, Evidence::Proof(now)));
    for reversed in [false, true] {
        let mut other = Table::new(Settings::default());
        if reversed {
            evidence.reverse();
        }
        for (part, evidence) in evidence.iter().chain(&evidence) {
            other.record(now, *part, *evidence, false);
        }
        // Another host's clock may put the same crash a little later.
        for (part, evidence) in &evidence {
            if let Evidence::Loss(mut loss) = *evidence {
                loss.crash.at += Duration::from_millis(50);
                assert!(!other.record_loss(now, *part, loss, false));
            }
        }
        assert!(other.admit(now, &[FIRST, SECOND, CULPRIT]).is_err());
        assert_eq!(other.admit(now, &[FIRST]), Ok(()));
    }
}

/// A host that is paused as an engine crashes notices the loss of its run only when it goes
/// on. It may be the one that sent the culprit, or another.
#[test]
fn a_loss_that_is_noticed_late_counts_for_the_crash_that_caused_it() {
    let start = Instant::now();
    for (prompt, late) in [([FIRST, CULPRIT], FIRST), ([FIRST, CULPRIT], CULPRIT)] {
        for late_comes_first in [false, true] {
            let mut table = Table::new(Settings::default());
            for round in 1..=3 {
                let at = seconds(start, 4.0 * round as f64);
                let noticed_at = at + Duration::from_secs(3);
                let loss = |at| Loss {
                    crash: Crash {
                        endpoint: Incarnation(round),
                        at,
                    },
                    sent_at: seconds(start, 4.0 * round as f64 - 0.2),
                };
                let late_loss = (late, loss(noticed_at));
                let in_time = prompt.into_iter().filter(|part| *part != late);
                let mut losses = in_time.map(|part| (part, loss(at))).collect::<Vec<_>>();
                let index = if late_comes_first { 0 } else { losses.len() };
                losses.insert(index, late_loss);
                for (part, loss) in losses {
                    table.record_loss(noticed_at, part, loss, true);
                }
            }
            let now = seconds(start, 16.0);
            assert!(table.admit(now, &prompt).is_err(), "{late:?}");
            let others = [FIRST, SECOND];
            assert_eq!(
                table.admit(now, &others),
                Ok(()),
                "{late:?} {late_comes_first}"
            );
        }
    }
}

/// A message that waits at a paused host puts its crash too late, so that the proofs of others
/// do not refute it.
#[test]
fn a_host_that_hears_of_crashes_late_is_told_of_proofs_again() {
    let start = Instant::now();
    let (mut host, mut late) = (table_with_culprit(start), Table::new(Settings::default()));
    for (part, evidence) in host.evidence() {
        if let (FIRST | SECOND, Evidence::Loss(mut loss)) = (part, evidence) {
            loss.crash.at += Duration::from_secs(3);
            loss.sent_at += Duration::from_secs(3);
            late.record_loss(loss.crash.at, part, loss, false);
        }
    }
    for step in 0..40 {
        let sent_at = seconds(start, 3.1 + 0.2 * f64::from(step));
        for part in [FIRST, SECOND] {
            if host.record_proof(part, sent_at) {
                late.record_proof(part, sent_at);
            }
        }
    }
    assert_eq!(late.admit(seconds(start, 12.0), &[FIRST, SECOND]), Ok(()));
}

#[test]
fn a_lapsed_bar_is_tried_by_one_request_at_a_time() {
    let start = Instant::now();
    let mut table = table_with_proven_culprit(start);
    let settings = Settings::default();
    let end = seconds(start, 3.0) + settings.retention;
    let before = end - Duration::from_millis(1);
    assert_eq!(
        table.admit(before, &[CULPRIT]),
        Err(Duration::from_millis(1))
    );
    assert_eq!(table.admit(end, &[CULPRIT]), Ok(()));
    assert_eq!(table.barred_time(end, &[CULPRIT]), None);
    let next = end + Duration::from_millis(100);
    assert!(table.admit(next, &[CULPRIT]).is_err(), "one at a time");
    // The trial crashes an endpoint, so the bar begins anew.
    crash(&mut table, 9, next, &[CULPRIT]);
    let wait = table.admit(next, &[CULPRIT]).unwrap_err();
    assert_eq!(wait, settings.retention);
    assert_eq!(table.barred_time(next, &[CULPRIT]), Some(wait));
    // The next trial is proof, so all may.
    let end = next + settings.retention;
    assert_eq!(table.admit(end, &[CULPRIT]), Ok(()));
    assert!(table.record_proof(CULPRIT, end));
    assert_eq!(table.admit(end, &[CULPRIT]), Ok(()));
    assert_eq!(table.admit(end, &[CULPRIT]), Ok(()));
}

#[test]
fn hosts_that_only_heard_of_the_last_crash_try_later() {
    let start = Instant::now();
    let table = table_with_proven_culprit(start);
    let settings = Settings::default();
    let mut other = Table::new(settings);
    for (part, evidence) in table.evidence() {
        other.record(seconds(start, 3.0), part, evidence, false);
    }
    let end = seconds(start, 3.0) + settings.retention;
    assert_eq!(other.admit(end, &[CULPRIT]), Err(settings.trial_delay));
    assert_eq!(other.admit(end + settings.trial_delay, &[CULPRIT]), Ok(()));
}

#[test]
fn a_full_table_keeps_barred_parts() {
    let start = Instant::now();
    let mut table = table_with_proven_culprit(start);
    for number in 0..2 * Settings::default().max_parts as u64 {
        let at = seconds(start, 4.0 + number as f64 * 0.2);
        crash(&mut table, 100 + number, at, &[Digest([0, number])]);
    }
    assert!(table.evidence().len() <= Settings::default().max_parts + 8);
    assert!(table.admit(seconds(start, 500.0), &[CULPRIT]).is_err());
}

/// Records at a table that requests with these parts, and one of their own each, arrive
/// over 20 s from a time on.
fn arrive(table: &mut Table, from: Instant, parts: &[Digest]) {
    let random = &mut StdRng::seed_from_u64(1);
    for number in 0..200 {
        let parts = [parts, &[Digest([8, number])]].concat();
        let at = from + Duration::from_millis(100) * number as u32;
        table.record_arrival(at, "model", &parts, random);
    }
}

#[test]
fn a_part_that_most_requests_have_is_tried_soon_and_ever_less_often() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    arrive(&mut table, start, &[FIRST]);
    let mut now = start + Duration::from_secs(20);
    for round in 0..3 {
        now += Duration::from_secs(2);
        assert_eq!(table.admit(now, &[FIRST]), Ok(()));
        crash(&mut table, round, now, &[FIRST]);
    }
    let retention = Settings::default().retention;
    let (mut trials, mut last_wait) = (0, Duration::ZERO);
    let end = now + retention;
    while now < end {
        let wait = table.admit(now, &[FIRST]).unwrap_err();
        assert!(wait > last_wait && wait <= retention, "{wait:?}");
        assert_eq!(table.barred_time(now, &[FIRST]), Some(wait));
        (now, last_wait) = (now + wait, wait);
        assert_eq!(table.admit(now, &[FIRST]), Ok(()));
        assert!(table.admit(now, &[FIRST]).is_err(), "one at a time");
        crash(&mut table, 100 + trials, now, &[FIRST]);
        trials += 1;
    }
    assert!((4..=8).contains(&trials), "{trials}");
    assert!(last_wait >= retention / 2, "{last_wait:?}");
}

/// A caller may repeat a request so often that few others arrive beside it.
#[test]
fn a_part_that_many_requests_lack_is_not_tried_soon() {
    let start = Instant::now();
    let later = start + Duration::from_secs(20);
    let retention = Settings::default().retention;
    let (mut table, random) = (
        Table::new(Settings::default()),
        &mut StdRng::seed_from_u64(2),
    );
    for number in 0..1000 {
        let at = start + Duration::from_millis(number);
        table.record_arrival(at, "model", &[CULPRIT], random);
    }
    for round in 0..3 {
        let at = later + Duration::from_secs(2 * round);
        crash(&mut table, round, at, &[CULPRIT]);
    }
    let now = later + Duration::from_secs(4);
    assert_eq!(table.admit(now, &[CULPRIT]), Err(retention));
    // Requests to another service have parts of their own.
    arrive(&mut table, later, &[CULPRIT]);
    for number in 0..100 {
        let at = later + Duration::from_millis(200) * number;
        table.record_arrival(at, "other", &[FIRST], random);
    }
    let wait = table.admit(now, &[CULPRIT]).unwrap_err();
    assert!(wait < retention / 10, "{wait:?}");
    for number in 0..32 {
        let at = later + Duration::from_secs(20) + Duration::from_millis(200) * number;
        table.record_arrival(at, "model", &[FIRST], random);
    }
    assert_eq!(table.admit(now, &[CULPRIT]), Err(retention));
}

/// Services come and go with the configuration, and the table must not grow with them.
#[test]
fn requests_of_a_service_are_forgotten_after_many_others() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    arrive(&mut table, start, &[FIRST]);
    let later = start + Duration::from_secs(20);
    for round in 0..3 {
        let at = later + Duration::from_secs(2 * round);
        crash(&mut table, round, at, &[FIRST]);
    }
    let now = later + Duration::from_secs(4);
    let retention = Settings::default().retention;
    assert!(table.admit(now, &[FIRST]).unwrap_err() < retention);
    let random = &mut StdRng::seed_from_u64(4);
    for service in 0..1000 {
        table.record_arrival(now, &format!("service-{service}"), &[], random);
    }
    assert_eq!(table.admit(now, &[FIRST]), Err(retention));
}

/// The hosts that sent the culprit ended with the crashes, or its callers had left.
#[test]
fn crashes_whose_culprits_were_not_observed_refuse_others_only_for_a_while() {
    let start = Instant::now();
    let (mut table, random) = (
        Table::new(Settings::default()),
        &mut StdRng::seed_from_u64(3),
    );
    for number in 0..1200 {
        let at = start + Duration::from_millis(20) * number;
        let second = if number % 12 == 0 { CULPRIT } else { SECOND };
        table.record_arrival(at, "model", &[FIRST, second], random);
    }
    for (round, second) in [(20, None), (22, None), (24, Some(CULPRIT))] {
        let at = start + Duration::from_secs(round);
        crash(&mut table, round, at, &[FIRST, SECOND]);
        if let Some(second) = second {
            crash(&mut table, round, at, &[second]);
        }
    }
    let crashed_at = start + Duration::from_secs(24);
    assert!(table.admit(crashed_at, &[FIRST, SECOND]).is_err());
    let now = crashed_at + Duration::from_secs(6);
    assert_eq!(table.admit(now, &[FIRST, SECOND]), Ok(()));
    for part in [FIRST, SECOND] {
        table.record_proof(part, now);
    }
    // The culprit still counts as it did.
    for round in [31, 33] {
        let at = start + Duration::from_secs(round);
        crash(&mut table, round, at, &[FIRST, CULPRIT]);
    }
    let now = start + Duration::from_secs(34);
    assert_eq!(table.admit(now, &[FIRST, SECOND]), Ok(()));
    assert!(table.admit(now, &[FIRST, CULPRIT]).is_err());
}

/// A day of hosts, engines and requests, some of which have a part that crashes engines.
struct Day {
    random: StdRng,
    /// Decides which requests hosts take into their samples.
    sampling: StdRng,
    hosts: Vec<Table>,
    /// Time of the next start of each engine, or `None` while it runs.
    engines: Vec<Option<f64>>,
    runs: Vec<Run>,
    /// Evidence on its way to all hosts but one, with the time of its arrival.
    mail: Vec<(f64, usize, Digest, Evidence)>,
    start: Instant,
    unobserved_share: f64,
}

/// A run of a request.
struct Run {
    host: usize,
    engine: usize,
    parts: Vec<Digest>,
    sent_at: f64,
    first_event_at: f64,
    ends_at: f64,
    is_proven: bool,
}

/// Parameters of a day.
#[derive(Debug)]
struct Plan {
    hosts: usize,
    engines: usize,
    /// Requests with the culprit a second, or zero.
    crashing_rate: f64,
    sound_rate: f64,
    /// Position of the culprit among the parts, from 0 to 2.
    position: usize,
    /// Number of rare parts that sound requests and those with the culprit have as their
    /// second one.
    rare_parts: u64,
    /// Time of a failure of a quarter of the engines, three times in a row, or `None`.
    rack_fails_at: Option<f64>,
    /// Number of failures of the first engine, each soon after it is back. The first is
    /// after [`FIRST_FAILURE_SECONDS`].
    lone_failures: usize,
    /// Share of the crashed runs with the culprit that nobody observes, as their hosts end or
    /// their callers leave.
    unobserved_share: f64,
}

/// What a day did.
#[derive(Debug, Default)]
struct Outcome {
    crashes: usize,
    /// Requests with the culprit that were sent later than 3 s after the fifth crash.
    late_sends: usize,
    sound: usize,
    /// Sound requests that were refused.
    refused: usize,
    /// The same, of those that came later than 6 s after the fifth crash.
    late_sound: usize,
    late_refused: usize,
    /// The same, of those that came later than 12 s after the last failure of the first
    /// engine alone.
    recovered_sound: usize,
    recovered_refused: usize,
}

const DAY_SECONDS: f64 = 40.0;
const STEP_SECONDS: f64 = 0.01;
const MESSAGE_SECONDS: f64 = 0.02;
const RESTART_SECONDS: f64 = 2.0;
const FIRST_FAILURE_SECONDS: f64 = 13.0;

impl Day {
    /// Plays a day.
    fn play(seed: u64, plan: &Plan) -> Outcome {
        let mut day = Self {
            random: StdRng::seed_from_u64(seed),
            sampling: StdRng::seed_from_u64(!seed),
            hosts: (0..plan.hosts)
                .map(|_| Table::new(Settings::default()))
                .collect(),
            engines: vec![None; plan.engines],
            runs: Vec::new(),
            mail: Vec::new(),
            start: Instant::now(),
            unobserved_share: plan.unobserved_share,
        };
        let mut outcome = Outcome::default();
        let mut crashes = Vec::new();
        let mut failures = Vec::new();
        let steps = (DAY_SECONDS / STEP_SECONDS) as usize;
        for step in 0..steps {
            let now = step as f64 * STEP_SECONDS;
            day.deliver(now);
            for engine in &mut day.engines {
                if engine.is_some_and(|back_at| back_at <= now) {
                    *engine = None;
                }
            }
            if let Some(at) = plan.rack_fails_at {
                let rounds = [at, at + 3.0, at + 6.0];
                if rounds
                    .iter()
                    .any(|round| (now - round).abs() < STEP_SECONDS / 2.0)
                {
                    for engine in 0..plan.engines / 4 {
                        day.crash(now, engine);
                    }
                }
            }
            let is_due = failures.len() < plan.lone_failures && now >= FIRST_FAILURE_SECONDS;
            // A run that just began shows that the engine is back.
            let mut runs = day.runs.iter().filter(|run| run.engine == 0);
            if is_due && runs.any(|run| !run.is_proven && now > run.sent_at + 0.04) {
                failures.push(now);
                day.crash(now, 0);
            }
            let recovered_at = failures.last().map(|at| at + RESTART_SECONDS + 12.0);
            day.advance(now, plan, &mut crashes);
            let learned = crashes.get(4).copied();
            if day.random.random_bool(plan.crashing_rate * STEP_SECONDS) {
                let is_sent = day.request(now, plan, true);
                let is_late = learned.is_some_and(|at: f64| now > at + 3.0);
                outcome.late_sends += usize::from(is_sent && is_late);
            }
            if day.random.random_bool(plan.sound_rate * STEP_SECONDS) {
                let is_sent = day.request(now, plan, false);
                let is_late = learned.is_some_and(|at: f64| now > at + 6.0);
                outcome.sound += 1;
                outcome.refused += usize::from(!is_sent);
                outcome.late_sound += usize::from(is_late);
                outcome.late_refused += usize::from(is_late && !is_sent);
                let has_recovered = recovered_at.is_some_and(|at| now > at);
                outcome.recovered_sound += usize::from(has_recovered);
                outcome.recovered_refused += usize::from(has_recovered && !is_sent);
            }
        }
        outcome.crashes = crashes.len();
        outcome
    }

    fn at(&self, time: f64) -> Instant {
        seconds(self.start, time + 1.0)
    }

    /// Delivers the messages that have arrived.
    fn deliver(&mut self, now: f64) {
        let at = self.at(now);
        let (arrived, rest) = self.mail.drain(..).partition(|mail| mail.0 <= now);
        self.mail = rest;
        for (_, from, part, evidence) in arrived {
            for (host, table) in self.hosts.iter_mut().enumerate() {
                if host != from {
                    table.record(at, part, evidence, false);
                }
            }
        }
    }

    /// Records evidence at a host, and tells the others.
    fn observe(&mut self, now: f64, host: usize, part: Digest, evidence: Evidence) {
        let at = self.at(now);
        if self.hosts[host].record(at, part, evidence, true) {
            self.mail
                .push((now + MESSAGE_SECONDS, host, part, evidence));
        }
    }

    /// Sends a request. Returns whether it was admitted.
    fn request(&mut self, now: f64, plan: &Plan, is_crashing: bool) -> bool {
        let rare = Digest([9, self.random.random_range(0..plan.rare_parts)]);
        let mut parts = vec![FIRST, rare];
        if is_crashing {
            parts.insert(plan.position, CULPRIT);
        } else if plan.position == 0 && self.random.random_bool(0.5) {
            parts[0] = SECOND;
        }
        let host = self.random.random_range(0..self.hosts.len());
        let at = self.at(now);
        self.hosts[host].record_arrival(at, "model", &parts, &mut self.sampling);
        if self.hosts[host].admit(at, &parts).is_err() {
            return false;
        }
        let running = (0..self.engines.len()).filter(|engine| self.engines[*engine].is_none());
        let running = running.collect::<Vec<_>>();
        if running.is_empty() {
            return true;
        }
        let engine = running[self.random.random_range(0..running.len())];
        let first_event_at = now + self.random.random_range(0.05..0.5);
        self.runs.push(Run {
            host,
            engine,
            parts,
            sent_at: now,
            first_event_at,
            ends_at: first_event_at + self.random.random_range(0.5..4.0),
            is_proven: false,
        });
        true
    }

    /// Advances the runs: first events, proofs and crashes.
    fn advance(&mut self, now: f64, plan: &Plan, crashes: &mut Vec<f64>) {
        let begins = |run: &&Run| run.parts.contains(&CULPRIT) && run.first_event_at <= now;
        let crashing = self.runs.iter().filter(begins).map(|run| run.engine);
        let mut crashing = crashing.collect::<Vec<_>>();
        crashing.sort_unstable();
        crashing.dedup();
        for engine in crashing {
            assert!(plan.crashing_rate > 0.0);
            crashes.push(now);
            self.crash(now, engine);
        }
        let probation = PROBATION.as_secs_f64();
        let mut proven = Vec::new();
        for run in &mut self.runs {
            if !run.is_proven && now >= run.first_event_at + probation {
                run.is_proven = true;
                proven.push((run.host, run.parts.clone(), run.sent_at));
            }
        }
        for (host, parts, sent_at) in proven {
            let sent_at = self.at(sent_at);
            for part in parts {
                self.observe(now, host, part, Evidence::Proof(sent_at));
            }
        }
        self.runs.retain(|run| now < run.ends_at);
    }

    /// Ends an engine with all its runs.
    fn crash(&mut self, now: f64, engine: usize) {
        self.engines[engine] = Some(now + RESTART_SECONDS);
        let lost = self.runs.extract_if(.., |run| run.engine == engine);
        for run in lost.collect::<Vec<_>>() {
            let is_culprit = run.parts.contains(&CULPRIT);
            let is_unobserved = is_culprit && self.sampling.random_bool(self.unobserved_share);
            if run.is_proven || is_unobserved {
                continue;
            }
            let crash = Crash {
                endpoint: Incarnation(engine as u64),
                at: self.at(now),
            };
            let sent_at = self.at(run.sent_at);
            for part in run.parts {
                self.observe(now, run.host, part, Evidence::Loss(Loss { crash, sent_at }));
            }
        }
    }
}

/// Random days with a culprit: few crashes, no late sends, and next to no sound request
/// refused.
#[test]
fn few_crashes_tell_the_culprit_and_no_other_part_is_barred() {
    let (mut crashes, mut refused, mut sound) = (0, 0, 0);
    let days = 300;
    for seed in 0..days {
        let mut random = StdRng::seed_from_u64(seed + 1000);
        let plan = Plan {
            hosts: random.random_range(1..8),
            engines: random.random_range(6..40),
            crashing_rate: random.random_range(0.3..6.0),
            sound_rate: random.random_range(1.0..30.0),
            position: random.random_range(0..3),
            rare_parts: [1, 5, 50, 100_000][random.random_range(0..4)],
            rack_fails_at: [None, Some(4.0)][random.random_range(0..2)],
            lone_failures: 0,
            unobserved_share: 0.0,
        };
        let outcome = Day::play(seed, &plan);
        assert!(
            outcome.late_sends <= 3,
            "seed {seed}: {plan:?}, {outcome:?}"
        );
        let served = 1.0 - outcome.late_refused as f64 / outcome.late_sound.max(1) as f64;
        assert!(served >= 0.95, "seed {seed}: {plan:?}, {outcome:?}");
        crashes += outcome.crashes;
        refused += outcome.refused;
        sound += outcome.sound;
    }
    println!("{crashes} crashes in {days} days, {refused} of {sound} sound requests refused");
}

#[test]
fn a_rack_that_fails_three_times_on_a_busy_day_bars_nothing() {
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed + 2000);
        let plan = Plan {
            hosts: random.random_range(1..8),
            engines: random.random_range(8..40),
            crashing_rate: 0.0,
            sound_rate: random.random_range(1.0..60.0),
            position: 2,
            rare_parts: [1, 5, 50, 100_000][random.random_range(0..4)],
            rack_fails_at: Some(10.0),
            lone_failures: 0,
            unobserved_share: 0.0,
        };
        let outcome = Day::play(seed, &plan);
        assert_eq!(outcome.refused, 0, "seed {seed}: {plan:?}, {outcome:?}");
    }
}

/// Faults of one engine, which no prompt causes, must not refuse all requests for the part
/// that they share.
#[test]
fn an_engine_that_fails_alone_bars_no_part_of_all_requests_for_long() {
    let (mut refused, mut sound) = (0, 0);
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed + 3000);
        let plan = Plan {
            hosts: random.random_range(1..4),
            engines: random.random_range(1..4),
            crashing_rate: 0.0,
            sound_rate: random.random_range(30.0..60.0),
            position: 2,
            rare_parts: [50, 100_000][random.random_range(0..2)],
            rack_fails_at: None,
            lone_failures: random.random_range(3..5),
            unobserved_share: 0.0,
        };
        let outcome = Day::play(seed, &plan);
        assert!(outcome.recovered_sound > 50, "seed {seed}: {outcome:?}");
        let served = 1.0 - outcome.recovered_refused as f64 / outcome.recovered_sound as f64;
        assert!(served >= 0.95, "seed {seed}: {plan:?}, {outcome:?}");
        refused += outcome.recovered_refused;
        sound += outcome.recovered_sound;
    }
    println!("{refused} of {sound} requests refused");
}

/// Crashes of which nobody observed the culprit's run speak against the parts beside it.
#[test]
fn culprits_that_are_seldom_observed_do_not_refuse_others_for_long() {
    let (mut crashes, mut refused, mut sound) = (0, 0, 0);
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed + 4000);
        let plan = Plan {
            hosts: random.random_range(1..5),
            engines: random.random_range(1..4),
            crashing_rate: random.random_range(0.5..3.0),
            sound_rate: random.random_range(15.0..40.0),
            position: 1,
            rare_parts: 1,
            rack_fails_at: None,
            lone_failures: 0,
            unobserved_share: random.random_range(0.3..0.7),
        };
        let outcome = Day::play(seed, &plan);
        assert!(
            outcome.refused * 2 < outcome.sound,
            "seed {seed}: {plan:?}, {outcome:?}"
        );
        crashes += outcome.crashes;
        refused += outcome.refused;
        sound += outcome.sound;
    }
    println!("{crashes} crashes, {refused} of {sound} sound requests refused");
}

/// Where endpoints take many requests at a time, each crash ends a run with the culprit and others
/// with what most requests have instead of it, and none is left to prove these harmless.
#[test]
fn a_part_of_most_requests_does_not_hide_the_culprit() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    arrive(&mut table, start, &[FIRST, SECOND]);
    let begin = start + Duration::from_secs(20);
    for round in 1..=4_u32 {
        let at = seconds(begin, f64::from(round));
        crash(&mut table, u64::from(round), at, &[FIRST, SECOND]);
        crash(&mut table, u64::from(round), at, &[FIRST, CULPRIT]);
    }
    let now = seconds(begin, 4.1);
    assert!(table.admit(now, &[FIRST, CULPRIT]).is_err());
    assert_eq!(table.admit(now, &[FIRST, SECOND]), Ok(()));
}

/// A part that seldom runs beside the culprit is not refused, though most requests have the culprit.
#[test]
fn a_culprit_that_most_requests_have_explains_crashes_of_other_parts() {
    let start = Instant::now();
    let mut table = Table::new(Settings::default());
    arrive(&mut table, start, &[FIRST, CULPRIT]);
    let begin = start + Duration::from_secs(20);
    for round in 1..=5_u32 {
        let at = seconds(begin, f64::from(round));
        crash(&mut table, u64::from(round), at, &[FIRST, CULPRIT]);
        if round <= 3 {
            crash(&mut table, u64::from(round), at, &[FIRST, SECOND]);
        }
    }
    let now = seconds(begin, 5.1);
    assert!(table.admit(now, &[FIRST, CULPRIT]).is_err());
    assert_eq!(table.admit(now, &[SECOND]), Ok(()));
}
