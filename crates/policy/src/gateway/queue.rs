//! Orders the requests that wait for room.
//!
//! Requests that can still be on time go first, smallest first, since in a
//! burst the room of one large request serves several small ones. Late requests
//! follow, earliest deadline first.

use std::time::{Duration, Instant};

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
/// let late = queue.push(Entry {
///     first_event_target: now,
///     first_event_deadline: now + second * 4,
///     size: 9,
/// });
/// let fresh = queue.push(Entry {
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
}

impl Entry {
    /// Returns whether the first event will be late if it takes `lead_time`.
    pub fn is_late(&self, now: Instant, lead_time: Duration) -> bool {
        now + lead_time > self.first_event_target
    }

    /// Returns the sort key. The least goes first.
    fn rank(&self, now: Instant, lead_time: Duration) -> Rank {
        if self.is_late(now, lead_time) {
            Rank::Late(self.first_event_deadline)
        } else {
            Rank::OnTime(self.size)
        }
    }
}

/// Sort key of a request.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// The request can be on time and has this size.
    OnTime(u32),
    /// The request is late and has this deadline.
    Late(Instant),
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
        let first = entries.min_by_key(|(_, entry)| entry.rank(now, lead_time));
        first.map(|(ticket, _)| *ticket)
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
