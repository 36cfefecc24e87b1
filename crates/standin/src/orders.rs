//! Orders that an engine takes: models, adapters, versions and its role.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};

use cranberryridge::body::Body;
use cranberryridge::sidecar::orders::{Sheet, Told};
use cranberryridge::wire::record::Action;

use crate::server::{json, status};

/// What an engine was ordered to do. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    /// The state.
    state: Arc<Mutex<State>>,
}

/// State of an engine's orders.
#[derive(Debug, Default)]
struct State {
    /// What it tells of itself.
    report: Told,
    /// Orders that took effect.
    applied: Vec<Sheet>,
    /// Orders under way.
    in_flight: u32,
    /// Most orders that were ever under way at once.
    max_in_flight: u32,
    /// Faults.
    faults: Faults,
}

/// Faults of an engine's orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Fencing numbers are ignored.
    pub unfenced: bool,
    /// Orders take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Time that an order takes.
    pub apply_time: Duration,
}

impl Orders {
    /// Sets the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Orders that took effect.
    pub fn applied(&self) -> Vec<Sheet> {
        self.lock().applied.clone()
    }

    /// Most orders that were ever under way at once.
    pub fn max_in_flight(&self) -> u32 {
        self.lock().max_in_flight
    }

    /// What the engine tells of itself.
    pub fn report(&self) -> Told {
        self.lock().report.clone()
    }

    /// Answers a reading or an order.
    pub async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        if request.method() == Method::GET {
            return json(&self.report());
        }
        let Ok(sheet) = serde_json::from_slice::<Sheet>(request.body()) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let faults = {
            let mut state = self.lock();
            state.in_flight += 1;
            state.max_in_flight = state.max_in_flight.max(state.in_flight);
            state.faults
        };
        tokio::time::sleep(faults.apply_time).await;
        let applied = self.lock().apply(sheet);
        if faults.lose_answers {
            std::future::pending::<()>().await;
        }
        if applied {
            json(&self.report())
        } else {
            status(StatusCode::CONFLICT)
        }
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Lets an order take effect, unless its fencing number is old.
    fn apply(&mut self, sheet: Sheet) -> bool {
        self.in_flight -= 1;
        if !self.faults.unfenced {
            if sheet.fence < self.report.fence {
                return false;
            }
            self.report.fence = sheet.fence;
        }
        self.report.loaded.retain(|target| *target != sheet.target);
        match sheet.action {
            Action::Load => self.report.loaded.push(sheet.target.clone()),
            Action::Unload => {}
            Action::Role => self.report.role = sheet.target.clone(),
        }
        self.applied.push(sheet);
        true
    }
}
