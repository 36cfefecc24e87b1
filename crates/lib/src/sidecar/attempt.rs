//! Streams of attempts, and admission of the attempts to their endpoints.

use std::time::Duration;

use cranberryridge_policy::gate::Demand;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::message::{Call, Down, Refusal, Up, Wait};

use super::control::{Answer, Permit};
use super::Shared;
use crate::clock::Clock;
use crate::stream::{Receiver, Sender};

/// Retry delay of an attempt that the gate refuses.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Both directions of an attempt's stream.
#[derive(Debug)]
pub struct Streams {
    /// Sends messages to the entry.
    pub sender: Sender,
    /// Receives messages from the entry.
    pub receiver: Receiver,
}

impl Streams {
    /// Refuses the attempt, which did not run. `retry` is how long the entry should wait
    /// before it tries again.
    pub async fn refuse(&mut self, code: Code, retry: Duration) {
        let refusal = Down::Refused(Refusal {
            code,
            retry: retry.into(),
        });
        // The entry may be gone and then needs no refusal.
        let _ = self.sender.send(&refusal).await;
        self.sender.finish();
    }
}

/// Waits for a slot and reports the result to the entry. Returns `None` if the attempt was
/// refused or given up; its slot or place in the queue is then released.
///
/// The due time and the waiting rules of `demand` are replaced by those of the call.
pub async fn admit<N, C: Clock>(
    shared: &Shared<N, C>,
    call: &Call,
    demand: Demand,
    streams: &mut Streams,
) -> Option<Permit> {
    let endpoint = usize::from(call.endpoint);
    if endpoint >= shared.settings.endpoints.len() {
        streams.refuse(Code::NoEndpoint, Duration::ZERO).await;
        return None;
    }

    let demand = Demand {
        due: shared.clock.now() + Duration::from(call.due),
        serve_late: call.late,
        max_wait: call.patience.into(),
        ..demand
    };
    let mut pending = shared.control.request(endpoint, demand, call.digest);
    loop {
        let answer = tokio::select! {
            biased;
            answer = pending.next() => answer,
            _ = streams.sender.cancelled() => return None,
            // The entry sends no message while it waits, so the stream has ended.
            _ = streams.receiver.next::<Up>() => return None,
        };
        match answer {
            Answer::Granted(permit) => {
                let granted = Down::Granted(Wait {
                    wait: Duration::ZERO.into(),
                });
                streams.sender.send(&granted).await.ok()?;
                return Some(permit);
            }
            Answer::Queued(wait) => {
                let queued = Down::Queued(Wait { wait: wait.into() });
                streams.sender.send(&queued).await.ok()?;
            }
            Answer::Refused(code) => {
                shared.metrics.count_refusal(code);
                streams.refuse(code, RETRY_DELAY).await;
                return None;
            }
        }
    }
}
