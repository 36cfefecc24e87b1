//! Crashing requests: counts of several sidecars add up, and the second crash bars a request.

use std::time::{Duration, Instant};

use cranberryridge_policy::suspect::{
    Table, GOSSIP_DURATION, MAX_REQUESTS, RETENTION, SHARED_BARRING_CRASHES,
};
use cranberryridge_wire::id::{Digest, Incarnation};

/// Digest of the request under test.
const REQUEST: Digest = Digest([1, 2]);

/// Sends the recent changes of one table to another.
fn send_changes(now: Instant, from: &Table, to: &mut Table) {
    for suspect in from.recent_changes(now) {
        to.merge_peer(now, &suspect);
    }
}

#[test]
fn concurrent_crashes_seen_by_different_sidecars_add_up() {
    let now = Instant::now();
    let (mut a, mut b, mut entry) = (Table::default(), Table::default(), Table::default());
    a.record_crash(now, Incarnation(1), REQUEST);
    b.record_crash(now, Incarnation(2), REQUEST);
    send_changes(now, &a, &mut entry);
    // The same changes again count once.
    send_changes(now, &a, &mut entry);
    assert!(!entry.is_barred(now, REQUEST));
    send_changes(now, &b, &mut entry);
    assert!(entry.is_barred(now, REQUEST));
    assert!(entry.barred(now).contains(&REQUEST));
    let end = now + RETENTION;
    assert!(entry.is_barred(end - Duration::from_nanos(1), REQUEST));
    assert!(!entry.is_barred(end, REQUEST));
}

#[test]
fn a_successful_run_clears_a_suspect_everywhere() {
    let now = Instant::now();
    let (mut a, mut b) = (Table::default(), Table::default());
    a.record_crash(now, Incarnation(1), REQUEST);
    send_changes(now, &a, &mut b);
    b.record_success(now, REQUEST);
    send_changes(now, &b, &mut a);
    // After another crash the request is suspect again, but not barred.
    a.record_crash(now, Incarnation(1), REQUEST);
    send_changes(now, &a, &mut b);
    assert!(!a.is_barred(now, REQUEST) && !b.is_barred(now, REQUEST));
    a.record_crash(now, Incarnation(1), REQUEST);
    assert!(a.is_barred(now, REQUEST));
    // An attempt that was still running does not clear a barred request.
    a.record_success(now, REQUEST);
    assert!(a.is_barred(now, REQUEST));
}

#[test]
fn changes_are_repeated_for_a_while_and_the_table_is_bounded() {
    let now = Instant::now();
    let mut table = Table::default();
    table.record_crash(now, Incarnation(1), REQUEST);
    table.record_crash(now, Incarnation(1), REQUEST);
    let almost = now + GOSSIP_DURATION - Duration::from_millis(1);
    assert_eq!(table.recent_changes(almost).len(), 1);
    assert!(table.recent_changes(now + GOSSIP_DURATION).is_empty());
    for number in 0..2 * MAX_REQUESTS as u64 {
        table.record_crash(now + GOSSIP_DURATION, Incarnation(1), Digest([number, 9]));
    }
    assert!(table.all(now + GOSSIP_DURATION).len() <= MAX_REQUESTS);
    assert!(
        table.is_barred(now + GOSSIP_DURATION, REQUEST),
        "the barred go last"
    );
}

#[test]
fn requests_that_arrived_before_a_crash_count_once() {
    let begin = Instant::now();
    let mut table = Table::default();
    let mut record = |arrival: u64, crash: u64| {
        let at = |second| begin + Duration::from_secs(second);
        table.record_repeated_crash(at(crash), at(arrival), Incarnation(1), REQUEST)
    };
    assert!(record(0, 2));
    assert!(!record(1, 3), "it arrived before the first crash");
    assert!(record(4, 5));
    assert!(table.is_barred(begin + Duration::from_secs(5), REQUEST));
}

#[test]
fn a_table_is_empty_once_its_last_crash_has_expired() {
    let (mut table, now) = (Table::default(), Instant::now());
    assert!(table.is_empty(now));
    table.record_crash(now, Incarnation(1), Digest([1, 2]));
    assert!(!table.is_empty(now + RETENTION / 2));
    assert!(table.is_empty(now + RETENTION));
}

#[test]
fn the_success_of_one_caller_clears_no_crash_of_another() {
    let (mut table, now) = (Table::default(), Instant::now());
    let (caller, other) = (Incarnation(1), Incarnation(2));
    for _ in 0..2 {
        assert!(table.barred_time(now, caller, REQUEST).is_none());
        table.record_crash(now, caller, REQUEST);
        table.record_caller_success(now, other, REQUEST);
    }
    assert_eq!(table.barred_time(now, caller, REQUEST), Some(RETENTION));
    assert!(table.barred_time(now, other, REQUEST).is_none());
}

#[test]
fn a_caller_whose_request_succeeds_is_cleared() {
    let (mut table, now) = (Table::default(), Instant::now());
    let caller = Incarnation(1);
    for _ in 0..5 {
        table.record_crash(now, caller, REQUEST);
        assert!(table.record_caller_success(now, caller, REQUEST));
    }
    assert_eq!(table.crash_count(now, REQUEST), 0);
    assert!(table.barred_time(now, caller, REQUEST).is_none());
}

#[test]
fn a_request_that_crashed_endpoints_for_several_callers_is_barred_for_all() {
    let (mut table, now) = (Table::default(), Instant::now());
    for caller in 1..=SHARED_BARRING_CRASHES {
        assert!(table.barred_time(now, Incarnation(99), REQUEST).is_none());
        table.record_crash(now, Incarnation(u64::from(caller)), REQUEST);
    }
    assert!(table.barred_time(now, Incarnation(99), REQUEST).is_some());
}

#[test]
fn cleared_callers_leave_room_for_others() {
    let (mut table, now) = (Table::default(), Instant::now());
    for caller in 0..20 {
        table.record_crash(now, Incarnation(caller), REQUEST);
        table.record_caller_success(now, Incarnation(caller), REQUEST);
    }
    for caller in 20..20 + u64::from(SHARED_BARRING_CRASHES) {
        table.record_crash(now, Incarnation(caller), REQUEST);
    }
    assert!(table.barred_time(now, Incarnation(99), REQUEST).is_some());
}
