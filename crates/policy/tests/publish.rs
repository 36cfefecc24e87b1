//! All readers of one log have the same configuration, wherever they start reading.

use std::time::{Duration, Instant};

use bolero::TypeGenerator;
use rand::{rngs::StdRng, RngExt, SeedableRng};

use cranberryridge_policy::publish::{
    Lag, Outcome, Reader, Republisher, LAG_TOLERANCE, REPUBLISH_INTERVAL, REPUBLISH_JITTER,
};
use cranberryridge_wire::id::Version;
use cranberryridge_wire::record::{Change, Copy, Record, Service};
use cranberryridge_wire::service;

/// Creates a service that can be recognized by its target.
fn quotes_service(target: u64) -> Service {
    service::parse(&format!(
        "name = \"quotes\"\nmodel = \"m\"\nfirst_token_ms = {}\n",
        target + 1
    ))
    .unwrap()
}

/// Creates a change made on a base version.
fn change(base: u64, target: u64, snapshot: bool) -> Record {
    Record::Change(Change {
        id: target,
        base: Version(base),
        author: "test".into(),
        snapshot,
        services: vec![quotes_service(target)],
        removed: vec![],
    })
}

/// Feeds a reader the records that the log still keeps, up to the log's end.
fn read(reader: &mut Reader, log: &[Record], first: usize) {
    loop {
        reader.trim(first as u64);
        let Some(record) = log.get(reader.next_offset() as usize) else {
            return;
        };
        let before = reader.configuration().version;
        reader.apply(reader.next_offset(), Some(record));
        assert!(
            reader.configuration().version >= before,
            "the version decreased"
        );
    }
}

/// An input to the simulation.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// An operator publishes a change on the version that it last read.
    Publish { operator: u8, snapshot: bool },
    /// An operator reads the log.
    Read { operator: u8 },
    /// An operator's daemon repeats in the log the configuration that it last read.
    Republish { operator: u8 },
    /// The log drops its oldest records.
    Trim { records: u8 },
    /// An operator takes over the configuration of another.
    Adopt { operator: u8, from: u8 },
    /// A new process replaces an operator's.
    Restart { operator: u8 },
}

/// Number of readers that publish, restart and take over.
const OPERATORS: u8 = 4;

#[test]
fn readers_never_disagree() {
    bolero::check!()
        .with_type::<Vec<Step>>()
        .for_each(|steps| run(steps));
}

#[test]
fn readers_never_disagree_in_long_runs() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let steps = (0..120).map(|_| step(&mut random)).collect::<Vec<_>>();
        run(&steps);
    }
}

/// Draws a step; publishing and reading are the most frequent.
fn step(random: &mut StdRng) -> Step {
    let (operator, from) = (random.random(), random.random());
    match random.random_range(0..12) {
        0..4 => Step::Publish {
            operator,
            snapshot: random.random(),
        },
        4..7 => Step::Read { operator },
        7..9 => Step::Republish { operator },
        9 => Step::Trim {
            records: random.random_range(0..4),
        },
        10 => Step::Adopt { operator, from },
        _ => Step::Restart { operator },
    }
}

/// Runs the steps and compares every synced reader with one that saw all records.
fn run(steps: &[Step]) {
    let mut log = Vec::<Record>::new();
    let mut history = vec![Reader::default()];
    let mut readers = vec![Reader::default(); usize::from(OPERATORS)];
    let mut first = 0;
    for step in steps {
        let index_of = |operator: u8| usize::from(operator % OPERATORS);
        let record = match *step {
            Step::Publish { operator, snapshot } => {
                let base = readers[index_of(operator)].configuration().version.0;
                Some(change(base, log.len() as u64, snapshot))
            }
            Step::Republish { operator } => {
                readers[index_of(operator)].log_copy().map(Record::Copy)
            }
            Step::Read { operator } => {
                read(&mut readers[index_of(operator)], &log, first);
                None
            }
            Step::Trim { records } => {
                first = (first + usize::from(records % 8)).min(log.len());
                None
            }
            Step::Adopt { operator, from } => {
                if let Some(copy) = readers[index_of(from)].peer_copy() {
                    let services = serde_json::from_slice::<Vec<Service>>(copy.services.as_slice());
                    readers[index_of(operator)].adopt(copy.version, copy.next, &services.unwrap());
                }
                None
            }
            Step::Restart { operator } => {
                readers[index_of(operator)] = Reader::default();
                None
            }
        };
        if let Some(record) = record {
            let mut whole = history.last().unwrap().clone();
            whole.apply(log.len() as u64, Some(&record));
            history.push(whole);
            log.push(record);
        }
        for reader in readers.iter().filter(|reader| reader.is_synced()) {
            let truth = history[reader.exact_end() as usize].configuration();
            let own = reader.configuration();
            assert_eq!(own.version, truth.version);
            assert_eq!(own.services, truth.services);
        }
        for reader in &readers {
            let known = |truth: &Reader| {
                truth.configuration().version == reader.configuration().version
                    && truth.configuration().services == reader.configuration().services
            };
            assert!(
                history.iter().any(known),
                "a configuration that never was in force"
            );
        }
    }
}

#[test]
fn a_void_snapshot_read_first_is_not_applied() {
    let log = [change(0, 1, true), change(1, 2, true), change(1, 3, true)];
    let mut whole = Reader::default();
    read(&mut whole, &log, 0);
    assert_eq!(whole.configuration().version, Version(2));
    let mut fresh = Reader::default();
    read(&mut fresh, &log, 2);
    assert_eq!(fresh.configuration().version, Version(0));
    assert!(!fresh.is_synced());
}

#[test]
fn a_copy_brings_a_new_reader_to_the_same_version() {
    let mut log = vec![change(0, 1, true), change(1, 2, true)];
    let mut whole = Reader::default();
    read(&mut whole, &log, 0);
    let copy = whole.log_copy().unwrap();
    log.push(change(2, 3, false));
    log.push(Record::Copy(copy));
    log.push(change(2, 4, false));
    log.push(change(3, 5, false));
    read(&mut whole, &log, 0);
    let mut fresh = Reader::default();
    read(&mut fresh, &log, 2);
    assert!(fresh.is_synced());
    assert_eq!(fresh.configuration().version, Version(6));
    assert_eq!(whole.configuration().version, Version(6));
    assert_eq!(
        fresh.configuration().services,
        whole.configuration().services
    );
}

#[test]
fn a_copy_with_a_gap_after_it_is_not_adopted() {
    let log = [
        change(0, 1, true),
        change(1, 2, false),
        Record::Copy(Copy {
            version: Version(1),
            next: 1,
            services: vec![quotes_service(1)],
        }),
    ];
    let mut fresh = Reader::default();
    read(&mut fresh, &log, 2);
    assert_eq!(fresh.configuration().version, Version(0));
}

#[test]
fn changes_apply_across_an_unparsable_record() {
    let mut reader = Reader::default();
    assert_eq!(
        reader.apply(0, Some(&change(0, 1, false))),
        Outcome::Applied
    );
    assert_eq!(reader.apply(1, None), Outcome::Ignored);
    let removal = Record::Change(Change {
        id: 9,
        base: Version(1),
        author: "test".into(),
        snapshot: false,
        services: vec![],
        removed: vec!["quotes".into()],
    });
    assert_eq!(reader.apply(2, Some(&removal)), Outcome::Applied);
    assert!(reader.configuration().services.is_empty());
}

#[test]
fn one_republisher_is_due_first_and_the_others_wait() {
    let now = Instant::now();
    let mut republishers = (0..20)
        .map(|seed| Republisher::new(now, &mut StdRng::seed_from_u64(seed)))
        .collect::<Vec<_>>();
    let step = Duration::from_millis(100);
    let due = |republishers: &[Republisher], at| {
        republishers
            .iter()
            .filter(|republisher| republisher.is_due(at))
            .count()
    };
    let mut at = now;
    while due(&republishers, at) == 0 {
        at += step;
    }
    assert!(at <= now + REPUBLISH_JITTER);
    assert!(due(&republishers, at) < republishers.len());
    let mut random = StdRng::seed_from_u64(99);
    for republisher in &mut republishers {
        republisher.record_copy(at, &mut random);
    }
    assert_eq!(due(&republishers, at + REPUBLISH_INTERVAL - step), 0);
    assert_eq!(
        due(&republishers, at + REPUBLISH_INTERVAL + REPUBLISH_JITTER),
        republishers.len()
    );
}

#[test]
fn only_a_daemon_that_keeps_lagging_takes_over() {
    let now = Instant::now();
    let mut lag = Lag::default();
    assert!(lag.observe(now, Version(0), Version(3)), "fresh");
    assert!(!lag.observe(now, Version(0), Version(3)));
    assert!(lag.observe(now + LAG_TOLERANCE, Version(0), Version(3)));
    assert!(!lag.observe(now + LAG_TOLERANCE, Version(3), Version(4)));
    assert!(!lag.observe(now + LAG_TOLERANCE, Version(4), Version(4)));
    assert!(!lag.observe(now + LAG_TOLERANCE, Version(5), Version(4)));
}
