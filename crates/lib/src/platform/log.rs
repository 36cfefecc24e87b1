//! Client of the platform's append-only log.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::client::{self, Client};
use crate::net::Net;

/// Maximum time of an append, or of a read in addition to its own wait.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// An append-only log.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error::NotAppended`] if the record is certainly not in the log,
    /// [`Error::Unclear`] if it may be.
    fn append(&self, record: Vec<u8>) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads records from an offset on. Waits up to `wait` for the first one; the page is
    /// empty if none was appended in that time.
    ///
    /// # Errors
    ///
    /// [`Error::Trimmed`] if the log has dropped that offset, [`Error::Unreadable`] if
    /// the log cannot be read.
    fn read(&self, from: u64, wait: Duration) -> impl Future<Output = Result<Page, Error>> + Send;
}

/// Records returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Page {
    /// Records in the order of their offsets.
    pub records: Vec<Entry>,
    /// Offset after the last record of the log.
    pub end: u64,
}

/// A record with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Offset of the record in the log.
    pub offset: u64,
    /// Content of the record, as appended.
    pub data: String,
}

/// Answer to a successful append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Appended {
    /// Offset of the appended record.
    pub offset: u64,
}

/// Answer to a read of records that the log has dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trimmed {
    /// Lowest offset that the log still has.
    pub first: u64,
}

/// Error of an append or a read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The record was not appended.
    #[error("log down, nothing was appended: {0}")]
    NotAppended(String),
    /// The answer was lost, so the record may be in the log.
    #[error("log answer lost, the record may be there: {0}")]
    Unclear(String),
    /// The log cannot be read at the moment.
    #[error("log not readable: {0}")]
    Unreadable(String),
    /// The log has dropped the offset.
    #[error("log trimmed up to {first}")]
    Trimmed {
        /// Lowest offset that the log still has.
        first: u64,
    },
}

/// Log accessed over HTTP.
#[derive(Clone, Debug)]
pub struct Http<N> {
    client: Client<N>,
}

impl<N: Net> Http<N> {
    /// Creates a log from a client of the log service.
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
        // Any other failure may have occurred after the append took effect.
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

/// Builds a request to the platform.
pub(super) fn build_request(method: Method, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    // Paths consist of numbers and constants, so parsing them cannot fail.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}
