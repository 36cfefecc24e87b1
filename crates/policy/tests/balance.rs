//! Tests of moving engines between stages.

mod fixture;

use std::time::Instant;

use cranberryridge_policy::gateway::balance::{self, Demand, Meter, Move, Moves};
use cranberryridge_policy::gateway::limit::{Rate, Statement};
use cranberryridge_policy::gateway::member::Phase;
use cranberryridge_policy::gateway::pool::{self, Failure, Pool};

use fixture::{engine_pool, engines, ENGINE, NEED, SECOND};

/// Guards against a shortage of decode memory while prefill engines are mostly
/// idle, which traffic with long answers causes.
#[test]
fn engines_move_to_the_overloaded_stage() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(6, 12);
    let mut meter = Meter::new(settings, now);
    for request in 0..18 * 6 {
        let at = now + SECOND * request / 18;
        meter.add(at, &pool, ENGINE, NEED);
    }
    let now = now + 6 * SECOND;
    let demand = meter.demand(now);
    assert!(
        demand.decode_engines > 3.0 * demand.prefill_engines,
        "{demand:?}"
    );
    let mut moves = Moves::new(settings);
    let mut moved = 0;
    while let Some(order) = moves.next_move(now, &pool, "model", demand) {
        assert_eq!(order.phase, Phase::Decode);
        moves.record_order(now, order);
        moved += 1;
        assert!(moved < 6, "one prefill engine always remains");
    }
    assert!((1..=3).contains(&moved), "{moved} engines moved");
    let pending = |moves: &Moves, at| {
        let ids = (0..6).map(|n| format!("p{n}"));
        ids.filter(|id| moves.is_pending(at, id)).count()
    };
    assert_eq!(pending(&moves, now), moved);
    assert_eq!(pending(&moves, now + settings.move_timeout), 0);
}

#[test]
fn engines_do_not_move_for_small_imbalances() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(6, 12);
    let mut moves = Moves::new(settings);
    let mut next = |prefill_engines, decode_engines| {
        let demand = Demand {
            prefill_engines,
            decode_engines,
        };
        moves.next_move(now, &pool, "model", demand)
    };
    assert_eq!(next(0.0, 0.0), None, "no traffic");
    assert_eq!(next(3.0, 6.0), None, "balanced");
    assert_eq!(next(3.0, 6.5), None, "nearly balanced");
    assert!(next(1.0, 8.0).is_some());
    assert!(matches!(
        next(8.0, 1.0),
        Some(Move {
            phase: Phase::Prefill,
            ..
        })
    ));
}

/// A move that was claimed but not ordered must not change the balance, and few
/// engines may move at once, as moving engines serve no requests.
#[test]
fn few_engines_move_at_a_time() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(1, 2);
    let mut moves = Moves::new(settings);
    let demand = Demand {
        prefill_engines: 0.42,
        decode_engines: 0.07,
    };
    let first = moves
        .next_move(now, &pool, "model", demand)
        .expect("a move");
    moves.start_cooldown(now, first.endpoint.clone());
    let second = moves
        .next_move(now, &pool, "model", demand)
        .expect("another move");
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(second.phase, Phase::Prefill);
    moves.record_order(now, second);
    assert_eq!(
        moves.next_move(now, &pool, "model", demand),
        None,
        "one is moving"
    );
    let later = now + settings.move_timeout;
    let next = moves.next_move(later, &pool, "model", demand);
    assert!(next.is_none(), "all engines are in cooldown: {next:?}");
}

/// A host that takes over as scheduler must not move engines that its
/// predecessor has claimed.
#[test]
fn claims_of_other_hosts_count_once() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(6, 12);
    let mut moves = Moves::new(settings);
    let demand = Demand {
        prefill_engines: 1.0,
        decode_engines: 8.0,
    };
    let order = moves
        .next_move(now, &pool, "model", demand)
        .expect("a move");
    assert!(
        moves.record_claim(now, 7, "front-1", &order),
        "the claim is new"
    );
    assert!(
        !moves.record_claim(now, 7, "front-1", &order),
        "the claim is known"
    );
    let next = moves
        .next_move(now, &pool, "model", demand)
        .expect("another move");
    assert_ne!(next.endpoint, order.endpoint);
    assert!(
        moves.record_claim(now, 9, "front-1", &order),
        "a later claim is new"
    );
    let later = now + settings.cooldown;
    let next = moves
        .next_move(later, &pool, "model", demand)
        .expect("a move");
    assert_eq!(next.endpoint, order.endpoint, "its cooldown is over");
}

/// A host learns of another's moves late. Reading the same claim again must not
/// extend the move, or engines would serve no requests.
#[test]
fn a_move_that_others_claimed_ends() {
    let begin = Instant::now();
    let settings = balance::Settings::default();
    let order = Move {
        endpoint: "d0".into(),
        phase: Phase::Prefill,
    };
    let mut hosts = [Moves::new(settings), Moves::new(settings)];
    hosts[0].record_order(begin, order.clone());
    // The other host reads the same claim every three seconds.
    for turn in 1..10 {
        hosts[1].record_claim(begin + SECOND * 3 * turn, 5, "front-1", &order);
    }
    let soon = begin + SECOND * 4;
    assert!(hosts.iter().all(|moves| moves.is_pending(soon, "d0")));
    let end = begin + settings.move_timeout + SECOND * 4;
    assert!(hosts.iter().all(|moves| !moves.is_pending(end, "d0")));
}

/// Guards against a service whose last engine without a limit moves to the other stage, so
/// that those with a limit must serve all. The soak found it: limited engines counted as
/// whole ones, and looked idle.
#[test]
fn engines_with_a_limit_neither_count_nor_move() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let demand = Demand {
        prefill_engines: 0.42,
        decode_engines: 0.07,
    };
    for limited in [&["d0"][..], &["d1"], &["d0", "d1"], &["p0", "d0", "d1"]] {
        let mut pool = engine_pool(1, 2);
        let mut moves = Moves::new(settings);
        assert!(moves.next_move(now, &pool, "model", demand).is_some());
        for id in limited {
            let key = pool.key(id).unwrap();
            let statement = Statement::Limited(Rate::per_second(2.5));
            pool.observe_limit(now, key, statement, Some(0));
        }
        let next = moves.next_move(now, &pool, "model", demand);
        assert_eq!(next, None, "{limited:?} have named a limit");
    }
}

#[test]
fn the_last_engine_that_decodes_at_its_version_is_not_moved() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let mut endpoints = engines(1, 3);
    endpoints[1].version = "v1.2".into();
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(endpoints);
    let demand = Demand {
        prefill_engines: 0.42,
        decode_engines: 0.07,
    };
    let mut moves = Moves::new(settings);
    let next = moves.next_move(now, &pool, "model", demand).unwrap();
    assert_eq!(next.phase, Phase::Prefill);
    assert_ne!(next.endpoint, "d0", "only `d0` has its version");
}

/// An entry of an endpoint that is gone may be listed for a while. Another has its address.
#[test]
fn an_engine_that_does_not_serve_is_no_other_of_its_version() {
    let now = Instant::now();
    let settings = balance::Settings::default();
    let mut endpoints = engines(1, 4);
    endpoints[1].version = "v1.2".into();
    endpoints[4].version = "v1.2".into();
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(endpoints);
    let gone = pool.key("d3").unwrap();
    pool.record_failure(now, gone, Failure::Misdirected);
    let demand = Demand {
        prefill_engines: 0.42,
        decode_engines: 0.07,
    };
    let next = Moves::new(settings).next_move(now, &pool, "model", demand);
    assert_ne!(
        next.unwrap().endpoint,
        "d0",
        "only `d0` serves at its version"
    );
}

// Guards against an engine that two hosts order in turn: the cooldown of an own attempt that
// failed stood in for that of another host's later claim.
#[test]
fn a_claim_of_another_host_begins_the_cooldown_after_a_failed_attempt() {
    let begin = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(1, 2);
    let demand = Demand {
        prefill_engines: 3.0,
        decode_engines: 0.1,
    };
    let mut moves = Moves::new(settings);
    let order = moves.next_move(begin, &pool, "model", demand).unwrap();
    moves.start_cooldown(begin, order.endpoint.clone());
    let claimed_at = begin + settings.cooldown - SECOND;
    assert!(moves.record_claim(claimed_at, 7, "front-2", &order));
    for seconds in 0..settings.cooldown.as_secs() as u32 {
        let at = claimed_at + SECOND * seconds;
        let next = moves.next_move(at, &pool, "model", demand);
        assert_ne!(
            next.map(|next| next.endpoint),
            Some(order.endpoint.clone()),
            "{seconds} s after the claim"
        );
    }
}
