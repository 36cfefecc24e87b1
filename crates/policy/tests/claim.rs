//! Claims: the first one in the log's order counts, and keys with forgotten claims are
//! refused.

use cranberryridge_policy::claim::{Lookup, Table};
use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::record::{Batch, Claim};

/// Creates a record with one claim.
fn record(key: u64, request: u64) -> Batch {
    let claim = Claim {
        key: Digest([key, 0]),
        request: Request {
            entry: Incarnation(1),
            sequence: request,
        },
        sidecar: "s".into(),
        incarnation: Incarnation(request),
    };
    Batch {
        claims: vec![claim],
    }
}

/// Returns the request that won a key, if the table knows it.
fn winner(table: &Table, key: u64, position: u64) -> Option<u64> {
    match table.lookup(Digest([key, 0]), position) {
        Lookup::Won(winner) => Some(winner.request.sequence),
        _ => None,
    }
}

#[test]
fn first_claim_always_wins() {
    let mut table = Table::new(10);
    table.apply(0, &record(7, 1));
    table.apply(1, &record(7, 2));
    assert_eq!(winner(&table, 7, 0), Some(1));
}

#[test]
fn a_key_with_a_forgotten_claim_is_refused() {
    let mut table = Table::new(2);
    for offset in 0..3 {
        table.apply(offset, &record(offset, offset));
    }
    assert_eq!(table.len(), 2);
    assert_eq!(table.lookup(Digest([0, 0]), 0), Lookup::Expired);
    assert_eq!(table.lookup(Digest([9, 0]), 0), Lookup::Expired);
    assert_eq!(table.lookup(Digest([9, 0]), 1), Lookup::Free);
}

#[test]
fn a_gap_refuses_keys_from_before_it() {
    let mut table = Table::new(10);
    table.apply(0, &record(7, 1));
    table.trim(1);
    assert_eq!(winner(&table, 7, 0), Some(1), "no gap yet");
    table.trim(5);
    assert_eq!(table.lookup(Digest([8, 0]), 4), Lookup::Expired);
    assert_eq!(table.lookup(Digest([8, 0]), 5), Lookup::Free);
}

/// For any sequence of appended, trimmed and evicted records: if the table answers `Free`
/// or `Won`, it is right about the first claim of a key made at a position.
#[test]
fn known_first_claims_are_correct() {
    bolero::check!()
        .with_type::<(u8, Vec<(u8, u8)>)>()
        .for_each(|(limit, steps)| {
            let mut table = Table::new(usize::from(*limit % 8));
            let mut log = Vec::<u64>::new();
            for (step, number) in steps {
                let key = u64::from(*number % 16);
                match step % 8 {
                    0 => {
                        // A record that this reader never saw.
                        log.push(key);
                        table.trim(log.len() as u64);
                    }
                    _ => {
                        let offset = log.len() as u64;
                        log.push(key);
                        table.apply(offset, &record(key, offset));
                    }
                }
            }
            for key in 0..16 {
                // A key is made at or before the position of its first claim.
                let first = log.iter().position(|claimed| *claimed == key);
                let position = first.unwrap_or(log.len()) as u64;
                match table.lookup(Digest([key, 0]), position) {
                    Lookup::Won(winner) => {
                        assert_eq!(Some(winner.offset as usize), first);
                    }
                    Lookup::Free => assert_eq!(first, None),
                    Lookup::Expired => {}
                    Lookup::Ahead => panic!("{position} is not ahead"),
                }
            }
        });
}

/// An alternative rule, for comparison: the claimer writes its own time into the claim,
/// and the claim lapses after a lease by the reader's clock.
struct Lease {
    /// The claimer's time, in milliseconds.
    stamp: i64,
    /// Duration of the lease, in milliseconds.
    lease: i64,
}

impl Lease {
    /// Whether a reader whose clock shows `now` lets another claimer run the key.
    fn lapsed(&self, now: i64) -> bool {
        now >= self.stamp + self.lease
    }
}

/// Number of runs, under the lease and under the log's order, of one key that two entries
/// claim 100 ms apart. `skew` is the second entry's clock error in milliseconds.
fn runs(skew: i64) -> (u32, u32) {
    let (first, second) = (0, 100);
    let lease = Lease {
        stamp: first,
        lease: 10_000,
    };
    let by_lease = 1 + u32::from(lease.lapsed(second + skew));

    let mut table = Table::new(10);
    table.apply(0, &record(7, 1));
    table.apply(1, &record(7, 2));
    let won = |request| winner(&table, 7, 0) == Some(request);
    (by_lease, u32::from(won(1)) + u32::from(won(2)))
}

#[test]
fn skewed_clocks_break_a_lease_but_not_log_order() {
    assert_eq!(runs(0), (1, 1), "clocks agree");
    assert_eq!(runs(30_000), (2, 1), "the second entry's clock is ahead");
}
