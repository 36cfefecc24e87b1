//! One attempt at one endpoint.
//!
//! Each attempt has a connection of its own. A kept one may be closed, silent
//! or about to carry another attempt's answer, and what was sent on it may
//! have run, which costs a request that may not be repeated. Closing the
//! connection also tells the endpoint that its caller is gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{request, response, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, Work};

use super::dialect::{Dialect, Errand, Stage, Verdict};
use super::Shared;
use crate::client::{Client, Error};
use crate::clock::Clock;
use crate::net::Net;

/// Longest time to open a connection to an endpoint. Several round trips
/// between failure domains; a lost opening packet is sent again only after a
/// second, and another endpoint is reached sooner.
const CONNECT: Duration = Duration::from_millis(250);

/// Largest answer that is read whole before it is passed on, in bytes.
pub const WHOLE: usize = 4 * 1024 * 1024;

/// A caller's request, as it goes to endpoints.
#[derive(Clone, Debug)]
pub struct Input {
    /// Method, path and headers, cleaned.
    pub head: request::Parts,
    /// The body.
    pub body: Bytes,
    /// The caller's id of this attempt.
    pub attempt: compact_str::CompactString,
}

/// What became of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// An answer of a run.
    Answer(Response<Incoming>),
    /// Nothing was sent.
    NotSent,
    /// The endpoint says that the request did not run.
    NotRun,
    /// The endpoint may have run it, and the answer is lost.
    Lost,
}

/// Work at an endpoint, counted out when dropped.
#[derive(Debug)]
pub struct Flight<N, C, D> {
    /// The gateway.
    pub shared: Arc<Shared<N, C, D>>,
    /// The work.
    pub work: Work,
}

impl<N, C: Clock, D> Flight<N, C, D> {
    /// Counts work in.
    pub fn new(shared: &Arc<Shared<N, C, D>>, work: Work) -> Self {
        shared.pool().start(work);
        Self {
            shared: shared.clone(),
            work,
        }
    }

    /// Counts a prompt as to be read where the work is.
    pub fn reads(&mut self, unread: u32) {
        let mut pool = self.shared.pool();
        pool.finish(self.work);
        self.work.prefill_tokens = unread;
        pool.start(self.work);
    }

    /// Counts the prompt as read.
    pub fn read(&mut self, expected: Duration, took: Duration) {
        let now = self.shared.clock.now();
        self.work = self
            .shared
            .pool()
            .finish_prefill(now, self.work, expected, took);
    }
}

impl<N, C, D> Drop for Flight<N, C, D> {
    fn drop(&mut self) {
        self.shared.pool().finish(self.work);
        self.shared.room.notify_waiters();
    }
}

/// Sends a request to an endpoint and waits for the answer's head.
pub async fn send<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    input: &Input,
    key: EndpointKey,
    endpoint: &Endpoint,
    errand: Errand<'_>,
) -> Outcome {
    let mut request = Request::new(Full::new(input.body.clone()));
    *request.method_mut() = input.head.method.clone();
    *request.uri_mut() = input.head.uri.clone();
    *request.headers_mut() = input.head.headers.clone();
    shared.dialect.address(request.headers_mut(), &errand);
    let client = Client::new(shared.net.clone(), endpoint.address).with_connect_timeout(CONNECT);
    let answer = match client.send(request).await {
        Ok(answer) => answer,
        Err(error) => {
            shared.metrics.count("endpoint.unreachable");
            slog::debug!(shared.logger, "gateway: attempt broken";
                "request" => %input.attempt, "endpoint" => %endpoint.id, "error" => %error);
            shared.trouble(shared.clock.now(), key, Failure::Broken);
            return match error {
                Error::Connect(_) => Outcome::NotSent,
                Error::Broken(_) | Error::Unreadable(_) => Outcome::Lost,
            };
        }
    };
    judge(shared, input, key, errand.stage, answer)
}

/// Sorts an answer and learns from it.
fn judge<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    input: &Input,
    key: EndpointKey,
    stage: Stage<'_>,
    answer: Response<Incoming>,
) -> Outcome {
    let now = shared.clock.now();
    let (head, body) = answer.into_parts();
    let verdict = shared.dialect.verdict(&head, &input.attempt, stage);
    match verdict {
        Verdict::Ran => {
            let mut pool = shared.pool();
            pool.record_outcome(now, key, !head.status.is_server_error());
            if let Some(load) = shared.dialect.load(&head) {
                pool.record_load(now, key, load);
            }
            Outcome::Answer(Response::from_parts(head, body))
        }
        Verdict::NotRun => {
            shared.metrics.count("endpoint.full");
            shared.trouble(now, key, Failure::Full);
            Outcome::NotRun
        }
        Verdict::Misdirected => {
            shared.metrics.count("endpoint.misdirected");
            shared.trouble(now, key, Failure::Misdirected);
            Outcome::NotRun
        }
        Verdict::Foreign => {
            shared.metrics.count("endpoint.foreign_answer");
            shared.trouble(now, key, Failure::Broken);
            Outcome::Lost
        }
    }
}

/// Reads an answer whole, so that a broken one never looks complete.
pub async fn whole<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    key: EndpointKey,
    answer: Response<Incoming>,
) -> Option<(response::Parts, Bytes)> {
    let (head, body) = answer.into_parts();
    match Limited::new(body, WHOLE).collect().await {
        Ok(body) => Some((head, body.to_bytes())),
        Err(error) => {
            shared.metrics.count("endpoint.answer_cut");
            slog::debug!(shared.logger, "gateway: answer cut off"; "error" => %error);
            shared.trouble(shared.clock.now(), key, Failure::Broken);
            None
        }
    }
}

/// Tells an endpoint something that it will find out by itself should the
/// call fail.
pub fn tell<N: Net, C: Clock, D: Dialect>(
    shared: &Arc<Shared<N, C, D>>,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
) {
    let client = Client::new(shared.net.clone(), at).with_connect_timeout(CONNECT);
    let (logger, limit) = (shared.logger.clone(), shared.settings.call);
    tokio::spawn(async move {
        let told = tokio::time::timeout(limit, client.fetch(request)).await;
        if !matches!(told, Ok(Ok(_))) {
            slog::debug!(logger, "gateway: endpoint not told, what it keeps will lapse";
                "address" => %at);
        }
    });
}
