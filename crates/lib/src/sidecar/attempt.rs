//! What every attempt at a sidecar begins with: its place.

use std::time::Duration;

use cranberryridge_policy::gate::Demand;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::message::{Call, Down, Refusal, Up, Wait};

use super::control::{Answer, Permit};
use super::Shared;
use crate::clock::Clock;
use crate::stream::{Receiver, Sender};

/// When to come back after a refusal for want of room.
const RETRY: Duration = Duration::from_millis(100);

/// Both halves of an attempt's stream.
#[derive(Debug)]
pub struct Streams {
    /// To the entry.
    pub sender: Sender,
    /// From the entry.
    pub receiver: Receiver,
}

impl Streams {
    /// Refuses the attempt as not run.
    pub async fn refuse(&mut self, code: Code, retry: Duration) {
        let refusal = Down::Refused(Refusal {
            code,
            retry: retry.into(),
        });
        // An entry that is gone needs no refusal.
        let _ = self.sender.send(&refusal).await;
        self.sender.finish();
    }
}

/// Waits for a place and tells the entry. `None` when the attempt was refused
/// or given up; a place that was asked for is free again then.
pub async fn admit<N, C: Clock>(
    shared: &Shared<N, C>,
    call: &Call,
    needs: Demand,
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
        ..needs
    };
    let mut pending = shared.control.ask(endpoint, demand, call.digest);
    loop {
        let answer = tokio::select! {
            biased;
            answer = pending.next() => answer,
            _ = streams.sender.cancelled() => return None,
            // Nothing is due from the entry while it waits, so this is its end.
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
                streams.refuse(code, RETRY).await;
                return None;
            }
        }
    }
}
