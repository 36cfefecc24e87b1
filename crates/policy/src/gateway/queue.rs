//! The order of requests that wait for room.
//!
//! Requests that can still be on time go first, the smallest first: in a burst
//! a small one leaves room for more of them. Late ones follow, the one that
//! gives up soonest first.

use std::time::{Duration, Instant};

/// Predicted time from room to the first event, within which a request counts
/// as late already.
pub const LEAD: Duration = Duration::from_millis(200);

/// Requests that wait, by ticket.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, Instant};
/// use cranberryridge_policy::gateway::queue::{Entry, Queue};
/// let (mut queue, now) = (Queue::default(), Instant::now());
/// let second = Duration::from_secs(1);
/// let late = queue.enter(Entry { target: now, patience: now + second * 4, size: 9 });
/// let fresh = queue.enter(Entry { target: now + second, patience: now + second * 4, size: 9 });
/// assert_eq!(queue.next(now, second / 5), Some(fresh));
/// queue.leave(fresh);
/// assert_eq!(queue.next(now, second / 5), Some(late));
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    /// The requests, in order of arrival.
    rows: Vec<(Ticket, Entry)>,
    /// Number of the next ticket.
    next: u64,
}

/// A request's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Until when its first event is on time.
    pub target: Instant,
    /// Until when its caller waits for it.
    pub patience: Instant,
    /// Memory and time that it takes, as tokens.
    pub size: u32,
}

impl Entry {
    /// Whether it cannot be on time any more, when a first event takes `lead`.
    pub fn is_late(&self, now: Instant, lead: Duration) -> bool {
        now + lead > self.target
    }

    /// What the requests are ordered by, the least first.
    fn rank(&self, now: Instant, lead: Duration) -> Rank {
        if self.is_late(now, lead) {
            Rank::Late(self.patience)
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
    pub fn enter(&mut self, entry: Entry) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.rows.push((ticket, entry));
        ticket
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: Ticket) {
        self.rows.retain(|(other, _)| *other != ticket);
    }

    /// The request that gets the next room, when a first event takes `lead`.
    pub fn next(&self, now: Instant, lead: Duration) -> Option<Ticket> {
        let rows = self.rows.iter();
        let first = rows.min_by_key(|(_, entry)| entry.rank(now, lead));
        first.map(|(ticket, _)| *ticket)
    }

    /// Requests that wait, in the order in which they get room.
    pub fn order(&self, now: Instant, lead: Duration) -> Vec<(Ticket, Entry)> {
        let mut rows = self.rows.clone();
        rows.sort_by_key(|(_, entry)| entry.rank(now, lead));
        rows
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
