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
use super::pool::{Crowd, EndpointKey, Pool, State};
use super::route::Engine;

/// What a model request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need {
    /// Prompt length in tokens.
    pub prompt: u32,
    /// Estimated tokens of the answer.
    pub output: u32,
    /// Longest pause between two events for a stream to be on time.
    pub pause: Duration,
}

/// How much more a token of an answer weighs than one of a prompt: it keeps the
/// memory of all of them for a step.
const ANSWER: u32 = 10;

impl Need {
    /// KV cache that it takes in the end, in tokens.
    pub fn tokens(self) -> u32 {
        self.prompt.saturating_add(self.output)
    }

    /// Memory and time that it takes, as tokens.
    pub fn size(self) -> u32 {
        let answer = self.output.saturating_mul(ANSWER);
        self.prompt.saturating_add(answer)
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
pub enum Reader {
    /// A prefill endpoint, whose KV cache is then moved.
    Other {
        /// The endpoint.
        prefill: EndpointKey,
        /// Predicted time until it is read.
        ready: Duration,
    },
    /// The endpoint that generates.
    Itself {
        /// Predicted time until it is read.
        ready: Duration,
    },
}

/// Predicted times of endpoints within which the choice is by chance, as
/// several hosts choose at once by the same reports.
const TIE: Duration = Duration::from_millis(8);

/// What reading in place costs against a transfer, as time: the streams that
/// run there pause for it.
const IN_PLACE: Duration = Duration::from_millis(100);

/// How much worse an endpoint counts that only fails.
const FAILING: f64 = 4.0;

/// Part by which each further request of an engine slows the others. From the
/// operators' sheets: 0.09 ms on a step of 4 ms.
const CROWD: f64 = 0.023;

/// Longest backlog that is told.
const LONGEST_BACKLOG: Duration = Duration::from_secs(60);

/// Share of the longest pause that predicted pauses may use.
const PAUSE_SHARE: f64 = 0.5;

impl Pool {
    /// Chooses an endpoint for a plain request: the least loaded one, with
    /// slow and failing ones counted as more loaded.
    pub fn plain<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let crowd = self.crowd(scope.service);
        let rank = |state: &State| {
            let load = f64::from(state.running) + self.others(now, state, crowd) + 1.0;
            let load = load / f64::from(state.endpoint.slots.max(1));
            let near = if state.endpoint.domain == scope.domain {
                1.0
            } else {
                1.05
            };
            load * state.pace(now) * near * self.penalty(now, state)
        };
        self.least(now, scope, |_| true, rank, random)
    }

    /// Chooses the endpoint that generates, for a prompt that was read.
    pub fn decode<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let crowd = self.crowd(scope.service);
        let fits = |state: &State| {
            state.endpoint.phase != Some(Phase::Prefill) && self.has_room(now, state, engine, need)
        };
        let rank = |state: &State| {
            let requests = f64::from(state.running) + self.others(now, state, crowd);
            let reading = self.reading(now, state, crowd, self.mixed_rate());
            let steps = f64::from(need.output) * self.settings.step.as_secs_f64();
            let stream = steps * (1.0 + requests * CROWD) * state.event_pace(now);
            let wait = reading + away(state, scope.domain, self.settings.remote);
            (stream + wait.as_secs_f64()) * self.penalty(now, state)
        };
        self.least(now, scope, fits, rank, random)
    }

    /// Chooses who reads a prompt for an endpoint that generates. `None` when
    /// nobody can.
    pub fn reader<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        decode: EndpointKey,
        random: &mut R,
    ) -> Option<Reader> {
        let other = self.prefill(now, scope, engine, need, decode, random);
        let itself = self.own(now, engine, need, decode);
        match (other, itself) {
            (Some((_, ready)), Some(own)) if own + IN_PLACE < ready + self.settings.transfer => {
                Some(Reader::Itself { ready: own })
            }
            (Some((prefill, ready)), _) => Some(Reader::Other { prefill, ready }),
            (None, Some(ready)) => Some(Reader::Itself { ready }),
            // A late stream is better than none.
            (None, None) => {
                let ready = self.expected(now, decode, need);
                let state = self.get(decode)?;
                (state.endpoint.phase == Some(Phase::Decode)).then_some(Reader::Itself { ready })
            }
        }
    }

    /// Predicted time for an endpoint to read a prompt, with what it has to
    /// read before.
    pub fn expected(&self, now: Instant, key: EndpointKey, need: Need) -> Duration {
        let Some(state) = self.get(key) else {
            return Duration::ZERO;
        };
        let crowd = self.crowd(&state.endpoint.service);
        let rate = match state.endpoint.phase {
            Some(Phase::Prefill) => self.settings.read_rate,
            _ => self.mixed_rate(),
        };
        let own = f64::from(need.prompt) / rate;
        self.reading(now, state, crowd, rate) + millis(own) + self.settings.first
    }

    /// Predicted time until so many requests before this host have room, of
    /// so many hosts.
    pub fn backlog(&self, service: &str, engine: Engine, ahead: usize, hosts: usize) -> Duration {
        let Some((tokens, run)) = self.turnover(service) else {
            return LONGEST_BACKLOG;
        };
        let states = self.of(service).iter().filter_map(|key| self.get(*key));
        let engines = states.filter(|state| state.endpoint.phase != Some(Phase::Prefill));
        let memory = engines.count() as f64 * f64::from(engine.memory);
        let room = memory / tokens.max(1.0);
        let rate = room / run.as_secs_f64().max(0.001) / hosts.max(1) as f64;
        let seconds = ahead as f64 / rate.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(LONGEST_BACKLOG.as_secs_f64()))
    }

    /// The prefill endpoint with the soonest result.
    fn prefill<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        engine: Engine,
        need: Need,
        decode: EndpointKey,
        random: &mut R,
    ) -> Option<(EndpointKey, Duration)> {
        let distance = self.settings.distance;
        let beside = self.get(decode)?.endpoint.domain.as_str();
        let crowd = self.crowd(scope.service);
        let fits = |state: &State| {
            state.endpoint.phase == Some(Phase::Prefill) && self.has_room(now, state, engine, need)
        };
        let rank = |state: &State| {
            let own = f64::from(need.prompt) / self.settings.read_rate;
            let ready = self.reading(now, state, crowd, self.settings.read_rate) + millis(own);
            let ready = ready.mul_f64(state.pace(now) * self.penalty(now, state));
            let way = away(state, scope.domain, distance) + away(state, beside, distance);
            (ready + way).as_secs_f64()
        };
        let key = self.least(now, scope, fits, rank, random)?;
        Some((key, self.expected(now, key, need)))
    }

    /// Predicted time until a decode endpoint has read a prompt itself, if
    /// that delays no stream there too much.
    fn own(
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
        let crowd = self.crowd(&state.endpoint.service);
        let ready = self.expected(now, decode, need);
        let event = self.settings.step * engine.stride.max(1);
        let requests = f64::from(state.running) + self.others(now, state, crowd);
        let bears = requests < 0.5 || ready + event <= need.pause.mul_f64(PAUSE_SHARE);
        bears.then_some(ready)
    }

    /// Whether an engine seems to have memory and a slot for a request.
    fn has_room(&self, now: Instant, state: &State, engine: Engine, need: Need) -> bool {
        if state.is_denying(now) {
            return false;
        }
        // What others have at a decode endpoint is left to the reservation to
        // find out.
        let used = state.tokens as f64 + self.reported_unread(now, state);
        let wanted = f64::from(need.tokens());
        let memory = f64::from(engine.memory);
        // An engine without work takes whatever fits it at all.
        let idle = used < 1.0 && wanted <= memory;
        let fits = used + wanted <= memory * self.settings.memory_share || idle;
        fits && state.running < engine.slots
    }

    /// Predicted time until an endpoint has read all prompts that it has.
    fn reading(&self, now: Instant, state: &State, crowd: Crowd, rate: f64) -> Duration {
        millis((state.unread as f64 + self.others_unread(now, state, crowd)) / rate)
    }

    /// Prompt tokens that a decode endpoint reads in a millisecond.
    fn mixed_rate(&self) -> f64 {
        self.settings.read_rate * self.settings.mixed_share
    }

    /// Factor by which an endpoint that fails counts as worse.
    fn penalty(&self, now: Instant, state: &State) -> f64 {
        1.0 + FAILING * state.failing(now)
    }

    /// The endpoint of least rank, in seconds or any other unit, among those
    /// that fit; a paused one only when there is no other.
    fn least<R: Rng>(
        &self,
        now: Instant,
        scope: Scope<'_>,
        fits: impl Fn(&State) -> bool,
        rank: impl Fn(&State) -> f64,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let candidates = self.of(scope.service).iter().filter_map(|key| {
            let state = self.get(*key)?;
            let usable = !state.endpoint.draining
                && !state.is_moving(now)
                && fits(state)
                && !scope.avoid.contains(key);
            usable.then_some((*key, state))
        });
        let mut best: Option<(bool, f64, EndpointKey)> = None;
        for (key, state) in candidates {
            let chance = random.random_range(0.0..TIE.as_secs_f64());
            let found = (!state.is_open(now), rank(state) + chance, key);
            if best.is_none_or(|best| (found.0, found.1) < (best.0, best.1)) {
                best = Some(found);
            }
        }
        best.map(|(_, _, key)| key)
    }
}

/// What the way between a failure domain and an endpoint costs.
fn away(state: &State, domain: &str, cost: Duration) -> Duration {
    if state.endpoint.domain == domain {
        return Duration::ZERO;
    }
    cost
}

/// A duration of so many milliseconds.
fn millis(milliseconds: f64) -> Duration {
    Duration::from_secs_f64((milliseconds / 1000.0).max(0.0))
}
