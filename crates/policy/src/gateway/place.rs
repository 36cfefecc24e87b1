//! Chooses endpoints for a request.
//!
//! A prompt is read either at a prefill endpoint, followed by a transfer of the
//! KV cache, or at the decode endpoint itself. Local prefill needs no transfer,
//! but delays the streams that run there. Both times are predicted, and the
//! earlier first event wins unless it would delay a running stream too much.
//! Local prefill helps in bursts, when prefill endpoints are busy while decode
//! endpoints have room.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};

use super::member::Phase;
use super::pool::{EndpointKey, PeerLoad, Pool, State};
use super::route::Engine;

/// Resources and timing that a model request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Estimated length of the answer in tokens.
    pub output_tokens: u32,
    /// Longest gap between two events for a stream to be on time.
    pub max_event_gap: Duration,
}

/// Weight of an output token relative to a prompt token. Each output token
/// occupies the memory of the whole request for one decode step.
const OUTPUT_TOKEN_WEIGHT: u32 = 10;

impl Need {
    /// Returns the final size of the KV cache in tokens.
    pub fn kv_tokens(self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens)
    }

    /// Returns the weighted sum of prompt and output tokens, a measure of
    /// memory and time that orders queued requests.
    pub fn size(self) -> u32 {
        let answer = self.output_tokens.saturating_mul(OUTPUT_TOKEN_WEIGHT);
        self.prompt_tokens.saturating_add(answer)
    }
}

/// Predicts the time from a grant to the last event of a run.
pub(super) fn run_time(output_tokens: u32, token_time: Duration) -> Duration {
    TIME_TO_FIRST_EVENT + token_time * output_tokens
}

/// Time from a grant to the first event, for prefill and network.
const TIME_TO_FIRST_EVENT: Duration = Duration::from_millis(250);

/// Restricts the choice of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Service that must serve the request.
    pub service: &'a str,
    /// Failure domain of the host that chooses, or of the requesting host when
    /// the scheduler chooses.
    pub domain: &'a str,
    /// Endpoints at which the request failed before.
    pub excluded: &'a [EndpointKey],
    /// Software version that the endpoint must have, or `None` if any will do.
    pub version: Option<&'a str>,
}

/// The endpoint that reads a prompt for a decode endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Prefiller {
    /// A prefill endpoint, which then transfers the KV cache.
    Remote {
        /// Key of the prefill endpoint.
        prefill: EndpointKey,
        /// Predicted time until the prompt has been read.
        prefill_time: Duration,
    },
    /// The decode endpoint itself.
    Local {
        /// Predicted time until the prompt has been read.
        prefill_time: Duration,
    },
}

/// Range of the random tie-break between predicted times. Without it, several
/// hosts that see the same reports would choose the same endpoint.
const TIE_BREAK_WINDOW: Duration = Duration::from_millis(8);

/// Added cost of local prefill, as time, because it pauses the streams that run
/// at the endpoint.
const LOCAL_PREFILL_COST: Duration = Duration::from_millis(100);

/// Added rank factor of an endpoint at which every request fails.
const FAILURE_WEIGHT: f64 = 4.0;

/// Relative slowdown of an engine's requests by each further one. From the
/// operators' data sheets: 0.09 ms on a step of 4 ms.
const SLOWDOWN_PER_REQUEST: f64 = 0.023;

/// Upper bound of a predicted wait, and the prediction for an unknown service.
const MAX_BACKLOG_WAIT: Duration = Duration::from_secs(60);

/// Share of the longest allowed event gap that a predicted gap may use.
const MAX_GAP_SHARE: f64 = 0.5;

impl Pool {
    /// Chooses an endpoint for a plain request: the least loaded one, where
    /// slow and failing endpoints count as more loaded.
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

    /// Chooses the decode endpoint of a model request.
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
        let reader_versions = self.reader_versions(now, scope.service);
        let local_prefill_cost = self.unread_prompt_cost(need);
        let rank = |state: &State| {
            let requests = f64::from(state.running) + self.peer_requests(now, state, peers);
            let pending_prefill =
                self.pending_prefill_time(now, state, peers, self.mixed_tokens_per_ms());
            let decode_time =
                f64::from(need.output_tokens) * self.settings.decode_step.as_secs_f64();
            let stream_time =
                decode_time * (1.0 + requests * SLOWDOWN_PER_REQUEST) * state.event_slowdown(now);
            let version = state.endpoint.version.as_str();
            let has_reader = reader_versions.is_empty() || reader_versions.contains(&version);
            let prefill_cost = if has_reader {
                Duration::ZERO
            } else {
                local_prefill_cost
            };
            let wait = pending_prefill
                + prefill_cost
                + domain_cost(state, scope.domain, self.settings.cross_domain_stream_cost);
            (stream_time + wait.as_secs_f64()) * self.failure_penalty(now, state)
        };
        self.choose_least(now, scope, fits, rank, random)
    }

    /// Returns the decode endpoints with room for a model request, if all decode endpoints that
    /// may generate its answer have named a limit. `None` if one of them needs no permit, or none
    /// has room.
    pub fn limited_decoders(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
    ) -> Option<Vec<EndpointKey>> {
        let mut keys = self.candidates(now, scope);
        let state = |key: &EndpointKey| self.get(*key);
        keys.retain(|key| {
            state(key).is_some_and(|state| {
                state.endpoint.phase != Some(Phase::Prefill)
                    && !state.is_moving(now)
                    && state.endpoint.has_version(scope.version)
            })
        });
        if keys.iter().any(|key| !self.is_limited(*key)) {
            return None;
        }
        keys.retain(|key| state(key).is_some_and(|state| self.has_room(now, state, engine, need)));
        (!keys.is_empty()).then_some(keys)
    }

    /// Chooses the endpoint that reads the prompt for a decode endpoint, which takes KV
    /// caches only of its own software version. Returns `None` if no endpoint can.
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

    /// Predicts the time until an endpoint has read a prompt, including the prompts
    /// queued before it. Zero for an unknown endpoint.
    pub fn predict_prefill_time(&self, now: Instant, key: EndpointKey, need: Need) -> Duration {
        let Some(state) = self.get(key) else {
            return Duration::ZERO;
        };
        let peers = self.estimate_peer_load(&state.endpoint.service);
        let rate = match state.endpoint.phase {
            Some(Phase::Prefill) => self.settings.prefill_tokens_per_ms,
            _ => self.mixed_tokens_per_ms(),
        };
        let prompt_time = f64::from(need.prompt_tokens) / rate;
        self.pending_prefill_time(now, state, peers, rate)
            + millis(prompt_time)
            + self.settings.first_token_delay
    }

    /// Predicts the wait until `ahead` queued requests of this host have room,
    /// when `hosts` hosts share the engines.
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

    /// Chooses the prefill endpoint with the earliest predicted result.
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
        let decode = &self.get(decode)?.endpoint;
        let decode_domain = decode.domain.as_str();
        let scope = Scope {
            version: Some(&decode.version),
            ..scope
        };
        let peers = self.estimate_peer_load(scope.service);
        let fits = |state: &State| {
            state.endpoint.phase == Some(Phase::Prefill) && self.has_room(now, state, engine, need)
        };
        let rank = |state: &State| {
            let prompt_time = f64::from(need.prompt_tokens) / self.settings.prefill_tokens_per_ms;
            let prefill_time =
                self.pending_prefill_time(now, state, peers, self.settings.prefill_tokens_per_ms)
                    + millis(prompt_time);
            let prefill_time =
                prefill_time.mul_f64(state.slowdown(now) * self.failure_penalty(now, state));
            let distance_cost = domain_cost(state, scope.domain, latency)
                + domain_cost(state, decode_domain, latency);
            (prefill_time + distance_cost).as_secs_f64()
        };
        let key = self.choose_least(now, scope, fits, rank, random)?;
        Some((key, self.predict_prefill_time(now, key, need)))
    }

    /// Predicts the time until a decode endpoint has read the prompt itself.
    /// Returns `None` if that would delay its streams too much, or if the endpoint
    /// is no decode endpoint.
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
        let event_time = self.settings.decode_step * engine.tokens_per_event.max(1);
        let requests = f64::from(state.running) + self.peer_requests(now, state, peers);
        let is_tolerable = requests < 0.5
            || prefill_time + event_time <= need.max_event_gap.mul_f64(MAX_GAP_SHARE);
        is_tolerable.then_some(prefill_time)
    }

    /// Returns the software versions of a service's prefill endpoints that accept work.
    fn reader_versions(&self, now: Instant, service: &str) -> Vec<&str> {
        let states = self.endpoints(service).iter();
        let states = states.filter_map(|key| self.get(*key));
        let readers = states.filter(|state| {
            state.endpoint.phase == Some(Phase::Prefill)
                && state.accepts_work(now)
                && !state.is_moving(now)
        });
        let mut versions = Vec::new();
        for state in readers {
            let version = state.endpoint.version.as_str();
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }

    /// Returns the cost, as time, of a decode endpoint that must read the prompt itself
    /// while others have prefill endpoints of their version.
    fn unread_prompt_cost(&self, need: Need) -> Duration {
        millis(f64::from(need.prompt_tokens) / self.mixed_tokens_per_ms()) + LOCAL_PREFILL_COST
    }

    /// Returns whether an engine seems to have memory and a slot for a request.
    fn has_room(&self, now: Instant, state: &State, engine: Engine, need: Need) -> bool {
        if state.is_full(now) {
            return false;
        }
        // The load of other hosts at a decode endpoint is not estimated here,
        // as the reservation there detects a lack of room.
        let used = state.kv_tokens as f64 + self.reported_prefill_tokens(now, state);
        let wanted = f64::from(need.kv_tokens());
        let memory = f64::from(engine.kv_capacity);
        // An idle engine takes any request that fits its whole memory, beyond
        // the usable share.
        let idle = used < 1.0 && wanted <= memory;
        let fits = used + wanted <= memory * self.settings.usable_kv_share || idle;
        fits && state.running < engine.slots
    }

    /// Predicts the time until an endpoint has read its pending prompts, at `rate`
    /// tokens per millisecond.
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

    /// Returns the prefill rate of a decode endpoint.
    fn mixed_tokens_per_ms(&self) -> f64 {
        self.settings.prefill_tokens_per_ms * self.settings.mixed_rate_share
    }

    /// Returns the rank factor for an endpoint's failures, 1 if it has none.
    fn failure_penalty(&self, now: Instant, state: &State) -> f64 {
        1.0 + FAILURE_WEIGHT * state.failure_rate(now)
    }

    /// Chooses the endpoint of least rank among those that fit. The tie-break adds
    /// the seconds of [`TIE_BREAK_WINDOW`] as a plain number, also to a `rank` that
    /// is not a time. A paused endpoint is chosen only if no other fits.
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
            let is_usable = state.accepts_work(now)
                && state.has_permit(now)
                && !state.is_moving(now)
                && state.endpoint.has_version(scope.version)
                && fits(state)
                && !scope.excluded.contains(key);
            is_usable.then_some((*key, state))
        });
        let mut best: Option<(bool, f64, EndpointKey)> = None;
        for (key, state) in candidates {
            let jitter = random.random_range(0.0..TIE_BREAK_WINDOW.as_secs_f64());
            let candidate = (!state.is_available(now), rank(state) + jitter, key);
            if best.is_none_or(|best| (candidate.0, candidate.1) < (best.0, best.1)) {
                best = Some(candidate);
            }
        }
        best.map(|(_, _, key)| key)
    }
}

/// Returns `cost` if the endpoint is in another failure domain, else zero.
fn domain_cost(state: &State, domain: &str, cost: Duration) -> Duration {
    if state.endpoint.domain == domain {
        return Duration::ZERO;
    }
    cost
}

fn millis(milliseconds: f64) -> Duration {
    Duration::from_secs_f64((milliseconds / 1000.0).max(0.0))
}
