//! Soak test of gateway processes under externally injected faults.
//!
//! `SOAK_SEEDS` is a comma-separated list of seeds, or `fresh:N` for N random
//! ones. `SOAK_SECONDS` is the time for which each seed injects faults.

mod soak {
    pub mod load;
    pub mod proxy;
    pub mod site;
}

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use cranberryridge_standin::runner::Fault;
use cranberryridge_standin::store;

use soak::load::Load;
use soak::proxy::Mode;
use soak::site::Site;

/// Seeds that failed in the past, each with its cause. They run by default.
const REGRESSION_SEEDS: [u64; 6] = [
    // A claim whose answer was lost counted as a move. All engines of the
    // service were then ordered to move at once, and none was left to serve.
    24, 37, 53,
    // Each announcement of a move restarted its timer, so that an engine stayed
    // excluded for ten more seconds, at the same time as the next one.
    114, 128,
    // Moves were announced with their remaining time but received up to ten
    // seconds later, so that a host considered all engines to be moving.
    307,
];

/// Further seeds that run if `SOAK_SEEDS` is not set.
const DEFAULT_SEEDS: [u64; 2] = [1, 1002];

/// Seeds from this one on also let the store come back from an older copy, and
/// endpoints refuse with a time of rest. Earlier seeds keep the faults with which
/// they once failed.
const FIRST_SEED_WITH_COPIES: u64 = 1000;

/// Number of seeds that run concurrently, each on its own addresses. Seeds that are
/// equal modulo 200 share addresses and cannot run together.
const MAX_PARALLEL_SEEDS: usize = 3;

/// Time for which faults are injected if `SOAK_SECONDS` is not set.
const DEFAULT_FAULT_SECONDS: u64 = 8;

/// Time to recover after the last fault. It covers the grace period of a
/// terminating process and its restart.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Faults that are injected into runs at endpoints.
const RUN_FAULTS: [Fault; 7] = [
    Fault::NotRun,
    Fault::Misdirected,
    Fault::Failure,
    Fault::Hang,
    Fault::Break(2),
    Fault::Foreign,
    Fault::Unsigned,
];

#[test]
fn promises_hold_under_faults() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_default();
    let seeds = match seeds.strip_prefix("fresh:") {
        Some(number) => {
            let number = number.parse::<usize>().unwrap();
            (0..number).map(|_| rand::random::<u64>()).collect()
        }
        None if seeds.is_empty() => [&REGRESSION_SEEDS[..], &DEFAULT_SEEDS].concat(),
        None => seeds.split(',').map(|seed| seed.parse().unwrap()).collect(),
    };
    for group in seeds.chunks(MAX_PARALLEL_SEEDS) {
        std::thread::scope(|scope| {
            for seed in group {
                scope.spawn(|| run_in_runtime(*seed));
            }
        });
    }
}

/// Runs one seed in its own runtime.
fn run_in_runtime(seed: u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = { runtime }.worker_threads(2).enable_all().build().unwrap();
    println!("soak: seed {seed}");
    runtime.block_on(run_seed(seed));
}

/// Injects faults under load, lets the site recover and checks the results.
async fn run_seed(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::start((seed % 200) as u8 + 20).await;
    let load = Load::start(site.gateways(), random.random());
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(DEFAULT_FAULT_SECONDS, |seconds| seconds.parse().unwrap());
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds);
    while tokio::time::Instant::now() < end {
        inject_fault(&mut site, &mut random);
        if seed >= FIRST_SEED_WITH_COPIES {
            inject_platform_fault(&mut site, &mut random);
        }
        let delay = random.random_range(150..900);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        site.restart_ended();
    }
    site.end_faults();
    let until = tokio::time::Instant::now() + RECOVERY_TIME;
    while tokio::time::Instant::now() < until {
        site.restart_ended();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    load.mark_faults_over();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let rows = load.stop().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.assert_guarantees(seed, &rows);
}

/// Injects or ends one random fault.
fn inject_fault(site: &mut Site, random: &mut StdRng) {
    let modes = [Mode::Delayed, Mode::Silent, Mode::RequestsOnly, Mode::Reset];
    let gateway = random.random_range(0..site.process_count());
    let runner = random.random_range(0..site.runners.len());
    match random.random_range(0..12) {
        0 => site.signal(gateway, "KILL"),
        1 | 2 => site.signal(gateway, "TERM"),
        3 => site.signal(gateway, "HUP"),
        4 => site.signal(gateway, "STOP"),
        5 => site.signal(gateway, "CONT"),
        6 => {
            let faults = [
                store::Fault::Unavailable,
                store::Fault::Silent,
                store::Fault::AnswersLost,
            ];
            let fault = faults.choose(random).copied().unwrap_or_default();
            site.store.set_fault(fault);
        }
        7 => site.store.set_fault(store::Fault::None),
        8 => site.publish_configuration(),
        9 => {
            let mode = modes.choose(random).copied().unwrap_or_default();
            site.proxies[runner].set(mode);
        }
        10 => site.proxies[runner].set(Mode::Open),
        _ => {
            for _ in 0..random.random_range(1..6) {
                let fault = RUN_FAULTS.choose(random).copied();
                site.runners[runner].inject(fault.unwrap_or(Fault::NotRun));
            }
        }
    }
}

/// Lets the store return from a copy, or an endpoint ask for rests, or neither.
fn inject_platform_fault(site: &mut Site, random: &mut StdRng) {
    let runner = random.random_range(0..site.runners.len());
    match random.random_range(0..6) {
        0 => site.restore_store(Duration::from_millis(random.random_range(0..6000))),
        1 => site.runners[runner].set_rest(Some("0.7")),
        2 => site.runners.iter().for_each(|runner| runner.set_rest(None)),
        _ => {}
    }
}
