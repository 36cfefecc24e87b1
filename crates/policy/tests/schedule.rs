//! Tests the scheduler's decisions one by one and under load.

mod fixture;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use compact_str::CompactString;

use cranberryridge_policy::gateway::account::Urgency;
use cranberryridge_policy::gateway::balance;
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_policy::gateway::place::{Need, Scope};
use cranberryridge_policy::gateway::pool::{self, Failure, Pool, Work};
use cranberryridge_policy::gateway::route::Engine;
use cranberryridge_policy::gateway::schedule::{Answer, Grant, Id, Request, Scheduler};

use fixture::{engines, NEED, SECOND};

/// An engine with room for two requests of [`NEED`].
const ENGINE: Engine = Engine {
    slots: 64,
    kv_capacity: 10_000,
    tokens_per_event: 11,
    max_reservation: SECOND,
    cache_ttl: Duration::from_millis(500),
};

fn id(number: u64) -> Id {
    Id { link: 1, number }
}

fn request(now: Instant) -> Request {
    Request {
        service: "model".into(),
        domain: "a".into(),
        account: CompactString::default(),
        urgency: Urgency::default(),
        excess: 0,
        need: NEED,
        first_event_target: now + SECOND,
        first_event_deadline: now + 4 * SECOND,
        was_refused: false,
        excluded: Vec::new(),
        version: None,
        requested_at: now,
    }
}

/// Creates a scheduler with two prefill engines and some decode engines that
/// have room for two requests each.
fn scheduler(decode: usize) -> (Scheduler, Instant, StdRng) {
    let mut scheduler = Scheduler::new(pool::Settings::default(), balance::Settings::default());
    scheduler.update(engines(2, decode));
    (scheduler, Instant::now(), StdRng::seed_from_u64(7))
}

/// Queues one request and returns the endpoints that it gets at once.
fn grant(scheduler: &mut Scheduler, now: Instant, id: Id, random: &mut StdRng) -> Option<Grant> {
    scheduler.enqueue(now, id, request(now), ENGINE);
    match scheduler.next_answer(now, "model", ENGINE, random)? {
        (granted, Answer::Grant(grant)) if granted == id => Some(grant),
        other => panic!("answer for another request than {id:?}: {other:?}"),
    }
}

#[test]
fn memory_is_assigned_once() {
    let (mut scheduler, now, mut random) = scheduler(2);
    let granted = (0..4).map(|n| grant(&mut scheduler, now, id(n), &mut random));
    let mut at = granted
        .map(|grant| grant.unwrap().decode)
        .collect::<Vec<_>>();
    at.sort();
    assert_eq!(at, ["d0", "d0", "d1", "d1"]);
    assert_eq!(grant(&mut scheduler, now, id(4), &mut random), None);
    assert!(scheduler.is_queued(id(4)));
    scheduler.finish(id(0), None);
    let next = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((next, Answer::Grant(_))) if next == id(4)));
}

#[test]
fn prompts_are_spread_over_prefill_engines() {
    let (mut scheduler, now, mut random) = scheduler(4);
    let mut prefill = || {
        let number = random.random();
        let grant = grant(&mut scheduler, now, id(number), &mut random);
        grant.and_then(|grant| grant.prefill)
    };
    assert_ne!(prefill(), prefill());
}

/// Events and KV caches that cross failure domains are expensive.
#[test]
fn work_stays_in_the_callers_failure_domain_while_it_has_room() {
    let (mut scheduler, now, mut random) = scheduler(0);
    let domains = ["a", "b", "c"];
    let engines = engines(3, 6).into_iter().enumerate();
    let engines = engines.map(|(n, engine)| Endpoint {
        domain: domains[n % 3].into(),
        ..engine
    });
    let engines = engines.collect::<Vec<_>>();
    scheduler.update(engines.clone());
    let domain = |id: &str| {
        let engine = engines.iter().find(|engine| engine.id == id);
        engine.unwrap().domain.clone()
    };
    // Domain `a` has two decode engines, each with room for two requests.
    for number in 0..4 {
        let grant = grant(&mut scheduler, now, id(number), &mut random).unwrap();
        assert_eq!(domain(&grant.decode), "a", "request {number}");
        if number == 0 {
            assert_eq!(domain(&grant.prefill.unwrap()), "a");
        }
    }
    let grant = grant(&mut scheduler, now, id(4), &mut random).unwrap();
    assert_ne!(domain(&grant.decode), "a", "domain `a` is full");
}

#[test]
fn leases_end_with_their_link_and_count_at_the_next_scheduler() {
    let (mut scheduler, now, mut random) = scheduler(1);
    for number in 0..2 {
        scheduler.restore_lease(id(number), "d0", 3700);
    }
    let other = Id { link: 2, number: 1 };
    assert_eq!(grant(&mut scheduler, now, other, &mut random), None);
    scheduler.remove_link(1);
    let next = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((next, Answer::Grant(_))) if next == other));
    scheduler.remove_link(2);
    assert!(!scheduler.is_queued(other));
}

#[test]
fn unservable_request_is_refused_at_once() {
    let (mut scheduler, now, mut random) = scheduler(1);
    // The runs fill an engine with room for two requests.
    for number in 0..2 {
        grant(&mut scheduler, now, id(number), &mut random).unwrap();
    }
    let mut refused = 0;
    for number in 2..40 {
        scheduler.enqueue(now, id(number), request(now), ENGINE);
        let next = scheduler.next_answer(now, "model", ENGINE, &mut random);
        if let Some((_, Answer::Refusal(saturation))) = next {
            assert!(saturation.retry_after >= 4 * SECOND, "{saturation:?}");
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert!(refused < 38, "some requests can still be served");
}

/// Guards against holding large requests until their deadline during a surge,
/// in which small requests take all room as it becomes free.
#[test]
fn large_requests_are_refused_at_once_in_a_surge() {
    let (mut scheduler, begin, mut random) = scheduler(2);
    let small = Need {
        prompt_tokens: 1000,
        output_tokens: 400,
        ..NEED
    };
    let large = Need {
        prompt_tokens: 6000,
        output_tokens: 2000,
        ..NEED
    };
    // Two engines complete five small requests per second, and ten arrive.
    let mut refused = Vec::new();
    let mut granted = 0;
    let mut running_until = std::collections::VecDeque::new();
    for step in 0..40u32 {
        let now = begin + SECOND * step / 10;
        while running_until.front().is_some_and(|(end, _)| *end <= now) {
            let (_, number) = running_until.pop_front().unwrap();
            scheduler.finish(id(number), None);
        }
        let number = u64::from(step);
        let need = if step % 10 == 9 { large } else { small };
        let request = Request {
            need,
            ..request(now)
        };
        scheduler.enqueue(now, id(number), request, ENGINE);
        while let Some((of, answer)) = scheduler.next_answer(now, "model", ENGINE, &mut random) {
            match answer {
                Answer::Grant(_) => {
                    granted += 1;
                    scheduler.record_first_event(now, of);
                    running_until.push_back((now + 2 * SECOND, of.number));
                }
                Answer::Refusal(saturation) => {
                    refused.push((step, of.number, saturation.retry_after))
                }
            }
        }
    }
    assert!(granted >= 20, "{granted} granted");
    // The first large request arrives before the surge is measured.
    for number in [19, 29, 39] {
        let row = refused.iter().find(|row| row.1 == number);
        let (step, _, wait) = row.unwrap_or_else(|| panic!("{number}: {refused:?}"));
        assert!(*step <= number as u32 + 1, "held until {step}");
        assert!((2 * SECOND..20 * SECOND).contains(wait), "{wait:?}");
    }
    let returns = Request {
        need: large,
        was_refused: true,
        ..request(begin + 4 * SECOND)
    };
    scheduler.enqueue(begin + 4 * SECOND, id(50), returns, ENGINE);
    let next = scheduler.next_answer(begin + 4 * SECOND, "model", ENGINE, &mut random);
    let other = !matches!(next, Some((of, Answer::Refusal(_))) if of == id(50));
    assert!(other, "a retry is not refused again");
}

#[test]
fn full_endpoint_is_skipped_during_its_backoff() {
    let (mut scheduler, now, mut random) = scheduler(1);
    scheduler.record_failure(now, "d0", Failure::Full);
    assert_eq!(grant(&mut scheduler, now, id(0), &mut random), None);
    let later = now + SECOND / 4;
    let next = scheduler.next_answer(later, "model", ENGINE, &mut random);
    assert!(matches!(next, Some((_, Answer::Grant(_)))));
}

/// Outcome of a simulation.
#[derive(Debug, Default)]
struct Result {
    /// Number of requests.
    sent: u32,
    /// Requests that an engine refused at least once.
    refused: u32,
    /// Requests that had room within 100 ms.
    prompt_grants: u32,
}

/// Actual state of the engines, independent of who chooses.
struct Cluster {
    /// Memory in use by decode engine, in tokens.
    used: Vec<u32>,
    /// Runs as end time, engine, request number and memory.
    runs: BinaryHeap<Reverse<(u64, usize, u64, u32)>>,
}

/// Simulates thirty hosts that share forty decode engines. Requests come in
/// bursts of up to nine tenths of the engines' capacity.
fn simulate(mut choose: impl FnMut(u64, usize, u64, &mut Cluster) -> bool) -> Result {
    let mut random = StdRng::seed_from_u64(11);
    let mut cluster = Cluster {
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
            let placed = choose(at, host, number, &mut cluster);
            if placed && at - since <= 100 {
                result.prompt_grants += 1;
            }
            refused += u32::from(!placed && at == since);
            !placed
        });
        result.refused += refused;
    }
    result
}

/// Runs a request for three seconds if the engine has room.
fn run(cluster: &mut Cluster, at: u64, number: u64, engine: &str) -> bool {
    let tokens = NEED.prompt_tokens + NEED.output_tokens;
    let engine = engine[1..].parse::<usize>().unwrap();
    if cluster.used[engine] + tokens > ENGINE.kv_capacity {
        return false;
    }
    cluster.used[engine] += tokens;
    cluster
        .runs
        .push(Reverse((at + 3000, engine, number, tokens)));
    true
}

/// Ends the runs that are over and returns their request numbers.
fn end(cluster: &mut Cluster, at: u64) -> Vec<u64> {
    let mut ended = Vec::new();
    while let Some(Reverse((end, engine, number, tokens))) = cluster.runs.peek().copied() {
        if end > at {
            break;
        }
        cluster.runs.pop();
        cluster.used[engine] -= tokens;
        ended.push(number);
    }
    ended
}

/// Guards against refused reservations in bursts: each host sees only a small
/// part of the load and chooses engines that are full.
#[test]
fn scheduler_prevents_most_refusals_at_shared_engines() {
    let begin = Instant::now();
    let now = |at| begin + Duration::from_millis(at);

    let pools = (0..30).map(|_| Pool::new(pool::Settings::default()));
    let mut pools = pools.collect::<Vec<_>>();
    for pool in &mut pools {
        pool.update(engines(4, 40));
        pool.set_host_count(30);
    }
    let mut random = StdRng::seed_from_u64(3);
    let mut work = std::collections::HashMap::<u64, (usize, Work)>::new();
    let alone = simulate(|at, host, number, cluster| {
        for number in end(cluster, at) {
            if let Some((host, work)) = work.remove(&number) {
                pools[host].finish(work);
            }
        }
        let scope = Scope {
            service: "model",
            domain: "a",
            excluded: &[],
            version: None,
        };
        let pool = &mut pools[host];
        let Some(endpoint) = pool.choose_decoder(now(at), scope, ENGINE, NEED, &mut random) else {
            return false;
        };
        let engine = pool.get(endpoint).unwrap().endpoint.id.clone();
        if !run(cluster, at, number, &engine) {
            pool.record_failure(now(at), endpoint, Failure::Full);
            return false;
        }
        let kv_tokens = NEED.prompt_tokens + NEED.output_tokens;
        let sent = Work {
            endpoint,
            prefill_tokens: 0,
            kv_tokens,
        };
        pool.start(sent);
        work.insert(number, (host, sent));
        true
    });

    let (mut scheduler, _, mut random) = scheduler(40);
    let mut placed = std::collections::HashSet::<u64>::new();
    let together = simulate(|at, _, number, cluster| {
        for number in end(cluster, at) {
            scheduler.finish(id(number), None);
        }
        if !placed.contains(&number) && !scheduler.is_queued(id(number)) {
            scheduler.enqueue(now(at), id(number), request(now(at)), ENGINE);
        }
        while let Some((granted, answer)) =
            scheduler.next_answer(now(at), "model", ENGINE, &mut random)
        {
            let Answer::Grant(grant) = answer else {
                continue;
            };
            scheduler.record_first_event(now(at), granted);
            assert!(
                run(cluster, at, granted.number, &grant.decode),
                "memory was assigned twice"
            );
            placed.insert(granted.number);
        }
        placed.contains(&number)
    });

    assert_eq!(alone.sent, together.sent);
    let share = |part: u32, of: &Result| f64::from(part) / f64::from(of.sent);
    assert!(
        share(together.prompt_grants, &together) > 0.97,
        "{together:?}"
    );
    assert!(
        together.refused * 5 < alone.refused,
        "{alone:?} {together:?}"
    );
}

/// A host whose engines all rest must not hold up the requests of others.
#[test]
fn a_request_that_must_avoid_all_engines_holds_up_no_other() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(pool::Settings::default(), balance::Settings::default());
    scheduler.update(engines(1, 2));
    let restricted = Request {
        excluded: vec!["d0".into(), "d1".into()],
        ..request(now)
    };
    scheduler.enqueue(now, id(1), restricted, ENGINE);
    scheduler.enqueue(now, id(2), request(now), ENGINE);
    let mut random = StdRng::seed_from_u64(1);
    let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(
        matches!(answer, Some((granted, Answer::Grant(_))) if granted == id(2)),
        "{answer:?}"
    );
    assert!(scheduler.is_queued(id(1)));
}

/// Start of the fixture's engines.
const STARTED_MS: u64 = 1;

// An engine that has started again under its id does not leave because its earlier start did.
#[test]
fn a_notice_of_an_earlier_start_is_ignored() {
    for (started_ms, is_used) in [(STARTED_MS - 1, true), (STARTED_MS, false)] {
        let now = Instant::now();
        let mut scheduler = Scheduler::new(pool::Settings::default(), balance::Settings::default());
        scheduler.update(engines(1, 1));
        scheduler.record_notice(now, "d0", started_ms, true, Duration::ZERO);
        let mut random = StdRng::seed_from_u64(1);
        scheduler.enqueue(now, id(1), request(now), ENGINE);
        let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
        let is_granted = matches!(answer, Some((_, Answer::Grant(_))));
        assert_eq!(is_granted, is_used, "start {started_ms}: {answer:?}");
    }
}

/// What one host hears from an endpoint at rest concerns that host. Others use the
/// endpoint if no other has room.
#[test]
fn a_rest_asked_of_one_host_makes_others_prefer_other_engines() {
    let now = Instant::now();
    let mut scheduler = Scheduler::new(pool::Settings::default(), balance::Settings::default());
    scheduler.update(engines(1, 2));
    scheduler.record_notice(now, "d0", STARTED_MS, false, 3 * SECOND);
    let mut random = StdRng::seed_from_u64(1);
    let mut granted = Vec::new();
    for number in 0..4 {
        scheduler.enqueue(now, id(number), request(now), ENGINE);
        let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
        if let Some((_, Answer::Grant(grant))) = answer {
            granted.push(grant.decode);
        }
    }
    assert_eq!(granted[..2], ["d1", "d1"], "{granted:?}");
    assert!(granted.contains(&"d0".into()), "{granted:?}");
}

/// Returns engines of which the first decode engine, `d0`, has version `v1.2`.
fn engines_of_two_versions(decode: usize) -> Vec<Endpoint> {
    let mut engines = engines(1, decode);
    engines[1].version = "v1.2".into();
    engines
}

/// Returns a request that needs a version.
fn version_request(now: Instant, version: &str) -> Request {
    Request {
        version: Some(version.into()),
        ..request(now)
    }
}

#[test]
fn requests_that_need_a_version_do_not_hold_up_others() {
    let (mut scheduler, now, mut random) = scheduler(0);
    scheduler.update(engines_of_two_versions(3));
    for number in 0..30 {
        scheduler.enqueue(now, id(number), version_request(now, "v1.2"), ENGINE);
    }
    scheduler.enqueue(now, id(30), request(now), ENGINE);
    let mut granted = Vec::new();
    while let Some((id, answer)) = scheduler.next_answer(now, "model", ENGINE, &mut random) {
        if let Answer::Grant(grant) = answer {
            let is_restricted = id.number < 30;
            assert_eq!(is_restricted, grant.decode == "d0", "{grant:?}");
            granted.push(id.number);
        }
    }
    assert!(granted.contains(&30), "{granted:?}");
}

#[test]
fn a_request_whose_version_no_engine_has_is_refused_at_once() {
    let (mut scheduler, now, mut random) = scheduler(0);
    scheduler.update(engines_of_two_versions(3));
    scheduler.enqueue(now, id(1), version_request(now, "v2"), ENGINE);
    let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(
        matches!(answer, Some((_, Answer::Refusal(_)))),
        "{answer:?}"
    );
    scheduler.update(Vec::new());
    scheduler.enqueue(now, id(2), version_request(now, "v1"), ENGINE);
    let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert_eq!(answer, None, "it waits like others while none is listed");
}

#[test]
fn a_request_whose_version_only_a_failed_engine_has_is_refused_at_once() {
    let (mut scheduler, now, mut random) = scheduler(0);
    scheduler.update(engines_of_two_versions(3));
    let restricted = Request {
        excluded: vec!["d0".into()],
        ..version_request(now, "v1.2")
    };
    scheduler.enqueue(now, id(1), restricted, ENGINE);
    let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(
        matches!(answer, Some((_, Answer::Refusal(_)))),
        "{answer:?}"
    );
}

/// A request that must avoid an engine finds none of its version. Another one does.
#[test]
fn a_request_that_avoids_its_version_does_not_hold_up_others_of_it() {
    let (mut scheduler, now, mut random) = scheduler(0);
    let mut engines = engines_of_two_versions(3);
    engines[2].version = "v1.2".into();
    scheduler.update(engines);
    scheduler.mark_moving(now + 12 * SECOND, "d1", Phase::Prefill);
    let avoiding = Request {
        excluded: vec!["d0".into()],
        ..version_request(now, "v1.2")
    };
    scheduler.enqueue(now, id(1), avoiding, ENGINE);
    scheduler.enqueue(now, id(2), version_request(now, "v1.2"), ENGINE);
    let answer = scheduler.next_answer(now, "model", ENGINE, &mut random);
    assert!(
        matches!(answer, Some((granted, Answer::Grant(_))) if granted == id(2)),
        "{answer:?}"
    );
}

#[test]
fn a_request_whose_version_only_a_moving_engine_has_does_not_wait_long() {
    let (mut scheduler, now, mut random) = scheduler(0);
    scheduler.update(engines_of_two_versions(3));
    scheduler.mark_moving(now + 12 * SECOND, "d0", Phase::Prefill);
    scheduler.enqueue(now, id(1), version_request(now, "v1.2"), ENGINE);
    let mut answer = |after| scheduler.next_answer(now + after, "model", ENGINE, &mut random);
    assert_eq!(answer(SECOND / 10), None);
    let refused = answer(SECOND / 2);
    assert!(
        matches!(refused, Some((_, Answer::Refusal(_)))),
        "{refused:?}"
    );
}

/// Of more requests than the only engine of their version can serve in time, those beyond
/// are refused at once, although the engines of other versions are idle.
#[test]
fn requests_beyond_the_capacity_of_their_version_are_refused_at_once() {
    let (mut scheduler, now, mut random) = scheduler(0);
    scheduler.update(engines_of_two_versions(9));
    let mut refused = 0;
    for number in 0..60 {
        scheduler.enqueue(now, id(number), version_request(now, "v1.2"), ENGINE);
    }
    while let Some((_, answer)) = scheduler.next_answer(now, "model", ENGINE, &mut random) {
        refused += usize::from(matches!(answer, Answer::Refusal(_)));
    }
    assert!((30..58).contains(&refused), "{refused} refused");
}
