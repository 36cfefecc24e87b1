//! Injection of faults, drawn from a seed's generator.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;

use cranberryridge_standin::runner::Fault;
use cranberryridge_standin::store;

use super::proxy::{Cut, End, Mode, Place, Spared};
use super::site::Site;

/// Maximum number of bytes from a server before a connection is cut. A stream with its head
/// has fewer.
const MAX_CUT_BYTES: usize = 600;

/// Faults that a series injects into runs at endpoints. Refusals are frequent, as each
/// causes a retry.
const SERIES_RUN_FAULTS: [Fault; 8] = [
    Fault::Unframed,
    Fault::UnframedBreak(0),
    Fault::UnframedBreak(3),
    Fault::UnframedEmpty,
    Fault::Failure,
    Fault::NotRun,
    Fault::NotRun,
    Fault::NotRun,
];

/// How links to engines end.
const ENDS: [End; 4] = [End::Close, End::Close, End::HalfClose, End::Reset];

/// Faults that are injected into runs that go on after an event.
const CONTINUATION_FAULTS: [Fault; 14] = [
    Fault::Empty,
    Fault::EmptyChunks,
    Fault::Text,
    Fault::ErrorHead,
    Fault::Unnumbered,
    Fault::Anew,
    Fault::Failure,
    Fault::NotRun,
    Fault::Busy,
    Fault::Unframed,
    Fault::UnframedEmpty,
    Fault::UnframedBreak(3),
    Fault::UnframedCrash(3),
    Fault::Foreign,
];

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

/// Injects or ends one random fault.
pub fn inject_fault(site: &mut Site, random: &mut StdRng, modes: &[Mode]) {
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

/// Injects faults into the answers of an endpoint and into continuations at the engines.
pub fn inject_answer_faults(site: &Site, random: &mut StdRng, spared: Spared) {
    let index = random.random_range(0..site.runners.len());
    let crash = Fault::UnframedCrash(random.random_range(0..5));
    match random.random_range(0..8) {
        0 => site.proxies[index].set(Mode::Cut(Cut {
            place: Place::Bytes(random.random_range(0..MAX_CUT_BYTES)),
            end: if random.random_ratio(1, 2) {
                End::Reset
            } else {
                End::Close
            },
            spared,
        })),
        // With these faults all over the site, hardly a stream would begin.
        1 => {
            site.store.set_fault(store::Fault::None);
            for proxy in &site.proxies {
                proxy.set(Mode::Open);
            }
        }
        2 => site.runners[index].inject(crash),
        3 => {
            for fault in [Fault::Empty, Fault::EmptyChunks] {
                site.runners[index].inject(fault);
            }
        }
        _ => {
            let decoders = site.runners.iter();
            for runner in decoders.filter(|runner| runner.settings.phase == Some("decode")) {
                for _ in 0..random.random_range(1..6) {
                    runner.inject(Fault::Break(random.random_range(1..5)));
                    let fault = CONTINUATION_FAULTS.choose(random).copied();
                    runner.inject_continuation(fault.unwrap_or(Fault::NotRun));
                }
            }
        }
    }
}

/// Injects ends of streams that nobody states, at the engines and between them and gateways.
pub fn inject_end_faults(site: &Site, random: &mut StdRng) {
    let is_decoder = |index: &usize| site.runners[*index].settings.phase == Some("decode");
    let decoders = (0..site.runners.len()).filter(is_decoder);
    let decoders = decoders.collect::<Vec<_>>();
    let index = decoders.choose(random).copied().unwrap_or_default();
    let end = ENDS.choose(random).copied().unwrap_or(End::Close);
    let cut = |place| {
        let cut = Cut {
            place,
            end,
            spared: Spared::Plain,
        };
        site.proxies[index].set(Mode::Cut(cut));
    };
    match random.random_range(0..6) {
        0 | 1 => cut(Place::Events(random.random_range(1..5))),
        2 => cut(Place::Bytes(random.random_range(0..MAX_CUT_BYTES))),
        3 => site.runners[index].inject(Fault::UnframedCrash(random.random_range(1..5))),
        _ => {
            for index in decoders {
                for _ in 0..random.random_range(1..4) {
                    let stop = Fault::UnframedStop(random.random_range(1..5));
                    site.runners[index].inject(stop);
                }
            }
        }
    }
}

/// Lets the store return from a copy, or an endpoint ask for rests, or neither.
pub fn inject_platform_fault(site: &mut Site, random: &mut StdRng) {
    let runner = random.random_range(0..site.runners.len());
    match random.random_range(0..6) {
        0 => site.restore_store(Duration::from_millis(random.random_range(0..6000))),
        1 => site.runners[runner].set_rest(Some("0.7")),
        2 => site.runners.iter().for_each(|runner| runner.set_rest(None)),
        _ => {}
    }
}

/// Injects a series of faults that begin before those before them have ended.
pub async fn inject_series(site: &mut Site, random: &mut StdRng, max_run_faults: usize) {
    let first = random.random_range(0..site.process_count());
    let gateways = (0..site.process_count()).map(|index| (first + index) % site.process_count());
    let gateways = gateways.collect::<Vec<_>>();
    let pause = Duration::from_millis(random.random_range(20..400));
    match random.random_range(0..7) {
        0 => {
            for gateway in &gateways {
                site.signal(*gateway, "TERM");
                tokio::time::sleep(pause).await;
                site.restart_ended();
            }
        }
        1 => {
            for name in ["TERM", "HUP", "KILL"] {
                site.signal(first, name);
                tokio::time::sleep(pause).await;
            }
        }
        2 => {
            site.signal(first, "STOP");
            for gateway in &gateways[1..] {
                site.signal(*gateway, "TERM");
            }
            tokio::time::sleep(4 * pause).await;
            site.signal(first, "CONT");
        }
        3 => {
            for gateway in gateways.iter().take(5) {
                site.publish_configuration();
                site.signal(*gateway, "KILL");
                tokio::time::sleep(pause).await;
                site.restart_ended();
            }
        }
        4 => {
            for gateway in &gateways {
                site.signal(*gateway, "KILL");
            }
        }
        _ => {
            for runner in &site.runners {
                for _ in 0..random.random_range(1..max_run_faults) {
                    let fault = SERIES_RUN_FAULTS.choose(random).copied();
                    runner.inject(fault.unwrap_or(Fault::NotRun));
                }
            }
        }
    }
}
