//! Learns whether the ids of a service's events count by one, so that a gap shows a lost event.
//!
//! The protocol only says that ids increase. Engines that count events leave no gap in any stream,
//! and engines that count tokens leave one in almost each, so that a few streams tell which.

/// Least number of streams of one kind from which the numbering is known.
const MIN_STREAMS: u32 = 8;

/// Least number of events of a stream that counts. Shorter ones have no gap however their engine
/// numbers events.
const MIN_EVENTS: u32 = 4;

/// Number of streams above which earlier ones count half, so that a change is learned.
const MAX_STREAMS: u32 = 32;

/// Ids of a stream's events, from its first one on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ids {
    /// Id of the first event.
    pub first: u64,
    /// Whether each further id is one more than the one before.
    pub is_regular: bool,
    /// Number of events with an id.
    pub count: u32,
}

/// What streams have shown of a numbering.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Ids count by one.
    Regular {
        /// Id of the first event.
        first: u64,
    },
    /// Ids have gaps in whole streams.
    Irregular,
}

/// Numbering of events by the engines of a service.
///
/// # Examples
///
/// ```
/// use cranberryridge_policy::answer::numbering::{Ids, Numbering};
/// let mut numbering = Numbering::default();
/// assert_eq!(numbering.first_id(), None);
/// for _ in 0..8 {
///     numbering.record(Ids { first: 1, is_regular: true, count: 4 });
/// }
/// assert_eq!(numbering.first_id(), Some(1));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Numbering {
    /// Id with which regular streams begin.
    first_id: u64,
    /// Number of streams that began with this id and whose ids counted by one.
    regular: u32,
    /// Number of all other streams.
    other: u32,
}

impl From<Finding> for Numbering {
    /// Creates the numbering of a finding by another host, or at another software version. As
    /// many streams as a finding needs overturn it.
    fn from(finding: Finding) -> Self {
        match finding {
            Finding::Regular { first } => Self {
                first_id: first,
                regular: MIN_STREAMS,
                other: 0,
            },
            Finding::Irregular => Self {
                other: MIN_STREAMS,
                ..Self::default()
            },
        }
    }
}

impl Numbering {
    /// Records a stream whose end was stated.
    pub fn record(&mut self, ids: Ids) {
        if ids.count < MIN_EVENTS {
            return;
        }
        self.age();
        if ids.is_regular && self.regular == 0 {
            self.first_id = ids.first;
        }
        if ids.is_regular && ids.first == self.first_id {
            self.regular += 1;
        } else {
            self.other += 1;
        }
    }

    /// Records a run that was given up, as it left a gap.
    pub fn record_gap(&mut self) {
        self.age();
        self.other += 1;
    }

    /// Makes room for a further stream.
    fn age(&mut self) {
        if self.regular + self.other >= MAX_STREAMS {
            self.regular /= 2;
            self.other /= 2;
        }
    }

    /// Returns what the recorded streams show, or `None` if they show nothing yet.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::numbering::{Finding, Numbering};
    /// let mut numbering = Numbering::default();
    /// assert_eq!(numbering.finding(), None);
    /// (0..8).for_each(|_| numbering.record_gap());
    /// assert_eq!(numbering.finding(), Some(Finding::Irregular));
    /// ```
    pub fn finding(&self) -> Option<Finding> {
        if self.regular >= MIN_STREAMS && self.regular > self.other {
            return Some(Finding::Regular {
                first: self.first_id,
            });
        }
        let is_irregular = self.other >= MIN_STREAMS && self.other > 2 * self.regular;
        is_irregular.then_some(Finding::Irregular)
    }

    /// Returns whether too few streams are recorded to tell anything, so that what is known
    /// elsewhere counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use cranberryridge_policy::answer::numbering::{Finding, Numbering};
    /// assert!(Numbering::default().has_few_streams());
    /// assert!(!Numbering::from(Finding::Irregular).has_few_streams());
    /// ```
    pub fn has_few_streams(&self) -> bool {
        self.regular + self.other < MIN_STREAMS
    }

    /// Returns the id of the first event of each stream if ids count by one from there, or
    /// `None` if they do not or this is not known.
    pub fn first_id(&self) -> Option<u64> {
        match self.finding() {
            Some(Finding::Regular { first }) => Some(first),
            _ => None,
        }
    }
}
