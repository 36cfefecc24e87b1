//! Orders the requests that wait for room.
//!
//! Requests that can still be on time go first, the most urgent of them first. Among equally
//! urgent ones, those of accounts that ask for more than others wait. Among the rest, the smallest
//! goes first, since in a burst the room of one large request serves several small ones. Late
//! requests follow in the same order, but by their deadlines instead of their sizes.

use std::time::{Duration, Instant};

use super::account::Urgency;

/// Predicted time from getting room to the first event. A request with less time left
/// to its target counts as late.
pub const FIRST_EVENT_LEAD_TIME: Duration = Duration::from_millis(200);

/// Queue of requests that wait for room.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::queue::{Entry, Queue};
/// let (mut queue, now) = (Queue::default(), Instant::now());
/// let second = Duration::from_secs(1);
/// use cranberryridge_policy::gateway::account::Urgency;
/// let late = queue.push(Entry {
///     urgency: Urgency::default(),
///     excess: 0,
///     first_event_target: now,
///     first_event_deadline: now + second * 4,
///     size: 9,
/// });
/// let fresh = queue.push(Entry {
///     urgency: Urgency::default(),
///     excess: 0,
///     first_event_target: now + second,
///     first_event_deadline: now + second * 4,
///     size: 9,
/// });
/// assert_eq!(queue.next(now, second / 5), Some(fresh));
/// queue.remove(fresh);
/// assert_eq!(queue.next(now, second / 5), Some(late));
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    /// Requests in order of arrival.
    entries: Vec<(Ticket, Entry)>,
    next_ticket: u64,
    /// Urgency that goes before all others, so that it is not starved.
    preferred: Option<Urgency>,
}

/// Identifies a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Time by which the first event must arrive to be on time.
    pub first_event_target: Instant,
    /// Time after which a first event is useless to the caller.
    pub first_event_deadline: Instant,
    /// Measure of memory and time, in tokens.
    pub size: u32,
    /// Rank among others.
    pub urgency: Urgency,
    /// Rank of the client account among others, 0 unless it asks for more than they do.
    pub excess: u32,
}

impl Entry {
    /// Returns whether the first event will be late if it takes `lead_time`.
    pub fn is_late(&self, now: Instant, lead_time: Duration) -> bool {
        now + lead_time > self.first_event_target
    }

    /// Returns the sort key. The least goes first.
    fn rank(&self, now: Instant, lead_time: Duration) -> Rank {
        let is_late = self.is_late(now, lead_time);
        Rank {
            is_late,
            urgency: self.urgency,
            excess: self.excess,
            deadline: is_late.then_some(self.first_event_deadline),
            size: if is_late { 0 } else { self.size },
        }
    }
}

/// Sort key of a request.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    urgency: Urgency,
    excess: u32,
    /// Deadline of a late request.
    deadline: Option<Instant>,
    /// Size of a request that can be on time.
    size: u32,
}

impl Queue {
    /// Adds a request.
    pub fn push(&mut self, entry: Entry) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.entries.push((ticket, entry));
        ticket
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|(other, _)| *other != ticket);
    }

    /// Returns the request that gets the next free room, or `None` if the queue is
    /// empty. Assumes that a first event takes `lead_time`.
    pub fn next(&self, now: Instant, lead_time: Duration) -> Option<Ticket> {
        let entries = self.entries.iter();
        let first = entries.min_by_key(|(_, entry)| {
            let is_preferred = self.preferred == Some(entry.urgency);
            (!is_preferred, entry.rank(now, lead_time))
        });
        first.map(|(ticket, _)| *ticket)
    }

    /// Sets the urgency whose requests get the next free room, whatever others wait.
    pub fn set_preferred(&mut self, urgency: Option<Urgency>) {
        self.preferred = urgency;
    }

    /// Returns the least urgency of which a late request waits, if a more urgent one waits too.
    pub fn last_late_urgency(&self, now: Instant, lead_time: Duration) -> Option<Urgency> {
        let first = self.entries.iter().map(|(_, entry)| entry.urgency).min()?;
        let late = self.entries.iter().map(|(_, entry)| entry);
        let late = late.filter(|entry| entry.is_late(now, lead_time));
        let last = late.map(|entry| entry.urgency).max()?;
        (last > first).then_some(last)
    }

    /// Returns the queued requests in the order in which they get room.
    pub fn ordered(&self, now: Instant, lead_time: Duration) -> Vec<(Ticket, Entry)> {
        let mut entries = self.entries.clone();
        entries.sort_by_key(|(_, entry)| entry.rank(now, lead_time));
        entries
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
