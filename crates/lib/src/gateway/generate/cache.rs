//! KV cache of a prompt, kept at its prefill endpoint until transferred.

use std::net::SocketAddr;
use std::time::Instant;

use compact_str::CompactString;

use cranberryridge_policy::gateway::cache;
use cranberryridge_policy::gateway::member::Endpoint;

use crate::clock::Clock;
use crate::gateway::dialect::{Dialect, Stage};
use crate::gateway::exchange::{self, InFlight};
use crate::net::Net;

/// A KV cache at a prefill endpoint. Dropping it releases the cache there,
/// unless a decode endpoint has taken it.
#[derive(Debug)]
pub struct Cache<N: Net, C: Clock, D: Dialect> {
    /// Address of the prefill endpoint.
    source: SocketAddr,
    /// Name of the cache at that endpoint.
    handle: CompactString,
    /// Software version of the prefill endpoint. Only decode endpoints with the same one
    /// can use the cache.
    pub version: CompactString,
    /// Whether a decode endpoint has taken it.
    is_taken: bool,
    /// Offers of the cache to decode endpoints.
    offers: cache::Cache,
    /// Memory of the cache, counted in the pool until dropped.
    in_flight: InFlight<N, C, D>,
}

impl<N: Net, C: Clock, D: Dialect> Cache<N, C, D> {
    /// Wraps a cache that the prefill endpoint `source` keeps under the name
    /// `handle` until `valid_until`.
    pub fn new(
        in_flight: InFlight<N, C, D>,
        source: Endpoint,
        handle: CompactString,
        valid_until: Instant,
    ) -> Self {
        Self {
            source: source.address,
            handle,
            version: source.version,
            is_taken: false,
            offers: cache::Cache::new(valid_until),
            in_flight,
        }
    }

    /// Returns the stage with which a decode endpoint fetches the cache.
    pub fn stage(&self) -> Stage<'_> {
        Stage::Decode {
            source: self.source,
            handle: &self.handle,
        }
    }

    /// Returns whether the cache may be offered to a decode endpoint now, and
    /// counts the offer if so.
    pub fn offer(&mut self, now: Instant) -> bool {
        self.offers.offer(now)
    }

    /// Marks the cache as taken, so that dropping it does not release it.
    pub fn mark_taken(&mut self) {
        self.is_taken = true;
    }
}

impl<N: Net, C: Clock, D: Dialect> Drop for Cache<N, C, D> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (shared, key) = (&self.in_flight.shared, self.in_flight.work.endpoint);
        shared.metrics.count("kv_cache.released");
        let request = shared
            .dialect
            .release_cache_request(self.source, &self.handle);
        exchange::notify(shared, key, self.source, request);
    }
}
