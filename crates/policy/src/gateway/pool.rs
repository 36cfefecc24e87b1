//! State of the endpoints, as seen by one entry host.
//!
//! The host knows its own work in flight exactly. It estimates the work of
//! other hosts from the load that endpoints report with their answers, and a
//! report counts less as it ages.

use std::time::{Duration, Instant};

use compact_str::CompactString;
use slotmap::{new_key_type, SlotMap};

use cranberryridge_wire::Map;

use super::member::{Endpoint, Phase};
use super::route::Engine;

use self::baseline::{Service, DEFAULT_RUN_TIME, SLOW_WEIGHT};
use self::state::SLOWDOWN_RANGE;

pub use self::state::{Failure, State};
pub use self::version::VersionService;

mod baseline;
mod state;
mod version;

new_key_type! {
    /// Key of an endpoint in a pool.
    pub struct EndpointKey;

    /// Key of a service in a pool.
    pub struct ServiceKey;
}

/// Parameters of the predictions.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Prompt tokens that a prefill endpoint reads per millisecond. Taken from
    /// the operators' data sheets of their engines.
    pub prefill_tokens_per_ms: f64,
    /// Prefill speed of a decode endpoint as a share of a prefill endpoint's.
    /// The platform's engines read at half the speed.
    pub mixed_rate_share: f64,
    /// Time from the end of the prompt to the first token. Taken from the
    /// operators' data sheets.
    pub first_token_delay: Duration,
    /// Time of one decode step. Taken from the operators' data sheets, for an
    /// engine with a few running requests.
    pub decode_step: Duration,
    /// Time to transfer a KV cache, including set-up.
    pub transfer_time: Duration,
    /// Added cost of a prefill endpoint in another failure domain, as time.
    /// Equals one round trip between domains of today's deployments.
    pub cross_domain_latency: Duration,
    /// Added cost of a stream from another failure domain, as time. Each of its
    /// events crosses domains, which is expensive. The value is about the cost
    /// of one more request at an engine.
    pub cross_domain_stream_cost: Duration,
    /// Age at which a load report no longer counts. The platform's engines
    /// report up to a second late.
    pub report_lifetime: Duration,
    /// Backoff after an endpoint's first failure. Doubles with each further
    /// one.
    pub failure_backoff: Duration,
    /// Backoff after an endpoint had no room. Doubles with each further time.
    /// At a full engine of today's size, a run ends about this often.
    pub full_backoff: Duration,
    /// Upper bound of the backoff after an endpoint had no room. An engine that
    /// is moving to another stage has no room for seconds.
    pub max_full_backoff: Duration,
    /// Upper bound of the backoff after failures.
    pub max_failure_backoff: Duration,
    /// Share of an engine's KV cache that is assigned. The rest is a reserve
    /// for runs that outgrow their estimates and for hosts that choose without
    /// the scheduler.
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

/// The endpoints of all services, with their state.
#[derive(Debug, Default)]
pub struct Pool {
    pub(super) settings: Settings,
    pub(super) states: SlotMap<EndpointKey, State>,
    keys_by_id: Map<CompactString, EndpointKey>,
    services: SlotMap<ServiceKey, Service>,
    services_by_name: Map<CompactString, ServiceKey>,
    /// Number of entry hosts that send to the endpoints, including this one.
    host_count: usize,
}

/// Estimated load from other hosts at one endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerLoad {
    /// Prompt tokens not yet read, at a prefill endpoint.
    pending_prefill_tokens: f64,
    /// Running requests, at an endpoint that is not a prefill endpoint.
    running: f64,
}

/// Longest rest that an endpoint gets.
const MAX_REST: Duration = Duration::from_secs(60);

/// Time until an endpoint whose check of an end was useless is asked to check another one.
const CHECK_RETRY_INTERVAL: Duration = Duration::from_secs(600);

/// Returns the rest that an endpoint gets when it asks for `seconds`. `None` if
/// the value is not a time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cranberryridge_policy::gateway::pool::rest_time;
/// assert_eq!(rest_time(0.25), Some(Duration::from_millis(250)));
/// assert_eq!(rest_time(31_536_000.0), Some(Duration::from_secs(60)));
/// assert_eq!(rest_time(-1.0), None);
/// ```
pub fn rest_time(seconds: f64) -> Option<Duration> {
    let is_time = seconds >= 0.0;
    is_time.then(|| Duration::from_secs_f64(seconds.min(MAX_REST.as_secs_f64())))
}

/// Work sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Endpoint that does the work.
    pub endpoint: EndpointKey,
    /// Prompt tokens that the endpoint has yet to read.
    pub prefill_tokens: u32,
    /// KV cache that the work occupies there, in tokens.
    pub kv_tokens: u32,
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            host_count: 1,
            ..Self::default()
        }
    }

    /// Replaces the list of endpoints. The state of listed endpoints is kept,
    /// except for those that have restarted. Returns those that are listed no more.
    pub fn update(&mut self, endpoints: Vec<Endpoint>) -> Vec<Endpoint> {
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
        let mut removed = Vec::new();
        self.states.retain(|key, state| {
            let is_listed = ids.get(&state.endpoint.id) == Some(&key);
            if !is_listed {
                removed.push(state.endpoint.clone());
            }
            is_listed
        });
        removed
    }

    /// Returns the endpoints that are listed and leave.
    pub fn leaving(&self) -> impl Iterator<Item = &Endpoint> {
        let leaving = self.states.values().filter(|state| state.is_leaving());
        leaving.map(|state| &state.endpoint)
    }

    /// Returns whether one start of an endpoint leaves or is listed no more.
    pub fn is_start_leaving(&self, id: &str, started_ms: u64) -> bool {
        let state = self
            .key_of_start(id, started_ms)
            .map(|key| &self.states[key]);
        state.is_none_or(State::is_leaving)
    }

    /// Returns the key of a service, and adds the service if it is new.
    fn service_key(&mut self, name: &CompactString) -> ServiceKey {
        if let Some(key) = self.services_by_name.get(name) {
            return *key;
        }
        let key = self.services.insert(Service::default());
        self.services_by_name.insert(name.clone(), key);
        key
    }

    /// Sets the number of entry hosts, at least one.
    pub fn set_host_count(&mut self, host_count: usize) {
        self.host_count = host_count.max(1);
    }

    /// Returns the endpoints of a service, or none if it is unknown.
    pub fn endpoints(&self, service: &str) -> &[EndpointKey] {
        let key = self.services_by_name.get(service);
        key.map_or(&[], |key| &self.services[*key].endpoints)
    }

    /// Returns the key of one start of an endpoint, or `None` if that is not listed. An
    /// endpoint may start again under its id.
    pub fn key_of_start(&self, id: &str, started_ms: u64) -> Option<EndpointKey> {
        let key = self.key(id)?;
        (self.states[key].endpoint.started_ms == started_ms).then_some(key)
    }

    /// Returns the key of an endpoint by its id, or `None` if it is not listed.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.keys_by_id.get(id).copied()
    }

    /// Returns an endpoint by its id, or `None` if it is not listed.
    pub fn endpoint(&self, id: &str) -> Option<Endpoint> {
        let key = self.keys_by_id.get(id)?;
        Some(self.states.get(*key)?.endpoint.clone())
    }

    /// Returns the state of an endpoint, or `None` if it is no longer listed.
    pub fn get(&self, key: EndpointKey) -> Option<&State> {
        self.states.get(key)
    }

    /// Adds work that is being sent to an endpoint. Does nothing if the endpoint is
    /// no longer listed.
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

    /// Records that a prompt was read, `took` after it was sent, and returns
    /// the remaining work. The endpoint's slowdown is not updated if `expected`
    /// is zero.
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

    /// Removes work that has ended.
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

    /// Records the load that an endpoint reported.
    pub fn record_load(&mut self, now: Instant, key: EndpointKey, load: Load) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let own = f64::from(state.running);
        state.peer_requests = (f64::from(load.running + load.waiting) - own).max(0.0);
        state.reported_at = Some(now);
    }

    /// Records the duration of a non-streaming request.
    pub fn record_answer_time(&mut self, now: Instant, key: EndpointKey, took: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        let expected = Duration::from_secs_f64(service.run_seconds_or(took));
        state.learn_slowdown(now, expected, took);
        service.learn_run(took);
        service.learn_peak(now, took);
    }

    /// Returns the mean duration of a service's plain answers and the longest recent one.
    /// `None` if there was none yet.
    pub(super) fn call_times(&self, now: Instant, service: &str) -> Option<(Duration, Duration)> {
        let service = self.services_by_name.get(service)?;
        self.services[*service].call_times(now)
    }

    /// Records the mean time between two events of a stream.
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
        // Limits the influence of slow endpoints on the mean of the service.
        let clamped = interval.min(mean * 2.0);
        service.mean_event_seconds = Some(mean + (clamped - mean) * SLOW_WEIGHT);
    }

    /// Records that an endpoint has stated the end of a stream.
    pub fn record_stated_end(&mut self, key: EndpointKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.check_due = None;
        }
    }

    /// Records that an endpoint was asked to check the end of another run, and neither stated
    /// one nor added an event.
    pub fn record_useless_check(&mut self, now: Instant, key: EndpointKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.check_due = Some(now + CHECK_RETRY_INTERVAL);
        }
    }

    /// Returns the endpoints of a service that are not asked to check an end, as their last
    /// check was useless.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::gateway::member::Endpoint;
    /// use cranberryridge_policy::gateway::pool::{Pool, Settings};
    /// let mut pool = Pool::new(Settings::default());
    /// pool.update(vec![Endpoint {
    ///     id: "d0".into(),
    ///     started_ms: 1,
    ///     address: ([127, 0, 0, 1], 80).into(),
    ///     service: "model".into(),
    ///     domain: "a".into(),
    ///     version: "v1".into(),
    ///     phase: None,
    ///     slots: 8,
    ///     draining: false,
    /// }]);
    /// let (now, key) = (Instant::now(), pool.key("d0").unwrap());
    /// assert_eq!(pool.unable_to_check(now, "model").count(), 0);
    /// pool.record_useless_check(now, key);
    /// assert!(pool.unable_to_check(now, "model").eq([key]));
    /// pool.record_stated_end(key);
    /// assert_eq!(pool.unable_to_check(now, "model").count(), 0);
    /// ```
    pub fn unable_to_check(
        &self,
        now: Instant,
        service: &str,
    ) -> impl Iterator<Item = EndpointKey> + '_ {
        let keys = self.endpoints(service).iter().copied();
        keys.filter(move |key| {
            let due = self.states.get(*key).and_then(|state| state.check_due);
            due.is_some_and(|due| due > now)
        })
    }

    /// Records whether an answer succeeded. In either case, ends the endpoint's
    /// pause and resets both backoffs, but a full endpoint still counts as full
    /// until that mark expires.
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

    /// Records that an endpoint failed to serve a request.
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

    /// Marks an endpoint as shutting down until it restarts. Returns whether this
    /// was not known before.
    pub fn mark_leaving(&mut self, key: EndpointKey) -> bool {
        let Some(state) = self.states.get_mut(key) else {
            return false;
        };
        let was_leaving = state.is_leaving();
        state.is_leaving = true;
        !was_leaving
    }

    /// Sends no requests to an endpoint for a time, as it asked this host for a
    /// rest. A shorter rest does not end a longer one.
    pub fn rest(&mut self, now: Instant, key: EndpointKey, rest: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.resting_until = state.resting_until.max(Some(now + rest));
        }
    }

    /// Prefers other endpoints for a time, as this one asked another host for a
    /// rest.
    pub fn avoid(&mut self, now: Instant, key: EndpointKey, time: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.paused_until = state.paused_until.max(Some(now + time));
        }
    }

    /// Returns the time until the first of a service's endpoints accepts
    /// requests again, if all that are not shutting down have asked for a rest.
    /// Only endpoints of a software version are considered, or all if it is `None`, and no
    /// prefill endpoints.
    pub fn rest_remaining(
        &self,
        now: Instant,
        service: &str,
        version: Option<&str>,
    ) -> Option<Duration> {
        let staying = self.staying_decoders(service).map(|(_, state)| state);
        let staying = staying.filter(|state| state.endpoint.has_version(version));
        let remaining = staying.map(|state| {
            let until = state.resting_until?;
            until
                .checked_duration_since(now)
                .filter(|left| !left.is_zero())
        });
        // `None` is the least, so one endpoint that accepts work suffices.
        remaining.min().flatten()
    }

    /// Returns a service's endpoints that are not shutting down, without prefill endpoints.
    pub(super) fn staying_decoders(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (EndpointKey, &State)> {
        let states = self.endpoints(service).iter();
        let states = states.filter_map(|key| Some((*key, self.get(*key)?)));
        states.filter(|(_, state)| {
            state.endpoint.phase != Some(Phase::Prefill) && !state.is_leaving()
        })
    }

    /// Returns the ids of a service's endpoints that accept no requests from this
    /// host.
    pub fn declining(&self, now: Instant, service: &str) -> Vec<CompactString> {
        let states = self.endpoints(service).iter();
        let states = states.filter_map(|key| self.get(*key));
        let declining = states.filter(|state| !state.accepts_work(now));
        declining.map(|state| state.endpoint.id.clone()).collect()
    }

    /// Marks an endpoint as moving to another stage, at most until `until`.
    pub fn mark_moving(&mut self, until: Instant, id: &str, phase: Phase) {
        let key = self.keys_by_id.get(id);
        if let Some(state) = key.and_then(|key| self.states.get_mut(*key)) {
            state.moving = Some((phase, until));
        }
    }

    /// Records a successful run with its duration and the size of its KV cache in
    /// tokens.
    pub fn record_run(&mut self, key: EndpointKey, took: Duration, kv_tokens: u32) {
        let Some(state) = self.states.get(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        service.learn_run(took);
        service.mean_kv_tokens += (f64::from(kv_tokens) - service.mean_kv_tokens) * SLOW_WEIGHT;
    }

    /// Estimates the load from other hosts at each endpoint of a service,
    /// assuming that each of them sends as much as this one.
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

    /// Returns the weight of an endpoint's last report, from 1 when new to 0
    /// when outdated.
    fn report_weight(&self, now: Instant, state: &State) -> f64 {
        let Some(reported_at) = state.reported_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at).as_secs_f64();
        (1.0 - age / self.settings.report_lifetime.as_secs_f64()).max(0.0)
    }

    /// Estimates the requests of other hosts at an endpoint that is not a
    /// prefill endpoint, moving from its last report to the expected load as
    /// the report ages.
    pub(super) fn peer_requests(&self, now: Instant, state: &State, peers: PeerLoad) -> f64 {
        let weight = self.report_weight(now, state);
        state.peer_requests * weight + peers.running * (1.0 - weight)
    }

    /// Estimates the unread prompt tokens of other hosts at a prefill endpoint.
    pub(super) fn peer_prefill_tokens(&self, now: Instant, state: &State, peers: PeerLoad) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let weight = self.report_weight(now, state);
        self.reported_prefill_tokens(now, state) + peers.pending_prefill_tokens * (1.0 - weight)
    }

    /// Estimates the unread prompt tokens of other hosts at a prefill endpoint
    /// from its last report only.
    pub(super) fn reported_prefill_tokens(&self, now: Instant, state: &State) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let mean_prompt_tokens = self.services[state.service].mean_prompt_tokens;
        state.peer_requests * mean_prompt_tokens * self.report_weight(now, state)
    }

    /// Returns the KV cache available for a service's runs at endpoints of a software
    /// version, or of any if it is `None`, in tokens, and the time per output token.
    pub(super) fn capacity(
        &self,
        now: Instant,
        service: &str,
        version: Option<&str>,
        engine: Engine,
    ) -> (f64, Duration) {
        let engines = self.staying_decoders(service).filter(|(_, state)| {
            let is_healthy = state.consecutive_failures == 0 && state.accepts_work(now);
            is_healthy && state.endpoint.has_version(version) && !state.is_moving(now)
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

    /// Returns the mean KV cache of a service's runs, in tokens, and their mean
    /// duration. `None` if the service is unknown.
    pub(super) fn mean_run(&self, service: &str) -> Option<(f64, Duration)> {
        let service = &self.services[*self.services_by_name.get(service)?];
        Some((
            service.mean_kv_tokens,
            Duration::from_secs_f64(service.run_seconds_or(DEFAULT_RUN_TIME)),
        ))
    }
}
