//! Exchange of a request and its answer with an endpoint.
//!
//! Each attempt opens its own connection. A persistent connection may be
//! closed, silent or about to carry another attempt's answer. Whether a request
//! sent on it ran would then be unknown, so a request that must not run twice
//! could not be retried. Closing the connection also tells the endpoint that
//! its caller has disconnected.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::uri::PathAndQuery;
use http::{
    header, request, response, HeaderMap, HeaderValue, Method, Request, Response, StatusCode,
};
use http_body_util::Full;
use hyper::body::Incoming;

use cranberryridge_policy::answer::deadline::{Deadline, Timing};
use cranberryridge_policy::answer::{Conclusion, Disorder, End, Framing};
use cranberryridge_policy::gateway::drain::Length;
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::memory::Purpose;
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure, Work};
use cranberryridge_wire::id::{Digest, Incarnation};

use super::dialect::{Dialect, Parameters, Report, Stage, Verdict};
use super::permit::Permit;
use super::quota::Charge;
use super::serve::Call;
use super::survival::Ending;
use super::suspects::LostRun;
use super::{held, lock, Shared};
use crate::body::{Chunks, ReadError};
use crate::client::{self, Client, Error, Held};
use crate::clock::Clock;
use crate::events::{self, Splitter};
use crate::net::Net;

/// Timeout of connecting to an endpoint. It covers several round trips between
/// failure domains. A lost SYN is retransmitted only after a second, and
/// another endpoint is reached sooner.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of an answer that is buffered before it is forwarded, in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of an answer that the gateway reads itself, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Name under which the answers to the gateway's own calls are counted, so that they find room
/// while a service holds all that it may.
const OWN_CALLS: CompactString = CompactString::const_new("gateway");

/// A caller's request as sent to endpoints.
#[derive(Debug)]
pub struct Input {
    /// Method, path and headers, without those that are not forwarded.
    pub head: request::Parts,
    /// Complete body, until it is released.
    pub body: Mutex<Kept>,
    /// Id that the caller gave this attempt.
    pub attempt_id: CompactString,
    /// Time at which the request arrived.
    pub arrival: Instant,
    /// Time after which the caller no longer waits.
    pub deadline: Instant,
    /// IP address of the caller, if known.
    pub caller: Option<IpAddr>,
    /// Digest, once it was needed.
    pub digest: OnceLock<Digest>,
    /// Digests of the prompt's parts, without the last one.
    pub parts: Arc<[Digest]>,
}

/// State of a request's body.
#[derive(Debug)]
pub enum Kept {
    /// The body will be sent.
    Needed(Chunks),
    /// The body is sent again only if the run is lost, and may be released.
    Spare(Chunks),
    /// The body has been released.
    Released,
}

impl Input {
    /// Returns a number that stands for the caller's address.
    pub fn origin(&self) -> Incarnation {
        let caller = self.caller.map(|caller| caller.to_string());
        Incarnation(Digest::of(&[caller.unwrap_or_default().as_bytes()]).0[0])
    }

    /// Returns the digest of the request, which equal requests of all callers share.
    pub fn digest(&self) -> Digest {
        *self.digest.get_or_init(|| {
            let host = self.head.headers.get(header::HOST);
            let path = self.head.uri.path_and_query();
            let parts = [
                self.head.method.as_str().as_bytes(),
                host.map(HeaderValue::as_bytes).unwrap_or_default(),
                path.map(PathAndQuery::as_str)
                    .unwrap_or_default()
                    .as_bytes(),
            ];
            // A body is released only after this.
            let body = self.body().unwrap_or_default();
            Digest::of_chunked(&parts, &body.iter().collect::<Vec<_>>())
        })
    }

    /// Returns the body, or `None` if it has been released.
    fn body(&self) -> Option<Chunks> {
        match &*lock(&self.body) {
            Kept::Needed(body) | Kept::Spare(body) => Some(body.clone()),
            Kept::Released => None,
        }
    }

    /// Allows the body to be released, as a run has begun.
    pub fn spare_body(&self) {
        let mut body = lock(&self.body);
        if let Kept::Needed(kept) = &mut *body {
            *body = Kept::Spare(std::mem::take(kept));
        }
    }

    /// Keeps the body for another run. Returns `false` if it has been released.
    pub fn retain_body(&self) -> bool {
        let mut body = lock(&self.body);
        if let Kept::Spare(kept) = &mut *body {
            *body = Kept::Needed(std::mem::take(kept));
        }
        !matches!(*body, Kept::Released)
    }

    /// Releases the body if that is allowed.
    pub fn release_body(&self) {
        if !matches!(*lock(&self.body), Kept::Spare(_)) {
            return;
        }
        // A lost run is still recognised by its digest.
        self.digest();
        let mut body = lock(&self.body);
        if matches!(*body, Kept::Spare(_)) {
            *body = Kept::Released;
        }
    }
}

/// Answer of an endpoint, whose body has not been read.
#[derive(Debug)]
pub struct Answer {
    /// Head and unread body.
    pub response: Response<Incoming>,
    /// The connection that it arrives on.
    pub connection: Held<Chunks>,
    /// How it states its end, and until when its endpoint works on it.
    pub timing: Timing,
}

impl Answer {
    /// Returns whether its body is a stream.
    pub fn is_stream(&self) -> bool {
        is_stream(self.response.status(), self.response.headers())
    }
}

/// What an answer that is read whole has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A stream that goes on behind the events that the caller has.
    Stream,
    /// Any body.
    Body,
    /// A document that the gateway parses, which shows whether it is whole.
    Document,
}

impl Form {
    /// Returns the maximum size, in bytes.
    fn max_bytes(self) -> usize {
        match self {
            Self::Stream | Self::Body => MAX_ANSWER_BYTES,
            Self::Document => MAX_DOCUMENT_BYTES,
        }
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The endpoint ran the request and answered.
    Answer(Box<Answer>),
    /// The connection failed before anything was sent.
    NotSent,
    /// Nothing was sent, as the endpoint has named a limit and there is no valid permit.
    NotPermitted,
    /// The endpoint reported that the request did not run.
    NotRun,
    /// The endpoint may have run the request, but there is no valid answer.
    Lost,
}

/// Work in flight at an endpoint, counted in the pool until dropped.
#[derive(Debug)]
pub struct InFlight<N, C, D> {
    /// State of the gateway, which contains the pool.
    pub shared: Arc<Shared<N, C, D>>,
    /// The work as currently counted.
    pub work: Work,
}

impl<N, C: Clock, D> InFlight<N, C, D> {
    /// Adds work to the pool.
    pub fn new(shared: &Arc<Shared<N, C, D>>, work: Work) -> Self {
        shared.pool().start(work);
        Self {
            shared: shared.clone(),
            work,
        }
    }

    /// Adds a prompt that the endpoint will read to the work.
    pub fn add_prefill(&mut self, prompt_tokens: u32) {
        let mut pool = self.shared.pool();
        pool.finish(self.work);
        self.work.prefill_tokens = prompt_tokens;
        pool.start(self.work);
    }

    /// Records that the prompt was read in the time `took`, predicted as
    /// `expected`.
    pub fn finish_prefill(&mut self, expected: Duration, took: Duration) {
        let now = self.shared.clock.now();
        self.work = self
            .shared
            .pool()
            .finish_prefill(now, self.work, expected, took);
    }
}

impl<N, C, D> InFlight<N, C, D> {
    /// Removes the work from the pool, once.
    pub fn finish(&mut self) {
        self.shared.pool().finish(self.work);
        self.work.endpoint = EndpointKey::default();
        self.shared.capacity_freed.notify_waiters();
    }
}

impl<N, C, D> Drop for InFlight<N, C, D> {
    fn drop(&mut self) {
        self.finish();
    }
}

/// Builds the request of an attempt.
fn build_request<D: Dialect>(
    dialect: &D,
    input: &Input,
    body: Chunks,
    parameters: &Parameters<'_>,
) -> Request<Chunks> {
    let mut request = Request::new(body);
    *request.method_mut() = input.head.method.clone();
    *request.uri_mut() = input.head.uri.clone();
    *request.headers_mut() = input.head.headers.clone();
    dialect.add_parameters(request.headers_mut(), parameters);
    request
}

/// Classifies an answer and records its outcome in the pool. `known_limit` is the version
/// of the endpoint's limit when the request was sent.
fn classify<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    input: &Input,
    key: EndpointKey,
    known_limit: u64,
    stage: Stage<'_>,
    deadline: Deadline,
    (answer, connection): (Response<Incoming>, Held<Chunks>),
) -> Outcome {
    let head_at = shared.clock.moment();
    let now = head_at.now;
    let (head, body) = answer.into_parts();
    let verdict = if is_final_answer(&head) {
        shared.dialect.classify(&head, &input.attempt_id, stage)
    } else {
        Verdict::Foreign
    };
    // Another endpoint answered a misdirected request.
    if verdict != Verdict::Misdirected {
        let is_own = verdict != Verdict::Foreign;
        let notice = shared.dialect.parse_notice(&head);
        shared.record_notice(now, key, notice, is_own.then_some(known_limit));
    }
    match verdict {
        Verdict::Ran => {
            let mut pool = shared.pool();
            pool.record_outcome(now, key, !head.status.is_server_error());
            if let Some(load) = shared.dialect.parse_load(&head) {
                pool.record_load(now, key, load);
            }
            let timing = Timing {
                framing: client::framing(&head.headers),
                head_at,
                deadline,
            };
            let response = Response::from_parts(head, body);
            Outcome::Answer(Box::new(Answer {
                response,
                connection,
                timing,
            }))
        }
        Verdict::NotRun => {
            shared.metrics.count("endpoint.full");
            shared.record_failure(now, key, Failure::Full);
            Outcome::NotRun
        }
        Verdict::Misdirected => {
            shared.metrics.count("endpoint.misdirected");
            shared.record_failure(now, key, Failure::Misdirected);
            Outcome::NotRun
        }
        Verdict::Foreign => {
            shared.metrics.count("endpoint.foreign_answer");
            shared.record_failure(now, key, Failure::Broken);
            Outcome::Lost
        }
    }
}

impl<N: Net, C: Clock, D: Dialect> Call<N, C, D> {
    /// Sends the request to an endpoint, with a permit if it has named a limit, and waits for the
    /// response head. Nothing is sent if this host is stopping and a request of this length may
    /// not end before.
    pub async fn send(
        &self,
        key: EndpointKey,
        endpoint: &Endpoint,
        permit: Option<Permit>,
        parameters: Parameters<'_>,
        length: Option<Length>,
    ) -> Outcome {
        let (shared, input) = (&self.shared, &self.input);
        let Some(body) = input.body() else {
            return Outcome::NotSent;
        };
        let client =
            Client::new(shared.net.clone(), endpoint.address).with_connect_timeout(CONNECT_TIMEOUT);
        let connected = client.connect().await;
        let moment = shared.clock.moment();
        let sent_at = moment.now;
        let remaining_time = input.deadline.saturating_duration_since(sent_at);
        let deadline = Deadline {
            sent_at: moment,
            duration: remaining_time,
        };
        let known_limit = shared.pool().limit(key).version;
        // An endpoint that only reads the prompt does not run the request.
        let charge = self.charge.as_ref();
        let charge = charge.filter(|_| !matches!(parameters.stage, Stage::Prefill));
        let was_spent = charge.is_some_and(Charge::is_spent);
        let answer = match connected {
            // The process may have been paused until after the deadline.
            Ok(_) if remaining_time.is_zero() => return Outcome::NotSent,
            // The stop may have begun while the connection was established.
            Ok(_) if length.is_some_and(|length| !shared.accepts(length)) => {
                return Outcome::NotSent
            }
            Ok(_) if !shared.is_permitted(key, permit) => {
                shared.metrics.count("permit.missing");
                return Outcome::NotPermitted;
            }
            Ok(connection) => {
                let parameters = Parameters {
                    remaining_time,
                    ..parameters
                };
                let request = build_request(&shared.dialect, input, body, &parameters);
                if let Some(charge) = charge {
                    charge.set_spent(true);
                }
                connection.send_and_hold(request).await
            }
            Err(error) => Err(error),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                shared.metrics.count("endpoint.unreachable");
                slog::debug!(shared.logger, "gateway: attempt failed";
                    "request" => %input.attempt_id, "endpoint" => %endpoint.id, "error" => %error);
                if matches!(error, Error::Connect(_)) {
                    shared.record_failure(shared.clock.now(), key, Failure::Broken);
                    return Outcome::NotSent;
                }
                let run = LostRun {
                    input,
                    key,
                    endpoint,
                    sent_at,
                    first_event_at: None,
                };
                shared.record_lost_run(run).await;
                return Outcome::Lost;
            }
        };
        let stage = parameters.stage;
        let outcome = classify(shared, input, key, known_limit, stage, deadline, answer);
        if let (Some(charge), Outcome::NotRun) = (charge, &outcome) {
            charge.set_spent(was_spent);
        }
        outcome
    }

    /// Reads an answer completely, so that a truncated one is never forwarded as
    /// complete. Returns `None` if it is truncated, too large or of another form, or if the
    /// answers that are being read take too much memory. Each counts as a lost run of a request that was sent at `sent_at`. So does the end of a
    /// stream that only its connection marks, without a failure of its endpoint. An end that is
    /// stated at the endpoint's deadline is none, and no lost run either. An end that chunks state
    /// counts only if the endpoint outlives it.
    pub async fn read_answer(
        &mut self,
        key: EndpointKey,
        endpoint: &Endpoint,
        sent_at: Instant,
        answer: Box<Answer>,
        form: Form,
    ) -> Option<(response::Parts, Chunks)> {
        let shared = &self.shared;
        let Answer {
            response,
            connection,
            timing,
        } = *answer;
        let expects_stream = form == Form::Stream;
        let event_time = if expects_stream {
            self.route.max_event_gap
        } else {
            Duration::ZERO
        };
        let ending = Ending {
            key,
            endpoint,
            connection: &connection,
            wait_until: self.end_deadline(),
            served_at: sent_at,
            event_time,
        };
        let (head, body) = response.into_parts();
        let body = held::read(&self.memory, body, form.max_bytes(), |_| Purpose::Answer).await;
        let is_overdue = timing.is_overdue(shared.clock.moment(), event_time);
        let error = match body {
            // Its head is the whole answer.
            Ok(body) if !expects_stream && self.has_no_body(&head) => return Some((head, body)),
            Ok(body) => {
                if expects_stream {
                    let mut end = self.conclude_stream(
                        &head,
                        &body,
                        timing.framing,
                        is_overdue,
                        &endpoint.version,
                    );
                    if matches!(end, Conclusion::Complete(_)) && timing.framing == Framing::Chunks {
                        let watch = shared.watch_end(ending).await;
                        self.record.sign = watch.last_sign();
                        end = end.after(watch);
                    }
                    self.record.end = end.proof();
                    match end {
                        Conclusion::Complete(_) => return Some((head, body)),
                        Conclusion::Unstated => {
                            let run = LostRun {
                                input: &self.input,
                                key,
                                endpoint,
                                sent_at,
                                first_event_at: None,
                            };
                            shared.record_unstated_end(run).await;
                            return None;
                        }
                        Conclusion::Overdue => {
                            shared.metrics.count("endpoint.stopped_at_deadline");
                            return None;
                        }
                        Conclusion::Forsaken => shared.metrics.count("endpoint.stopped_at_end"),
                        Conclusion::Broken => {}
                    }
                } else if is_overdue
                    && head.status.is_success()
                    && timing.framing != Framing::Length
                {
                    shared.metrics.count("endpoint.stopped_at_deadline");
                    return None;
                } else {
                    let end = if form == Form::Document && timing.framing == Framing::Chunks {
                        End {
                            framing: timing.framing,
                            is_endpoint_up: true,
                        }
                    } else {
                        shared.observe_end(timing.framing, ending).await
                    };
                    if is_complete(&head, &body, end) {
                        return Some((head, body));
                    }
                }
                Error::Truncated
            }
            Err(error) => {
                if matches!(error, ReadError::NoMemory) {
                    self.report_no_memory("answer.no_memory");
                }
                Error::Unreadable(error.into())
            }
        };
        shared.metrics.count("endpoint.answer_cut");
        slog::debug!(shared.logger, "gateway: answer truncated"; "error" => %error);
        let run = LostRun {
            input: &self.input,
            key,
            endpoint,
            sent_at,
            first_event_at: None,
        };
        shared.record_lost_run(run).await;
        None
    }

    /// Returns what the end of a body means that has to be a stream and go on behind the events
    /// that the caller has. `is_overdue` tells whether its endpoint may have stopped at its
    /// deadline.
    fn conclude_stream(
        &self,
        head: &response::Parts,
        body: &Chunks,
        framing: Framing,
        is_overdue: bool,
        version: &CompactString,
    ) -> Conclusion {
        let (mut splitter, mut sequence) = (Splitter::default(), self.begin_sequence());
        sequence.expect(self.shared.numberings.get(&self.service, version));
        body.iter().for_each(|chunk| splitter.push(chunk));
        let batch = splitter.take_events(&mut sequence);
        let disorder = batch.and_then(|batch| batch.disorder);
        if !is_stream(head.status, &head.headers) || disorder.is_some() {
            if disorder == Some(Disorder::Gap) {
                self.shared.record_gap(&self.service, version);
            }
            return Conclusion::Broken;
        }
        let end = sequence.conclude(framing, splitter.is_inside_event());
        let end = if is_overdue { end.at_deadline() } else { end };
        if let (Conclusion::Complete(_), Some(ids)) = (end, sequence.ids()) {
            self.shared.record_ids(&self.service, version, ids);
        }
        end
    }

    /// Returns whether an answer with a head has no body, however it is framed.
    fn has_no_body(&self, head: &response::Parts) -> bool {
        let is_empty = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED];
        self.input.head.method == Method::HEAD || is_empty.contains(&head.status)
    }
}

/// Returns whether a head is that of a final answer of HTTP. The parser accepts any status of three
/// digits, takes an upgrade that was not asked for as final, and a 204 with a body.
fn is_final_answer(head: &response::Parts) -> bool {
    let length = head.headers.get(header::CONTENT_LENGTH);
    let has_body = head.headers.contains_key(header::TRANSFER_ENCODING)
        || length.is_some_and(|length| length.as_bytes() != b"0");
    let is_empty = head.status == StatusCode::NO_CONTENT;
    (200..600).contains(&head.status.as_u16()) && !(is_empty && has_body)
}

/// Returns whether an answer is complete from which no stream is expected.
fn is_complete(head: &response::Parts, body: &Chunks, end: End) -> bool {
    let is_event_stream = events::is_event_stream(&head.headers);
    let is_cut = is_event_stream && events::scan(body).is_inside_event();
    !is_cut && end.completes_body(body.size() == 0, false)
}

/// Returns whether an answer with this head is a stream.
pub fn is_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::OK && events::is_event_stream(headers)
}

/// Asks an engine for its report. Returns `None` if none came in time.
pub async fn fetch_report<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    key: EndpointKey,
    at: SocketAddr,
) -> Option<Report> {
    let request = shared.dialect.report_request(at);
    let answer = control(shared, key, at, request, shared.settings.call_timeout).await?;
    shared.dialect.parse_report(answer.body())
}

/// Makes a control call to an endpoint. Returns `None` if no answer came within
/// `limit`.
pub async fn control<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    key: EndpointKey,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Option<Response<Bytes>> {
    let answer = try_control(shared, key, at, request, limit).await;
    answer.ok()
}

/// Makes a control call to an endpoint.
///
/// # Errors
///
/// [`Error::Connect`] if nothing was sent, else [`Error::Unreadable`] if no answer came within
/// `limit`, or as [`Client::send`].
pub async fn try_control<N: Net, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    key: EndpointKey,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, Error> {
    let client = Client::new(shared.net.clone(), at).with_connect_timeout(CONNECT_TIMEOUT);
    let known_limit = shared.pool().limit(key).version;
    let memory = shared.held.share(&OWN_CALLS);
    let fetch = async {
        let (head, body) = client.send(request).await?.into_parts();
        let purpose = |_| Purpose::Answer;
        let body = held::read(&memory, body, MAX_DOCUMENT_BYTES, purpose).await;
        let body = body.map_err(|error| Error::Unreadable(error.into()))?;
        Ok((head, body.to_bytes()))
    };
    let fetched = tokio::time::timeout(limit, fetch).await;
    let (head, body) = fetched.unwrap_or_else(|elapsed| Err(Error::Unreadable(elapsed.into())))?;
    let now = shared.clock.now();
    let notice = shared.dialect.parse_notice(&head);
    shared.record_notice(now, key, notice, Some(known_limit));
    Ok(Response::from_parts(head, body))
}

/// Makes a control call to an endpoint in the background. A failure is only
/// logged, since the endpoint releases the resource by timeout as well.
pub fn notify<N: Net, C: Clock, D: Dialect>(
    shared: &Arc<Shared<N, C, D>>,
    key: EndpointKey,
    at: SocketAddr,
    request: Request<Full<Bytes>>,
) {
    let shared = shared.clone();
    let limit = shared.settings.call_timeout;
    tokio::spawn(async move {
        if control(&shared, key, at, request, limit).await.is_none() {
            slog::debug!(shared.logger,
                "gateway: cannot notify endpoint, its resource will expire"; "address" => %at);
        }
    });
}
