//! The scheduler's decisions, step by step and under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::gateway::balance;
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_policy::gateway::place::{Need, Scope};
use cranberryridge_policy::gateway::pool::{self, Pool, Trouble, Work};
use cranberryridge_policy::gateway::route::Engine;
use cranberryridge_policy::gateway::schedule::{Answer, Ask, Grant, Id, Schedule};

const SECOND: Duration = Duration::from_secs(1);

const ENGINE: Engine = Engine {
    slots: 64,
    memory: 10_000,
    stride: 11,
    reservation: SECOND,
};

const NEED: Need = Need {
    prompt: 3000,
    output: 700,
    pause: Duration::from_millis(300),
};

/// Prefill engines `p0`.. and decode engines `d0`...
fn engines(prefill: usize, decode: usize) -> Vec<Endpoint> {
    let engine = |id: String, phase| Endpoint {
        id: id.as_str().into(),
        born: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        service: "model".into(),
        domain: "a".into(),
        phase: Some(phase),
        slots: 64,
        draining: false,
    };
    let readers = (0..prefill).map(|n| engine(format!("p{n}"), Phase::Prefill));
    let others = (0..decode).map(|n| engine(format!("d{n}"), Phase::Decode));
    readers.chain(others).collect()
}

fn id(number: u64) -> Id {
    Id { link: 1, number }
}

fn ask(now: Instant) -> Ask {
    Ask {
        service: "model".into(),
        domain: "a".into(),
        need: NEED,
        target: now + SECOND,
        patience: now + 4 * SECOND,
        returns: false,
        avoid: Vec::new(),
    }
}

/// A scheduler of two prefill engines and some decode engines, each with room
/// for two requests.
fn scheduler(decode: usize) -> (Schedule, Instant, StdRng) {
    let mut schedule = Schedule::new(pool::Settings::default(), balance::Settings::default());
    schedule.update(engines(2, decode));
    (schedule, Instant::now(), StdRng::seed_from_u64(7))
}

/// Asks for one request, and returns the endpoints it gets at once.
fn grant(schedule: &mut Schedule, now: Instant, id: Id, random: &mut StdRng) -> Option<Grant> {
    schedule.ask(now, id, ask(now), ENGINE);
    match schedule.next(now, "model", ENGINE, random)? {
        (granted, Answer::Grant(grant)) if granted == id => Some(grant),
        other => panic!("not for {id:?}: {other:?}"),
    }
}

#[test]
fn memory_is_given_out_once() {
    let (mut schedule, now, mut random) = scheduler(2);
    let granted = (0..4).map(|n| grant(&mut schedule, now, id(n), &mut random));
    let mut at = granted
        .map(|grant| grant.unwrap().decode)
        .collect::<Vec<_>>();
    at.sort();
    assert_eq!(at, ["d0", "d0", "d1", "d1"]);
    assert_eq!(grant(&mut schedule, now, id(4), &mut random), None);
    assert!(schedule.waits(id(4)));
    schedule.finish(id(0), None);
    let next = schedule.next(now, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((next, Answer::Grant(_))) if next == id(4)));
}

#[test]
fn prompts_are_spread_over_their_readers() {
    let (mut schedule, now, mut random) = scheduler(4);
    let mut prefill = || {
        let number = random.random();
        let grant = grant(&mut schedule, now, id(number), &mut random);
        grant.and_then(|grant| grant.prefill)
    };
    assert_ne!(prefill(), prefill());
}

/// Events that cross between failure domains are dear, and so are KV caches.
#[test]
fn work_stays_in_the_callers_failure_domain_while_that_has_room() {
    let (mut schedule, now, mut random) = scheduler(0);
    let domains = ["a", "b", "c"];
    let engines = engines(3, 6).into_iter().enumerate();
    let engines = engines.map(|(n, engine)| Endpoint {
        domain: domains[n % 3].into(),
        ..engine
    });
    let engines = engines.collect::<Vec<_>>();
    schedule.update(engines.clone());
    let domain = |id: &str| {
        let engine = engines.iter().find(|engine| engine.id == id);
        engine.unwrap().domain.clone()
    };
    // Two engines of domain `a` have room for two requests each.
    for number in 0..4 {
        let grant = grant(&mut schedule, now, id(number), &mut random).unwrap();
        assert_eq!(domain(&grant.decode), "a", "request {number}");
        if number == 0 {
            assert_eq!(domain(&grant.prefill.unwrap()), "a");
        }
    }
    let grant = grant(&mut schedule, now, id(4), &mut random).unwrap();
    assert_ne!(domain(&grant.decode), "a", "there is room elsewhere");
}

#[test]
fn what_a_host_has_ends_with_its_link_and_counts_at_the_next_scheduler() {
    let (mut schedule, now, mut random) = scheduler(1);
    for number in 0..2 {
        schedule.hold(id(number), "d0", 3700);
    }
    let other = Id { link: 2, number: 1 };
    assert_eq!(grant(&mut schedule, now, other, &mut random), None);
    schedule.leave(1);
    let next = schedule.next(now, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((next, Answer::Grant(_))) if next == other));
    schedule.leave(2);
    assert!(!schedule.waits(other));
}

#[test]
fn a_request_without_a_chance_is_refused_at_once() {
    let (mut schedule, now, mut random) = scheduler(1);
    // Runs of a second, at an engine with room for two.
    for number in 0..2 {
        grant(&mut schedule, now, id(number), &mut random).unwrap();
    }
    let mut refused = 0;
    for number in 2..40 {
        schedule.ask(now, id(number), ask(now), ENGINE);
        let next = schedule.next(now, "model", ENGINE, &mut random);
        if let Some((_, Answer::Refusal(outlook))) = next {
            assert!(outlook.wait >= 4 * SECOND, "{outlook:?}");
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert!(refused < 38, "some can still be served");
}

/// This answers surges, in which small requests take all room as it comes.
#[test]
fn in_a_surge_large_requests_are_told_at_once_to_come_back() {
    let (mut schedule, begin, mut random) = scheduler(2);
    let small = Need {
        prompt: 1000,
        output: 400,
        ..NEED
    };
    let large = Need {
        prompt: 6000,
        output: 2000,
        ..NEED
    };
    // Two engines do five small ones in a second; ten come.
    let mut refused = Vec::new();
    let mut granted = 0;
    let mut ends = std::collections::VecDeque::new();
    for step in 0..40u32 {
        let now = begin + SECOND * step / 10;
        while ends.front().is_some_and(|(end, _)| *end <= now) {
            let (_, number) = ends.pop_front().unwrap();
            schedule.finish(id(number), None);
        }
        let number = u64::from(step);
        let need = if step % 10 == 9 { large } else { small };
        let ask = Ask { need, ..ask(now) };
        schedule.ask(now, id(number), ask, ENGINE);
        while let Some((of, answer)) = schedule.next(now, "model", ENGINE, &mut random) {
            match answer {
                Answer::Grant(_) => {
                    granted += 1;
                    schedule.began(now, of);
                    ends.push_back((now + 2 * SECOND, of.number));
                }
                Answer::Refusal(outlook) => refused.push((step, of.number, outlook.wait)),
            }
        }
    }
    assert!(granted >= 20, "{granted}");
    // The first large one comes before much is known of the surge.
    for number in [19, 29, 39] {
        let row = refused.iter().find(|row| row.1 == number);
        let (step, _, wait) = row.unwrap_or_else(|| panic!("{number}: {refused:?}"));
        assert!(*step <= number as u32 + 1, "held until {step}");
        assert!((2 * SECOND..20 * SECOND).contains(wait), "{wait:?}");
    }
    let returns = Ask {
        need: large,
        returns: true,
        ..ask(begin + 4 * SECOND)
    };
    schedule.ask(begin + 4 * SECOND, id(50), returns, ENGINE);
    let next = schedule.next(begin + 4 * SECOND, "model", ENGINE, &mut random);
    let other = !matches!(next, Some((of, Answer::Refusal(_))) if of == id(50));
    assert!(other, "one that came back is not sent away again");
}

#[test]
fn an_endpoint_without_room_is_left_alone_for_a_while() {
    let (mut schedule, now, mut random) = scheduler(1);
    schedule.trouble(now, "d0", Trouble::Full);
    assert_eq!(grant(&mut schedule, now, id(0), &mut random), None);
    let later = now + SECOND / 4;
    let next = schedule.next(later, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((_, Answer::Grant(_)))));
}

/// What callers got.
#[derive(Debug, Default)]
struct Result {
    /// Requests that were sent.
    sent: u32,
    /// Requests whose room was refused at an engine at least once.
    refused: u32,
    /// Requests that had room within 100 ms.
    soon: u32,
}

/// Engines as they are, whoever chooses.
struct Site {
    /// Memory in use, by the number of the decode engine.
    used: Vec<u32>,
    /// Runs: when they end, where, which, and their memory.
    runs: BinaryHeap<Reverse<(u64, usize, u64, u32)>>,
}

/// Thirty hosts share forty decode engines. Requests come in bursts at up to
/// nine tenths of what the engines can hold.
fn play(mut choose: impl FnMut(u64, usize, u64, &mut Site) -> bool) -> Result {
    let mut random = StdRng::seed_from_u64(11);
    let mut site = Site {
        used: vec![0; 40],
        runs: BinaryHeap::new(),
    };
    let mut result = Result::default();
    let mut waiting = Vec::<(u64, usize, u64)>::new();
    let mut number = 0;
    for at in (0..20_000).step_by(5) {
        let rate = if at % 5000 < 2500 { 0.004 } else { 0.002 };
        for host in 0..30 {
            if random.random_bool(rate) {
                waiting.push((number, host, at));
                number += 1;
                result.sent += 1;
            }
        }
        let mut refused = 0;
        waiting.retain(|&(number, host, since)| {
            let placed = choose(at, host, number, &mut site);
            if placed && at - since <= 100 {
                result.soon += 1;
            }
            refused += u32::from(!placed && at == since);
            !placed
        });
        result.refused += refused;
    }
    result
}

/// Runs a request of three seconds at an engine, if that has room.
fn run(site: &mut Site, at: u64, number: u64, engine: &str) -> bool {
    let tokens = NEED.prompt + NEED.output;
    let engine = engine[1..].parse::<usize>().unwrap();
    if site.used[engine] + tokens > ENGINE.memory {
        return false;
    }
    site.used[engine] += tokens;
    site.runs.push(Reverse((at + 3000, engine, number, tokens)));
    true
}

/// Ends runs, and tells their numbers.
fn end(site: &mut Site, at: u64) -> Vec<u64> {
    let mut ended = Vec::new();
    while let Some(Reverse((end, engine, number, tokens))) = site.runs.peek().copied() {
        if end > at {
            break;
        }
        site.runs.pop();
        site.used[engine] -= tokens;
        ended.push(number);
    }
    ended
}

/// This answers bursts at many hosts, each of which sees a small part of the
/// load.
#[test]
fn hosts_that_share_engines_lose_little_through_a_scheduler() {
    let begin = Instant::now();
    let now = |at| begin + Duration::from_millis(at);

    let pools = (0..30).map(|_| Pool::new(pool::Settings::default()));
    let mut pools = pools.collect::<Vec<_>>();
    for pool in &mut pools {
        pool.update(engines(4, 40));
        pool.count_hosts(30);
    }
    let mut random = StdRng::seed_from_u64(3);
    let mut work = std::collections::HashMap::<u64, (usize, Work)>::new();
    let alone = play(|at, host, number, site| {
        for number in end(site, at) {
            if let Some((host, work)) = work.remove(&number) {
                pools[host].finish(work);
            }
        }
        let scope = Scope {
            service: "model",
            domain: "a",
            avoid: &[],
        };
        let pool = &mut pools[host];
        let Some(endpoint) = pool.decode(now(at), scope, ENGINE, NEED, &mut random) else {
            return false;
        };
        let engine = pool.get(endpoint).unwrap().endpoint.id.clone();
        if !run(site, at, number, &engine) {
            pool.trouble(now(at), endpoint, Trouble::Full);
            return false;
        }
        let tokens = NEED.prompt + NEED.output;
        let sent = Work {
            endpoint,
            unread: 0,
            tokens,
        };
        pool.start(sent);
        work.insert(number, (host, sent));
        true
    });

    let (mut schedule, _, mut random) = scheduler(40);
    let mut placed = std::collections::HashSet::<u64>::new();
    let together = play(|at, _, number, site| {
        for number in end(site, at) {
            schedule.finish(id(number), None);
        }
        if !placed.contains(&number) && !schedule.waits(id(number)) {
            schedule.ask(now(at), id(number), ask(now(at)), ENGINE);
        }
        while let Some((granted, answer)) = schedule.next(now(at), "model", ENGINE, &mut random) {
            let Answer::Grant(grant) = answer else {
                continue;
            };
            schedule.began(now(at), granted);
            assert!(run(site, at, granted.number, &grant.decode), "given twice");
            placed.insert(granted.number);
        }
        placed.contains(&number)
    });

    assert_eq!(alone.sent, together.sent);
    let share = |part: u32, of: &Result| f64::from(part) / f64::from(of.sent);
    assert!(share(together.soon, &together) > 0.97, "{together:?}");
    assert!(
        together.refused * 5 < alone.refused,
        "{alone:?} {together:?}"
    );
}
