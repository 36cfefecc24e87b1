//! Faults of an endpoint's runs.

/// A fault of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers that the request did not run.
    NotRun,
    /// Answers as if another endpoint had the address.
    Misdirected,
    /// Runs the request and answers with an error.
    Failure,
    /// Never answers.
    Hang,
    /// Sends no event for this many milliseconds before the third, then
    /// continues.
    Pause(u64),
    /// Breaks the answer off after this many events, in the middle of the next
    /// one.
    Break(u32),
    /// Breaks a stream off after its last event.
    BreakBehindLast,
    /// Answers without a length or chunks, and ends with the connection.
    Unframed,
    /// As [`Fault::Unframed`], but ends a stream after this many events, in the
    /// middle of the next one.
    UnframedBreak(u32),
    /// As [`Fault::Unframed`], but ends a stream after this many events, as if it were whole.
    UnframedStop(u32),
    /// As [`Fault::Unframed`], but ends a stream before its first event.
    UnframedEmpty,
    /// Answers with the id of another attempt.
    Foreign,
    /// Answers without the response stamp.
    Unsigned,
    /// Answers with an encoded body.
    Encoded,
    /// Answers a stream's request with a body of length 0.
    Empty,
    /// Answers a stream's request with chunks that hold no event.
    EmptyChunks,
    /// Answers a stream's request with text of another media type, in which there are empty
    /// lines.
    Text,
    /// Streams the head of an error as text instead of events.
    ErrorHead,
    /// Streams a first event that has no id.
    Unnumbered,
    /// Streams from the first event, whatever the request names as the last one.
    Anew,
    /// Answers 503 and does not say that the request did not run.
    Busy,
    /// As [`Fault::Unframed`], but crashes after this many events, or after the first half of
    /// a body. Whoever waits for [`Runner::crashed`](super::Runner::crashed) must then close the endpoint's listener,
    /// and after it the connections.
    UnframedCrash(u32),
    /// Makes what it answers too slowly, stops at the deadline that the request states, and ends
    /// the answer in order. The number is how many events of a stream come before.
    StopAtDeadline(u32),
    /// Ends a stream in order before the first event that it cannot complete by the deadline.
    StopEarly,
    /// Ends a stream in order after this many events, or the chunks of a body after its first
    /// half, as its process stops. Whoever waits for
    /// [`Runner::crashed`](super::Runner::crashed) must then kill the endpoint's host.
    StopWithProcess(u32),
    /// As [`Fault::StopAtDeadline`], but sends its answer with a length once it stops.
    SizedAtDeadline(u32),
    /// Preempts a run after this many events: sends nothing for the second number of
    /// milliseconds, then goes on.
    Preempt(u32, u64),
    /// After this many events, sends the last one once more and goes on.
    Repeat(u32),
    /// After this many events, sends all events of the run once more and goes on.
    Reread(u32),
    /// Ends a stream in order after this many events. The engine serves on.
    EndEarly(u32),
}

impl Fault {
    /// Returns whether the answer has neither a length nor chunks.
    pub fn is_unframed(self) -> bool {
        matches!(
            self,
            Self::Unframed
                | Self::UnframedBreak(_)
                | Self::UnframedStop(_)
                | Self::UnframedEmpty
                | Self::UnframedCrash(_)
        )
    }
}
