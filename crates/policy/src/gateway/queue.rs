//! The order of requests that wait for room.
//!
//! Requests that can still be on time go first, the smallest first: in a burst
//! a small one leaves room for more of them. Late ones follow, the one that
//! gives up soonest first.

use std::time::{Duration, Instant};

/// Predicted time from room to the first event, within which a request counts
/// as late already.
pub const FIRST_EVENT_LEAD_TIME: Duration = Duration::from_millis(200);

/// Requests that wait, by ticket.
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
    /// The requests, in order of arrival.
    entries: Vec<(Ticket, Entry)>,
    /// Number of the next ticket.
    next_ticket: u64,
}

/// A request's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Until when its first event is on time.
    pub first_event_target: Instant,
    /// Until when its caller waits for it.
    pub first_event_deadline: Instant,
    /// Memory and time that it takes, as tokens.
    pub size: u32,
}

impl Entry {
    /// Whether it cannot be on time any more, when a first event takes `lead`.
    pub fn is_late(&self, now: Instant, lead_time: Duration) -> bool {
        now + lead_time > self.first_event_target
    }

    /// What the requests are ordered by, the least first.
    fn rank(&self, now: Instant, lead_time: Duration) -> Rank {
        if self.is_late(now, lead_time) {
            Rank::Late(self.first_event_deadline)
        } else {
            Rank::OnTime(self.size)
        }
    }
}

/// A request's rank in the order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It can be on time, and has this size.
    OnTime(u32),
    /// It is late, and of use until then.
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

    /// The request that gets the next room, when a first event takes `lead`.
    pub fn next(&self, now: Instant, lead_time: Duration) -> Option<Ticket> {
        let entries = self.entries.iter();
        let first = entries.min_by_key(|(_, entry)| entry.rank(now, lead_time));
        first.map(|(ticket, _)| *ticket)
    }

    /// Requests that wait, in the order in which they get room.
    pub fn ordered(&self, now: Instant, lead_time: Duration) -> Vec<(Ticket, Entry)> {
        let mut entries = self.entries.clone();
        entries.sort_by_key(|(_, entry)| entry.rank(now, lead_time));
        entries
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
