//! Balances a service's engines between prefill and decode.
//!
//! The scheduler of a service measures the offered load and moves one engine at
//! a time to the stage that lacks capacity. This handles traffic whose share of
//! long prompts or long answers differs from what the engines were started for.
//! It does not handle bursts, which are shorter than a move.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_wire::Map;

use super::member::Phase;
use super::place::Need;
use super::pool::{EndpointKey, Pool, State};
use super::route::Engine;

/// Parameters of moving engines between stages.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time constant of the load average. A value longer than a burst of a few
    /// seconds would delay the first move, and a shorter one would follow
    /// random variation.
    pub averaging_time: Duration,
    /// Least time between two moves of one engine. A move takes about six
    /// seconds with today's engines, and the gain has to outweigh that.
    pub cooldown: Duration,
    /// Time after which an ordered move counts as finished or lost.
    pub move_timeout: Duration,
    /// Time without moves after the store came back from an older copy, which
    /// may lack claims. Covers the lease of an order that follows such a claim.
    pub restore_pause: Duration,
    /// Least relative reduction of the busier stage's utilization that
    /// justifies a move.
    pub min_gain: f64,
    /// Load, as a share of all engines, below which no engine moves.
    pub min_load: f64,
    /// Time per output token at an engine that is about half full. Taken from
    /// the operators' data sheets.
    pub token_time: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            averaging_time: Duration::from_secs(6),
            cooldown: Duration::from_secs(20),
            move_timeout: Duration::from_secs(12),
            restore_pause: Duration::from_secs(6),
            min_gain: 0.08,
            min_load: 0.05,
            token_time: Duration::from_micros(4500),
        }
    }
}

/// Offered load, as the number of engines that it keeps busy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines busy with prefill.
    pub prefill_engines: f64,
    /// Engines whose memory is filled by running requests.
    pub decode_engines: f64,
}

/// Averages the offered load of one service.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    settings: Settings,
    /// The average at `updated_at`.
    demand: Demand,
    updated_at: Instant,
}

impl Meter {
    /// Creates a meter with zero load.
    pub fn new(settings: Settings, now: Instant) -> Self {
        Self {
            settings,
            demand: Demand::default(),
            updated_at: now,
        }
    }

    /// Adds a request that arrived.
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

    /// Returns the average at `now`.
    pub fn demand(&self, now: Instant) -> Demand {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = (-age / self.settings.averaging_time.as_secs_f64()).exp();
        Demand {
            prefill_engines: self.demand.prefill_engines * decay,
            decode_engines: self.demand.decode_engines * decay,
        }
    }
}

/// A move of an engine to another stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Id of the engine.
    pub endpoint: CompactString,
    /// Stage that the engine moves to.
    pub phase: Phase,
}

/// The last move of an engine.
#[derive(Clone, Copy, Debug)]
struct LastMove {
    /// Target stage, or `None` if the move was not carried out.
    phase: Option<Phase>,
    /// Time at which the move was claimed or ordered.
    started_at: Instant,
}

/// Recent moves of engines.
#[derive(Debug, Default)]
pub struct Moves {
    settings: Settings,
    /// Last move by engine id.
    last_moves: Map<CompactString, LastMove>,
    /// Newest known claim, by engine id.
    claims: Map<CompactString, Claim>,
    /// Time before which no engine moves, or `None` if moves were never paused.
    paused_until: Option<Instant>,
}

/// A recorded claim of an engine. The offset alone does not identify it, as the
/// store assigns offsets again after it came back from an older copy.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Claim {
    offset: u64,
    holder: CompactString,
    phase: Phase,
}

impl Moves {
    /// Creates an empty record of moves.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            last_moves: Map::default(),
            claims: Map::default(),
            paused_until: None,
        }
    }

    /// Records an ordered move. It counts as pending until it times out.
    pub fn record_order(&mut self, started_at: Instant, order: Move) {
        let phase = Some(order.phase);
        let last_move = LastMove { phase, started_at };
        self.last_moves.insert(order.endpoint, last_move);
    }

    /// Returns whether a move of the engine is pending.
    pub fn is_pending(&self, now: Instant, endpoint: &str) -> bool {
        self.pending_phase(now, endpoint).is_some()
    }

    /// Starts the cooldown of an engine whose move was claimed but not ordered,
    /// or ordered but not accepted.
    pub fn start_cooldown(&mut self, started_at: Instant, endpoint: CompactString) {
        self.last_moves.insert(
            endpoint,
            LastMove {
                phase: None,
                started_at,
            },
        );
    }

    /// Pauses moves, as the store came back from an older copy, which may lack
    /// the claims of other hosts.
    pub fn begin_era(&mut self, now: Instant) {
        self.paused_until = Some(now + self.settings.restore_pause);
    }

    /// Records a holder's claim at a log offset and returns whether it is new.
    /// The age of a claim is unknown, so its move counts as pending from `now`.
    pub fn record_claim(&mut self, now: Instant, offset: u64, holder: &str, order: &Move) -> bool {
        let claim = Claim {
            offset,
            holder: holder.into(),
            phase: order.phase,
        };
        let before = self.claims.get(&order.endpoint);
        let is_new = before != Some(&claim);
        if is_new {
            self.claims.insert(order.endpoint.clone(), claim);
            // An earlier attempt of this host says nothing of when the holder orders.
            self.record_order(now, order.clone());
        }
        is_new
    }

    /// Records this host's own claim. The move is pending only once it is ordered.
    pub fn record_own_claim(&mut self, now: Instant, offset: u64, holder: &str, order: &Move) {
        self.record_claim(now, offset, holder, order);
        self.start_cooldown(now, order.endpoint.clone());
    }

    /// Removes moves whose cooldown is over.
    fn expire(&mut self, now: Instant) {
        let cooldown = self.settings.cooldown;
        let recent = |at: Instant| now.saturating_duration_since(at) < cooldown;
        self.last_moves
            .retain(|_, last_move| recent(last_move.started_at));
        if self.claims.len() > MAX_CLAIMS {
            self.claims.clear();
        }
    }

    /// Returns the next move for a service, or `None` if no move is worthwhile or
    /// no further engine may move now.
    pub fn next_move(
        &mut self,
        now: Instant,
        pool: &Pool,
        service: &str,
        demand: Demand,
    ) -> Option<Move> {
        self.expire(now);
        if self.paused_until.is_some_and(|until| now < until) {
            return None;
        }
        let states = pool.endpoints(service).iter();
        let states = states.filter_map(|key| Some((*key, pool.get(*key)?)));
        let engines = states
            // An engine with a limit serves little, and an order would count against it.
            .filter(|(_, state)| state.accepts_work(now) && state.limit.rate.is_none())
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
        // Moving engines serve no requests.
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
        // Streams that the engine's software version began could go on nowhere.
        let is_last_decoder = |state: &State| {
            !engines.iter().any(|(_, other, phase)| {
                *phase == Phase::Decode
                    && other.endpoint.version == state.endpoint.version
                    && other.endpoint.id != state.endpoint.id
                    && other.is_serving(now)
            })
        };
        let movable = engines
            .iter()
            .filter(|(_, state, phase)| *phase == from && is_rested(state))
            .filter(|(_, state, _)| from == Phase::Prefill || !is_last_decoder(state))
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

    /// Returns the stage of an engine after its pending move. `None` if the
    /// endpoint is no engine.
    fn target_phase(&self, now: Instant, state: &State) -> Option<Phase> {
        let pending = self.pending_phase(now, &state.endpoint.id);
        pending.or(state.endpoint.phase)
    }

    /// Returns the stage that an engine is moving to, or `None` if no move is
    /// pending.
    fn pending_phase(&self, now: Instant, endpoint: &str) -> Option<Phase> {
        let last_move = self.last_moves.get(endpoint)?;
        let is_pending =
            now.saturating_duration_since(last_move.started_at) < self.settings.move_timeout;
        last_move.phase.filter(|_| is_pending)
    }
}

/// Number of remembered claims above which all are forgotten. Each claim then
/// counts as new once more when it is read again.
const MAX_CLAIMS: usize = 4096;

/// Engines of a service per concurrent move. One move is always allowed.
const ENGINES_PER_MOVE: usize = 4;

/// Returns the utilization of the busier stage with `prefillers` prefill
/// engines out of `engine_count`.
fn utilization(demand: Demand, prefillers: usize, engine_count: usize) -> f64 {
    let prefill = demand.prefill_engines / (prefillers as f64).max(0.01);
    let decode = demand.decode_engines / ((engine_count - prefillers) as f64).max(0.01);
    prefill.max(decode)
}
