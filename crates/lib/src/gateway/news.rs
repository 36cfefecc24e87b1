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
const GOOD: f64 = 1.35;

/// Longest way of a message between hosts, with a packet sent again. A reading
/// may be older than it says by this.
const WAY: Duration = Duration::from_millis(300);

/// Endpoints in one message. With names as long as the platform's, it is under
/// a tenth of the largest message.
const PART: usize = 100;

/// What another host has told.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// When it asked for the endpoints.
    pub listed: Option<Instant>,
    /// The endpoints, once it has told them whole.
    pub endpoints: Option<Arc<Vec<Endpoint>>>,
    /// The endpoints by id, as far as they were told.
    parts: Option<Map<CompactString, Endpoint>>,
    /// When it asked for the configuration.
    pub configured: Option<Instant>,
    /// The configuration in force there.
    pub version: u64,
}

/// When this host last asked the platform. What others told it does not count:
/// two hosts that follow each other would take each other's word for ever.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Of the endpoints.
    pub listed: Option<Instant>,
    /// Of the configuration.
    pub configured: Option<Instant>,
}

impl News {
    /// Until when the endpoints need no reading of this host's own, which last
    /// read them at `own` and reads them every `pace`.
    pub fn list_holds(&self, own: Option<Instant>, pace: Duration) -> Option<Instant> {
        self.endpoints.as_ref()?;
        holds(self.listed?, own, pace)
    }

    /// Until when the configuration needs no reading, if `version` is in force.
    pub fn configuration_holds(&self, version: u64, pace: Duration) -> Option<Instant> {
        if self.version > version {
            return None;
        }
        holds(self.configured?, None, pace)
    }

    /// Takes a sign of life.
    pub fn beat(&mut self, now: Instant, beat: &wire::Beat) {
        let ago = |age: Duration| now.checked_sub(age);
        self.listed = beat.list.and_then(|age| ago(age.into()));
        self.configured = beat.configuration.and_then(|age| ago(age.into()));
        self.version = beat.version;
    }

    /// Takes a part of the endpoints, or of how they changed.
    pub fn list(&mut self, part: wire::Listing) {
        if part.first {
            self.endpoints = None;
            self.parts = Some(Map::default());
        }
        let Some(rows) = &mut self.parts else { return };
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

/// Until when a reading of another host at `read` holds, if it is newer than
/// this host's own.
fn holds(read: Instant, own: Option<Instant>, pace: Duration) -> Option<Instant> {
    let newer = own.is_none_or(|own| own + WAY < read);
    newer.then(|| read + pace.mul_f64(GOOD))
}

/// How a list changed, in parts.
pub fn changes(before: &[Endpoint], after: &[Endpoint]) -> Vec<wire::Listing> {
    let known = by_id(before);
    let now = by_id(after);
    let put = after
        .iter()
        .filter(|endpoint| known.get(endpoint.id.as_str()) != Some(endpoint));
    let gone = |endpoint: &&Endpoint| !now.contains_key(endpoint.id.as_str());
    let removed = before.iter().filter(gone);
    let removed = removed.map(|endpoint| endpoint.id.clone()).collect();
    parts(false, put.map(encode).collect(), removed)
}

/// A whole list, in parts.
pub fn whole(endpoints: &[Endpoint]) -> Vec<wire::Listing> {
    parts(true, endpoints.iter().map(encode).collect(), Vec::new())
}

/// Endpoints by their ids.
pub(super) fn by_id(endpoints: &[Endpoint]) -> Map<&str, &Endpoint> {
    let rows = endpoints.iter();
    rows.map(|endpoint| (endpoint.id.as_str(), endpoint))
        .collect()
}

/// Splits what is told into parts that fit a message.
fn parts(whole: bool, put: Vec<wire::Endpoint>, removed: Vec<CompactString>) -> Vec<wire::Listing> {
    let number = put.len().max(removed.len()).div_ceil(PART).max(1);
    let (mut put, mut removed) = (put.into_iter(), removed.into_iter());
    let parts = (0..number).map(|part| wire::Listing {
        first: whole && part == 0,
        last: part + 1 == number,
        put: put.by_ref().take(PART).collect(),
        removed: removed.by_ref().take(PART).collect(),
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
