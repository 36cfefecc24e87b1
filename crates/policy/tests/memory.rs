//! Tests of the bound on the bodies that a host holds.

use std::collections::VecDeque;

use cranberryridge_policy::gateway::memory::{Bound, Purpose, Usage, MAX_SMALL_BYTES};

const MEGABYTE: usize = 1024 * 1024;

const BOUND: Bound = Bound {
    max_bytes: 55 * MEGABYTE,
};

/// Requests of a sound service that are open at a time.
const OPEN_REQUESTS: usize = 8;

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

/// Services that take all that they can get in pieces of a size, in turn.
struct Load {
    held: usize,
    usages: Vec<Usage>,
}

impl Load {
    fn new(services: usize) -> Self {
        let usages = vec![Usage::default(); services];
        Self { held: 0, usages }
    }

    /// Lets a service hold further bytes. Returns whether there was room.
    fn hold(&mut self, service: usize, bytes: usize, purpose: Purpose) -> bool {
        let usage = &mut self.usages[service];
        let is_allowed = BOUND.allows_service(self.held, *usage, bytes, purpose);
        if is_allowed {
            self.held += bytes;
            if purpose.is_request() {
                usage.requests += bytes;
            } else {
                usage.answers += bytes;
            }
        }
        is_allowed
    }

    /// Lets the services from one on hold answers until none finds room.
    fn fill(&mut self, first: usize, bytes: usize) {
        let services = first..self.usages.len();
        let mut round = || {
            let held = services
                .clone()
                .filter(|service| self.hold(*service, bytes, Purpose::Answer));
            held.count()
        };
        while round() > 0 {}
    }
}

// Answers without end took the room that other services needed for short ones.
#[test]
fn a_service_whose_answers_never_end_gives_way_first() {
    const SOUND: usize = 0;
    for faulty in [1, 2, 4, 8, 16] {
        let mut load = Load::new(1 + faulty);
        load.fill(1, 4 * 1024);
        assert!(load.held <= BOUND.max_bytes);
        let (mut served, requests) = (0, 1000);
        let mut open = VecDeque::new();
        for _ in 0..requests {
            // Room that becomes free is taken at once by those that never have enough.
            load.fill(1, 4 * 1024);
            let sizes = [
                (1024, Purpose::of_request(1024)),
                (16 * 1024, Purpose::Answer),
            ];
            let before = load.usages[SOUND];
            let is_served = sizes
                .into_iter()
                .all(|(bytes, purpose)| load.hold(SOUND, bytes, purpose));
            served += usize::from(is_served);
            let usage = load.usages[SOUND];
            open.push_back((
                usage.requests - before.requests,
                usage.answers - before.answers,
            ));
            if open.len() > OPEN_REQUESTS {
                let (request, answer) = open.pop_front().unwrap();
                load.usages[SOUND].requests -= request;
                load.usages[SOUND].answers -= answer;
                load.held -= request + answer;
            }
        }
        assert!(served * 100 >= requests * 99, "{faulty} faulty: {served}");
    }
}

#[test]
fn the_answers_of_one_service_alone_may_use_most_of_the_room() {
    let mut load = Load::new(1);
    load.fill(0, 16 * 1024);
    assert!(load.held * 4 >= BOUND.max_bytes * 3, "{} bytes", load.held);
}

#[test]
fn requests_of_one_service_leave_as_much_room_as_before() {
    let prompt = 4 * MEGABYTE;
    let mut load = Load::new(1);
    while load.hold(0, prompt, Purpose::of_request(prompt)) {}
    let (_, held) = fill(0, prompt, Purpose::of_request(prompt));
    assert_eq!(load.held, held);
    while load.hold(0, 1024, Purpose::SmallRequest) {}
    assert_eq!(load.held, fill(held, 1024, Purpose::SmallRequest).1);
}

#[test]
fn a_service_may_hold_no_size_that_overflows() {
    for purpose in [Purpose::Answer, Purpose::LargeRequest] {
        assert!(!BOUND.allows_service(1, Usage::default(), usize::MAX, purpose));
    }
}

// Guards against callers of one client account whose bodies take all the room of an entry.
#[test]
fn bodies_of_one_client_account_leave_room_for_another() {
    let purpose = Purpose::of_client_request(MEGABYTE);
    let mut greedy = Usage::default();
    while BOUND.allows_service(greedy.requests, greedy, MEGABYTE, purpose) {
        greedy.requests += MEGABYTE;
    }
    let mut sound = Usage::default();
    while BOUND.allows_service(greedy.requests + sound.requests, sound, MEGABYTE, purpose) {
        sound.requests += MEGABYTE;
    }
    assert!(greedy.requests >= 25 * MEGABYTE, "{greedy:?}");
    assert!(sound.requests >= 12 * MEGABYTE, "{sound:?}");
    assert!(greedy.requests + sound.requests <= BOUND.max_bytes);
    let held = greedy.requests;
    assert!(BOUND.allows_service(held, greedy, 1024, Purpose::of_client_request(1024)));
}
