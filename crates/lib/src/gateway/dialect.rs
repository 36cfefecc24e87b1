//! How requests and answers say what the gateway needs to know.
//!
//! An adapter implements [`Dialect`]. It reads and writes heads, and decides
//! nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{request, response, HeaderMap, Request};
use http_body_util::Full;

use cranberryridge_policy::gateway::member::Phase;
use cranberryridge_policy::gateway::pool::Load;

/// Reads and writes heads.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// What a caller's request says of itself.
    fn describe(&self, head: &request::Parts) -> Description;

    /// Removes what concerns one connection only, and what a caller may not
    /// set.
    fn strip_headers(&self, headers: &mut HeaderMap);

    /// Adds what an endpoint has to know of an attempt.
    fn add_parameters(&self, headers: &mut HeaderMap, parameters: &Parameters<'_>);

    /// What an endpoint's answer to an attempt says of itself.
    fn classify(&self, head: &response::Parts, attempt: &str, stage: Stage<'_>) -> Verdict;

    /// Load that came with an answer.
    fn parse_load(&self, head: &response::Parts) -> Option<Load>;

    /// The name of a prompt's KV cache in a prefill endpoint's answer.
    fn parse_kv_handle(&self, body: &[u8]) -> Option<CompactString>;

    /// The request that reserves a slot and memory at an engine.
    fn reserve_request(&self, at: SocketAddr, tokens: u32, ttl: Duration) -> Request<Full<Bytes>>;

    /// The name of a reservation in an engine's answer.
    fn parse_reservation(&self, body: &[u8]) -> Option<CompactString>;

    /// The request that gives a reservation back.
    fn release_reservation_request(
        &self,
        at: SocketAddr,
        reservation: &str,
    ) -> Request<Full<Bytes>>;

    /// The request for an engine's report.
    fn report_request(&self, at: SocketAddr) -> Request<Full<Bytes>>;

    /// What an engine's report says.
    fn parse_report(&self, body: &[u8]) -> Option<Report>;

    /// The request that moves an engine to another stage.
    fn order_request(&self, at: SocketAddr, order: &Order<'_>) -> Request<Full<Bytes>>;

    /// The request that frees a KV cache.
    fn release_cache_request(&self, at: SocketAddr, handle: &str) -> Request<Full<Bytes>>;

    /// Tells a caller when to come back.
    fn set_retry_after(&self, headers: &mut HeaderMap, retry_after: Duration);

    /// Whether a request asks if this host takes connections.
    fn is_readiness_probe(&self, head: &request::Parts) -> bool;
}

/// What a request says of itself.
#[derive(Clone, Debug, Default)]
pub struct Description {
    /// The caller's id of this attempt.
    pub attempt_id: CompactString,
    /// The time that the caller waits.
    pub timeout: Option<Duration>,
    /// Prompt length in tokens, zero for a plain request.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_output_tokens: u32,
    /// The caller's estimate of the answer's tokens.
    pub estimated_output_tokens: Option<u32>,
}

/// What an endpoint is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Parameters<'a> {
    /// The endpoint's id, so that no other one at its address runs this.
    pub endpoint_id: &'a str,
    /// The time that is left.
    pub remaining_time: Duration,
    /// What to do.
    pub stage: Stage<'a>,
    /// The reservation at the endpoint that the request uses.
    pub reservation_id: Option<&'a str>,
    /// The last event that the caller has, if the stream goes on.
    pub last_event_id: Option<&'a str>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug)]
pub enum Stage<'a> {
    /// All of it.
    Whole,
    /// Read the prompt and keep its KV cache.
    Prefill,
    /// Generate from a KV cache that another endpoint keeps.
    Decode {
        /// Where that endpoint listens.
        source: SocketAddr,
        /// The KV cache's name there.
        handle: &'a str,
    },
}

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The stage it takes.
    pub phase: Option<Phase>,
    /// Whether it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
}

/// An order that moves an engine to another stage.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The engine's id, so that no other one at its address obeys.
    pub endpoint_id: &'a str,
    /// The stage.
    pub phase: Phase,
    /// The host that gives the order.
    pub holder: &'a str,
    /// Higher than that of every earlier order.
    pub fencing_token: u64,
    /// Orders that the engine has accepted before this one.
    pub accepted_orders: u64,
}

/// What an answer says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of a run.
    Ran,
    /// The request did not run and will not.
    NotRun,
    /// Another endpoint has the address; the request did not run.
    Misdirected,
    /// Not an answer to this attempt, or not one of an endpoint.
    Foreign,
}
