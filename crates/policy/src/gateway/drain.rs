//! Decides which requests a stopping host accepts.
//!
//! A request that is still running when the host exits gets no result. Another host would
//! serve it whole, so it is refused at once if it is not expected to end in time. Until the
//! load balancer has noticed the stop, the estimated duration counts: if many hosts stop
//! together, the longest requests would be refused everywhere. Later only few requests come,
//! and none of them may be cut. A stream is then held to its deadline, as engines become slower with
//! each further request.

use std::time::{Duration, Instant};

use cranberryridge_wire::code::Code;

use super::place::{run_time, Need};
use super::pool::Pool;
use super::route::Engine;

/// Longest call that is expected, as a multiple of the longest recent one.
const CALL_HEADROOM: f64 = 1.25;

/// Times of a planned stop.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::drain::{Length, Stop};
/// let begin = Instant::now();
/// let second = Duration::from_secs(1);
/// let stop = Stop { lame_duck_until: begin + 3 * second, exits_at: begin + 7 * second };
/// let length = Length { estimated: 2 * second, longest: 6 * second };
/// assert!(stop.accepts(begin, length));
/// assert!(!stop.accepts(begin + 3 * second, length));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Time until which new connections are accepted.
    pub lame_duck_until: Instant,
    /// Time at which requests that are still open are given up, so that each gets an answer
    /// before the process exits.
    pub exits_at: Instant,
}

/// Predicted duration of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Length {
    /// Expected duration. For a stream, that of an answer as long as its caller estimates.
    pub estimated: Duration,
    /// Upper bound of the duration.
    pub longest: Duration,
}

/// Why this host ends work on a request that has no answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The request's deadline has passed.
    Deadline,
    /// The host is about to exit.
    Exit,
}

impl Interruption {
    /// Returns the code that the caller gets. Only a request that was sent to no endpoint is
    /// known not to have run.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::gateway::drain::Interruption;
    /// use cranberryridge_wire::code::{Class, Code};
    /// assert_eq!(Interruption::Exit.code(false), Code::Draining);
    /// assert_eq!(Interruption::Exit.code(true).class(), Class::Unknown);
    /// ```
    pub fn code(self, may_have_run: bool) -> Code {
        match (self, may_have_run) {
            (Self::Deadline, false) => Code::TooLate,
            (Self::Deadline, true) => Code::Overdue,
            (Self::Exit, false) => Code::Draining,
            (Self::Exit, true) => Code::Stopped,
        }
    }
}

impl Stop {
    /// Returns whether a request that starts now may be expected to end in time.
    pub fn accepts(&self, now: Instant, length: Length) -> bool {
        let duration = if now < self.lame_duck_until {
            length.estimated
        } else {
            length.longest
        };
        now + duration <= self.exits_at
    }
}

impl Pool {
    /// Predicts the duration of a stream with at most `max_output_tokens`, from the mean pace of its
    /// service. Only its deadline in `remaining_time`, when its engine stops, bounds that of a slower
    /// one.
    pub fn predict_length(
        &self,
        now: Instant,
        service: &str,
        engine: Engine,
        need: Need,
        max_output_tokens: u32,
        remaining_time: Duration,
    ) -> Length {
        let (_, token_time) = self.capacity(now, service, None, engine);
        Length {
            estimated: run_time(need.output_tokens, token_time),
            longest: run_time(max_output_tokens, token_time).max(remaining_time),
        }
    }

    /// Predicts the duration of a plain call to a service, from earlier calls.
    /// `latency_target` is that of its route, which counts until a call has been answered, and
    /// `remaining_time` is the time until the call's deadline, when its caller gets an answer
    /// in any case.
    pub fn predict_call(
        &self,
        now: Instant,
        service: &str,
        latency_target: Duration,
        remaining_time: Duration,
    ) -> Length {
        let (mean, peak) = self
            .call_times(now, service)
            .unwrap_or((latency_target, remaining_time));
        Length {
            estimated: mean.min(remaining_time),
            longest: peak.mul_f64(CALL_HEADROOM).min(remaining_time),
        }
    }
}
