//! Error responses that the gateway itself generates.

use std::time::Duration;

use http::{Response, StatusCode};
use rand::RngExt;

use cranberryridge_policy::gateway::drain::Interruption;
use cranberryridge_wire::code::Code;

use super::dialect::Dialect;
use crate::body::Body;
use crate::problem::Problem;

/// Reason for which a request got no answer from an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error code sent to the caller.
    pub code: Code,
    /// Time after which the caller should retry, including jitter.
    pub retry_after: Duration,
}

/// Retry time if there is no better estimate.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry time at a host that has not reached the store yet. A running store
/// answers a new host within milliseconds, so this is an outage, and outages
/// last seconds.
pub const STORE_OUTAGE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry time of a request that another host can serve at once.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Range of the random factor on retry times, so that callers refused at the
/// same time do not retry at the same time.
const JITTER: std::ops::Range<f64> = 0.5..1.5;

impl Refusal {
    /// Creates a refusal with the default retry time of its code.
    pub fn new(code: Code) -> Self {
        let retry_after = match code {
            Code::NoConfiguration => STORE_OUTAGE_RETRY_AFTER,
            _ => DEFAULT_RETRY_AFTER,
        };
        Self::with_retry_after(code, retry_after)
    }

    /// Creates the refusal of a request that this host does not serve, as it is stopping.
    pub fn draining() -> Self {
        Self::with_retry_after(Code::Draining, OTHER_HOST_RETRY_AFTER)
    }

    /// Creates the refusal of a request whose work was interrupted.
    pub fn interrupted(interruption: Interruption, may_have_run: bool) -> Self {
        match interruption.code(may_have_run) {
            Code::Draining => Self::draining(),
            code => Self::new(code),
        }
    }

    /// Creates a refusal with a given retry time, to which jitter is applied.
    pub fn with_retry_after(code: Code, retry_after: Duration) -> Self {
        let factor = rand::rng().random_range(JITTER);
        let retry_after = retry_after.mul_f64(factor);
        Self { code, retry_after }
    }

    /// Creates a refusal with a time before which a retry would be refused
    /// again. Jitter only extends it.
    pub fn at_earliest(code: Code, retry_after: Duration) -> Self {
        let factor = rand::rng().random_range(1.0..JITTER.end);
        let retry_after = retry_after.mul_f64(factor);
        Self { code, retry_after }
    }

    /// Returns the refusal of a request that an endpoint may have run. One that would say
    /// that it has not run gives way to [`Code::EndpointLost`].
    pub fn after_run(self) -> Self {
        if matches!(self.code.status(), 429 | 503) {
            return Self::new(Code::EndpointLost);
        }
        self
    }

    /// Creates the response, with the dialect's retry header if the status is
    /// 429 or 503.
    pub fn response<D: Dialect>(&self, dialect: &D) -> Response<Body> {
        let mut problem = Problem::new(self.code);
        problem.retry_after = self.retry_after;
        if self.code == Code::Barred {
            // Only 429 and 503 say that a request has not run.
            problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
        }
        let mut response = problem.response();
        if matches!(response.status().as_u16(), 429 | 503) {
            dialect.set_retry_after(response.headers_mut(), self.retry_after);
        }
        response
    }
}
