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

use self::state::PACE;
use self::usual::{Service, RUN, SLOW};

pub use self::state::{State, Trouble};

mod state;
mod usual;

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
    pub read_rate: f64,
    /// Share of that speed at which a decode endpoint reads prompts itself.
    /// The platform's engines read at half the speed.
    pub mixed_share: f64,
    /// Time from the end of a prompt to its first token. From the operators'
    /// sheets.
    pub first: Duration,
    /// Time of one decode step. From the operators' sheets, with a few
    /// requests running.
    pub step: Duration,
    /// Time to move a KV cache, its set-up included.
    pub transfer: Duration,
    /// What another failure domain costs against an own one, as time. One
    /// round trip between domains of today's deployments.
    pub distance: Duration,
    /// What a stream from another failure domain costs against one from the own,
    /// as time. Its events cross between domains, which is dear; about what one
    /// more request at an engine costs.
    pub remote: Duration,
    /// Time after which a load report says nothing any more. The platform's
    /// engines report up to a second late.
    pub fade: Duration,
    /// Pause after an endpoint's first failure; doubles with each further.
    pub pause: Duration,
    /// Time for which an endpoint that had no room is not asked again. A run
    /// ends about this often at a full engine of today's size.
    pub denial: Duration,
    /// Longest time for which it is not asked again, however often it had no
    /// room. An engine that is being moved has none for seconds.
    pub longest_denial: Duration,
    /// Longest pause after failures.
    pub longest_pause: Duration,
    /// Share of an engine's memory that is given out: runs outgrow what their
    /// callers estimated, and hosts that choose alone give too.
    pub memory_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            read_rate: 33.3,
            mixed_share: 0.5,
            first: Duration::from_millis(16),
            step: Duration::from_millis(5),
            transfer: Duration::from_millis(10),
            distance: Duration::from_millis(9),
            remote: Duration::from_millis(300),
            fade: Duration::from_secs(1),
            pause: Duration::from_millis(250),
            denial: Duration::from_millis(150),
            longest_denial: Duration::from_millis(1200),
            longest_pause: Duration::from_secs(4),
            memory_share: 0.95,
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
    ids: Map<CompactString, EndpointKey>,
    /// The services.
    services: SlotMap<ServiceKey, Service>,
    /// Keys of services by name.
    names: Map<CompactString, ServiceKey>,
    /// Entry hosts that send to the endpoints, this one included.
    hosts: usize,
}

/// What other hosts are likely to have at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crowd {
    /// Prompt tokens that are not read yet, at a prefill endpoint.
    unread: f64,
    /// Requests, at another one.
    running: f64,
}

/// Work that was sent to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Where.
    pub endpoint: EndpointKey,
    /// Prompt tokens to read there.
    pub unread: u32,
    /// KV cache in tokens that it takes there.
    pub tokens: u32,
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
            hosts: 1,
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
            let service = self.service(&endpoint.service);
            let known = self.ids.remove(&endpoint.id);
            let known = known.filter(|key| {
                let state = &self.states[*key];
                state.endpoint.born == endpoint.born && state.service == service
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
        self.ids = ids;
        let ids = &self.ids;
        self.states
            .retain(|key, state| ids.get(&state.endpoint.id) == Some(&key));
    }

    /// The key of a service, which is made if it is new.
    fn service(&mut self, name: &CompactString) -> ServiceKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.services.insert(Service::default());
        self.names.insert(name.clone(), key);
        key
    }

    /// Notes how many entry hosts there are.
    pub fn count_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// The endpoints of a service.
    pub fn of(&self, service: &str) -> &[EndpointKey] {
        let key = self.names.get(service);
        key.map_or(&[], |key| &self.services[*key].endpoints)
    }

    /// The key of an endpoint by its id.
    pub fn key(&self, id: &str) -> Option<EndpointKey> {
        self.ids.get(id).copied()
    }

    /// An endpoint by its id, as it is listed.
    pub fn by_id(&self, id: &str) -> Option<Endpoint> {
        let key = self.ids.get(id)?;
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
        state.unread += u64::from(work.unread);
        state.tokens += u64::from(work.tokens);
        if work.unread > 0 {
            let service = &mut self.services[state.service];
            service.prompt += (f64::from(work.unread) - service.prompt) * SLOW;
        }
    }

    /// Counts a prompt as read, `took` after it was sent. Returns the work
    /// that is left.
    pub fn read(&mut self, now: Instant, work: Work, expected: Duration, took: Duration) -> Work {
        if let Some(state) = self.states.get_mut(work.endpoint) {
            state.unread = state.unread.saturating_sub(u64::from(work.unread));
            state.keep_pace(now, expected, took);
        }
        Work { unread: 0, ..work }
    }

    /// Counts work as over.
    pub fn finish(&mut self, work: Work) {
        let Some(state) = self.states.get_mut(work.endpoint) else {
            return;
        };
        state.running = state.running.saturating_sub(1);
        state.unread = state.unread.saturating_sub(u64::from(work.unread));
        state.tokens = state.tokens.saturating_sub(u64::from(work.tokens));
    }

    /// Takes the load that came with an answer.
    pub fn report(&mut self, now: Instant, key: EndpointKey, load: Load) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let own = f64::from(state.running);
        state.others = (f64::from(load.running + load.waiting) - own).max(0.0);
        state.reported = Some(now);
    }

    /// Notes how long a plain answer took.
    pub fn answered_in(&mut self, now: Instant, key: EndpointKey, took: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        let usual = Duration::from_secs_f64(service.run(took));
        state.keep_pace(now, usual, took);
        service.ran(took);
    }

    /// Notes the time between two events of a stream.
    pub fn streamed(&mut self, now: Instant, key: EndpointKey, between: Duration) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        let between = between.as_secs_f64();
        let usual = service.event.unwrap_or(between);
        let seen = between / usual.max(f64::MIN_POSITIVE);
        state
            .event_pace
            .learn(now, seen.clamp(PACE.0, PACE.1) - 1.0);
        // A few slow endpoints must not become what is usual.
        let counted = between.min(usual * 2.0);
        service.event = Some(usual + (counted - usual) * SLOW);
    }

    /// Notes an answer of an endpoint, good or a failure of its own.
    pub fn answered(&mut self, now: Instant, key: EndpointKey, good: bool) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.failures = 0;
        state.denials = 0;
        state.paused = None;
        state.failing.learn(now, if good { 0.0 } else { 1.0 });
    }

    /// Notes that an endpoint did not serve.
    pub fn trouble(&mut self, now: Instant, key: EndpointKey, trouble: Trouble) {
        let settings = self.settings;
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        match trouble {
            Trouble::Broken => state.broke(now, settings),
            Trouble::Full => state.full(now, settings),
            Trouble::Misdirected => state.paused = Some(now + settings.longest_pause),
        }
    }

    /// Notes that an endpoint is being moved to another stage.
    pub fn moving(&mut self, until: Instant, id: &str, phase: Phase) {
        let key = self.ids.get(id);
        if let Some(state) = key.and_then(|key| self.states.get_mut(*key)) {
            state.moving = Some((phase, until));
        }
    }

    /// Notes that a run ended well after `took`, with so many tokens in its
    /// KV cache.
    pub fn ran(&mut self, key: EndpointKey, took: Duration, tokens: u32) {
        let Some(state) = self.states.get(key) else {
            return;
        };
        let service = &mut self.services[state.service];
        service.ran(took);
        service.tokens += (f64::from(tokens) - service.tokens) * SLOW;
    }

    /// What other hosts are likely to have at each endpoint of a service, if
    /// they have as much as this one.
    pub(super) fn crowd(&self, service: &str) -> Crowd {
        let (mut readers, mut unread, mut others, mut running) = (0, 0, 0, 0);
        let states = self.of(service).iter();
        for state in states.filter_map(|key| self.states.get(*key)) {
            if state.endpoint.phase == Some(Phase::Prefill) {
                readers += 1;
                unread += state.unread;
            } else {
                others += 1;
                running += state.running;
            }
        }
        let hosts = (self.hosts - 1) as f64;
        Crowd {
            unread: hosts * unread as f64 / f64::from(readers.max(1)),
            running: hosts * f64::from(running) / f64::from(others.max(1)),
        }
    }

    /// How much of an endpoint's last report still counts.
    fn fresh(&self, now: Instant, state: &State) -> f64 {
        let Some(reported) = state.reported else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        (1.0 - age / self.settings.fade.as_secs_f64()).max(0.0)
    }

    /// Other hosts' requests at an endpoint that reads no prompts for others:
    /// what it reported last, and as that ages, what is likely.
    pub(super) fn others(&self, now: Instant, state: &State, crowd: Crowd) -> f64 {
        let fresh = self.fresh(now, state);
        state.others * fresh + crowd.running * (1.0 - fresh)
    }

    /// Prompt tokens that other hosts have unread at a prefill endpoint.
    pub(super) fn others_unread(&self, now: Instant, state: &State, crowd: Crowd) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let fresh = self.fresh(now, state);
        self.reported_unread(now, state) + crowd.unread * (1.0 - fresh)
    }

    /// Prompt tokens that other hosts have unread at a prefill endpoint by
    /// its last report alone.
    pub(super) fn reported_unread(&self, now: Instant, state: &State) -> f64 {
        if state.endpoint.phase != Some(Phase::Prefill) {
            return 0.0;
        }
        let prompt = self.services[state.service].prompt;
        state.others * prompt * self.fresh(now, state)
    }

    /// Memory for running requests of a service in tokens, and the time of one
    /// token of an answer.
    pub(super) fn capacity(&self, now: Instant, service: &str, engine: Engine) -> (f64, Duration) {
        let states = self.of(service).iter().filter_map(|key| self.get(*key));
        let engines = states.filter(|state| {
            let decode = state.endpoint.phase != Some(Phase::Prefill);
            let sound = state.failures == 0 && !state.endpoint.draining;
            decode && sound && !state.is_moving(now)
        });
        let memory = engines.count() as f64 * f64::from(engine.memory);
        let service = self.names.get(service).map(|key| &self.services[*key]);
        let event = service.and_then(|service| service.event);
        let step = self.settings.step.as_secs_f64();
        let token = event.map_or(step, |event| event / f64::from(engine.stride.max(1)));
        let memory = memory * self.settings.memory_share;
        (memory, Duration::from_secs_f64(token))
    }

    /// Mean KV cache of a service's runs in tokens, and their mean time.
    pub(super) fn turnover(&self, service: &str) -> Option<(f64, Duration)> {
        let service = &self.services[*self.names.get(service)?];
        Some((service.tokens, Duration::from_secs_f64(service.run(RUN))))
    }
}
