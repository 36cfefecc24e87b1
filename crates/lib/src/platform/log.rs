//! The platform's append-only log.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::client::{self, Client};
use crate::net::Net;

/// Longest time that an append or a read may take, beyond its own wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An append-only log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error::NotAppended`] when the record is certainly not in the log,
    /// [`Error::Unclear`] when it may be.
    fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads records from an offset on, waiting for the first one.
    ///
    /// # Errors
    ///
    /// [`Error::Trimmed`] when the log keeps that offset no more.
    fn read(&self, from: u64, wait: Duration) -> impl Future<Output = Result<Page, Error>> + Send;
}

/// Records read together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Entry>,
    /// Offset behind the log's last record.
    pub end: u64,
}

/// A record in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its offset.
    pub offset: u64,
    /// The record.
    pub data: String,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

/// Answer to a read of records that are no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trimmed {
    /// First offset that is kept.
    pub first: u64,
}

/// Why the log was of no use.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing was appended.
    #[error("log down, nothing was appended: {0}")]
    NotAppended(String),
    /// The answer was lost; the record may be in the log.
    #[error("log answer lost, the record may be there: {0}")]
    Unclear(String),
    /// The log cannot be read now.
    #[error("log not readable: {0}")]
    Unreadable(String),
    /// The offset is no longer kept.
    #[error("log trimmed up to {first}")]
    Trimmed {
        /// First offset that is kept.
        first: u64,
    },
}

/// The log's HTTP form.
#[derive(Clone, Debug)]
pub struct Http<N> {
    /// The log service.
    client: Client<N>,
}

impl<N: Net> Http<N> {
    /// A log behind a client.
    pub fn new(client: Client<N>) -> Self {
        Self { client }
    }
}

impl<N: Net> Log for Http<N> {
    async fn append(&self, record: Vec<u8>) -> Result<u64, Error> {
        let request = build_request(Method::POST, "/append", record);
        let answer = match tokio::time::timeout(REQUEST_TIMEOUT, self.client.fetch(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(client::Error::Connect(error))) => {
                return Err(Error::NotAppended(error.to_string()))
            }
            Ok(Err(error)) => return Err(Error::Unclear(error.to_string())),
            Err(elapsed) => return Err(Error::Unclear(elapsed.to_string())),
        };
        let status = answer.status();
        if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::NotAppended(status.to_string()));
        }
        // Any other failure may have come after the append took effect.
        if status != StatusCode::OK {
            return Err(Error::Unclear(status.to_string()));
        }
        let appended = serde_json::from_slice::<Appended>(answer.body());
        appended
            .map(|appended| appended.offset)
            .map_err(|error| Error::Unclear(error.to_string()))
    }

    async fn read(&self, from: u64, wait: Duration) -> Result<Page, Error> {
        let path = format!("/read?from={from}&wait_ms={}", wait.as_millis());
        let request = build_request(Method::GET, &path, Vec::new());
        let answer = tokio::time::timeout(REQUEST_TIMEOUT + wait, self.client.fetch(request)).await;
        let unreadable = |error: &dyn std::fmt::Display| Error::Unreadable(error.to_string());
        let answer = answer.map_err(|error| unreadable(&error))?;
        let answer = answer.map_err(|error| unreadable(&error))?;
        if answer.status() == StatusCode::GONE {
            let trimmed = serde_json::from_slice::<Trimmed>(answer.body());
            let first = trimmed.map_err(|error| unreadable(&error))?.first;
            return Err(Error::Trimmed { first });
        }
        if answer.status() != StatusCode::OK {
            return Err(unreadable(&answer.status()));
        }
        serde_json::from_slice(answer.body()).map_err(|error| unreadable(&error))
    }
}

/// A request to the platform.
pub(super) fn build_request(method: Method, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    // Paths are made here from numbers and constants, so they are valid.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}
