//! HTTP server for callers, readiness probes and metrics.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::pin::{pin, Pin};
use std::sync::{Arc, Mutex, OnceLock};
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{header, HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};

use cranberryridge_policy::answer::Sequence;
use cranberryridge_policy::gateway::account::{Account, Urgency};
use cranberryridge_policy::gateway::drain::{Length, Stop};
use cranberryridge_policy::gateway::member::Endpoint;
use cranberryridge_policy::gateway::memory::{Purpose, MAX_SMALL_BYTES};
use cranberryridge_policy::gateway::place::Scope;
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure};
use cranberryridge_policy::gateway::route::{Kind, Limits, Route, UnknownKey};
use cranberryridge_wire::code::Code;

use super::dialect::Dialect;
use super::exchange::{Input, Kept};
use super::origin::stream_digest;
use super::parts::digest_parts;
use super::quota::Charge;
use super::record::Record;
use super::refusal::Refusal;
use super::{generate, held, plain, quota, Shared};
use crate::body::{Body, Chunks, ReadError};
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::net::closing::{self, Caller, Closing};
use crate::net::{Listen, Net};

use self::activity::{Activity, TrackedStream};
use self::admission::{Connection, Registry};

mod activity;
pub(super) mod admission;

/// Pause after a failed accept. The usual cause is that the process has run out
/// of file descriptors.
pub(super) const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Path on which metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Bytes that a caller's connection may have received and not read, also before it is accepted. A
/// caller that sends more waits until they are read.
pub const MAX_UNREAD_BYTES: u32 = 8 * 1024;

/// Smallest buffer size that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Memory that counts as taken by a request that is being served, in bytes: the connections of
/// its caller and to an endpoint, with the buffers of both, and its tasks.
const EXCHANGE_BYTES: usize = 64 * 1024;

/// Maximum number of connections on which readiness is probed. A load balancer uses a few.
const MAX_PROBE_CONNECTIONS: usize = 32;

/// Maximum number of connections on which metrics are scraped.
const MAX_SCRAPE_CONNECTIONS: usize = 16;

/// Maximum number of connections that are closed for the memory of one request.
const MAX_EVICTIONS: usize = 16;

/// Time in which a connection that is closed releases its memory.
const EVICTION_TIME: Duration = Duration::from_millis(2);

/// Timeout of the head of a probe or scrape, also of an idle connection's next one.
const PROBE_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Multiple of a route's latency target after which an endpoint without an
/// answer counts as failed.
const OVERDUE_LATENCY_TARGETS: u32 = 2;

/// Retry time of a stream whose software version is not served. A crashed endpoint is back
/// after some seconds.
const VERSION_GONE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Part of the grace period that is reserved for giving up open requests and for the exit of
/// the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);

/// Part of [`EXIT_RESERVE`] in which the answers to requests that were given up are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// A request that is being served.
#[derive(Debug)]
pub(super) struct Call<N, C: Clock, D> {
    pub shared: Arc<Shared<N, C, D>>,
    pub record: Record<C>,
    /// The request as sent to endpoints.
    pub input: Arc<Input>,
    pub route: Route,
    /// Client account of the caller, or `None` if the request needs none.
    pub account: Option<Arc<Account>>,
    /// Service chosen from the route's targets.
    pub service: CompactString,
    /// Digest by which hosts know the stream ([`stream_digest`]).
    pub stream: Option<u64>,
    /// Software version that endpoints must have, or `None` if any will do, as nothing of a
    /// stream has reached the caller.
    pub version: Option<CompactString>,
    /// Time after which the caller no longer waits.
    pub deadline: Instant,
    /// The service's use of the memory for bodies.
    pub memory: held::Share,
    /// What was charged to the account's quota, or `None` if it has none.
    pub charge: Option<Charge<N, C, D>>,
    /// Memory of the state of this request, until it is over.
    pub _state: held::Allocation,
}

impl<N, C: Clock, D> Call<N, C, D> {
    /// Returns the rank of the request among others.
    pub fn urgency(&self) -> Urgency {
        Urgency::new(self.account.as_deref(), self.route.priority)
    }

    /// Returns the rank of the request at an engine, or `None` if those of its service are
    /// alike.
    pub fn engine_priority(&self) -> Option<u8> {
        let has_ranks = self.shared.table.load().has_ranks(&self.service);
        has_ranks.then(|| self.urgency().priority)
    }

    /// Counts and logs that there is no memory left for the service.
    pub fn report_no_memory(&self, counter: &str) {
        report_no_memory(&self.shared, &self.record, &self.memory, counter);
    }

    /// Records that an endpoint had not answered at the deadline. It counts as a
    /// failure of the endpoint only if the deadline was long enough compared to
    /// the route's latency target.
    pub fn record_overdue(&self, endpoint: Option<EndpointKey>) {
        let Some(key) = endpoint else { return };
        let now = self.shared.clock.now();
        let waited = now.saturating_duration_since(self.record.arrival);
        if waited >= self.route.latency_target * OVERDUE_LATENCY_TARGETS {
            self.shared.metrics.count("endpoint.overdue");
            self.shared.record_failure(now, key, Failure::Broken);
        }
    }

    /// Returns the scope of endpoints for this request.
    pub fn scope<'a>(&'a self, excluded: &'a [EndpointKey]) -> Scope<'a> {
        Scope {
            service: &self.service,
            domain: &self.shared.settings.domain,
            excluded,
            version: self.version.as_deref(),
        }
    }

    /// Returns whether an endpoint has a software version that may serve the request.
    pub fn may_use(&self, endpoint: &Endpoint) -> bool {
        endpoint.has_version(self.version.as_deref()) && self.joining_time(endpoint).is_zero()
    }

    /// Refuses a request that has waited for a time and needs a software version that no
    /// endpoint serves, while there are endpoints of others. `excluded` are those that the
    /// request is not sent to again.
    ///
    /// # Errors
    ///
    /// Returns [`Code::VersionGone`] if so.
    pub fn check_version(&self, excluded: &[EndpointKey], waited: Duration) -> Result<(), Refusal> {
        let Some(version) = &self.version else {
            return Ok(());
        };
        let now = self.shared.clock.now();
        let pool = self.shared.pool();
        let found = pool.version_service(now, &self.service, version, excluded);
        if !found.is_hopeless(waited) {
            return Ok(());
        }
        let retry_after = VERSION_GONE_RETRY_AFTER;
        Err(Refusal::with_retry_after(Code::VersionGone, retry_after))
    }

    /// Returns the time until an endpoint accepts requests again, if all that this request
    /// may use have asked this host for a rest.
    pub fn rest_remaining(&self) -> Option<Duration> {
        let now = self.shared.clock.now();
        let version = self.version.as_deref();
        self.shared
            .pool()
            .rest_remaining(now, &self.service, version)
    }

    /// Refuses a request whose deadline has passed. Called before each attempt, as the
    /// process may have been paused.
    ///
    /// # Errors
    ///
    /// Returns [`Code::TooLate`] if it has.
    pub fn check_deadline(&self) -> Result<(), Refusal> {
        if self.remaining_time().is_zero() {
            return Err(Refusal::new(Code::TooLate));
        }
        Ok(())
    }

    /// Refuses a request that may not end before this host exits. Called before each attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Code::Draining`] if so.
    pub fn check_stop(&self, length: Length) -> Result<(), Refusal> {
        if self.shared.accepts(length) {
            return Ok(());
        }
        Err(Refusal::draining())
    }

    /// Returns the events that the caller has before the first run.
    pub fn begin_sequence(&self) -> Sequence {
        let last_id = self.record.description.last_event_id.clone();
        // The route may have lost its permission to resume since the stream began.
        let last_id = last_id.filter(|_| self.route.kind.is_stream());
        last_id.map_or_else(Sequence::default, Sequence::after)
    }

    /// Returns until when a silent endpoint is waited for that alone can tell whether the end of its
    /// answer is true. `None` if the request may run again elsewhere. The route's timeout does not
    /// end a stream that has begun.
    pub fn end_deadline(&self) -> Option<Instant> {
        match self.route.kind {
            Kind::Idempotent | Kind::ResumableStream => None,
            Kind::Single => Some(self.deadline),
            Kind::Stream => {
                let timeout = self.record.description.timeout;
                Some(self.record.arrival + timeout.unwrap_or(self.route.timeout))
            }
        }
    }

    /// Returns the time until the deadline.
    pub fn remaining_time(&self) -> Duration {
        self.deadline
            .saturating_duration_since(self.shared.clock.now())
    }
}

/// Accepts callers' connections until the lame-duck period is over.
pub async fn accept_callers<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    mut listener: P,
) {
    let mut close = pin!(wait_for_close(shared.clone()));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = close.as_mut() => return,
        };
        match accepted {
            Ok(stream) => match shared.admission.admit(shared.clock.now()) {
                Some(connection) => {
                    tokio::spawn(serve_connection(shared.clone(), stream, connection));
                }
                None => shared.metrics.count("connection.refused"),
            },
            Err(error) => {
                slog::warn!(shared.logger, "gateway: cannot accept connection"; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Answers the load balancer's readiness probes. Runs until the process ends.
pub async fn answer_probes<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    listener: P,
) {
    let clock = shared.clock.clone();
    let connections = Registry::new(MAX_PROBE_CONNECTIONS);
    let answer = move |request| answer_probe(&shared, request);
    serve_sync(listener, clock, connections, answer).await;
}

/// Answers scrapes of the metrics. Runs until the process ends.
pub async fn answer_scrapes<C: Clock, P: Listen<Stream = S>, S>(
    metrics: Metrics,
    clock: C,
    listener: P,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let answer = move |request: Request<Incoming>| match request.uri().path() {
        METRICS_PATH => Response::new(Body::full(metrics.exposition())),
        _ => empty_response(StatusCode::NOT_FOUND),
    };
    serve_sync(
        listener,
        clock,
        Registry::new(MAX_SCRAPE_CONNECTIONS),
        answer,
    )
    .await;
}

/// Serves requests with a handler that does not wait. The oldest connection is closed for one that
/// does not fit.
async fn serve_sync<P, S, C, H>(mut listener: P, clock: C, connections: Arc<Registry>, handler: H)
where
    C: Clock,
    P: Listen<Stream = S>,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Incoming>) -> Response<Body> + Clone + Send + 'static,
{
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(connection) = connections.admit(clock.now()) else {
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PROBE_HEAD_TIMEOUT)
            .max_buf_size(MIN_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                // Errors of such a connection matter only to its peer.
                _ = served => {}
                () = connection.evicted() => {}
            }
        });
    }
}

/// Creates a response without a body.
fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Answers a readiness probe.
fn answer_probe<N, C, D: Dialect>(
    shared: &Shared<N, C, D>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, _) = request.into_parts();
    empty_response(
        match (shared.dialect.is_readiness_probe(&head), shared.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        },
    )
}

/// Drains the host. Readiness fails at once, and new connections are accepted
/// until the lame-duck period is over. Afterwards, waits until all connections
/// are closed. Shortly before the grace period ends, each request that is still open is given
/// up with an answer. Returns whether all connections were closed before.
pub async fn drain<N, C: Clock, D>(shared: &Shared<N, C, D>) -> bool {
    let now = shared.clock.now();
    let grace = shared.settings.grace_period.saturating_sub(EXIT_RESERVE);
    // A second signal does not extend the first one's times.
    let _ = shared.stop.set(Stop {
        lame_duck_until: now + shared.settings.lame_duck_period,
        exits_at: now + grace,
    });
    shared.draining.send_replace(true);
    shared.announce_requested.notify_one();
    slog::info!(shared.logger, "gateway: stopping"; "connections" => shared.connections.count());
    let ended = tokio::time::timeout(grace, async {
        tokio::time::sleep(shared.settings.lame_duck_period).await;
        shared.connections.wait_idle().await;
    });
    let is_complete = ended.await.is_ok();
    if !is_complete {
        slog::warn!(shared.logger, "gateway: giving up open requests";
            "connections" => shared.connections.count());
        shared.giving_up.send_replace(true);
        // A caller that does not read is cut off.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, shared.connections.wait_idle()).await;
    }
    slog::info!(shared.logger, "gateway: stopped"; "connections" => shared.connections.count());
    is_complete
}

/// Waits until the host drains and the lame-duck period is over.
async fn wait_for_close<N, C, D>(shared: Arc<Shared<N, C, D>>) {
    let mut draining = shared.draining.subscribe();
    // The sender lives as long as the gateway.
    let _ = draining.wait_for(|draining| *draining).await;
    if let Some(stop) = shared.stop.get() {
        tokio::time::sleep_until(stop.lame_duck_until.into()).await;
    }
}

/// Serves a connection until it ends or exceeds a timeout.
async fn serve_connection<N: Net, C: Clock, D: Dialect>(
    shared: Arc<Shared<N, C, D>>,
    stream: N::Stream,
    connection: Connection,
) {
    let _guard = shared.connections.enter();
    let caller = shared.net.peer(&stream);
    let limits = shared.table.load().limits();
    let connection = Arc::new(connection);
    let activity = Activity::new(shared.clock.now(), connection.clone());
    let closing = Closing::default();
    let service = service_fn(|request| {
        let (shared, activity) = (shared.clone(), activity.clone());
        let guard = activity.begin_request(shared.clock.now());
        let (closing, version) = (closing.clone(), Caller::of(&request));
        // An idle connection does not hold the memory of a request's state.
        Box::pin(async move {
            let response = answer(shared.clone(), caller, request, &activity).await;
            let response = response.map(|body| guard.track(body, shared.clock.clone()));
            Ok::<_, Infallible>(closing.watch(version, response))
        })
    });
    let stream = closing::Stream::new(stream, shared.net.clone(), closing.clone());
    let stream = TrackedStream::new(stream, activity.clone(), shared.clock.clone());
    let served = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    let mut close = pin!(wait_for_close(shared.clone()));
    let mut closing = false;
    let mut timer = pin!(tokio::time::sleep(limits.idle_timeout));
    let mut evicted = pin!(connection.evicted());
    let ended = poll_fn(|cx| {
        if evicted.as_mut().poll(cx).is_ready() {
            shared.metrics.count("connection.closed_for_another");
            return Poll::Ready(None);
        }
        if let Poll::Ready(ended) = served.as_mut().poll(cx) {
            return Poll::Ready(Some(ended));
        }
        if !closing && close.as_mut().poll(cx).is_ready() {
            closing = true;
            served.as_mut().graceful_shutdown();
            if let Poll::Ready(ended) = served.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
        }
        poll_timeout(timer.as_mut(), &activity, limits, shared.clock.now(), cx)
    });
    if let Some(Err(error)) = ended.await {
        let cut_by = if error.is_user() { "host" } else { "caller" };
        slog::debug!(shared.logger, "gateway: caller's connection failed";
            "error" => %error, "cut_by" => cut_by);
    }
}

/// Polls for the idle or header timeout of a connection. Returns
/// `Poll::Ready(None)` once it has expired.
fn poll_timeout<T>(
    mut timer: Pin<&mut tokio::time::Sleep>,
    activity: &Activity,
    limits: Limits,
    now: Instant,
    cx: &mut std::task::Context<'_>,
) -> Poll<Option<T>> {
    loop {
        let deadline = activity.deadline(limits, now);
        let deadline = tokio::time::Instant::from_std(deadline);
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        if !activity.is_busy() {
            return Poll::Ready(None);
        }
        timer.as_mut().reset(deadline + limits.idle_timeout);
    }
}

/// Answers a request. While the host drains, a persistent connection is closed
/// after its answer, so that its caller reconnects to another host.
async fn answer<N: Net, C: Clock, D: Dialect>(
    shared: Arc<Shared<N, C, D>>,
    caller: Option<IpAddr>,
    request: Request<Incoming>,
    activity: &Activity,
) -> Response<Body> {
    let mut response = respond(shared.clone(), caller, request, activity).await;
    if *shared.draining.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a request and forwards it, or answers it with a refusal.
async fn respond<N: Net, C: Clock, D: Dialect>(
    shared: Arc<Shared<N, C, D>>,
    caller: Option<IpAddr>,
    request: Request<Incoming>,
    activity: &Activity,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let mut record = Record::new(
        shared.logger.clone(),
        shared.metrics.clone(),
        shared.clock.clone(),
        shared.dialect.describe(&head),
    );
    record.caller = caller;
    record.protocol = head.version;
    let found = match find_route(&shared, &head, &mut record) {
        Ok(found) => found,
        Err(refusal) => return refuse(&shared, &mut record, refusal),
    };
    let Destination {
        route,
        account,
        has_accounts,
    } = found;
    let now = record.arrival;
    let timeout = record.description.timeout.unwrap_or(route.timeout);
    let deadline = now + timeout.min(route.timeout);
    let service = record.service.clone();
    let memory = shared.open.share(&service);
    shared
        .make_room(&memory, EXCHANGE_BYTES, Purpose::Exchange)
        .await;
    let Some(state) = memory.reserve(EXCHANGE_BYTES, Purpose::Exchange) else {
        report_no_memory(&shared, &record, &memory, "request.no_memory");
        let mut response = refuse(&shared, &mut record, Refusal::new(Code::Full));
        // The connection takes memory as well.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        return response;
    };
    let memory = shared.held.share(&service);
    let body = match read_body(&shared, body, deadline, &record, &memory).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&shared, &mut record, refusal),
    };
    activity.end_body(shared.clock.now());
    let charging = quota::charge(&shared, account.as_ref(), record.description.total_tokens);
    let charged = shared.run_until(deadline, charging).await;
    let charged = charged.unwrap_or_else(|cause| Err(Refusal::interrupted(cause, false)));
    let charge = match charged {
        Ok(charge) => charge,
        Err(refusal) => return refuse(&shared, &mut record, refusal),
    };
    shared.earn_retry(now, &service);
    let input = prepare_input(
        &shared,
        head,
        body,
        &record,
        deadline,
        has_accounts,
        account.as_deref(),
    );
    shared.record_arrival(&service, &input);
    if let Err(time) = shared.admit(&input) {
        let refusal = Refusal::at_earliest(Code::Barred, time);
        return refuse(&shared, &mut record, refusal);
    }
    let engine = shared.table.load().engine(&service);
    let stream = stream_digest(&route, &record.description);
    let mut call = Call {
        input: Arc::new(input),
        shared: shared.clone(),
        record,
        route,
        account,
        service,
        stream,
        version: None,
        deadline,
        memory,
        charge,
        _state: state,
    };
    let restricted = shared.run_until(deadline, call.restrict_version()).await;
    let restricted =
        restricted.unwrap_or_else(|interruption| Err(Refusal::interrupted(interruption, false)));
    if let Err(refusal) = restricted {
        return refuse(&shared, &mut call.record, refusal);
    }
    let engine = engine.filter(|_| call.route.kind.is_stream());
    let (mut call, refusal) = match engine {
        Some(engine) => match generate::serve(call, engine).await {
            Ok(response) => return response,
            Err(refused) => refused,
        },
        None => match plain::serve(&mut call).await {
            Ok(response) => {
                call.record.mark_answer_started();
                call.record
                    .set_outcome("answered", response.status().as_u16());
                return response;
            }
            Err(refusal) => (call, refusal),
        },
    };
    refuse(&shared, &mut call.record, refusal)
}

impl<N, C: Clock, D> Shared<N, C, D> {
    /// Closes connections of callers that do not send the rest of a body, or do not read an answer,
    /// until there is room for bytes, or no such connection.
    pub(super) async fn make_room(&self, memory: &held::Share, bytes: usize, purpose: Purpose) {
        for _ in 0..MAX_EVICTIONS {
            let has_room = memory.reserve(bytes, purpose).is_some();
            // Closing others gives a service no more than its share.
            let is_hopeless = memory.is_exceeded(bytes, purpose);
            if has_room || is_hopeless || !self.admission.evict_for_memory(self.clock.now()) {
                return;
            }
            self.metrics.count("connection.evicted");
            tokio::time::sleep(EVICTION_TIME).await;
        }
    }
}

/// What one version of the configuration says of a request.
struct Destination {
    route: Route,
    /// Client account of the caller, or `None` if the request needs none.
    account: Option<Arc<Account>>,
    /// Whether the deployment has client accounts.
    has_accounts: bool,
}

/// Finds a request's route and client account, and chooses a service from the route's targets.
fn find_route<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    head: &http::request::Parts,
    record: &mut Record<C>,
) -> Result<Destination, Refusal> {
    let table = shared.table.load();
    record.configuration_version = table.version();
    if table.version() == 0 {
        return Err(Refusal::new(Code::NoConfiguration));
    }
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).or(head.uri.host());
    let host = host.unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.find(host, head.uri.path());
    let route = route.ok_or(Refusal::new(Code::NoService))?.clone();
    record.route = route.name.clone();
    let account = table.authenticate(&route, record.description.key);
    let account = account.map_err(|UnknownKey| Refusal::new(Code::UnknownKey))?;
    record.account = account.as_ref().map(|account| account.name.clone());
    let service = shared.choose_service(&route, &record.description);
    record.service = service.ok_or(Refusal::new(Code::NoEndpoint))?;
    Ok(Destination {
        route,
        account,
        has_accounts: table.accounts().is_configured(),
    })
}

/// Counts and logs that there is no memory left for a service.
fn report_no_memory<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    record: &Record<C>,
    memory: &held::Share,
    counter: &str,
) {
    shared.metrics.count(counter);
    let usage = memory.usage();
    slog::info!(shared.logger, "gateway: no memory"; "counter" => counter,
        "request" => %record.description.attempt_id, "service" => %record.service,
        "requests_bytes" => usage.requests, "answers_bytes" => usage.answers,
        "held_bytes" => shared.held.held_bytes(), "open_bytes" => shared.open.held_bytes());
}

/// Answers with a refusal and records it.
fn refuse<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    record: &mut Record<C>,
    refusal: Refusal,
) -> Response<Body> {
    shared.metrics.count_refusal(refusal.code);
    let response = refusal.response(&shared.dialect);
    record.set_outcome(refusal.code.slug(), response.status().as_u16());
    response
}

/// Prepares a request for sending to endpoints.
fn prepare_input<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    mut head: http::request::Parts,
    body: Chunks,
    record: &Record<C>,
    deadline: Instant,
    has_accounts: bool,
    account: Option<&Account>,
) -> Input {
    shared.dialect.strip_headers(&mut head.headers);
    if has_accounts {
        let name = account.map(|account| account.name.as_str());
        shared.dialect.set_account(&mut head.headers, name);
    }
    Input {
        head,
        body: Mutex::new(Kept::Needed(body)),
        attempt_id: record.description.attempt_id.clone(),
        arrival: record.arrival,
        deadline,
        caller: record.caller,
        digest: OnceLock::new(),
        parts: digest_parts(&record.service, &record.description.shared_parts),
    }
}

/// Reads a request's body, up to the configured size.
///
/// # Errors
///
/// Returns a refusal if the body is too large or broken, if it is not complete
/// at the deadline or when the host exits, or if the host has no memory left for it.
async fn read_body<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    body: Incoming,
    deadline: Instant,
    record: &Record<C>,
    memory: &held::Share,
) -> Result<Chunks, Refusal> {
    let limit = shared.table.load().limits().max_body_bytes;
    let size = http_body::Body::size_hint(&body);
    if size.lower() > limit as u64 {
        return Err(Refusal::new(Code::BodyTooLarge));
    }
    let expected = size
        .exact()
        .map_or(MAX_SMALL_BYTES, |length| length as usize);
    let purpose = Purpose::of_request(expected);
    shared.make_room(memory, expected, purpose).await;
    let read = held::read(memory, body, limit, Purpose::of_request);
    let read = shared.run_until(deadline, read).await;
    let read = read.map_err(|interruption| Refusal::interrupted(interruption, false))?;
    read.map_err(|error| match error {
        ReadError::TooLarge => Refusal::new(Code::BodyTooLarge),
        ReadError::NoMemory => {
            report_no_memory(shared, record, memory, "body.no_memory");
            Refusal::new(Code::Full)
        }
        ReadError::Broken(error) => {
            slog::debug!(shared.logger, "gateway: cannot read request body"; "error" => %error);
            Refusal::new(Code::BadRequest)
        }
    })
}
