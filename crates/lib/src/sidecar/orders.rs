//! Drives the orders to the engines beside this sidecar.

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

use crate::client::{self, Client};
use crate::config::Sink;
use crate::metrics::Metrics;
use crate::net::Net;
use crate::platform::log::Page;

/// Time between looks at an engine that is as it should be, which puts right
/// what a stale order did to an engine that ignores fencing numbers.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Longest time that an engine may take over an order. An answer that is later
/// counts as lost, and the state that is read next tells.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// An order at its offset in the log.
#[derive(Clone, Debug)]
pub struct LogOrder {
    /// Offset in the log.
    pub offset: u64,
    /// The order.
    pub order: Order,
}

/// Hands the log's orders to those who order the engines beside this sidecar.
#[derive(Debug)]
pub struct Dispatcher {
    /// The sidecar's name.
    sidecar: CompactString,
    /// The orderers, by endpoint.
    senders: Vec<mpsc::UnboundedSender<LogOrder>>,
}

impl Dispatcher {
    /// Dispatcher for the endpoints of a sidecar, and where their orders arrive.
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
    fn page(&self, page: &Page) {
        for entry in &page.records {
            let Ok(Record::Order(order)) = serde_json::from_str(&entry.data) else {
                continue;
            };
            let sender = self.senders.get(usize::from(order.endpoint));
            let Some(sender) = sender.filter(|_| order.sidecar == self.sidecar) else {
                continue;
            };
            let offset = entry.offset;
            // An orderer ends with the runtime only.
            let _ = sender.send(LogOrder { offset, order });
        }
    }

    fn trimmed(&self, _: u64) {}
}

/// An order as an engine takes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Payload {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// The model, adapter, version or role.
    pub target: String,
}

/// An engine's state as it tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Highest fencing number that it has seen, 0 where it keeps none.
    pub fence: u64,
    /// What is loaded.
    pub loaded: Vec<String>,
    /// Its role.
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

/// Orders one engine about for ever: one order at a time, each verified by
/// reading the engine back.
pub async fn run<N: Net>(
    client: Client<N>,
    mut orders: mpsc::UnboundedReceiver<LogOrder>,
    metrics: Metrics,
    logger: Logger,
) {
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

/// Reads and orders until the engine is as it should be or cannot be reached.
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

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine took it.
    Accepted,
    /// The engine said no.
    Refused,
    /// Nobody can tell until the engine is read again.
    Unclear,
}

/// Reads an engine's state.
async fn read_state<N: Net>(client: &Client<N>) -> Result<State, client::Error> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static("/orders");
    let answer = client.fetch(request).await?;
    let report = serde_json::from_slice::<Report>(answer.body());
    report
        .map(State::from)
        .map_err(|error| client::Error::Unreadable(error.into()))
}

/// Sends an order.
async fn send<N: Net>(client: &Client<N>, command: &Command) -> Outcome {
    let payload = Payload {
        fence: command.fence,
        action: command.action,
        target: command.target.to_string(),
    };
    // An order always has a JSON form.
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
