//! Drives the state machine of a model request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{header, Response};

use cranberryridge_policy::member::EndpointKey;
use cranberryridge_policy::place::{self, Pair};
use cranberryridge_policy::request::{Action, Event, Leg, Machine, Settings};
use cranberryridge_wire::blob::Blob;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::{Digest, Request};
use cranberryridge_wire::message::{self, Call, Decode, Down, Hold, Prefill, Resume, Ticket, Up};
use cranberryridge_wire::record::{Late, Service};

use super::link::Link;
use super::openai;
use super::{Permit, Shared, MAX_QUEUED_BYTES};
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::stream::{Error, Receiver, Sender};

/// Assumed size of the KV cache, as models do not declare it.
const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Maximum wait in the decode queue of a request that is served even if late.
const MAX_LATE_WAIT: Duration = Duration::from_secs(60);

/// Pause before each resumption of an answer.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// A model request as received.
#[derive(Clone, Debug)]
pub struct Input {
    /// Time when the request's head was received.
    pub arrival: Instant,
    /// Name of the client account.
    pub client: CompactString,
    /// Path of the API endpoint; the engine gets it unchanged.
    pub path: CompactString,
    /// Body; the engine gets it unchanged.
    pub body: Bytes,
    /// Whether the request is a chat completion.
    pub chat: bool,
}

/// Serves a model request. Returns the head of the answer; a task sends the body.
///
/// # Errors
///
/// Fails if the request is refused before any endpoint is chosen, or if the task ended
/// without a head.
pub async fn serve<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    input: Input,
) -> Result<Response<Body>, Problem> {
    let request = openai::Request::parse(&input.body, input.chat)?;
    let configuration = shared.configuration.borrow().clone();
    if configuration.version.0 == 0 {
        return Err(Problem::new(Code::NoConfiguration));
    }
    let service = configuration
        .find(&request.model)
        .filter(|service| !service.model.is_empty());
    let Some(service) = service.cloned() else {
        return Err(Problem::with_detail(
            Code::NoService,
            format!("no model {:?}", request.model),
        ));
    };
    let limit = super::plain::client_limit(&service, &input.client);
    let Some(permit) = Permit::acquire(&shared, &input.client, limit) else {
        return Err(Problem::new(Code::ClientLimit));
    };

    let (reply, head) = Reply::new();
    let reply = reply.with_max_queued_bytes(MAX_QUEUED_BYTES);
    let entry = shared.clone();
    let task = Task::new(shared, input, request, service, reply);
    if task.shared.snapshot.load().barred.contains(&task.digest) {
        return Err(Problem::new(Code::Barred));
    }
    tokio::spawn(async move {
        task.run().await;
        drop(permit);
    });
    match entry.run_until_exit(head).await {
        Ok(head) => head.map_err(|_| Problem::new(Code::CallerGone)),
        // The task may have sent the request, and ends with the process.
        Err(interruption) => Err(Problem::new(interruption.code(true))),
    }
}

/// Task that drives one model request.
struct Task<N, C> {
    shared: Arc<Shared<N, C>>,
    input: Input,
    /// Parsed body of `input`.
    request: openai::Request,
    service: Arc<Service>,
    id: Request,
    /// Digest of the client account and the body, for barring requests that crash
    /// engines.
    digest: Digest,
    /// Time by which the request must have ended.
    deadline: Instant,
    machine: Machine,
    reply: Reply,
    prefill_stream: Option<Stream>,
    decode_stream: Option<Stream>,
    /// Result of the prefill, until it is handed to the decode endpoint.
    ticket: Option<Ticket>,
    /// Event of the answer that the next [`Action::Emit`] passes on.
    current_event: Option<Blob>,
    /// Events of an answer that the caller did not request as a stream.
    buffered_events: Vec<Blob>,
    /// Endpoints that refused or failed this request, or were unreachable twice.
    avoid: Vec<EndpointKey>,
    /// Endpoints that were unreachable once.
    unreachable_once: Vec<EndpointKey>,
    /// Currently chosen endpoints.
    pair: Option<Pair>,
    /// Prompt tokens predicted to be missing from the prefill endpoint's cache.
    uncached_tokens: u32,
    /// Number of the current attempt.
    attempt: u32,
    /// Time when the first event of the answer arrived.
    first_event_at: Option<Instant>,
}

/// Stream of one attempt to a sidecar.
struct Stream {
    sender: Sender,
    receiver: Receiver,
}

impl<N: Net, C: Clock> Task<N, C> {
    /// Creates a task that has not begun.
    fn new(
        shared: Arc<Shared<N, C>>,
        input: Input,
        request: openai::Request,
        service: Arc<Service>,
        reply: Reply,
    ) -> Self {
        let settings = Settings {
            serve_late: service.late == Late::Serve,
            streaming: request.stream,
            hold_first: shared.settings.decision.holds,
            waste_weight: service.waste_weight,
            ..Settings::default()
        };
        let deadline = input.arrival + Duration::from_millis(u64::from(service.deadline_ms));
        Self {
            id: shared.next_request_id(),
            digest: Digest::of(&[input.client.as_bytes(), &input.body]),
            deadline,
            machine: Machine::new(settings, deadline),
            shared,
            input,
            request,
            service,
            reply,
            prefill_stream: None,
            decode_stream: None,
            ticket: None,
            current_event: None,
            buffered_events: Vec::new(),
            avoid: Vec::new(),
            unreachable_once: Vec::new(),
            pair: None,
            uncached_tokens: 0,
            attempt: 0,
            first_event_at: None,
        }
    }

    /// Runs until the answer has ended or the caller disconnected.
    async fn run(mut self) {
        let mut event = Event::Begin;
        loop {
            let actions = self.machine.handle(self.shared.clock.now(), event);
            let mut next = None;
            for action in actions {
                next = self.execute(action).await.or(next);
            }
            if self.machine.is_ended() {
                break;
            }
            event = match next {
                Some(next) => next,
                None => self.next_event().await,
            };
        }
        self.shared.metrics.add(
            "prefill.wasted_tokens",
            u64::from(self.machine.wasted_tokens()),
        );
    }

    /// Waits for a message, the end of the caller's connection or the next tick.
    async fn next_event(&mut self) -> Event {
        let attempt = self.attempt;
        let tick = tokio::time::Instant::from_std(self.machine.next_tick());
        tokio::select! {
            biased;
            () = self.reply.closed() => {
                self.shared.metrics.count("request.caller_gone");
                Event::CallerGone
            }
            down = receive(&mut self.decode_stream) => self.on_message(Leg::Decode, attempt, down),
            down = receive(&mut self.prefill_stream) => self.on_message(Leg::Prefill, attempt, down),
            () = tokio::time::sleep_until(tick) => Event::Tick,
        }
    }

    /// Translates the result of a read from a leg's stream into an event.
    fn on_message(&mut self, leg: Leg, attempt: u32, down: Result<Option<Down>, Error>) -> Event {
        let Ok(Some(down)) = down else {
            self.release_stream(leg);
            self.record_unreachable(leg);
            return Event::StreamLost(leg, attempt);
        };
        match down {
            Down::Granted(_) => Event::Granted(leg, attempt),
            Down::Queued(wait) => Event::Queued(leg, attempt, wait.wait.into()),
            Down::Refused(refusal) => {
                self.avoid_endpoint(leg);
                Event::Refused(leg, attempt, refusal.code, refusal.retry.into())
            }
            Down::Prefilled(ticket) => {
                // The open stream keeps the result at the prefill endpoint, so it stays
                // open until the decode endpoint has fetched the result.
                self.shared
                    .metrics
                    .add("prefill.tokens", u64::from(ticket.tokens));
                self.shared
                    .metrics
                    .add("prefill.cached_tokens", u64::from(ticket.cached));
                if let Some(pair) = self.pair {
                    self.shared.with_placer(|placer| {
                        placer.record_prefill(
                            pair.prefill,
                            &self.request.block_hashes,
                            ticket.cached,
                        );
                    });
                }
                let (tokens, lifetime) = (ticket.tokens, ticket.life.into());
                self.ticket = Some(ticket);
                Event::Prefilled(attempt, tokens, lifetime)
            }
            Down::Token(token) => {
                self.release_stream(Leg::Prefill);
                self.current_event = Some(token.data);
                Event::Token(token.attempt, token.position)
            }
            Down::Done(done) => Event::Done(done.attempt, done.count),
            Down::Failed(failure) => {
                self.avoid_endpoint(leg);
                Event::Failed(leg, attempt, failure.code)
            }
            _ => Event::Failed(leg, attempt, Code::BadMessage),
        }
    }

    /// Executes an action. Returns the event that results immediately, if any.
    async fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Place(pause) => {
                self.pause(pause).await?;
                Some(self.choose_endpoints())
            }
            Action::Retry(code, number) => self.retry(code, number).await,
            Action::Hold(pair, attempt) => self.request_hold(pair, attempt).await,
            Action::Prefill(pair, attempt) => self.start_prefill(pair, attempt).await,
            Action::Decode(attempt) => self.start_decode(attempt).await,
            Action::Resume(attempt, position) => self.resume(attempt, position).await,
            Action::Close(leg) => {
                self.close_stream(leg);
                None
            }
            Action::Emit => self.emit().await,
            Action::Reset => {
                self.buffered_events.clear();
                None
            }
            Action::Finish => {
                self.finish().await;
                None
            }
            Action::Fail(code, retry) => {
                self.fail(code, retry).await;
                None
            }
        }
    }

    /// Sleeps. Returns `None` if the caller disconnects meanwhile.
    async fn pause(&mut self, pause: Duration) -> Option<()> {
        if pause.is_zero() {
            return Some(());
        }
        tokio::select! {
            biased;
            () = self.reply.closed() => None,
            () = tokio::time::sleep(pause) => Some(()),
        }
    }

    /// Chooses a prefill and a decode endpoint.
    fn choose_endpoints(&mut self) -> Event {
        let snapshot = self.shared.snapshot.load();
        let requirement = place::Request {
            serves: &self.service.model,
            prompt_tokens: self.request.prompt_tokens,
            bytes_per_token: KV_BYTES_PER_TOKEN,
            domain: &self.shared.settings.common.domain,
            avoid: &self.avoid,
        };
        let now = self.shared.clock.now();
        let placement = self.shared.with_rng(|rng| {
            self.shared.with_placer(|placer| {
                placer.choose_pair(
                    now,
                    &snapshot.view,
                    &requirement,
                    &self.request.block_hashes,
                    rng,
                )
            })
        });
        match placement {
            Some(placement) => {
                self.pair = Some(placement.pair);
                self.uncached_tokens = placement.uncached_tokens;
                Event::Placed(placement.pair)
            }
            None => Event::Unplaced(Code::NoEndpoint),
        }
    }

    /// Takes a retry from the budget, waits for its backoff and chooses endpoints
    /// again.
    async fn retry(&mut self, code: Code, number: u32) -> Option<Event> {
        let backoff = self.shared.with_budget(&self.service.name, |budget| {
            let allowed = budget.try_spend() || !self.shared.settings.decision.budget;
            allowed.then(|| self.shared.with_rng(|rng| budget.backoff(number, rng)))
        });
        let Some(backoff) = backoff else {
            return Some(Event::RetryDenied(Code::RetryBudget));
        };
        if self.shared.clock.now() + backoff >= self.deadline {
            return Some(Event::RetryDenied(Code::TooLate));
        }
        self.shared.metrics.count_retry(code);
        self.pause(backoff).await?;
        Some(self.choose_endpoints())
    }

    /// Requests a hold on decode memory.
    async fn request_hold(&mut self, pair: Pair, attempt: u32) -> Option<Event> {
        self.attempt = attempt;
        let hold = Up::Hold(Hold {
            call: self.new_call(pair.decode, attempt)?,
            prompt: self.request.prompt_tokens,
            output: self.max_output_tokens(),
            ahead: pair.prefill_time.into(),
        });
        self.open(Leg::Decode, pair.decode, attempt, &hold).await
    }

    async fn start_prefill(&mut self, pair: Pair, attempt: u32) -> Option<Event> {
        self.attempt = attempt;
        let prefill = Up::Prefill(Prefill {
            call: self.new_call(pair.prefill, attempt)?,
            prompt: self.request.prompt_tokens,
            fresh: self.uncached_tokens,
            path: self.input.path.clone(),
            body: self.input.body.to_vec().into(),
        });
        self.open(Leg::Prefill, pair.prefill, attempt, &prefill)
            .await
    }

    async fn start_decode(&mut self, attempt: u32) -> Option<Event> {
        let ticket = self.ticket.take()?;
        let decode = Up::Decode(Decode {
            path: self.input.path.clone(),
            body: self.input.body.to_vec().into(),
            ticket,
        });
        let Some(stream) = &mut self.decode_stream else {
            return Some(Event::StreamLost(Leg::Decode, attempt));
        };
        let tick = tokio::time::Instant::from_std(self.machine.next_tick());
        let sent = tokio::select! {
            biased;
            () = self.reply.closed() => return Some(Event::CallerGone),
            sent = stream.sender.send(&decode) => sent,
            () = tokio::time::sleep_until(tick) => return Some(Event::Tick),
        };
        if sent.is_err() {
            self.close_stream(Leg::Decode);
            return Some(Event::StreamLost(Leg::Decode, attempt));
        }
        None
    }

    /// Requests the rest of the answer over a new stream.
    async fn resume(&mut self, attempt: u32, position: u32) -> Option<Event> {
        self.shared.metrics.count("request.resumed");
        self.release_stream(Leg::Decode);
        self.pause(RESUME_PAUSE).await?;
        let resume = Up::Resume(Resume {
            request: self.id,
            attempt,
            position,
        });
        let decode = self.pair?.decode;
        self.open(Leg::Decode, decode, attempt, &resume).await
    }

    /// Passes the current event to the caller, or buffers it if the caller did not
    /// request a stream.
    async fn emit(&mut self) -> Option<Event> {
        let event = self.current_event.take()?;
        if self.first_event_at.is_none() {
            self.first_event_at = Some(self.shared.clock.now());
        }
        if !self.request.stream {
            self.buffered_events.push(event);
            return None;
        }
        if !self.reply.has_begun() {
            let head = Response::builder().header(header::CONTENT_TYPE, "text/event-stream");
            self.reply
                .begin(head.header(header::CACHE_CONTROL, "no-cache"));
        }
        let sent = self.reply.send_piece(openai::encode_event(&event)).await;
        sent.err().map(|_| Event::CallerGone)
    }

    /// Ends a streamed answer, or sends the assembled one.
    async fn finish(&mut self) {
        self.shared.metrics.count("request.answered");
        self.shared
            .with_budget(&self.service.name, |budget| budget.earn());
        if self.request.stream {
            // The caller may have disconnected after the last event, which changes
            // nothing.
            let _ = self.reply.send_piece(openai::DONE_EVENT).await;
            let _ = self.reply.finish().await;
            return;
        }
        let Some(answer) = openai::assemble(&self.buffered_events, self.request.chat) else {
            self.reply.refuse(&Problem::new(Code::EndpointFailed));
            return;
        };
        let mut response = Response::new(Body::full(answer.to_string()));
        let media = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, media);
        self.reply.send(response);
    }

    /// Ends with a failure: as an error response, or as an event if the stream has
    /// begun.
    async fn fail(&mut self, code: Code, retry: Duration) {
        self.shared.metrics.count_refusal(code);
        let problem = Problem {
            retry_after: retry,
            ..Problem::new(code)
        };
        if !self.reply.has_begun() {
            self.reply.refuse(&problem);
            return;
        }
        let event = openai::encode_event(&problem.document().to_string().into_bytes().into());
        if self.reply.send_piece(event).await.is_ok() {
            self.reply.abort().await;
        }
    }

    /// Creates the part that the first messages of all attempts share.
    fn new_call(&self, endpoint: EndpointKey, attempt: u32) -> Option<Call> {
        let snapshot = self.shared.snapshot.load();
        let index = snapshot
            .view
            .endpoints
            .get(endpoint)
            .map_or(u16::MAX, |endpoint| endpoint.info.index);
        let now = self.shared.clock.now();
        let target = Duration::from_millis(u64::from(self.service.first_token_ms));
        let due = (self.input.arrival + target).saturating_duration_since(now);
        let serve_late = self.service.late == Late::Serve;
        let may_wait = serve_late || !self.shared.settings.decision.holds;
        Some(Call {
            request: self.id,
            attempt,
            endpoint: index,
            client: self.input.client.clone(),
            service: self.service.name.clone(),
            digest: self.digest,
            due: due.into(),
            late: serve_late,
            patience: if may_wait { MAX_LATE_WAIT } else { due }.into(),
        })
    }

    /// Maximum number of tokens to generate, bounded by the service's limit.
    fn max_output_tokens(&self) -> u32 {
        let service_limit = self.service.max_output_tokens;
        if self.request.max_tokens == 0 {
            service_limit
        } else {
            self.request.max_tokens.min(service_limit)
        }
    }

    /// Opens a leg's stream to an endpoint's sidecar. A link that is slow to connect
    /// must not delay the handling of a disconnected caller or of a tick.
    async fn open(
        &mut self,
        leg: Leg,
        endpoint: EndpointKey,
        attempt: u32,
        first: &Up,
    ) -> Option<Event> {
        let link = link_to(&self.shared, endpoint);
        let tick = tokio::time::Instant::from_std(self.machine.next_tick());
        let open = async {
            match link {
                Some(link) => link.open(first).await,
                None => Err(Error::Unsent),
            }
        };
        let opened = tokio::select! {
            biased;
            () = self.reply.closed() => return Some(Event::CallerGone),
            opened = open => opened,
            () = tokio::time::sleep_until(tick) => return Some(Event::Tick),
        };
        let stream = match opened {
            Ok((sender, receiver)) => Some(Stream { sender, receiver }),
            Err(error) => {
                self.record_unreachable(leg);
                // A resumption that was not sent is not a refusal: the run that it
                // resumes continues.
                let unsent = matches!(error, Error::Unsent) && !matches!(first, Up::Resume(_));
                return Some(if unsent {
                    Event::Refused(leg, attempt, Code::NoEndpoint, Duration::ZERO)
                } else {
                    Event::StreamLost(leg, attempt)
                });
            }
        };
        match leg {
            Leg::Prefill => self.prefill_stream = stream,
            Leg::Decode => self.decode_stream = stream,
        }
        None
    }

    /// Records that a leg's endpoint was unreachable, and avoids it from the second
    /// time on: after one connection went silent, a new one may work.
    fn record_unreachable(&mut self, leg: Leg) {
        let Some(endpoint) = self.endpoint(leg) else {
            return;
        };
        if self.unreachable_once.contains(&endpoint) {
            self.avoid.push(endpoint);
        } else {
            self.unreachable_once.push(endpoint);
        }
    }

    /// Avoids a leg's endpoint for the rest of the request.
    fn avoid_endpoint(&mut self, leg: Leg) {
        self.avoid.extend(self.endpoint(leg));
    }

    /// Returns the currently chosen endpoint of a leg.
    fn endpoint(&self, leg: Leg) -> Option<EndpointKey> {
        let pair = self.pair?;
        Some(match leg {
            Leg::Prefill => pair.prefill,
            Leg::Decode => pair.decode,
        })
    }

    /// Closes a leg's stream without cancelling its work.
    fn release_stream(&mut self, leg: Leg) {
        let stream = match leg {
            Leg::Prefill => self.prefill_stream.take(),
            Leg::Decode => self.decode_stream.take(),
        };
        if let Some(mut stream) = stream {
            stream.sender.release();
        }
    }

    /// Closes a leg's stream and cancels its work.
    fn close_stream(&mut self, leg: Leg) {
        match leg {
            Leg::Prefill => self.prefill_stream = None,
            Leg::Decode => self.decode_stream = None,
        }
    }
}

/// Returns the link to an endpoint's sidecar; `None` if the endpoint is no longer
/// known.
pub fn link_to<N, C>(shared: &Shared<N, C>, endpoint: EndpointKey) -> Option<Arc<Link>> {
    let snapshot = shared.snapshot.load();
    let sidecar = snapshot.view.endpoints.get(endpoint)?.sidecar;
    snapshot.link(sidecar).cloned()
}

/// Receives the next message of a stream; never completes if there is no stream.
async fn receive(stream: &mut Option<Stream>) -> Result<Option<message::Down>, Error> {
    match stream {
        Some(stream) => stream.receiver.next().await,
        None => std::future::pending().await,
    }
}
