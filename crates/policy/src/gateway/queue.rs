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
        let on_time = rows.filter(|(_, entry)| now + lead <= entry.target);
        if let Some((ticket, _)) = on_time.min_by_key(|(_, entry)| entry.size) {
            return Some(*ticket);
        }
        let last = self.rows.iter().min_by_key(|(_, entry)| entry.patience);
        last.map(|(ticket, _)| *ticket)
    }

    /// Requests that wait, in the order in which they get room.
    pub fn order(&self, now: Instant, lead: Duration) -> Vec<(Ticket, Entry)> {
        let mut rows = self.rows.clone();
        rows.sort_by_key(|(_, entry)| {
            let late = now + lead > entry.target;
            let size = if late { 0 } else { entry.size };
            (late, size, entry.patience)
        });
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
