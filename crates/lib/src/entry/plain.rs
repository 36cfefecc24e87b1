//! Drives the state machine of a plain call.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::Response;

use cranberryridge_policy::invoke::{Action, Event, Machine, Settings};
use cranberryridge_policy::member::EndpointKey;
use cranberryridge_policy::place;
use cranberryridge_wire::code::Code;
use cranberryridge_wire::id::{Digest, Incarnation, Request};
use cranberryridge_wire::message::{Call, Down, Head, Invoke, Settle, Up};
use cranberryridge_wire::record::{Claim, Service};

use super::keys::{self, Key, Owner};
use super::link::Link;
use super::{headers, model, Permit, Shared, MAX_QUEUED_BYTES};
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::stream::{Error, Receiver, Sender};

/// Maximum time to wait for a sidecar's verdict on an attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// A plain call as received.
#[derive(Clone, Debug)]
pub struct Input {
    /// Time when the call's head was received.
    pub arrival: Instant,
    /// Name of the client account.
    pub client: CompactString,
    /// Method, URI and headers.
    pub head: http::request::Parts,
    /// Body; the service gets it unchanged.
    pub body: Bytes,
}

/// Returns how many requests a client account may have in flight at a service: its own
/// limit, or the service's default.
pub fn client_limit(service: &Service, client: &str) -> u32 {
    let account = service
        .clients
        .iter()
        .find(|account| account.name == client);
    account.map_or(service.client_concurrency, |account| account.concurrency)
}

/// Serves a plain call. Returns the head of the answer; a task sends the body. The task
/// of a call that is not idempotent continues after its caller disconnected.
///
/// # Errors
///
/// Fails if the call is refused before any endpoint is chosen, or if the task ended
/// without a head.
pub async fn serve<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    input: Input,
) -> Result<Response<Body>, Problem> {
    let configuration = shared.configuration.borrow().clone();
    if configuration.version.0 == 0 {
        return Err(Problem::new(Code::NoConfiguration));
    }
    let path = input
        .head
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let path = path.strip_prefix("/services/").unwrap_or_default();
    let name_end = path.find(['/', '?']).unwrap_or(path.len());
    let (name, rest) = path.split_at(name_end);
    let service = configuration
        .services
        .get(name)
        .filter(|service| service.model.is_empty());
    let Some(service) = service.cloned() else {
        return Err(Problem::with_detail(
            Code::NoService,
            format!("no service {name:?}"),
        ));
    };
    let path = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}")
    };
    let idempotent = is_idempotent(&service, input.head.method.as_str(), &path);
    let Some(permit) = Permit::acquire(
        &shared,
        &input.client,
        client_limit(&service, &input.client),
    ) else {
        return Err(Problem::new(Code::ClientLimit));
    };

    let key = keys::read(&input.head.headers, &input.client, &service.name)?;
    let idempotent = idempotent && key.is_none();
    let method = input.head.method.as_str();
    let digest = Digest::of(&[
        input.client.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        &input.body,
    ]);
    if shared.snapshot.load().barred.contains(&digest) {
        return Err(Problem::new(Code::Barred));
    }
    let (reply, head) = Reply::new();
    let reply = reply.with_max_queued_bytes(MAX_QUEUED_BYTES);
    let may_send = Arc::new(OnceLock::new());
    let deadline = input.arrival + Duration::from_millis(u64::from(service.deadline_ms));
    let settings = Settings {
        idempotent,
        pinned: key.is_some(),
        ..Settings::default()
    };
    let entry = shared.clone();
    let task = Task {
        id: shared.next_request_id(),
        digest,
        key,
        owner: None,
        machine: Machine::new(settings, deadline),
        shared,
        input,
        service,
        path,
        idempotent,
        reply,
        may_send: may_send.clone(),
        stream: None,
        endpoint: None,
        link: None,
        sidecar_incarnation: Incarnation::default(),
        retry_after: Duration::ZERO,
        current_part: None,
        avoid: Vec::new(),
        attempt: 0,
    };
    tokio::spawn(async move {
        task.run().await;
        drop(permit);
    });
    match entry.run_until_exit(head).await {
        Ok(head) => head.map_err(|_| Problem::new(Code::CallerGone)),
        Err(interruption) => {
            // A call that was not sent yet is not sent any more.
            let may_have_run = *may_send.get_or_init(|| false);
            Err(Problem::new(interruption.code(may_have_run)))
        }
    }
}

/// Whether a call may run more than once: according to the longest matching route, or
/// else according to whether HTTP defines its method as safe.
fn is_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let matches = service.routes.iter().filter(|route| {
        route.method.eq_ignore_ascii_case(method) && path.starts_with(route.path.as_str())
    });
    let longest = matches.max_by_key(|route| route.path.len());
    let safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
    longest.map_or(safe, |route| route.idempotent)
}

/// Task that drives one plain call.
struct Task<N, C> {
    shared: Arc<Shared<N, C>>,
    input: Input,
    service: Arc<Service>,
    /// Path and query as the service gets them.
    path: String,
    /// Whether the call may run more than once.
    idempotent: bool,
    id: Request,
    /// Digest of the client account and the call, for barring calls that crash
    /// endpoints.
    digest: Digest,
    /// Idempotency key that the caller sent.
    key: Option<Key>,
    /// The only sidecar that may run the call; `None` without a key.
    owner: Option<Owner>,
    machine: Machine,
    reply: Reply,
    /// Whether the call may be sent, decided by the first attempt or by the exit of the entry.
    may_send: Arc<OnceLock<bool>>,
    /// Stream of the current attempt.
    stream: Option<(Sender, Receiver)>,
    /// Endpoint of the current attempt.
    endpoint: Option<EndpointKey>,
    /// Link that the attempt was sent over. The view may lose the endpoint while the
    /// sidecar still knows the outcome of the attempt.
    link: Option<Arc<Link>>,
    /// Incarnation of the current attempt's sidecar.
    sidecar_incarnation: Incarnation,
    /// When the caller may retry, according to the last refusal; zero if unknown.
    retry_after: Duration,
    /// Part of the answer that the next [`Action::Emit`] passes on.
    current_part: Option<Part>,
    /// Endpoints that refused or failed this call.
    avoid: Vec<EndpointKey>,
    /// Number of the current attempt.
    attempt: u32,
}

/// Part of an answer.
enum Part {
    Head(Head),
    Body(Bytes),
}

impl<N: Net, C: Clock> Task<N, C> {
    /// Runs until the call has ended.
    async fn run(mut self) {
        if let Err(problem) = self.resolve_owner().await {
            self.shared.metrics.count_refusal(problem.code);
            self.reply.refuse(&problem);
            return;
        }
        let mut event = Event::Begin;
        loop {
            let action = self.machine.handle(self.shared.clock.now(), event);
            let next = match action {
                Some(action) => self.execute(action).await,
                None => None,
            };
            if self.machine.is_ended() {
                return;
            }
            event = match next {
                Some(next) => next,
                None => self.next_event().await,
            };
        }
    }

    /// Determines the only sidecar that may run a call with a key.
    async fn resolve_owner(&mut self) -> Result<(), Problem> {
        let Some(key) = self.key else {
            return Ok(());
        };
        let owner = match key.issuer {
            Some(issuer) => issuer,
            None => self.claim_key(&key).await?,
        };
        let snapshot = self.shared.snapshot.load();
        if owner
            .find_endpoint(&snapshot.view, &self.service.name)
            .is_none()
        {
            return Err(Problem::new(owner.missing_code()));
        }
        self.owner = Some(owner);
        Ok(())
    }

    /// Claims a caller-chosen key for a sidecar and returns the sidecar whose claim
    /// came first.
    async fn claim_key(&mut self, key: &Key) -> Result<Owner, Problem> {
        let claims = self.shared.claims.clone();
        if let Some(winner) = claims.find(key) {
            return Ok(Owner::from_claim(winner.incarnation));
        }
        let Some(sidecar) = self.choose_endpoint(0).and_then(|_| self.sidecar_name()) else {
            return Err(Problem::new(Code::NoEndpoint));
        };
        let claim = Claim {
            key: key.digest,
            request: self.id,
            sidecar,
            incarnation: self.sidecar_incarnation,
        };
        let winner = claims.claim(key, claim).await.map_err(Problem::new)?;
        Ok(Owner::from_claim(winner.incarnation))
    }

    /// Returns the name of the chosen endpoint's sidecar.
    fn sidecar_name(&self) -> Option<CompactString> {
        let snapshot = self.shared.snapshot.load();
        let endpoint = snapshot.view.endpoints.get(self.endpoint?)?;
        let sidecar = snapshot.view.sidecars.get(endpoint.sidecar)?;
        Some(sidecar.name.clone())
    }

    /// Waits for a message, the next tick or, if the call may be dropped, the end of
    /// the caller's connection.
    async fn next_event(&mut self) -> Event {
        let attempt = self.attempt;
        let tick = tokio::time::Instant::from_std(self.machine.next_tick());
        let idempotent = self.idempotent;
        let down = async {
            match &mut self.stream {
                Some((_, receiver)) => receiver.next::<Down>().await,
                None => std::future::pending().await,
            }
        };
        let down = tokio::select! {
            biased;
            () = self.reply.closed(), if idempotent => return Event::CallerGone,
            down = down => down,
            () = tokio::time::sleep_until(tick) => return Event::Tick,
        };
        let Ok(Some(down)) = down else {
            self.stream = None;
            return Event::StreamLost(attempt);
        };
        self.on_message(attempt, down)
    }

    /// Translates a message into an event.
    fn on_message(&mut self, attempt: u32, down: Down) -> Event {
        match down {
            Down::Refused(refusal) => {
                self.retry_after = refusal.retry.into();
                Event::Refused(attempt, refusal.code)
            }
            Down::Head(head) => {
                self.current_part = Some(Part::Head(head));
                Event::Head(attempt)
            }
            Down::Body(data) => {
                self.current_part = Some(Part::Body(data.0.into()));
                Event::Body(attempt)
            }
            Down::Done(_) => Event::Done(attempt),
            Down::Failed(failure) => Event::Failed(attempt, failure.code),
            // The remaining messages, such as a place in the queue, do not change the
            // state.
            _ => Event::Sent,
        }
    }

    /// Executes an action. Returns the event that results immediately, if any.
    async fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send(attempt) => Some(self.send(attempt).await),
            Action::Retry(code, attempt) => Some(self.retry(code, attempt).await),
            Action::Settle(attempt) => Some(self.settle(attempt).await),
            Action::Emit => self.emit().await,
            Action::Finish => {
                // The caller may have disconnected, which changes nothing.
                let _ = self.reply.finish().await;
                self.shared.metrics.count("request.answered");
                self.shared
                    .with_budget(&self.service.name, |budget| budget.earn());
                None
            }
            Action::Fail(code) => {
                self.shared.metrics.count_refusal(code);
                if self.reply.has_begun() {
                    self.reply.abort().await;
                } else {
                    let retry_after = self.retry_after;
                    self.reply.refuse(&Problem {
                        retry_after,
                        ..Problem::new(code)
                    });
                }
                None
            }
        }
    }

    /// Chooses an endpoint and sends the attempt.
    async fn send(&mut self, attempt: u32) -> Event {
        self.attempt = attempt;
        let Some(call) = self.choose_endpoint(attempt) else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        let Some(endpoint) = self.endpoint else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        let invoke = Up::Invoke(Invoke {
            call,
            method: self.input.head.method.as_str().into(),
            path: self.path.as_str().into(),
            headers: headers::forward(&self.input.head.headers),
            body: self.input.body.to_vec().into(),
            idempotent: self.idempotent,
            key: self.key.map(|key| key.digest).unwrap_or_default(),
            position: self.key.map(|key| key.position).unwrap_or_default(),
            issued: self.key.is_some_and(|key| key.issuer.is_some()),
        });
        let Some(link) = model::link_to(&self.shared, endpoint) else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        if !*self.may_send.get_or_init(|| true) {
            return Event::Unplaced(Code::Draining);
        }
        self.link = Some(link.clone());
        // From here on the call may have been sent, even if opening the stream fails.
        self.machine.handle(self.shared.clock.now(), Event::Sent);
        match link.open(&invoke).await {
            Ok(stream) => {
                self.stream = Some(stream);
                Event::Sent
            }
            Err(Error::Unsent) => Event::Refused(attempt, Code::NoEndpoint),
            Err(_) => Event::StreamLost(attempt),
        }
    }

    /// Takes a retry from the budget, waits for its backoff and sends the attempt.
    async fn retry(&mut self, code: Code, attempt: u32) -> Event {
        self.avoid.extend(self.endpoint);
        let backoff = self.shared.with_budget(&self.service.name, |budget| {
            let allowed = budget.try_spend();
            allowed.then(|| self.shared.with_rng(|rng| budget.backoff(attempt - 1, rng)))
        });
        let Some(backoff) = backoff else {
            return Event::RetryDenied;
        };
        self.shared.metrics.count_retry(code);
        tokio::time::sleep(backoff).await;
        if self.shared.clock.now() >= self.machine.next_tick() {
            return Event::Tick;
        }
        self.send(attempt).await
    }

    /// Requests the sidecar's verdict on the attempt.
    async fn settle(&mut self, attempt: u32) -> Event {
        self.shared.metrics.count("request.settled");
        let settle = Up::Settle(Settle {
            request: self.id,
            incarnation: self.sidecar_incarnation,
            attempt,
        });
        let verdict = async {
            let link = self.link.as_ref()?;
            let (_sender, mut receiver) = link.open(&settle).await.ok()?;
            receiver.next::<Down>().await.ok()?
        };
        match tokio::time::timeout(SETTLE_TIMEOUT, verdict).await {
            Ok(Some(Down::Settled(verdict))) => Event::Settled(attempt, verdict),
            _ => Event::SettleFailed(attempt),
        }
    }

    /// Passes the current part to the caller.
    async fn emit(&mut self) -> Option<Event> {
        match self.current_part.take()? {
            Part::Head(head) => {
                let mut response = Response::builder().status(head.status);
                if head.kept {
                    response = response.header(keys::REPLAYED_HEADER, "true");
                }
                for header in head.headers {
                    if !headers::HOP_BY_HOP.contains(&header.name.as_str()) {
                        response = response.header(header.name.as_str(), header.value.as_slice());
                    }
                }
                self.reply.begin(response);
                None
            }
            Part::Body(data) => {
                let sent = self.reply.send_piece(data).await;
                let gone = sent.is_err() && self.idempotent;
                gone.then_some(Event::CallerGone)
            }
        }
    }

    /// Chooses an endpoint and creates the part that every attempt's first message has.
    fn choose_endpoint(&mut self, attempt: u32) -> Option<Call> {
        let snapshot = self.shared.snapshot.load();
        let requirement = place::Request {
            serves: &self.service.name,
            prompt_tokens: 0,
            bytes_per_token: 0,
            domain: &self.shared.settings.common.domain,
            avoid: &self.avoid,
        };
        let key = match &self.owner {
            Some(owner) => owner.find_endpoint(&snapshot.view, &self.service.name),
            None => self
                .shared
                .with_rng(|rng| place::choose_plain(&snapshot.view, &requirement, rng)),
        }?;
        let endpoint = &snapshot.view.endpoints[key];
        self.endpoint = Some(key);
        self.sidecar_incarnation = snapshot.view.sidecars[endpoint.sidecar].incarnation;
        let remaining = self
            .machine
            .next_tick()
            .saturating_duration_since(self.shared.clock.now());
        Some(Call {
            request: self.id,
            attempt,
            endpoint: endpoint.info.index,
            client: self.input.client.clone(),
            service: self.service.name.clone(),
            digest: self.digest,
            due: remaining.into(),
            late: true,
            patience: remaining.into(),
        })
    }
}
