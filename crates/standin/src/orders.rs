//! Orders that an engine takes: to load and unload models, adapters and
//! versions, and to change its role.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use cranberryridge::body::Body;
use cranberryridge::sidecar::orders::{Payload, Report};
use cranberryridge::wire::record::Action;

use crate::server::{json, status};

/// The order interface of an engine. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// The engine's report of its state.
    report: Report,
    /// Orders that took effect.
    applied: Vec<Payload>,
    in_flight: u32,
    /// Most orders that were ever in flight at once.
    max_in_flight: u32,
    faults: Faults,
}

/// Faults of an engine's order interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Fencing numbers are ignored.
    pub unfenced: bool,
    /// Orders take effect, but their answers never arrive.
    pub lose_answers: bool,
    /// Time until an order takes effect.
    pub apply_time: Duration,
}

impl Orders {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the orders that took effect, in order.
    pub fn applied(&self) -> Vec<Payload> {
        self.lock().applied.clone()
    }

    /// Returns the most orders that were ever in flight at once.
    pub fn max_in_flight(&self) -> u32 {
        self.lock().max_in_flight
    }

    /// Returns the engine's report of its state.
    pub fn report(&self) -> Report {
        self.lock().report.clone()
    }

    /// Answers a GET with the report, and any other method by applying the
    /// order in the body.
    pub async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        if request.method() == Method::GET {
            return json(&self.report());
        }
        let Ok(payload) = serde_json::from_slice::<Payload>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let faults = {
            let mut state = self.lock();
            state.in_flight += 1;
            state.max_in_flight = state.max_in_flight.max(state.in_flight);
            state.faults
        };
        tokio::time::sleep(faults.apply_time).await;
        let applied = self.lock().apply(payload);
        if faults.lose_answers {
            std::future::pending::<()>().await;
        }
        if applied {
            json(&self.report())
        } else {
            status(StatusCode::CONFLICT)
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Applies an order, unless its fencing number is older than the newest.
    /// Returns whether it did.
    fn apply(&mut self, payload: Payload) -> bool {
        self.in_flight -= 1;
        if !self.faults.unfenced {
            if payload.fence < self.report.fence {
                return false;
            }
            self.report.fence = payload.fence;
        }
        self.report
            .loaded
            .retain(|target| *target != payload.target);
        match payload.action {
            Action::Load => self.report.loaded.push(payload.target.clone()),
            Action::Unload => {}
            Action::Role => self.report.role = payload.target.clone(),
        }
        self.applied.push(payload);
        true
    }
}
