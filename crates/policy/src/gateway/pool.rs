//! What one entry host knows of the endpoints that it sends to.
//!
//! Its own work in flight is known exactly. Other hosts' work is estimated
//! from the load that endpoints report with their answers, and fades as the
//! report ages.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::{new_key_type, SlotMap};

use cranberryridge_wire::Map;

use super::member::{Endpoint, Phase};
use super::route::Engine;

use self::baseline::{Service, DEFAULT_RUN_TIME, SLOW_WEIGHT};
use self::state::SLOWDOWN_RANGE;

pub use self::state::{Failure, State};

mod baseline;
mod state;

new_key_type! {
    /// An endpoint of a pool.
    pub struct EndpointKey;

    /// A service of a pool.
    pub struct ServiceKey;
}

/// How a pool predicts.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prompt tokens that a prefill endpoint reads in a millisecond. From the
    /// operators' sheets of their engines.
    pub prefill_tokens_per_ms: f64,
    /// Share of that speed at which a decode endpoint reads prompts itself.
    /// The platform's engines read at half the speed.
    pub mixed_rate_share: f64,
    /// Time from the end of a prompt to its first token. From the operators'
    /// sheets.
    pub first_token_delay: Duration,
    /// Time of one decode step. From the operators' sheets, with a few
    /// requests running.
    pub decode_step: Duration,
    /// Time to move a KV cache, its set-up included.
    pub transfer_time: Duration,
    /// What another failure domain costs against an own one, as time. One
    /// round trip between domains of today's deployments.
    pub cross_domain_latency: Duration,
    /// What a stream from another failure domain costs against one from the own,
    /// as time. Its events cross between domains, which is dear; about what one
    /// more request at an engine costs.
    pub cross_domain_stream_cost: Duration,
    /// Time after which a load report says nothing any more. The platform's
    /// engines report up to a second late.
    pub report_lifetime: Duration,
    /// Pause after an endpoint's first failure; doubles with each further.
    pub failure_backoff: Duration,
    /// Time for which an endpoint that had no room is not asked again. A run
    /// ends about this often at a full engine of today's size.
    pub full_backoff: Duration,
    /// Longest time for which it is not asked again, however often it had no
    /// room. An engine that is being moved has none for seconds.
    pub max_full_backoff: Duration,
    /// Longest pause after failures.
    pub max_failure_backoff: Duration,
    /// Share of an engine's memory that is given out: runs outgrow what their
    /// callers estimated, and hosts that choose alone give too.
    pub usable_kv_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 33.3,
            mixed_rate_share: 0.5,
            first_token_delay: Duration::from_millis(16),
            decode_step: Duration::from_millis(5),
            transfer_time: Duration::from_millis(10),
            cross_domain_latency: Duration::from_millis(9),
            cross_domain_stream_cost: Duration::from_millis(300),
            report_lifetime: Duration::from_secs(1),
            failure_backoff: Duration::from_millis(250),
            full_backoff: Duration::from_millis(150),
            max_full_backoff: Duration::from_millis(1200),
            max_failure_backoff: Duration::from_secs(4),
            usable_kv_share: 0.95,
        }
    }
}

/// Endpoints and what is known of them.
#[derive(Debug, Default)]
pub struct Pool {
    /// How it predicts.
    pub(super) settings: Settings,
    /// The endpoints.
    pub(super) states: SlotMap<EndpointKey, State>,
    /// Keys by id.
    keys_by_id: Map<CompactString, EndpointKey>,
    /// The services.
    services: SlotMap<ServiceKey, Service>,
    /// Keys of services by name.
    services_by_name: Map<CompactString, ServiceKey>,
    /// Entry hosts that send to the endpoints, this one included.
    host_count: usize,
}

/// What other hosts are likely to have at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Prompt tokens that are not read yet, at a prefill endpoint.
    pending_prefill_tokens: f64,
    /// Requests, at another one.
    running: f64,
}

/// Work that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Where.
    pub endpoint: EndpointKey,
    /// Prompt tokens to read there.
    pub prefill_tokens: u32,
    /// KV cache in tokens that it takes there.
    pub kv_tokens: u32,
}

/// Load that an endpoint reported with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

impl Pool {
    /// A pool without endpoints.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            host_count: 1,
            ..Self::default()
        }
    }

    /// Takes the endpoints as listed. What is known of those that stay is
    /// kept; an endpoint that started anew is a new one.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) {
        for service in self.services.values_mut() {
            service.endpoints.clear();
        }
        let mut ids = Map::default();
        for endpoint in endpoints {
            let service = self.service_key(&endpoint.service);
            let known = self.keys_by_id.remove(&endpoint.id);
            let known = known.filter(|key| {
                let state = &self.states[*key];
                state.endpoint.started_ms == endpoint.started_ms && state.service == service
            });
            let id = endpoint.id.clone();
            let key = match known {
                Some(key) => {
                    self.states[key].endpoint = endpoint;
                    key
                }
                None => self.states.insert(State::new(endpoint, service)),
            };
            ids.insert(id, key);
            self.services[service].endpoints.push(key);
        }
        self.keys_by_id = ids;
        let ids = &self.keys_by_id;
        self.states
            .retain(|key, state| ids.get(&state.endpoint.id) == Some(&key));
    }

    /// The key of a service, which is made if it is new.
    fn service_key(&mut self, name: &CompactString) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(Service::default());
        self.services_by_name.insert(name.clone(), key);
        key
    }

    /// Notes how many entry hosts there are.
    pub fn set_host_count(&mut self, host_count: usize) {
        self.host_count = host_count.max(1);
    }

    /// The endpoints of a service.
    pub fn endpoints(&self, service: &str) -> &[EndpointKey] {
        let key = self.services_by_name.get(service);
        key.map_or(&[], |key| &self.services[*key].endpoints)
    }

    /// The key of an endpoint by its id.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.keys_by_id.get(id).copied()
    }

    /// An endpoint by its id, as it is listed.
    pub fn endpoint(&self, id: &str) -> Option<Endpoint> {
        let key = self.keys_by_id.get(id)?;
        Some(self.states.get(*key)?.endpoint.clone())
    }

    /// What is known of an endpoint, if it is still listed.
    pub fn get(&self, key: EndpointKey) -> Option<&State> {
        self.states.get(key)
    }

    /// Counts work as sent.
    pub fn start(&mut self, work: Work) {
        let Some(state) = self.states.get_mut(work.endpoint) else {
            return;
        };
        state.running += 1;
        state.pending_prefill_tokens += u64::from(work.prefill_tokens);
        state.kv_tokens += u64::from(work.kv_tokens);
        if work.prefill_tokens > 0 {
            let service = &mut self.services[state.service];
            service.mean_prompt_tokens +=
                (f64::from(work.prefill_tokens) - service.mean_prompt_tokens) * SLOW_WEIGHT;
        }
    }

    /// Counts a prompt as read, `took` after it was sent. Returns the work
    /// that is left.
    pub fn finish_prefill(
        &mut self,
        now: Instant,
        work: Work,
        expected: Duration,
        took: Duration,
    ) -> Work {
        if let Some(state) = self.states.get_mut(work.endpoint) {
            state.pending_prefill_tokens = state
                .pending_prefill_tokens
                .saturating_sub(u64::from(work.prefill_tokens));
            state.learn_slowdown(now, expected, took);
        }
        Work {
            prefill_tokens: 0,
            ..work
        }
    }

    /// Counts work as over.
    pub fn finish(&mut self, work: Work) {
        let Some(state) = self.states.get_mut(work.endpoint) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        state.pending_prefill_tokens = state
            .pending_prefill_tokens
            .saturating_sub(u64::from(work.prefill_tokens));
        state.kv_tokens = state.kv_tokens.saturating_sub(u64::from(work.kv_tokens));
    }

    /// Takes the load that came with an answer.
    pub fn record_load(&mut self, now: Instant, key: EndpointKey, load: Load) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let own = f64::from(state.running);
        state.peer_requests = (f64::from(load.running + load.waiting) - own).max(0.0);
        state.reported_at = Some(now);
    }

    /// Notes how long a plain answer took.
    pub fn record_answer_time(&mut self, now: Instant, key: EndpointKey, took: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        let expected = Duration::from_secs_f64(service.run_seconds_or(took));
        state.learn_slowdown(now, expected, took);
        service.learn_run(took);
    }

    /// Notes the time between two events of a stream.
    pub fn record_event_interval(&mut self, now: Instant, key: EndpointKey, interval: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        let interval = interval.as_secs_f64();
        let mean = service.mean_event_seconds.unwrap_or(interval);
        let ratio = interval / mean.max(f64::MIN_POSITIVE);
        state
            .event_slowdown
            .learn(now, ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1) - 1.0);
        // A few slow endpoints must not become what is usual.
        let clamped = interval.min(mean * 2.0);
        service.mean_event_seconds = Some(mean + (clamped - mean) * SLOW_WEIGHT);
    }

    /// Notes an answer of an endpoint, good or a failure of its own.
    pub fn record_outcome(&mut self, now: Instant, key: EndpointKey, succeeded: bool) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.consecutive_failures = 0;
        state.consecutive_full = 0;
        state.paused_until = None;
        state
            .failure_rate
            .learn(now, if succeeded { 0.0 } else { 1.0 });
    }

    /// Notes that an endpoint did not serve.
    pub fn record_failure(&mut self, now: Instant, key: EndpointKey, failure: Failure) {
        let settings = self.settings;
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        match failure {
            Failure::Broken => state.record_broken(now, settings),
            Failure::Full => state.record_full(now, settings),
            Failure::Misdirected => state.paused_until = Some(now + settings.max_failure_backoff),
        }
    }

    /// Notes that an endpoint is being moved to another stage.
    pub fn mark_moving(&mut self, until: Instant, id: &str, phase: Phase) {
        let key = self.keys_by_id.get(id);
        if let Some(state) = key.and_then(|key| self.states.get_mut(*key)) {
            state.moving = Some((phase, until));
        }
    }

    /// Notes that a run ended well after `took`, with so many tokens in its
    /// KV cache.
    pub fn record_run(&mut self, key: EndpointKey, took: Duration, kv_tokens: u32) {
        let Some(state) = self.states.get(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        service.learn_run(took);
        service.mean_kv_tokens += (f64::from(kv_tokens) - service.mean_kv_tokens) * SLOW_WEIGHT;
    }

    /// What other hosts are likely to have at each endpoint of a service, if
    /// they have as much as this one.
    pub(super) fn estimate_peer_load(&self, service: &str) -> PeerLoad {
        let (mut prefillers, mut prefill_tokens, mut decoders, mut running) = (0, 0, 0, 0);
        let states = self.endpoints(service).iter();
        for state in states.filter_map(|key| self.states.get(*key)) {
            if state.endpoint.phase == Some(Phase::Prefill) {
                prefillers += 1;
                prefill_tokens += state.pending_prefill_tokens;
            } else {
                decoders += 1;
                running += state.running;
            }
        }
        let other_hosts = (self.host_count - 1) as f64;
        PeerLoad {
            pending_prefill_tokens: other_hosts * prefill_tokens as f64
                / f64::from(prefillers.max(1)),
            running: other_hosts * f64::from(running) / f64::from(decoders.max(1)),
        }
    }

    /// How much of an endpoint's last report still counts.
    fn report_weight(&self, now: Instant, state: &State) -> f64 {
        let Some(reported_at) = state.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        (1.0 - age / self.settings.report_lifetime.as_secs_f64()).max(0.0)
    }

    /// Other hosts' requests at an endpoint that reads no prompts for others:
    /// what it reported last, and as that ages, what is likely.
    pub(super) fn peer_requests(&self, now: Instant, state: &State, peers: PeerLoad) -> f64 {
        let weight = self.report_weight(now, state);
        state.peer_requests * weight + peers.running * (1.0 - weight)
    }

    /// Prompt tokens that other hosts have unread at a prefill endpoint.
    pub(super) fn peer_prefill_tokens(&self, now: Instant, state: &State, peers: PeerLoad) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let weight = self.report_weight(now, state);
        self.reported_prefill_tokens(now, state) + peers.pending_prefill_tokens * (1.0 - weight)
    }

    /// Prompt tokens that other hosts have unread at a prefill endpoint by
    /// its last report alone.
    pub(super) fn reported_prefill_tokens(&self, now: Instant, state: &State) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let mean_prompt_tokens = self.services[state.service].mean_prompt_tokens;
        state.peer_requests * mean_prompt_tokens * self.report_weight(now, state)
    }

    /// Memory for running requests of a service in tokens, and the time of one
    /// token of an answer.
    pub(super) fn capacity(&self, now: Instant, service: &str, engine: Engine) -> (f64, Duration) {
        let states = self
            .endpoints(service)
            .iter()
            .filter_map(|key| self.get(*key));
        let engines = states.filter(|state| {
            let is_decoder = state.endpoint.phase != Some(Phase::Prefill);
            let is_healthy = state.consecutive_failures == 0 && !state.endpoint.draining;
            is_decoder && is_healthy && !state.is_moving(now)
        });
        let memory = engines.count() as f64 * f64::from(engine.kv_capacity);
        let service = self
            .services_by_name
            .get(service)
            .map(|key| &self.services[*key]);
        let event = service.and_then(|service| service.mean_event_seconds);
        let step = self.settings.decode_step.as_secs_f64();
        let token_time = event.map_or(step, |event| {
            event / f64::from(engine.tokens_per_event.max(1))
        });
        let memory = memory * self.settings.usable_kv_share;
        (memory, Duration::from_secs_f64(token_time))
    }

    /// Mean KV cache of a service's runs in tokens, and their mean time.
    pub(super) fn mean_run(&self, service: &str) -> Option<(f64, Duration)> {
        let service = &self.services[*self.services_by_name.get(service)?];
        Some((
            service.mean_kv_tokens,
            Duration::from_secs_f64(service.run_seconds_or(DEFAULT_RUN_TIME)),
        ))
    }
}
