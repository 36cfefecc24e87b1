//! The server towards callers.

use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::pin::{pin, Pin};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{header, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use cranberryridge_policy::gateway::place::Scope;
use cranberryridge_policy::gateway::pool::{EndpointKey, Failure};
use cranberryridge_policy::gateway::route::{Limits, Route};
use cranberryridge_wire::code::Code;

use super::dialect::{Description, Dialect};
use super::exchange::Input;
use super::record::Record;
use super::refusal::Refusal;
use super::{generate, plain, Shared};
use crate::body::Body;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::net::{Listen, Net};

use self::activity::{Activity, Watched};

mod activity;

/// Pause after an accept that failed, mostly for want of descriptors.
pub(super) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The path on which metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// Smallest buffer that the server library takes, in bytes.
const SMALLEST_BUFFER: usize = 8192;

/// Targets of a route after which an endpoint that has not answered counts as
/// broken.
const OVERDUE: u32 = 2;

/// Part of the grace time that is kept for the process to end.
const LAST: Duration = Duration::from_millis(500);

/// A request on its way.
#[derive(Debug)]
pub(super) struct Call<N, C: Clock, D> {
    /// The gateway.
    pub shared: Arc<Shared<N, C, D>>,
    /// Its log line.
    pub record: Record<C>,
    /// The request as it goes to endpoints.
    pub input: Input,
    /// Its route.
    pub route: Route,
    /// The service that was drawn.
    pub service: CompactString,
    /// When nobody waits for it any more.
    pub expiry: Instant,
}

impl<N, C: Clock, D> Call<N, C, D> {
    /// Notes that an endpoint had the request until its time was over. A route
    /// whose time is short says nothing about the endpoint.
    pub fn overdue(&self, endpoint: Option<EndpointKey>) {
        let Some(key) = endpoint else { return };
        let now = self.shared.clock.now();
        let waited = now.saturating_duration_since(self.record.arrival);
        if waited >= self.route.latency_target * OVERDUE {
            self.shared.metrics.count("endpoint.overdue");
            self.shared.trouble(now, key, Failure::Broken);
        }
    }

    /// Where this request may go.
    pub fn scope<'a>(&'a self, excluded: &'a [EndpointKey]) -> Scope<'a> {
        Scope {
            service: &self.service,
            domain: &self.shared.settings.domain,
            excluded,
        }
    }

    /// The time that is left.
    pub fn left(&self) -> Duration {
        self.expiry
            .saturating_duration_since(self.shared.clock.now())
    }
}

/// Takes callers' connections until the host has drained its settling time.
pub async fn callers<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    mut listener: P,
) {
    let mut settled = pin!(settled(shared.clone()));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = settled.as_mut() => return,
        };
        match accepted {
            Ok(stream) => {
                tokio::spawn(connection(shared.clone(), stream));
            }
            Err(error) => {
                slog::warn!(shared.logger, "gateway: connection not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the balancer's probes.
pub async fn probes<N: Net, C: Clock, D: Dialect, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C, D>>,
    listener: P,
) {
    serve_small(listener, move |request| probe(&shared, request)).await;
}

/// Answers scrapers of metrics.
pub async fn scrapes<P: Listen<Stream = S>, S>(metrics: Metrics, listener: P)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    serve_small(listener, move |request| match request.uri().path() {
        METRICS_PATH => Response::new(Body::full(metrics.exposition())),
        _ => status(StatusCode::NOT_FOUND),
    })
    .await;
}

/// Serves requests whose answers are at hand.
async fn serve_small<P, S, H>(mut listener: P, handler: H)
where
    P: Listen<Stream = S>,
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Fn(Request<Incoming>) -> Response<Body> + Clone + Send + 'static,
{
    loop {
        let Ok(stream) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // How such a connection ends concerns its caller alone.
        tokio::spawn(async move { served.await.unwrap_or_default() });
    }
}

/// An answer without content.
fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Answers one probe.
fn probe<N, C, D: Dialect>(shared: &Shared<N, C, D>, request: Request<Incoming>) -> Response<Body> {
    let (head, _) = request.into_parts();
    status(match (shared.dialect.asks_ready(&head), shared.ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    })
}

/// Drains the host: not ready at once, no new connection after the settling
/// time, at its end when nothing is under way or the grace time is over.
/// Returns whether nothing was cut off.
pub async fn drain<N, C, D>(shared: &Shared<N, C, D>) -> bool {
    shared.draining.send_replace(true);
    shared.announce.notify_one();
    slog::info!(shared.logger, "gateway: stopping"; "connections" => shared.connections.count());
    let grace = shared.settings.grace.saturating_sub(LAST);
    let ended = tokio::time::timeout(grace, async {
        tokio::time::sleep(shared.settings.settle).await;
        shared.connections.idle().await;
    });
    let whole = ended.await.is_ok();
    slog::info!(shared.logger, "gateway: stopped"; "connections" => shared.connections.count());
    whole
}

/// Waits until the host has drained its settling time.
async fn settled<N, C, D>(shared: Arc<Shared<N, C, D>>) {
    let mut draining = shared.draining.subscribe();
    // The sender lives as long as the gateway.
    let _ = draining.wait_for(|draining| *draining).await;
    tokio::time::sleep(shared.settings.settle).await;
}

/// Serves one connection, until it is idle or slow for too long.
async fn connection<N: Net, C: Clock, D: Dialect>(shared: Arc<Shared<N, C, D>>, stream: N::Stream) {
    let _guard = shared.connections.enter();
    let limits = shared.table.load().limits();
    let activity = Activity::new(shared.clock.now());
    let service = service_fn(|request| {
        let (shared, busy) = (shared.clone(), activity.begin());
        async move {
            let response = answer(shared.clone(), request).await;
            Ok::<_, Infallible>(response.map(|body| busy.until_end_of(body, shared.clock.clone())))
        }
    });
    let stream = Watched::new(stream, activity.clone(), shared.clock.clone());
    let served = http1::Builder::new()
        .max_buf_size(limits.max_head_bytes.max(SMALLEST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut served = pin!(served);
    let mut settled = pin!(settled(shared.clone()));
    let mut closing = false;
    let mut timer = pin!(tokio::time::sleep(limits.idle_timeout));
    let ended = poll_fn(|cx| {
        if let Poll::Ready(ended) = served.as_mut().poll(cx) {
            return Poll::Ready(Some(ended));
        }
        if !closing && settled.as_mut().poll(cx).is_ready() {
            closing = true;
            served.as_mut().graceful_shutdown();
            if let Poll::Ready(ended) = served.as_mut().poll(cx) {
                return Poll::Ready(Some(ended));
            }
        }
        wait(timer.as_mut(), &activity, limits, shared.clock.now(), cx)
    });
    if let Some(Err(error)) = ended.await {
        slog::debug!(shared.logger, "gateway: caller's connection broken"; "error" => %error);
    }
}

/// Waits until a connection has been idle or slow for too long.
fn wait<T>(
    mut timer: Pin<&mut tokio::time::Sleep>,
    activity: &Activity,
    limits: Limits,
    now: Instant,
    cx: &mut std::task::Context<'_>,
) -> Poll<Option<T>> {
    loop {
        let due = activity.due(limits, now);
        let due = tokio::time::Instant::from_std(due);
        if timer.deadline() != due {
            timer.as_mut().reset(due);
        }
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        if !activity.is_busy() {
            return Poll::Ready(None);
        }
        timer.as_mut().reset(due + limits.idle_timeout);
    }
}

/// Answers one request. While the host drains, a kept connection closes behind
/// its answer, so that its caller comes back to another host.
async fn answer<N: Net, C: Clock, D: Dialect>(
    shared: Arc<Shared<N, C, D>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let mut response = respond(shared.clone(), request).await;
    if *shared.draining.borrow() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads a request and has it served.
async fn respond<N: Net, C: Clock, D: Dialect>(
    shared: Arc<Shared<N, C, D>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let mut record = Record::new(
        shared.logger.clone(),
        shared.metrics.clone(),
        shared.clock.clone(),
        shared.dialect.describe(&head),
    );
    let route = match find(&shared, &head, &mut record) {
        Ok(route) => route,
        Err(refusal) => return refuse(&shared, &mut record, refusal),
    };
    let now = record.arrival;
    let patience = record.description.patience.unwrap_or(route.timeout);
    let expiry = now + patience.min(route.timeout);
    let mut hold = Hold::new(&shared);
    let body = match read(&shared, body, expiry, &mut hold).await {
        Ok(body) => body,
        Err(refusal) => return refuse(&shared, &mut record, refusal),
    };
    let service = record.service.clone();
    shared.earn(now, &service);
    let engine = shared.table.load().engine(&service);
    let mut call = Call {
        input: input(&shared, head, body, &record.description),
        shared: shared.clone(),
        record,
        route,
        service,
        expiry,
    };
    let engine = engine.filter(|_| call.route.kind.is_stream());
    let (mut call, refusal) = match engine {
        Some(engine) => match generate::serve(call, engine).await {
            Ok(response) => return response,
            Err(refused) => refused,
        },
        None => match plain::serve(&mut call).await {
            Ok(response) => {
                call.record.begin();
                call.record.end("answered", response.status().as_u16());
                return response;
            }
            Err(refusal) => (call, refusal),
        },
    };
    refuse(&shared, &mut call.record, refusal)
}

/// Finds a request's route and draws its service.
fn find<N, C: Clock, D>(
    shared: &Shared<N, C, D>,
    head: &http::request::Parts,
    record: &mut Record<C>,
) -> Result<Route, Refusal> {
    let table = shared.table.load();
    record.version = table.version();
    if table.version() == 0 {
        return Err(Refusal::new(Code::NoConfiguration));
    }
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).or(head.uri.host());
    let host = host.unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = table.find(host, head.uri.path());
    let route = route.ok_or(Refusal::new(Code::NoService))?.clone();
    let service = route.choose_service(&mut rand::rng());
    record.service = service.ok_or(Refusal::new(Code::NoEndpoint))?.clone();
    record.route = route.name.clone();
    Ok(route)
}

/// Answers with a refusal, and says so in the record.
fn refuse<N, C: Clock, D: Dialect>(
    shared: &Shared<N, C, D>,
    record: &mut Record<C>,
    refusal: Refusal,
) -> Response<Body> {
    shared.metrics.count_refusal(refusal.code);
    let response = refusal.response(&shared.dialect);
    record.end(refusal.code.slug(), response.status().as_u16());
    response
}

/// The request as it goes to endpoints.
fn input<N, C, D: Dialect>(
    shared: &Shared<N, C, D>,
    mut head: http::request::Parts,
    body: Bytes,
    description: &Description,
) -> Input {
    shared.dialect.clean(&mut head.headers);
    Input {
        head,
        body,
        attempt: description.attempt.clone(),
    }
}

/// Reads a request's body, within the limits of the configuration.
async fn read<N, C, D>(
    shared: &Shared<N, C, D>,
    body: Incoming,
    expiry: Instant,
    hold: &mut Hold<'_, N, C, D>,
) -> Result<Bytes, Refusal> {
    let limit = shared.table.load().limits().max_body_bytes;
    let mut parts = Vec::new();
    let mut body = Limited::new(body, limit);
    let deadline = tokio::time::Instant::from_std(expiry);
    loop {
        let frame = tokio::time::timeout_at(deadline, body.frame()).await;
        let frame = frame.map_err(|_| Refusal::new(Code::TooLate))?;
        let part = match frame {
            None => break,
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(Refusal::new(Code::BodyTooLarge));
            }
            Some(Err(error)) => {
                slog::debug!(shared.logger, "gateway: body broken"; "error" => %error);
                return Err(Refusal::new(Code::BadRequest));
            }
        };
        if !hold.grow(part.len()) {
            return Err(Refusal::new(Code::Full));
        }
        parts.push(part);
    }
    if parts.len() == 1 {
        return Ok(parts.swap_remove(0));
    }
    Ok(parts.concat().into())
}

/// Bytes of a request that are held.
struct Hold<'a, N, C, D> {
    /// The gateway.
    shared: &'a Shared<N, C, D>,
    /// The bytes.
    bytes: usize,
}

impl<'a, N, C, D> Hold<'a, N, C, D> {
    /// Holds nothing yet.
    fn new(shared: &'a Shared<N, C, D>) -> Self {
        Self { shared, bytes: 0 }
    }

    /// Holds more, if there is room for it.
    fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let held = self.shared.held.fetch_add(bytes, Ordering::Relaxed);
        held + bytes <= self.shared.settings.held
    }
}

impl<N, C, D> Drop for Hold<'_, N, C, D> {
    fn drop(&mut self) {
        self.shared.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
