//! The requests at engines that this sidecar answers for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cranberryridge_wire::Set;

/// Claims by the ids that engines know requests by. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// The ids.
    ids: Arc<Mutex<Set<String>>>,
}

/// A claim. Dropping it gives it up.
#[derive(Debug)]
pub struct Claim {
    /// The id.
    id: String,
    /// The claims.
    claims: Claims,
}

impl Claims {
    /// Claims a request.
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

    /// Whether somebody claims a request.
    pub fn is_claimed(&self, id: &str) -> bool {
        self.lock().contains(id)
    }

    /// The ids.
    fn lock(&self) -> MutexGuard<'_, Set<String>> {
        self.ids.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.claims.lock().remove(&self.id);
    }
}
