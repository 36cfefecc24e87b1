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

/// What another host has told.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// When it asked for the endpoints.
    pub listed: Option<Instant>,
    /// The endpoints, once it has told them whole.
    pub endpoints: Option<Arc<Vec<Endpoint>>>,
    /// When it asked for the configuration.
    pub configured: Option<Instant>,
    /// The configuration in force there.
    pub version: u64,
}

/// When this host was last told what the platform has.
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

    /// Takes endpoints, or how they changed.
    pub fn list(&mut self, listing: wire::Listing) {
        let before = match &self.endpoints {
            _ if listing.whole => &[],
            Some(endpoints) => endpoints.as_slice(),
            None => return,
        };
        let rows = before.iter().cloned();
        let mut rows = rows
            .map(|endpoint| (endpoint.id.clone(), endpoint))
            .collect::<Map<CompactString, Endpoint>>();
        for id in &listing.removed {
            rows.remove(id);
        }
        for endpoint in listing.put.into_iter().filter_map(decode) {
            rows.insert(endpoint.id.clone(), endpoint);
        }
        self.endpoints = Some(Arc::new(rows.into_values().collect()));
    }
}

/// Until when a reading of another host at `read` holds, if it is newer than
/// this host's own.
fn holds(read: Instant, own: Option<Instant>, pace: Duration) -> Option<Instant> {
    let newer = own.is_none_or(|own| own + WAY < read);
    newer.then(|| read + pace.mul_f64(GOOD))
}

/// How a list changed.
pub fn changes(before: &[Endpoint], after: &[Endpoint]) -> wire::Listing {
    let put = after.iter().filter(|endpoint| !before.contains(endpoint));
    let gone = |endpoint: &&Endpoint| after.iter().all(|other| other.id != endpoint.id);
    let removed = before.iter().filter(gone);
    wire::Listing {
        whole: false,
        put: put.map(encode).collect(),
        removed: removed.map(|endpoint| endpoint.id.clone()).collect(),
    }
}

/// A whole list.
pub fn whole(endpoints: &[Endpoint]) -> wire::Listing {
    wire::Listing {
        whole: true,
        put: endpoints.iter().map(encode).collect(),
        removed: Vec::new(),
    }
}

/// An endpoint as it is sent.
fn encode(endpoint: &Endpoint) -> wire::Endpoint {
    wire::Endpoint {
        id: endpoint.id.clone(),
        born: endpoint.born,
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
        born: endpoint.born,
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
