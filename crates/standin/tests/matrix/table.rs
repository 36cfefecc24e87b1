//! The cells of the matrix, and the reasons why some cannot occur.

use std::fmt;

use rand::rngs::StdRng;

use crate::draw;
use crate::fault::Fault;

/// A step in the processing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The entry has read the request.
    Parsed,
    /// The claim of a plain call is in the log, and the call is at its service.
    Claimed,
    /// The request for decode memory is in flight.
    HoldAsked,
    /// The grant of decode memory is in flight.
    HoldGranted,
    /// The prefill is queued at its sidecar.
    PrefillQueued,
    /// The engine is prefilling the prompt.
    PrefillRunning,
    /// The result of the prefill is ready.
    Prefilled,
    /// The decode engine is fetching the result.
    Transferring,
    /// The engine is generating the first token.
    DecodingFirst,
    /// The caller has received some tokens.
    MidStream,
    /// The last token has been generated and is in flight.
    LastToken,
    /// The caller has received the whole answer.
    Answered,
}

impl Step {
    /// All steps, in the order of a request.
    pub const ALL: &[Self] = &[
        Self::Parsed,
        Self::Claimed,
        Self::HoldAsked,
        Self::HoldGranted,
        Self::PrefillQueued,
        Self::PrefillRunning,
        Self::Prefilled,
        Self::Transferring,
        Self::DecodingFirst,
        Self::MidStream,
        Self::LastToken,
        Self::Answered,
    ];
}

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// Fault to inject.
    pub fault: Fault,
    /// Step at which to inject it.
    pub step: Step,
}

impl Cell {
    /// Draws a fault, then a step.
    pub fn draw(random: &mut StdRng) -> Self {
        Self {
            fault: draw(random, Fault::ALL),
            step: draw(random, Step::ALL),
        }
    }

    /// Reason why this cell cannot occur between daemons, or `None` if it can.
    pub fn impossible_reason(self) -> Option<&'static str> {
        match self.fault {
            Fault::MessageDoubled | Fault::MessageCrossed => Some(
                "HTTP/2 over TCP neither duplicates nor reorders messages; crates/policy/tests/messages.rs tests this case",
            ),
            Fault::ClockSkewed => {
                Some("no product code reads a wall clock, which the test `no_product_code_reads_a_wall_clock` checks")
            }
            _ => None,
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:?}", self.fault, self.step)
    }
}
