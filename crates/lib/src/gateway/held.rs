//! Memory that bodies of requests and answers take while they arrive.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Total size of buffered bodies, with a limit.
#[derive(Debug)]
pub struct Held {
    bytes: AtomicUsize,
    limit: usize,
}

impl Held {
    /// Creates a total of zero.
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: AtomicUsize::new(0),
            limit,
        }
    }

    /// Creates an empty share of the total.
    pub fn allocation(&self) -> Allocation<'_> {
        Allocation {
            held: self,
            bytes: 0,
        }
    }
}

/// Share of a body in the total, until dropped.
#[derive(Debug)]
pub struct Allocation<'a> {
    held: &'a Held,
    bytes: usize,
}

impl Allocation<'_> {
    /// Adds bytes and returns whether the total is within the limit. The bytes
    /// are counted until the drop in either case.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let held = self.held.bytes.fetch_add(bytes, Ordering::Relaxed);
        held + bytes <= self.held.limit
    }
}

impl Drop for Allocation<'_> {
    fn drop(&mut self) {
        self.held.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
