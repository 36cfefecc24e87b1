//! The platform's store as the gateway uses it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cranberryridge_policy::gateway::balance::Move;
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::route::Configuration;

/// Follows what the platform keeps.
pub trait Store: Clone + Send + Sync + 'static {
    /// The newest record of each key.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the store does not answer.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Records from an offset on, waiting for the first one up to `wait`.
    ///
    /// # Errors
    ///
    /// [`Error::Trimmed`] when the store keeps that offset no more,
    /// [`Error::Unavailable`] when it does not answer.
    fn since(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Tells the other entry hosts that this one is here.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the store does not answer.
    fn announce(&self, host: &Host) -> impl Future<Output = Result<(), Error>> + Send;

    /// The newest claim on each engine.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the store does not answer.
    fn claims(&self) -> impl Future<Output = Result<Claims, Error>> + Send;

    /// Claims an engine, if no claim was recorded at `next` or later. Returns
    /// the record's offset, or `None` when another claim was first.
    ///
    /// # Errors
    ///
    /// [`Error::Unavailable`] when the answer was lost; the claim may stand.
    fn claim(
        &self,
        claim: &Claim,
        next: u64,
    ) -> impl Future<Output = Result<Option<u64>, Error>> + Send;
}

/// An entry host, as it announces itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub name: CompactString,
    /// Its failure domain.
    #[serde(default)]
    pub domain: CompactString,
    /// Where it takes questions of other hosts, unless it is leaving.
    #[serde(default)]
    pub scheduler: Option<SocketAddr>,
    /// The processor time that it has, in cores.
    #[serde(default)]
    pub cores: f64,
}

/// The claims on engines.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// The newest of each engine, with its offset.
    pub entries: Vec<RecordedClaim>,
    /// Offset behind the last of them.
    pub next: u64,
}

/// A claim in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedClaim {
    /// Its offset.
    pub offset: u64,
    /// The claim.
    pub claim: Claim,
}

/// A claim on an engine, which comes before an order to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The host that will give the order.
    pub holder: CompactString,
    /// The order.
    pub order: Move,
}

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The endpoints.
    Endpoints,
    /// The entry hosts.
    Hosts,
}

/// Records read together.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Offset behind the last of them.
    pub next: u64,
}

/// A record.
#[derive(Clone, Debug)]
pub enum Record {
    /// A configuration.
    Configuration(Configuration),
    /// An endpoint's entry.
    Endpoint(Endpoint),
    /// An endpoint's entry was removed.
    Removed(CompactString),
    /// An entry host is there.
    Host(Host),
    /// A record that names nothing of use.
    Unreadable {
        /// Its key.
        key: CompactString,
        /// What is wrong with it.
        reason: String,
    },
}

/// Why the store was of no use.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It did not answer, or refused.
    #[error("store not available: {0}")]
    Unavailable(String),
    /// Records at the offset were deleted.
    #[error("the records asked for were deleted")]
    Trimmed,
}
