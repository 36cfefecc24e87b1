//! The platform's log.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use tokio::sync::Notify;

use cranberryridge::body::Body;
use cranberryridge::net::Net;
use cranberryridge::platform::log::{Appended, Entry, Page, Trimmed};

use crate::server::{json, query_number, status, Server};

/// Most records in one page.
const MAX_PAGE_RECORDS: usize = 1000;

/// A log in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The state.
    state: Arc<Mutex<State>>,
    /// Told of each record.
    changed: Arc<Notify>,
}

/// State of a log.
#[derive(Debug, Default)]
struct State {
    /// Records that are kept.
    records: Vec<String>,
    /// Offset of the first one.
    first_offset: u64,
    /// Faults.
    faults: Faults,
}

/// Faults of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// It answers nothing but 503.
    pub down: bool,
    /// Appends take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Appends are lost with their answers.
    pub lose_appends: bool,
    /// Time before each answer.
    pub delay: Duration,
}

impl Log {
    /// Serves the log.
    ///
    /// # Errors
    ///
    /// When the address is taken.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let log = self.clone();
        Server::start(net, at, move |request| log.clone().answer(request)).await
    }

    /// Sets its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Drops the records before an offset.
    pub fn trim(&self, first: u64) {
        let mut state = self.lock();
        let gone = first
            .saturating_sub(state.first_offset)
            .min(state.records.len() as u64);
        state.records.drain(..gone as usize);
        state.first_offset += gone;
    }

    /// Appends a record.
    pub fn append(&self, record: String) -> u64 {
        let mut state = self.lock();
        state.records.push(record);
        self.changed.notify_waiters();
        state.first_offset + state.records.len() as u64 - 1
    }

    /// All records that are kept.
    pub fn records(&self) -> Vec<Entry> {
        let first = self.lock().first_offset;
        self.page(first, usize::MAX)
            .map(|page| page.records)
            .unwrap_or_default()
    }

    /// Answers a request.
    async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        let faults = self.lock().faults;
        tokio::time::sleep(faults.delay).await;
        if faults.down {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/append") => {
                if faults.lose_appends {
                    std::future::pending::<()>().await;
                }
                let record = String::from_utf8_lossy(request.body()).into_owned();
                let offset = self.append(record);
                if faults.lose_answers {
                    std::future::pending::<()>().await;
                }
                json(&Appended { offset })
            }
            (&Method::GET, "/read") => {
                let query = request.uri().query();
                let from = query_number(query, "from").unwrap_or(0);
                let wait = query_number(query, "wait_ms").unwrap_or(0);
                self.read(from, Duration::from_millis(wait)).await
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    /// Answers a read, waiting for a record.
    async fn read(&self, from: u64, wait: Duration) -> Response<Body> {
        let limit = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if self.lock().faults.down {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
            match self.page(from, MAX_PAGE_RECORDS) {
                Err(trimmed) => {
                    let mut response = json(&trimmed);
                    *response.status_mut() = StatusCode::GONE;
                    return response;
                }
                Ok(page) if !page.records.is_empty() => return json(&page),
                Ok(page) => {
                    if tokio::time::timeout_at(limit, changed).await.is_err() {
                        return json(&page);
                    }
                }
            }
        }
    }

    /// Records from an offset on.
    fn page(&self, from: u64, most: usize) -> Result<Page, Trimmed> {
        let state = self.lock();
        if from < state.first_offset {
            return Err(Trimmed {
                first: state.first_offset,
            });
        }
        let skip = usize::try_from(from - state.first_offset).unwrap_or(usize::MAX);
        let records = state.records.iter().enumerate().skip(skip).take(most);
        let records = records.map(|(at, data)| Entry {
            offset: state.first_offset + at as u64,
            data: data.clone(),
        });
        Ok(Page {
            records: records.collect(),
            end: state.first_offset + state.records.len() as u64,
        })
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
