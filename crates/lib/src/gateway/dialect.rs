//! Interface to the platform's HTTP headers and control requests.
//!
//! An adapter implements [`Dialect`]. It only parses and builds messages and
//! makes no decisions.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{request, response, HeaderMap, Request};
use http_body_util::Full;

use cranberryridge_policy::gateway::account::Key;
use cranberryridge_policy::gateway::member::Phase;
use cranberryridge_policy::gateway::pool::Load;

/// Parses and builds HTTP messages in the platform's format.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses the parameters in the head of a caller's request.
    fn describe(&self, head: &request::Parts) -> Description;

    /// Removes hop-by-hop headers and headers that a caller may not set.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Removes the caller's key and names the client account that it belongs to, if any.
    fn set_account(&self, headers: &mut HeaderMap, account: Option<&str>);

    /// Adds the headers for an endpoint with the parameters of an attempt.
    fn add_parameters(&self, headers: &mut HeaderMap, parameters: &Parameters<'_>);

    /// Classifies an endpoint's answer to an attempt by its head.
    fn classify(&self, head: &response::Parts, attempt: &str, stage: Stage<'_>) -> Verdict;

    /// Parses what the endpoint says about itself in the head of any answer.
    fn parse_notice(&self, head: &response::Parts) -> Notice;

    /// Parses the endpoint's load from the head of an answer.
    fn parse_load(&self, head: &response::Parts) -> Option<Load>;

    /// Parses the name of a prompt's KV cache from a prefill endpoint's answer.
    fn parse_kv_handle(&self, body: &[u8]) -> Option<CompactString>;

    /// Builds the request that reserves a slot and memory for `tokens` tokens at
    /// an engine. An unused reservation expires after `ttl`.
    fn reserve_request(&self, at: SocketAddr, tokens: u32, ttl: Duration) -> Request<Full<Bytes>>;

    /// Parses the id of a reservation from an engine's answer.
    fn parse_reservation(&self, body: &[u8]) -> Option<CompactString>;

    /// Builds the request that releases an unused reservation.
    fn release_reservation_request(
        &self,
        at: SocketAddr,
        reservation: &str,
    ) -> Request<Full<Bytes>>;

    /// Builds the request for an engine's report.
    fn report_request(&self, at: SocketAddr) -> Request<Full<Bytes>>;

    /// Parses an engine's report.
    fn parse_report(&self, body: &[u8]) -> Option<Report>;

    /// Builds the request that moves an engine to another stage.
    fn order_request(&self, at: SocketAddr, order: &Order<'_>) -> Request<Full<Bytes>>;

    /// Builds the request that releases a KV cache at its prefill endpoint.
    fn release_cache_request(&self, at: SocketAddr, handle: &str) -> Request<Full<Bytes>>;

    /// Adds the header with the time after which the caller should retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, retry_after: Duration);

    /// Returns whether a request is a readiness probe.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;
}

/// Maximum number of a prompt's parts that are looked at.
pub const MAX_SHARED_PARTS: usize = 64;

/// Parameters in the head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// Id that the caller gave this attempt.
    pub attempt_id: CompactString,
    /// Key of the caller's client account.
    pub key: Key,
    /// Time that the caller waits, or `None` if not stated.
    pub timeout: Option<Duration>,
    /// Prompt length in tokens, or zero if the request has no prompt.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub max_output_tokens: u32,
    /// Sum of both, as stated.
    pub total_tokens: TokenCount,
    /// The caller's estimate of the answer's length in tokens.
    pub estimated_output_tokens: Option<u32>,
    /// Ids of the prompt's parts in order, without the last one, which belongs to this
    /// request or its session. At most [`MAX_SHARED_PARTS`].
    pub shared_parts: Vec<CompactString>,
    /// Whether the caller takes up a stream of which it has events.
    pub is_resumption: bool,
    /// Id of the last event that the caller has of that stream, if it names one.
    pub last_event_id: Option<CompactString>,
    /// Id of the attempt that brought the first event of that stream, if the caller names
    /// it.
    pub first_attempt_id: Option<CompactString>,
}

impl Description {
    /// Returns the id by which hosts know the stream: that of the attempt that brings its
    /// first event. `None` if the caller takes up a stream that it does not name.
    pub fn stream_id(&self) -> Option<&CompactString> {
        if self.is_resumption {
            self.first_attempt_id.as_ref()
        } else {
            Some(&self.attempt_id)
        }
    }
}

/// Number of tokens that a request states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenCount {
    /// The request states none.
    #[default]
    Missing,
    /// Prompt tokens and maximum output tokens.
    Stated(u32),
    /// The request states something that is no number of tokens.
    Invalid,
}

/// Parameters of an attempt at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Parameters<'a> {
    /// Id of the endpoint, so that no other endpoint at its address runs the
    /// request.
    pub endpoint_id: &'a str,
    /// Time until the caller's deadline.
    pub remaining_time: Duration,
    /// Rank among the requests at an engine, 0 is the highest. `None` if all are alike.
    pub priority: Option<u8>,
    /// Stage of the request that the endpoint runs.
    pub stage: Stage<'a>,
    /// Reservation at the endpoint that the request uses.
    pub reservation_id: Option<&'a str>,
    /// Event after which the answer is to begin, if the request resumes a stream or checks its
    /// end. Replaces the one that the caller named.
    pub last_event_id: Option<&'a str>,
}

/// Stage of a request that an endpoint runs.
#[derive(Clone, Copy, Debug)]
pub enum Stage<'a> {
    /// The endpoint runs the complete request.
    Whole,
    /// The endpoint reads the prompt and keeps its KV cache.
    Prefill,
    /// The endpoint generates the answer from another endpoint's KV cache.
    Decode {
        /// Address of the endpoint that keeps the cache.
        source: SocketAddr,
        /// Name of the cache at that endpoint.
        handle: &'a str,
    },
}

/// What an endpoint says about itself in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the endpoint is shutting down.
    pub is_leaving: bool,
    /// Seconds for which the endpoint wants no requests from this host, as it
    /// stated them in a refusal. Not a number if the value is none, `None` if it
    /// stated nothing.
    pub retry_after: Option<f64>,
    /// Requests per second that the endpoint takes from all hosts together, the least if it
    /// names several. Not a number if the value is none, `None` if it named nothing.
    pub limit: Option<f64>,
}

/// State that an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Stage that the engine takes, or `None` if it reports none.
    pub phase: Option<Phase>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted_orders: u64,
    /// Start time in milliseconds since the Unix epoch, or `None` if it reports none.
    pub started_ms: Option<u64>,
    /// Whether the engine is draining.
    pub is_draining: bool,
    /// Time until the engine exits, or `None` if it names none.
    pub leaves_in: Option<Duration>,
}

/// An order that moves an engine to another stage.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Id of the engine, so that no other engine at its address executes the
    /// order.
    pub endpoint_id: &'a str,
    /// Stage that the engine moves to.
    pub phase: Phase,
    /// Name of the host that gives the order.
    pub holder: &'a str,
    /// Fencing token, higher than that of every earlier order.
    pub fencing_token: u64,
    /// Number of orders that the engine has accepted before this one.
    pub accepted_orders: u64,
}

/// Classification of an endpoint's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint ran the request.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// Another endpoint has the address, so the request did not run.
    Misdirected,
    /// The answer belongs to another attempt or does not come from an endpoint.
    Foreign,
}
