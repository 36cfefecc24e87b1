//! Requests of this host to the ledger for units of a client account's quota.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::mpsc;

use cranberryridge_wire::schedule::{self as wire, Down, Up};

use super::ask::{ACKNOWLEDGE_TIMEOUT, REPLY_CAPACITY};
use super::link::{active_link, QUOTA_SERVICE};
use crate::clock::Clock;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Answer to a request for units.
#[derive(Clone, Copy, Debug)]
pub enum Drawing {
    /// The ledger gave this many.
    Given(u32),
    /// The quota is used up until this time has passed.
    Exhausted(Duration),
    /// No ledger answered that has a share of the quota.
    Unavailable,
}

/// Requests `needed` units of an account's quota, and up to `wanted` if there are more.
pub(in crate::gateway) async fn draw<N: Net, C: Clock, D: Send + Sync + 'static>(
    shared: &Arc<Shared<N, C, D>>,
    account: &CompactString,
    needed: u32,
    wanted: u32,
) -> Drawing {
    let Some(link) = active_link(shared, QUOTA_SERVICE) else {
        return Drawing::Unavailable;
    };
    let number = shared.links.last_number.fetch_add(1, Ordering::Relaxed);
    let (sender, mut replies) = mpsc::channel(REPLY_CAPACITY);
    lock(&link.state).waiting.insert(number, sender);
    let request = wire::Draw {
        number,
        account: account.clone(),
        needed,
        wanted,
    };
    let _waiting = Waiting { shared, number };
    link.send(Up::Draw(request));
    match tokio::time::timeout(ACKNOWLEDGE_TIMEOUT, replies.recv()).await {
        Ok(Some(Down::Drawn(drawn))) => Drawing::Given(drawn.units),
        Ok(Some(Down::Refusal(refusal))) => Drawing::Exhausted(refusal.wait.into()),
        Ok(_) => Drawing::Unavailable,
        Err(_) => {
            shared.metrics.count("scheduler.no_answer");
            lock(&link.state).is_unresponsive = true;
            Drawing::Unavailable
        }
    }
}

/// Drops the reply channel of a request that no longer waits.
struct Waiting<'a, N, C, D> {
    shared: &'a Shared<N, C, D>,
    number: u64,
}

impl<N, C, D> Drop for Waiting<'_, N, C, D> {
    fn drop(&mut self) {
        self.shared.links.remove_waiting(self.number);
    }
}
