//! Drives a plain call's life.

use std::sync::Arc;
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

use super::keys::{self, Home, Key};
use super::link::Link;
use super::{headers, model, Flight, Shared};
use crate::body::Body;
use crate::clock::Clock;
use crate::net::Net;
use crate::problem::Problem;
use crate::reply::Reply;
use crate::stream::{Error, Receiver, Sender};

/// Longest time to ask a sidecar what became of a call.
const SETTLE: Duration = Duration::from_secs(3);

/// A plain call as it came.
#[derive(Clone, Debug)]
pub struct Input {
    /// When.
    pub arrival: Instant,
    /// The client account.
    pub client: CompactString,
    /// Method, path and headers.
    pub head: http::request::Parts,
    /// The body.
    pub body: Bytes,
}

/// The limit of a client account at a service.
pub fn limit(service: &Service, client: &str) -> u32 {
    let own = service
        .clients
        .iter()
        .find(|account| account.name == client);
    own.map_or(service.client_concurrency, |account| account.concurrency)
}

/// Serves a plain call: returns its head, and leaves the rest to a task. The
/// task of a call that is not idempotent goes on when its caller is gone.
///
/// # Errors
///
/// When the call is refused at once.
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
    let cut = path.find(['/', '?']).unwrap_or(path.len());
    let (name, rest) = path.split_at(cut);
    let service = configuration
        .services
        .get(name)
        .filter(|service| service.model.is_empty());
    let Some(service) = service.cloned() else {
        return Err(Problem::with(
            Code::NoService,
            format!("no service {name:?}"),
        ));
    };
    let path = if rest.starts_with('/') {
        rest.into()
    } else {
        format!("/{rest}")
    };
    let idempotent = idempotent(&service, input.head.method.as_str(), &path);
    let Some(flight) = Flight::enter(&shared, &input.client, limit(&service, &input.client)) else {
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
    let deadline = input.arrival + Duration::from_millis(u64::from(service.deadline_ms));
    let settings = Settings {
        idempotent,
        pinned: key.is_some(),
        ..Settings::default()
    };
    let task = Task {
        request: shared.request(),
        digest,
        key,
        home: None,
        machine: Machine::new(settings, deadline),
        shared,
        input,
        service,
        path,
        idempotent,
        reply,
        stream: None,
        endpoint: None,
        link: None,
        incarnation: Incarnation::default(),
        retry: Duration::ZERO,
        piece: None,
        avoid: Vec::new(),
        attempt: 0,
    };
    tokio::spawn(async move {
        task.run().await;
        drop(flight);
    });
    head.await.map_err(|_| Problem::new(Code::CallerGone))
}

/// Whether a call may run more than once: what its route says, else what HTTP
/// says of its method.
fn idempotent(service: &Service, method: &str, path: &str) -> bool {
    let matches = service.routes.iter().filter(|route| {
        route.method.eq_ignore_ascii_case(method) && path.starts_with(route.path.as_str())
    });
    let longest = matches.max_by_key(|route| route.path.len());
    let safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
    longest.map_or(safe, |route| route.idempotent)
}

/// A plain call under way.
struct Task<N, C> {
    /// The entry.
    shared: Arc<Shared<N, C>>,
    /// The call as it came.
    input: Input,
    /// Its service.
    service: Arc<Service>,
    /// Path and query at the service.
    path: String,
    /// Whether it may run more than once.
    idempotent: bool,
    /// Its id.
    request: Request,
    /// Its digest.
    digest: Digest,
    /// Its idempotency key.
    key: Option<Key>,
    /// The only sidecar that may run it, when it has a key.
    home: Option<Home>,
    /// Its life.
    machine: Machine,
    /// Its caller.
    reply: Reply,
    /// The attempt's stream.
    stream: Option<(Sender, Receiver)>,
    /// The attempt's endpoint.
    endpoint: Option<EndpointKey>,
    /// The link that the attempt was sent over. The view may forget the
    /// endpoint while its sidecar still knows what became of the attempt.
    link: Option<Arc<Link>>,
    /// Its sidecar's incarnation.
    incarnation: Incarnation,
    /// When to come back, as the last refusal has it.
    retry: Duration,
    /// The message at hand.
    piece: Option<Piece>,
    /// Endpoints that failed this call.
    avoid: Vec<EndpointKey>,
    /// The present attempt.
    attempt: u32,
}

/// What is to be passed on.
enum Piece {
    /// The answer's head.
    Head(Head),
    /// Part of its body.
    Body(Bytes),
}

impl<N: Net, C: Clock> Task<N, C> {
    /// Runs until the call is over.
    async fn run(mut self) {
        if let Err(problem) = self.bind().await {
            self.shared.metrics.count_refusal(problem.code);
            self.reply.refuse(&problem);
            return;
        }
        let mut event = Event::Begin;
        loop {
            let action = self.machine.handle(self.shared.clock.now(), event);
            let next = match action {
                Some(action) => self.act(action).await,
                None => None,
            };
            if self.machine.is_ended() {
                return;
            }
            event = match next {
                Some(next) => next,
                None => self.next().await,
            };
        }
    }

    /// Finds the only sidecar that may run a call with a key.
    async fn bind(&mut self) -> Result<(), Problem> {
        let Some(key) = self.key else {
            return Ok(());
        };
        let home = match key.issuer {
            Some(issuer) => issuer,
            None => self.claim(&key).await?,
        };
        let snapshot = self.shared.snapshot.load();
        if home.find(&snapshot.view, &self.service.name).is_none() {
            return Err(Problem::new(home.missing()));
        }
        self.home = Some(home);
        Ok(())
    }

    /// Claims a chosen key for a sidecar, or learns whose it is.
    async fn claim(&mut self, key: &Key) -> Result<Home, Problem> {
        let claims = self.shared.claims.clone();
        if let Some(winner) = claims.known(key) {
            return Ok(Home::claimed(winner.incarnation));
        }
        let Some(sidecar) = self.place(0).and_then(|_| self.sidecar()) else {
            return Err(Problem::new(Code::NoEndpoint));
        };
        let claim = Claim {
            key: key.digest,
            request: self.request,
            sidecar,
            incarnation: self.incarnation,
        };
        let winner = claims.claim(key, claim).await.map_err(Problem::new)?;
        Ok(Home::claimed(winner.incarnation))
    }

    /// The name of the chosen endpoint's sidecar.
    fn sidecar(&self) -> Option<CompactString> {
        let snapshot = self.shared.snapshot.load();
        let endpoint = snapshot.view.endpoints.get(self.endpoint?)?;
        let sidecar = snapshot.view.sidecars.get(endpoint.sidecar)?;
        Some(sidecar.name.clone())
    }

    /// Waits for the next event.
    async fn next(&mut self) -> Event {
        let attempt = self.attempt;
        let alarm = tokio::time::Instant::from_std(self.machine.next_tick());
        let idempotent = self.idempotent;
        let down = async {
            match &mut self.stream {
                Some((_, receiver)) => receiver.next::<Down>().await,
                None => std::future::pending().await,
            }
        };
        let down = tokio::select! {
            biased;
            () = self.reply.gone(), if idempotent => return Event::CallerGone,
            down = down => down,
            () = tokio::time::sleep_until(alarm) => return Event::Tick,
        };
        let Ok(Some(down)) = down else {
            self.stream = None;
            return Event::StreamLost(attempt);
        };
        self.heard(attempt, down)
    }

    /// What a message means for the life.
    fn heard(&mut self, attempt: u32, down: Down) -> Event {
        match down {
            Down::Refused(refusal) => {
                self.retry = refusal.retry.into();
                Event::Refused(attempt, refusal.code)
            }
            Down::Head(head) => {
                self.piece = Some(Piece::Head(head));
                Event::Head(attempt)
            }
            Down::Body(data) => {
                self.piece = Some(Piece::Body(data.0.into()));
                Event::Body(attempt)
            }
            Down::Done(_) => Event::Done(attempt),
            Down::Failed(failure) => Event::Failed(attempt, failure.code),
            // A place in the queue changes nothing here.
            _ => Event::Sent,
        }
    }

    /// Does what the life asks for. What comes of it at once is returned.
    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send(attempt) => Some(self.send(attempt).await),
            Action::Retry(code, attempt) => Some(self.retry(code, attempt).await),
            Action::Settle(attempt) => Some(self.settle(attempt).await),
            Action::Emit => self.emit().await,
            Action::Finish => {
                self.shared.metrics.count("request.answered");
                self.shared
                    .budget(&self.service.name, |budget| budget.earn());
                None
            }
            Action::Fail(code) => {
                self.shared.metrics.count_refusal(code);
                if self.reply.begun() {
                    self.reply.cut().await;
                } else {
                    let retry = self.retry;
                    self.reply.refuse(&Problem {
                        retry,
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
        let Some(call) = self.place(attempt) else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        let Some(endpoint) = self.endpoint else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        let invoke = Up::Invoke(Invoke {
            call,
            method: self.input.head.method.as_str().into(),
            path: self.path.as_str().into(),
            headers: headers::pass(&self.input.head.headers),
            body: self.input.body.to_vec().into(),
            idempotent: self.idempotent,
            key: self.key.map(|key| key.digest).unwrap_or_default(),
            position: self.key.map(|key| key.position).unwrap_or_default(),
            issued: self.key.is_some_and(|key| key.issuer.is_some()),
        });
        let Some(link) = model::link(&self.shared, endpoint) else {
            return Event::Unplaced(Code::NoEndpoint);
        };
        self.link = Some(link.clone());
        // Whatever happens from here on, the call may have been sent.
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

    /// Takes a retry from the budget, waits, and sends the attempt.
    async fn retry(&mut self, code: Code, attempt: u32) -> Event {
        self.avoid.extend(self.endpoint);
        let spent = self.shared.budget(&self.service.name, |budget| {
            let allowed = budget.try_spend();
            allowed.then(|| {
                self.shared
                    .choose(|random| budget.backoff(attempt - 1, random))
            })
        });
        let Some(backoff) = spent else {
            return Event::RetryDenied;
        };
        self.shared.metrics.count_retry(code);
        tokio::time::sleep(backoff).await;
        if self.shared.clock.now() >= self.machine.next_tick() {
            return Event::Tick;
        }
        self.send(attempt).await
    }

    /// Asks the sidecar what became of the attempt.
    async fn settle(&mut self, attempt: u32) -> Event {
        self.shared.metrics.count("request.settled");
        let settle = Up::Settle(Settle {
            request: self.request,
            incarnation: self.incarnation,
            attempt,
        });
        let ask = async {
            let link = self.link.as_ref()?;
            let (_sender, mut receiver) = link.open(&settle).await.ok()?;
            receiver.next::<Down>().await.ok()?
        };
        match tokio::time::timeout(SETTLE, ask).await {
            Ok(Some(Down::Settled(verdict))) => Event::Settled(attempt, verdict),
            _ => Event::SettleFailed(attempt),
        }
    }

    /// Passes the message at hand on.
    async fn emit(&mut self) -> Option<Event> {
        match self.piece.take()? {
            Piece::Head(head) => {
                let mut response = Response::builder().status(head.status);
                if head.kept {
                    response = response.header(keys::KEPT, "true");
                }
                for header in head.headers {
                    if !headers::HOP.contains(&header.name.as_str()) {
                        response = response.header(header.name.as_str(), header.value.as_slice());
                    }
                }
                self.reply.begin(response);
                None
            }
            Piece::Body(data) => {
                let sent = self.reply.piece(data).await;
                let gone = sent.is_err() && self.idempotent;
                gone.then_some(Event::CallerGone)
            }
        }
    }

    /// Chooses an endpoint and says what every attempt says.
    fn place(&mut self, attempt: u32) -> Option<Call> {
        let snapshot = self.shared.snapshot.load();
        let need = place::Request {
            serves: &self.service.name,
            prompt_tokens: 0,
            bytes_per_token: 0,
            domain: &self.shared.settings.common.domain,
            avoid: &self.avoid,
        };
        let key = match &self.home {
            Some(home) => home.find(&snapshot.view, &self.service.name),
            None => self
                .shared
                .choose(|random| place::choose_plain(&snapshot.view, &need, random)),
        }?;
        let endpoint = &snapshot.view.endpoints[key];
        self.endpoint = Some(key);
        self.incarnation = snapshot.view.sidecars[endpoint.sidecar].incarnation;
        let left = self
            .machine
            .next_tick()
            .saturating_duration_since(self.shared.clock.now());
        Some(Call {
            request: self.request,
            attempt,
            endpoint: endpoint.info.index,
            client: self.input.client.clone(),
            service: self.service.name.clone(),
            digest: self.digest,
            due: left.into(),
            late: true,
            patience: left.into(),
        })
    }
}
