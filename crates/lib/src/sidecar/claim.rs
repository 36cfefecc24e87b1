//! Claims on requests at engines. A request without a claim is an orphan and gets
//! cancelled.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cranberryridge_wire::Set;

/// Claimed requests by their id at the engine. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    ids: Arc<Mutex<Set<String>>>,
}

/// A claim on a request. Dropping it gives up the claim.
#[derive(Debug)]
pub struct Claim {
    id: String,
    claims: Claims,
}

impl Claims {
    /// Claims a request, before it is sent to the engine.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge::sidecar::claim::Claims;
    /// let claims = Claims::default();
    /// let claim = claims.claim("id");
    /// assert!(claims.is_claimed("id"));
    /// drop(claim);
    /// assert!(!claims.is_claimed("id"));
    /// ```
    pub fn claim(&self, id: &str) -> Claim {
        self.lock().insert(id.to_owned());
        Claim {
            id: id.to_owned(),
            claims: self.clone(),
        }
    }

    /// Whether a task of this sidecar claims a request.
    pub fn is_claimed(&self, id: &str) -> bool {
        self.lock().contains(id)
    }

    fn lock(&self) -> MutexGuard<'_, Set<String>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.claims.lock().remove(&self.id);
    }
}
