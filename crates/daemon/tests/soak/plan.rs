//! What each seed plays.

use std::ops::Range;

use super::proxy::{Mode, Spared};
use super::restart::Crash;

/// Seeds from this one on also let the store come back from an older copy, and
/// endpoints refuse with a time of rest. Earlier seeds keep the faults with which
/// they once failed.
const FIRST_SEED_WITH_COPIES: u64 = 1000;

/// Seeds from this one on have more gateways, and inject signals, restarts, changes and
/// answers without a length in series that overlap.
const FIRST_SEED_WITH_SERIES: u64 = 2000;

/// In seeds from this one on, some prompts have a part that crashes the engine that begins
/// to answer it.
const FIRST_SEED_WITH_PARTS: u64 = 4000;

/// In seeds from this one on, some endpoints name limits instead.
const FIRST_SEED_WITH_LIMITS: u64 = 5000;

/// In seeds from this one on, engines of several software versions serve, and callers take
/// up streams at other gateways instead.
const FIRST_SEED_WITH_VERSIONS: u64 = 6000;

/// In seeds from this one on, engines answer a continuation in other forms than a first
/// attempt, processes of endpoints end in the middle of answers without a length, proxies cut
/// connections by bytes, and requests become whole late instead. Each second seed has longer
/// plain calls.
const FIRST_SEED_WITH_CONTINUATIONS: u64 = 7000;

/// In seeds from this one on, streams also end without a word while their engine lives: links
/// close in order anywhere and engines give up runs. Some callers speak HTTP/1.0, some engines
/// are back at once or leave a proxy behind that still accepts, and further endpoints send
/// without end.
const FIRST_SEED_WITH_UNSTATED_ENDS: u64 = 8000;

/// In these seeds, engines of new versions join while gateways are cut off or stand still for
/// seconds, and callers take streams up there instead.
const SEEDS_WITH_RELEASES: Range<u64> = 9000..10_000;

/// Number of gateways of a seed with series if `SOAK_GATEWAYS` is not set.
const SERIES_GATEWAYS: u8 = 4;

/// What a seed injects, and where.
pub struct Plan {
    /// Number of gateways.
    pub gateways: u8,
    /// Number of concurrent callers.
    pub callers: u64,
    /// Routes that callers use.
    pub routes: &'static [&'static str],
    /// Network faults between gateways and endpoints.
    pub modes: &'static [Mode],
    /// Whether the store returns from copies and endpoints ask for rests.
    pub has_copies: bool,
    /// Whether faults also come in series.
    pub has_series: bool,
    /// Whether a part of prompts crashes engines.
    pub has_crashing_part: bool,
    /// Whether some endpoints name limits.
    pub has_limits: bool,
    /// Whether engines have several software versions.
    pub has_versions: bool,
    /// Whether continuations have faults, and requests become whole late.
    pub has_continuations: bool,
    /// Whether streams also end unstated while their engine lives, and the like.
    pub has_unstated_ends: bool,
    /// Whether endpoints that send without end do so until the end of the seed.
    pub has_late_noise: bool,
    /// Whether versions join while gateways are out of step.
    pub has_releases: bool,
    /// Whether signals of other faults spare the gateways that are out of step.
    pub spares_skewed: bool,
    /// How the connections of engines that crash end.
    pub crash: Crash,
    /// Maximum number of faults of runs that a series injects into each endpoint.
    pub max_series_faults: usize,
}

impl Plan {
    /// Returns the plan of a seed.
    pub fn of(seed: u64) -> Self {
        let has_series = seed >= FIRST_SEED_WITH_SERIES;
        let has_releases = SEEDS_WITH_RELEASES.contains(&seed);
        let has_continuations = seed >= FIRST_SEED_WITH_CONTINUATIONS && !has_releases;
        let has_unstated_ends = seed >= FIRST_SEED_WITH_UNSTATED_ENDS && !has_releases;
        let gateways = std::env::var("SOAK_GATEWAYS").ok();
        let gateways = gateways.map(|number| number.parse().unwrap());
        Self {
            gateways: if has_series {
                gateways.unwrap_or(SERIES_GATEWAYS)
            } else {
                2
            },
            callers: if has_series { 24 } else { 8 },
            routes: if has_series {
                &["book", "read", "note", "list"]
            } else {
                &["book", "read", "note"]
            },
            // A proxy that was silent forwards all retries of that time at once.
            modes: if has_series {
                &[Mode::Delayed, Mode::RequestsOnly, Mode::Reset]
            } else {
                &[Mode::Delayed, Mode::Silent, Mode::RequestsOnly, Mode::Reset]
            },
            has_copies: seed >= FIRST_SEED_WITH_COPIES,
            has_series,
            has_crashing_part: (FIRST_SEED_WITH_PARTS..FIRST_SEED_WITH_LIMITS).contains(&seed),
            has_limits: (FIRST_SEED_WITH_LIMITS..FIRST_SEED_WITH_VERSIONS).contains(&seed),
            has_versions: (FIRST_SEED_WITH_VERSIONS..FIRST_SEED_WITH_CONTINUATIONS).contains(&seed),
            has_continuations,
            has_unstated_ends,
            has_late_noise: has_unstated_ends && seed.is_multiple_of(4),
            has_releases,
            spares_skewed: seed.is_multiple_of(2),
            crash: match seed % 3 {
                0 if has_unstated_ends => Crash::BackAtOnce,
                1 if has_unstated_ends => Crash::BehindProxy,
                _ => Crash::InOrder,
            },
            // Many would leave no run that breaks off and is continued.
            max_series_faults: if has_continuations || has_releases {
                5
            } else {
                1000
            },
        }
    }

    /// Returns the answers that cuts of links spare.
    pub fn spared(&self) -> Spared {
        if self.has_unstated_ends {
            Spared::Plain
        } else {
            Spared::All
        }
    }
}
