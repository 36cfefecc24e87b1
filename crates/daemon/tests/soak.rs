//! A soak of gateway processes under faults from outside.
//!
//! `SOAK_SEEDS` lists the seeds, or asks for fresh ones with `fresh:N`;
//! `SOAK_SECONDS` is the time that faults last for each.

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
use soak::proxy::Way;
use soak::site::Site;

/// Seeds that failed once, each with its cause. They are run with the usual
/// ones.
const ONCE_RED: [u64; 6] = [
    // A claim whose answer was lost counted as a move; all engines of the
    // service were then ordered elsewhere at once and served nobody.
    24, 37, 53,
    // Each announcement of a move began its time anew, so that an engine was
    // left out for ten seconds more, together with the next one.
    114, 128,
    // Moves were announced with the time that they still had, and heard up to
    // ten seconds later; a host took all engines to be on the move.
    307,
];

/// Seeds that are run when none are asked for.
const USUAL: [u64; 1] = [1];

/// Seeds that are played at once, each on addresses of its own.
const AT_ONCE: usize = 3;

/// Time that faults last when none is asked for, in seconds.
const SECONDS: u64 = 8;

/// Time for everything to recover once faults are over: the grace time of a
/// terminating process, and its start.
const RECOVERY: Duration = Duration::from_secs(10);

/// Faults that runs of endpoints have.
const RUNS: [Fault; 7] = [
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
        None if seeds.is_empty() => [&ONCE_RED[..], &USUAL].concat(),
        None => seeds.split(',').map(|seed| seed.parse().unwrap()).collect(),
    };
    for group in seeds.chunks(AT_ONCE) {
        std::thread::scope(|scope| {
            for seed in group {
                scope.spawn(|| play(*seed));
            }
        });
    }
}

/// Plays one seed in a runtime of its own.
fn play(seed: u64) {
    let runtime = tokio::runtime::Builder::new_multi_thread();
    let runtime = { runtime }.worker_threads(2).enable_all().build().unwrap();
    println!("soak: seed {seed}");
    runtime.block_on(run(seed));
}

/// Plays one seed.
async fn run(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut site = Site::start((seed % 200) as u8 + 20).await;
    let load = Load::start(site.gateways(), random.random());
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds.map_or(SECONDS, |seconds| seconds.parse().unwrap());
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds);
    while tokio::time::Instant::now() < end {
        fault(&mut site, &mut random);
        let pause = random.random_range(150..900);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        site.revive();
    }
    site.heal();
    let until = tokio::time::Instant::now() + RECOVERY;
    while tokio::time::Instant::now() < until {
        site.revive();
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    load.note_healed();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let rows = load.stop().await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    site.check(seed, &rows);
}

/// Makes one thing wrong.
fn fault(site: &mut Site, random: &mut StdRng) {
    let ways = [Way::Slow, Way::Silent, Way::Upward, Way::Reset];
    let gateway = random.random_range(0..site.processes());
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
        8 => site.change(),
        9 => {
            let way = ways.choose(random).copied().unwrap_or_default();
            site.proxies[runner].set(way);
        }
        10 => site.proxies[runner].set(Way::Open),
        _ => {
            for _ in 0..random.random_range(1..6) {
                let fault = RUNS.choose(random).copied();
                site.runners[runner].inject(fault.unwrap_or(Fault::NotRun));
            }
        }
    }
}
