//! State machine of a plain call: at most one run, and truthful codes.

use std::time::{Duration, Instant};

use cranberryridge_policy::invoke::{Action, Event, Machine, Settings};
use cranberryridge_wire::code::{Class, Code};
use cranberryridge_wire::message::Verdict;

/// Time from the start to the deadline.
const TIME_LIMIT: Duration = Duration::from_secs(9);

/// Creates a machine whose first attempt was sent.
fn sent(settings: Settings, now: Instant) -> Machine {
    let mut machine = Machine::new(settings, now + TIME_LIMIT);
    assert_eq!(machine.handle(now, Event::Begin), Some(Action::Send(1)));
    machine.handle(now, Event::Sent);
    machine
}

/// What happens to an attempt, chosen at random.
#[derive(Clone, Copy, Debug, PartialEq, bolero::generator::TypeGenerator)]
enum Fault {
    /// The sidecar refuses it.
    Refused,
    /// The sidecar runs it and answers.
    Answered,
    /// The sidecar runs it and its service fails.
    Failed,
    /// The sidecar runs it and the answer is lost.
    LostAfter,
    /// The message is lost, and the sidecar bars the attempt when asked about it.
    LostBefore,
    /// The message is lost, and the sidecar cannot be asked about it.
    Cut,
}

/// Events that follow a fault, and whether the attempt ran.
fn events_of(fault: Fault, attempt: u32) -> (Vec<Event>, bool) {
    match fault {
        Fault::Refused => (vec![Event::Refused(attempt, Code::Full)], false),
        Fault::Answered => (vec![Event::Head(attempt), Event::Done(attempt)], true),
        Fault::Failed => (vec![Event::Failed(attempt, Code::EndpointLost)], true),
        Fault::LostAfter => {
            let settled = Event::Settled(attempt, Verdict::Ended);
            (vec![Event::StreamLost(attempt), settled], true)
        }
        Fault::LostBefore => {
            let settled = Event::Settled(attempt, Verdict::Barred);
            (vec![Event::StreamLost(attempt), settled], false)
        }
        Fault::Cut => (
            vec![Event::StreamLost(attempt), Event::SettleFailed(attempt)],
            false,
        ),
    }
}

/// Runs a call through a sequence of faults, with `budget` retries in the retry budget.
/// Returns how often the call ran and how it ended.
fn run(settings: Settings, budget: u8, faults: &[Fault]) -> (u32, Option<Action>) {
    let now = Instant::now();
    let mut machine = sent(settings, now);
    let (mut runs, mut attempt) = (0, 1);
    for fault in faults {
        let (events, ran) = events_of(*fault, attempt);
        runs += u32::from(ran);
        for event in events {
            match machine.handle(now, event) {
                Some(Action::Retry(..)) if attempt > u32::from(budget) => {
                    return (runs, machine.handle(now, Event::RetryDenied));
                }
                Some(Action::Retry(_, next)) => attempt = next,
                end @ Some(Action::Finish | Action::Fail(_)) => return (runs, end),
                _ => {}
            }
        }
        machine.handle(now, Event::Sent);
    }
    (runs, None)
}

#[test]
fn runs_at_most_once_with_truthful_codes() {
    bolero::check!()
        .with_type::<(bool, bool, u8, Vec<Fault>)>()
        .for_each(|(idempotent, pinned, budget, faults)| {
            let settings = Settings {
                idempotent: *idempotent,
                pinned: *pinned,
                ..Settings::default()
            };
            let (runs, end) = run(settings, budget % 6, faults);
            assert!(*idempotent || runs <= 1, "{faults:?}");
            if let Some(Action::Fail(code)) = end {
                let not_run = code.class() == Class::NotRun;
                assert!(!not_run || runs == 0, "{code} after a run: {faults:?}");
            }
        });
}

#[test]
fn an_idempotent_call_may_run_twice() {
    let settings = Settings {
        idempotent: true,
        ..Settings::default()
    };
    let (runs, _) = run(settings, 9, &[Fault::LostAfter, Fault::Answered]);
    assert_eq!(runs, 2);
}

#[test]
fn a_started_call_is_never_reported_as_not_run() {
    let now = Instant::now();
    let mut machine = sent(Settings::default(), now);
    machine.handle(now, Event::Head(1));
    let action = machine.handle(now, Event::Refused(1, Code::Full));
    assert_eq!(action, Some(Action::Fail(Code::ConnectionLost)));
    let mut machine = sent(Settings::default(), now);
    let action = machine.handle(now, Event::Failed(1, Code::Full));
    assert_eq!(action, Some(Action::Fail(Code::ConnectionLost)));
}

#[test]
fn a_late_event_of_an_earlier_attempt_is_dropped() {
    let now = Instant::now();
    let mut machine = sent(Settings::default(), now);
    let action = machine.handle(now, Event::Refused(1, Code::Full));
    assert_eq!(action, Some(Action::Retry(Code::Full, 2)));
    machine.handle(now, Event::Sent);
    assert_eq!(machine.handle(now, Event::Head(1)), None);
    assert_eq!(machine.handle(now, Event::Head(2)), Some(Action::Emit));
}

#[test]
fn a_sent_call_past_its_deadline_has_an_unknown_outcome() {
    let now = Instant::now();
    let mut machine = sent(Settings::default(), now);
    let action = machine.handle(now + TIME_LIMIT, Event::Tick);
    assert_eq!(action, Some(Action::Fail(Code::Overdue)));
    assert_eq!(Code::Overdue.class(), Class::Unknown);
}
