//! Tests the gateway's decisions one by one.

mod fixture;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use cranberryridge_policy::gateway::account::Urgency;
use cranberryridge_policy::gateway::budget::{self, Budget};
use cranberryridge_policy::gateway::cache::Cache;
use cranberryridge_policy::gateway::member::{Endpoint, List, Phase, RELIST_GRACE_PERIOD};
use cranberryridge_policy::gateway::place::{Prefiller, Scope};
use cranberryridge_policy::gateway::pool::{self, EndpointKey, Failure, Load, Pool, Work};
use cranberryridge_policy::gateway::queue::{Entry, Queue};
use cranberryridge_policy::gateway::route::{Configuration, Kind, Route, Service, Table, Target};

use fixture::{endpoint, engine_pool, ENGINE, NEED, SECOND};

fn scope(service: &str) -> Scope<'_> {
    Scope {
        service,
        domain: "a",
        excluded: &[],
        version: None,
    }
}

fn key(pool: &Pool, id: &str) -> EndpointKey {
    let all = pool
        .endpoints("model")
        .iter()
        .chain(pool.endpoints("orders"));
    let mut found = all.filter(|key| pool.get(**key).is_some_and(|state| state.endpoint.id == id));
    *found.next().expect(id)
}

fn work(endpoint: EndpointKey, prefill_tokens: u32, kv_tokens: u32) -> Work {
    Work {
        endpoint,
        prefill_tokens,
        kv_tokens,
    }
}

#[test]
fn longest_path_prefix_of_a_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: SECOND,
        latency_target: SECOND,
        max_event_gap: SECOND,
        max_attempts: 1,
        priority: 0,
        is_open: false,
        targets: vec![],
    };
    let table = Table::new(Configuration {
        version: 1,
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/x/"),
        ],
        services: vec![Service {
            name: "s".into(),
            engine: None,
        }],
        ..Configuration::default()
    });
    let find = |host, path| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(find("a.example", "/x/y/z"), Some("long"));
    assert_eq!(find("a.example", "/x/yy"), Some("short"));
    assert_eq!(find("a.example", "/x/y"), Some("short"));
    assert_eq!(find("b.example", "/x/y/z"), Some("other"));
    assert_eq!(find("a.example", "/"), None);
    assert_eq!(find("c.example", "/x/"), None);
}

#[test]
fn traffic_split_follows_its_weights() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: Kind::Single,
        timeout: SECOND,
        latency_target: SECOND,
        max_event_gap: SECOND,
        max_attempts: 1,
        priority: 0,
        is_open: false,
        targets: vec![target("new", 10), target("old", 90)],
    };
    let mut random = StdRng::seed_from_u64(1);
    let mut draw = |route: &Route| route.choose_service(&mut random).cloned();
    let new = (0..1000).filter(|_| draw(&route).as_deref() == Some("new"));
    let new = new.count();
    assert!((60..=140).contains(&new), "{new} of 1000");
    route.targets = vec![target("none", 0), target("all", 1)];
    assert!((0..100).all(|_| draw(&route).as_deref() == Some("all")));
}

#[test]
fn no_window_exceeds_the_retry_budget() {
    let settings = budget::Settings::default();
    let hosts = 4;
    let mut budgets = (0..hosts)
        .map(|_| Budget::new(settings))
        .collect::<Vec<_>>();
    let begin = Instant::now();
    let mut retries = Vec::new();
    // Each host has 5 requests per second and tries one retry for each.
    for step in 0..600u64 {
        let now = begin + Duration::from_millis(step * 50);
        let budget = &mut budgets[(step % hosts as u64) as usize];
        budget.earn(now);
        if budget.spend(now, 1.0 / f64::from(hosts)) {
            retries.push(now);
        }
    }
    let limit = settings.retries_per_request * 200.0 + settings.fixed_retries;
    for from in &retries {
        let window = *from..*from + settings.window;
        let count = retries.iter().filter(|at| window.contains(at)).count();
        assert!(count as f64 <= limit, "{count} retries in a window");
    }
    assert!(retries.len() > 100, "{} retries", retries.len());
}

#[test]
fn removals_are_held_only_after_an_outage() {
    let begin = Instant::now();
    let lapse = 2 * SECOND;
    let mut list = List::new(lapse);
    list.record_read(begin);
    list.put(endpoint("i-1", "orders", None));
    list.put(endpoint("i-2", "orders", None));
    let soon = begin + SECOND;
    list.record_read(soon);
    list.remove(soon, "i-1");
    assert_eq!(
        list.current(soon).len(),
        1,
        "the removal is not held without an outage"
    );
    let late = soon + lapse;
    list.record_read(late);
    list.remove(late, "i-2");
    assert_eq!(list.current(late).len(), 1, "the removal is held");
    assert_eq!(list.change_due(), Some(late + RELIST_GRACE_PERIOD));
    list.record_read(late + SECOND);
    assert_eq!(
        list.current(late + SECOND).len(),
        1,
        "the removal is still held"
    );
    assert_eq!(list.current(late + RELIST_GRACE_PERIOD).len(), 0);
}

#[test]
fn draining_endpoint_is_removed_despite_an_outage() {
    let begin = Instant::now();
    let mut list = List::new(SECOND);
    list.record_read(begin);
    list.put(Endpoint {
        draining: true,
        ..endpoint("i-1", "orders", None)
    });
    let late = begin + 3 * SECOND;
    list.record_read(late);
    list.remove(late, "i-1");
    assert!(list.current(late).is_empty());
}

#[test]
fn restarted_endpoint_starts_without_history() {
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(vec![endpoint("i-1", "orders", None)]);
    let before = key(&pool, "i-1");
    pool.start(work(before, 0, 0));
    pool.update(vec![endpoint("i-1", "orders", None)]);
    assert_eq!(key(&pool, "i-1"), before);
    let again = Endpoint {
        started_ms: 2,
        ..endpoint("i-1", "orders", None)
    };
    pool.update(vec![again]);
    let after = key(&pool, "i-1");
    assert_ne!(after, before);
    assert_eq!(pool.get(after).map(|state| state.running), Some(0));
    // Finishing work sent to the previous start must not change the new state.
    pool.finish(work(before, 0, 0));
    assert_eq!(pool.get(after).map(|state| state.running), Some(0));
}

#[test]
fn failing_and_slow_endpoints_are_avoided() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(2);
    let mut pool = Pool::new(pool::Settings::default());
    let ids = ["good", "slow", "failing"];
    pool.update(ids.map(|id| endpoint(id, "orders", None)).to_vec());
    for _ in 0..20 {
        pool.record_answer_time(now, key(&pool, "good"), SECOND / 10);
        pool.record_answer_time(now, key(&pool, "slow"), SECOND);
        pool.record_outcome(now, key(&pool, "failing"), false);
    }
    for _ in 0..50 {
        let chosen = pool.choose_plain(now, scope("orders"), &mut random);
        assert_eq!(chosen, Some(key(&pool, "good")));
    }
    // The measurements have decayed, so both are tried again.
    let later = now + 120 * SECOND;
    let mut seen = Vec::new();
    for _ in 0..100 {
        seen.extend(pool.choose_plain(later, scope("orders"), &mut random));
    }
    assert!(seen.contains(&key(&pool, "slow")));
    assert!(seen.contains(&key(&pool, "failing")));
}

#[test]
fn broken_endpoint_is_used_when_there_is_no_other() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(3);
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(vec![endpoint("i-1", "orders", None)]);
    pool.record_failure(now, key(&pool, "i-1"), Failure::Broken);
    assert!(pool
        .choose_plain(now, scope("orders"), &mut random)
        .is_some());
    pool.update(vec![
        endpoint("i-1", "orders", None),
        endpoint("i-2", "orders", None),
    ]);
    for _ in 0..20 {
        let chosen = pool.choose_plain(now, scope("orders"), &mut random);
        assert_eq!(chosen, Some(key(&pool, "i-2")));
    }
}

#[test]
fn an_engine_that_is_full_or_moving_is_not_asked() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(4);
    let mut pool = engine_pool(1, 2);
    pool.record_failure(now, key(&pool, "d0"), Failure::Full);
    let chosen = pool.choose_decoder(now, scope("model"), ENGINE, NEED, &mut random);
    assert_eq!(chosen, Some(key(&pool, "d1")));
    pool.mark_moving(now + SECOND, "d1", Phase::Prefill);
    let chosen = pool.choose_decoder(now, scope("model"), ENGINE, NEED, &mut random);
    assert_eq!(chosen, None);
    let later = now + 2 * SECOND;
    assert!(pool
        .choose_decoder(later, scope("model"), ENGINE, NEED, &mut random)
        .is_some());
}

/// Guards against two faults in bursts of prompts: all prompts go to prefill
/// engines that other hosts keep busy, or local prefill pauses running streams.
#[test]
fn local_prefill_only_without_running_streams() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(5);
    let mut pool = engine_pool(1, 1);
    let (prefill, decode) = (key(&pool, "p0"), key(&pool, "d0"));
    let mut prefiller = |pool: &Pool| {
        let prefiller =
            pool.choose_prefiller(now, scope("model"), ENGINE, NEED, decode, &mut random);
        prefiller.expect("there are engines")
    };
    assert!(matches!(prefiller(&pool), Prefiller::Remote { .. }), "idle");
    // The prefill engine has 20,000 unread tokens.
    pool.start(work(prefill, 20_000, 20_000));
    assert!(
        matches!(prefiller(&pool), Prefiller::Local { .. }),
        "no stream"
    );
    pool.start(work(decode, 0, 3700));
    assert!(
        matches!(prefiller(&pool), Prefiller::Remote { .. }),
        "a stream runs"
    );
}

#[test]
fn load_of_other_hosts_is_estimated_from_own_load() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(6);
    let mut pool = engine_pool(1, 4);
    // This host has one stream at each of two engines.
    pool.start(work(key(&pool, "d0"), 0, 3700));
    pool.start(work(key(&pool, "d1"), 0, 3700));
    let prefill = key(&pool, "p0");
    pool.start(work(prefill, 20_000, 20_000));
    let free = key(&pool, "d3");
    let is_local = |pool: &Pool, random: &mut StdRng| {
        let prefiller = pool.choose_prefiller(now, scope("model"), ENGINE, NEED, free, random);
        matches!(prefiller, Some(Prefiller::Local { .. }))
    };
    assert!(is_local(&pool, &mut random), "no other hosts");
    pool.set_host_count(8);
    assert!(
        !is_local(&pool, &mut random),
        "seven other hosts are assumed to have streams there"
    );
    pool.record_load(
        now,
        free,
        Load {
            running: 0,
            waiting: 0,
        },
    );
    assert!(is_local(&pool, &mut random), "it reported that it is idle");
}

#[test]
fn slow_streaming_engine_gets_less_work() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(7);
    let mut pool = engine_pool(1, 2);
    let usual = Duration::from_millis(50);
    for _ in 0..20 {
        pool.record_event_interval(now, key(&pool, "d0"), usual);
        pool.record_event_interval(now, key(&pool, "d1"), usual * 4);
    }
    for _ in 0..5 {
        pool.start(work(key(&pool, "d0"), 0, 3000));
        let chosen = pool.choose_decoder(now, scope("model"), ENGINE, NEED, &mut random);
        assert_eq!(chosen, Some(key(&pool, "d0")));
    }
}

#[test]
fn queue_serves_on_time_requests_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let entry = |target: u32, deadline: u32| Entry {
        first_event_target: now + SECOND * target,
        first_event_deadline: now + SECOND * deadline,
        size: 1,
        urgency: Urgency::default(),
        excess: 0,
    };
    let late = queue.push(entry(0, 4));
    let later = queue.push(entry(0, 3));
    let fresh = queue.push(entry(2, 4));
    let newer = queue.push(entry(3, 5));
    let lead = SECOND / 5;
    let mut order = Vec::new();
    while let Some(next) = queue.next(now, lead) {
        order.push(next);
        queue.remove(next);
    }
    assert_eq!(order, vec![fresh, newer, later, late]);
    assert!(queue.is_empty());
}

#[test]
fn backlog_wait_grows_with_queue_length() {
    let mut pool = engine_pool(2, 4);
    let empty = pool.predict_backlog_wait("model", ENGINE, 0, 1);
    assert_eq!(empty, Duration::ZERO);
    let key = key(&pool, "d0");
    for _ in 0..200 {
        pool.record_run(key, 4 * SECOND, 3750);
    }
    // Four engines with eight runs each, at four seconds a run: eight per
    // second.
    let wait = pool.predict_backlog_wait("model", ENGINE, 16, 1);
    assert!((wait.as_secs_f64() - 2.0).abs() < 0.2, "{wait:?}");
    let half = pool.predict_backlog_wait("model", ENGINE, 16, 2);
    assert!((half.as_secs_f64() - 4.0).abs() < 0.4, "{half:?}");
}

/// Simulates a burst of 60 simultaneous requests of mixed sizes at one engine
/// that runs eight at a time, with a target of one second. `sizes` returns the
/// size that the queue assumes for an answer of a given length in tokens.
/// Returns how many requests begin on time.
fn count_first_events_on_time(sizes: impl Fn(u32) -> u32) -> usize {
    let begin = Instant::now();
    let millis = Duration::from_millis;
    // Answers of 100 to 1700 tokens, not sorted by length.
    let answers = (0..60u32).map(|n| 100 + (n * 37 % 17) * 100);
    let mut queue = Queue::default();
    let mut waiting = answers
        .map(|answer| {
            let ticket = queue.push(Entry {
                first_event_target: begin + SECOND,
                first_event_deadline: begin + 4 * SECOND,
                size: sizes(answer),
                urgency: Urgency::default(),
                excess: 0,
            });
            (ticket, answer)
        })
        .collect::<Vec<_>>();
    let mut free = [begin; 8];
    let mut on_time = 0;
    while !waiting.is_empty() {
        free.sort();
        let now = free[0];
        let Some(next) = queue.next(now, Duration::ZERO) else {
            break;
        };
        let at = waiting.iter().position(|(ticket, _)| *ticket == next);
        let (ticket, answer) = waiting.remove(at.expect("the ticket is queued"));
        queue.remove(ticket);
        on_time += usize::from(now <= begin + SECOND);
        free[0] = now + millis(u64::from(answer) * 9 / 2);
    }
    on_time
}

/// Guards against late first events in bursts that fill decode memory for
/// longer than the target: in order of arrival, fewer requests begin on time.
#[test]
fn smallest_first_serves_more_of_a_burst_on_time() {
    let by_arrival = count_first_events_on_time(|_| 1);
    let by_size = count_first_events_on_time(|answer| answer);
    assert!(by_size >= by_arrival + 4, "{by_size} against {by_arrival}");
}

/// A cache that lapses while it is taken would cost a refusal and a retry.
#[test]
fn a_cache_is_offered_twice_while_it_lasts() {
    let now = Instant::now();
    let millis = Duration::from_millis;
    let mut cache = Cache::new(now + millis(500));
    assert!(cache.offer(now));
    assert!(!cache.offer(now + millis(450)), "it would lapse on the way");
    assert!(cache.offer(now + millis(300)));
    assert!(!cache.offer(now + millis(310)), "it may be gone");
    let mut unknown = Cache::new(now);
    assert!(unknown.offer(now), "its time is not known");
    assert!(!unknown.offer(now));
}

// Ends were checked at endpoints that state none.
#[test]
fn an_endpoint_whose_check_was_useless_checks_none_until_it_states_an_end() {
    let now = Instant::now();
    let mut pool = engine_pool(1, 3);
    let keys = ["d0", "d1", "d2"].map(|id| key(&pool, id));
    assert_eq!(pool.unable_to_check(now, "model").count(), 0);
    pool.record_useless_check(now, keys[0]);
    pool.record_useless_check(now, keys[1]);
    pool.record_stated_end(keys[2]);
    assert!(pool.unable_to_check(now, "model").eq([keys[0], keys[1]]));
    assert_eq!(pool.unable_to_check(now, "orders").count(), 0);
    pool.record_stated_end(keys[1]);
    assert!(pool.unable_to_check(now, "model").eq([keys[0]]));
}

// An endpoint that comes to state the ends of checks alone could have been left out for ever.
#[test]
fn an_endpoint_whose_check_was_useless_is_asked_again_later() {
    let begin = Instant::now();
    let mut pool = engine_pool(0, 1);
    let engine = key(&pool, "d0");
    let is_unable = |pool: &Pool, now| pool.unable_to_check(now, "model").eq([engine]);
    pool.record_useless_check(begin, engine);
    assert!(is_unable(&pool, begin + 60 * SECOND));
    let later = begin + 3600 * SECOND;
    assert!(!is_unable(&pool, later));
    pool.record_useless_check(later, engine);
    assert!(is_unable(&pool, later + 60 * SECOND));
}

// A new release may state what the one before it did not.
#[test]
fn a_new_start_of_an_endpoint_may_check_ends() {
    let now = Instant::now();
    let mut pool = engine_pool(0, 1);
    let mut listed = pool.endpoint("d0").unwrap();
    let old = key(&pool, "d0");
    pool.record_useless_check(now, old);
    pool.update(vec![listed.clone()]);
    assert!(pool.unable_to_check(now, "model").eq([old]));
    listed.started_ms += 1;
    pool.update(vec![listed]);
    assert_eq!(pool.unable_to_check(now, "model").count(), 0);
    // The check may end after the new start is listed.
    pool.record_useless_check(now, old);
    assert_eq!(pool.unable_to_check(now, "model").count(), 0);
}
