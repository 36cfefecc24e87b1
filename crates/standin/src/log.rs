//! A stand-in for the platform's log.

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

const MAX_PAGE_RECORDS: usize = 1000;

/// A log in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    state: Arc<Mutex<State>>,
    /// Notified of each record and of each change of the faults.
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    /// Records that haven't been trimmed.
    records: Vec<String>,
    /// Offset of the first record.
    first_offset: u64,
    faults: Faults,
}

/// Faults of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request is answered with 503.
    pub down: bool,
    /// Appends take effect, but their answers never arrive.
    pub lose_answers: bool,
    /// Appends have no effect, and their answers never arrive.
    pub lose_appends: bool,
    /// Delay of each answer.
    pub delay: Duration,
}

impl Log {
    /// Serves the log's HTTP interface.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let log = self.clone();
        Server::start(net, at, move |request| log.clone().answer(request)).await
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
        self.changed.notify_waiters();
    }

    /// Removes the records before an offset.
    pub fn trim(&self, first: u64) {
        let mut state = self.lock();
        let gone = first
            .saturating_sub(state.first_offset)
            .min(state.records.len() as u64);
        state.records.drain(..gone as usize);
        state.first_offset += gone;
    }

    /// Appends a record and returns its offset.
    pub fn append(&self, record: String) -> u64 {
        let mut state = self.lock();
        state.records.push(record);
        self.changed.notify_waiters();
        state.first_offset + state.records.len() as u64 - 1
    }

    /// Returns all records that haven't been trimmed.
    pub fn records(&self) -> Vec<Entry> {
        let first = self.lock().first_offset;
        self.page(first, usize::MAX)
            .map(|page| page.records)
            .unwrap_or_default()
    }

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

    /// Answers a read, and waits for a record if there is none yet.
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

    /// Returns at most `most` records, beginning at an offset. Fails if the
    /// record at the offset has been trimmed.
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
