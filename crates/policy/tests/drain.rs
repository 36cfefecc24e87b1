//! Tests which requests a stopping host accepts.

mod fixture;

use std::time::{Duration, Instant};

use cranberryridge_policy::gateway::drain::{Interruption, Length, Stop};
use cranberryridge_policy::gateway::pool::{self, Pool};

use cranberryridge_wire::code::Class;

use fixture::{endpoint, engine_pool, ENGINE, NEED, SECOND};

const MS: Duration = Duration::from_millis(1);

/// Creates a pool whose service `orders` has answered calls of these durations, one a second.
/// Returns the time of the last answer, too.
fn pool_with_calls(durations: &[Duration]) -> (Pool, Instant) {
    let mut pool = Pool::new(pool::Settings::default());
    pool.update(vec![endpoint("i-1", "orders", None)]);
    let key = pool.key("i-1").unwrap();
    let mut now = Instant::now();
    for took in durations {
        now += SECOND;
        pool.record_answer_time(now, key, *took);
    }
    (pool, now)
}

/// Guards against a mean that hides the long calls: late in the grace period they would be
/// passed on and cut.
#[test]
fn a_late_call_is_held_to_the_longest_recent_one() {
    let mut durations = vec![20 * MS; 50];
    durations[40] = 3 * SECOND;
    let (pool, now) = pool_with_calls(&durations);
    let stop = Stop {
        lame_duck_until: now + 3 * SECOND,
        exits_at: now + 15 * SECOND / 2,
    };
    let predict = |now| pool.predict_call(now, "orders", SECOND, 30 * SECOND);
    assert!(predict(now).estimated < 300 * MS, "{:?}", predict(now));
    assert!(predict(now).longest >= 3 * SECOND, "{:?}", predict(now));
    for (sent_after, accepted) in [(0, true), (2900, true), (3500, true), (6000, false)] {
        let sent_at = now + sent_after * MS;
        assert_eq!(
            stop.accepts(sent_at, predict(sent_at)),
            accepted,
            "{sent_after} ms"
        );
    }
    // Only short calls came for a long time.
    assert!(predict(now + 600 * SECOND).longest < 300 * MS);
}

/// Guards against calls to a service of which nothing is known yet.
#[test]
fn a_call_to_an_unknown_service_is_held_to_its_deadline() {
    let (pool, now) = pool_with_calls(&[]);
    let length = pool.predict_call(now, "orders", SECOND, 4 * SECOND);
    assert_eq!(length.estimated, SECOND);
    assert_eq!(length.longest, 4 * SECOND);
    let length = pool.predict_call(now, "orders", SECOND, 500 * MS);
    assert_eq!(length.estimated, 500 * MS);
}

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

/// Guards against a mean that is taken for the pace of a slower stream, which is passed on late in the
/// grace period and cut.
#[test]
fn a_stream_is_held_to_its_deadline_and_to_its_longest_answer() {
    let (mut pool, now) = (engine_pool(0, 1), Instant::now());
    let key = pool.key("d0").unwrap();
    pool.record_event_interval(now, key, 22 * MS);
    let predict = |deadline| pool.predict_length(now, "model", ENGINE, NEED, 1000, deadline);
    assert!(predict(14 * SECOND).estimated < 2 * SECOND);
    assert_eq!(predict(14 * SECOND).longest, 14 * SECOND);
    assert!(predict(SECOND).longest > 2 * SECOND);
}

/// Guards against a request that is called not run although an endpoint may have run it: its
/// caller would send it again.
#[test]
fn only_an_interrupted_request_that_was_not_sent_is_called_not_run() {
    for interruption in [Interruption::Deadline, Interruption::Exit] {
        let unsent = interruption.code(false);
        assert_eq!((unsent.class(), unsent.status()), (Class::NotRun, 503));
        let sent = interruption.code(true);
        assert_eq!((sent.class(), sent.status()), (Class::Unknown, 504));
    }
}
