//! Tests which streams a stopping host accepts.

mod fixture;

use std::time::Instant;

use cranberryridge_policy::gateway::drain::{Length, Stop};

use fixture::SECOND;

/// Guards against a stream that comes just after the host has stopped to accept
/// connections, and is cut as its answer is longer than estimated.
#[test]
fn a_request_that_comes_late_is_held_to_its_longest_answer() {
    let begin = Instant::now();
    let stop = Stop {
        lame_duck_until: begin + 3 * SECOND,
        exits_at: begin + 15 * SECOND / 2,
    };
    let length = Length {
        estimated: 2 * SECOND,
        longest: 8 * SECOND,
    };
    assert!(stop.accepts(begin, length));
    assert!(stop.accepts(begin + 29 * SECOND / 10, length));
    assert!(!stop.accepts(begin + 3 * SECOND, length));
    let short = Length {
        longest: 4 * SECOND,
        ..length
    };
    assert!(stop.accepts(begin + 3 * SECOND, short));
    assert!(!stop.accepts(begin + 6 * SECOND, short));
}
