//! Tests of which connections give way to others.

use std::time::{Duration, Instant};

use cranberryridge_policy::gateway::admission::{Key, Stage, Table};

const STEP: Duration = Duration::from_millis(10);

/// Fills a table, with one connection every 10 ms. Returns their keys.
fn fill(table: &mut Table, begin: Instant, count: u32) -> Vec<Key> {
    let keys = (0..count).map(|step| {
        let (key, evicted) = table.admit(begin + STEP * step).unwrap();
        assert_eq!(evicted, None);
        key
    });
    keys.collect()
}

// Guards against crowds that stop half-way and take the places of callers that wait for answers.
#[test]
fn connections_without_a_whole_request_give_way_first() {
    let (mut table, begin) = (Table::new(4), Instant::now());
    let keys = fill(&mut table, begin, 4);
    let now = begin + STEP * 10;
    table.set_stage(now, keys[0], Stage::Serving);
    table.set_stage(now, keys[2], Stage::Head);
    table.set_stage(now + STEP, keys[3], Stage::Body);
    let mut evicted = Vec::new();
    let mut admitted = Vec::new();
    for step in 2..5 {
        let (key, victim) = table.admit(now + STEP * step).unwrap();
        table.set_stage(now + STEP * step, key, Stage::Serving);
        admitted.push(key);
        evicted.push(victim.unwrap());
    }
    assert_eq!(evicted, [keys[2], keys[3], keys[1]]);
    // All others are served.
    assert!(table.admit(now + STEP * 6).is_none());
    table.remove(admitted[0]);
    assert!(table.admit(now + STEP * 6).is_some());
}

// Guards against answers that nobody reads and that keep callers out for good, and against callers
// that pause for a moment and lose their answers.
#[test]
fn stalled_answers_give_way_after_a_second() {
    let (mut table, begin) = (Table::new(1), Instant::now());
    let key = fill(&mut table, begin, 1)[0];
    table.set_stage(begin, key, Stage::Serving);
    table.set_stage(begin, key, Stage::Stalled);
    assert!(table.admit(begin + Duration::from_millis(900)).is_none());
    assert_eq!(
        table.evict_for_memory(begin + Duration::from_millis(900)),
        None
    );
    let (_, evicted) = table.admit(begin + Duration::from_secs(1)).unwrap();
    assert_eq!(evicted, Some(key));
}

// Guards against idle connections that are closed for memory which they do not take, and against
// bodies that are cut off while they arrive at a usual pace.
#[test]
fn memory_is_taken_from_bodies_that_arrive_slowly() {
    let (mut table, begin) = (Table::new(8), Instant::now());
    let keys = fill(&mut table, begin, 3);
    assert_eq!(table.evict_for_memory(begin + Duration::from_secs(9)), None);
    let now = begin + Duration::from_secs(9);
    table.set_stage(begin, keys[2], Stage::Head);
    table.set_stage(now, keys[1], Stage::Body);
    assert_eq!(
        table.evict_for_memory(now + Duration::from_millis(200)),
        None
    );
    let late = now + Duration::from_millis(250);
    assert_eq!(table.evict_for_memory(late), Some(keys[1]));
    assert_eq!(table.evict_for_memory(late), None);
    assert_eq!(table.len(), 2);
}

// Guards against a removed connection whose late events bring it back.
#[test]
fn events_of_removed_connections_are_ignored() {
    let (mut table, begin) = (Table::new(1), Instant::now());
    let key = fill(&mut table, begin, 1)[0];
    let (other, evicted) = table.admit(begin + STEP).unwrap();
    assert_eq!(evicted, Some(key));
    table.set_stage(begin + STEP, key, Stage::Head);
    assert_eq!(table.remove(key), None);
    let (_, evicted) = table.admit(begin + STEP * 2).unwrap();
    assert_eq!(evicted, Some(other));
}
