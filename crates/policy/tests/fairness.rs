//! Tests of what callers get where accounts and urgencies compete for too little room.

mod fixture;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::gateway::account::Urgency;
use cranberryridge_policy::gateway::balance;
use cranberryridge_policy::gateway::fairness::Clock;
use cranberryridge_policy::gateway::place::Need;
use cranberryridge_policy::gateway::pool;
use cranberryridge_policy::gateway::schedule::{Answer, Id, Request, Scheduler};

use fixture::{engines, ENGINE, SECOND};

/// Length of a step of a play.
const STEP: Duration = Duration::from_millis(10);

/// Time from a grant to the first event and to the last one.
const FIRST_EVENT: Duration = Duration::from_millis(200);
const RUN: Duration = Duration::from_millis(900);

/// Time that callers wait in all.
const DEADLINE: Duration = Duration::from_secs(14);

/// Worth of a late answer, relative to one on time.
const LATE_WORTH: f64 = 0.2;

/// Number of decode engines, which have room for some 80 runs of 900 ms, or 90 a second.
const DECODERS: usize = 10;

/// Mean number of requests a second that use all room.
const CAPACITY: f64 = 88.0;

/// A kind of request of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    account: &'static str,
    priority: u8,
}

/// Requests of a kind.
#[derive(Clone, Copy, Debug)]
struct Source {
    kind: Kind,
    per_second: f64,
    target: Duration,
    /// Factor of the requests from second 10 to second 16.
    surge: f64,
    sold: Option<f64>,
}

/// What the callers of a kind got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: f64,
    served: f64,
    worth: f64,
}

impl Outcome {
    fn served_share(&self) -> f64 {
        self.served / self.asked.max(1.0)
    }

    fn worth_share(&self) -> f64 {
        self.worth / self.asked.max(1.0)
    }
}

/// A request of a caller, over its tries.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    source: usize,
    arrived_at: Instant,
    is_return: bool,
}

/// Plays a load for 30 s. Callers come back once after a refusal.
fn play(sources: &[Source], seed: u64) -> BTreeMap<Kind, Outcome> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut scheduler = Scheduler::new(pool::Settings::default(), balance::Settings::default());
    scheduler.update(engines(8, DECODERS));
    let begin = Instant::now();
    let mut outcomes = BTreeMap::<Kind, Outcome>::new();
    let mut open = BTreeMap::<u64, Attempt>::new();
    let mut running = Vec::<(Instant, Id)>::new();
    let mut returns = Vec::<(Instant, Attempt)>::new();
    let mut number = 0;
    for step in 0..4500u32 {
        let now = begin + STEP * step;
        let second = (STEP * step).as_secs_f64();
        let mut arriving = Vec::new();
        for (index, source) in sources.iter().enumerate().filter(|_| second < 30.0) {
            let is_surge = (10.0..16.0).contains(&second);
            let factor = if is_surge { source.surge } else { 1.0 };
            let mean = source.per_second * factor * STEP.as_secs_f64();
            let count = mean as u32 + u32::from(random.random_bool(mean.fract()));
            for _ in 0..count {
                outcomes.entry(source.kind).or_default().asked += 1.0;
                arriving.push(Attempt {
                    source: index,
                    arrived_at: now,
                    is_return: false,
                });
            }
        }
        returns.retain(|(at, attempt)| {
            let is_due = *at <= now;
            if is_due {
                arriving.push(*attempt);
            }
            !is_due
        });
        for attempt in arriving {
            let source = sources[attempt.source];
            let need = Need {
                prompt_tokens: random.random_range(1000..5000),
                output_tokens: 69,
                max_event_gap: Duration::from_millis(300),
            };
            let Kind { account, priority } = source.kind;
            let service = "model".into();
            let named = (!account.is_empty()).then_some((account, source.sold));
            let excess = scheduler.record_arrival(now, &service, ENGINE, need, named);
            number += 1;
            let patience = (source.target * 4).max(SECOND * 2);
            let request = Request {
                service,
                domain: "a".into(),
                account: account.into(),
                urgency: Urgency {
                    priority,
                    route_priority: priority,
                },
                excess,
                need,
                first_event_target: attempt.arrived_at + source.target,
                first_event_deadline: (now + patience).min(attempt.arrived_at + DEADLINE),
                was_refused: attempt.is_return,
                excluded: Vec::new(),
                version: None,
                requested_at: now,
            };
            scheduler.enqueue(now, Id { link: 1, number }, request, ENGINE);
            open.insert(number, attempt);
        }
        running.retain(|(ends_at, id)| {
            let is_over = *ends_at <= now;
            if is_over {
                scheduler.finish(*id, Some((now, Duration::from_millis(55))));
            }
            !is_over
        });
        while let Some((id, answer)) = scheduler.next_answer(now, "model", ENGINE, &mut random) {
            let attempt = open.remove(&id.number).unwrap();
            let source = sources[attempt.source];
            let outcome = outcomes.get_mut(&source.kind).unwrap();
            match answer {
                Answer::Grant(_) => {
                    scheduler.record_first_event(now, id);
                    running.push((now + RUN, id));
                    let is_on_time = now + FIRST_EVENT <= attempt.arrived_at + source.target;
                    outcome.served += 1.0;
                    outcome.worth += if is_on_time { 1.0 } else { LATE_WORTH };
                }
                Answer::Refusal(saturation) => {
                    let at = now + saturation.retry_after;
                    if !attempt.is_return && at < attempt.arrived_at + DEADLINE {
                        let attempt = Attempt {
                            is_return: true,
                            ..attempt
                        };
                        returns.push((at, attempt));
                    }
                }
            }
        }
    }
    outcomes
}

/// Sums what callers got in several plays.
fn sum(plays: impl IntoIterator<Item = BTreeMap<Kind, Outcome>>) -> BTreeMap<Kind, Outcome> {
    let mut total = BTreeMap::<Kind, Outcome>::new();
    for (kind, outcome) in plays.into_iter().flatten() {
        let entry = total.entry(kind).or_default();
        entry.asked += outcome.asked;
        entry.served += outcome.served;
        entry.worth += outcome.worth;
    }
    total
}

const SEEDS: std::ops::Range<u64> = 0..5;

// Guards against urgent requests that wait behind others: they were served less often, and later,
// than less urgent ones in a surge.
#[test]
fn urgent_requests_are_served_first_and_none_is_starved() {
    let source = |priority: u8, part: f64, target_ms| Source {
        kind: Kind {
            account: "",
            priority,
        },
        per_second: CAPACITY * part,
        target: Duration::from_millis(target_ms),
        surge: 2.2,
        sold: None,
    };
    let sources = [
        source(0, 0.22, 800),
        source(1, 0.38, 1000),
        source(2, 0.3, 2000),
    ];
    let outcomes = sum(SEEDS.map(|seed| play(&sources, seed)));
    println!("{outcomes:?}");
    let outcomes = outcomes.into_values().collect::<Vec<_>>();
    for pair in outcomes.windows(2) {
        let (urgent, other) = (pair[0], pair[1]);
        assert!(urgent.served_share() >= other.served_share() - 0.05);
        assert!(urgent.worth_share() >= other.worth_share() - 0.15);
    }
    assert!(outcomes[0].worth_share() >= 0.95);
    let served = outcomes.iter().map(|outcome| outcome.served).sum::<f64>();
    let asked = outcomes.iter().map(|outcome| outcome.asked).sum::<f64>();
    assert!(outcomes[2].served_share() >= 0.25 * served / asked);
}

// Guards against the least urgent requests that never run, as more urgent ones ask for all room.
#[test]
fn the_least_urgent_requests_are_not_starved_by_a_lasting_surge() {
    let source = |priority, part| Source {
        kind: Kind {
            account: "",
            priority,
        },
        per_second: CAPACITY * part,
        target: SECOND,
        surge: 1.0,
        sold: None,
    };
    let outcomes = sum(SEEDS.map(|seed| play(&[source(0, 1.2), source(2, 0.2)], seed)));
    println!("{outcomes:?}");
    let served = outcomes.values().map(|outcome| outcome.served).sum::<f64>();
    let asked = outcomes.values().map(|outcome| outcome.asked).sum::<f64>();
    for outcome in outcomes.values() {
        assert!(outcome.served_share() >= 0.25 * served / asked);
    }
}

/// Names of the accounts, the largest first.
const ACCOUNTS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// Returns the requests of accounts of falling size, which together ask for `load` of all room.
fn accounts(load: f64, surging: &[&str], surge: f64, is_sold: bool) -> Vec<Source> {
    let sizes = (0..ACCOUNTS.len()).map(|index| 1.0 / (index + 1) as f64);
    let total = sizes.clone().sum::<f64>();
    let sources = ACCOUNTS.iter().zip(sizes).map(|(account, size)| {
        let per_second = CAPACITY * load * size / total;
        let mean_tokens = 3069.0;
        Source {
            kind: Kind {
                account,
                priority: 1,
            },
            per_second,
            target: SECOND,
            surge: if surging.contains(account) {
                surge
            } else {
                1.0
            },
            sold: is_sold.then_some(1.8 * per_second * mean_tokens),
        }
    });
    sources.collect()
}

// Guards against the surge of one account that takes the room of all.
#[test]
fn a_surge_of_accounts_costs_others_little() {
    let calm = sum(SEEDS.map(|seed| play(&accounts(0.7, &[], 1.0, true), seed)));
    let cases: [&[&str]; 5] = [&["a"], &["d"], &["h"], &["a", "c"], &["b", "e", "h"]];
    for is_sold in [true, false] {
        for surging in cases {
            let sources = accounts(0.7, surging, 7.5, is_sold);
            let outcomes = sum(SEEDS.map(|seed| play(&sources, seed)));
            let lost = |kind: &Kind| calm[kind].worth_share() - outcomes[kind].worth_share();
            let others = outcomes
                .keys()
                .filter(|kind| !surging.contains(&kind.account));
            let losses = others.clone().map(|kind| (kind.account, lost(kind)));
            println!(
                "sold {is_sold}, {surging:?}: {:?}",
                losses.clone().collect::<Vec<_>>()
            );
            let largest = losses.map(|(_, lost)| lost).fold(0.0, f64::max);
            assert!(
                largest <= 0.05,
                "sold {is_sold}, {surging:?}: {largest} lost"
            );
            let served = outcomes.values().map(|outcome| outcome.served).sum::<f64>();
            let asked = outcomes.values().map(|outcome| outcome.asked).sum::<f64>();
            for (kind, outcome) in &outcomes {
                let share = outcome.served_share();
                assert!(share >= 0.25 * served / asked, "{kind:?}: {share} served");
            }
        }
    }
}

// Guards against accounts that lose by their size while all ask for more than there is.
#[test]
fn a_surge_of_all_accounts_is_shared_by_need() {
    let sources = accounts(0.9, &ACCOUNTS, 2.0, true);
    let outcomes = sum(SEEDS.map(|seed| play(&sources, seed)));
    let worth = outcomes.values().map(Outcome::worth_share);
    println!("{:?}", worth.clone().collect::<Vec<_>>());
    let mean = worth.clone().sum::<f64>() / outcomes.len() as f64;
    let worst = worth.fold(1.0, f64::min);
    assert!(worst >= mean - 0.15, "{worst} of {mean}");
}

// Guards against accounts that are taken for surging as their requests come at random, so that
// small requests no longer go first.
#[test]
fn few_requests_are_in_excess_in_calm() {
    let begin = Instant::now();
    for seed in SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut clock = Clock::default();
        let sizes = (1..=16)
            .map(|rank| 1.0 / f64::from(rank))
            .collect::<Vec<_>>();
        let total = sizes.iter().sum::<f64>();
        let (mut asked, mut excess) = (0, 0);
        for step in 0..12_000 {
            let now = begin + STEP * step;
            for (account, size) in sizes.iter().enumerate() {
                let per_second = 43.0 * size / total;
                if random.random_bool(per_second * STEP.as_secs_f64()) {
                    let sold = per_second * 3069.0 / 0.55;
                    let tokens = random.random_range(1069..5069);
                    asked += 1;
                    let rank = clock.charge(now, &account.to_string(), Some(sold), tokens);
                    excess += u32::from(rank > 0);
                }
            }
        }
        assert!(excess * 10 < asked, "{excess} of {asked} in excess");
    }
}
