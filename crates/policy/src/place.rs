//! Choice of the endpoints that serve a request.

use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use rustc_hash::FxHasher;

use cranberryridge_wire::message::Kind;
use cranberryridge_wire::setting::{Choice, Decision};

use crate::member::{Endpoint, EndpointKey, Pool, View};
use crate::prefix::Index;
use crate::unreported;

/// Chooses endpoints and remembers its own choices, which reports show only later.
#[derive(Debug, Default)]
pub struct Placer {
    /// Selects the placement algorithm and which inputs it uses.
    settings: Decision,
    /// Work sent to endpoints that their reports do not show yet.
    unreported: unreported::Table,
    /// Which endpoints cached which prompt prefixes.
    index: Index,
    /// Number of choices made so far, the position in the round-robin order.
    choice_count: usize,
}

/// Properties of a request that matter for placement.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Model or service that the endpoint must serve.
    pub serves: &'a str,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Size of the KV cache, in bytes per prompt token.
    pub bytes_per_token: u64,
    /// Failure domain of the entry that chooses.
    pub domain: &'a str,
    /// Endpoints at which this request already failed; they are used only when
    /// no other endpoint is open.
    pub avoid: &'a [EndpointKey],
}

/// A prefill endpoint and a decode endpoint, chosen together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair {
    /// Endpoint that reads the prompt.
    pub prefill: EndpointKey,
    /// Endpoint that generates the answer.
    pub decode: EndpointKey,
    /// Predicted time until the KV cache has arrived at the decode endpoint.
    pub prefill_time: Duration,
    /// Predicted wait for memory at the decode endpoint.
    pub decode_wait: Duration,
}

/// A pair of endpoints and the prediction behind the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The chosen endpoints.
    pub pair: Pair,
    /// Prompt tokens that the prefill endpoint probably does not have cached.
    pub uncached_tokens: u32,
}

/// Number of endpoints sampled from a pool for each request.
const SAMPLED_CANDIDATES: usize = 3;

/// Predicted duration of the first decode step.
const FIRST_DECODE_STEP: Duration = Duration::from_millis(100);

/// Predicted extra wait for each request beyond a decode endpoint's slots.
const WAIT_PER_QUEUED_REQUEST: Duration = Duration::from_millis(100);

/// Handicap of every endpoint but the preferred one of a prompt: another endpoint
/// is chosen only if its result is ready at least this much earlier.
const PREFERENCE_MARGIN: Duration = Duration::from_millis(100);

impl Placer {
    /// Creates a placer without any observations.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use cranberryridge_policy::{member::View, place};
    /// use rand::{rngs::StdRng, SeedableRng};
    /// let request = place::Request {
    ///     serves: "m",
    ///     prompt_tokens: 1,
    ///     bytes_per_token: 1,
    ///     domain: "d",
    ///     avoid: &[],
    /// };
    /// let mut random = StdRng::seed_from_u64(1);
    /// let mut placer = place::Placer::new(Default::default());
    /// let view = View::default();
    /// let choice = placer.choose_pair(Instant::now(), &view, &request, &[], &mut random);
    /// assert_eq!(choice, None);
    /// ```
    pub fn new(settings: Decision) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Chooses a prefill and a decode endpoint together. Returns `None` if one of
    /// the pools has no open endpoint. `blocks` are the hashes of the prompt's
    /// leading blocks.
    pub fn choose_pair<R: Rng>(
        &mut self,
        now: Instant,
        view: &View,
        request: &Request<'_>,
        blocks: &[u64],
        random: &mut R,
    ) -> Option<Placement> {
        self.choice_count += 1;
        let (prefill, decode) = match self.settings.choice {
            Choice::Predicted => (
                self.choose_prefill(view, request, blocks, random)?,
                self.choose_decode(view, request, random)?,
            ),
            Choice::LeastLoaded => (
                choose_least_loaded(view, request, Kind::Prefill, random)?,
                choose_least_loaded(view, request, Kind::Decode, random)?,
            ),
            Choice::RoundRobin => (
                self.choose_round_robin(view, request, Kind::Prefill)?,
                self.choose_round_robin(view, request, Kind::Decode)?,
            ),
        };
        let uncached_tokens = self.uncached_tokens(request, blocks, prefill);
        let pair = Pair {
            prefill,
            decode,
            prefill_time: self.prefill_time(view, request, blocks, prefill),
            decode_wait: self.decode_wait(view, decode),
        };
        if self.settings.sent {
            let reported_at = |key| view.endpoints[key].reported_at;
            self.unreported
                .record(now, prefill, reported_at(prefill), uncached_tokens);
            self.unreported
                .record(now, decode, reported_at(decode), request.prompt_tokens);
        }
        Some(Placement {
            pair,
            uncached_tokens,
        })
    }

    /// Updates the prefix index after a prefill: the endpoint now has the whole
    /// prompt cached, and blocks beyond the `cached` tokens that it found were
    /// no longer there.
    pub fn record_prefill(&mut self, prefill: EndpointKey, blocks: &[u64], cached: u32) {
        if !self.settings.prefix {
            return;
        }
        self.index.correct(prefill, blocks, cached);
        self.index.record(prefill, blocks);
    }

    /// Chooses the prefill endpoint that is predicted to have the result first.
    fn choose_prefill<R: Rng>(
        &self,
        view: &View,
        request: &Request<'_>,
        blocks: &[u64],
        random: &mut R,
    ) -> Option<EndpointKey> {
        let open = open_endpoints(view, request, Kind::Prefill);
        let mut candidates = sample(&open, random);
        let mut preferred = None;
        if self.settings.prefix {
            let cached = self.index.holders(blocks);
            candidates.extend(cached.iter().filter(|key| open.contains(key)));
            preferred = self::preferred_endpoint(view, &open, blocks);
            candidates.extend(preferred);
        }
        let best = |key: &EndpointKey| {
            let penalty = if Some(*key) == preferred {
                Duration::ZERO
            } else {
                PREFERENCE_MARGIN
            };
            self.prefill_time(view, request, blocks, *key) + penalty
        };
        candidates.into_iter().min_by_key(best)
    }

    /// Chooses the decode endpoint with the shortest predicted wait; the tie-break
    /// is the smallest number of requests.
    fn choose_decode<R: Rng>(
        &self,
        view: &View,
        request: &Request<'_>,
        random: &mut R,
    ) -> Option<EndpointKey> {
        let candidates = sample(&open_endpoints(view, request, Kind::Decode), random);
        candidates
            .into_iter()
            .min_by_key(|key| (self.decode_wait(view, *key), self.request_count(view, *key)))
    }

    /// Chooses the next open endpoint in turn.
    fn choose_round_robin(
        &self,
        view: &View,
        request: &Request<'_>,
        kind: Kind,
    ) -> Option<EndpointKey> {
        let open = open_endpoints(view, request, kind);
        open.get(self.choice_count % open.len().max(1)).copied()
    }

    /// Predicts the time until an endpoint has read the prompt and transferred the
    /// KV cache.
    fn prefill_time(
        &self,
        view: &View,
        request: &Request<'_>,
        blocks: &[u64],
        prefill: EndpointKey,
    ) -> Duration {
        let endpoint = &view.endpoints[prefill];
        let uncached_tokens = self.uncached_tokens(request, blocks, prefill);
        let unreported = self.unreported.since(prefill, endpoint.reported_at).tokens;
        let tokens = u64::from(endpoint.load.backlog) + unreported + u64::from(uncached_tokens);
        let reading = duration_at_rate(tokens, u64::from(endpoint.info.rate));
        FIRST_DECODE_STEP
            + reading
            + duration_at_rate(
                u64::from(request.prompt_tokens) * request.bytes_per_token,
                endpoint.info.link,
            )
    }

    /// Predicts how many prompt tokens an endpoint has to read; at least 1.
    fn uncached_tokens(&self, request: &Request<'_>, blocks: &[u64], prefill: EndpointKey) -> u32 {
        if !self.settings.prefix {
            return request.prompt_tokens;
        }
        let cached = self.index.cached_tokens(prefill, blocks);
        request.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Counts the requests at an endpoint, including those that its last report
    /// cannot show yet.
    fn request_count(&self, view: &View, key: EndpointKey) -> u32 {
        let endpoint = &view.endpoints[key];
        let unreported = self.unreported.since(key, endpoint.reported_at);
        reported_requests(endpoint) + unreported.requests
    }

    /// Predicts the wait for memory at a decode endpoint.
    fn decode_wait(&self, view: &View, decode: EndpointKey) -> Duration {
        let endpoint = &view.endpoints[decode];
        let requests = self.request_count(view, decode) + 1;
        let excess = requests.saturating_sub(endpoint.info.slots);
        Duration::from(endpoint.load.wait).max(WAIT_PER_QUEUED_REQUEST * excess)
    }
}

/// Chooses the endpoint of a plain service that has the fewest requests among the
/// sampled ones.
pub fn choose_plain<R: Rng>(
    view: &View,
    request: &Request<'_>,
    random: &mut R,
) -> Option<EndpointKey> {
    let candidates = sample(&open_endpoints(view, request, Kind::Plain), random);
    candidates
        .into_iter()
        .min_by_key(|key| reported_requests(&view.endpoints[*key]))
}

/// Chooses the endpoint with the fewest requests in its last report, with a random
/// tie-break.
fn choose_least_loaded<R: Rng>(
    view: &View,
    request: &Request<'_>,
    kind: Kind,
    random: &mut R,
) -> Option<EndpointKey> {
    let open = open_endpoints(view, request, kind);
    let least = open
        .iter()
        .map(|key| reported_requests(&view.endpoints[*key]))
        .min()?;
    let equals = open
        .iter()
        .filter(|key| reported_requests(&view.endpoints[**key]) == least);
    let equals = equals.copied().collect::<Vec<_>>();
    equals.get(random.random_range(0..equals.len())).copied()
}

/// Number of requests at an endpoint according to its last report.
fn reported_requests(endpoint: &Endpoint) -> u32 {
    endpoint.load.running + endpoint.load.queued
}

/// Open endpoints of a pool. Endpoints at which the request already failed are
/// included only if there are no others.
fn open_endpoints(view: &View, request: &Request<'_>, kind: Kind) -> Vec<EndpointKey> {
    let pool = Pool {
        kind,
        serves: request.serves.into(),
    };
    let Some(members) = view.pools.get(&pool) else {
        return Vec::new();
    };
    let open = members.iter().copied().filter(|key| view.is_open(*key));
    let mut open = open.collect::<Vec<_>>();
    if open.iter().any(|key| !request.avoid.contains(key)) {
        open.retain(|key| !request.avoid.contains(key));
    }
    open
}

/// Endpoint that owns a prompt's first block by rendezvous hashing. All entries agree
/// on it without communication, so few endpoints read the same prefix.
fn preferred_endpoint(view: &View, open: &[EndpointKey], blocks: &[u64]) -> Option<EndpointKey> {
    let first = blocks.first()?;
    let weight = |key: &EndpointKey| {
        let endpoint = &view.endpoints[*key];
        let address = view.sidecars[endpoint.sidecar].address;
        let mut hasher = FxHasher::default();
        (first, address, endpoint.info.index).hash(&mut hasher);
        hasher.finish()
    };
    open.iter().copied().max_by_key(weight)
}

/// Samples candidates at random, without replacement.
fn sample<R: Rng>(open: &[EndpointKey], random: &mut R) -> Vec<EndpointKey> {
    let mut open = open.to_vec();
    let count = open.len().min(SAMPLED_CANDIDATES);
    for index in 0..count {
        let other = random.random_range(index..open.len());
        open.swap(index, other);
    }
    open.truncate(count);
    open
}

/// Time that an amount takes at a rate per second.
fn duration_at_rate(amount: u64, rate: u64) -> Duration {
    Duration::from_secs_f64(amount as f64 / rate.max(1) as f64)
}
