//! Decides how much memory the bodies that a host holds may take.
//!
//! Answers the load of many long streams with large prompts beside short calls, and of
//! callers that read large answers slowly. A host that exceeds its memory is killed, which
//! cuts off everything that it serves, so bodies are refused before. An answer is refused
//! last, since its request has run, and a large body first, since it displaces many others.
//!
//! Services give way by what they hold: the answers of one may hold a multiple of the room that
//! is left. A service whose answers never end so leaves room for the answers of others, and one
//! service alone may use most of it.

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

/// Bytes that one service holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Of bodies of requests.
    pub requests: usize,
    /// Of everything else.
    pub answers: usize,
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
    /// State of a request that is being served.
    Exchange,
    /// A request's body of more than [`MAX_SMALL_BYTES`] at an entry, where each client account
    /// counts as a service.
    LargeClientRequest,
    /// Another request's body at an entry.
    SmallClientRequest,
}

/// Maximum size of a request's body that counts as small, in bytes.
pub const MAX_SMALL_BYTES: usize = 64 * 1024;

/// Divisor of the bound that gives what large bodies leave to everything else.
const SMALL_REQUEST_DIVISOR: usize = 4;

/// Divisor of the bound that gives what requests leave to answers.
const ANSWER_DIVISOR: usize = 8;

/// Multiple of the free room that the answers of one service may hold.
const ANSWER_MULTIPLE: usize = 4;

/// Multiple of the free room that a client account may hold with its large bodies.
const LARGE_CLIENT_MULTIPLE: usize = 1;

/// Multiple of the free room that a client account may hold, so that its large bodies leave room
/// for its small ones.
const SMALL_CLIENT_MULTIPLE: usize = 2;

/// Divisor of the free room that gives what a service may hold beyond the limits of requests.
const SPARE_ROOM_DIVISOR: usize = 2;

impl Bound {
    /// Returns whether a service may hold further bytes beside those that it and all services
    /// hold. A service that holds little finds room for its requests beyond the limits that
    /// leave room for others.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::memory::{Bound, Purpose, Usage};
    /// let bound = Bound { max_bytes: 1000 };
    /// let faulty = Usage { requests: 0, answers: 800 };
    /// assert!(!bound.allows_service(800, faulty, 100, Purpose::Answer));
    /// assert!(bound.allows_service(800, Usage::default(), 100, Purpose::Answer));
    /// let greedy = Usage { requests: 500, answers: 0 };
    /// assert!(!bound.allows_service(500, greedy, 100, Purpose::LargeClientRequest));
    /// assert!(bound.allows_service(500, greedy, 100, Purpose::SmallClientRequest));
    /// assert!(bound.allows_service(500, Usage::default(), 100, Purpose::LargeClientRequest));
    /// ```
    pub fn allows_service(
        &self,
        held_bytes: usize,
        usage: Usage,
        bytes: usize,
        purpose: Purpose,
    ) -> bool {
        let is_within = self.allows(held_bytes, bytes, purpose);
        let free = self
            .max_bytes
            .saturating_sub(held_bytes.saturating_add(bytes));
        let answers = usage.answers.saturating_add(bytes);
        match purpose {
            Purpose::Answer | Purpose::Exchange => {
                is_within && answers <= free.saturating_mul(ANSWER_MULTIPLE)
            }
            Purpose::LargeClientRequest | Purpose::SmallClientRequest => {
                let multiple = if purpose == Purpose::LargeClientRequest {
                    LARGE_CLIENT_MULTIPLE
                } else {
                    SMALL_CLIENT_MULTIPLE
                };
                let requests = usage.requests.saturating_add(bytes);
                is_within && requests <= free.saturating_mul(multiple)
            }
            Purpose::LargeRequest | Purpose::SmallRequest => {
                let all = answers.saturating_add(usage.requests);
                is_within || all <= free / SPARE_ROOM_DIVISOR
            }
        }
    }

    /// Returns whether further bytes may be held beside those that are.
    pub fn allows(&self, held_bytes: usize, bytes: usize, purpose: Purpose) -> bool {
        let reserve = match purpose {
            Purpose::LargeRequest => self.max_bytes / SMALL_REQUEST_DIVISOR,
            Purpose::SmallRequest => self.max_bytes / ANSWER_DIVISOR,
            Purpose::Answer
            | Purpose::Exchange
            | Purpose::LargeClientRequest
            | Purpose::SmallClientRequest => 0,
        };
        held_bytes.saturating_add(bytes) <= self.max_bytes - reserve
    }
}

impl Purpose {
    /// Returns whether this is a body of a request.
    pub fn is_request(self) -> bool {
        !matches!(self, Self::Answer | Self::Exchange)
    }

    /// Returns the purpose of a request's body of a size.
    pub fn of_request(bytes: usize) -> Self {
        if bytes > MAX_SMALL_BYTES {
            Self::LargeRequest
        } else {
            Self::SmallRequest
        }
    }

    /// Returns the purpose of a request's body of a size at an entry.
    pub fn of_client_request(bytes: usize) -> Self {
        if bytes > MAX_SMALL_BYTES {
            Self::LargeClientRequest
        } else {
            Self::SmallClientRequest
        }
    }
}
