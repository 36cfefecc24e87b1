//! Identifiers of requests, process runs and configuration versions, and digests.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Globally unique request id, built from the entry's incarnation and a counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Request {
    /// Incarnation of the entry that owns the request.
    pub entry: Incarnation,
    /// Per-entry counter, starting at 1.
    pub sequence: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.entry, self.sequence)
    }
}

impl std::str::FromStr for Request {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, sequence) = text.split_once('-').unwrap_or((text, ""));
        Ok(Self {
            entry: Incarnation(u64::from_str_radix(entry, 16)?),
            sequence: u64::from_str_radix(sequence, 16)?,
        })
    }
}

/// Random id of one run of a process, drawn when the process starts.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Configuration version: the offset of its log record plus 1, or 0 if there is none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// 128-bit digest, the first half of a SHA-256 hash, for comparing contents.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Digest(pub [u64; 2]);

impl Digest {
    /// Hashes the parts in order. The boundaries between parts affect the digest.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_wire::id::Digest;
    /// assert_eq!(Digest::of(&[b"a", b"b"]), Digest::of(&[b"a", b"b"]));
    /// assert_ne!(Digest::of(&[b"a", b"b"]), Digest::of(&[b"ab", b""]));
    /// ```
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hash_part(&mut hasher, &[part]);
        }
        Self::finish(hasher)
    }

    /// Hashes parts, the last of which is in chunks. Their boundaries do not affect the
    /// digest.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_wire::id::Digest;
    /// let whole = Digest::of(&[b"a", b"bcd"]);
    /// assert_eq!(Digest::of_chunked(&[b"a"], &[b"b".as_slice(), b"cd"]), whole);
    /// ```
    pub fn of_chunked(parts: &[&[u8]], last: &[impl AsRef<[u8]>]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hash_part(&mut hasher, &[part]);
        }
        hash_part(&mut hasher, last);
        Self::finish(hasher)
    }

    /// Returns the digest of what was hashed.
    fn finish(hasher: Sha256) -> Self {
        let hash = hasher.finalize();
        Self([read_u64_be(&hash[..8]), read_u64_be(&hash[8..16])])
    }
}

/// Hashes a part with its length.
fn hash_part(hasher: &mut Sha256, chunks: &[impl AsRef<[u8]>]) {
    let length = chunks.iter().map(|chunk| chunk.as_ref().len() as u64);
    hasher.update(length.sum::<u64>().to_le_bytes());
    for chunk in chunks {
        hasher.update(chunk.as_ref());
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.0[0], self.0[1])
    }
}

/// Reads bytes as a big-endian integer.
fn read_u64_be(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
