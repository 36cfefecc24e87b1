//! A KV cache that waits at the endpoint that read the prompt.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::clock::Clock;
use crate::gateway::dialect::{Dialect, Stage};
use crate::gateway::exchange::{self, InFlight};
use crate::net::Net;

/// A KV cache. It is freed when dropped, unless it was taken.
#[derive(Debug)]
pub struct Cache<N: Net, C: Clock, D: Dialect> {
    /// Where it is.
    source: SocketAddr,
    /// Its name there.
    handle: CompactString,
    /// Whether a decode endpoint has taken it.
    is_taken: bool,
    /// The memory that it takes, as the pool counts it.
    in_flight: InFlight<N, C, D>,
}

impl<N: Net, C: Clock, D: Dialect> Cache<N, C, D> {
    /// A KV cache that a prefill endpoint keeps.
    pub fn new(in_flight: InFlight<N, C, D>, source: SocketAddr, handle: CompactString) -> Self {
        Self {
            source,
            handle,
            is_taken: false,
            in_flight,
        }
    }

    /// What a decode endpoint has to know of it.
    pub fn stage(&self) -> Stage<'_> {
        Stage::Decode {
            source: self.source,
            handle: &self.handle,
        }
    }

    /// Notes that a decode endpoint has taken it.
    pub fn mark_taken(&mut self) {
        self.is_taken = true;
    }
}

impl<N: Net, C: Clock, D: Dialect> Drop for Cache<N, C, D> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let shared = &self.in_flight.shared;
        shared.metrics.count("kv_cache.released");
        let request = shared
            .dialect
            .release_cache_request(self.source, &self.handle);
        exchange::notify(shared, self.source, request);
    }
}
