//! Moves engines between stages.
//!
//! The scheduler that hosts ask knows what all their callers want, and decides.
//! A move is first claimed_at in the store, on condition that nobody
//! claimed_at another since the record was read; the record's offset is the
//! order's fencing token. An engine is left alone for some time after each
//! record, so that two hosts never order one engine in turn.

use std::sync::Arc;
use std::time::Duration;

use cranberryridge_policy::gateway::balance::{Demand, Move};
use cranberryridge_policy::gateway::member::Endpoint;

use super::dialect::{Dialect, Order};
use super::store::{Claim, Store};
use super::{lock, Shared};
use crate::client::Client;
use crate::clock::Clock;
use crate::net::Net;

/// Time between two looks at the balance.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Engines of a service for each that is moved at one look, so that a large
/// service finds its balance as fast as a small one.
const ENGINES_PER_MOVE: usize = 16;

/// Longest time from the record of a move to its order. Well under the time
/// that an engine is left alone, with room for a slow network.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(1);

/// Decides on moves, for ever.
pub async fn run<N: Net, C: Clock, D: Dialect, S: Store>(shared: Arc<Shared<N, C, D>>, store: S) {
    loop {
        tokio::time::sleep(DECISION_INTERVAL).await;
        let demands = shared.demands.borrow().clone();
        for (service, demand) in demands {
            let engines = shared.pool().endpoints(&service).len();
            for _ in 0..(engines / ENGINES_PER_MOVE).max(1) {
                rebalance_service(&shared, &store, &service, demand).await;
            }
        }
    }
}

/// Looks at one service, and moves an engine if that is worth it.
async fn rebalance_service<N: Net, C: Clock, D: Dialect, S: Store>(
    shared: &Shared<N, C, D>,
    store: &S,
    service: &str,
    demand: Demand,
) {
    let now = shared.clock.now();
    let next = lock(&shared.moves).next_move(now, &shared.pool(), service, demand);
    let Some(order) = next else { return };
    let endpoint = shared.pool().endpoint(&order.endpoint);
    let Some(endpoint) = endpoint else { return };
    // Whatever comes of it, this engine is left alone for a while.
    lock(&shared.moves).start_cooldown(now, order.endpoint.clone());
    let Some((fencing_token, claimed_at)) = claim_engine(shared, store, &order).await else {
        return;
    };
    let outcome = send_order(shared, &endpoint, &order, fencing_token, claimed_at).await;
    // An order without an answer may be carried out.
    if matches!(outcome, Outcome::Accepted | Outcome::NoAnswer) {
        lock(&shared.moves).record_order(now, order.clone());
        shared.moves(now, &order.endpoint, order.phase);
        shared.metrics.count("engine.moved");
    }
    slog::info!(shared.logger, "engines: move ordered";
        "endpoint" => %order.endpoint, "phase" => ?order.phase, "token" => fencing_token,
        "reading" => demand.prefill_engines, "generating" => demand.decode_engines,
        "outcome" => ?outcome);
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The engine carries it out.
    Accepted,
    /// The engine may carry it out.
    NoAnswer,
    /// The engine does not.
    Refused,
    /// It was not given, as the engine told nothing of itself.
    NoReport,
    /// It was not given, as the engine is busy with another or needs none.
    Needless,
    /// It was not given, as its claim was too long ago.
    TooLate,
}

/// Records a move in the store. Returns its fencing token, and when that was.
async fn claim_engine<N, C: Clock, D, S: Store>(
    shared: &Shared<N, C, D>,
    store: &S,
    order: &Move,
) -> Option<(u64, Duration)> {
    let limit = shared.settings.call;
    let claimed_at = shared.clock.uptime();
    let claims = tokio::time::timeout(limit, store.claims()).await;
    let Ok(Ok(claims)) = claims else {
        slog::debug!(shared.logger, "engines: moves not read, none is ordered");
        return None;
    };
    let now = shared.clock.now();
    let entries = claims.entries.iter();
    let new_claims = entries
        .filter(|entry| lock(&shared.moves).record_claim(now, entry.offset, &entry.claim.order));
    // What was decided without knowing of these claims may be wrong.
    if new_claims.count() > 0 {
        return None;
    }
    let claim = Claim {
        holder: shared.settings.name.clone(),
        order: order.clone(),
    };
    match tokio::time::timeout(limit, store.claim(&claim, claims.next)).await {
        Ok(Ok(Some(offset))) => {
            lock(&shared.moves).record_claim(now, offset, order);
            Some((offset + 1, claimed_at))
        }
        Ok(Ok(None)) => None,
        Ok(Err(_)) | Err(_) => {
            slog::info!(shared.logger, "engines: record of a move unclear, it is not ordered";
                "endpoint" => %order.endpoint);
            None
        }
    }
}

/// Gives the order, and tells what came of it.
async fn send_order<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    endpoint: &Endpoint,
    order: &Move,
    fencing_token: u64,
    claimed_at: Duration,
) -> Outcome {
    let client = Client::new(shared.net.clone(), endpoint.address);
    let limit = shared.settings.call;
    let request = shared.dialect.ask_report(endpoint.address);
    let report = tokio::time::timeout(limit, client.fetch(request)).await;
    let report = report.ok().and_then(Result::ok);
    let report = report.and_then(|answer| shared.dialect.report(answer.body()));
    let Some(report) = report else {
        return Outcome::NoReport;
    };
    if report.busy || report.phase == Some(order.phase) {
        return Outcome::Needless;
    }
    // Time in which the host was suspended counts.
    if shared.clock.uptime().saturating_sub(claimed_at) > MAX_CLAIM_AGE {
        return Outcome::TooLate;
    }
    let order = Order {
        endpoint: &endpoint.id,
        phase: order.phase,
        holder: &shared.settings.name,
        fence: fencing_token,
        after: report.orders,
    };
    let request = shared.dialect.order(endpoint.address, &order);
    match tokio::time::timeout(limit, client.fetch(request)).await {
        Ok(Ok(answer)) if answer.status().is_success() => Outcome::Accepted,
        Ok(Ok(_)) => Outcome::Refused,
        Ok(Err(_)) | Err(_) => Outcome::NoAnswer,
    }
}
