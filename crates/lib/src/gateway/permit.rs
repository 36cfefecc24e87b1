//! Limits that endpoints name, and permits to send them requests.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::gateway::limit::{Limit, Rate, Statement, PERMIT_LIFETIME};
use cranberryridge_policy::gateway::pool::EndpointKey;
use cranberryridge_wire::schedule as wire;

use super::schedule::request_permit;
use super::serve::Call;
use super::Shared;
use crate::clock::Clock;
use crate::net::Net;

/// Permission to send one request to an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Permit {
    /// Endpoint that the request may be sent to, and no other.
    pub endpoint: EndpointKey,
    valid_until: Instant,
}

impl Permit {
    /// Creates a permit that a scheduler gave after a request for it had waited for a time.
    /// Its lifetime begins before the scheduler's answer arrives, which a pause of this
    /// process may delay.
    pub fn new(endpoint: EndpointKey, requested_at: Instant, waited: Duration) -> Self {
        Self {
            endpoint,
            valid_until: requested_at + waited + PERMIT_LIFETIME,
        }
    }
}

impl<N, C, D> Shared<N, C, D> {
    /// Records what an answer says of its endpoint's limit and tells the linked hosts if it
    /// has changed. `known` is the limit's version when the answer's request was sent,
    /// `None` if the answer may be of an earlier request.
    pub(super) fn observe_limit(
        &self,
        now: Instant,
        key: EndpointKey,
        named: Option<f64>,
        known: Option<u64>,
    ) {
        let statement = Statement::of(named);
        let mut pool = self.pool();
        let before = pool.limit(key);
        if !pool.observe_limit(now, key, statement, known) {
            if statement == Statement::Unreadable {
                self.metrics.count("endpoint.bad_limit");
            }
            return;
        }
        let limit = pool.limit(key);
        drop(pool);
        let Some(id) = self.endpoint_id(key) else {
            return;
        };
        self.metrics.count("endpoint.limit_changed");
        slog::info!(self.logger, "endpoint: limit changed, as it says";
            "endpoint" => %id, "rate" => per_second(limit), "before" => per_second(before));
        self.report_limit(&id, limit);
    }

    /// Tells an endpoint's limit to the linked hosts.
    fn report_limit(&self, id: &CompactString, limit: Limit) {
        self.limits_changed.send_replace(());
        self.links.report_limit(&to_message(id.clone(), limit));
        self.capacity_freed.notify_waiters();
    }

    /// Returns the messages that tell another host of the known limits.
    pub(super) fn limit_messages(&self) -> Vec<wire::Limit> {
        let limits = self.pool().limits().into_iter();
        limits.map(|(id, limit)| to_message(id, limit)).collect()
    }
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Returns whether a request may be sent to an endpoint. Called right before sending,
    /// as the endpoint may have named a limit meanwhile.
    pub(super) fn is_permitted(&self, key: EndpointKey, permit: Option<Permit>) -> bool {
        let now = self.clock.now();
        let is_valid = |permit: Permit| permit.endpoint == key && now < permit.valid_until;
        !self.pool().is_limited(key) || permit.is_some_and(is_valid)
    }

    /// Records what another host knows of an endpoint's limit, and tells the linked hosts if
    /// it is new.
    pub(super) fn merge_limit(&self, message: &wire::Limit) {
        let (id, limit) = from_message(message);
        let mut pool = self.pool();
        let Some(key) = pool.key(&id) else { return };
        let is_news = pool.merge_limit(self.clock.now(), key, limit);
        drop(pool);
        if is_news {
            slog::info!(self.logger, "endpoint: limit changed, as another host says";
                "endpoint" => %id, "rate" => per_second(limit));
            self.report_limit(&id, limit);
        }
    }
}

impl<N: Net, C: Clock, D: Send + Sync + 'static> Call<N, C, D> {
    /// Returns a permit for a request to an endpoint, the given one if it is still valid.
    /// `None` if the endpoint has named no limit.
    ///
    /// # Errors
    ///
    /// Returns the time after which a permit may be requested again if none is due within
    /// `patience`.
    pub async fn ensure_permit(
        &mut self,
        key: EndpointKey,
        given: Option<Permit>,
        patience: Duration,
    ) -> Result<Option<Permit>, Duration> {
        if self.shared.is_permitted(key, given) {
            return Ok(given);
        }
        let permit = request_permit(self, &[key], patience).await;
        if permit.is_err() {
            let id = self.shared.endpoint_id(key).unwrap_or_default();
            self.record.add_call("permit", &id, "refused");
        }
        permit.map(Some)
    }
}

/// Returns an endpoint's limit and id from a message.
pub(super) fn from_message(message: &wire::Limit) -> (CompactString, Limit) {
    let rate = message.rate.map(|per_1000_s| Rate { per_1000_s });
    let limit = Limit {
        rate,
        version: message.version,
    };
    (message.endpoint.clone(), limit)
}

/// Returns the message that tells an endpoint's limit.
pub(super) fn to_message(endpoint: CompactString, limit: Limit) -> wire::Limit {
    wire::Limit {
        endpoint,
        rate: limit.rate.map(|rate| rate.per_1000_s),
        version: limit.version,
    }
}

/// Returns a limit in requests per second for logs, `None` if it is unlimited.
fn per_second(limit: Limit) -> Option<f64> {
    limit.rate.map(|rate| f64::from(rate.per_1000_s) / 1000.0)
}
