//! The choice of endpoints for a request.
//!
//! A prompt is read at a prefill endpoint and its KV cache moved, or read at
//! the decode endpoint itself. The second takes no transfer, but it delays
//! the streams that run there. Both are predicted, and the sooner first event
//! wins unless it would make a running stream late. This answers bursts, in
//! which prefill endpoints are busy while decode endpoints have room.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::member::Phase;
use super::pool::{EndpointKey, PeerLoad, Pool, State};
use super::route::Engine;

/// What a model request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Estimated tokens of the answer.
    pub output_tokens: u32,
    /// Longest pause between two events for a stream to be on time.
    pub max_event_gap: Duration,
}

/// How much more a token of an answer weighs than one of a prompt: it keeps the
/// memory of all of them for a step.
const OUTPUT_TOKEN_WEIGHT: u32 = 10;

impl Need {
    /// KV cache that it takes in the end, in tokens.
    pub fn kv_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Memory and time that it takes, as tokens.
    pub fn size(self) -> u32 {
        let answer = self.output_tokens.saturating_mul(OUTPUT_TOKEN_WEIGHT);
        self.prompt_tokens.saturating_add(answer)
    }
}

/// Where a request may go, seen from the chooser.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The service.
    pub service: &'a str,
    /// The chooser's failure domain.
    pub domain: &'a str,
    /// Endpoints that this request already failed at.
    pub avoid: &'a [EndpointKey],
}

/// Who reads a prompt for an endpoint that generates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Prefiller {
    /// A prefill endpoint, whose KV cache is then moved.
    Remote {
        /// The endpoint.
        prefill: EndpointKey,
        /// Predicted time until it is read.
        prefill_time: Duration,
    },
    /// The endpoint that generates.
    Local {
        /// Predicted time until it is read.
        prefill_time: Duration,
    },
}

/// Predicted times of endpoints within which the choice is by chance, as
/// several hosts choose at once by the same reports.
const TIE_BREAK_WINDOW: Duration = Duration::from_millis(8);

/// What reading in place costs against a transfer, as time: the streams that
/// run there pause for it.
const LOCAL_PREFILL_COST: Duration = Duration::from_millis(100);

/// How much worse an endpoint counts that only fails.
const FAILURE_WEIGHT: f64 = 4.0;

/// Part by which each further request of an engine slows the others. From the
/// operators' sheets: 0.09 ms on a step of 4 ms.
const SLOWDOWN_PER_REQUEST: f64 = 0.023;

/// Longest backlog that is told.
const MAX_BACKLOG_WAIT: Duration = Duration::from_secs(60);

/// Share of the longest pause that predicted pauses may use.
const MAX_GAP_SHARE: f64 = 0.5;

impl Pool {
    /// Chooses an endpoint for a plain request: the least loaded one, with
    /// slow and failing ones counted as more loaded.
    pub fn choose_plain<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let peers = self.estimate_peer_load(scope.service);
        let rank = |state: &State| {
            let load = f64::from(state.running) + self.peer_requests(now, state, peers) + 1.0;
            let load = load / f64::from(state.endpoint.slots.max(1));
            let domain_factor = if state.endpoint.domain == scope.domain {
                1.0
            } else {
                1.05
            };
            load * state.slowdown(now) * domain_factor * self.failure_penalty(now, state)
        };
        self.choose_least(now, scope, |_| true, rank, random)
    }

    /// Chooses the endpoint that generates, for a prompt that was read.
    pub fn choose_decoder<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let peers = self.estimate_peer_load(scope.service);
        let fits = |state: &State| {
            state.endpoint.phase != Some(Phase::Prefill) && self.has_room(now, state, engine, need)
        };
        let rank = |state: &State| {
            let requests = f64::from(state.running) + self.peer_requests(now, state, peers);
            let pending_prefill =
                self.pending_prefill_time(now, state, peers, self.mixed_tokens_per_ms());
            let steps = f64::from(need.output_tokens) * self.settings.decode_step.as_secs_f64();
            let stream =
                steps * (1.0 + requests * SLOWDOWN_PER_REQUEST) * state.event_slowdown(now);
            let wait = pending_prefill
                + domain_cost(state, scope.domain, self.settings.cross_domain_stream_cost);
            (stream + wait.as_secs_f64()) * self.failure_penalty(now, state)
        };
        self.choose_least(now, scope, fits, rank, random)
    }

    /// Chooses who reads a prompt for an endpoint that generates. `None` when
    /// nobody can.
    pub fn choose_prefiller<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        decode: EndpointKey,
        random: &mut R,
    ) -> Option<Prefiller> {
        let remote = self.choose_remote_prefiller(now, scope, engine, need, decode, random);
        let local = self.local_prefill_time(now, engine, need, decode);
        match (remote, local) {
            (Some((_, prefill_time)), Some(local_time))
                if local_time + LOCAL_PREFILL_COST < prefill_time + self.settings.transfer_time =>
            {
                Some(Prefiller::Local {
                    prefill_time: local_time,
                })
            }
            (Some((prefill, prefill_time)), _) => Some(Prefiller::Remote {
                prefill,
                prefill_time,
            }),
            (None, Some(prefill_time)) => Some(Prefiller::Local { prefill_time }),
            // A late stream is better than none.
            (None, None) => {
                let prefill_time = self.predict_prefill_time(now, decode, need);
                let state = self.get(decode)?;
                (state.endpoint.phase == Some(Phase::Decode))
                    .then_some(Prefiller::Local { prefill_time })
            }
        }
    }

    /// Predicted time for an endpoint to read a prompt, with what it has to
    /// read before.
    pub fn predict_prefill_time(&self, now: Instant, key: EndpointKey, need: Need) -> Duration {
        let Some(state) = self.get(key) else {
            return Duration::ZERO;
        };
        let peers = self.estimate_peer_load(&state.endpoint.service);
        let rate = match state.endpoint.phase {
            Some(Phase::Prefill) => self.settings.prefill_tokens_per_ms,
            _ => self.mixed_tokens_per_ms(),
        };
        let own = f64::from(need.prompt_tokens) / rate;
        self.pending_prefill_time(now, state, peers, rate)
            + millis(own)
            + self.settings.first_token_delay
    }

    /// Predicted time until so many requests before this host have room, of
    /// so many hosts.
    pub fn predict_backlog_wait(
        &self,
        service: &str,
        engine: Engine,
        ahead: usize,
        hosts: usize,
    ) -> Duration {
        let Some((tokens, run)) = self.mean_run(service) else {
            return MAX_BACKLOG_WAIT;
        };
        let states = self
            .endpoints(service)
            .iter()
            .filter_map(|key| self.get(*key));
        let engines = states.filter(|state| state.endpoint.phase != Some(Phase::Prefill));
        let memory = engines.count() as f64 * f64::from(engine.kv_capacity);
        let runs = memory / tokens.max(1.0);
        let rate = runs / run.as_secs_f64().max(0.001) / hosts.max(1) as f64;
        let seconds = ahead as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(MAX_BACKLOG_WAIT.as_secs_f64()))
    }

    /// The prefill endpoint with the soonest result.
    fn choose_remote_prefiller<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        decode: EndpointKey,
        random: &mut R,
    ) -> Option<(EndpointKey, Duration)> {
        let latency = self.settings.cross_domain_latency;
        let decode_domain = self.get(decode)?.endpoint.domain.as_str();
        let peers = self.estimate_peer_load(scope.service);
        let fits = |state: &State| {
            state.endpoint.phase == Some(Phase::Prefill) && self.has_room(now, state, engine, need)
        };
        let rank = |state: &State| {
            let own = f64::from(need.prompt_tokens) / self.settings.prefill_tokens_per_ms;
            let prefill_time =
                self.pending_prefill_time(now, state, peers, self.settings.prefill_tokens_per_ms)
                    + millis(own);
            let prefill_time =
                prefill_time.mul_f64(state.slowdown(now) * self.failure_penalty(now, state));
            let distance_cost = domain_cost(state, scope.domain, latency)
                + domain_cost(state, decode_domain, latency);
            (prefill_time + distance_cost).as_secs_f64()
        };
        let key = self.choose_least(now, scope, fits, rank, random)?;
        Some((key, self.predict_prefill_time(now, key, need)))
    }

    /// Predicted time until a decode endpoint has read a prompt itself, if
    /// that delays no stream there too much.
    fn local_prefill_time(
        &self,
        now: Instant,
        engine: Engine,
        need: Need,
        decode: EndpointKey,
    ) -> Option<Duration> {
        let state = self.get(decode)?;
        if state.endpoint.phase != Some(Phase::Decode) {
            return None;
        }
        let peers = self.estimate_peer_load(&state.endpoint.service);
        let prefill_time = self.predict_prefill_time(now, decode, need);
        let event = self.settings.decode_step * engine.tokens_per_event.max(1);
        let requests = f64::from(state.running) + self.peer_requests(now, state, peers);
        let is_tolerable =
            requests < 0.5 || prefill_time + event <= need.max_event_gap.mul_f64(MAX_GAP_SHARE);
        is_tolerable.then_some(prefill_time)
    }

    /// Whether an engine seems to have memory and a slot for a request.
    fn has_room(&self, now: Instant, state: &State, engine: Engine, need: Need) -> bool {
        if state.is_full(now) {
            return false;
        }
        // What others have at a decode endpoint is left to the reservation to
        // find out.
        let used = state.kv_tokens as f64 + self.reported_prefill_tokens(now, state);
        let wanted = f64::from(need.kv_tokens());
        let memory = f64::from(engine.kv_capacity);
        // An engine without work takes whatever fits it at all.
        let idle = used < 1.0 && wanted <= memory;
        let fits = used + wanted <= memory * self.settings.usable_kv_share || idle;
        fits && state.running < engine.slots
    }

    /// Predicted time until an endpoint has read all prompts that it has.
    fn pending_prefill_time(
        &self,
        now: Instant,
        state: &State,
        peers: PeerLoad,
        rate: f64,
    ) -> Duration {
        millis(
            (state.pending_prefill_tokens as f64 + self.peer_prefill_tokens(now, state, peers))
                / rate,
        )
    }

    /// Prompt tokens that a decode endpoint reads in a millisecond.
    fn mixed_tokens_per_ms(&self) -> f64 {
        self.settings.prefill_tokens_per_ms * self.settings.mixed_rate_share
    }

    /// Factor by which an endpoint that fails counts as worse.
    fn failure_penalty(&self, now: Instant, state: &State) -> f64 {
        1.0 + FAILURE_WEIGHT * state.failure_rate(now)
    }

    /// The endpoint of least rank, in seconds or any other unit, among those
    /// that fit; a paused one only when there is no other.
    fn choose_least<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        fits: impl Fn(&State) -> bool,
        rank: impl Fn(&State) -> f64,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let candidates = self.endpoints(scope.service).iter().filter_map(|key| {
            let state = self.get(*key)?;
            let is_usable = !state.endpoint.draining
                && !state.is_moving(now)
                && fits(state)
                && !scope.avoid.contains(key);
            is_usable.then_some((*key, state))
        });
        let mut best: Option<(bool, f64, EndpointKey)> = None;
        for (key, state) in candidates {
            let jitter = random.random_range(0.0..TIE_BREAK_WINDOW.as_secs_f64());
            let found = (!state.is_available(now), rank(state) + jitter, key);
            if best.is_none_or(|best| (found.0, found.1) < (best.0, best.1)) {
                best = Some(found);
            }
        }
        best.map(|(_, _, key)| key)
    }
}

/// What the way between a failure domain and an endpoint costs.
fn domain_cost(state: &State, domain: &str, cost: Duration) -> Duration {
    if state.endpoint.domain == domain {
        return Duration::ZERO;
    }
    cost
}

/// A duration of so many milliseconds.
fn millis(milliseconds: f64) -> Duration {
    Duration::from_secs_f64((milliseconds / 1000.0).max(0.0))
}
