//! Messages between entry and sidecars that come twice or change places, at
//! every step of a model request's life.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cranberryridge_policy::place::Pair;
use cranberryridge_policy::request::{Action, Event, Leg, Machine, Settings};

/// Events of the answer.
const ANSWER_EVENTS: u32 = 3;

/// What sidecars send in a life without faults, in order.
fn message_sequence() -> Vec<Event> {
    let mut message_sequence = vec![
        Event::Queued(Leg::Decode, 1, Duration::from_secs(1)),
        Event::Granted(Leg::Decode, 1),
        Event::Queued(Leg::Prefill, 1, Duration::from_secs(1)),
        Event::Granted(Leg::Prefill, 1),
        Event::Prefilled(1, 100, Duration::from_millis(800)),
    ];
    message_sequence.extend(answer_from(0));
    message_sequence
}

/// The answer from a position on.
fn answer_from(from: u32) -> impl Iterator<Item = Event> {
    let tokens = (from..ANSWER_EVENTS).map(|position| Event::Token(1, position));
    tokens.chain([Event::Done(1, ANSWER_EVENTS)])
}

/// Plays messages to a life, answering its resumptions, and checks that the
/// caller gets each event once, in order, and one end.
fn run(messages: Vec<Event>) {
    let now = Instant::now();
    let mut machine = Machine::new(Settings::default(), now + Duration::from_secs(10));
    let pair = Pair {
        prefill: Default::default(),
        decode: Default::default(),
        prefill_time: Duration::from_millis(100),
        decode_wait: Duration::ZERO,
    };
    machine.handle(now, Event::Begin);
    machine.handle(now, Event::Placed(pair));
    let mut queue = VecDeque::from(messages.clone());
    let mut emitted = Vec::new();
    let mut ends = Vec::new();
    let mut prefills = 0;
    while let Some(event) = queue.pop_front() {
        for action in machine.handle(now, event) {
            match action {
                Action::Emit => emitted.push(event),
                Action::Resume(_, position) => queue.extend(answer_from(position)),
                Action::Prefill(..) => prefills += 1,
                Action::Finish | Action::Fail(..) => ends.push(action),
                Action::Reset | Action::Retry(..) | Action::Place(_) | Action::Hold(..) => {
                    panic!("{action:?} upon {event:?} in {messages:?}")
                }
                Action::Decode(_) | Action::Close(_) => {}
            }
        }
    }
    let expected = answer_from(0)
        .take(ANSWER_EVENTS as usize)
        .collect::<Vec<_>>();
    assert_eq!(emitted, expected, "{messages:?}");
    assert_eq!(ends, [Action::Finish], "{messages:?}");
    assert_eq!((prefills, machine.wasted_tokens()), (1, 0), "{messages:?}");
}

#[test]
fn a_message_that_comes_twice_changes_nothing() {
    let message_sequence = message_sequence();
    let mut sequences = 0;
    for first in 0..message_sequence.len() {
        for second in first..message_sequence.len() {
            let mut messages = message_sequence.clone();
            messages.insert(second + 1, message_sequence[first]);
            run(messages);
            sequences += 1;
        }
    }
    println!("doubled: {sequences} sequences");
}

#[test]
fn messages_that_change_places_lose_nothing() {
    let message_sequence = message_sequence();
    let mut sequences = 0;
    for first in 0..message_sequence.len() - 1 {
        // What causes another message cannot come behind it: the prefill is
        // asked for once the hold is granted, the decode once it is prefilled.
        let is_cause = matches!(
            (message_sequence[first], message_sequence[first + 1]),
            (Event::Granted(Leg::Decode, _), _) | (Event::Prefilled(..), _)
        );
        if !is_cause {
            let mut messages = message_sequence.clone();
            messages.swap(first, first + 1);
            run(messages);
            sequences += 1;
        }
    }
    println!("crossed: {sequences} sequences");
}
