//! Tests of the list of endpoints and of claims when the store comes back from
//! an older copy, step by step and over random series.

mod fixture;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bolero::check;

use cranberryridge_policy::gateway::balance::{self, Demand, Move, Moves};
use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::member::{Endpoint, List, Phase};

use fixture::{endpoint, engine_pool, SECOND};

/// Shortest outage in which an entry expires.
const ENTRY_TTL: Duration = Duration::from_secs(2);

/// Returns a start of an endpoint.
fn start(id: &str, started_ms: u64, draining: bool) -> Endpoint {
    Endpoint {
        started_ms,
        draining,
        ..endpoint(id, "orders", None)
    }
}

/// Returns the ids of the endpoints that requests are sent to.
fn used(list: &mut List, now: Instant) -> Vec<String> {
    let current = list.current(now);
    let used = current.iter().filter(|endpoint| !endpoint.draining);
    let mut used = used
        .map(|endpoint| endpoint.id.to_string())
        .collect::<Vec<_>>();
    used.sort();
    used
}

/// Creates a list that was read once.
fn list(now: Instant, endpoints: Vec<Endpoint>) -> List {
    let mut list = List::new(ENTRY_TTL);
    list.record_read(now);
    list.replace(now, endpoints);
    list
}

#[test]
fn a_gone_endpoint_that_the_copy_lists_is_withheld() {
    let begin = Instant::now();
    let both = || vec![start("i-1", 1, false), start("i-2", 1, false)];
    let mut list = list(begin, both());
    list.remove(begin, "i-1");
    assert_eq!(used(&mut list, begin), ["i-2"]);
    list.begin_era(begin);
    list.replace(begin, both());
    assert_eq!(used(&mut list, begin), ["i-2"], "the entry is stale");
    assert!(list.listed().iter().all(|endpoint| endpoint.id == "i-2"));
    let due = list.change_due().expect("it is listed again later");
    assert!(due <= begin + ENTRY_TTL * 2);
    // Reading the copy once more proves nothing.
    list.replace(begin + SECOND, both());
    assert_eq!(used(&mut list, begin + SECOND), ["i-2"]);
    list.put(start("i-1", 1, false));
    assert_eq!(used(&mut list, begin + SECOND), ["i-1", "i-2"]);
}

#[test]
fn a_restarted_endpoint_is_not_withheld() {
    let begin = Instant::now();
    let mut list = list(begin, vec![start("i-1", 1, true)]);
    list.remove(begin, "i-1");
    assert!(list.current(begin).is_empty());
    list.begin_era(begin);
    list.replace(begin, vec![start("i-1", 2, false)]);
    assert_eq!(used(&mut list, begin), ["i-1"]);
}

#[test]
fn removals_by_a_copy_are_held_until_endpoints_have_registered_again() {
    let begin = Instant::now();
    let mut list = list(begin, vec![start("i-1", 1, false), start("i-2", 1, true)]);
    list.begin_era(begin);
    list.replace(begin, Vec::new());
    let kept = list.current(begin);
    assert_eq!(kept.len(), 1, "a leaving endpoint is not kept: {kept:?}");
    assert_eq!(used(&mut list, begin), ["i-1"]);
    let due = list.change_due().expect("the removal takes effect later");
    list.record_read(begin + SECOND);
    assert!(due >= begin + SECOND * 2, "endpoints need two seconds");
    assert!(used(&mut list, due).is_empty());
}

/// An entry of an earlier start, which a copy brings back, must not hide that the later
/// start was leaving.
#[test]
fn an_endpoint_that_left_is_not_revived_by_two_returns() {
    let begin = Instant::now();
    let later = begin + ENTRY_TTL * 3;
    for earlier_goes in [false, true] {
        let mut list = list(begin, vec![start("i-1", 2, false)]);
        list.put(start("i-1", 2, true));
        list.begin_era(begin);
        list.replace(begin, vec![start("i-1", 1, false)]);
        assert!(used(&mut list, begin).is_empty(), "start 2 was leaving");
        list.record_read(later);
        list.replace(later, vec![start("i-1", 1, false)]);
        used(&mut list, later);
        if earlier_goes {
            list.remove(later, "i-1");
            let end = later + ENTRY_TTL * 2;
            list.record_read(end);
            used(&mut list, end);
        }
        let last = later + ENTRY_TTL * 3;
        list.record_read(last);
        list.begin_era(last);
        list.replace(last, vec![start("i-1", 2, false)]);
        assert!(used(&mut list, last).is_empty(), "{earlier_goes}");
    }
}

/// Steps of a random series.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint writes its entry, and the host reads the record.
    Write(u8),
    /// An endpoint starts to leave.
    Leave(u8),
    /// An endpoint is gone.
    Go(u8),
    /// An endpoint starts again under its id.
    Restart(u8),
    /// The store returns from a copy made some steps before, and the host reads
    /// the list.
    Restore(u8),
    /// The host reads the whole list.
    Read,
    /// Time passes.
    Wait(u8),
}

impl Step {
    fn decode(byte: u8) -> Self {
        let number = byte >> 3;
        match byte & 7 {
            0 => Self::Write(number % 4),
            1 => Self::Leave(number % 4),
            2 => Self::Go(number % 4),
            3 => Self::Restart(number % 4),
            4 => Self::Restore(number % 6),
            5 => Self::Read,
            _ => Self::Wait(number),
        }
    }
}

/// Over any series of changes and returns of the store: an endpoint that was
/// leaving gets no work until it restarts, and one that is gone gets none while
/// a copy may still list it.
#[test]
fn a_return_of_the_store_revives_no_endpoint() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let begin = Instant::now();
        let mut now = begin;
        let mut list = list(now, Vec::new());
        // The entries in the store, and all earlier states of them.
        let mut store = HashMap::<u8, Endpoint>::new();
        let mut copies = vec![store.clone()];
        let mut starts = [1; 4];
        let mut leaving = [false; 4];
        let mut gone_at = [None::<Instant>; 4];
        for byte in bytes {
            match Step::decode(*byte) {
                Step::Write(n) if gone_at[usize::from(n)].is_none() => {
                    let index = usize::from(n);
                    let entry = start(&format!("i-{n}"), starts[index], leaving[index]);
                    store.insert(n, entry.clone());
                    list.put(entry);
                }
                Step::Leave(n) if store.contains_key(&n) && gone_at[usize::from(n)].is_none() => {
                    leaving[usize::from(n)] = true;
                    let entry = start(&format!("i-{n}"), starts[usize::from(n)], true);
                    store.insert(n, entry.clone());
                    list.put(entry);
                }
                Step::Go(n) if store.remove(&n).is_some() => {
                    gone_at[usize::from(n)] = Some(now);
                    list.remove(now, &format!("i-{n}"));
                }
                Step::Restart(n) => {
                    starts[usize::from(n)] += 1;
                    leaving[usize::from(n)] = false;
                    gone_at[usize::from(n)] = None;
                }
                Step::Restore(age) => {
                    let copy = copies.len().saturating_sub(usize::from(age) + 1);
                    store = copies[copy].clone();
                    list.begin_era(now);
                    list.replace(now, store.values().cloned().collect());
                    // The store soon drops the entries of endpoints that are gone.
                    store.retain(|n, _| gone_at[usize::from(*n)].is_none());
                }
                Step::Read => list.replace(now, store.values().cloned().collect()),
                // Copies are some seconds old, so the steps of one series take
                // less time than departures are known.
                Step::Wait(tenths) if now < begin + 50 * SECOND => {
                    now += Duration::from_millis(100) * u32::from(tenths)
                }
                _ => {}
            }
            copies.push(store.clone());
            list.record_read(now);
            for endpoint in list.current(now) {
                let n = endpoint.id.as_bytes()[2] - b'0';
                let index = usize::from(n);
                if endpoint.started_ms != starts[index] {
                    // An earlier start, whose removal is held.
                    continue;
                }
                assert!(!leaving[index] || endpoint.draining, "i-{n} was leaving");
            }
        }
    });
}

/// Tokens of claims rise over any series of appends and returns of the store.
#[test]
fn fencing_tokens_rise_over_any_series_of_returns() {
    check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let (mut era, mut end, mut last) = (Era(0), 0u64, 0);
        for byte in bytes {
            if byte % 4 == 0 {
                era = Era(era.0 + 1);
                end -= end.min(u64::from(byte / 4));
                continue;
            }
            let token = era.fencing_token(end);
            assert!(token > last, "{token} after {last}");
            assert!(token < 1 << 53, "exact in JSON");
            last = token;
            end += 1;
        }
    });
}

/// A copy may lack the claim of another host, whose order is still being carried
/// out.
#[test]
fn no_engine_moves_shortly_after_a_return() {
    let begin = Instant::now();
    let settings = balance::Settings::default();
    let pool = engine_pool(6, 12);
    let demand = Demand {
        prefill_engines: 1.0,
        decode_engines: 8.0,
    };
    let mut moves = Moves::new(settings);
    assert!(moves.next_move(begin, &pool, "model", demand).is_some());
    moves.begin_era(begin);
    assert_eq!(moves.next_move(begin, &pool, "model", demand), None);
    let later = begin + settings.restore_pause;
    assert!(moves.next_move(later, &pool, "model", demand).is_some());
}

/// A claim at an offset that was given out again is another claim.
#[test]
fn a_claim_at_an_offset_given_out_again_is_new() {
    let now = Instant::now();
    let mut moves = Moves::new(balance::Settings::default());
    let order = Move {
        endpoint: "d0".into(),
        phase: Phase::Prefill,
    };
    assert!(moves.record_claim(now, 5, "front-1", &order));
    assert!(!moves.record_claim(now, 5, "front-1", &order));
    assert!(moves.record_claim(now, 5, "front-2", &order));
}
