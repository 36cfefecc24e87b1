//! How many engines read prompts, and how many generate.
//!
//! A service's scheduler measures the work that callers ask for, and moves one
//! engine at a time to the stage that is short. This answers traffic whose share
//! of long prompts or long answers is not what the engines were started for;
//! bursts are shorter than a move.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

use super::member::Phase;
use super::place::Need;
use super::pool::{EndpointKey, Pool, State};
use super::route::Engine;

/// Rules of moving engines.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time over which work is averaged. Longer than a burst of a few seconds
    /// would make the first move too late, shorter would follow chance.
    pub average: Duration,
    /// Time between two moves of one engine. A move takes about six seconds
    /// in today's engines and has to earn that back.
    pub rest: Duration,
    /// Time after which a move that was ordered counts as done or lost.
    pub pending: Duration,
    /// Part by which the busier stage must become less busy for a move.
    pub gain: f64,
    /// Work, as a share of all engines, under which none is moved.
    pub least: f64,
    /// Time of one token of an answer, with an engine about half full. From
    /// the operators' sheets.
    pub token: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            average: Duration::from_secs(6),
            rest: Duration::from_secs(20),
            pending: Duration::from_secs(12),
            gain: 0.08,
            least: 0.05,
            token: Duration::from_micros(4500),
        }
    }
}

/// Work that callers ask for, in engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines busy with reading prompts.
    pub reading: f64,
    /// Engines whose memory is full of running requests.
    pub generating: f64,
}

/// Averages the work of one service.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Rules.
    settings: Settings,
    /// The average, as of `at`.
    demand: Demand,
    /// When it was worked out.
    at: Instant,
}

impl Meter {
    /// A meter that has seen nothing.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            demand: Demand::default(),
            at: now,
        }
    }

    /// Counts a request that arrived.
    pub fn add(&mut self, now: Instant, pool: &Pool, engine: Engine, need: Need) {
        self.demand = self.read(now);
        self.at = now;
        let average = self.settings.average.as_secs_f64();
        let reading = f64::from(need.prompt) / pool.settings.read_rate / 1000.0;
        let reading = reading + pool.settings.first.as_secs_f64();
        let lasts = f64::from(need.output) * self.settings.token.as_secs_f64();
        let memory = f64::from(need.prompt) + f64::from(need.output) / 2.0;
        let generating = lasts * memory / f64::from(engine.memory.max(1));
        self.demand.reading += reading / average;
        self.demand.generating += generating / average;
    }

    /// The average now.
    pub fn read(&self, now: Instant) -> Demand {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let left = (-age / self.settings.average.as_secs_f64()).exp();
        Demand {
            reading: self.demand.reading * left,
            generating: self.demand.generating * left,
        }
    }
}

/// An engine to move to another stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine's id.
    pub endpoint: CompactString,
    /// The stage it is to take.
    pub phase: Phase,
}

/// The newest move of an engine.
#[derive(Clone, Copy, Debug)]
struct Row {
    /// The stage, if the move was ordered.
    phase: Option<Phase>,
    /// When it was claimed or ordered.
    at: Instant,
}

/// Moves that were ordered lately.
#[derive(Debug, Default)]
pub struct Moves {
    /// Rules.
    settings: Settings,
    /// The newest move of each engine.
    rows: Map<CompactString, Row>,
    /// By engine, the offset of the newest claim that is known.
    claims: Map<CompactString, u64>,
}

impl Moves {
    /// No moves yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            rows: Map::default(),
            claims: Map::default(),
        }
    }

    /// Notes a move that was ordered, and that counts as being carried out.
    pub fn note(&mut self, at: Instant, order: Move) {
        let phase = Some(order.phase);
        let row = Row { phase, at };
        self.rows.insert(order.endpoint, row);
    }

    /// Whether an engine's move is being carried out.
    pub fn is_pending(&self, now: Instant, endpoint: &str) -> bool {
        self.pending_phase(now, endpoint).is_some()
    }

    /// Leaves an engine alone for a while whose move was claimed, but not
    /// ordered or not accepted.
    pub fn rest(&mut self, at: Instant, endpoint: CompactString) {
        self.rows.insert(endpoint, Row { phase: None, at });
    }

    /// Takes a claim with its offset, and returns whether it is news. How old
    /// it is cannot be told, so its engine counts as being moved from now on.
    pub fn claimed(&mut self, now: Instant, offset: u64, order: &Move) -> bool {
        let before = self.claims.insert(order.endpoint.clone(), offset);
        let news = before != Some(offset);
        if news && !self.rows.contains_key(&order.endpoint) {
            self.note(now, order.clone());
        }
        news
    }

    /// Forgets moves that are long ago.
    fn forget(&mut self, now: Instant) {
        let rest = self.settings.rest;
        let recent = |at: Instant| now.saturating_duration_since(at) < rest;
        self.rows.retain(|_, row| recent(row.at));
        if self.claims.len() > CLAIMS {
            self.claims.clear();
        }
    }

    /// The next move for a service, if one is worth it.
    pub fn next(
        &mut self,
        now: Instant,
        pool: &Pool,
        service: &str,
        demand: Demand,
    ) -> Option<Move> {
        self.forget(now);
        let states = pool.of(service).iter();
        let states = states.filter_map(|key| Some((*key, pool.get(*key)?)));
        let engines = states
            .filter(|(_, state)| !state.endpoint.draining)
            .filter_map(|(key, state)| Some((key, state, self.phase(now, state)?)))
            .collect::<Vec<_>>();
        let all = engines.len();
        let readers = engines
            .iter()
            .filter(|(_, _, phase)| *phase == Phase::Prefill)
            .count();
        if demand.reading + demand.generating < all as f64 * self.settings.least {
            return None;
        }
        let ids = engines.iter().map(|(_, state, _)| &state.endpoint.id);
        let moving = ids.filter(|id| self.is_pending(now, id));
        // Engines that are being moved serve nobody.
        if moving.count() >= (all / MOVING).max(1) {
            return None;
        }
        let best = (1..all).min_by(|a, b| {
            let (a, b) = (busiest(demand, *a, all), busiest(demand, *b, all));
            a.total_cmp(&b)
        })?;
        let before = busiest(demand, readers, all);
        let after = busiest(demand, best, all);
        if best == readers || after > before * (1.0 - self.settings.gain) {
            return None;
        }
        let (from, to) = if best < readers {
            (Phase::Prefill, Phase::Decode)
        } else {
            (Phase::Decode, Phase::Prefill)
        };
        let rested = |state: &State| !self.rows.contains_key(&state.endpoint.id);
        let movable = engines
            .iter()
            .filter(|(_, state, phase)| *phase == from && rested(state))
            .collect::<Vec<&(EndpointKey, &State, Phase)>>();
        let idlest = movable.into_iter().min_by(|a, b| {
            let (a, b) = (a.1, b.1);
            (a.running, &a.endpoint.id).cmp(&(b.running, &b.endpoint.id))
        })?;
        Some(Move {
            endpoint: idlest.1.endpoint.id.clone(),
            phase: to,
        })
    }

    /// The stage of an engine once its pending move is done.
    fn phase(&self, now: Instant, state: &State) -> Option<Phase> {
        let pending = self.pending_phase(now, &state.endpoint.id);
        pending.or(state.endpoint.phase)
    }

    /// The stage that an engine is being moved to.
    fn pending_phase(&self, now: Instant, endpoint: &str) -> Option<Phase> {
        let row = self.rows.get(endpoint)?;
        let fresh = now.saturating_duration_since(row.at) < self.settings.pending;
        row.phase.filter(|_| fresh)
    }
}

/// Most claims that are remembered. Forgetting them costs one look each.
const CLAIMS: usize = 4096;

/// Engines of a service for each that may be moved at a time.
const MOVING: usize = 4;

/// How busy the busier stage is when so many of all engines read.
fn busiest(demand: Demand, readers: usize, all: usize) -> f64 {
    let reading = demand.reading / (readers as f64).max(0.01);
    let generating = demand.generating / ((all - readers) as f64).max(0.01);
    reading.max(generating)
}
