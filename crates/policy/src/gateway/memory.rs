//! Decides how much memory the bodies that a host holds may take.
//!
//! Answers the load of many long streams with large prompts beside short calls, and of
//! callers that read large answers slowly. A host that exceeds its memory is killed, which
//! cuts off everything that it serves, so bodies are refused before. An answer is refused
//! last, since its request has run, and a large body first, since it displaces many others.

/// Bound on the bodies that a host holds, in bytes.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::gateway::memory::{Bound, Purpose};
/// let bound = Bound { max_bytes: 1000 };
/// assert!(bound.allows(500, 100, Purpose::LargeRequest));
/// assert!(!bound.allows(700, 100, Purpose::LargeRequest));
/// assert!(bound.allows(700, 100, Purpose::SmallRequest));
/// assert!(bound.allows(900, 100, Purpose::Answer));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// Maximum size of all bodies together.
    pub max_bytes: usize,
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A request's body of more than [`MAX_SMALL_BYTES`].
    LargeRequest,
    /// Another request's body.
    SmallRequest,
    /// An answer.
    Answer,
}

/// Maximum size of a request's body that counts as small, in bytes.
pub const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Divisor of the bound that gives what large bodies leave to everything else.
const SMALL_REQUEST_DIVISOR: usize = 4;

/// Divisor of the bound that gives what requests leave to answers.
const ANSWER_DIVISOR: usize = 8;

impl Bound {
    /// Returns whether further bytes may be held beside those that are.
    pub fn allows(&self, held_bytes: usize, bytes: usize, purpose: Purpose) -> bool {
        let reserve = match purpose {
            Purpose::LargeRequest => self.max_bytes / SMALL_REQUEST_DIVISOR,
            Purpose::SmallRequest => self.max_bytes / ANSWER_DIVISOR,
            Purpose::Answer => 0,
        };
        held_bytes.saturating_add(bytes) <= self.max_bytes - reserve
    }
}

impl Purpose {
    /// Returns the purpose of a request's body of a size.
    pub fn of_request(bytes: usize) -> Self {
        if bytes > MAX_SMALL_BYTES {
            Self::LargeRequest
        } else {
            Self::SmallRequest
        }
    }
}
