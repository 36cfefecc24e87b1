//! Sends the orders in the log to the engines of this sidecar.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use tokio::sync::mpsc;

use cranberryridge_policy::order::{Command, Reconciler, State, Step};
use cranberryridge_wire::record::{Action, Order, Record};

use super::engine::MAX_DOCUMENT_BYTES;
use crate::client::{self, Client};
use crate::config::Sink;
use crate::metrics::Metrics;
use crate::net::Net;
use crate::platform::log::Page;

/// Polling interval of an engine in its desired state, which corrects the effect of stale
/// orders on an engine that ignores fencing numbers.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time that an engine may take to execute an order. A later answer counts as
/// lost; the state that is read next shows whether the order took effect.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time that an engine may take to report its state.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);

/// An order with its offset in the log.
#[derive(Clone, Debug)]
pub struct LogOrder {
    /// Offset in the log.
    pub offset: u64,
    /// The order, which is for one engine of this sidecar.
    pub order: Order,
}

/// Dispatches the orders in the log to the tasks that send them to the engines.
#[derive(Debug)]
pub struct Dispatcher {
    /// Name of this sidecar; orders for other sidecars are ignored.
    sidecar: CompactString,
    /// Channels to the tasks, by endpoint index.
    senders: Vec<mpsc::UnboundedSender<LogOrder>>,
}

impl Dispatcher {
    /// Creates a dispatcher, and a receiver for each endpoint of a sidecar.
    pub fn new(
        sidecar: &CompactString,
        endpoints: usize,
    ) -> (Self, Vec<mpsc::UnboundedReceiver<LogOrder>>) {
        let channels = (0..endpoints).map(|_| mpsc::unbounded_channel());
        let (senders, orders) = channels.unzip();
        let sidecar = sidecar.clone();
        (Self { sidecar, senders }, orders)
    }
}

impl Sink for Dispatcher {
    fn handle_page(&self, page: &Page) {
        for entry in &page.records {
            let Ok(Record::Order(order)) = serde_json::from_str(&entry.data) else {
                continue;
            };
            let sender = self.senders.get(usize::from(order.endpoint));
            let Some(sender) = sender.filter(|_| order.sidecar == self.sidecar) else {
                continue;
            };
            let offset = entry.offset;
            // Sending fails for a plain service, which takes no orders, or as the runtime ends.
            let _ = sender.send(LogOrder { offset, order });
        }
    }

    fn handle_trim(&self, _: u64) {}
}

/// JSON body of an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Payload {
    /// Fencing number: the offset of the newest known order in the log, plus 1.
    pub fence: u64,
    /// What to do with the target.
    pub action: Action,
    /// Model, adapter, version or role.
    pub target: String,
}

/// JSON report of an engine on its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Highest fencing number that the engine has seen; 0 if it does not track them.
    pub fence: u64,
    /// Models, adapters and versions that are loaded.
    pub loaded: Vec<String>,
    /// Role; empty if the engine has none.
    pub role: String,
}

impl From<Report> for State {
    fn from(report: Report) -> Self {
        Self {
            fence: report.fence,
            loaded: report.loaded.into_iter().map(Into::into).collect(),
            role: report.role.into(),
        }
    }
}

/// Sends orders to one engine until the channel closes: one at a time, and after each one
/// reads the engine's state to verify it.
pub async fn run<N: Net>(
    client: Client<N>,
    mut orders: mpsc::UnboundedReceiver<LogOrder>,
    metrics: Metrics,
    logger: Logger,
) {
    let client = client.with_max_body_bytes(MAX_DOCUMENT_BYTES);
    let mut reconciler = Reconciler::default();
    loop {
        tokio::select! {
            entry = orders.recv() => {
                let Some(entry) = entry else { return };
                reconciler.apply(entry.offset, &entry.order);
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
        while let Ok(entry) = orders.try_recv() {
            reconciler.apply(entry.offset, &entry.order);
        }
        reconcile(&client, &mut reconciler, &metrics, &logger).await;
    }
}

/// Reads the engine's state and sends orders until the engine is in its desired state,
/// cannot be reached or gives no clear answer.
async fn reconcile<N: Net>(
    client: &Client<N>,
    reconciler: &mut Reconciler,
    metrics: &Metrics,
    logger: &Logger,
) {
    while let Ok(state) = read_state(client).await {
        let Step::Send(command) = reconciler.reconcile(&state) else {
            return;
        };
        info!(logger, "order: sent"; "fence" => command.fence, "target" => %command.target);
        metrics.count("order.sent");
        match send(client, &command).await {
            Outcome::Accepted => {
                reconciler.record_answer(true);
            }
            Outcome::Refused => {
                warn!(logger, "order: refused"; "target" => %command.target);
                metrics.count("order.refused");
                reconciler.record_answer(false);
            }
            Outcome::Unclear => {
                metrics.count("order.unclear");
                reconciler.record_answer(true);
                return;
            }
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine answered with a client error.
    Refused,
    /// Unknown until the engine's state is read again.
    Unclear,
}

/// Reads the state that an engine reports.
async fn read_state<N: Net>(client: &Client<N>) -> Result<State, client::Error> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static("/orders");
    let answer = tokio::time::timeout(STATE_TIMEOUT, client.fetch(request)).await;
    let answer = answer.map_err(|error| client::Error::Unreadable(error.into()))??;
    let report = serde_json::from_slice::<Report>(answer.body());
    report
        .map(State::from)
        .map_err(|error| client::Error::Unreadable(error.into()))
}

/// Sends an order to an engine.
async fn send<N: Net>(client: &Client<N>, command: &Command) -> Outcome {
    let payload = Payload {
        fence: command.fence,
        action: command.action,
        target: command.target.to_string(),
    };
    // An order can always be serialized as JSON.
    let body = serde_json::to_vec(&payload).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("/orders");
    match tokio::time::timeout(ORDER_TIMEOUT, client.fetch(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => Outcome::Accepted,
        Ok(Ok(answer)) if answer.status().is_client_error() => Outcome::Refused,
        _ => Outcome::Unclear,
    }
}
