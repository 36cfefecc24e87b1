//! Snapshots of the platform, passed between hosts.
//!
//! If every host read the list of endpoints, the store would answer the same
//! request hundreds of times a second. Therefore one host reads it and sends
//! the others what changed and how old its reading is. A host reads for itself
//! when the snapshot is older than a reading of its own would be.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use cranberryridge_policy::answer::deadline::Moment;
use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::member::{Endpoint, Phase};
use cranberryridge_wire::schedule::{self as wire, Stage};
use cranberryridge_wire::Map;

/// Maximum age of a snapshot in reading intervals. Above one, as the next
/// reading is already under way at that age.
const MAX_AGE_INTERVALS: f64 = 1.35;

/// Maximum delay of a message between hosts, with one packet retransmitted. A
/// reading may be older by this than its age says.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of endpoints in one message. With ids as long as the
/// platform's, this fills less than a tenth of the largest message.
const MAX_PART_ENDPOINTS: usize = 100;

/// State of the platform as another host last read it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// When that host requested the list of endpoints.
    pub listed_at: Option<Instant>,
    /// The endpoints, or `None` until a complete list has arrived.
    pub endpoints: Option<Arc<Vec<Endpoint>>>,
    /// Endpoints received so far, by id, or `None` if no list has begun to
    /// arrive. They may be an incomplete list.
    partial: Option<Map<CompactString, Endpoint>>,
    /// When that host requested the configuration.
    pub configured_at: Option<Instant>,
    /// Version of the configuration in force at that host.
    pub version: u64,
}

/// Times of this host's own last readings. Readings of other hosts do not
/// count: two hosts that follow each other would keep confirming each other's
/// old readings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LastRead {
    /// When the list of endpoints was requested.
    pub listed: Option<Moment>,
    /// When the configuration was requested.
    pub configured_at: Option<Instant>,
}

impl Snapshot {
    /// Returns the time until which the snapshot replaces a reading of the
    /// endpoints by this host, which last read them at `own_read` and reads them
    /// every `interval`. Returns `None` if this host must read them now.
    pub fn list_valid_until(
        &self,
        own_read: Option<Instant>,
        interval: Duration,
    ) -> Option<Instant> {
        self.endpoints.as_ref()?;
        valid_until(self.listed_at?, own_read, interval)
    }

    /// Returns the time until which this host, which has `version` in force,
    /// need not read the configuration. Returns `None` if it must read now,
    /// because the other host has a newer version or has not read any.
    pub fn configuration_valid_until(&self, version: u64, interval: Duration) -> Option<Instant> {
        if self.version > version {
            return None;
        }
        valid_until(self.configured_at?, None, interval)
    }

    /// Records the age of the other host's readings.
    pub fn apply_heartbeat(&mut self, now: Instant, beat: &wire::Beat) {
        let ago = |age: Duration| now.checked_sub(age);
        self.listed_at = beat.list.and_then(|age| ago(age.into()));
        self.configured_at = beat.configuration.and_then(|age| ago(age.into()));
        self.version = beat.version;
    }

    /// Applies a part of a complete list or of its changes.
    pub fn apply_listing(&mut self, part: wire::Listing) {
        if part.first {
            self.endpoints = None;
            self.partial = Some(Map::default());
        }
        let Some(partial) = &mut self.partial else {
            return;
        };
        for id in &part.removed {
            partial.remove(id);
        }
        for endpoint in part.put.into_iter().filter_map(decode) {
            partial.insert(endpoint.id.clone(), endpoint);
        }
        if part.last {
            let endpoints = partial.values().cloned().collect();
            self.endpoints = Some(Arc::new(endpoints));
        }
    }
}

/// Returns the time until which a reading taken at `read` is valid, or `None` if
/// it is not newer than this host's own.
fn valid_until(read: Instant, own_read: Option<Instant>, interval: Duration) -> Option<Instant> {
    let is_newer = own_read.is_none_or(|own_read| own_read + MAX_MESSAGE_DELAY < read);
    is_newer.then(|| read + interval.mul_f64(MAX_AGE_INTERVALS))
}

/// Returns the changes from one list to the next, in messages. `era` is the
/// newest known era of the store.
pub fn diff(era: Era, before: &[Endpoint], after: &[Endpoint]) -> Vec<wire::Listing> {
    let before_by_id = by_id(before);
    let after_by_id = by_id(after);
    let put = after
        .iter()
        .filter(|endpoint| before_by_id.get(endpoint.id.as_str()) != Some(endpoint));
    let gone = |endpoint: &&Endpoint| !after_by_id.contains_key(endpoint.id.as_str());
    let removed = before.iter().filter(gone);
    let removed = removed.map(|endpoint| endpoint.id.clone()).collect();
    split(era, false, put.map(encode).collect(), removed)
}

/// Returns a complete list, in messages. `era` is the newest known era of the
/// store.
pub fn full(era: Era, endpoints: &[Endpoint]) -> Vec<wire::Listing> {
    split(
        era,
        true,
        endpoints.iter().map(encode).collect(),
        Vec::new(),
    )
}

pub(super) fn by_id(endpoints: &[Endpoint]) -> Map<&str, &Endpoint> {
    let endpoints = endpoints.iter();
    endpoints
        .map(|endpoint| (endpoint.id.as_str(), endpoint))
        .collect()
}

/// Splits changes or a complete list into messages.
fn split(
    era: Era,
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
        era: era.0,
        first: is_full && part == 0,
        last: part + 1 == count,
        put: put.by_ref().take(MAX_PART_ENDPOINTS).collect(),
        removed: removed.by_ref().take(MAX_PART_ENDPOINTS).collect(),
    });
    parts.collect()
}

fn encode(endpoint: &Endpoint) -> wire::Endpoint {
    wire::Endpoint {
        id: endpoint.id.clone(),
        born: endpoint.started_ms,
        address: endpoint.address.to_string().into(),
        service: endpoint.service.clone(),
        domain: endpoint.domain.clone(),
        version: endpoint.version.clone(),
        stage: endpoint.phase.map(|phase| match phase {
            Phase::Prefill => Stage::Prefill,
            Phase::Decode => Stage::Decode,
        }),
        slots: endpoint.slots,
        draining: endpoint.draining,
    }
}

/// Returns `None` if the address is invalid.
fn decode(endpoint: wire::Endpoint) -> Option<Endpoint> {
    Some(Endpoint {
        address: endpoint.address.parse().ok()?,
        id: endpoint.id,
        started_ms: endpoint.born,
        service: endpoint.service,
        domain: endpoint.domain,
        version: endpoint.version,
        phase: endpoint.stage.map(|stage| match stage {
            Stage::Prefill => Phase::Prefill,
            Stage::Decode => Phase::Decode,
        }),
        slots: endpoint.slots,
        draining: endpoint.draining,
    })
}
