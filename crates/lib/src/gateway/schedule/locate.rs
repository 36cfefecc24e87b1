//! Questions of this host for the software versions that began streams.

use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

use cranberryridge_policy::gateway::origin::{is_fresh, Answers};
use cranberryridge_wire::schedule::{self as wire, Down, Up};

use super::ask::ACKNOWLEDGE_TIMEOUT;
use super::link::LINK_POLL_INTERVAL;
use crate::clock::Clock;
use crate::gateway::serve::Call;
use crate::gateway::{lock, Shared};
use crate::net::Net;

/// Longest wait for the answers of hosts, and for links to them that are being opened.
const LOCATE_TIMEOUT: Duration = Duration::from_millis(300);

/// The hosts that are asked.
#[derive(Clone, Copy, Debug)]
pub(in crate::gateway) enum Asked {
    /// The first other host that may read the list of endpoints for this one.
    Reader,
    /// Those that keep the record of the stream.
    Keepers {
        /// Whether distant hosts get time to open links and to answer.
        is_patient: bool,
    },
}

/// Asks hosts which version began a stream.
///
/// # Errors
///
/// Returns what they answered if none has a record of the stream.
pub(in crate::gateway) async fn locate<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    stream: u64,
    asked: Asked,
) -> Result<CompactString, Answers> {
    let shared = &call.shared;
    let (hosts, patience) = {
        let hosts = lock(&shared.hosts);
        match asked {
            Asked::Reader => {
                let mut readers = hosts.readers(&shared.settings.domain);
                readers.retain(|address| *address != shared.settings.scheduler);
                readers.truncate(1);
                (readers, ACKNOWLEDGE_TIMEOUT)
            }
            Asked::Keepers { is_patient } => {
                let keepers = hosts.keepers(&call.service, stream);
                let patience = if is_patient {
                    LOCATE_TIMEOUT
                } else {
                    ACKNOWLEDGE_TIMEOUT
                };
                (keepers, patience)
            }
        }
    };
    let mut answers = Answers::default();
    let asked_at = shared.clock.uptime();
    let located = ask_all(call, stream, hosts, patience, |located| {
        if let Some(version) = located.version {
            return ControlFlow::Break(version);
        }
        answers.answered += 1;
        answers.are_mixed |= located.mixed;
        // The answer may have been under way for any time.
        let age = located
            .age
            .map(|age| shared.clock.uptime().saturating_sub(asked_at) + Duration::from(age));
        let interval = shared.settings.list_interval;
        if age.is_some_and(|age| is_fresh(age, interval)) {
            answers.confirmed = answers.confirmed.take().or(located.sole);
        }
        ControlFlow::Continue(())
    });
    located
        .await
        .map_err(|silent| Answers { silent, ..answers })
}

/// Returns whether all other hosts that keep the record of a stream answer, with this version on it
/// if there is one.
pub(in crate::gateway) async fn confirm<N: Net, C: Clock, D: Send + Sync + 'static>(
    call: &Call<N, C, D>,
    stream: u64,
    version: Option<&str>,
) -> bool {
    let keepers = lock(&call.shared.hosts).keepers(&call.service, stream);
    let other = ask_all(call, stream, keepers, ACKNOWLEDGE_TIMEOUT, |located| {
        if version.is_none() || located.version.as_deref() == version {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    });
    other.await == Err(0)
}

/// Asks other hosts about a stream, until one decides with its answer.
///
/// # Errors
///
/// Returns the number of hosts that did not answer in time if none decides.
async fn ask_all<N: Net, C: Clock, D: Send + Sync + 'static, T>(
    call: &Call<N, C, D>,
    stream: u64,
    mut unasked: Vec<SocketAddr>,
    patience: Duration,
    mut decide: impl FnMut(wire::Located) -> ControlFlow<T>,
) -> Result<T, usize> {
    let shared = &call.shared;
    let number = shared.links.last_number.fetch_add(1, Ordering::Relaxed);
    unasked.retain(|address| *address != shared.settings.scheduler);
    let mut silent = unasked.len();
    let (sender, mut replies) = mpsc::channel(unasked.len().max(1));
    let _question = Question { shared, number };
    let ends_at = Instant::now() + patience;
    while silent > 0 {
        unasked.retain(|address| {
            let question = wire::Locate {
                number,
                stream,
                service: call.service.clone(),
            };
            !ask(shared, *address, question, &sender)
        });
        let now = Instant::now();
        if now >= ends_at {
            break;
        }
        let left = ends_at - now;
        let wait = if unasked.is_empty() {
            left
        } else {
            left.min(LINK_POLL_INTERVAL)
        };
        // On a timeout, the links are looked at again.
        if let Ok(Some(Down::Located(located))) = timeout(wait, replies.recv()).await {
            if let ControlFlow::Break(decided) = decide(located) {
                return Ok(decided);
            }
            silent -= 1;
        }
    }
    Err(silent)
}

/// Sends a question to a host if the link to it is up. Returns whether it was sent.
fn ask<N: Net, C: Clock, D: Send + Sync + 'static>(
    shared: &Arc<Shared<N, C, D>>,
    address: SocketAddr,
    question: wire::Locate,
    replies: &mpsc::Sender<Down>,
) -> bool {
    let link = shared.links.keep_open(shared, address);
    let mut state = lock(&link.state);
    if !state.is_up() {
        return false;
    }
    state.waiting.insert(question.number, replies.clone());
    link.sender.try_send(Up::Locate(question)).is_ok()
}

/// A question whose reply channels are removed on drop.
struct Question<'a, N, C, D> {
    shared: &'a Shared<N, C, D>,
    number: u64,
}

impl<N, C, D> Drop for Question<'_, N, C, D> {
    fn drop(&mut self) {
        self.shared.links.remove_waiting(self.number);
    }
}
