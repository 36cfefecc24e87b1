//! Inputs and outputs of a model request's state machine.

use std::time::Duration;

use cranberryridge_wire::code::Code;

use crate::place::Pair;

/// Rules of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether a request past its first-token target is still served.
    pub serve_late: bool,
    /// Whether the caller receives events as they arrive, so that the answer cannot
    /// start over.
    pub streaming: bool,
    /// Whether the prefill waits for a hold on decode memory. If false, the hold is
    /// requested once the prefill is finished.
    pub hold_first: bool,
    /// Weight of wasted prefill work against goodput, 0 to 1.
    pub waste_weight: f64,
    /// Maximum number of retries after failures.
    pub max_failures: u32,
    /// Maximum number of refusals in a row before the caller is refused.
    pub max_refusals: u32,
    /// Maximum number of resumptions in a row without a new event.
    pub max_resumptions: u32,
    /// Unit of the linear backoff while no endpoint is open, and minimum pause once the
    /// refusals of a request that is served late are exhausted.
    pub placement_pause: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            serve_late: false,
            streaming: false,
            hold_first: true,
            waste_weight: 0.5,
            max_failures: 4,
            max_refusals: 4,
            max_resumptions: 4,
            placement_pause: Duration::from_millis(50),
        }
    }
}

/// The attempt of a pair that an event or action concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// The attempt at the prefill endpoint.
    Prefill,
    /// The attempt at the decode endpoint.
    Decode,
}

/// Inputs of the state machine. A `u32` next to a [`Leg`] is the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The request begins, or its pause is over.
    Begin,
    /// Endpoints were chosen.
    Placed(Pair),
    /// No endpoint is open.
    Unplaced(Code),
    /// No retry is allowed, because of the budget or the deadline.
    RetryDenied(Code),
    /// The attempt was admitted.
    Granted(Leg, u32),
    /// The attempt is queued, with its predicted wait.
    Queued(Leg, u32, Duration),
    /// The attempt did not run; the duration says when to retry.
    Refused(Leg, u32, Code, Duration),
    /// The prefill finished: attempt, prompt tokens and lifetime of the result.
    Prefilled(u32, u32, Duration),
    /// An event of the answer: attempt and position.
    Token(u32, u32),
    /// The end of the answer: attempt and number of events.
    Done(u32, u32),
    /// The attempt failed after it started.
    Failed(Leg, u32, Code),
    /// The attempt's stream broke.
    StreamLost(Leg, u32),
    /// The caller disconnected.
    CallerGone,
    /// A timer fired.
    Tick,
}

/// Outputs of the state machine, for the entry to execute.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Choose endpoints after a pause.
    Place(Duration),
    /// Take a retry from the budget, then choose other endpoints. Holds the code of the
    /// failure and the number of the retry.
    Retry(Code, u32),
    /// Request a hold on decode memory, with the number of the attempt.
    Hold(Pair, u32),
    /// Start the prefill, with the number of the attempt.
    Prefill(Pair, u32),
    /// Hand the prefill's result to the decode endpoint.
    Decode(u32),
    /// Request the answer from a position on: attempt and position.
    Resume(u32, u32),
    /// Close an attempt's stream and cancel its work.
    Close(Leg),
    /// Pass the current event to the caller.
    Emit,
    /// Drop the buffered events; the answer starts over.
    Reset,
    /// Finish the answer.
    Finish,
    /// Fail with a code; the duration says when the caller may retry.
    Fail(Code, Duration),
}
