//! The fault matrix: injects every fault at every step of a request. The daemons
//! run their real code over in-memory pipes with a paused clock.

mod caller;
mod fault;
mod scene;
mod table;

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use fault::Fault;
use scene::{Report, Scenario};
use table::{Cell, Step};

/// Seed of the matrix unless the environment variable `MATRIX_SEED` is set.
const DEFAULT_SEED: u64 = 5;

/// Number of pairs of faults that are drawn.
const PAIR_COUNT: usize = 160;

/// Number of threads that run cells. Each list of cells has its own runtime.
const THREAD_COUNT: usize = 4;

/// Seed of this run.
fn seed() -> u64 {
    let named = std::env::var("MATRIX_SEED").ok();
    named
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(DEFAULT_SEED)
}

/// Runs one list of cells on its own runtime with a paused clock.
fn run_cells(cells: &[Cell], seed: u64) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(Scenario::run(cells, seed))
}

/// Runs lists of cells on several threads and prints the failed ones.
fn run_lists(name: &str, lists: &[Vec<Cell>]) -> Vec<Report> {
    let next = Mutex::new(0..lists.len());
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| loop {
                let Some(index) = next.lock().unwrap().next() else {
                    return;
                };
                let report = run_cells(&lists[index], seed());
                reports.lock().unwrap().push((index, report));
            });
        }
    });
    let mut reports = reports.into_inner().unwrap();
    reports.sort_by_key(|(index, _)| *index);
    let reports = reports.into_iter().map(|(_, report)| report);
    let reports = reports.collect::<Vec<_>>();
    let missed = reports.iter().filter(|report| !report.reached).count();
    let red = reports.iter().filter(|report| report.is_red()).count();
    println!(
        "{name}: {} cells run under seed {}, {missed} did not reach their step, {red} red",
        reports.len(),
        seed(),
    );
    let mut outcome_counts = BTreeMap::<&str, usize>::new();
    for outcome in reports.iter().flat_map(|report| &report.outcomes) {
        *outcome_counts.entry(outcome).or_default() += 1;
    }
    println!("{name}: outcomes of the affected calls: {outcome_counts:?}");
    for report in reports.iter().filter(|report| report.is_red()) {
        println!("red: {report}");
    }
    reports
}

#[test]
fn every_fault_at_every_step() {
    let mut lists = Vec::new();
    let mut impossible = 0;
    for fault in Fault::ALL {
        for step in Step::ALL {
            let cell = Cell {
                fault: *fault,
                step: *step,
            };
            match cell.impossible_reason() {
                Some(reason) => {
                    impossible += 1;
                    println!("cannot occur: {cell}: {reason}");
                }
                None => lists.push(vec![cell]),
            }
        }
    }
    println!("singles: {impossible} cells cannot occur");
    let reports = run_lists("singles", &lists);
    assert!(
        reports.iter().all(|report| report.reached),
        "a step was missed"
    );
    assert!(
        !reports.iter().any(is_new_failure),
        "guarantees were violated, see above"
    );
}

#[test]
fn sampled_pairs_of_faults() {
    let mut random = StdRng::seed_from_u64(seed());
    let mut lists = Vec::new();
    while lists.len() < PAIR_COUNT {
        let mut pair = [Cell::draw(&mut random), Cell::draw(&mut random)];
        pair.sort_by_key(|cell| cell.step);
        let possible = pair.iter().all(|cell| cell.impossible_reason().is_none());
        if possible && pair[0].fault != pair[1].fault {
            lists.push(pair.to_vec());
        }
    }
    let reports = run_lists("pairs", &lists);
    assert!(
        !reports.iter().any(is_new_failure),
        "guarantees were violated, see above"
    );
}

#[test]
fn no_product_code_reads_a_wall_clock() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut folders = ["lib", "policy", "wire", "daemon"]
        .map(|name| crates.join(name))
        .to_vec();
    let mut files = 0;
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "rs") {
                let text = std::fs::read_to_string(&path).unwrap();
                files += 1;
                for clock in ["SystemTime", "UNIX_EPOCH"] {
                    assert!(!text.contains(clock), "{clock} in {}", path.display());
                }
            }
        }
    }
    assert!(files > 0, "no source file found");
}

/// Whether a report has failed and KNOWN-RED.txt lists none of its cells.
fn is_new_failure(report: &Report) -> bool {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let known = std::fs::read_to_string(root.join("KNOWN-RED.txt")).unwrap_or_default();
    let mut cells = report.cells.iter();
    report.is_red() && !cells.any(|cell| known.contains(&format!("cell \"{cell}\"")))
}

/// Draws an element of a list.
fn draw<T: Copy>(random: &mut StdRng, list: &[T]) -> T {
    list[random.random_range(0..list.len())]
}
