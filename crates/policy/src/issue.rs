//! Keys that a sidecar issues and that only the same incarnation runs.

use std::fmt;
use std::str::FromStr;

use cranberryridge_wire::id::Incarnation;

/// Prefix that distinguishes issued keys from chosen ones.
const PREFIX: &str = "issued";

/// An idempotency key issued by a sidecar.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::issue::Key;
/// use cranberryridge_wire::id::Incarnation;
/// let key = Key { incarnation: Incarnation(7), endpoint: 0, sequence: 12 };
/// assert_eq!(key.to_string().parse(), Ok(key));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Incarnation of the sidecar that issued the key.
    pub incarnation: Incarnation,
    /// Index of the endpoint at that sidecar.
    pub endpoint: u16,
    /// Sequence number, counted from 1 in each incarnation.
    pub sequence: u64,
}

/// The error for text that is not an issued key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an issued key; ask for one with POST /keys/NAME")]
pub struct Invalid;

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (incarnation, endpoint, sequence) = (self.incarnation, self.endpoint, self.sequence);
        write!(f, "{PREFIX}-{incarnation}-{endpoint:x}-{sequence:x}")
    }
}

impl FromStr for Key {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Self, Invalid> {
        let mut parts = text.split('-');
        if parts.next() != Some(PREFIX) {
            return Err(Invalid);
        }
        let mut number = || u64::from_str_radix(parts.next().unwrap_or(""), 16);
        let incarnation = number().map_err(|_| Invalid)?;
        let endpoint = number().map_err(|_| Invalid)?;
        let sequence = number().map_err(|_| Invalid)?;
        let key = Self {
            incarnation: Incarnation(incarnation),
            endpoint: u16::try_from(endpoint).map_err(|_| Invalid)?,
            sequence,
        };
        // Only the canonical text is a key, so that two different texts are two keys.
        (key.to_string() == text).then_some(key).ok_or(Invalid)
    }
}
