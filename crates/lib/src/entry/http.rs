//! HTTP server for callers and operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{header, HeaderMap, Method, Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use serde_json::json;
use slog::debug;

use cranberryridge_wire::code::Code;

use super::{keys, model, plain, Shared};
use crate::body::{Body, ReadError};
use crate::clock::Clock;
use crate::gateway::held;
use crate::net::closing::{self, Caller, Closing};
use crate::net::{Listen, Net};
use crate::problem::Problem;

/// Maximum time to read a request's head, and interval of the HTTP/2 keep-alive pings.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a request's head, and of what a connection buffers, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most bytes of a connection that are read at once. Buffers of connections whose heads are short
/// so stay at the HTTP library's first size.
const MAX_READ_BYTES: usize = 4 * 1024;

const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the grace period of the entry's shutdown is over.
pub async fn run<N: Net, C: Clock, P: Listen<Stream = N::Stream>>(
    shared: Arc<Shared<N, C>>,
    mut listener: P,
) {
    let drained = wait_drained(shared.clone());
    let mut drained = std::pin::pin!(drained);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = drained.as_mut() => return,
        };
        match accepted {
            Ok(stream) => {
                tokio::spawn(serve_connection(shared.clone(), stream));
            }
            Err(error) => {
                debug!(shared.logger, "entry: accept failed"; "error" => %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Waits until the entry drains and its grace period is over. During the grace period
/// the load balancer may still send requests.
async fn wait_drained<N, C>(shared: Arc<Shared<N, C>>) {
    let mut closing = shared.closing.subscribe();
    // The sender lives as long as the entry, so the wait cannot fail.
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Serves one connection and shuts it down gracefully once the entry has drained.
async fn serve_connection<N: Net, C: Clock>(shared: Arc<Shared<N, C>>, stream: N::Stream) {
    let _guard = shared.connections.enter();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .max_buf_size(MAX_HEAD_BYTES)
        .header_read_timeout(HEAD_TIMEOUT);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(MAX_HEAD_BYTES as u32)
        .keep_alive_interval(HEAD_TIMEOUT);
    let closing = Closing::default();
    let service = service_fn(|request| {
        let (shared, closing) = (shared.clone(), closing.clone());
        let caller = Caller::of(&request);
        async move {
            let response = respond(shared, request).await;
            Ok::<_, std::convert::Infallible>(closing.watch(caller, response))
        }
    });
    let stream = closing::Stream::new(stream, shared.net.clone(), closing.clone())
        .with_max_read_bytes(MAX_READ_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = wait_drained(shared.clone()) => connection.as_mut().graceful_shutdown(),
    }
    // The tasks of its requests handle a broken connection themselves.
    let _ = connection.await;
}

/// Answers one request. While the entry drains, an HTTP/1 connection closes after its
/// answer, so that the caller reconnects to another entry.
async fn respond<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let version = request.version();
    let mut response = route(shared.clone(), request).await;
    if version < Version::HTTP_2 && *shared.draining.borrow() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Dispatches a request by its path.
async fn route<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<Incoming>,
) -> Response<Body> {
    let path = request.uri().path();
    let answer = match path {
        "/healthz" => return Response::new(Body::full("ok\n")),
        "/readyz" => return readiness_response(&shared),
        "/status" => return status_response(&shared),
        "/configuration" => return configuration_response(&shared),
        "/v1/models" => return models_response(&shared),
        "/v1/completions" => serve_completions(shared.clone(), request, false).await,
        "/v1/chat/completions" => serve_completions(shared.clone(), request, true).await,
        _ if path.starts_with("/keys/") => {
            keys::serve(
                &shared,
                request.method(),
                path,
                &client_account(request.headers()),
            )
            .await
        }
        _ if path.starts_with("/services/") => serve_call(shared.clone(), request).await,
        _ => Err(Problem::with_detail(
            Code::BadRequest,
            format!("no such path: {path}"),
        )),
    };
    answer.unwrap_or_else(|problem| {
        shared.metrics.count_refusal(problem.code);
        problem.response()
    })
}

/// Tells the load balancer whether it may send requests.
fn readiness_response<N, C>(shared: &Shared<N, C>) -> Response<Body> {
    let ready = shared.is_ready();
    let mut response = Response::new(Body::full(if ready { "ready\n" } else { "not ready\n" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Reports the entry's state to operators.
fn status_response<N, C>(shared: &Shared<N, C>) -> Response<Body> {
    let snapshot = shared.snapshot.load();
    let sidecars = snapshot.view.sidecars.values().map(|sidecar| {
        let endpoints = sidecar
            .endpoints
            .iter()
            .filter_map(|key| snapshot.view.endpoints.get(*key));
        let endpoints = endpoints.map(|endpoint| {
            json!({
                "kind": endpoint.info.kind,
                "serves": endpoint.info.serves,
                "load": endpoint.load,
            })
        });
        json!({
            "name": sidecar.name,
            "address": sidecar.address,
            "domain": sidecar.domain,
            "version": sidecar.version,
            "connected": sidecar.connected,
            "draining": sidecar.draining,
            "endpoints": endpoints.collect::<Vec<_>>(),
        })
    });
    let counters = shared
        .metrics
        .counts()
        .into_iter()
        .collect::<std::collections::BTreeMap<_, _>>();
    let document = json!({
        "name": shared.settings.common.name,
        "domain": shared.settings.common.domain,
        "version": shared.configuration.borrow().version,
        "draining": *shared.draining.borrow(),
        "requests": *shared.in_flight.borrow(),
        "sidecars": sidecars.collect::<Vec<_>>(),
        "counters": counters,
    });
    json_response(&document)
}

/// Returns the configuration in force, for the operators' command.
fn configuration_response<N, C>(shared: &Shared<N, C>) -> Response<Body> {
    json_response(&json!(shared.feed.log_copy()))
}

/// Lists the models in the format of the OpenAI API.
fn models_response<N, C>(shared: &Shared<N, C>) -> Response<Body> {
    let configuration = shared.configuration.borrow().clone();
    let services = configuration
        .services
        .values()
        .filter(|service| !service.model.is_empty());
    let models = services.map(|service| json!({ "id": service.name, "object": "model" }));
    json_response(&json!({ "object": "list", "data": models.collect::<Vec<_>>() }))
}

/// Creates a response with a JSON document.
pub(super) fn json_response(document: &serde_json::Value) -> Response<Body> {
    let mut response = Response::new(Body::full(document.to_string()));
    let media = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}

/// Serves a completion or chat completion.
async fn serve_completions<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<Incoming>,
    chat: bool,
) -> Result<Response<Body>, Problem> {
    if request.method() != Method::POST {
        return Err(Problem::new(Code::BadMethod));
    }
    let (head, body) = request.into_parts();
    let arrival = shared.clock.now();
    let client = client_account(&head.headers);
    let body = read_body(&shared, &client, body).await?;
    model::serve(
        shared,
        model::Input {
            arrival,
            client,
            path: CompactString::from(head.uri.path()),
            body,
            chat,
        },
    )
    .await
}

/// Serves a call of a plain service.
async fn serve_call<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let (head, body) = request.into_parts();
    let arrival = shared.clock.now();
    let client = client_account(&head.headers);
    let body = read_body(&shared, &client, body).await?;
    plain::serve(
        shared,
        plain::Input {
            arrival,
            client,
            head,
            body,
        },
    )
    .await
}

/// Reads a request's body within the limits of size, time and memory.
async fn read_body<N, C>(
    shared: &Shared<N, C>,
    client: &CompactString,
    body: Incoming,
) -> Result<Bytes, Problem> {
    let limit = shared.settings.max_body_bytes as usize;
    let share = shared.bodies.share(client);
    let read = held::read_whole(&share, body, limit);
    let read = tokio::time::timeout(BODY_TIMEOUT, read);
    let read = shared.run_until_exit(read).await;
    let read = read.map_err(|interruption| Problem::new(interruption.code(false)))?;
    let read =
        read.map_err(|_| Problem::with_detail(Code::BadRequest, "the body came too slowly"))?;
    read.map_err(|error| match error {
        ReadError::TooLarge => Problem::with_detail(
            Code::BodyTooLarge,
            format!("at most {limit} bytes are taken"),
        ),
        ReadError::NoMemory => Problem::with_detail(
            Code::Full,
            "no memory left for bodies; send fewer or smaller ones at a time",
        ),
        error => Problem::with_detail(Code::BadRequest, error.to_string()),
    })
}

/// Returns the client account that a request names: the `x-client` header, else the
/// bearer token, else `anonymous`.
fn client_account(headers: &HeaderMap) -> CompactString {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let bearer = text("authorization").and_then(|value| value.strip_prefix("Bearer "));
    text("x-client").or(bearer).unwrap_or("anonymous").into()
}
