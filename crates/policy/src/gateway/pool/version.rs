//! Service of requests that need a software version.

use std::time::{Duration, Instant};

use super::{EndpointKey, Pool};

/// Whether endpoints that generate answers with a software version are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionService {
    /// One serves, though it may be full.
    Serving,
    /// Those that there are move to another stage, rest or have just failed.
    Interrupted,
    /// There are endpoints of other versions, and of this one none or only excluded ones.
    Gone,
    /// There are none of other versions, so that the request is one like all others.
    Sole,
}

/// Longest wait of a request whose version is [`VersionService::Interrupted`].
const MAX_INTERRUPTION: Duration = Duration::from_millis(400);

impl VersionService {
    /// Returns whether a request that has waited for a time should be refused.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use cranberryridge_policy::gateway::pool::VersionService;
    /// assert!(VersionService::Gone.is_hopeless(Duration::ZERO));
    /// assert!(!VersionService::Interrupted.is_hopeless(Duration::ZERO));
    /// assert!(!VersionService::Serving.is_hopeless(Duration::from_secs(2)));
    /// ```
    pub fn is_hopeless(self, waited: Duration) -> bool {
        match self {
            Self::Serving | Self::Sole => false,
            Self::Interrupted => waited >= MAX_INTERRUPTION,
            Self::Gone => true,
        }
    }
}

impl Pool {
    /// Returns whether a request for which some endpoints are excluded can be served at a
    /// software version.
    pub fn version_service(
        &self,
        now: Instant,
        service: &str,
        version: &str,
        excluded: &[EndpointKey],
    ) -> VersionService {
        let mut found = VersionService::Gone;
        let mut is_sole = true;
        for (key, state) in self.staying_decoders(service) {
            let is_excluded = excluded.contains(&key);
            if state.endpoint.version != version {
                is_sole = false;
            } else if !is_excluded && state.is_serving(now) {
                return VersionService::Serving;
            } else if !is_excluded {
                found = VersionService::Interrupted;
            }
        }
        if is_sole {
            return VersionService::Sole;
        }
        found
    }

    /// Returns whether an endpoint that generates answers with another software version is
    /// listed and not shutting down.
    pub fn has_other_version(&self, service: &str, version: &str) -> bool {
        let mut staying = self.staying_decoders(service);
        staying.any(|(_, state)| state.endpoint.version != version)
    }
}
