//! KV cache of a prompt, kept at its prefill endpoint until transferred.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::clock::Clock;
use crate::gateway::dialect::{Dialect, Stage};
use crate::gateway::exchange::{self, InFlight};
use crate::net::Net;

/// Time in which a decode endpoint gets the request and begins to take the cache.
/// It covers a new connection between failure domains.
const MAX_TAKE_TIME: Duration = Duration::from_millis(60);

/// A KV cache at a prefill endpoint. Dropping it releases the cache there,
/// unless a decode endpoint has taken it.
#[derive(Debug)]
pub struct Cache<N: Net, C: Clock, D: Dialect> {
    /// Address of the prefill endpoint.
    source: SocketAddr,
    /// Name of the cache at that endpoint.
    handle: CompactString,
    /// Time at which the endpoint drops the cache.
    valid_until: Instant,
    /// Whether a decode endpoint has taken it.
    is_taken: bool,
    /// Whether it was offered to a second decode endpoint.
    is_reused: bool,
    /// Memory of the cache, counted in the pool until dropped.
    in_flight: InFlight<N, C, D>,
}

impl<N: Net, C: Clock, D: Dialect> Cache<N, C, D> {
    /// Wraps a cache that the endpoint at `source` keeps under the name
    /// `handle` until `valid_until`.
    pub fn new(
        in_flight: InFlight<N, C, D>,
        source: SocketAddr,
        handle: CompactString,
        valid_until: Instant,
    ) -> Self {
        Self {
            source,
            handle,
            valid_until,
            is_taken: false,
            is_reused: false,
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

    /// Returns whether another decode endpoint may take the cache after one has
    /// refused the request. A second refusal may mean that the cache is gone.
    pub fn is_reusable(&self, now: Instant) -> bool {
        !self.is_taken && !self.is_reused && now + MAX_TAKE_TIME < self.valid_until
    }

    /// Marks the cache as offered to a second decode endpoint.
    pub fn mark_reused(&mut self) {
        self.is_reused = true;
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
