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
const LOOK: Duration = Duration::from_secs(5);

/// Longest time that an engine may take over an order. An answer that is later
/// counts as lost, and the state that is read next tells.
const TIMEOUT: Duration = Duration::from_secs(120);

/// An order at its offset in the log.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Offset in the log.
    pub offset: u64,
    /// The order.
    pub order: Order,
}

/// Hands the log's orders to those who order the engines beside this sidecar.
#[derive(Debug)]
pub struct Desks {
    /// The sidecar's name.
    sidecar: CompactString,
    /// The orderers, by endpoint.
    desks: Vec<mpsc::UnboundedSender<Placed>>,
}

impl Desks {
    /// Desks for the endpoints of a sidecar, and where their orders arrive.
    pub fn new(
        sidecar: &CompactString,
        endpoints: usize,
    ) -> (Self, Vec<mpsc::UnboundedReceiver<Placed>>) {
        let channels = (0..endpoints).map(|_| mpsc::unbounded_channel());
        let (desks, orders) = channels.unzip();
        let sidecar = sidecar.clone();
        (Self { sidecar, desks }, orders)
    }
}

impl Sink for Desks {
    fn handle_page(&self, page: &Page) {
        for entry in &page.records {
            let Ok(Record::Order(order)) = serde_json::from_str(&entry.data) else {
                continue;
            };
            let desk = self.desks.get(usize::from(order.endpoint));
            let Some(desk) = desk.filter(|_| order.sidecar == self.sidecar) else {
                continue;
            };
            let offset = entry.offset;
            // An orderer ends with the runtime only.
            let _ = desk.send(Placed { offset, order });
        }
    }

    fn handle_trim(&self, _: u64) {}
}

/// An order as an engine takes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sheet {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub action: Action,
    /// The model, adapter, version or role.
    pub target: String,
}

/// An engine's state as it tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Highest fencing number that it has seen, 0 where it keeps none.
    pub fence: u64,
    /// What is loaded.
    pub loaded: Vec<String>,
    /// Its role.
    pub role: String,
}

impl From<Told> for State {
    fn from(told: Told) -> Self {
        Self {
            fence: told.fence,
            loaded: told.loaded.into_iter().map(Into::into).collect(),
            role: told.role.into(),
        }
    }
}

/// Orders one engine about for ever: one order at a time, each verified by
/// reading the engine back.
pub async fn run<N: Net>(
    client: Client<N>,
    mut orders: mpsc::UnboundedReceiver<Placed>,
    metrics: Metrics,
    logger: Logger,
) {
    let mut reconciler = Reconciler::default();
    loop {
        tokio::select! {
            placed = orders.recv() => {
                let Some(placed) = placed else { return };
                reconciler.apply(placed.offset, &placed.order);
            }
            () = tokio::time::sleep(LOOK) => {}
        }
        while let Ok(placed) = orders.try_recv() {
            reconciler.apply(placed.offset, &placed.order);
        }
        settle(&client, &mut reconciler, &metrics, &logger).await;
    }
}

/// Reads and orders until the engine is as it should be or cannot be reached.
async fn settle<N: Net>(
    client: &Client<N>,
    reconciler: &mut Reconciler,
    metrics: &Metrics,
    logger: &Logger,
) {
    while let Ok(state) = read(client).await {
        let Step::Send(command) = reconciler.reconcile(&state) else {
            return;
        };
        info!(logger, "order: sent"; "fence" => command.fence, "target" => %command.target);
        metrics.count("order.sent");
        match send(client, &command).await {
            Answer::Taken => {
                reconciler.record_answer(true);
            }
            Answer::Refused => {
                warn!(logger, "order: refused"; "target" => %command.target);
                metrics.count("order.refused");
                reconciler.record_answer(false);
            }
            Answer::Unclear => {
                metrics.count("order.unclear");
                reconciler.record_answer(true);
                return;
            }
        }
    }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// The engine took it.
    Taken,
    /// The engine said no.
    Refused,
    /// Nobody can tell until the engine is read again.
    Unclear,
}

/// Reads an engine's state.
async fn read<N: Net>(client: &Client<N>) -> Result<State, client::Error> {
    let mut request = Request::new(Full::default());
    *request.uri_mut() = http::Uri::from_static("/orders");
    let answer = client.fetch(request).await?;
    let told = serde_json::from_slice::<Told>(answer.body());
    told.map(State::from)
        .map_err(|error| client::Error::Unreadable(error.into()))
}

/// Sends an order.
async fn send<N: Net>(client: &Client<N>, command: &Command) -> Answer {
    let sheet = Sheet {
        fence: command.fence,
        action: command.action,
        target: command.target.to_string(),
    };
    // An order always has a JSON form.
    let body = serde_json::to_vec(&sheet).unwrap_or_default();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static("/orders");
    match tokio::time::timeout(TIMEOUT, client.fetch(request)).await {
        Ok(Ok(answer)) if answer.status() == StatusCode::OK => Answer::Taken,
        Ok(Ok(answer)) if answer.status().is_client_error() => Answer::Refused,
        _ => Answer::Unclear,
    }
}
