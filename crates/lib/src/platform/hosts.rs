//! The platform's list of hosts.

use std::future::Future;
use std::time::Duration;

use compact_str::CompactString;
use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};

use cranberryridge_policy::member::Host;

use crate::client::Client;
use crate::net::Net;
use crate::platform::log::build_request;

/// Longest time that a reading may take.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The list of live and leaving hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// The hosts now, as far as the platform knows.
    ///
    /// # Errors
    ///
    /// When the list cannot be had; the last one stays good.
    fn list(&self) -> impl Future<Output = anyhow::Result<Vec<Host>>> + Send;
}

/// A host as it is listed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Address and port of its sidecar.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: CompactString,
    /// Whether it leaves.
    pub leaving: bool,
}

/// The list's HTTP form.
#[derive(Clone, Debug)]
pub struct Http<N> {
    /// The list service.
    client: Client<N>,
}

impl<N: Net> Http<N> {
    /// A list behind a client.
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
