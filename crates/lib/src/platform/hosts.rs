//! Client of the platform's host list.

use std::future::Future;
use std::time::Duration;

use compact_str::CompactString;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use cranberryridge_policy::member::Host;

use crate::client::Client;
use crate::net::Net;
use crate::platform::log::build_request;

/// Maximum time of one request for the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Source of the list of live and leaving hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Returns the hosts that the platform currently knows.
    ///
    /// # Errors
    ///
    /// If the list cannot be read; callers then keep the previous list.
    fn list(&self) -> impl Future<Output = anyhow::Result<Vec<Host>>> + Send;
}

/// A host in the JSON list that the platform returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Address and port of the host's sidecar.
    pub address: CompactString,
    /// Failure domain of the host.
    pub domain: CompactString,
    /// Whether the host is about to be removed.
    pub leaving: bool,
}

/// Host list read over HTTP.
#[derive(Clone, Debug)]
pub struct Http<N> {
    client: Client<N>,
}

impl<N: Net> Http<N> {
    /// Creates a host list from a client of the service that serves it.
    pub fn new(client: Client<N>) -> Self {
        Self { client }
    }
}

impl<N: Net> Hosts for Http<N> {
    async fn list(&self) -> anyhow::Result<Vec<Host>> {
        let request = build_request(Method::GET, "/hosts", Vec::new());
        let answer = tokio::time::timeout(LIST_TIMEOUT, self.client.fetch(request)).await??;
        anyhow::ensure!(
            answer.status() == StatusCode::OK,
            "host list: {}",
            answer.status()
        );
        let rows = serde_json::from_slice::<Vec<Row>>(answer.body())?;
        let hosts = rows.into_iter().map(|row| {
            Ok(Host {
                address: row.address.parse()?,
                domain: row.domain,
                leaving: row.leaving,
            })
        });
        hosts.collect()
    }
}
