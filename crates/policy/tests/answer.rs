//! Tests of what makes up a caller's stream, and of what ends an answer.

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use cranberryridge_policy::answer::deadline::{Deadline, Moment, Pace, Timing};
use cranberryridge_policy::answer::numbering::{Finding, Ids, Numbering};
use cranberryridge_policy::answer::{Conclusion, Disorder, Event, Framing, Place, Proof, Sequence};

/// Most runs of one stream.
const MAX_RUNS: usize = 6;

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

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
        for framing in FRAMINGS {
            let expected = match framing {
                _ if added_count == 0 => Conclusion::Broken,
                Framing::Connection => Conclusion::Unstated,
                Framing::Length | Framing::Chunks => Conclusion::Complete(Proof::Stated),
            };
            let end = sequence.conclude(framing, false);
            assert_eq!(end, expected, "{case}, {framing:?}");
            let end = sequence.conclude(framing, true);
            assert_eq!(end, Conclusion::Broken, "{case}, {framing:?}");
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

/// How an endpoint treats a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    /// It sends all that it is asked for.
    Sound,
    /// Its link ends after some events.
    Cut,
    /// It sends the stream from its first event, whatever it is asked for.
    Anew,
    /// It leaves out the event that it is to repeat.
    Skipping,
    /// It sends no event.
    Mute,
    /// It sends events without ids.
    Unnumbered,
    /// Its connection is reset after some events.
    Reset,
}

const MANNERS: [Manner; 7] = [
    Manner::Sound,
    Manner::Cut,
    Manner::Anew,
    Manner::Skipping,
    Manner::Mute,
    Manner::Unnumbered,
    Manner::Reset,
];

/// A run as its transport brings it.
struct Run {
    ids: Vec<Option<String>>,
    framing: Framing,
    /// Whether the transport reports no error.
    is_ended: bool,
    is_inside: bool,
}

impl Run {
    /// Plays a run at an endpoint that is asked for what follows the event `asked`.
    fn new(rng: &mut StdRng, manner: Manner, ids: &[String], asked: Option<&str>) -> Self {
        let from = asked.map_or(0, |asked| {
            let at = ids.iter().position(|id| id == asked);
            at.expect("the caller has the event") + 1
        });
        let rest = ids[from..].iter().cloned().map(Some).collect::<Vec<_>>();
        let framing = *FRAMINGS.choose(rng).unwrap();
        let mut run = Self {
            ids: rest,
            framing,
            is_ended: true,
            is_inside: false,
        };
        match manner {
            Manner::Sound => {}
            Manner::Cut | Manner::Reset => {
                run.ids.truncate(rng.random_range(0..=run.ids.len()));
                run.is_inside = rng.random_bool(0.3);
                // The transport knows that an answer with a length or chunks is cut.
                run.is_ended = manner == Manner::Cut && !framing.states_end();
            }
            Manner::Anew => run.ids = ids.iter().cloned().map(Some).collect(),
            Manner::Skipping => drop(run.ids.drain(..run.ids.len().min(1))),
            Manner::Mute => run.ids.clear(),
            Manner::Unnumbered => run.ids.iter_mut().for_each(|id| *id = None),
        }
        run
    }
}

/// Outcome of a stream for its caller.
#[derive(Debug, PartialEq)]
struct Played {
    got: Vec<String>,
    is_complete: bool,
    /// Whether the last run has stated its end.
    is_stated: bool,
    run_count: usize,
}

/// Plays a stream at endpoints of some manners, each of which is asked once, as the gateway
/// does. Ends that only a connection marks are checked.
fn relay(rng: &mut StdRng, manners: &[Manner], ids: &[String], has_first: bool) -> Played {
    let taken_up = has_first.then(|| ids[0].clone());
    let mut sequence = taken_up
        .clone()
        .map_or_else(Sequence::default, Sequence::after);
    let mut played = Played {
        got: taken_up.into_iter().collect(),
        is_complete: false,
        is_stated: false,
        run_count: 0,
    };
    for manner in manners {
        played.run_count += 1;
        let run = Run::new(rng, *manner, ids, sequence.asked_id());
        let mut is_lost = !run.is_ended;
        played.is_stated = run.framing.states_end();
        for id in &run.ids {
            match sequence.admit(Event { id: id.as_deref() }) {
                Ok(Place::Next) => played.got.push(id.clone().unwrap_or_default()),
                Ok(Place::Repeated) => assert_eq!(id.as_ref(), played.got.last()),
                Err(_) => {
                    is_lost = true;
                    break;
                }
            }
        }
        let end = if is_lost {
            Conclusion::Broken
        } else {
            sequence.conclude(run.framing, run.is_inside)
        };
        match end {
            Conclusion::Complete(_) => {
                played.is_complete = true;
                return played;
            }
            Conclusion::Unstated | Conclusion::Forsaken => sequence.begin_check(),
            Conclusion::Overdue => return played,
            Conclusion::Broken => sequence.begin_run(),
        }
        if !sequence.is_resumable() {
            return played;
        }
    }
    played
}

/// Returns the ids of a stream, numbers or names.
fn draw_ids(rng: &mut StdRng) -> Vec<String> {
    let count = rng.random_range(2..8);
    let is_named = rng.random_bool(0.3);
    let name = |id| {
        if is_named {
            format!("e{id}")
        } else {
            format!("{id}")
        }
    };
    (1..=count).map(name).collect()
}

// Guards against links that end in order between two events: no stream is complete with too few
// events, and no event comes twice or is missing before the last one.
#[test]
fn a_stream_is_complete_only_with_all_events() {
    let mut complete_count = 0;
    for seed in 0..40_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ids = draw_ids(&mut rng);
        let has_first = rng.random_bool(0.3);
        // Streams without ids, or with ids out of order, cannot be told from whole ones.
        let mut manners = (0..6)
            .map(|_| *MANNERS.choose(&mut rng).unwrap())
            .collect::<Vec<_>>();
        let is_named = ids[0].starts_with('e');
        manners.retain(|manner| {
            let is_ambiguous = is_named && matches!(manner, Manner::Anew | Manner::Skipping);
            !is_ambiguous && *manner != Manner::Unnumbered
        });
        let played = relay(&mut rng, &manners, &ids, has_first);
        let case = format!("seed {seed}, {manners:?}: {played:?}");
        let is_prefix = ids.starts_with(&played.got);
        assert!(is_prefix || manners.contains(&Manner::Skipping), "{case}");
        if played.is_complete {
            complete_count += 1;
            assert_eq!(played.got.last(), ids.last(), "{case}");
        }
    }
    assert!(complete_count > 0);
}

// A sound stream whose end only its connection marks is complete once a further run states it.
#[test]
fn a_sound_stream_is_complete_once_a_run_states_its_end() {
    for seed in 0..5_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let ids = draw_ids(&mut rng);
        let has_first = rng.random_bool(0.3);
        let played = relay(&mut rng, &[Manner::Sound; 2], &ids, has_first);
        assert!(
            played.got == ids && played.is_complete == played.is_stated,
            "seed {seed}: {played:?}"
        );
        // A link that ends midway, and two sound endpoints.
        let manners = [Manner::Cut, Manner::Sound, Manner::Sound];
        let played = relay(&mut rng, &manners, &ids, has_first);
        assert!(ids.starts_with(&played.got), "seed {seed}: {played:?}");
        assert!(
            !played.is_complete || played.got == ids,
            "seed {seed}: {played:?}"
        );
    }
}

// A check that breaks says nothing, and the next run has to repeat the last event as well.
#[test]
fn a_check_that_breaks_is_begun_again() {
    let mut sequence = Sequence::default();
    for id in ["1", "2"] {
        sequence.admit(Event { id: Some(id) }).unwrap();
    }
    sequence.begin_check();
    for id in [None, Some("1"), Some("3"), Some("02"), Some("")] {
        let refused = sequence.admit(Event { id });
        assert_eq!(refused, Err(Disorder::Unrepeated), "{id:?}");
        assert!(sequence.is_unproven() && sequence.is_checking());
        let end = sequence.conclude(Framing::Chunks, false);
        assert_eq!(end, Conclusion::Broken, "{id:?}");
    }
    let repeated = Event { id: Some("2") };
    assert_eq!(sequence.admit(repeated), Ok(Place::Repeated));
    assert_eq!(sequence.admit(repeated), Err(Disorder::Backward));
    sequence.begin_run();
    assert_eq!(sequence.asked_id(), Some("1"));
    assert_eq!(sequence.admit(repeated), Ok(Place::Repeated));
    let end = sequence.conclude(Framing::Length, false);
    assert_eq!(end, Conclusion::Complete(Proof::Repeated));
    let end = sequence.conclude(Framing::Connection, false);
    assert_eq!(end, Conclusion::Unstated);
    let next = sequence.admit(Event { id: Some("3") });
    assert_eq!(next, Ok(Place::Next));
    let end = sequence.conclude(Framing::Connection, false);
    assert_eq!(end, Conclusion::Unstated);
    sequence.begin_run();
    assert_eq!(sequence.asked_id(), Some("3"));
}

const REGULAR: Ids = Ids {
    first: 1,
    is_regular: true,
    count: 4,
};

const IRREGULAR: Ids = Ids {
    is_regular: false,
    ..REGULAR
};

/// Returns the numbering after some streams that count by one.
fn known() -> Numbering {
    let mut numbering = Numbering::default();
    (0..8).for_each(|_| numbering.record(REGULAR));
    numbering
}

#[test]
fn ids_count_by_one_only_after_enough_streams() {
    let mut numbering = Numbering::default();
    for _ in 0..7 {
        numbering.record(REGULAR);
        assert_eq!(numbering.first_id(), None);
    }
    numbering.record(REGULAR);
    assert_eq!(numbering.first_id(), Some(1));
}

// Engines that lose an event in a quarter of their streams must not make gaps pass as usual.
#[test]
fn a_minority_of_gaps_leaves_the_numbering_known() {
    let mut numbering = known();
    for number in 0..400 {
        if number % 4 == 0 {
            numbering.record_gap();
        } else {
            numbering.record(REGULAR);
        }
        assert_eq!(numbering.first_id(), Some(1), "{number}");
    }
}

// Streams of engines that begin to number otherwise must not be given up for long.
#[test]
fn another_numbering_is_learned_soon() {
    let mut numbering = known();
    (0..1000).for_each(|_| numbering.record(REGULAR));
    let mut lost = 0;
    while numbering.first_id().is_some() {
        numbering.record_gap();
        lost += 1;
    }
    assert!(lost <= 32, "{lost}");
    (0..100).for_each(|_| numbering.record(IRREGULAR));
    assert_eq!(numbering.first_id(), None);
}

#[test]
fn streams_that_begin_with_another_id_are_learned() {
    let mut numbering = known();
    let from_zero = Ids {
        first: 0,
        ..REGULAR
    };
    for _ in 0..200 {
        numbering.record(from_zero);
    }
    assert_eq!(numbering.first_id(), Some(0));
}

// Two runs that lose the same event must not prove each other.
#[test]
fn a_gap_is_not_admitted_if_a_second_run_leaves_it_as_well() {
    let mut sequence = Sequence::default();
    sequence.expect(known());
    let event = |id| Event { id: Some(id) };
    assert_eq!(sequence.admit(event("1")), Ok(Place::Next));
    for _ in 0..2 {
        assert_eq!(sequence.admit(event("3")), Err(Disorder::Gap));
        assert_eq!(sequence.last_id(), Some("1"));
        sequence.begin_run();
    }
    assert_eq!(sequence.admit(event("2")), Ok(Place::Next));
}

// A caller that takes a stream up has to get the event behind its last one.
#[test]
fn a_stream_that_is_taken_up_goes_on_without_a_gap() {
    let mut sequence = Sequence::after("5");
    sequence.expect(known());
    assert_eq!(sequence.admit(Event { id: Some("7") }), Err(Disorder::Gap));
    assert_eq!(sequence.admit(Event { id: Some("6") }), Ok(Place::Next));
    assert_eq!(sequence.ids(), None);
}

// Engines that count tokens make many streams of one event, which must not pass for regular.
#[test]
fn short_streams_tell_nothing_of_the_numbering() {
    let mut numbering = Numbering::default();
    for count in [1, 2, 3].into_iter().cycle().take(300) {
        numbering.record(Ids { count, ..REGULAR });
        numbering.record(Ids { count, ..IRREGULAR });
    }
    assert_eq!(numbering, Numbering::default());
    let mut sequence = Sequence::default();
    sequence.admit(Event { id: Some("1") }).unwrap();
    numbering.record(sequence.ids().unwrap());
    assert_eq!(numbering, Numbering::default());
}

/// Returns the outcome of the last of some events.
fn admit_all(sequence: &mut Sequence, ids: &[&str]) -> Result<Place, Disorder> {
    let admit = |_, id: &&str| sequence.admit(Event { id: Some(id) });
    ids.iter().fold(Ok(Place::Next), admit)
}

// The first streams of a service passed with gaps.
#[test]
fn ids_that_have_counted_by_one_are_held_to_it() {
    for (ids, expected) in [
        (&["1", "2", "3", "4", "6"][..], Err(Disorder::Gap)),
        (&["0", "1", "2", "3", "5"], Err(Disorder::Gap)),
        (&["1", "2", "3", "4", "5"], Ok(Place::Next)),
        (&["1", "2", "3", "5"], Ok(Place::Next)),
        (&["1", "12", "13", "14", "15", "17"], Ok(Place::Next)),
    ] {
        let mut sequence = Sequence::default();
        sequence.expect(Numbering::default());
        assert_eq!(admit_all(&mut sequence, ids), expected, "{ids:?}");
    }
    // What a caller has received before does not tell how its first run counted.
    let mut sequence = Sequence::after("1");
    sequence.expect(Numbering::default());
    let place = admit_all(&mut sequence, &["2", "3", "4", "5", "7"]);
    assert_eq!(place, Ok(Place::Next));
}

// Streams of engines that count tokens must not be given up because of a few equal steps.
#[test]
fn engines_that_count_tokens_lose_few_streams() {
    let mut numbering = Numbering::default();
    let mut lost = 0;
    for number in 0..200 {
        let mut sequence = Sequence::default();
        sequence.expect(numbering);
        let ids = match number % 4 {
            0 => &["1", "2", "3", "4"][..],
            1 => &["1", "2", "3", "4", "7"],
            2 => &["1", "2", "3", "4", "5", "7", "8"],
            _ => &["1", "3", "4", "6"],
        };
        if admit_all(&mut sequence, ids) == Err(Disorder::Gap) {
            numbering.record_gap();
            lost += 1;
        } else {
            numbering.record(sequence.ids().unwrap());
        }
    }
    assert_eq!(numbering.finding(), Some(Finding::Irregular));
    assert!(lost <= 8, "{lost}");
}

// What another host or version has shown must not cost many streams where it does not hold.
#[test]
fn a_finding_of_others_is_overturned_by_eight_streams() {
    let mut numbering = Numbering::from(Finding::Regular { first: 1 });
    assert_eq!(numbering, known());
    for _ in 0..8 {
        assert_eq!(numbering.first_id(), Some(1));
        numbering.record_gap();
    }
    assert_eq!(numbering.finding(), None);
    let mut numbering = Numbering::from(Finding::Irregular);
    for _ in 0..4 {
        assert_eq!(numbering.finding(), Some(Finding::Irregular));
        numbering.record(REGULAR);
    }
    (0..8).for_each(|_| numbering.record(REGULAR));
    assert_eq!(numbering.first_id(), Some(1));
}

// An event that lost its id must not end a stream, or keep it from going on elsewhere.
#[test]
fn an_event_without_an_id_is_not_admitted_where_ids_count_by_one() {
    let mut sequence = Sequence::default();
    sequence.admit(Event { id: Some("1") }).unwrap();
    sequence.expect(known());
    let event = sequence.admit(Event { id: None });
    assert_eq!(event, Err(Disorder::Unnumbered));
    assert!(sequence.is_resumable());
}

// Guards against ends that endpoints state because their time is over.
#[test]
fn an_end_within_an_event_of_the_deadline_is_overdue() {
    let sent_at = Moment {
        now: Instant::now(),
        uptime: Duration::from_secs(100),
    };
    let after = |time| Moment {
        now: sent_at.now + time,
        uptime: sent_at.uptime + time,
    };
    let deadline = Deadline {
        sent_at,
        duration: Duration::from_secs(14),
    };
    let event_time = Duration::from_millis(300);
    for (framing, head, end, is_overdue) in [
        (Framing::Chunks, 100, 13_000, false),
        (Framing::Chunks, 100, 13_600, false),
        (Framing::Chunks, 100, 13_700, true),
        (Framing::Chunks, 100, 13_999, true),
        (Framing::Chunks, 100, 20_000, true),
        (Framing::Length, 100, 20_000, false),
        (Framing::Length, 13_999, 13_999, true),
    ] {
        let timing = Timing {
            framing,
            head_at: after(Duration::from_millis(head)),
            deadline,
        };
        let read_at = after(Duration::from_millis(end));
        assert_eq!(
            timing.is_overdue(read_at, event_time),
            is_overdue,
            "{framing:?}, {end}"
        );
    }
}

// Guards against ends before an event that takes longer than the mean: pieces are uneven, and an
// engine does not begin one that it cannot complete by its deadline.
#[test]
fn an_end_before_a_long_event_is_overdue() {
    const PLAYS: u32 = 10_000;
    let mut random = StdRng::seed_from_u64(56);
    let sent_at = Moment {
        now: Instant::now(),
        uptime: Duration::ZERO,
    };
    let duration = Duration::from_secs(14);
    let deadline = Deadline { sent_at, duration };
    let mut believed = 0;
    for _ in 0..PLAYS {
        let mean = Duration::from_millis(random.random_range(30..400));
        let mut next_gap = || mean.mul_f64(random.random_range(0.2_f64..2.0).powi(2));
        let (mut at, mut pace) = (Duration::from_millis(150), Pace::default());
        loop {
            pace.record(sent_at.now + at, 1);
            let gap = next_gap();
            if at + gap > duration {
                break;
            }
            at += gap;
        }
        let end = Moment {
            now: sent_at.now + at,
            uptime: at,
        };
        let event_time = pace.event_time(Duration::from_millis(300));
        believed += u32::from(!deadline.may_have_stopped(end, event_time));
    }
    assert!(
        believed * 1000 <= PLAYS,
        "{believed} of {PLAYS} are believed"
    );
}

// Guards against runs of a few slow events, whose longest gap may be the usual one.
#[test]
fn the_mean_gap_of_a_few_events_counts_whole() {
    let (begun_at, max_gap) = (Instant::now(), Duration::from_millis(300));
    for (times, event_time) in [
        (vec![900, 1800], 900),
        (vec![900, 1800, 2700], 2400),
        (vec![100, 200, 300, 2300], 733),
    ] {
        let mut pace = Pace::default();
        for time in &times {
            pace.record(begun_at + Duration::from_millis(*time), 1);
        }
        let got = pace.event_time(max_gap).as_millis();
        assert_eq!(got, event_time, "{times:?}");
    }
}

// Guards against a clock that stands still while the host is suspended.
#[test]
fn time_in_which_the_host_was_suspended_counts_towards_a_deadline() {
    let sent_at = Moment {
        now: Instant::now(),
        uptime: Duration::ZERO,
    };
    let deadline = Deadline {
        sent_at,
        duration: Duration::from_secs(3),
    };
    let resumed = Moment {
        now: sent_at.now + Duration::from_millis(50),
        uptime: Duration::from_secs(6),
    };
    assert!(deadline.may_have_stopped(resumed, Duration::ZERO));
}
