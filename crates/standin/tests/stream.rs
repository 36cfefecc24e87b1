//! What a caller holds of a stream is checked against what the engines made.
//!
//! A check that looks at ids alone takes a piece of another run, of another stream or with other
//! bytes for a sound one. Each test hands the check such a stream.

use cranberryridge_standin::stream::{self, Form, Held, Ledger};

/// Number of pieces of a stream.
const TOTAL: u32 = 4;

/// Bytes of a piece beside its names.
const FILLER_BYTES: usize = 12;

/// Events that a caller holds, each with the attempt that it answered.
type Events = Vec<(&'static str, String)>;

/// Makes pieces of a new run of an attempt that is asked to begin behind one.
fn run(ledger: &Ledger, attempt: &'static str, asked_id: u32, pieces: u32) -> Events {
    run_behind(ledger, attempt, asked_id, asked_id, pieces)
}

/// Makes pieces of a new run that begins behind another piece than it was asked to.
fn run_behind(
    ledger: &Ledger,
    attempt: &'static str,
    asked_id: u32,
    begun_id: u32,
    pieces: u32,
) -> Events {
    let number = ledger.begin(attempt, "v1", asked_id, begun_id);
    let make = |_| (attempt, ledger.make(number));
    (0..pieces).map(make).collect()
}

/// Checks a stream that ended as complete.
fn check(ledger: &Ledger, events: &Events, may_resume: bool) -> Option<Form> {
    check_end(ledger, events, may_resume, true)
}

fn check_end(ledger: &Ledger, events: &Events, may_resume: bool, has_ended: bool) -> Option<Form> {
    ledger.check(&Held {
        events,
        total: TOTAL,
        has_ended,
        may_resume,
    })
}

/// Checks that a stream is wrong in the same way whether it may be resumed or not.
fn assert_form(ledger: &Ledger, events: &Events, form: Form) {
    for may_resume in [false, true] {
        assert_eq!(check(ledger, events, may_resume), Some(form), "{events:?}");
    }
}

#[test]
fn a_whole_stream_of_one_run_is_sound() {
    let ledger = Ledger::new(FILLER_BYTES);
    let events = run(&ledger, "a", 0, TOTAL);
    for may_resume in [false, true] {
        assert_eq!(check(&ledger, &events, may_resume), None);
    }
}

#[test]
fn a_stream_that_is_cut_is_sound_as_far_as_it_goes() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, TOTAL);
    for _ in 0..=TOTAL {
        assert_eq!(check_end(&ledger, &events, false, false), None);
        events.pop();
    }
}

#[test]
fn a_second_run_that_goes_on_behind_the_last_piece_is_sound() {
    for cut_id in 1..TOTAL {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, cut_id);
        events.extend(run(&ledger, "a-again", cut_id, TOTAL - cut_id));
        assert_eq!(check(&ledger, &events, true), None);
        assert_eq!(check(&ledger, &events, false), Some(Form::Joined));
    }
}

#[test]
fn a_second_run_from_the_event_before_is_sound_without_the_repetition() {
    for cut_id in 1..TOTAL {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, cut_id);
        let again = run(&ledger, "a", cut_id - 1, TOTAL - cut_id + 1);
        let repeated = [&events[..], &again].concat();
        assert_form(&ledger, &repeated, Form::Repeated);
        events.extend_from_slice(&again[1..]);
        assert_eq!(check(&ledger, &events, true), None);
        assert_eq!(check(&ledger, &events, false), Some(Form::Joined));
    }
}

#[test]
fn a_missing_piece_is_found() {
    for place in 0..TOTAL as usize - 1 {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, TOTAL);
        events.remove(place);
        assert_form(&ledger, &events, Form::Missing);
    }
}

#[test]
fn a_piece_missing_between_two_runs_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, 1);
    events.extend(run(&ledger, "a", 2, 2));
    assert_form(&ledger, &events, Form::Missing);
}

#[test]
fn a_piece_that_comes_twice_is_found() {
    for place in 0..TOTAL as usize {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, TOTAL);
        events.insert(place, events[place].clone());
        assert_form(&ledger, &events, Form::Repeated);
    }
}

#[test]
fn a_piece_behind_a_later_one_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, TOTAL);
    events.push(events[1].clone());
    assert_form(&ledger, &events, Form::OutOfOrder);
}

#[test]
fn an_altered_byte_is_found_wherever_it_is() {
    let ledger = Ledger::new(FILLER_BYTES);
    let events = run(&ledger, "a", 0, TOTAL);
    for place in 0..events[1].1.len() {
        let mut altered = events.clone();
        let mut bytes = altered[1].1.clone().into_bytes();
        bytes[place] ^= 1;
        altered[1].1 = String::from_utf8(bytes).unwrap();
        assert!(check(&ledger, &altered, true).is_some(), "{altered:?}");
    }
}

#[test]
fn a_byte_more_or_less_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let events = run(&ledger, "a", 0, TOTAL);
    for place in 0..events[1].1.len() {
        let mut longer = events.clone();
        longer[1].1.insert(place, 'x');
        assert!(check(&ledger, &longer, true).is_some(), "{longer:?}");
        let mut shorter = events.clone();
        shorter[1].1.remove(place);
        assert!(check(&ledger, &shorter, true).is_some(), "{shorter:?}");
    }
}

#[test]
fn a_piece_that_its_run_did_not_make_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, 2);
    // The same calls give the same pieces in another record, whose run went further.
    let further = run(&Ledger::new(FILLER_BYTES), "a", 0, TOTAL);
    events.extend_from_slice(&further[2..]);
    assert_form(&ledger, &events, Form::Altered);
}

#[test]
fn a_piece_of_another_stream_is_found() {
    for place in 0..TOTAL as usize {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, TOTAL);
        let other = run(&ledger, "b", 0, TOTAL);
        events[place].1 = other[place].1.clone();
        assert_form(&ledger, &events, Form::Foreign);
    }
}

#[test]
fn a_second_run_that_was_not_asked_to_go_on_is_found() {
    // All ids are in order, so that nothing but the runs tells.
    for cut_id in 2..TOTAL as usize {
        let ledger = Ledger::new(FILLER_BYTES);
        let mut events = run(&ledger, "a", 0, TOTAL);
        let second = run(&ledger, "a", 0, TOTAL);
        events.splice(cut_id.., second[cut_id..].iter().cloned());
        assert_form(&ledger, &events, Form::Joined);
    }
}

#[test]
fn a_second_run_that_began_anew_instead_of_going_on_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, 2);
    events.extend_from_slice(&run_behind(&ledger, "a", 2, 0, TOTAL)[2..]);
    assert_form(&ledger, &events, Form::Joined);
}

#[test]
fn a_first_run_that_came_back_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, TOTAL);
    events[2] = run(&ledger, "a", 2, 1).remove(0);
    assert_form(&ledger, &events, Form::Joined);
}

#[test]
fn a_run_of_another_version_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, 2);
    let second = ledger.begin("a", "v2", 2, 2);
    events.extend([("a", ledger.make(second)), ("a", ledger.make(second))]);
    assert_eq!(check(&ledger, &events, true), Some(Form::Mixed));
}

#[test]
fn a_complete_end_before_the_last_piece_is_found() {
    let ledger = Ledger::new(FILLER_BYTES);
    let mut events = run(&ledger, "a", 0, TOTAL);
    while events.pop().is_some() {
        assert_form(&ledger, &events, Form::FalseEnd);
    }
}

#[test]
fn bytes_behind_the_last_event_are_not_lost() {
    let ledger = Ledger::new(FILLER_BYTES);
    let events = run(&ledger, "a", 0, 2);
    let body = events.iter().map(|(_, text)| text.as_str());
    let body = body.collect::<String>() + "id: 3\nda";
    let (whole, rest) = stream::split(&body);
    assert!(whole.iter().eq(events.iter().map(|(_, text)| text)));
    assert_eq!(rest, "id: 3\nda");
    assert_eq!(stream::split("no event"), (Vec::new(), "no event"));
}
