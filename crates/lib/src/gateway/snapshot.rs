//! What another host has read of the platform.
//!
//! Hosts that each read the list of endpoints ask the store for the same
//! hundreds of times a second. So one host reads, and tells those linked to it
//! what changed, and how old its reading is. A host reads for itself whenever
//! what it is told is older than its own reading would be.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_wire::schedule::{self as wire, Stage};
use cranberryridge_wire::Map;

/// Age up to which a reading of another host is as good as an own one, as a
/// multiple of the time between two readings: the next one is on its way.
const MAX_AGE_INTERVALS: f64 = 1.35;

/// Longest way of a message between hosts, with a packet sent again. A reading
/// may be older than it says by this.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(300);

/// Endpoints in one message. With names as long as the platform's, it is under
/// a tenth of the largest message.
const MAX_PART_ENDPOINTS: usize = 100;

/// What another host has told.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// When it asked for the endpoints.
    pub listed_at: Option<Instant>,
    /// The endpoints, once it has told them whole.
    pub endpoints: Option<Arc<Vec<Endpoint>>>,
    /// The endpoints by id, as far as they were told.
    partial: Option<Map<CompactString, Endpoint>>,
    /// When it asked for the configuration.
    pub configured_at: Option<Instant>,
    /// The configuration in force there.
    pub version: u64,
}

/// When this host last asked the platform. What others told it does not count:
/// two hosts that follow each other would take each other's word for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastRead {
    /// Of the endpoints.
    pub listed_at: Option<Instant>,
    /// Of the configuration.
    pub configured_at: Option<Instant>,
}

impl Snapshot {
    /// Until when the endpoints need no reading of this host's own, which last
    /// read them at `own` and reads them every `interval`.
    pub fn list_valid_until(
        &self,
        own_read: Option<Instant>,
        interval: Duration,
    ) -> Option<Instant> {
        self.endpoints.as_ref()?;
        valid_until(self.listed_at?, own_read, interval)
    }

    /// Until when the configuration needs no reading, if `version` is in force.
    pub fn configuration_valid_until(&self, version: u64, interval: Duration) -> Option<Instant> {
        if self.version > version {
            return None;
        }
        valid_until(self.configured_at?, None, interval)
    }

    /// Takes a sign of life.
    pub fn apply_heartbeat(&mut self, now: Instant, beat: &wire::Beat) {
        let ago = |age: Duration| now.checked_sub(age);
        self.listed_at = beat.list.and_then(|age| ago(age.into()));
        self.configured_at = beat.configuration.and_then(|age| ago(age.into()));
        self.version = beat.version;
    }

    /// Takes a part of the endpoints, or of how they changed.
    pub fn apply_listing(&mut self, part: wire::Listing) {
        if part.first {
            self.endpoints = None;
            self.partial = Some(Map::default());
        }
        let Some(rows) = &mut self.partial else {
            return;
        };
        for id in &part.removed {
            rows.remove(id);
        }
        for endpoint in part.put.into_iter().filter_map(decode) {
            rows.insert(endpoint.id.clone(), endpoint);
        }
        if part.last {
            let endpoints = rows.values().cloned().collect();
            self.endpoints = Some(Arc::new(endpoints));
        }
    }
}

/// Until when a reading of another host at `read` valid_until, if it is newer than
/// this host's own.
fn valid_until(read: Instant, own_read: Option<Instant>, interval: Duration) -> Option<Instant> {
    let is_newer = own_read.is_none_or(|own_read| own_read + MAX_MESSAGE_DELAY < read);
    is_newer.then(|| read + interval.mul_f64(MAX_AGE_INTERVALS))
}

/// How a list changed, in parts.
pub fn diff(before: &[Endpoint], after: &[Endpoint]) -> Vec<wire::Listing> {
    let before_by_id = by_id(before);
    let after_by_id = by_id(after);
    let put = after
        .iter()
        .filter(|endpoint| before_by_id.get(endpoint.id.as_str()) != Some(endpoint));
    let gone = |endpoint: &&Endpoint| !after_by_id.contains_key(endpoint.id.as_str());
    let removed = before.iter().filter(gone);
    let removed = removed.map(|endpoint| endpoint.id.clone()).collect();
    split(false, put.map(encode).collect(), removed)
}

/// A whole list, in parts.
pub fn full(endpoints: &[Endpoint]) -> Vec<wire::Listing> {
    split(true, endpoints.iter().map(encode).collect(), Vec::new())
}

/// Endpoints by their ids.
pub(super) fn by_id(endpoints: &[Endpoint]) -> Map<&str, &Endpoint> {
    let rows = endpoints.iter();
    rows.map(|endpoint| (endpoint.id.as_str(), endpoint))
        .collect()
}

/// Splits what is told into parts that fit a message.
fn split(
    is_full: bool,
    put: Vec<wire::Endpoint>,
    removed: Vec<CompactString>,
) -> Vec<wire::Listing> {
    let count = put
        .len()
        .max(removed.len())
        .div_ceil(MAX_PART_ENDPOINTS)
        .max(1);
    let (mut put, mut removed) = (put.into_iter(), removed.into_iter());
    let parts = (0..count).map(|part| wire::Listing {
        first: is_full && part == 0,
        last: part + 1 == count,
        put: put.by_ref().take(MAX_PART_ENDPOINTS).collect(),
        removed: removed.by_ref().take(MAX_PART_ENDPOINTS).collect(),
    });
    parts.collect()
}

/// An endpoint as it is sent.
fn encode(endpoint: &Endpoint) -> wire::Endpoint {
    wire::Endpoint {
        id: endpoint.id.clone(),
        born: endpoint.started_ms,
        address: endpoint.address.to_string().into(),
        service: endpoint.service.clone(),
        domain: endpoint.domain.clone(),
        stage: endpoint.phase.map(|phase| match phase {
            Phase::Prefill => Stage::Prefill,
            Phase::Decode => Stage::Decode,
        }),
        slots: endpoint.slots,
        draining: endpoint.draining,
    }
}

/// An endpoint that was sent. `None` for one without an address.
fn decode(endpoint: wire::Endpoint) -> Option<Endpoint> {
    Some(Endpoint {
        address: endpoint.address.parse().ok()?,
        id: endpoint.id,
        started_ms: endpoint.born,
        service: endpoint.service,
        domain: endpoint.domain,
        phase: endpoint.stage.map(|stage| match stage {
            Stage::Prefill => Phase::Prefill,
            Stage::Decode => Phase::Decode,
        }),
        slots: endpoint.slots,
        draining: endpoint.draining,
    })
}
