//! The gateway's decisions, step by step.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::SeedableRng;

use cranberryridge_policy::gateway::balance::{self, Demand, Meter, Move, Moves};
use cranberryridge_policy::gateway::budget::{self, Budget};
use cranberryridge_policy::gateway::member::{Endpoint, List, Phase, RETURN};
use cranberryridge_policy::gateway::place::{Need, Reader, Scope};
use cranberryridge_policy::gateway::pool::{self, EndpointKey, Load, Pool, Trouble, Work};
use cranberryridge_policy::gateway::queue::{Entry, Queue};
use cranberryridge_policy::gateway::route::{
    Configuration, Engine, Kind, Route, Service, Table, Target,
};

const SECOND: Duration = Duration::from_secs(1);

const ENGINE: Engine = Engine {
    slots: 64,
    memory: 30_000,
    stride: 11,
    reservation: SECOND,
};

const NEED: Need = Need {
    prompt: 3000,
    output: 700,
    pause: Duration::from_millis(300),
};

fn endpoint(id: &str, service: &str, phase: Option<Phase>) -> Endpoint {
    Endpoint {
        id: id.into(),
        born: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        service: service.into(),
        domain: "a".into(),
        phase,
        slots: 8,
        draining: false,
    }
}

fn scope(service: &str) -> Scope<'_> {
    Scope {
        service,
        domain: "a",
        avoid: &[],
    }
}

/// A pool of prefill engines `p0`.. and decode engines `d0`...
fn engines(prefill: usize, decode: usize) -> Pool {
    let mut pool = Pool::new(pool::Settings::default());
    let readers = (0..prefill).map(|n| endpoint(&format!("p{n}"), "model", Some(Phase::Prefill)));
    let others = (0..decode).map(|n| endpoint(&format!("d{n}"), "model", Some(Phase::Decode)));
    pool.update(readers.chain(others).collect());
    pool
}

fn key(pool: &Pool, id: &str) -> EndpointKey {
    let all = pool.of("model").iter().chain(pool.of("orders"));
    let mut found = all.filter(|key| pool.get(**key).is_some_and(|state| state.endpoint.id == id));
    *found.next().expect(id)
}

fn work(endpoint: EndpointKey, unread: u32, tokens: u32) -> Work {
    Work {
        endpoint,
        unread,
        tokens,
    }
}

#[test]
fn the_longest_prefix_of_a_host_wins() {
    let route = |name: &str, host: &str, prefix: &str| Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Idempotent,
        timeout: SECOND,
        target: SECOND,
        pause: SECOND,
        attempts: 1,
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
fn a_split_follows_its_weights() {
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: Kind::Single,
        timeout: SECOND,
        target: SECOND,
        pause: SECOND,
        attempts: 1,
        targets: vec![target("new", 10), target("old", 90)],
    };
    let mut random = StdRng::seed_from_u64(1);
    let mut draw = |route: &Route| route.draw(&mut random).cloned();
    let new = (0..1000).filter(|_| draw(&route).as_deref() == Some("new"));
    let new = new.count();
    assert!((60..=140).contains(&new), "{new} of 1000");
    route.targets = vec![target("none", 0), target("all", 1)];
    assert!((0..100).all(|_| draw(&route).as_deref() == Some("all")));
}

#[test]
fn no_window_holds_more_repeats_than_the_budget() {
    let settings = budget::Settings::default();
    let hosts = 4;
    let mut budgets = (0..hosts)
        .map(|_| Budget::new(settings))
        .collect::<Vec<_>>();
    let begin = Instant::now();
    let mut repeats = Vec::new();
    // Each host has 5 requests a second and wants a repeat for each.
    for step in 0..600u64 {
        let now = begin + Duration::from_millis(step * 50);
        let budget = &mut budgets[(step % hosts as u64) as usize];
        budget.earn(now);
        if budget.spend(now, hosts) {
            repeats.push(now);
        }
    }
    let most = settings.ratio * 200.0 + settings.extra;
    for from in &repeats {
        let window = *from..*from + settings.window;
        let count = repeats.iter().filter(|at| window.contains(at)).count();
        assert!(count as f64 <= most, "{count} repeats in a window");
    }
    assert!(repeats.len() > 100, "{} repeats", repeats.len());
}

#[test]
fn removals_wait_only_behind_an_outage() {
    let begin = Instant::now();
    let lapse = 2 * SECOND;
    let mut list = List::new(lapse);
    list.read(begin);
    list.put(endpoint("i-1", "orders", None));
    list.put(endpoint("i-2", "orders", None));
    let soon = begin + SECOND;
    list.read(soon);
    list.remove(soon, "i-1");
    assert_eq!(list.standing(soon).len(), 1, "no outage");
    let late = soon + lapse;
    list.read(late);
    list.remove(late, "i-2");
    assert_eq!(list.standing(late).len(), 1, "it may come back");
    assert_eq!(list.due(), Some(late + RETURN));
    list.read(late + SECOND);
    assert_eq!(list.standing(late + SECOND).len(), 1, "it still may");
    assert_eq!(list.standing(late + RETURN).len(), 0);
}

#[test]
fn an_endpoint_that_was_leaving_does_not_come_back() {
    let begin = Instant::now();
    let mut list = List::new(SECOND);
    list.read(begin);
    list.put(Endpoint {
        draining: true,
        ..endpoint("i-1", "orders", None)
    });
    let late = begin + 3 * SECOND;
    list.read(late);
    list.remove(late, "i-1");
    assert!(list.standing(late).is_empty());
}

#[test]
fn what_is_known_of_an_endpoint_ends_with_its_start() {
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(vec![endpoint("i-1", "orders", None)]);
    let before = key(&pool, "i-1");
    pool.start(work(before, 0, 0));
    pool.update(vec![endpoint("i-1", "orders", None)]);
    assert_eq!(key(&pool, "i-1"), before);
    let again = Endpoint {
        born: 2,
        ..endpoint("i-1", "orders", None)
    };
    pool.update(vec![again]);
    let after = key(&pool, "i-1");
    assert_ne!(after, before);
    assert_eq!(pool.get(after).map(|state| state.running), Some(0));
    // Work of the earlier start ends without a trace.
    pool.finish(work(before, 0, 0));
    assert_eq!(pool.get(after).map(|state| state.running), Some(0));
}

#[test]
fn failing_and_slow_endpoints_get_little() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(2);
    let mut pool = Pool::new(pool::Settings::default());
    let ids = ["good", "slow", "failing"];
    pool.update(ids.map(|id| endpoint(id, "orders", None)).to_vec());
    for _ in 0..20 {
        pool.answered_in(now, key(&pool, "good"), SECOND / 10);
        pool.answered_in(now, key(&pool, "slow"), SECOND);
        pool.answered(now, key(&pool, "failing"), false);
    }
    for _ in 0..50 {
        let chosen = pool.plain(now, scope("orders"), &mut random);
        assert_eq!(chosen, Some(key(&pool, "good")));
    }
    // It is tried again once that is long ago.
    let later = now + 120 * SECOND;
    let mut seen = Vec::new();
    for _ in 0..100 {
        seen.extend(pool.plain(later, scope("orders"), &mut random));
    }
    assert!(seen.contains(&key(&pool, "slow")));
    assert!(seen.contains(&key(&pool, "failing")));
}

#[test]
fn a_broken_endpoint_is_used_when_there_is_no_other() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(3);
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(vec![endpoint("i-1", "orders", None)]);
    pool.trouble(now, key(&pool, "i-1"), Trouble::Broken);
    assert!(pool.plain(now, scope("orders"), &mut random).is_some());
    pool.update(vec![
        endpoint("i-1", "orders", None),
        endpoint("i-2", "orders", None),
    ]);
    for _ in 0..20 {
        let chosen = pool.plain(now, scope("orders"), &mut random);
        assert_eq!(chosen, Some(key(&pool, "i-2")));
    }
}

#[test]
fn an_engine_that_is_full_or_moving_is_not_asked() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(4);
    let mut pool = engines(1, 2);
    pool.trouble(now, key(&pool, "d0"), Trouble::Full);
    let chosen = pool.decode(now, scope("model"), ENGINE, NEED, &mut random);
    assert_eq!(chosen, Some(key(&pool, "d1")));
    pool.moving(now + SECOND, "d1", Phase::Prefill);
    let chosen = pool.decode(now, scope("model"), ENGINE, NEED, &mut random);
    assert_eq!(chosen, None);
    let later = now + 2 * SECOND;
    assert!(pool
        .decode(later, scope("model"), ENGINE, NEED, &mut random)
        .is_some());
}

/// Answers a day on which prompts come in bursts: prefill engines that other
/// hosts keep busy must not draw all of them, and running streams must not
/// pause for prompts.
#[test]
fn prompts_are_read_in_place_only_where_no_stream_waits() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(5);
    let mut pool = engines(1, 1);
    let (prefill, decode) = (key(&pool, "p0"), key(&pool, "d0"));
    let mut reader = |pool: &Pool| {
        let reader = pool.reader(now, scope("model"), ENGINE, NEED, decode, &mut random);
        reader.expect("there are engines")
    };
    assert!(matches!(reader(&pool), Reader::Other { .. }), "idle");
    // Twenty thousand tokens wait at the prefill engine.
    pool.start(work(prefill, 20_000, 20_000));
    assert!(matches!(reader(&pool), Reader::Itself { .. }), "no stream");
    pool.start(work(decode, 0, 3700));
    assert!(
        matches!(reader(&pool), Reader::Other { .. }),
        "a stream runs"
    );
}

#[test]
fn other_hosts_are_taken_to_have_as_much() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(6);
    let mut pool = engines(1, 4);
    // This host has one stream at each of two engines.
    pool.start(work(key(&pool, "d0"), 0, 3700));
    pool.start(work(key(&pool, "d1"), 0, 3700));
    let prefill = key(&pool, "p0");
    pool.start(work(prefill, 20_000, 20_000));
    let free = key(&pool, "d3");
    let itself = |pool: &Pool, random: &mut StdRng| {
        let reader = pool.reader(now, scope("model"), ENGINE, NEED, free, random);
        matches!(reader, Some(Reader::Itself { .. }))
    };
    assert!(itself(&pool, &mut random), "alone");
    pool.count_hosts(8);
    assert!(
        !itself(&pool, &mut random),
        "seven others have streams there"
    );
    pool.report(
        now,
        free,
        Load {
            running: 0,
            waiting: 0,
        },
    );
    assert!(
        itself(&pool, &mut random),
        "it has just said that it is idle"
    );
}

#[test]
fn an_engine_that_streams_slowly_gets_less() {
    let now = Instant::now();
    let mut random = StdRng::seed_from_u64(7);
    let mut pool = engines(1, 2);
    let usual = Duration::from_millis(50);
    for _ in 0..20 {
        pool.streamed(now, key(&pool, "d0"), usual);
        pool.streamed(now, key(&pool, "d1"), usual * 4);
    }
    for _ in 0..5 {
        pool.start(work(key(&pool, "d0"), 0, 3000));
        let chosen = pool.decode(now, scope("model"), ENGINE, NEED, &mut random);
        assert_eq!(chosen, Some(key(&pool, "d0")));
    }
}

#[test]
fn the_queue_serves_who_can_be_on_time_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let entry = |target: u32, patience: u32| Entry {
        target: now + SECOND * target,
        patience: now + SECOND * patience,
        size: 1,
    };
    let late = queue.enter(entry(0, 4));
    let later = queue.enter(entry(0, 3));
    let fresh = queue.enter(entry(2, 4));
    let newer = queue.enter(entry(3, 5));
    let lead = SECOND / 5;
    let mut order = Vec::new();
    while let Some(next) = queue.next(now, lead) {
        order.push(next);
        queue.leave(next);
    }
    assert_eq!(order, vec![fresh, newer, later, late]);
    assert!(queue.is_empty());
}

#[test]
fn a_backlog_grows_with_what_waits() {
    let mut pool = engines(2, 4);
    let empty = pool.backlog("model", ENGINE, 0, 1);
    assert_eq!(empty, Duration::ZERO);
    let key = key(&pool, "d0");
    for _ in 0..200 {
        pool.ran(key, 4 * SECOND, 3750);
    }
    // Four engines of eight runs each, four seconds a run: eight a second.
    let wait = pool.backlog("model", ENGINE, 16, 1);
    assert!((wait.as_secs_f64() - 2.0).abs() < 0.2, "{wait:?}");
    let half = pool.backlog("model", ENGINE, 16, 2);
    assert!((half.as_secs_f64() - 4.0).abs() < 0.4, "{half:?}");
}

/// Answers traffic of long answers: decode memory is short while prefill
/// engines are mostly idle.
#[test]
fn engines_move_to_the_stage_that_is_short() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engines(6, 12);
    let mut meter = Meter::new(settings, now);
    for request in 0..18 * 6 {
        let at = now + SECOND * request / 18;
        meter.add(at, &pool, ENGINE, NEED);
    }
    let now = now + 6 * SECOND;
    let demand = meter.read(now);
    assert!(demand.generating > 3.0 * demand.reading, "{demand:?}");
    let mut moves = Moves::new(settings);
    let mut moved = 0;
    while let Some(order) = moves.next(now, &pool, "model", demand) {
        assert_eq!(order.phase, Phase::Decode);
        moves.note(now, order);
        moved += 1;
        assert!(moved < 6, "one reader is always left");
    }
    assert!((1..=3).contains(&moved), "{moved} engines moved");
    let pending = |moves: &Moves, at| {
        let ids = (0..6).map(|n| format!("p{n}"));
        ids.filter(|id| moves.is_pending(at, id)).count()
    };
    assert_eq!(pending(&moves, now), moved);
    assert_eq!(pending(&moves, now + settings.pending), 0);
}

#[test]
fn engines_do_not_move_for_chance() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engines(6, 12);
    let mut moves = Moves::new(settings);
    let mut next = |reading, generating| {
        let demand = Demand {
            reading,
            generating,
        };
        moves.next(now, &pool, "model", demand)
    };
    assert_eq!(next(0.0, 0.0), None, "no traffic");
    assert_eq!(next(3.0, 6.0), None, "in balance");
    assert_eq!(next(3.0, 6.5), None, "nearly in balance");
    assert!(next(1.0, 8.0).is_some());
    assert!(matches!(
        next(8.0, 1.0),
        Some(Move {
            phase: Phase::Prefill,
            ..
        })
    ));
}

/// A move that was claimed and not ordered changes nothing of the balance, and
/// engines on the move are few, as they serve nobody.
#[test]
fn few_engines_move_at_a_time() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engines(1, 2);
    let mut moves = Moves::new(settings);
    let demand = Demand {
        reading: 0.42,
        generating: 0.07,
    };
    let first = moves.next(now, &pool, "model", demand).expect("a move");
    moves.rest(now, first.endpoint.clone());
    let second = moves.next(now, &pool, "model", demand).expect("another");
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.phase, Phase::Prefill);
    moves.note(now, second);
    assert_eq!(
        moves.next(now, &pool, "model", demand),
        None,
        "one is moving"
    );
    let later = now + settings.pending;
    let next = moves.next(later, &pool, "model", demand);
    assert!(next.is_none(), "all were touched lately: {next:?}");
}

/// A host that takes over leaves engines alone that the one before claimed.
#[test]
fn claims_of_others_end_a_decision_once() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engines(6, 12);
    let mut moves = Moves::new(settings);
    let demand = Demand {
        reading: 1.0,
        generating: 8.0,
    };
    let order = moves.next(now, &pool, "model", demand).expect("a move");
    assert!(moves.claimed(now, 7, &order), "news");
    assert!(!moves.claimed(now, 7, &order), "known");
    let next = moves.next(now, &pool, "model", demand).expect("another");
    assert_ne!(next.endpoint, order.endpoint);
    assert!(moves.claimed(now, 9, &order), "claimed once more");
    let later = now + settings.rest;
    let next = moves.next(later, &pool, "model", demand).expect("a move");
    assert_eq!(next.endpoint, order.endpoint, "it has rested");
}

/// What a host knows of another's moves is late, and must not make them last:
/// engines would serve nobody.
#[test]
fn a_move_that_others_claimed_ends() {
    let begin = Instant::now();
    let settings = balance::Settings::default();
    let order = Move {
        endpoint: "d0".into(),
        phase: Phase::Prefill,
    };
    let mut hosts = [Moves::new(settings), Moves::new(settings)];
    hosts[0].note(begin, order.clone());
    // The other reads the claim again and again, three seconds apart.
    for turn in 1..10 {
        hosts[1].claimed(begin + SECOND * 3 * turn, 5, &order);
    }
    let soon = begin + SECOND * 4;
    assert!(hosts.iter().all(|moves| moves.is_pending(soon, "d0")));
    let end = begin + settings.pending + SECOND * 4;
    assert!(hosts.iter().all(|moves| !moves.is_pending(end, "d0")));
}

/// Plays a burst of 60 requests at once, of mixed sizes, on one engine that
/// runs eight at a time, with a target of one second. Returns how many begin
/// on time when the queue sees the given sizes.
fn begun_on_time(sizes: impl Fn(u32) -> u32) -> usize {
    let begin = Instant::now();
    let millis = Duration::from_millis;
    // Answers of 100 to 1700 tokens, in an order that is not theirs.
    let answers = (0..60u32).map(|n| 100 + (n * 37 % 17) * 100);
    let mut queue = Queue::default();
    let mut waiting = answers
        .map(|answer| {
            let ticket = queue.enter(Entry {
                target: begin + SECOND,
                patience: begin + 4 * SECOND,
                size: sizes(answer),
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
        let (ticket, answer) = waiting.remove(at.expect("it waits"));
        queue.leave(ticket);
        on_time += usize::from(now <= begin + SECOND);
        free[0] = now + millis(u64::from(answer) * 9 / 2);
    }
    on_time
}

/// Answers bursts that fill decode memory for longer than the target.
#[test]
fn the_smallest_first_serves_more_of_a_burst_on_time() {
    let by_arrival = begun_on_time(|_| 1);
    let by_size = begun_on_time(|answer| answer);
    assert!(by_size >= by_arrival + 4, "{by_size} against {by_arrival}");
}
