//! Order of the events that callers got in streams, and counts of what breaks it.

use std::collections::{BTreeMap, HashSet};

use cranberryridge_standin::runner::{Fault, Runner};
use cranberryridge_standin::transcript::Transcript;

use super::load::Row;
use super::site::Site;

/// Number of events of a stream.
pub const EVENTS: usize = 5;

/// What is wrong with a stream that its caller took as whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Form {
    /// It ended before its last event.
    FalseEnd,
    /// An event arrived twice.
    Repeated,
    /// An event is missing between two others.
    Missing,
    /// An event came before one that it belongs behind, or is no event.
    OutOfOrder,
    /// Events of several versions arrived.
    Mixed,
}

impl Form {
    /// Returns what is wrong with events that arrived, the last of which was taken as the end
    /// of the stream if `has_ended`.
    pub fn of(got: &Transcript, has_ended: bool) -> Option<Self> {
        let ids = got.ids().collect::<Vec<_>>();
        let mut seen = HashSet::new();
        if !ids.iter().all(|id| seen.insert(*id)) {
            Some(Self::Repeated)
        } else if !ids.is_sorted() || ids.contains(&0) {
            Some(Self::OutOfOrder)
        } else if !got.is_in_order() {
            Some(Self::Missing)
        } else if got.is_mixed() {
            Some(Self::Mixed)
        } else if has_ended && ids.len() < EVENTS {
            Some(Self::FalseEnd)
        } else {
            None
        }
    }
}

/// Counts of what is wrong with streams, by framing and by what their callers did.
#[derive(Debug, Default)]
pub struct Counts {
    counts: BTreeMap<(Form, &'static str, &'static str), usize>,
    /// Attempts of which a run had neither a length nor chunks.
    unframed: HashSet<String>,
}

impl Counts {
    /// Counts nothing yet.
    pub fn new(runners: &[Runner]) -> Self {
        let calls = runners.iter().flat_map(Runner::calls);
        let unframed = calls.filter(|call| call.ran && call.fault.is_some_and(Fault::is_unframed));
        let unframed = unframed.map(|call| call.headers["attempt-id"].to_str().unwrap().into());
        Self {
            counts: BTreeMap::new(),
            unframed: unframed.collect(),
        }
    }

    /// Counts a form of a stream whose last try had an attempt.
    pub fn add(&mut self, form: Form, attempt: &str, caller: &'static str) {
        let framing = if self.unframed.contains(attempt) {
            "connection"
        } else {
            "chunks"
        };
        *self.counts.entry((form, framing, caller)).or_default() += 1;
    }

    /// Prints the counts.
    pub fn print(&self, seed: u64, callers: &str, streams: usize) {
        println!(
            "soak: seed {seed}: {callers}: {} of {streams} streams wrong {:?}",
            self.counts.values().sum::<usize>(),
            self.counts
        );
    }
}

/// Prints how many runs had neither a length nor chunks, and how many of them ended early.
pub fn print_runs(seed: u64, runners: &[Runner]) {
    let calls = runners.iter().flat_map(Runner::calls);
    let faults = calls.filter(|call| call.ran).filter_map(|call| call.fault);
    let faults = faults.filter(|fault| fault.is_unframed());
    let faults = faults.collect::<Vec<_>>();
    let early = faults.iter().filter(|fault| **fault != Fault::Unframed);
    println!(
        "soak: seed {seed}: {} runs without a length or chunks, {} of them ended early",
        faults.len(),
        early.count()
    );
}

/// Prints counts of the streams that ended as complete, but are not.
pub fn print(seed: u64, callers: &str, rows: &[Row], site: &Site) {
    let mut counts = Counts::new(&site.runners);
    let mut streams = 0;
    for row in rows
        .iter()
        .filter(|row| row.is_stream() && row.status == Some(200))
    {
        streams += 1;
        let Some(body) = &row.body else { continue };
        let mut got = Transcript::default();
        got.push(body.as_bytes());
        if let Some(form) = Form::of(&got, true) {
            counts.add(form, &row.attempt, row.speaks());
        }
    }
    counts.print(seed, callers, streams);
}
