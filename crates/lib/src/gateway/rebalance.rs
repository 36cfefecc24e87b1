//! Moves engines between the prefill and decode stages.
//!
//! The scheduler of a service knows the demand of all hosts, so it decides. It
//! first records a claim in the store, on condition that no other claim was
//! recorded since it last read the claims. The offset after the claim is the fencing
//! token of the order. An engine has a cooldown after each claim, so that two
//! hosts never give it orders in turn.

use std::sync::Arc;
use std::time::Duration;

use cranberryridge_policy::gateway::balance::{Demand, Move};
use cranberryridge_policy::gateway::member::Endpoint;

use super::dialect::{Dialect, Order};
use super::store::{Claim, Store};
use super::{exchange, lock, Shared};
use crate::clock::Clock;
use crate::net::Net;

/// Interval at which moves are decided.
const DECISION_INTERVAL: Duration = Duration::from_secs(1);

/// Number of a service's engines that allow one move per interval. With a fixed
/// number of moves, a large service would be balanced more slowly than a small
/// one.
const ENGINES_PER_MOVE: usize = 16;

/// Maximum time from a claim to its order. Well below the cooldown of an
/// engine, with room for a slow network.
const MAX_CLAIM_AGE: Duration = Duration::from_secs(1);

/// Decides on moves. Runs until the process ends.
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

/// Moves one engine of a service if the demand justifies it.
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
    // The cooldown starts whether or not the move succeeds.
    lock(&shared.moves).start_cooldown(now, order.endpoint.clone());
    let Some((fencing_token, claimed_at)) = claim_engine(shared, store, &order).await else {
        return;
    };
    let outcome = send_order(shared, &endpoint, &order, fencing_token, claimed_at).await;
    // An order without an answer may still be carried out.
    if matches!(outcome, Outcome::Accepted | Outcome::NoAnswer) {
        lock(&shared.moves).record_order(now, order.clone());
        shared.mark_moving(now, &order.endpoint, order.phase);
        shared.metrics.count("engine.moved");
    }
    slog::info!(shared.logger, "engines: move ordered";
        "endpoint" => %order.endpoint, "phase" => ?order.phase, "token" => fencing_token,
        "reading" => demand.prefill_engines, "generating" => demand.decode_engines,
        "outcome" => ?outcome);
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Accepted,
    /// No answer came; the engine may carry the order out.
    NoAnswer,
    Refused,
    /// Not sent, as the engine is gone, shutting down or resting.
    Unavailable,
    /// Not sent, as the engine sent no readable report.
    NoReport,
    /// Not sent, as the engine is busy with another order or already in the
    /// stage.
    Needless,
    /// Not sent, as the claim was too old.
    TooLate,
}

/// Claims an engine in the store. Returns the fencing token and the uptime
/// before the claim, or `None` if the claim failed or its outcome is unknown.
async fn claim_engine<N, C: Clock, D, S: Store>(
    shared: &Shared<N, C, D>,
    store: &S,
    order: &Move,
) -> Option<(u64, Duration)> {
    let limit = shared.settings.call_timeout;
    let claimed_at = shared.clock.uptime();
    let known_era = *shared.era.borrow();
    let answer = tokio::time::timeout(limit, store.claims()).await.ok()?;
    let era = answer.era.unwrap_or(known_era);
    let Ok(claims) = answer.result else {
        slog::debug!(shared.logger, "engines: reading the claims failed");
        return None;
    };
    // The move was decided in another era. In a new one, the store may lack
    // claims of other hosts, and moves are paused.
    if !shared.observe_era(era) || era != known_era {
        return None;
    }
    let now = shared.clock.now();
    // Claims on engines that are gone stay in the store.
    let is_listed = |endpoint: &str| shared.pool().key(endpoint).is_some();
    let entries = claims.entries.iter();
    let entries = entries.filter(|entry| is_listed(&entry.claim.order.endpoint));
    let new_claims = entries.filter(|entry| {
        let claim = &entry.claim;
        lock(&shared.moves).record_claim(now, entry.offset, &claim.holder, &claim.order)
    });
    // The decision was made without these claims and may be wrong.
    if new_claims.count() > 0 {
        return None;
    }
    let claim = Claim {
        holder: shared.settings.name.clone(),
        order: order.clone(),
    };
    let answer = tokio::time::timeout(limit, store.claim(&claim, claims.next)).await;
    let recorded_era = answer.as_ref().ok().and_then(|answer| answer.era);
    let recorded_era = recorded_era.unwrap_or(era);
    shared.observe_era(recorded_era);
    match answer.map(|answer| answer.result) {
        // The claims before this one were read in another era.
        Ok(Ok(Some(_))) if recorded_era != era => None,
        Ok(Ok(Some(offset))) => {
            lock(&shared.moves).record_own_claim(now, offset, &claim.holder, order);
            Some((era.fencing_token(offset), claimed_at))
        }
        Ok(Ok(None)) => None,
        Ok(Err(_)) | Err(_) => {
            slog::info!(shared.logger, "engines: record of a move unclear, it is not ordered";
                "endpoint" => %order.endpoint);
            None
        }
    }
}

/// Sends the order to the engine.
async fn send_order<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    endpoint: &Endpoint,
    order: &Move,
    fencing_token: u64,
    claimed_at: Duration,
) -> Outcome {
    let (at, limit) = (endpoint.address, shared.settings.call_timeout);
    let key = shared.pool().key(&endpoint.id);
    let Some(key) = key else {
        return Outcome::Unavailable;
    };
    let Some(report) = exchange::fetch_report(shared, key, at).await else {
        return Outcome::NoReport;
    };
    if shared.active_endpoint(shared.clock.now(), key).is_none() {
        return Outcome::Unavailable;
    }
    if report.busy || report.phase == Some(order.phase) {
        return Outcome::Needless;
    }
    // The uptime includes time in which the host was suspended.
    if shared.clock.uptime().saturating_sub(claimed_at) > MAX_CLAIM_AGE {
        return Outcome::TooLate;
    }
    let order = Order {
        endpoint_id: &endpoint.id,
        phase: order.phase,
        holder: &shared.settings.name,
        fencing_token,
        accepted_orders: report.accepted_orders,
    };
    let request = shared.dialect.order_request(at, &order);
    match exchange::control(shared, key, at, request, limit).await {
        Some(answer) if answer.status().is_success() => Outcome::Accepted,
        Some(_) => Outcome::Refused,
        None => Outcome::NoAnswer,
    }
}
