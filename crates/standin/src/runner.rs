//! An endpoint of the platform, plain or an engine, with faults on request.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Version};
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::time::Instant;

use cranberryridge::body::{Body, Piece};
use cranberryridge::net::Net;
use cranberryridge::wire::Map;

use crate::server::{json, status, Server};
use crate::stream::Ledger;

pub use fault::Fault;

mod fault;

/// An endpoint. Clones share it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Settings of the endpoint.
    pub settings: Arc<Settings>,
    /// Faults of the next runs, one for each run.
    faults: Arc<Mutex<VecDeque<Fault>>>,
    /// Faults of the next runs that go on after an event, one for each run.
    continuation_faults: Arc<Mutex<VecDeque<Fault>>>,
    /// Whether each second run without a fault has [`Fault::Unframed`], and the number of
    /// runs since then.
    is_unframed: Arc<AtomicBool>,
    unframed_count: Arc<AtomicUsize>,
    calls: Arc<Mutex<Vec<Call>>>,
    /// Number of runs in progress.
    running: Arc<AtomicUsize>,
    /// Reserved tokens by reservation.
    reservations: Arc<Mutex<Map<String, usize>>>,
    next_reservation: Arc<AtomicUsize>,
    refused_reservations: Arc<AtomicUsize>,
    /// KV caches that wait for their transfer.
    caches: Arc<AtomicUsize>,
    /// Fencing tokens of the accepted orders.
    orders: Arc<Mutex<Vec<u64>>>,
    /// Whether the endpoint says in all its answers that it is shutting down.
    is_leaving: Arc<AtomicBool>,
    /// Value of `retry-after` with which all requests are refused, or `None` if
    /// they are not.
    rest: Arc<Mutex<Option<String>>>,
    /// Values of `server-limit` in all answers, one header each.
    limits: Arc<Mutex<Vec<String>>>,
    /// Times of the requests for reservations.
    reservation_times: Arc<Mutex<Vec<Instant>>>,
    /// Times of the requests to control paths.
    control_calls: Arc<Mutex<Vec<Instant>>>,
    /// Time of the first refusal that stated a rest.
    first_rest: Arc<Mutex<Option<Instant>>>,
    /// Part of a prompt on which an engine crashes, or `None` if there is none.
    crashing_part: Arc<Mutex<Option<String>>>,
    /// Notified when the engine crashes.
    crashed: Arc<Notify>,
    /// Number of starts after the first one.
    restart_count: Arc<AtomicUsize>,
    /// Stage to which an engine was moved, or `None` if it was not moved.
    moved_stage: Arc<Mutex<Option<&'static str>>>,
    /// Whether all KV handles that requests name have lapsed.
    has_lapsed_handles: Arc<AtomicBool>,
    /// What reports say of the exit of an engine that drains.
    departure: Arc<Mutex<Option<Departure>>>,
}

/// When an engine that drains exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// After its runs.
    AfterRuns,
    /// At this time.
    At(Instant),
}

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of the endpoint, which requests name in `expect-instance`.
    pub id: String,
    /// Phase of an engine; `None` for a plain endpoint.
    pub phase: Option<&'static str>,
    /// Version of the software, which each event of a stream names. Events name none if it
    /// is empty.
    pub version: String,
    /// Duration of a plain call or of reading a prompt.
    pub service_time: Duration,
    /// Whether the endpoint answers with a stream; engines do in any case.
    pub is_streaming: bool,
    /// Number of events in a stream.
    pub stream_events: u32,
    /// Time between two events.
    pub event_interval: Duration,
    /// Memory that can be reserved, in tokens.
    pub memory_tokens: usize,
    /// Record of the runs of all endpoints, whose pieces name their run and its attempt. `None`
    /// if pieces name neither.
    pub ledger: Option<Ledger>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: "i-1".into(),
            phase: None,
            version: String::new(),
            service_time: Duration::from_millis(20),
            is_streaming: false,
            stream_events: 5,
            event_interval: Duration::from_millis(40),
            memory_tokens: 30_000,
            ledger: None,
        }
    }
}

/// Time by which an endpoint stops before its deadline, as its timers run ahead.
const TIMER_LEAD: Duration = Duration::from_millis(1);

/// A request that an endpoint received.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method and path with query.
    pub request_line: String,
    /// The request's headers.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
    /// Time of arrival.
    pub received_at: Instant,
    /// Whether the endpoint ran the request. A prefill or a refusal doesn't
    /// count.
    pub ran: bool,
    /// Fault of the run.
    pub fault: Option<Fault>,
    /// Whether the endpoint accepted to read a prompt.
    pub is_prefill: bool,
}

/// Resources of a run in progress.
struct Run {
    _in_flight: InFlight,
    /// Reserved memory, if the request named a reservation.
    _memory: Option<Memory>,
}

/// Reserved memory of a run, released on drop.
struct Memory {
    runner: Runner,
    /// Name of the reservation.
    name: String,
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.runner.release(&self.name);
    }
}

/// Increments a counter until it is dropped.
struct InFlight(Arc<AtomicUsize>, usize);

impl InFlight {
    fn add(counter: &Arc<AtomicUsize>, by: usize) -> Self {
        counter.fetch_add(by, Ordering::SeqCst);
        Self(counter.clone(), by)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::SeqCst);
    }
}

impl Runner {
    /// Creates an endpoint without faults.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
            faults: Arc::default(),
            continuation_faults: Arc::default(),
            is_unframed: Arc::default(),
            unframed_count: Arc::default(),
            calls: Arc::default(),
            running: Arc::default(),
            reservations: Arc::default(),
            next_reservation: Arc::default(),
            refused_reservations: Arc::default(),
            caches: Arc::default(),
            orders: Arc::default(),
            is_leaving: Arc::default(),
            rest: Arc::default(),
            limits: Arc::default(),
            reservation_times: Arc::default(),
            control_calls: Arc::default(),
            first_rest: Arc::default(),
            crashing_part: Arc::default(),
            crashed: Arc::default(),
            restart_count: Arc::default(),
            moved_stage: Arc::default(),
            has_lapsed_handles: Arc::default(),
            departure: Arc::default(),
        }
    }

    /// Serves the endpoint's HTTP interface.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let runner = self.clone();
        Server::start(net, at, move |request| runner.clone().answer(request)).await
    }

    /// Queues a fault for the next run that has none yet.
    pub fn inject(&self, fault: Fault) {
        lock(&self.faults).push_back(fault);
    }

    /// Queues a fault for the next run that goes on after an event and has none yet.
    pub fn inject_continuation(&self, fault: Fault) {
        lock(&self.continuation_faults).push_back(fault);
    }

    /// Returns the fault of a run that begins now.
    fn next_fault(&self, is_continuation: bool) -> Option<Fault> {
        let fault = if is_continuation {
            lock(&self.continuation_faults).pop_front()
        } else {
            None
        };
        let fault = fault.or_else(|| lock(&self.faults).pop_front());
        fault.or_else(|| {
            let is_unframed = self.is_unframed.load(Ordering::SeqCst);
            let count = || self.unframed_count.fetch_add(1, Ordering::SeqCst);
            (is_unframed && count().is_multiple_of(2)).then_some(Fault::Unframed)
        })
    }

    /// Answers each second run that has no fault without a length or chunks, until the faults
    /// are cleared.
    pub fn unframe(&self) {
        self.is_unframed.store(true, Ordering::SeqCst);
    }

    /// Says in all further answers that the endpoint is shutting down. It goes on
    /// to serve.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Says in all further reports that the engine drains, and when it exits if that is known.
    pub fn drain(&self, departure: Departure) {
        *lock(&self.departure) = Some(departure);
    }

    /// Refuses all further requests and reservations with this value of
    /// `retry-after`, or serves them again if it is `None`.
    pub fn set_rest(&self, retry_after: Option<&str>) {
        *lock(&self.rest) = retry_after.map(Into::into);
    }

    /// Names limits in all further answers, one header each, or none. Nothing but its
    /// callers obeys them.
    pub fn set_limit<'a>(&self, limits: impl IntoIterator<Item = &'a str>) {
        *lock(&self.limits) = limits.into_iter().map(Into::into).collect();
    }

    /// Returns the times of the requests for reservations.
    pub fn reservation_times(&self) -> Vec<Instant> {
        lock(&self.reservation_times).clone()
    }

    /// Returns the times at which requests and reservations arrived, in order.
    pub fn arrivals(&self) -> Vec<Instant> {
        let mut times = self.reservation_times();
        times.extend(self.calls().iter().map(|call| call.received_at));
        times.sort();
        times
    }

    /// Returns the most requests and reservations that arrived in some span, of those that
    /// arrived at a time or later.
    pub fn most_arrivals(&self, since: Instant, span: Duration) -> usize {
        let mut times = self.arrivals();
        times.retain(|at| *at >= since);
        let count_from = |from: &Instant| {
            let until = *from + span;
            times
                .iter()
                .filter(|at| (*from..until).contains(at))
                .count()
        };
        times.iter().map(count_from).max().unwrap_or_default()
    }

    /// Crashes when it begins to answer a prompt with this part, wherever in the prompt it
    /// stands. Whoever waits for [`Runner::crashed`] must then kill the endpoint's host.
    pub fn crash_on_part(&self, part: &str) {
        *lock(&self.crashing_part) = Some(part.into());
    }

    /// Starts the endpoint again under an id. The new start shares all else with this one.
    pub fn restart_as(&self, id: &str) -> Self {
        self.restart_with(Settings {
            id: id.into(),
            ..(*self.settings).clone()
        })
    }

    /// Starts the endpoint again with other settings. The new start shares all else with this
    /// one.
    pub fn restart_with(&self, settings: Settings) -> Self {
        self.restart_count.fetch_add(1, Ordering::SeqCst);
        Self {
            settings: Arc::new(settings),
            ..self.clone()
        }
    }

    /// Moves an engine to a stage. It reports that stage, lets running work run to completion,
    /// and answers further requests of another stage with 421.
    pub fn move_to_stage(&self, stage: &'static str) {
        *lock(&self.moved_stage) = Some(stage);
    }

    /// Refuses all further requests that name a KV handle, as if it had lapsed, or serves them
    /// again.
    pub fn lapse_handles(&self, are_lapsed: bool) {
        self.has_lapsed_handles.store(are_lapsed, Ordering::SeqCst);
    }

    /// Returns the time of the endpoint's start that it states.
    pub fn born(&self) -> usize {
        1 + self.restart_count.load(Ordering::SeqCst)
    }

    /// Waits for the next crash.
    pub async fn crashed(&self) {
        self.crashed.notified().await;
    }

    /// Returns the time of the first refusal that stated a rest.
    pub fn first_rest(&self) -> Option<Instant> {
        *lock(&self.first_rest)
    }

    /// Returns the times of the requests to the control paths (`/-/`).
    pub fn control_call_times(&self) -> Vec<Instant> {
        lock(&self.control_calls).clone()
    }

    /// Removes the faults that haven't occurred yet.
    pub fn clear_faults(&self) {
        self.is_unframed.store(false, Ordering::SeqCst);
        lock(&self.faults).clear();
        lock(&self.continuation_faults).clear();
    }

    /// Returns the requests received, without those to the control paths
    /// (`/-/`).
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.calls).clone()
    }

    /// Returns the number of reservations refused for lack of memory.
    pub fn refused_reservations(&self) -> usize {
        self.refused_reservations.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that ran.
    pub fn run_count(&self) -> usize {
        lock(&self.calls).iter().filter(|call| call.ran).count()
    }

    /// Returns the number of runs in progress.
    pub fn running_count(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Returns the reserved memory in tokens.
    pub fn reserved_tokens(&self) -> usize {
        lock(&self.reservations).values().sum()
    }

    /// Returns the number of KV caches that wait for their transfer.
    pub fn cache_count(&self) -> usize {
        self.caches.load(Ordering::SeqCst)
    }

    /// Returns the number of accepted orders.
    pub fn order_count(&self) -> usize {
        lock(&self.orders).len()
    }

    /// Returns the fencing tokens of the accepted orders, oldest first.
    pub fn order_tokens(&self) -> Vec<u64> {
        lock(&self.orders).clone()
    }

    /// Answers a request, and says in every answer if the endpoint is leaving, and its
    /// limit.
    async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        let (is_leaving, limits) = (self.is_leaving.clone(), self.limits.clone());
        let mut response = self.handle(request).await;
        for limit in &*lock(&limits) {
            if let Ok(value) = HeaderValue::from_str(limit) {
                response.headers_mut().append("server-limit", value);
            }
        }
        if is_leaving.load(Ordering::SeqCst) {
            let headers = response.headers_mut();
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        response
    }

    async fn handle(self, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        if path.starts_with("/-/") {
            lock(&self.control_calls).push(Instant::now());
        }
        if path == "/-/hold-take" {
            lock(&self.reservation_times).push(Instant::now());
        }
        match path.as_str() {
            "/-/hold-take" if lock(&self.rest).is_some() => return self.refuse(""),
            "/-/hold-take" => return self.reserve(request.body()),
            "/-/order" => {
                let body = serde_json::from_slice::<Value>(request.body()).unwrap_or_default();
                let token = body["fencingToken"].as_u64().unwrap_or_default();
                lock(&self.orders).push(token);
                return status(StatusCode::ACCEPTED);
            }
            "/-/report" => {
                let orders = self.order_count();
                let mut report = json!({
                    "phase": lock(&self.moved_stage).or(self.settings.phase), "busy": false, "sequence": orders,
                    "born": self.born(),
                });
                if let Some(departure) = *lock(&self.departure) {
                    report["state"] = "draining".into();
                    if let Departure::At(exit) = departure {
                        let left = exit.saturating_duration_since(Instant::now());
                        report["leaves_ms"] = (left.as_millis() as u64).into();
                    }
                }
                return json(&report);
            }
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/-/hold-drop/") {
            self.release(name);
            return status(StatusCode::OK);
        }
        if path.starts_with("/-/kv-handle/") {
            self.caches.fetch_sub(1, Ordering::SeqCst);
            return status(StatusCode::OK);
        }
        self.run(request).await
    }

    /// Reserves memory until its TTL expires.
    fn reserve(&self, body: &Bytes) -> Response<Body> {
        let body = serde_json::from_slice::<Value>(body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let tokens = number("tokens") as usize;
        if self.reserved_tokens() + tokens > self.settings.memory_tokens {
            self.refused_reservations.fetch_add(1, Ordering::SeqCst);
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let name = self
            .next_reservation
            .fetch_add(1, Ordering::SeqCst)
            .to_string();
        lock(&self.reservations).insert(name.clone(), tokens);
        let (runner, expiring) = (self.clone(), name.clone());
        let ttl = Duration::from_millis(number("ttlMs"));
        tokio::spawn(async move {
            tokio::time::sleep(ttl).await;
            runner.release(&expiring);
        });
        json(&json!({ "hold": name }))
    }

    /// Refuses a request. States the rest that the endpoint wants, if any.
    fn refuse(&self, attempt: &str) -> Response<Body> {
        let mut response = status(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert("not-executed", HeaderValue::from_static("1"));
        insert_header(headers, "attempt-id", attempt);
        if let Some(rest) = &*lock(&self.rest) {
            lock(&self.first_rest).get_or_insert(Instant::now());
            insert_header(headers, "retry-after", rest);
        }
        response
    }

    /// Moves a reservation's memory to a run, so that the TTL no longer
    /// releases it.
    fn claim(&self, name: &str) -> Memory {
        let claimed = format!("run-{name}");
        let mut reservations = lock(&self.reservations);
        if let Some(tokens) = reservations.remove(name) {
            reservations.insert(claimed.clone(), tokens);
        }
        let runner = self.clone();
        Memory {
            runner,
            name: claimed,
        }
    }

    /// Releases a reservation.
    fn release(&self, name: &str) {
        lock(&self.reservations).remove(name);
    }

    async fn run(self, request: Request<Bytes>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let last_event = text("last-event-id").and_then(|id| id.parse::<u32>().ok());
        // Behind the last event nothing is left to read the prompt for, so the request runs.
        let is_ended = last_event.is_some_and(|event| event >= self.settings.stream_events);
        let is_prefill = text("serving-stage") == Some("prefill") && !is_ended;
        let fault = self.next_fault(!is_prefill && text("last-event-id").is_some());
        let expected = text("expect-instance").is_none_or(|id| id == self.settings.id);
        let are_lapsed = self.has_lapsed_handles.load(Ordering::SeqCst);
        let is_lapsed = are_lapsed && text("kv-source").is_some();
        let asked_stage = text("serving-stage").unwrap_or("decode");
        let is_other_stage = lock(&self.moved_stage).is_some_and(|stage| stage != asked_stage);
        let refused = match fault {
            _ if !expected || is_other_stage => Some(StatusCode::MISDIRECTED_REQUEST),
            _ if lock(&self.rest).is_some() => Some(StatusCode::SERVICE_UNAVAILABLE),
            _ if is_lapsed => Some(StatusCode::SERVICE_UNAVAILABLE),
            Some(Fault::NotRun) => Some(StatusCode::SERVICE_UNAVAILABLE),
            Some(Fault::Misdirected) => Some(StatusCode::MISDIRECTED_REQUEST),
            _ => None,
        };
        lock(&self.calls).push(Call {
            request_line: format!("{} {}", head.method, head.uri),
            headers: head.headers.clone(),
            body,
            received_at: Instant::now(),
            ran: refused.is_none() && !is_prefill,
            fault,
            is_prefill: refused.is_none() && is_prefill,
        });
        let attempt = match fault {
            Some(Fault::Foreign) => "another",
            _ => text("attempt-id").unwrap_or_default(),
        };
        if let Some(code) = refused {
            let mut response = self.refuse(attempt);
            *response.status_mut() = code;
            return response;
        }
        let run = Run {
            _in_flight: InFlight::add(&self.running, 1),
            _memory: text("kv-hold").map(|name| self.claim(name)),
        };
        let time = text("deadline-ms").and_then(|time| time.parse().ok());
        let stop_at = time.map(|time| Instant::now() + Duration::from_millis(time) - TIMER_LEAD);
        if fault == Some(Fault::Hang) {
            return std::future::pending().await;
        }
        if !is_prefill && self.is_crashed_by(text("prompt-prefix").unwrap_or_default()) {
            tokio::time::sleep(self.settings.event_interval).await;
            self.crashed.notify_one();
            return std::future::pending().await;
        }
        let mut response = if is_prefill {
            self.prefill().await
        } else if self.settings.phase.is_some() || self.settings.is_streaming {
            if let Some(Fault::SizedAtDeadline(_)) = fault {
                wait_until(stop_at).await;
            }
            self.stream(&head, fault, stop_at, run)
        } else {
            tokio::time::sleep(self.settings.service_time).await;
            let body = format!("{} {}", head.method, head.uri);
            if matches!(
                fault,
                Some(
                    Fault::Unframed
                        | Fault::UnframedCrash(_)
                        | Fault::StopAtDeadline(_)
                        | Fault::StopWithProcess(_)
                )
            ) {
                self.send_halves(body.into(), fault, stop_at)
            } else {
                Response::new(Body::full(body))
            }
        };
        if fault.is_some_and(Fault::is_unframed) {
            // HTTP/1.0 has no chunks.
            *response.version_mut() = Version::HTTP_10;
        }
        if fault == Some(Fault::Failure) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        if fault == Some(Fault::Busy) {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        let headers = response.headers_mut();
        insert_header(headers, "attempt-id", attempt);
        if fault != Some(Fault::Unsigned) && !is_prefill {
            insert_header(
                headers,
                "response-stamp",
                &format!("stamp.{}", self.settings.id),
            );
        }
        if fault == Some(Fault::Encoded) {
            insert_header(headers, "content-encoding", "gzip");
        }
        let running = if head.method == Method::HEAD {
            0
        } else {
            self.running_count()
        };
        insert_header(headers, "server-load", &format!("{running},0,8"));
        response
    }

    /// Returns whether one of the parts of a prompt crashes the engine.
    fn is_crashed_by(&self, parts: &str) -> bool {
        let crashing = lock(&self.crashing_part);
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        ids.any(|id| crashing.as_deref() == Some(id))
    }

    /// Answers with a body in two halves, one service time apart, or with the first half if it
    /// stops at a time.
    fn send_halves(
        &self,
        body: Bytes,
        fault: Option<Fault>,
        stop_at: Option<Instant>,
    ) -> Response<Body> {
        let (sender, response_body) = Body::channel(1);
        let service_time = self.settings.service_time;
        let crashed = self.crashed.clone();
        tokio::spawn(async move {
            let (first, second) = (body.slice(..body.len() / 2), body.slice(body.len() / 2..));
            // A caller that has gone needs neither half.
            let _ = sender.send(Piece::Data(first)).await;
            if matches!(fault, Some(Fault::StopWithProcess(_))) {
                crashed.notify_one();
                let _ = sender.send(Piece::End).await;
                return;
            }
            if matches!(fault, Some(Fault::StopAtDeadline(_))) {
                wait_until(stop_at).await;
                let _ = sender.send(Piece::End).await;
                return;
            }
            tokio::time::sleep(service_time).await;
            if matches!(fault, Some(Fault::UnframedCrash(_))) {
                crashed.notify_one();
                return sender.closed().await;
            }
            let _ = sender.send(Piece::Data(second)).await;
            let _ = sender.send(Piece::End).await;
        });
        Response::new(response_body)
    }

    /// Reads a prompt and leaves a KV cache behind.
    async fn prefill(&self) -> Response<Body> {
        tokio::time::sleep(self.settings.service_time).await;
        self.caches.fetch_add(1, Ordering::SeqCst);
        json(&json!({ "kvHandle": "cache-1", "tokens": 100, "version": 1 }))
    }

    /// Streams events, starting after the one named by `last-event-id`. `stop_at` is the deadline
    /// that the request states, if any.
    fn stream(
        &self,
        head: &http::request::Parts,
        fault: Option<Fault>,
        stop_at: Option<Instant>,
        run: Run,
    ) -> Response<Body> {
        if let Some(response) = fault.and_then(answer_without_events) {
            return response;
        }
        let (sender, response_body) = Body::channel(1);
        let settings = self.settings.clone();
        let crashed = self.crashed.clone();
        let last_event = head.headers.get("last-event-id");
        let last_event = last_event.and_then(|id| id.to_str().ok()?.parse::<u32>().ok());
        let asked_event = last_event.unwrap_or_default();
        let begun_event = if fault == Some(Fault::Anew) {
            0
        } else {
            asked_event
        };
        let first_event = begun_event + 1;
        let attempt = head.headers.get("attempt-id");
        let attempt = attempt.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let record = settings.ledger.clone().map(|ledger| {
            let number = ledger.begin(attempt, &settings.version, asked_event, begun_event);
            (ledger, number)
        });
        if let Some(Fault::SizedAtDeadline(count)) = fault {
            let events =
                (first_event..=count).map(|event| format!("id: {event}\ndata: token-{event}\n\n"));
            let mut response = Response::new(Body::full(events.collect::<String>()));
            insert_header(response.headers_mut(), "content-type", "text/event-stream");
            return response;
        }
        tokio::spawn(async move {
            let _run = run;
            let mut sent = Vec::new();
            for event in first_event..=settings.stream_events {
                let event_at = Instant::now() + settings.event_interval;
                if fault == Some(Fault::StopEarly) && stop_at.is_some_and(|at| event_at > at) {
                    break;
                }
                tokio::select! {
                    () = tokio::time::sleep(settings.event_interval) => {}
                    () = sender.closed() => return,
                }
                if matches!(fault, Some(Fault::UnframedEmpty | Fault::EmptyChunks)) {
                    break;
                }
                let stops = [Fault::UnframedStop(event - 1), Fault::EndEarly(event - 1)];
                if fault.is_some_and(|fault| stops.contains(&fault)) {
                    break;
                }
                if fault == Some(Fault::StopWithProcess(event - 1)) {
                    crashed.notify_one();
                    break;
                }
                if fault == Some(Fault::StopAtDeadline(event - 1)) {
                    wait_until(stop_at).await;
                    break;
                }
                if fault == Some(Fault::UnframedCrash(event - 1)) {
                    crashed.notify_one();
                    return sender.closed().await;
                }
                if let (Some(Fault::Pause(time)), 3) = (fault, event) {
                    tokio::time::sleep(Duration::from_millis(time)).await;
                }
                match fault {
                    Some(Fault::Preempt(after, time)) if after == event - 1 => {
                        tokio::time::sleep(Duration::from_millis(time)).await;
                    }
                    Some(Fault::Repeat(after) | Fault::Reread(after)) if after == event - 1 => {
                        let count = match fault {
                            Some(Fault::Repeat(_)) => 1,
                            _ => sent.len(),
                        };
                        for text in sent.iter().rev().take(count).rev() {
                            // A caller that has gone needs no more events.
                            let _ = sender.send(Piece::Data(Bytes::clone(text))).await;
                        }
                    }
                    _ => {}
                }
                let version = match settings.version.as_str() {
                    "" => String::new(),
                    version => format!(" {version}"),
                };
                let id = format!("id: {event}\n");
                let mut text = match &record {
                    Some((ledger, number)) => ledger.make(*number),
                    None => format!("{id}data: token-{event}{version}\n\n"),
                };
                if fault == Some(Fault::Unnumbered) && event == first_event {
                    text = text.replacen(&id, "", 1);
                }
                let breaks = [Fault::Break(event - 1), Fault::UnframedBreak(event - 1)];
                if let Some(fault) = fault.filter(|fault| breaks.contains(fault)) {
                    let partial = Bytes::from(text.into_bytes()).slice(..8);
                    // A caller that has gone needs no more events.
                    let _ = sender.send(Piece::Data(partial)).await;
                    if matches!(fault, Fault::UnframedBreak(_)) {
                        let _ = sender.send(Piece::End).await;
                    }
                    return;
                }
                let text = Bytes::from(text);
                sent.push(text.clone());
                if sender.send(Piece::Data(text)).await.is_err() {
                    return;
                }
            }
            if fault == Some(Fault::StopWithProcess(settings.stream_events)) {
                crashed.notify_one();
            }
            if fault == Some(Fault::BreakBehindLast) {
                // The last event is read before the connection breaks.
                return tokio::time::sleep(settings.event_interval).await;
            }
            // A caller that has gone needs no end.
            let _ = sender.send(Piece::End).await;
        });
        let mut response = Response::new(response_body);
        let media = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, media);
        response
    }
}

/// Waits until a time, or for good if there is none.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Returns the whole answer to a stream's request of a fault that has one.
fn answer_without_events(fault: Fault) -> Option<Response<Body>> {
    let (media, text) = match fault {
        Fault::Empty => ("text/event-stream", ""),
        Fault::Text => ("text/plain", "the service\n\nis not here\n\n"),
        Fault::ErrorHead => (
            "text/event-stream",
            "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
        ),
        Fault::Busy => ("text/plain", "busy\n\n"),
        _ => return None,
    };
    let mut response = Response::new(Body::full(text));
    insert_header(response.headers_mut(), "content-type", media);
    Some(response)
}

/// Sets a header unless the text contains characters that headers can't have.
fn insert_header(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Locks a mutex. A panic can't leave its contents inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
