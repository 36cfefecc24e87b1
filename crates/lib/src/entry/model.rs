//! Drives a model request's life.

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
use super::openai::{self, Ask};
use super::{Flight, Shared};
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::stream::{Error, Receiver, Sender};

/// Size of the KV cache, in bytes a token, where a model does not say.
const TOKEN_BYTES: u64 = 131_072;

/// Longest wait in a decode queue for a request that may be late.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between resumptions of one answer.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// A model request as it came.
#[derive(Clone, Debug)]
pub struct Input {
    /// When.
    pub arrival: Instant,
    /// The client account.
    pub client: CompactString,
    /// Path of the API.
    pub path: CompactString,
    /// The body.
    pub body: Bytes,
    /// Whether it is a chat.
    pub chat: bool,
}

/// Serves a model request: returns its head, and leaves the rest to a task.
///
/// # Errors
///
/// When the request is refused at once.
pub async fn serve<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    input: Input,
) -> Result<Response<Body>, Problem> {
    let ask = Ask::parse(&input.body, input.chat)?;
    let configuration = shared.configuration.borrow().clone();
    if configuration.version.0 == 0 {
        return Err(Problem::new(Code::NoConfiguration));
    }
    let service = configuration
        .find(&ask.model)
        .filter(|service| !service.model.is_empty());
    let Some(service) = service.cloned() else {
        return Err(Problem::with(
            Code::NoService,
            format!("no model {:?}", ask.model),
        ));
    };
    let limit = super::plain::limit(&service, &input.client);
    let Some(flight) = Flight::enter(&shared, &input.client, limit) else {
        return Err(Problem::new(Code::ClientLimit));
    };

    let (reply, head) = Reply::new();
    let task = Task::new(shared, input, ask, service, reply);
    if task.shared.snapshot.load().barred.contains(&task.digest) {
        return Err(Problem::new(Code::Barred));
    }
    tokio::spawn(async move {
        task.run().await;
        drop(flight);
    });
    head.await.map_err(|_| Problem::new(Code::CallerGone))
}

/// A model request under way.
struct Task<N, C> {
    /// The entry.
    shared: Arc<Shared<N, C>>,
    /// The request as it came.
    input: Input,
    /// What was read of it.
    ask: Ask,
    /// Its service.
    service: Arc<Service>,
    /// Its id.
    request: Request,
    /// Its digest.
    digest: Digest,
    /// When it must be over.
    deadline: Instant,
    /// Its life.
    machine: Machine,
    /// Its caller.
    reply: Reply,
    /// The prefill attempt's stream.
    prefill: Option<Stream>,
    /// The decode attempt's stream.
    decode: Option<Stream>,
    /// The prefill's result.
    ticket: Option<Ticket>,
    /// The event at hand.
    event: Option<Blob>,
    /// Events kept for a caller that wants the answer whole.
    kept: Vec<Blob>,
    /// Endpoints that failed this request.
    avoid: Vec<EndpointKey>,
    /// Endpoints that could not be reached once.
    doubted: Vec<EndpointKey>,
    /// The present choice.
    pair: Option<Pair>,
    /// Prompt tokens expected not to be cached at its prefill endpoint.
    fresh: u32,
    /// The present attempt.
    attempt: u32,
    /// When the first event was sent on.
    first: Option<Instant>,
}

/// An attempt's stream.
struct Stream {
    /// To the sidecar.
    sender: Sender,
    /// From the sidecar.
    receiver: Receiver,
}

impl<N: Net, C: Clock> Task<N, C> {
    /// A task that has not begun.
    fn new(
        shared: Arc<Shared<N, C>>,
        input: Input,
        ask: Ask,
        service: Arc<Service>,
        reply: Reply,
    ) -> Self {
        let settings = Settings {
            serve_late: service.late == Late::Serve,
            streaming: ask.stream,
            hold_first: shared.settings.decision.holds,
            waste_weight: service.waste_weight,
            ..Settings::default()
        };
        let deadline = input.arrival + Duration::from_millis(u64::from(service.deadline_ms));
        Self {
            request: shared.request(),
            digest: Digest::of(&[input.client.as_bytes(), &input.body]),
            deadline,
            machine: Machine::new(settings, deadline),
            shared,
            input,
            ask,
            service,
            reply,
            prefill: None,
            decode: None,
            ticket: None,
            event: None,
            kept: Vec::new(),
            avoid: Vec::new(),
            doubted: Vec::new(),
            pair: None,
            fresh: 0,
            attempt: 0,
            first: None,
        }
    }

    /// Runs until the caller has its end or is gone.
    async fn run(mut self) {
        let mut event = Event::Begin;
        loop {
            let actions = self.machine.handle(self.shared.clock.now(), event);
            let mut next = None;
            for action in actions {
                next = self.act(action).await.or(next);
            }
            if self.machine.is_ended() {
                break;
            }
            event = match next {
                Some(next) => next,
                None => self.next().await,
            };
        }
        self.shared.metrics.add(
            "prefill.wasted_tokens",
            u64::from(self.machine.wasted_tokens()),
        );
    }

    /// Waits for the next event.
    async fn next(&mut self) -> Event {
        let attempt = self.attempt;
        let alarm = tokio::time::Instant::from_std(self.machine.next_tick());
        tokio::select! {
            biased;
            () = self.reply.gone() => {
                self.shared.metrics.count("request.caller_gone");
                Event::CallerGone
            }
            down = receive(&mut self.decode) => self.heard(Leg::Decode, attempt, down),
            down = receive(&mut self.prefill) => self.heard(Leg::Prefill, attempt, down),
            () = tokio::time::sleep_until(alarm) => Event::Tick,
        }
    }

    /// What a message means for the life.
    fn heard(&mut self, leg: Leg, attempt: u32, down: Result<Option<Down>, Error>) -> Event {
        let Ok(Some(down)) = down else {
            self.release(leg);
            self.doubt(leg);
            return Event::StreamLost(leg, attempt);
        };
        match down {
            Down::Granted(_) => Event::Granted(leg, attempt),
            Down::Queued(wait) => Event::Queued(leg, attempt, wait.wait.into()),
            Down::Refused(refusal) => {
                self.shun(leg);
                Event::Refused(leg, attempt, refusal.code, refusal.retry.into())
            }
            Down::Prefilled(ticket) => {
                // The stream stays open, which keeps the result, until the
                // decode endpoint has it.
                self.shared
                    .metrics
                    .add("prefill.tokens", u64::from(ticket.tokens));
                self.shared
                    .metrics
                    .add("prefill.cached_tokens", u64::from(ticket.cached));
                if let Some(pair) = self.pair {
                    self.shared.place(|placer| {
                        placer.record_prefill(pair.prefill, &self.ask.blocks, ticket.cached);
                    });
                }
                let (tokens, life) = (ticket.tokens, ticket.life.into());
                self.ticket = Some(ticket);
                Event::Prefilled(attempt, tokens, life)
            }
            Down::Token(token) => {
                self.release(Leg::Prefill);
                self.event = Some(token.data);
                Event::Token(token.attempt, token.position)
            }
            Down::Done(done) => Event::Done(done.attempt, done.count),
            Down::Failed(failure) => {
                self.shun(leg);
                Event::Failed(leg, attempt, failure.code)
            }
            _ => Event::Failed(leg, attempt, Code::BadMessage),
        }
    }

    /// Does what the life asks for. What comes of it at once is returned.
    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Place(pause) => {
                self.pause(pause).await?;
                Some(self.place())
            }
            Action::Retry(code, number) => self.retry(code, number).await,
            Action::Hold(pair, attempt) => self.hold(pair, attempt).await,
            Action::Prefill(pair, attempt) => self.read(pair, attempt).await,
            Action::Decode(attempt) => self.generate(attempt).await,
            Action::Resume(attempt, position) => self.resume(attempt, position).await,
            Action::Close(leg) => {
                self.close(leg);
                None
            }
            Action::Emit => self.emit().await,
            Action::Reset => {
                self.kept.clear();
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

    /// Waits, unless the caller goes.
    async fn pause(&mut self, pause: Duration) -> Option<()> {
        if pause.is_zero() {
            return Some(());
        }
        tokio::select! {
            biased;
            () = self.reply.gone() => None,
            () = tokio::time::sleep(pause) => Some(()),
        }
    }

    /// Chooses endpoints.
    fn place(&mut self) -> Event {
        let snapshot = self.shared.snapshot.load();
        let need = place::Request {
            serves: &self.service.model,
            prompt_tokens: self.ask.prompt,
            bytes_per_token: TOKEN_BYTES,
            domain: &self.shared.settings.common.domain,
            avoid: &self.avoid,
        };
        let now = self.shared.clock.now();
        let placement = self.shared.choose(|random| {
            self.shared.place(|placer| {
                placer.choose_pair(now, &snapshot.view, &need, &self.ask.blocks, random)
            })
        });
        match placement {
            Some(placement) => {
                self.pair = Some(placement.pair);
                self.fresh = placement.uncached_tokens;
                Event::Placed(placement.pair)
            }
            None => Event::Unplaced(Code::NoEndpoint),
        }
    }

    /// Takes a retry from the budget and waits before it.
    async fn retry(&mut self, code: Code, number: u32) -> Option<Event> {
        let spent = self.shared.budget(&self.service.name, |budget| {
            let allowed = budget.try_spend() || !self.shared.settings.decision.budget;
            allowed.then(|| self.shared.choose(|random| budget.backoff(number, random)))
        });
        let Some(backoff) = spent else {
            return Some(Event::RetryDenied(Code::RetryBudget));
        };
        if self.shared.clock.now() + backoff >= self.deadline {
            return Some(Event::RetryDenied(Code::TooLate));
        }
        self.shared.metrics.count_retry(code);
        self.pause(backoff).await?;
        Some(self.place())
    }

    /// Asks for decode memory.
    async fn hold(&mut self, pair: Pair, attempt: u32) -> Option<Event> {
        self.attempt = attempt;
        let hold = Up::Hold(Hold {
            call: self.call(pair.decode, attempt)?,
            prompt: self.ask.prompt,
            output: self.output(),
            ahead: pair.prefill_time.into(),
        });
        self.open(Leg::Decode, pair.decode, attempt, &hold).await
    }

    /// Starts the prefill.
    async fn read(&mut self, pair: Pair, attempt: u32) -> Option<Event> {
        self.attempt = attempt;
        let prefill = Up::Prefill(Prefill {
            call: self.call(pair.prefill, attempt)?,
            prompt: self.ask.prompt,
            fresh: self.fresh,
            path: self.input.path.clone(),
            body: self.input.body.to_vec().into(),
        });
        self.open(Leg::Prefill, pair.prefill, attempt, &prefill)
            .await
    }

    /// Hands the prefill's result to the decode endpoint.
    async fn generate(&mut self, attempt: u32) -> Option<Event> {
        let ticket = self.ticket.take()?;
        let decode = Up::Decode(Decode {
            path: self.input.path.clone(),
            body: self.input.body.to_vec().into(),
            ticket,
        });
        let Some(stream) = &mut self.decode else {
            return Some(Event::StreamLost(Leg::Decode, attempt));
        };
        let alarm = tokio::time::Instant::from_std(self.machine.next_tick());
        let sent = tokio::select! {
            biased;
            () = self.reply.gone() => return Some(Event::CallerGone),
            sent = stream.sender.send(&decode) => sent,
            () = tokio::time::sleep_until(alarm) => return Some(Event::Tick),
        };
        if sent.is_err() {
            self.close(Leg::Decode);
            return Some(Event::StreamLost(Leg::Decode, attempt));
        }
        None
    }

    /// Asks for the rest of the answer, over a new stream.
    async fn resume(&mut self, attempt: u32, position: u32) -> Option<Event> {
        self.shared.metrics.count("request.resumed");
        self.release(Leg::Decode);
        self.pause(RESUME_PAUSE).await?;
        let resume = Up::Resume(Resume {
            request: self.request,
            attempt,
            position,
        });
        let decode = self.pair?.decode;
        self.open(Leg::Decode, decode, attempt, &resume).await
    }

    /// Passes the event at hand on.
    async fn emit(&mut self) -> Option<Event> {
        let event = self.event.take()?;
        if self.first.is_none() {
            self.first = Some(self.shared.clock.now());
        }
        if !self.ask.stream {
            self.kept.push(event);
            return None;
        }
        if !self.reply.begun() {
            let head = Response::builder().header(header::CONTENT_TYPE, "text/event-stream");
            self.reply
                .begin(head.header(header::CACHE_CONTROL, "no-cache"));
        }
        let sent = self.reply.piece(openai::event(&event)).await;
        sent.err().map(|_| Event::CallerGone)
    }

    /// Ends the answer.
    async fn finish(&mut self) {
        self.shared.metrics.count("request.answered");
        self.shared
            .budget(&self.service.name, |budget| budget.earn());
        if self.ask.stream {
            // A caller that is gone needs no end.
            let _ = self.reply.piece(openai::END).await;
            return;
        }
        let Some(answer) = openai::whole(&self.kept, self.ask.chat) else {
            self.reply.refuse(&Problem::new(Code::EndpointFailed));
            return;
        };
        let mut response = Response::new(Body::full(answer.to_string()));
        let media = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, media);
        self.reply.whole(response);
    }

    /// Ends with a failure, inside the stream if it has begun.
    async fn fail(&mut self, code: Code, retry: Duration) {
        self.shared.metrics.count_refusal(code);
        let problem = Problem {
            retry,
            ..Problem::new(code)
        };
        if !self.reply.begun() {
            self.reply.refuse(&problem);
            return;
        }
        let event = openai::event(&problem.document().to_string().into_bytes().into());
        if self.reply.piece(event).await.is_ok() {
            self.reply.cut().await;
        }
    }

    /// What every attempt says.
    fn call(&self, endpoint: EndpointKey, attempt: u32) -> Option<Call> {
        let snapshot = self.shared.snapshot.load();
        let index = snapshot
            .view
            .endpoints
            .get(endpoint)
            .map_or(u16::MAX, |endpoint| endpoint.info.index);
        let now = self.shared.clock.now();
        let target = Duration::from_millis(u64::from(self.service.first_token_ms));
        let due = (self.input.arrival + target).saturating_duration_since(now);
        let serve = self.service.late == Late::Serve;
        let waits = serve || !self.shared.settings.decision.holds;
        Some(Call {
            request: self.request,
            attempt,
            endpoint: index,
            client: self.input.client.clone(),
            service: self.service.name.clone(),
            digest: self.digest,
            due: due.into(),
            late: serve,
            patience: if waits { PATIENCE } else { due }.into(),
        })
    }

    /// Most tokens to generate.
    fn output(&self) -> u32 {
        let most = self.service.max_output_tokens;
        if self.ask.output == 0 {
            most
        } else {
            self.ask.output.min(most)
        }
    }

    /// Opens a leg's stream to an endpoint's sidecar. The caller's end and the
    /// alarm come first, so that a link that is slow to come up holds up neither.
    async fn open(
        &mut self,
        leg: Leg,
        endpoint: EndpointKey,
        attempt: u32,
        first: &Up,
    ) -> Option<Event> {
        let link = link(&self.shared, endpoint);
        let alarm = tokio::time::Instant::from_std(self.machine.next_tick());
        let open = async {
            match link {
                Some(link) => link.open(first).await,
                None => Err(Error::Unsent),
            }
        };
        let opened = tokio::select! {
            biased;
            () = self.reply.gone() => return Some(Event::CallerGone),
            opened = open => opened,
            () = tokio::time::sleep_until(alarm) => return Some(Event::Tick),
        };
        let stream = match opened {
            Ok((sender, receiver)) => Some(Stream { sender, receiver }),
            Err(error) => {
                self.doubt(leg);
                // What goes on running elsewhere was not refused by this.
                let unsent = matches!(error, Error::Unsent) && !matches!(first, Up::Resume(_));
                return Some(if unsent {
                    Event::Refused(leg, attempt, Code::NoEndpoint, Duration::ZERO)
                } else {
                    Event::StreamLost(leg, attempt)
                });
            }
        };
        match leg {
            Leg::Prefill => self.prefill = stream,
            Leg::Decode => self.decode = stream,
        }
        None
    }

    /// Avoids a leg's endpoint that could not be reached, and not for the first
    /// time: one connection may go silent while a new one works.
    fn doubt(&mut self, leg: Leg) {
        let Some(endpoint) = self.endpoint(leg) else {
            return;
        };
        if self.doubted.contains(&endpoint) {
            self.avoid.push(endpoint);
        } else {
            self.doubted.push(endpoint);
        }
    }

    /// Avoids a leg's endpoint from here on.
    fn shun(&mut self, leg: Leg) {
        self.avoid.extend(self.endpoint(leg));
    }

    /// A leg's endpoint in the present choice.
    fn endpoint(&self, leg: Leg) -> Option<EndpointKey> {
        let pair = self.pair?;
        Some(match leg {
            Leg::Prefill => pair.prefill,
            Leg::Decode => pair.decode,
        })
    }

    /// Leaves a leg's stream while what runs on it goes on.
    fn release(&mut self, leg: Leg) {
        let stream = match leg {
            Leg::Prefill => self.prefill.take(),
            Leg::Decode => self.decode.take(),
        };
        if let Some(mut stream) = stream {
            stream.sender.release();
        }
    }

    /// Gives up a leg's stream and what runs on it.
    fn close(&mut self, leg: Leg) {
        match leg {
            Leg::Prefill => self.prefill = None,
            Leg::Decode => self.decode = None,
        }
    }
}

/// The link to an endpoint's sidecar.
pub fn link<N, C>(shared: &Shared<N, C>, endpoint: EndpointKey) -> Option<Arc<Link>> {
    let snapshot = shared.snapshot.load();
    let sidecar = snapshot.view.endpoints.get(endpoint)?.sidecar;
    snapshot.link(sidecar).cloned()
}

/// The next message of a stream; waits for ever where there is none.
async fn receive(stream: &mut Option<Stream>) -> Result<Option<message::Down>, Error> {
    match stream {
        Some(stream) => stream.receiver.next().await,
        None => std::future::pending().await,
    }
}
