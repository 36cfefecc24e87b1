//! Tests of looks at endpoints that stop, or not, behind an end that they stated.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::answer::survival::{Sign, Watch};

/// Number of plays of each random test.
const PLAYS: usize = 20_000;

/// Longest time for which an end is held back, whatever the endpoint does.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Time in which a process that is told to exit closes its listener, at most.
const MAX_CLOSE_TIME: Duration = Duration::from_millis(200);

/// What becomes of an endpoint behind an end. Times are counted from the end.
#[derive(Clone, Copy, Debug)]
struct Fate {
    is_leaving: bool,
    /// Time at which the connection of the answer is closed, if it is.
    connection_closes: Option<Duration>,
    /// Time at which the listener is closed, if it is.
    listener_closes: Option<Duration>,
    /// Time at which another start listens, if one does.
    restarts: Option<Duration>,
    /// Whether it resets new connections, as it has as many as it takes.
    is_full: bool,
    /// Share of the looks that get no answer, as packets are lost.
    lossiness: f64,
}

const ALIVE: Fate = Fate {
    is_leaving: false,
    connection_closes: None,
    listener_closes: None,
    restarts: None,
    is_full: false,
    lossiness: 0.0,
};

/// Watches an endpoint behind an end that others may tell. Returns the watch and the time that it
/// took.
fn watch(fate: Fate, random: &mut StdRng) -> (Watch, Duration) {
    watch_until(Duration::ZERO, fate, random)
}

/// Watches an endpoint, until a time if it is silent. Returns the watch and the time that it took.
fn watch_until(deadline: Duration, fate: Fate, random: &mut StdRng) -> (Watch, Duration) {
    let (mut watch, mut now) = (Watch::default(), Duration::ZERO);
    let is_past = |time: Option<Duration>, now| time.is_some_and(|time| time <= now);
    loop {
        let may_be_stopping = fate.is_leaving || is_past(fate.connection_closes, now);
        let patience = deadline.saturating_sub(now);
        let Some(delay) = watch.next_look(may_be_stopping, patience) else {
            return (watch, now);
        };
        now += delay;
        let sign = match fate {
            _ if random.random_bool(fate.lossiness) => Sign::Silent,
            _ if is_past(fate.restarts, now) => Sign::Restarted,
            _ if is_past(fate.listener_closes, now) => Sign::Refusing,
            _ if fate.is_full => Sign::Resetting,
            _ => Sign::Serving,
        };
        watch.record(sign, !is_past(fate.connection_closes, now));
    }
}

/// Draws a time of up to some milliseconds.
fn draw(random: &mut StdRng, max: Duration) -> Duration {
    max.mul_f64(random.random::<f64>())
}

#[test]
fn an_engine_that_stops_at_once_has_not_survived() {
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..PLAYS {
        let closes = draw(&mut random, Duration::from_millis(20));
        let is_back = random.random_bool(0.5);
        let fate = Fate {
            is_leaving: random.random_bool(0.5),
            // A start that has ended holds no connection.
            connection_closes: (is_back || random.random_bool(0.5)).then_some(closes),
            listener_closes: Some(closes),
            restarts: is_back.then(|| draw(&mut random, Duration::from_millis(20)).max(closes)),
            ..ALIVE
        };
        let (watch, took) = watch(fate, &mut random);
        assert!(!watch.has_survived() && took <= MAX_DELAY, "{fate:?}");
    }
}

#[test]
fn an_engine_that_stops_slowly_has_not_survived_if_it_shows_that_it_stops() {
    let mut random = StdRng::seed_from_u64(2);
    for _ in 0..PLAYS {
        let is_leaving = random.random_bool(0.5);
        let fate = Fate {
            is_leaving,
            connection_closes: (!is_leaving).then(|| draw(&mut random, Duration::from_millis(20))),
            listener_closes: Some(draw(&mut random, MAX_CLOSE_TIME)),
            ..ALIVE
        };
        let (watch, took) = watch(fate, &mut random);
        assert!(!watch.has_survived() && took <= MAX_DELAY, "{fate:?}");
    }
}

// Guards against cuts of whole streams of engines that close each connection, leave later, or
// are behind a link that loses packets.
#[test]
fn an_engine_that_serves_on_has_survived() {
    let mut random = StdRng::seed_from_u64(3);
    let mut lost = 0;
    for _ in 0..PLAYS {
        let closes = draw(&mut random, MAX_CLOSE_TIME);
        let fate = Fate {
            is_leaving: random.random_bool(0.3),
            connection_closes: random.random_bool(0.3).then_some(closes),
            lossiness: 0.03,
            ..ALIVE
        };
        let (watch, took) = watch(fate, &mut random);
        assert!(took <= MAX_DELAY, "{fate:?}");
        lost += usize::from(!watch.has_survived());
    }
    assert!(lost * 1000 <= PLAYS, "{lost} of {PLAYS} are cut");
}

// Guards against cuts of whole streams of engines that take no further connection.
#[test]
fn an_engine_that_resets_further_connections_and_holds_its_own_has_survived() {
    let mut random = StdRng::seed_from_u64(5);
    for is_leaving in [false, true] {
        let fate = Fate {
            is_leaving,
            is_full: true,
            ..ALIVE
        };
        assert!(watch(fate, &mut random).0.has_survived(), "{fate:?}");
    }
}

#[test]
fn an_engine_that_does_not_answer_has_not_survived() {
    let fate = Fate {
        lossiness: 1.0,
        ..ALIVE
    };
    let (watch, took) = watch(fate, &mut StdRng::seed_from_u64(4));
    assert!(!watch.has_survived() && took <= MAX_DELAY);
}

// Guards against cuts of whole streams whose engine alone can tell that nothing follows.
#[test]
fn an_engine_that_is_silent_is_waited_for_until_the_deadline() {
    let mut random = StdRng::seed_from_u64(6);
    let deadline = Duration::from_secs(6);
    let (mut survived, mut longest) = (0, Duration::ZERO);
    for _ in 0..PLAYS {
        let fate = Fate {
            lossiness: 0.8,
            ..ALIVE
        };
        let (watch, took) = watch_until(deadline, fate, &mut random);
        survived += usize::from(watch.has_survived());
        longest = longest.max(took);
    }
    // The first three looks and thirteen more are silent with a probability of 0.03.
    assert!(survived * 100 >= PLAYS * 95, "{survived} of {PLAYS}");
    assert!(longest <= deadline, "{longest:?}");
}

#[test]
fn an_engine_that_is_gone_is_not_waited_for() {
    let fate = Fate {
        listener_closes: Some(Duration::ZERO),
        ..ALIVE
    };
    let mut random = StdRng::seed_from_u64(7);
    let (watch, took) = watch_until(Duration::from_secs(6), fate, &mut random);
    assert!(!watch.has_survived() && took <= MAX_DELAY);
}
