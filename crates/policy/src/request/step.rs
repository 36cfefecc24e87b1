//! What a request's life is told and what it asks for.

use std::time::Duration;

use cranberryridge_wire::code::Code;

use crate::place::Pair;

/// Rules of a request's life.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Whether a late request is served.
    pub serve_late: bool,
    /// Whether the caller sees events as they come, so that an answer cannot
    /// begin again.
    pub streaming: bool,
    /// Whether the prefill waits for decode memory; where not, the memory is
    /// asked for when the prefill is done.
    pub hold_first: bool,
    /// Weight of wasted prefill against goodput, 0 to 1.
    pub waste_weight: f64,
    /// Most retries after failures.
    pub max_failures: u32,
    /// Most refusals in a row before the caller is refused.
    pub max_refusals: u32,
    /// Most resumptions in a row.
    pub max_resumptions: u32,
    /// Wait before asking again when everything was full.
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

/// Which of the two attempts an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leg {
    /// At the prefill endpoint.
    Prefill,
    /// At the decode endpoint.
    Decode,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// The request begins, or its pause is over.
    Begin,
    /// Endpoints were chosen.
    Placed(Pair),
    /// There are none.
    Unplaced(Code),
    /// There is no retry left, in the budget or before the deadline.
    RetryDenied(Code),
    /// The attempt has its place.
    Granted(Leg, u32),
    /// The attempt waits for about this long.
    Queued(Leg, u32, Duration),
    /// The attempt did not run; come back after a while.
    Refused(Leg, u32, Code, Duration),
    /// The prefill is done: its tokens, and how long it lives.
    Prefilled(u32, u32, Duration),
    /// An event of the answer: attempt and position.
    Token(u32, u32),
    /// The answer's end: attempt and number of events.
    Done(u32, u32),
    /// The attempt failed after it started.
    Failed(Leg, u32, Code),
    /// The attempt's stream broke.
    StreamLost(Leg, u32),
    /// The caller is gone.
    CallerGone,
    /// A timer went off.
    Tick,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Choose endpoints, after a pause.
    Place(Duration),
    /// Take a retry from the budget, then choose endpoints other than these.
    Retry(Code, u32),
    /// Ask for decode memory.
    Hold(Pair, u32),
    /// Start the prefill.
    Prefill(Pair, u32),
    /// Hand the prefill's result to the decode endpoint.
    Decode(u32),
    /// Ask the decode endpoint for the answer from a position on.
    Resume(u32, u32),
    /// Give up an attempt.
    Close(Leg),
    /// Pass the event at hand to the caller.
    Emit,
    /// Forget the events kept so far; the answer begins again.
    Reset,
    /// End the answer.
    Finish,
    /// End with a failure; come back after a while.
    Fail(Code, Duration),
}
