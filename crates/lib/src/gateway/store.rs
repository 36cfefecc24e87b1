//! The gateway's interface to the platform's store.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use cranberryridge_policy::answer::numbering::Finding;
use cranberryridge_policy::gateway::balance::Move;
use cranberryridge_policy::gateway::era::Era;
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::origin::{Origin, Usage};
use cranberryridge_policy::gateway::route::Configuration;

/// Reads and writes the store. An adapter implements it.
pub trait Store: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key. The result is
    /// [`Error::Unavailable`] if the store does not answer, and
    /// [`Error::Trimmed`] if it came back from an older copy between two pages.
    fn newest(&self, topic: Topic) -> impl Future<Output = Answer<Page>> + Send;

    /// Returns the records from an offset on. Waits up to `wait` for the first
    /// one. The result is [`Error::Trimmed`] if the store does not have the
    /// offset, [`Error::Unavailable`] if it does not answer.
    fn since(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Answer<Page>> + Send;

    /// Announces this host to the other entry hosts. The result is
    /// [`Error::Unavailable`] if the store does not answer.
    fn announce(&self, host: &Host) -> impl Future<Output = Answer<()>> + Send;

    /// Removes the announcements of hosts that are gone, provided that nothing was recorded at offset
    /// `next` or later. Returns whether that held. The result is [`Error::Unavailable`] if no answer
    /// came; they may have been removed.
    fn remove_hosts(
        &self,
        names: &[CompactString],
        next: u64,
    ) -> impl Future<Output = Answer<bool>> + Send;

    /// Returns the newest claim on each engine. The result is
    /// [`Error::Unavailable`] if the store does not answer.
    fn claims(&self) -> impl Future<Output = Answer<Claims>> + Send;

    /// Claims an engine, provided that no claim was recorded at offset `next`
    /// or later. Returns the offset of the claim, or `None` if another claim
    /// came first. The result is [`Error::Unavailable`] if no answer came; the
    /// claim may have been recorded.
    fn claim(&self, claim: &Claim, next: u64) -> impl Future<Output = Answer<Option<u64>>> + Send;

    /// Returns which versions of each service hosts have recorded as in use. The result is
    /// [`Error::Unavailable`] if the store does not answer.
    fn version_usages(&self) -> impl Future<Output = Answer<Usages>> + Send;

    /// Records the versions of a service in use, provided that nothing was recorded at offset
    /// `next` or later. Returns the offset of the record, or `None` if another one came first. The
    /// result is [`Error::Unavailable`] if no answer came; it may have been recorded.
    fn record_version_usage(
        &self,
        usage: &Usage,
        next: u64,
    ) -> impl Future<Output = Answer<Option<u64>>> + Send;

    /// Records origins of streams. The store keeps them for some minutes. The result is
    /// [`Error::Unavailable`] if no answer came; they may have been recorded.
    fn record_origins(&self, origins: &[(u64, Origin)]) -> impl Future<Output = Answer<()>> + Send;

    /// Returns recorded origins of streams from an offset on, or the last ones if it is `None`. The
    /// result is [`Error::Trimmed`] if the store does not have the offset, [`Error::Unavailable`] if
    /// it does not answer.
    fn origins(&self, from: Option<u64>) -> impl Future<Output = Answer<Origins>> + Send;

    /// Returns the numberings that hosts have recorded. The result is
    /// [`Error::Unavailable`] if the store does not answer.
    fn numberings(&self) -> impl Future<Output = Answer<Vec<Numbered>>> + Send;

    /// Records a numbering. The store may replace that of an earlier version of the service.
    /// The result is [`Error::Unavailable`] if the store does not answer.
    fn record_numbering(&self, entry: &Numbered) -> impl Future<Output = Answer<()>> + Send;
}

/// Outcome of a call to the store.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Era that the answer names, also if it is a refusal. `None` if no answer
    /// came, or if it names none and so is taken for one of the current era.
    pub era: Option<Era>,
    /// The decoded answer.
    pub result: Result<T, Error>,
}

impl<T> Answer<T> {
    /// Creates the outcome of a call without an answer.
    pub fn none(error: Error) -> Self {
        Self {
            era: None,
            result: Err(error),
        }
    }

    /// Converts the decoded answer.
    pub fn and_then<U>(self, convert: impl FnOnce(T) -> Result<U, Error>) -> Answer<U> {
        Answer {
            era: self.era,
            result: self.result.and_then(convert),
        }
    }
}

/// An entry host's announcement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Name of the host, unique among entry hosts.
    pub name: CompactString,
    /// Failure domain of the host.
    #[serde(default)]
    pub domain: CompactString,
    /// Address of the host's scheduler, or `None` if the host is terminating.
    #[serde(default)]
    pub scheduler: Option<SocketAddr>,
    /// Processor time of the host, in cores.
    #[serde(default)]
    pub cores: f64,
}

/// The newest claims on engines.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    /// One claim per engine.
    pub entries: Vec<RecordedClaim>,
    /// Offset after the last recorded claim.
    pub next: u64,
}

/// A claim as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedClaim {
    /// Offset of the record.
    pub offset: u64,
    /// The claim itself.
    pub claim: Claim,
}

/// A claim on an engine, which precedes an order to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Name of the host that will give the order.
    pub holder: CompactString,
    /// The planned move.
    pub order: Move,
}

/// The versions in use of the services.
#[derive(Clone, Debug, Default)]
pub struct Usages {
    /// One entry per service.
    pub entries: Vec<Usage>,
    /// Offset after the last record.
    pub next: u64,
}

/// Recorded origins of streams.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// Streams with their origins, oldest first.
    pub entries: Vec<(u64, Origin)>,
    /// Offset after the last record.
    pub next: u64,
    /// Whether there were no records at the offset.
    pub is_end: bool,
}

/// A service at a software version, with the numbering of its events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Numbered {
    /// Name of the service.
    pub service: CompactString,
    /// Software version of its endpoints.
    pub version: CompactString,
    /// What streams have shown.
    pub finding: Finding,
}

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// The endpoints' list.
    Endpoints,
    /// Announcements of entry hosts.
    Hosts,
}

/// Records that were read by one call.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// Offset after the last record.
    pub next: u64,
}

/// A decoded record.
#[derive(Clone, Debug)]
pub enum Record {
    /// A version of the configuration.
    Configuration(Configuration),
    /// A new or changed endpoint.
    Endpoint(Endpoint),
    /// Id of an endpoint, or name of an entry host, that was removed.
    Removed(CompactString),
    /// An entry host's announcement.
    Host(Host),
    /// A record that cannot be decoded.
    Unreadable {
        /// Key of the record.
        key: CompactString,
        /// What is wrong with the value.
        reason: String,
    },
}

/// Failure of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store did not answer or refused the call.
    #[error("store not available: {0}")]
    Unavailable(String),
    /// The store does not have the records at the offset: they were deleted, or
    /// belong to an earlier era.
    #[error("the requested records were deleted")]
    Trimmed,
    /// The answer is from an earlier era than the current one.
    #[error("the answer is from an earlier era of the store")]
    Outdated,
}
