//! Interface to model engines, and its implementation over HTTP.

use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use eventsource_stream::{EventStream, Eventsource};
use futures::{Stream, StreamExt};
use http::{header, Method, Request, StatusCode};
use http_body_util::{BodyDataStream, Full};
use hyper::body::Incoming;
use serde_json::{json, Value};

use cranberryridge_policy::answer::{self, Conclusion, Framing, Sequence};
use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::message::Ticket;

use crate::client::{self, Client};
use crate::events::{self, MAX_EVENT_BYTES};
use crate::net::Net;

/// Time without progress after which a decode fails as stalled.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer that is no stream, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// Timeout of a cancellation and of a listing.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Lifetime of a prefill's result if the engine does not report it.
const DEFAULT_LIFETIME_MS: u64 = 800;

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Stream of the events of an answer.
    type Answer: Answer;

    /// Processes a prompt. The engine keeps the KV cache for a transfer.
    fn prefill(&self, job: &Job) -> impl Future<Output = Result<Ticket, Error>> + Send;

    /// Imports a KV cache and starts to generate the answer.
    fn decode(
        &self,
        job: &Job,
        ticket: &Ticket,
    ) -> impl Future<Output = Result<Self::Answer, Error>> + Send;

    /// Cancels a request and frees its memory.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<(), Error>> + Send;

    /// Lists the ids of the requests that hold memory.
    fn list(&self) -> impl Future<Output = Result<Vec<String>, Error>> + Send;
}

/// Stream of the events of an answer.
pub trait Answer: Send + 'static {
    /// Waits for the data of the next event; `None` after the last one.
    fn next(&mut self) -> impl Future<Output = Result<Option<Blob>, Error>> + Send;
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request at the engine, used to cancel it.
    pub id: String,
    /// Path in the engine's API.
    pub path: CompactString,
    /// Request body of the caller, as JSON.
    pub body: Blob,
    /// Model that the endpoint serves; replaces the caller's.
    pub model: CompactString,
    /// Priority; lower values go first.
    pub priority: i64,
}

/// Failure of a request to an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection was made, so nothing ran.
    #[error("engine not reached: {0}")]
    Unreachable(String),
    /// The engine answered with an error status, or the caller's body is not JSON.
    #[error("engine refused with {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer, or the JSON error.
        text: String,
    },
    /// The connection broke or the answer was invalid, as after a crash.
    #[error("engine broke off: {0}")]
    Broken(String),
    /// The engine answered with something other than a stream of events.
    #[error("engine sent no stream: {0}")]
    NoStream(&'static str),
    /// The engine made no progress in time.
    #[error("engine stalled")]
    Stalled,
}

impl Error {
    /// The code that an entry gets for the failure of a request that had started.
    pub fn code(&self) -> Code {
        match self {
            Self::Unreachable(_) => Code::NoEndpoint,
            // The result of the prefill no longer exists; the body is not at fault.
            Self::Refused { status: 409, .. } => Code::TransferFailed,
            Self::Refused {
                status: 400..=499, ..
            } => Code::BadBody,
            Self::Refused { .. } | Self::NoStream(_) => Code::EndpointFailed,
            Self::Broken(_) => Code::EndpointCrashed,
            Self::Stalled => Code::TransferFailed,
        }
    }
}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        match error {
            client::Error::Connect(error) => Self::Unreachable(error.to_string()),
            error => Self::Broken(error.to_string()),
        }
    }
}

/// An engine with an OpenAI-compatible HTTP interface.
#[derive(Clone, Debug)]
pub struct Http<N> {
    client: Client<N>,
}

impl<N: Net> Http<N> {
    /// Creates an engine from a client of its server.
    pub fn new(client: Client<N>) -> Self {
        Self { client }
    }
}

impl<N: Net> Engine for Http<N> {
    type Answer = Events;

    async fn prefill(&self, job: &Job) -> Result<Ticket, Error> {
        let mut body = request_body(job)?;
        body["stream"] = json!(false);
        body["max_tokens"] = json!(1);
        body["kv_transfer_params"] = json!({ "do_remote_decode": true });
        let answer = self
            .client
            .fetch(build_request(&job.path, &job.id, &body))
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(refusal(answer.status(), answer.body()));
        }
        let answer = serde_json::from_slice::<Value>(answer.body());
        let answer = answer.map_err(|error| Error::Broken(error.to_string()))?;
        Ok(parse_ticket(&answer))
    }

    async fn decode(&self, job: &Job, ticket: &Ticket) -> Result<Events, Error> {
        let mut body = request_body(job)?;
        if body["stream"] != json!(true) {
            // An answer that is not streamed contains the usage, but engines include it in
            // a stream only on request.
            body["stream_options"] = json!({ "include_usage": true });
        }
        body["stream"] = json!(true);
        let params = serde_json::from_slice::<Value>(ticket.params.as_slice());
        body["kv_transfer_params"] = params.map_err(|error| Error::Broken(error.to_string()))?;
        body["kv_transfer_params"]["do_remote_prefill"] = json!(true);
        let answer = self.client.send(build_request(&job.path, &job.id, &body));
        let answer = tokio::time::timeout(STALL_TIMEOUT, answer)
            .await
            .map_err(|_| Error::Stalled)??;
        if answer.status() != StatusCode::OK {
            return Err(refusal(answer.status(), b""));
        }
        if !events::is_event_stream(answer.headers()) {
            return Err(Error::NoStream("other media type"));
        }
        let unparsed_bytes = Arc::new(AtomicUsize::new(0));
        let data = Data {
            inner: BodyDataStream::new(answer.into_body()),
            unparsed_bytes: unparsed_bytes.clone(),
        };
        Ok(Events {
            inner: data.eventsource(),
            unparsed_bytes,
            sequence: Sequence::default(),
        })
    }

    async fn cancel(&self, id: &str) -> Result<(), Error> {
        let request = build_request(&format!("/cancel/{id}"), id, &Value::Null);
        let answer = tokio::time::timeout(CONTROL_TIMEOUT, self.client.fetch(request));
        answer.await.map_err(|_| Error::Stalled)??;
        Ok(())
    }

    async fn list(&self) -> Result<Vec<String>, Error> {
        let mut request = build_request("/requests", "", &Value::Null);
        *request.method_mut() = Method::GET;
        let answer = tokio::time::timeout(CONTROL_TIMEOUT, self.client.fetch(request));
        let answer = answer.await.map_err(|_| Error::Stalled)??;
        if answer.status() != StatusCode::OK {
            return Err(refusal(answer.status(), answer.body()));
        }
        let ids = serde_json::from_slice(answer.body());
        ids.map_err(|error| Error::Broken(error.to_string()))
    }
}

/// Server-sent events of an answer.
pub struct Events {
    inner: EventStream<Data>,
    /// Bytes that were read since the last event.
    unparsed_bytes: Arc<AtomicUsize>,
    /// Events so far. Their ids are not kept, as the sidecar numbers them.
    sequence: Sequence,
}

/// Bytes of an answer. Fails if an event is too long, as the parser keeps all of it.
struct Data {
    inner: BodyDataStream<Incoming>,
    /// Bytes that were read since the last event.
    unparsed_bytes: Arc<AtomicUsize>,
}

impl Stream for Data {
    type Item = Result<Bytes, client::Error>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        if this.unparsed_bytes.load(Ordering::Relaxed) > MAX_EVENT_BYTES {
            let error = client::Error::Unreadable("event too long".into());
            return Poll::Ready(Some(Err(error)));
        }
        let data = ready!(this.inner.poll_next_unpin(cx));
        if let Some(Ok(data)) = &data {
            this.unparsed_bytes.fetch_add(data.len(), Ordering::Relaxed);
        }
        Poll::Ready(data.map(|data| data.map_err(client::Error::from)))
    }
}

impl Answer for Events {
    async fn next(&mut self) -> Result<Option<Blob>, Error> {
        let event = tokio::time::timeout(STALL_TIMEOUT, pin!(self.inner.next())).await;
        self.unparsed_bytes.store(0, Ordering::Relaxed);
        match event.map_err(|_| Error::Stalled)? {
            Some(Ok(event)) if event.data == "[DONE]" => {
                // The event states the end, as a chunk would.
                match self.sequence.conclude(Framing::Chunks, false) {
                    Conclusion::Complete(_) => Ok(None),
                    _ => Err(Error::NoStream("no event")),
                }
            }
            Some(Ok(event)) => {
                let admitted = self.sequence.admit(answer::Event { id: None });
                admitted.map_err(|_| Error::NoStream("out of order"))?;
                Ok(Some(event.data.into_bytes().into()))
            }
            Some(Err(error)) => Err(Error::Broken(error.to_string())),
            None => Err(Error::Broken("no end of the stream".into())),
        }
    }
}

/// The caller's body with the model and the priority of the job.
fn request_body(job: &Job) -> Result<Value, Error> {
    let body = serde_json::from_slice::<Value>(job.body.as_slice());
    let mut body = body.map_err(|error| Error::Refused {
        status: 400,
        text: error.to_string(),
    })?;
    body["model"] = json!(job.model);
    body["priority"] = json!(job.priority);
    Ok(body)
}

/// Builds a POST request with a JSON body.
fn build_request(path: &str, id: &str, body: &Value) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body.to_string())));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Ok(id) = id.parse() {
        headers.insert("x-request-id", id);
    }
    request
}

fn refusal(status: StatusCode, body: &[u8]) -> Error {
    Error::Refused {
        status: status.as_u16(),
        text: String::from_utf8_lossy(body).into_owned(),
    }
}

/// Parses the engine's answer to a prefill. Missing token counts become 0.
fn parse_ticket(answer: &Value) -> Ticket {
    let usage = &answer["usage"];
    let number = |value: &Value| u32::try_from(value.as_u64().unwrap_or(0)).unwrap_or(u32::MAX);
    let params = &answer["kv_transfer_params"];
    let lifetime = params["ttl_ms"].as_u64().unwrap_or(DEFAULT_LIFETIME_MS);
    Ticket {
        params: params.to_string().into_bytes().into(),
        tokens: number(&usage["prompt_tokens"]),
        cached: number(&usage["prompt_tokens_details"]["cached_tokens"]),
        life: Duration::from_millis(lifetime).into(),
    }
}
