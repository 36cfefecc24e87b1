//! Decides which answer gives way when the answers that a daemon keeps take too much memory.
//!
//! The largest one does. Answers without end outgrow all others, so they cost themselves and
//! not the answers beside them.

use std::hash::Hash;

use cranberryridge_wire::Map;

/// Sizes of the kept answers, by key.
///
/// # Examples
///
/// ```
/// let mut table = cranberryridge_policy::kept::Table::new(100);
/// assert_eq!(table.add("small", 30), None);
/// assert_eq!(table.add("large", 60), None);
/// assert_eq!(table.add("small", 20), Some("large"));
/// table.remove("large");
/// assert_eq!(table.bytes(), 50);
/// ```
#[derive(Clone, Debug)]
pub struct Table<K> {
    sizes: Map<K, usize>,
    /// Sum of `sizes`.
    bytes: usize,
    max_bytes: usize,
}

impl<K: Copy + Hash + Ord> Table<K> {
    /// Creates an empty table for answers of up to `max_bytes` in total.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            sizes: Map::default(),
            bytes: 0,
            max_bytes,
        }
    }

    /// Counts bytes that an answer grows by. Returns the answer that must give way, which may
    /// be the same one, if all together are too large. The caller removes it.
    pub fn add(&mut self, key: K, bytes: usize) -> Option<K> {
        *self.sizes.entry(key).or_default() += bytes;
        self.bytes += bytes;
        if self.bytes <= self.max_bytes {
            return None;
        }
        let largest = self.sizes.iter().max_by_key(|(key, size)| (**size, **key));
        largest.map(|(key, _)| *key)
    }

    /// Removes an answer that has given way or is no longer kept.
    pub fn remove(&mut self, key: K) {
        self.bytes -= self.sizes.remove(&key).unwrap_or_default();
    }

    /// Returns the total size of the answers in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
