//! Byte strings in messages.

use serde::{Deserialize, Serialize};

/// A byte string that is encoded as one unit rather than element by element.
#[derive(Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blob(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl Blob {
    /// Borrows the bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// let blob = cranberryridge_wire::blob::Blob::from("abc");
    /// assert_eq!(blob.as_slice(), b"abc");
    /// ```
    pub fn as_slice(&self) -> &[u8] {
        &self.0
    }
}

impl std::fmt::Debug for Blob {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", String::from_utf8_lossy(&self.0))
    }
}

impl From<Vec<u8>> for Blob {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}

impl From<&str> for Blob {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}
