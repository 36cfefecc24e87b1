//! Tests of the bound on the bodies that a host holds.

use cranberryridge_policy::gateway::memory::{Bound, Purpose, MAX_SMALL_BYTES};

const MEGABYTE: usize = 1024 * 1024;

const BOUND: Bound = Bound {
    max_bytes: 55 * MEGABYTE,
};

/// Holds as many bodies of a size as are allowed. Returns their number and total size.
fn fill(mut held: usize, bytes: usize, purpose: Purpose) -> (usize, usize) {
    let mut count = 0;
    while BOUND.allows(held, bytes, purpose) {
        held += bytes;
        count += 1;
    }
    (count, held)
}

// Guards against large prompts that leave no room for orders, and requests that leave none
// for the answers of those that have run.
#[test]
fn large_bodies_leave_room_for_small_ones_and_both_for_answers() {
    let prompt = 4 * MEGABYTE;
    let (prompts, held) = fill(0, prompt, Purpose::of_request(prompt));
    assert!(prompts >= 10, "{prompts} prompts");
    let (orders, held) = fill(held, 1024, Purpose::of_request(1024));
    assert!(orders >= 5000, "{orders} orders");
    let (answers, held) = fill(held, 16 * 1024, Purpose::Answer);
    assert!(answers >= 400, "{answers} answers");
    assert!(held <= BOUND.max_bytes);
}

#[test]
fn a_body_is_large_above_the_limit_only() {
    let of = Purpose::of_request;
    assert_eq!(of(MAX_SMALL_BYTES), Purpose::SmallRequest);
    assert_eq!(of(MAX_SMALL_BYTES + 1), Purpose::LargeRequest);
}

#[test]
fn sizes_that_overflow_are_not_allowed() {
    assert!(!BOUND.allows(1, usize::MAX, Purpose::Answer));
}
