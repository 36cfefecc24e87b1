//! Calls to plain services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::ToCompactString;
use http::{response, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use slog::{info, Logger};
use tokio::time::{sleep_until, Instant};

use cranberryridge_policy::answer::End;
use cranberryridge_policy::gate::Demand;
use cranberryridge_policy::issue;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::Digest;
use cranberryridge_wire::message::{
    Done, Down, Failure, Head, Header, Invoke, Issue, Issued, Settle, Verdict,
};

use super::attempt::{admit, Streams};
use super::calls::{Admission, Answer, Key};
use super::Shared;
use crate::client::{self, Client, Error};
use crate::clock::Clock;
use crate::events::{self, Scanner};
use crate::metrics::Metrics;
use crate::net::Net;
use crate::stream;

/// Maximum size of the body of an answer that is kept for its key.
const MAX_KEPT_BYTES: usize = 256 * 1024;

/// Time for which the body of an answer is read on after its entry has left. The service
/// has answered, so its call has run.
const READ_ON_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay of a call that is refused because no more calls can be recorded.
const FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Timeout of the connection that tests whether a service has crashed, also at the end of its
/// answer.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a plain call. A call that is not idempotent runs to its end even if its caller
/// is gone, because it cannot be undone.
pub async fn invoke<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    invoke: Invoke,
    mut streams: Streams,
) {
    let call = invoke.call.clone();
    let key = call_key(&invoke);
    if let Some(admission) = key.as_ref().and_then(|key| shared.calls.check_key(key)) {
        return answer_without_run(admission, call.attempt, &mut streams).await;
    }
    let endpoint = shared.settings.endpoints.get(usize::from(call.endpoint));
    let Some(Ok(address)) = endpoint.map(|endpoint| endpoint.address.parse()) else {
        return streams.refuse(Code::NoEndpoint, Duration::ZERO).await;
    };
    let idempotent = invoke.idempotent;
    let Some(request) = build_request(invoke) else {
        return streams.refuse(Code::BadRequest, Duration::ZERO).await;
    };
    let is_head = request.method() == Method::HEAD;
    let demand = Demand::new(shared.clock.now());
    let Some(permit) = admit(&shared, &call, demand, &mut streams).await else {
        return;
    };
    if !idempotent {
        match shared.calls.admit(call.request, call.attempt, key) {
            Admission::Run => {}
            admission => return answer_without_run(admission, call.attempt, &mut streams).await,
        }
    }

    let client = Client::new(shared.net.clone(), address);
    let response = client.send(request);
    let response = if idempotent {
        tokio::select! {
            biased;
            response = response => response,
            _ = streams.sender.cancelled() => return,
        }
    } else {
        response.await
    };
    if let Err(Error::Connect(_)) = response {
        if !idempotent {
            shared.calls.withdraw(call.request, call.attempt, key);
        }
        return streams.refuse(Code::NoEndpoint, Duration::ZERO).await;
    }
    let service = Service {
        net: &shared.net,
        metrics: &shared.metrics,
        logger: &shared.logger,
        address,
        is_head,
        read_to_end: !idempotent,
        is_kept: key.is_some(),
    };
    let outcome = relay_answer(service, response, call.attempt, &mut streams).await;
    if let Outcome::Lost = outcome {
        // A service that refuses the connection has crashed. One that does not answer may
        // be behind a network fault.
        let probe = tokio::time::timeout(PROBE_TIMEOUT, shared.net.connect(address)).await;
        if matches!(probe, Ok(Err(_))) {
            shared.control.record_crash(call.digest);
        }
    } else {
        shared.control.record_success(call.digest);
    }
    if !idempotent {
        let answer = match outcome {
            Outcome::Complete(answer) => answer,
            Outcome::Lost => None,
        };
        shared.calls.finish(call.request, call.attempt, key, answer);
    }
    drop(permit);
}

/// Serves a settlement: sends the outcome of a call and bars the call if it never arrived.
/// Calls of an earlier incarnation of this sidecar are forgotten.
pub async fn settle<N, C>(shared: &Shared<N, C>, settle: Settle, mut streams: Streams) {
    let verdict = if settle.incarnation == shared.incarnation {
        shared.calls.settle(settle.request, settle.attempt)
    } else {
        Verdict::Forgotten
    };
    // The entry may be gone and then needs no verdict.
    let _ = streams.sender.send(&Down::Settled(verdict)).await;
    streams.sender.finish();
}

/// Issues an idempotency key that only this incarnation of the sidecar runs.
pub async fn issue<N, C>(shared: &Shared<N, C>, issue: Issue, mut streams: Streams) {
    let key = issue::Key {
        incarnation: shared.incarnation,
        endpoint: issue.endpoint,
        sequence: shared.calls.issue(),
    };
    let key = key.to_compact_string();
    // The entry may be gone and then needs no key.
    let _ = streams.sender.send(&Down::Issued(Issued { key })).await;
    streams.sender.finish();
}

/// The key of a call, or `None` if the call carries none.
fn call_key(invoke: &Invoke) -> Option<Key> {
    let keyed = invoke.key != Digest::default();
    keyed.then_some(Key {
        digest: invoke.key,
        request_digest: invoke.call.digest,
        position: invoke.position,
        issued: invoke.issued,
    })
}

/// Answers a call that must not run now. Only a call that certainly never ran here is
/// refused as not run.
async fn answer_without_run(admission: Admission, attempt: u32, streams: &mut Streams) {
    let code = match admission {
        Admission::Answered(answer) => {
            // The entry may be gone and then needs no answer.
            let _ = replay(&answer, attempt, streams).await;
            return;
        }
        Admission::Barred => return streams.refuse(Code::Settled, Duration::ZERO).await,
        Admission::Full => return streams.refuse(Code::Full, FULL_RETRY_DELAY).await,
        Admission::Mismatch => return streams.refuse(Code::KeyMismatch, Duration::ZERO).await,
        Admission::Running => Code::KeyRunning,
        Admission::Unknown => Code::KeyUnknown,
        Admission::Seen | Admission::Run => Code::ConnectionLost,
    };
    let failure = Down::Failed(Failure {
        code,
        text: Default::default(),
    });
    // The entry may be gone and then needs no failure.
    let _ = streams.sender.send(&failure).await;
    streams.sender.finish();
}

/// Sends a kept answer.
async fn replay(answer: &Answer, attempt: u32, streams: &mut Streams) -> Result<(), stream::Error> {
    let head = Head {
        kept: true,
        ..answer.head.clone()
    };
    streams.sender.send(&Down::Head(head)).await?;
    let body = Down::Body(answer.body.to_vec().into());
    streams.sender.send(&body).await?;
    let done = Down::Done(Done { attempt, count: 1 });
    streams.sender.send(&done).await?;
    streams.sender.finish();
    Ok(())
}

/// Outcome of a call at its service.
enum Outcome {
    /// The service answered. Holds the complete answer if it is small enough to keep.
    Complete(Option<Answer>),
    /// There is no complete answer, so whether the call ran is unknown.
    Lost,
}

/// The service that answers a call.
struct Service<'a, N> {
    net: &'a N,
    metrics: &'a Metrics,
    logger: &'a Logger,
    address: SocketAddr,
    /// Whether the request asks for a head without a body.
    is_head: bool,
    /// Whether the answer is read to its end even if the entry is gone.
    read_to_end: bool,
    /// Whether the answer is kept if it is small enough.
    is_kept: bool,
}

impl<N: Net> Service<'_, N> {
    /// Returns whether an answer is complete that its transport reported as such. `events`
    /// has followed its body if it is a stream.
    async fn is_complete(
        &self,
        head: &response::Parts,
        is_empty: bool,
        events: Option<Scanner>,
    ) -> bool {
        let has_no_body = self.is_head
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        if has_no_body {
            return true;
        }
        let framing = client::framing(&head.headers);
        let is_endpoint_up = !End::needs_probe(framing)
            || client::outlives_answer(self.net, self.address, PROBE_TIMEOUT).await;
        let end = End {
            framing,
            is_endpoint_up,
        };
        match events {
            Some(events) => end.completes_stream(events.has_event(), events.is_inside_event()),
            None => end.completes_body(is_empty, false),
        }
    }

    /// Records an answer that is not complete, though its transport reported it as such.
    fn record_incomplete(&self, head: &response::Parts) {
        self.metrics.count("answer.incomplete");
        info!(self.logger, "sidecar: answer incomplete";
            "endpoint" => %self.address,
            "framing" => client::framing(&head.headers).name(),
            "stream" => events::is_event_stream(&head.headers));
    }
}

/// Relays the service's answer to the entry.
async fn relay_answer<N: Net>(
    service: Service<'_, N>,
    response: Result<Response<Incoming>, Error>,
    attempt: u32,
    streams: &mut Streams,
) -> Outcome {
    let response = match response {
        Ok(response) => response,
        Err(error) => return report_lost(&error, streams).await,
    };
    let (parts, mut body) = response.into_parts();
    let mut scanner = events::is_event_stream(&parts.headers).then(Scanner::default);
    let head = self::answer_head(&parts);
    let mut connected = streams.sender.send(&Down::Head(head.clone())).await.is_ok();
    let mut kept = BytesMut::new();
    let (mut bytes, mut count) = (0_usize, 0);
    let mut read_until = Instant::now();
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            _ = streams.sender.cancelled(), if connected => {
                connected = false;
                read_until = Instant::now() + READ_ON_TIMEOUT;
                if !service.read_to_end {
                    return Outcome::Complete(None);
                }
                continue;
            }
            () = sleep_until(read_until), if !connected => return Outcome::Complete(None),
        };
        let Some(frame) = frame else { break };
        let data = match frame.map(hyper::body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => return report_lost(&Error::Broken(error), streams).await,
        };
        if let Some(scanner) = &mut scanner {
            scanner.push(&data);
        }
        bytes = bytes.saturating_add(data.len());
        if bytes > MAX_KEPT_BYTES {
            kept = BytesMut::new();
        } else if service.is_kept {
            kept.extend_from_slice(&data);
        }
        if connected {
            let piece = Down::Body(data.to_vec().into());
            connected = streams.sender.send(&piece).await.is_ok();
            read_until = Instant::now() + READ_ON_TIMEOUT;
        }
        let is_read_on = service.read_to_end && bytes <= MAX_KEPT_BYTES;
        if !connected && !is_read_on {
            return Outcome::Complete(None);
        }
        count += 1;
    }
    if !service.is_complete(&parts, bytes == 0, scanner).await {
        service.record_incomplete(&parts);
        return report_lost(&Error::Truncated, streams).await;
    }
    let done = Down::Done(Done { attempt, count });
    if connected && streams.sender.send(&done).await.is_ok() {
        streams.sender.finish();
    }
    let is_kept = service.is_kept && bytes <= MAX_KEPT_BYTES;
    // A copy takes no more memory than its size.
    let body = Bytes::copy_from_slice(&kept);
    Outcome::Complete(is_kept.then_some(Answer { head, body }))
}

/// Converts the head of a service's answer to a message.
fn answer_head(head: &response::Parts) -> Head {
    let headers = head.headers.iter().map(|(name, value)| Header {
        name: name.as_str().into(),
        value: value.as_bytes().to_vec().into(),
    });
    Head {
        status: head.status.as_u16(),
        headers: headers.collect(),
        kept: false,
    }
}

/// Reports a broken connection to the entry. The failure leaves open whether the call ran.
async fn report_lost(error: &Error, streams: &mut Streams) -> Outcome {
    let failure = Down::Failed(Failure {
        code: Code::EndpointLost,
        text: error.to_string().into(),
    });
    // The entry may be gone and then needs no failure.
    if streams.sender.send(&failure).await.is_ok() {
        streams.sender.finish();
    }
    Outcome::Lost
}

/// Builds the request to the service, or `None` if its method, path or headers are invalid.
fn build_request(invoke: Invoke) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(Bytes::from(invoke.body.0)));
    *request.method_mut() = invoke.method.parse().ok()?;
    *request.uri_mut() = invoke.path.parse().ok()?;
    for header in invoke.headers {
        let name = header.name.parse::<HeaderName>().ok()?;
        let value = HeaderValue::from_bytes(header.value.as_slice()).ok()?;
        request.headers_mut().append(name, value);
    }
    Some(request)
}
