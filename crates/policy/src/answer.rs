//! Decides which events of endpoints make up a caller's stream, and what ends an answer.
//!
//! A stream may be joined from several runs at different endpoints. What the caller already
//! has cannot be taken back, so a run that goes on must show with its first event that it
//! belongs behind the last one: by an id that follows it. The same holds for a stream that
//! the caller itself takes up. Where the ids of a service count by one, an event must not be
//! missing either.
//!
//! An end must be said by the sender of an answer. The connection alone says nothing of a
//! stream, as a link or a process that ends midway closes it in order as well: a run at another
//! endpoint has to repeat the last event and state what follows it. Of a plain answer, the sender
//! must have outlived it. An answer without any event or byte is no evidence of an end. Neither
//! is an end that an endpoint states at the deadline that it was sent, as it stops work then, nor
//! one that it does not outlive.

use compact_str::{CompactString, ToCompactString};

use self::numbering::{Finding, Ids, Numbering};
use self::survival::Watch;

pub mod deadline;
pub mod numbering;
pub mod survival;

/// Least number of events whose ids count by one from which a stream is held to that itself.
const MIN_OWN_EVENTS: u32 = 4;

/// How the end of an answer is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the length in its head.
    Length,
    /// By an empty chunk.
    Chunks,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    /// Returns the name in logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::Framing;
    /// assert_eq!(Framing::Chunks.name(), "chunks");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }

    /// Returns whether the sender of an answer states where it ends.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::Framing;
    /// assert!(Framing::Length.states_end() && Framing::Chunks.states_end());
    /// assert!(!Framing::Connection.states_end());
    /// ```
    pub fn states_end(self) -> bool {
        self != Self::Connection
    }
}

/// End of an answer that is read whole and whose transport reported no error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    /// How the end was marked.
    pub framing: Framing,
    /// Whether the endpoint has outlived the end. Matters only if [`End::needs_probe`].
    pub is_endpoint_up: bool,
}

impl End {
    /// Returns whether the endpoint has to be asked for [`End::is_endpoint_up`]. A length states
    /// the end with the head; what comes behind the answer may come from an endpoint that stops.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{End, Framing};
    /// assert!(End::needs_probe(Framing::Connection));
    /// assert!(End::needs_probe(Framing::Chunks));
    /// assert!(!End::needs_probe(Framing::Length));
    /// ```
    pub fn needs_probe(framing: Framing) -> bool {
        framing != Framing::Length
    }

    /// Returns whether an answer that is no stream is complete, from whether its body is
    /// empty. `may_be_empty` tells whether the request or the status allows no body.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{End, Framing};
    /// let closed = End { framing: Framing::Connection, is_endpoint_up: true };
    /// assert!(closed.completes_body(false, false));
    /// assert!(!closed.completes_body(true, false));
    /// let stopped = End { framing: Framing::Chunks, is_endpoint_up: false };
    /// assert!(!stopped.completes_body(false, false));
    /// ```
    pub fn completes_body(self, is_empty: bool, may_be_empty: bool) -> bool {
        may_be_empty
            || match self.framing {
                Framing::Length => true,
                Framing::Chunks => self.is_endpoint_up,
                Framing::Connection => self.is_endpoint_up && !is_empty,
            }
    }

    /// Returns whether a stream is complete, from whether it has an event and whether it ends
    /// inside one.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{End, Framing};
    /// let end = End { framing: Framing::Chunks, is_endpoint_up: true };
    /// assert!(end.completes_stream(true, false));
    /// assert!(!end.completes_stream(false, false));
    /// let stopped = End { is_endpoint_up: false, ..end };
    /// assert!(!stopped.completes_stream(true, false));
    /// ```
    pub fn completes_stream(self, has_event: bool, is_inside: bool) -> bool {
        let is_stated = self.framing.states_end();
        is_stated && self.completes_body(false, false) && has_event && !is_inside
    }
}

/// How the end of a caller's stream was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The run that added the last event stated the end.
    Stated,
    /// Another run repeated the last event and stated the end behind it.
    Repeated,
    /// Only the end of a connection speaks for it.
    Unproven,
    /// It was stated when the endpoint may have stopped at its deadline.
    Overdue,
    /// It was stated by an endpoint that has not outlived it.
    Forsaken,
}

impl Proof {
    /// Returns the name in logs.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::Proof;
    /// assert_eq!(Proof::Repeated.name(), "repeated");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::Repeated => "repeated",
            Self::Unproven => "unproven",
            Self::Overdue => "overdue",
            Self::Forsaken => "forsaken",
        }
    }
}

/// An event of an endpoint's stream. Blocks with neither data nor an id are none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event<'a> {
    /// Its id, if it has one.
    pub id: Option<&'a str>,
}

/// Place of an event in the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It is the next one for the caller.
    Next,
    /// The caller has it, and a run that checks an end has repeated it.
    Repeated,
}

/// What the end of a run means for the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// The stream is complete.
    Complete(Proof),
    /// The run ended between two events, and nobody has said that no event follows.
    Unstated,
    /// The run stated its end when its endpoint may have stopped at its deadline.
    Overdue,
    /// The run stated its end, and its endpoint has not outlived it.
    Forsaken,
    /// The run is lost.
    Broken,
}

impl Conclusion {
    /// Returns how the end of the stream was established, if the run came to an end.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{Conclusion, Proof};
    /// assert_eq!(Conclusion::Unstated.proof(), Some(Proof::Unproven));
    /// assert_eq!(Conclusion::Broken.proof(), None);
    /// ```
    pub fn proof(self) -> Option<Proof> {
        match self {
            Self::Complete(proof) => Some(proof),
            Self::Unstated => Some(Proof::Unproven),
            Self::Overdue => Some(Proof::Overdue),
            Self::Forsaken => Some(Proof::Forsaken),
            Self::Broken => None,
        }
    }

    /// Returns what the end means if the endpoint may have stopped at its deadline.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{Conclusion, Proof};
    /// let stated = Conclusion::Complete(Proof::Stated);
    /// assert_eq!(stated.at_deadline(), Conclusion::Overdue);
    /// assert_eq!(Conclusion::Broken.at_deadline(), Conclusion::Broken);
    /// ```
    pub fn at_deadline(self) -> Self {
        match self {
            Self::Complete(_) => Self::Overdue,
            other => other,
        }
    }

    /// Returns what the end means after looks at the endpoint.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::survival::{Sign, Watch};
    /// use cranberryridge_policy::answer::{Conclusion, Proof};
    /// let (stated, mut watch) = (Conclusion::Complete(Proof::Stated), Watch::default());
    /// watch.record(Sign::Serving, true);
    /// assert_eq!(stated.after(watch), stated);
    /// watch.record(Sign::Refusing, false);
    /// assert_eq!(stated.after(watch), Conclusion::Forsaken);
    /// ```
    pub fn after(self, watch: Watch) -> Self {
        match self {
            Self::Complete(_) if !watch.has_survived() => Self::Forsaken,
            other => other,
        }
    }
}

/// Reason why a run's event does not belong into the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Disorder {
    /// The first event of a continuation has no id, or another one where ids count by one.
    #[error("an event that needs an id has none")]
    Unnumbered,
    /// The event's id does not follow the last one.
    #[error("the event id does not follow the last one")]
    Backward,
    /// The first event of a run that checks an end is not the last one of the stream.
    #[error("the check of an end does not begin with the last event")]
    Unrepeated,
    /// Ids count by one, and the event's id is not the next one.
    #[error("an event is missing before this one")]
    Gap,
}

/// Check of an end that no run has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Check {
    /// There is none.
    #[default]
    None,
    /// The current run must begin with the last event.
    Awaiting,
    /// The current run has begun with the last event.
    Repeated,
}

/// Events of a caller's stream, over all runs it is joined from.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::answer::{Disorder, Event, Place, Sequence};
/// let mut sequence = Sequence::default();
/// assert_eq!(sequence.admit(Event { id: Some("1") }), Ok(Place::Next));
/// assert_eq!(sequence.admit(Event { id: Some("2") }), Ok(Place::Next));
/// sequence.begin_run();
/// assert_eq!(sequence.admit(Event { id: None }), Err(Disorder::Unnumbered));
/// assert_eq!(sequence.admit(Event { id: Some("1") }), Err(Disorder::Backward));
/// assert_eq!(sequence.admit(Event { id: Some("3") }), Ok(Place::Next));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    /// Id of the last event with one that the caller has.
    last_id: Option<CompactString>,
    /// Id of the event with one before that, or the one that the caller named, if any.
    previous_id: Option<CompactString>,
    /// Whether the caller has an event without an id after the last one with an id.
    has_unnumbered: bool,
    /// Whether the current run has added an event.
    has_run_event: bool,
    check: Check,
    /// Id of the first event if ids are known to count by one from there.
    expected_first_id: Option<u64>,
    /// Whether the stream's own events may tell the numbering, which is not known otherwise.
    may_tell_numbering: bool,
    /// Ids of all events, if the stream begins with its first one.
    ids: Option<Ids>,
}

impl Sequence {
    /// Creates the sequence of a caller that takes a stream up after the event `last_id`.
    pub fn after(last_id: impl Into<CompactString>) -> Self {
        Self {
            last_id: Some(last_id.into()),
            ..Self::default()
        }
    }

    /// Expects the ids of the current run to continue a known numbering. If it is not known,
    /// the stream's first events tell.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::numbering::{Ids, Numbering};
    /// use cranberryridge_policy::answer::{Disorder, Event, Place, Sequence};
    /// let mut numbering = Numbering::default();
    /// (0..8).for_each(|_| numbering.record(Ids { first: 1, is_regular: true, count: 4 }));
    /// let mut sequence = Sequence::default();
    /// sequence.expect(numbering);
    /// assert_eq!(sequence.admit(Event { id: Some("1") }), Ok(Place::Next));
    /// assert_eq!(sequence.admit(Event { id: Some("3") }), Err(Disorder::Gap));
    /// ```
    pub fn expect(&mut self, numbering: Numbering) {
        self.expected_first_id = numbering.first_id();
        self.may_tell_numbering = numbering.finding() != Some(Finding::Irregular);
    }

    /// Returns the ids of a stream that begins with its first event, or `None` if it has none.
    pub fn ids(&self) -> Option<Ids> {
        self.ids
    }

    /// Returns whether the stream's own events tell that ids count by one.
    fn is_regular(&self) -> bool {
        let is_regular = |ids: Ids| ids.is_regular && ids.count >= MIN_OWN_EVENTS;
        self.may_tell_numbering && self.ids.is_some_and(is_regular)
    }

    /// Returns whether an event is missing before the one with an id.
    fn leaves_gap(&self, id: &str) -> bool {
        if self.expected_first_id.is_none() && !self.is_regular() {
            return false;
        }
        let expected = match &self.last_id {
            Some(last_id) => last_id.parse::<u64>().ok().and_then(|id| id.checked_add(1)),
            None => self.expected_first_id,
        };
        id.parse::<u64>().ok() != expected
    }

    /// Adds an id to those of the stream.
    fn record_id(&mut self, id: &str) {
        let id = id.parse::<u64>().ok();
        let last_id = self.last_id.as_ref().and_then(|id| id.parse::<u64>().ok());
        match (&mut self.ids, id) {
            (Some(ids), id) => {
                let next_id = last_id.and_then(|id| id.checked_add(1));
                ids.is_regular &= id.is_some() && id == next_id;
                ids.count = ids.count.saturating_add(1);
            }
            (None, Some(first)) if self.last_id.is_none() => {
                self.ids = Some(Ids {
                    first,
                    is_regular: true,
                    count: 1,
                });
            }
            (None, _) => {}
        }
    }

    /// Begins another run after one that was lost. It is to go on after [`Sequence::last_id`],
    /// or to check the same end if the lost one should have and added nothing.
    pub fn begin_run(&mut self) {
        let is_unchecked = self.check != Check::None && !self.has_run_event;
        self.check = if is_unchecked {
            Check::Awaiting
        } else {
            Check::None
        };
        self.has_run_event = false;
    }

    /// Begins a run that checks an unstated end.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{Conclusion, Event, Framing, Place, Proof, Sequence};
    /// let mut sequence = Sequence::after("1");
    /// sequence.admit(Event { id: Some("2") }).unwrap();
    /// let end = sequence.conclude(Framing::Connection, false);
    /// assert_eq!(end, Conclusion::Unstated);
    /// sequence.begin_check();
    /// assert_eq!(sequence.asked_id(), Some("1"));
    /// assert_eq!(sequence.admit(Event { id: Some("2") }), Ok(Place::Repeated));
    /// let end = sequence.conclude(Framing::Chunks, false);
    /// assert_eq!(end, Conclusion::Complete(Proof::Repeated));
    /// ```
    pub fn begin_check(&mut self) {
        self.check = Check::Awaiting;
        self.has_run_event = false;
    }

    /// Begins a run that checks whether the stream ends behind its last event, as a run found
    /// nothing there. Returns `false`, and leaves the sequence as it is, if the event before the
    /// last one is unknown.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::numbering::{Ids, Numbering};
    /// use cranberryridge_policy::answer::{Conclusion, Event, Framing, Place, Proof, Sequence};
    /// let mut sequence = Sequence::after("5");
    /// assert!(!sequence.begin_check_of_empty_run());
    /// let mut numbering = Numbering::default();
    /// (0..8).for_each(|_| numbering.record(Ids { first: 1, is_regular: true, count: 5 }));
    /// sequence.expect(numbering);
    /// assert!(sequence.begin_check_of_empty_run());
    /// assert_eq!(sequence.asked_id(), Some("4"));
    /// assert_eq!(sequence.admit(Event { id: Some("5") }), Ok(Place::Repeated));
    /// let end = sequence.conclude(Framing::Chunks, false);
    /// assert_eq!(end, Conclusion::Complete(Proof::Repeated));
    /// ```
    pub fn begin_check_of_empty_run(&mut self) -> bool {
        if self.has_unnumbered {
            return false;
        }
        // The caller named the last event, and has those before it from another answer.
        if self.previous_id.is_none() && self.ids.is_none() {
            let Some(first) = self.expected_first_id else {
                return false;
            };
            let last = self.last_id().and_then(|id| id.parse::<u64>().ok());
            let Some(last) = last.filter(|last| *last >= first) else {
                return false;
            };
            self.previous_id = (last > first).then(|| (last - 1).to_compact_string());
        }
        self.begin_check();
        true
    }

    /// Adds the next event of the current run, unless the caller has it.
    ///
    /// # Errors
    ///
    /// Returns why the event must not be passed on, after which the run is of no use.
    pub fn admit(&mut self, event: Event<'_>) -> Result<Place, Disorder> {
        if self.check == Check::Awaiting {
            if event.id.is_none() || event.id != self.last_id() {
                return Err(Disorder::Unrepeated);
            }
            self.check = Check::Repeated;
            return Ok(Place::Repeated);
        }
        match (event.id, &self.last_id) {
            (None, _) if self.is_unproven() || self.expected_first_id.is_some() => {
                return Err(Disorder::Unnumbered)
            }
            (None, _) => self.has_unnumbered = true,
            (Some(id), Some(last)) if !follows(id, last) => return Err(Disorder::Backward),
            (Some(id), _) if self.leaves_gap(id) => return Err(Disorder::Gap),
            (Some(id), _) => {
                self.record_id(id);
                self.previous_id = self.last_id.replace(id.into());
                self.has_unnumbered = false;
            }
        }
        self.has_run_event = true;
        Ok(Place::Next)
    }

    /// Returns the id of the last event with one that the caller has.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns the id of the event after which the current run is to begin, or `None` if it
    /// begins with the first one.
    pub fn asked_id(&self) -> Option<&str> {
        match self.check {
            Check::None => self.last_id(),
            Check::Awaiting | Check::Repeated => self.previous_id.as_deref(),
        }
    }

    /// Returns whether the current run checks an end and has added nothing.
    pub fn is_checking(&self) -> bool {
        self.check != Check::None && !self.has_run_event
    }

    /// Returns whether the current run has yet to show that it goes on after the last event.
    /// What it sends beside events until then is not passed on.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::{Event, Sequence};
    /// let mut sequence = Sequence::after("2");
    /// assert!(sequence.is_unproven());
    /// sequence.admit(Event { id: Some("3") }).unwrap();
    /// assert!(!sequence.is_unproven());
    /// ```
    pub fn is_unproven(&self) -> bool {
        match self.check {
            Check::None => self.last_id.is_some() && !self.has_run_event,
            Check::Awaiting => true,
            Check::Repeated => false,
        }
    }

    /// Returns whether another run can be asked for exactly what the caller lacks.
    pub fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Returns what the end of the current run means, whose transport reported no error.
    /// `is_inside` tells whether it came inside an event.
    pub fn conclude(&self, framing: Framing, is_inside: bool) -> Conclusion {
        let has_repeated = self.check == Check::Repeated;
        if is_inside || !(self.has_run_event || has_repeated) {
            return Conclusion::Broken;
        }
        if !framing.states_end() {
            return Conclusion::Unstated;
        }
        Conclusion::Complete(if self.has_run_event {
            Proof::Stated
        } else {
            Proof::Repeated
        })
    }
}

/// Returns whether the event `id` comes after the event `last`. Ids that are not numbers
/// tell only that two events are not the same.
fn follows(id: &str, last: &str) -> bool {
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id > last,
        (Err(_), Err(_)) => id != last,
        _ => false,
    }
}
