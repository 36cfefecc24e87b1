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
    pub averaging_time: Duration,
    /// Time between two moves of one engine. A move takes about six seconds
    /// in today's engines and has to earn that back.
    pub cooldown: Duration,
    /// Time after which a move that was ordered counts as done or lost.
    pub move_timeout: Duration,
    /// Part by which the busier stage must become less busy for a move.
    pub min_gain: f64,
    /// Work, as a share of all engines, under which none is moved.
    pub min_load: f64,
    /// Time of one token of an answer, with an engine about half full. From
    /// the operators' sheets.
    pub token_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            averaging_time: Duration::from_secs(6),
            cooldown: Duration::from_secs(20),
            move_timeout: Duration::from_secs(12),
            min_gain: 0.08,
            min_load: 0.05,
            token_time: Duration::from_micros(4500),
        }
    }
}

/// Work that callers ask for, in engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines busy with reading prompts.
    pub prefill_engines: f64,
    /// Engines whose memory is full of running requests.
    pub decode_engines: f64,
}

/// Averages the work of one service.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    /// Rules.
    settings: Settings,
    /// The average, as of `at`.
    demand: Demand,
    /// When it was worked out.
    updated_at: Instant,
}

impl Meter {
    /// A meter that has seen nothing.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            demand: Demand::default(),
            updated_at: now,
        }
    }

    /// Counts a request that arrived.
    pub fn add(&mut self, now: Instant, pool: &Pool, engine: Engine, need: Need) {
        self.demand = self.demand(now);
        self.updated_at = now;
        let average = self.settings.averaging_time.as_secs_f64();
        let prefill_time =
            f64::from(need.prompt_tokens) / pool.settings.prefill_tokens_per_ms / 1000.0;
        let prefill_time = prefill_time + pool.settings.first_token_delay.as_secs_f64();
        let duration = f64::from(need.output_tokens) * self.settings.token_time.as_secs_f64();
        let memory = f64::from(need.prompt_tokens) + f64::from(need.output_tokens) / 2.0;
        let decode_time = duration * memory / f64::from(engine.kv_capacity.max(1));
        self.demand.prefill_engines += prefill_time / average;
        self.demand.decode_engines += decode_time / average;
    }

    /// The average now.
    pub fn demand(&self, now: Instant) -> Demand {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-age / self.settings.averaging_time.as_secs_f64()).exp();
        Demand {
            prefill_engines: self.demand.prefill_engines * decay,
            decode_engines: self.demand.decode_engines * decay,
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
struct LastMove {
    /// The stage, if the move was ordered.
    phase: Option<Phase>,
    /// When it was claimed or ordered.
    started_at: Instant,
}

/// Moves that were ordered lately.
#[derive(Debug, Default)]
pub struct Moves {
    /// Rules.
    settings: Settings,
    /// The newest move of each engine.
    last_moves: Map<CompactString, LastMove>,
    /// By engine, the offset of the newest claim that is known.
    claims: Map<CompactString, u64>,
}

impl Moves {
    /// No moves yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            last_moves: Map::default(),
            claims: Map::default(),
        }
    }

    /// Notes a move that was ordered, and that counts as being carried out.
    pub fn record_order(&mut self, started_at: Instant, order: Move) {
        let phase = Some(order.phase);
        let last_move = LastMove { phase, started_at };
        self.last_moves.insert(order.endpoint, last_move);
    }

    /// Whether an engine's move is being carried out.
    pub fn is_pending(&self, now: Instant, endpoint: &str) -> bool {
        self.pending_phase(now, endpoint).is_some()
    }

    /// Leaves an engine alone for a while whose move was claimed, but not
    /// ordered or not accepted.
    pub fn start_cooldown(&mut self, started_at: Instant, endpoint: CompactString) {
        self.last_moves.insert(
            endpoint,
            LastMove {
                phase: None,
                started_at,
            },
        );
    }

    /// Takes a claim with its offset, and returns whether it is news. How old
    /// it is cannot be told, so its engine counts as being moved from now on.
    pub fn record_claim(&mut self, now: Instant, offset: u64, order: &Move) -> bool {
        let before = self.claims.insert(order.endpoint.clone(), offset);
        let is_new = before != Some(offset);
        if is_new && !self.last_moves.contains_key(&order.endpoint) {
            self.record_order(now, order.clone());
        }
        is_new
    }

    /// Forgets moves that are long ago.
    fn expire(&mut self, now: Instant) {
        let cooldown = self.settings.cooldown;
        let recent = |at: Instant| now.saturating_duration_since(at) < cooldown;
        self.last_moves
            .retain(|_, last_move| recent(last_move.started_at));
        if self.claims.len() > MAX_CLAIMS {
            self.claims.clear();
        }
    }

    /// The next move for a service, if one is worth it.
    pub fn next_move(
        &mut self,
        now: Instant,
        pool: &Pool,
        service: &str,
        demand: Demand,
    ) -> Option<Move> {
        self.expire(now);
        let states = pool.endpoints(service).iter();
        let states = states.filter_map(|key| Some((*key, pool.get(*key)?)));
        let engines = states
            .filter(|(_, state)| !state.endpoint.draining)
            .filter_map(|(key, state)| Some((key, state, self.target_phase(now, state)?)))
            .collect::<Vec<_>>();
        let engine_count = engines.len();
        let prefillers = engines
            .iter()
            .filter(|(_, _, phase)| *phase == Phase::Prefill)
            .count();
        if demand.prefill_engines + demand.decode_engines
            < engine_count as f64 * self.settings.min_load
        {
            return None;
        }
        let ids = engines.iter().map(|(_, state, _)| &state.endpoint.id);
        let moving = ids.filter(|id| self.is_pending(now, id));
        // Engines that are being moved serve nobody.
        if moving.count() >= (engine_count / ENGINES_PER_MOVE).max(1) {
            return None;
        }
        let best = (1..engine_count).min_by(|a, b| {
            let (a, b) = (
                utilization(demand, *a, engine_count),
                utilization(demand, *b, engine_count),
            );
            a.total_cmp(&b)
        })?;
        let before = utilization(demand, prefillers, engine_count);
        let after = utilization(demand, best, engine_count);
        if best == prefillers || after > before * (1.0 - self.settings.min_gain) {
            return None;
        }
        let (from, to) = if best < prefillers {
            (Phase::Prefill, Phase::Decode)
        } else {
            (Phase::Decode, Phase::Prefill)
        };
        let is_rested = |state: &State| !self.last_moves.contains_key(&state.endpoint.id);
        let movable = engines
            .iter()
            .filter(|(_, state, phase)| *phase == from && is_rested(state))
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
    fn target_phase(&self, now: Instant, state: &State) -> Option<Phase> {
        let pending = self.pending_phase(now, &state.endpoint.id);
        pending.or(state.endpoint.phase)
    }

    /// The stage that an engine is being moved to.
    fn pending_phase(&self, now: Instant, endpoint: &str) -> Option<Phase> {
        let last_move = self.last_moves.get(endpoint)?;
        let is_pending =
            now.saturating_duration_since(last_move.started_at) < self.settings.move_timeout;
        last_move.phase.filter(|_| is_pending)
    }
}

/// Most claims that are remembered. Forgetting them costs one look each.
const MAX_CLAIMS: usize = 4096;

/// Engines of a service for each that may be moved at a time.
const ENGINES_PER_MOVE: usize = 4;

/// How busy the busier stage is when so many of all engines read.
fn utilization(demand: Demand, prefillers: usize, engine_count: usize) -> f64 {
    let prefill = demand.prefill_engines / (prefillers as f64).max(0.01);
    let decode = demand.decode_engines / ((engine_count - prefillers) as f64).max(0.01);
    prefill.max(decode)
}
