//! Refusals and failures of the gateway's own.

use std::time::Duration;

use http::Response;
use rand::RngExt;

use cranberryridge_wire::code::Code;

use super::dialect::Dialect;
use crate::body::Body;
use crate::problem::Problem;

/// Why a request got no answer of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// When to come back, for a request that did not run.
    pub wait: Duration,
}

/// When to come back where nothing better is known.
pub const SOON: Duration = Duration::from_millis(500);

/// When to come back to a host that has not reached the store yet. A store
/// that is there answers a new host within milliseconds, so this one is away,
/// which takes seconds.
pub const OUTAGE: Duration = Duration::from_secs(2);

/// Part of the time to come back that a caller is told, by chance: callers who
/// were refused together must not return together.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;

impl Refusal {
    /// A refusal whose reason alone tells when to come back.
    pub fn new(code: Code) -> Self {
        let wait = match code {
            Code::NoConfiguration => OUTAGE,
            _ => SOON,
        };
        Self::later(code, wait)
    }

    /// A refusal that asks the caller to come back later.
    pub fn later(code: Code, wait: Duration) -> Self {
        let spread = rand::rng().random_range(SPREAD);
        let wait = wait.mul_f64(spread);
        Self { code, wait }
    }

    /// The refusal as an answer.
    pub fn response<D: Dialect>(&self, dialect: &D) -> Response<Body> {
        let mut problem = Problem::new(self.code);
        problem.retry_after = self.wait;
        let mut response = problem.response();
        if matches!(self.code.status(), 429 | 503) {
            dialect.come_back(response.headers_mut(), self.wait);
        }
        response
    }
}
