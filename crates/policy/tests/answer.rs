//! Tests of what makes up a caller's stream, and of what ends an answer.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::answer::{Disorder, End, Event, Framing, Sequence};

/// Most runs of one stream.
const MAX_RUNS: usize = 6;

/// What a run sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Form {
    /// What the caller lacks.
    Rest,
    /// The stream from its first event.
    Anew,
    /// The last event that the caller has, and the rest.
    Overlap,
    /// The rest without ids.
    Unnumbered,
    /// The rest, and some event out of order.
    Shuffled,
    /// The rest with ids that are no numbers.
    Named,
    /// Nothing, or text that has no event.
    Empty,
}

const FORMS: [Form; 7] = [
    Form::Rest,
    Form::Anew,
    Form::Overlap,
    Form::Unnumbered,
    Form::Shuffled,
    Form::Named,
    Form::Empty,
];

/// Returns the ids of a run's events. `ids` are those of the whole stream, and the caller
/// has `last` of them.
fn compose(rng: &mut StdRng, form: Form, ids: &[u64], last: Option<u64>) -> Vec<Option<String>> {
    let rest = ids.iter().copied().filter(|id| Some(*id) > last);
    let mut rest = rest.collect::<Vec<_>>();
    let text = |id: u64| Some(id.to_string());
    match form {
        Form::Rest => rest.into_iter().map(text).collect(),
        Form::Anew => ids.iter().copied().map(text).collect(),
        Form::Overlap => last.into_iter().chain(rest).map(text).collect(),
        Form::Unnumbered => vec![None; rest.len()],
        Form::Shuffled => {
            if rest.len() > 1 {
                let at = rng.random_range(1..rest.len());
                rest.swap(at - 1, at);
            }
            rest.into_iter().map(text).collect()
        }
        Form::Named => rest.into_iter().map(|id| Some(format!("e{id}"))).collect(),
        Form::Empty => Vec::new(),
    }
}

/// Plays one stream of several runs, each of which may be cut, and checks each step.
fn play(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next = 0;
    let mut draw = || {
        next += rng.random_range(1..4u64);
        next
    };
    let ids = (0..8).map(|_| draw()).collect::<Vec<_>>();
    // A caller that takes the stream up has its first events.
    let taken_up = rng.random_bool(0.3).then(|| ids[rng.random_range(0..3)]);
    let begin = |id: u64| Sequence::after(id.to_string());
    let mut sequence = taken_up.map_or_else(Sequence::default, begin);
    let mut got = Vec::<Option<String>>::new();
    for _ in 0..MAX_RUNS {
        if !sequence.is_resumable() {
            break;
        }
        sequence.begin_run();
        let form = *FORMS.choose(&mut rng).unwrap();
        let last = sequence.last_id().and_then(|id| id.parse().ok());
        let is_named = sequence.last_id().is_some() && last.is_none();
        let mut events = compose(&mut rng, form, &ids, last);
        let sent_count = rng.random_range(0..=events.len());
        let is_cut = rng.random_bool(0.5);
        if is_cut {
            events.truncate(sent_count);
        }
        let case = format!("seed {seed}, {form:?} after {got:?}: {events:?}");
        let is_begun = taken_up.is_some() || !got.is_empty();
        let mut added_count = 0;
        let mut disorder = None;
        for event in &events {
            let id = event.as_deref();
            if let Err(error) = sequence.admit(Event { id }) {
                disorder = Some(error);
                break;
            }
            got.push(event.clone());
            added_count += 1;
        }
        match form {
            Form::Rest if !is_named => assert_eq!(disorder, None, "{case}"),
            Form::Anew | Form::Overlap if is_begun && !is_named && !events.is_empty() => {
                assert_eq!(disorder, Some(Disorder::Backward), "{case}");
                assert_eq!(added_count, 0, "{case}");
            }
            Form::Unnumbered if is_begun && !events.is_empty() => {
                assert_eq!(disorder, Some(Disorder::Unnumbered), "{case}");
                assert_eq!(added_count, 0, "{case}");
            }
            _ => {}
        }
        if disorder.is_some() {
            continue;
        }
        for framing in [Framing::Length, Framing::Chunks, Framing::Connection] {
            for is_endpoint_up in [true, false] {
                let end = End {
                    framing,
                    is_endpoint_up,
                };
                let is_said = is_endpoint_up || framing != Framing::Connection;
                let is_complete = sequence.is_complete(end, false);
                assert_eq!(is_complete, is_said && added_count > 0, "{case}, {end:?}");
                assert!(!sequence.is_complete(end, true), "{case}, {end:?}");
            }
        }
        if !is_cut && added_count > 0 {
            break;
        }
    }
    let numbers = got.iter().flatten().filter_map(|id| id.parse::<u64>().ok());
    let numbers = taken_up.into_iter().chain(numbers).collect::<Vec<_>>();
    assert!(
        numbers.windows(2).all(|pair| pair[0] < pair[1]),
        "seed {seed}: {got:?}"
    );
}

// Guards against runs that are joined with a repetition, a step back, or a false end.
#[test]
fn runs_of_any_form_join_in_order() {
    for seed in 0..20_000 {
        play(seed);
    }
}

#[test]
fn an_id_of_another_kind_does_not_follow() {
    for (last, id) in [("2", "x"), ("x", "2"), ("x", "x"), ("10", "9"), ("2", "02")] {
        let mut sequence = Sequence::after(last);
        let event = Event { id: Some(id) };
        assert_eq!(
            sequence.admit(event),
            Err(Disorder::Backward),
            "{last}, {id}"
        );
        assert!(sequence.is_unproven());
        assert!(sequence.is_resumable());
    }
}

#[test]
fn a_stream_is_resumable_up_to_an_event_without_an_id() {
    let mut sequence = Sequence::default();
    let events = [Some("1"), None, Some("2"), None];
    let resumable = events.map(|id| {
        sequence.admit(Event { id }).unwrap();
        sequence.is_resumable()
    });
    assert_eq!(resumable, [true, false, true, false]);
}
