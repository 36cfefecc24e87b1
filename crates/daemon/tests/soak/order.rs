//! Order of the events that callers got in streams, and counts of what breaks it.

use std::collections::{BTreeMap, HashSet};

use cranberryridge_standin::runner::{Fault, Runner};
use cranberryridge_standin::stream::{self, Form, Held, Ledger};
use cranberryridge_standin::transcript::Transcript;

use super::load::Row;
use super::site::Site;

/// Number of events of a stream.
pub const EVENTS: usize = 5;

/// Returns what is wrong with the ids and versions of events that arrived, the last of which was
/// taken as the end of the stream if `has_ended`.
pub fn form_of_ids(got: &Transcript, has_ended: bool) -> Option<Form> {
    let ids = got.ids().collect::<Vec<_>>();
    let mut seen = HashSet::new();
    if !ids.iter().all(|id| seen.insert(*id)) {
        Some(Form::Repeated)
    } else if !ids.is_sorted() || ids.contains(&0) {
        Some(Form::OutOfOrder)
    } else if !got.is_in_order() {
        Some(Form::Missing)
    } else if got.is_mixed() {
        Some(Form::Mixed)
    } else if has_ended && ids.len() < EVENTS {
        Some(Form::FalseEnd)
    } else {
        None
    }
}

/// Returns what is wrong with the stream that a request was answered with, held against what the
/// engines made. Of a stream that was cut, what is behind its last event is no fault.
pub fn form_of(row: &Row, ledger: &Ledger) -> Option<Form> {
    let has_ended = row.body.is_some();
    let (events, rest) = stream::split(row.body.as_ref().or(row.cut.as_ref())?);
    let events = events.iter().map(|event| (&row.attempt, event));
    let held = Held {
        events: &events.collect::<Vec<_>>(),
        total: EVENTS as u32,
        has_ended,
        may_resume: row.route == "list",
    };
    let is_torn = has_ended && !rest.is_empty();
    ledger
        .check(&held)
        .or_else(|| is_torn.then_some(Form::Altered))
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

/// Prints counts of the streams that are wrong, or ended as complete and are not.
pub fn print(seed: u64, callers: &str, rows: &[Row], site: &Site) {
    let mut counts = Counts::new(&site.runners);
    let mut streams = 0;
    for row in rows
        .iter()
        .filter(|row| row.is_stream() && row.status == Some(200))
    {
        streams += 1;
        let form = row.body.as_ref().and_then(|body| {
            let mut got = Transcript::default();
            got.push(body.as_bytes());
            form_of_ids(&got, true)
        });
        if let Some(form) = form.or_else(|| form_of(row, &site.ledger)) {
            counts.add(form, &row.attempt, row.speaks());
        }
    }
    counts.print(seed, callers, streams);
}
