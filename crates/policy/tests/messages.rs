//! Duplicated and reordered messages between entry and sidecars, at every step of a model
//! request.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cranberryridge_policy::place::Pair;
use cranberryridge_policy::request::{Action, Event, Leg, Machine, Settings};

/// Number of events in the answer.
const ANSWER_EVENTS: u32 = 3;

/// Messages that sidecars send for a request without faults, in order.
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

/// The rest of the answer from a position on.
fn answer_from(from: u32) -> impl Iterator<Item = Event> {
    let tokens = (from..ANSWER_EVENTS).map(|position| Event::Token(1, position));
    tokens.chain([Event::Done(1, ANSWER_EVENTS)])
}

/// Feeds messages to a machine, answers its resumptions, and checks that the caller gets
/// each event once and in order, and exactly one end.
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
fn duplicated_messages_change_nothing() {
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
fn reordered_messages_lose_nothing() {
    let message_sequence = message_sequence();
    let mut sequences = 0;
    for first in 0..message_sequence.len() - 1 {
        // A message cannot arrive after one that it causes: the prefill is requested once the
        // hold is granted, and the decode once the prefill is finished.
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
