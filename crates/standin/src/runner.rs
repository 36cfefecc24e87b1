//! An endpoint of the platform: a plain one or an engine, and its faults.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use cranberryridge::body::{Body, Cut};
use cranberryridge::net::Net;
use cranberryridge::wire::Map;

use crate::server::{json, status, Server};

/// An endpoint. Clones share it.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Faults of the next runs, first one first.
    faults: Arc<Mutex<VecDeque<Fault>>>,
    /// What it was sent.
    seen: Arc<Mutex<Vec<Seen>>>,
    /// Runs under way.
    running: Arc<AtomicUsize>,
    /// Reservations: tokens by name.
    reservations: Arc<Mutex<Map<String, usize>>>,
    /// Reservations so far.
    reserved: Arc<AtomicUsize>,
    /// Reservations that there was no room for.
    refused: Arc<AtomicUsize>,
    /// KV caches that wait to be taken.
    caches: Arc<AtomicUsize>,
    /// Orders accepted.
    orders: Arc<AtomicUsize>,
}

/// Settings of an endpoint.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its id.
    pub id: String,
    /// Its stage, if it is an engine.
    pub phase: Option<&'static str>,
    /// Time that a plain call or a prompt takes.
    pub work: Duration,
    /// Events of a stream.
    pub events: u32,
    /// Time between two of them.
    pub gap: Duration,
    /// Tokens that can be reserved.
    pub memory: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: "i-1".into(),
            phase: None,
            work: Duration::from_millis(20),
            events: 5,
            gap: Duration::from_millis(40),
            memory: 30_000,
        }
    }
}

/// A fault of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Says that the request did not run.
    NotRun,
    /// Another endpoint has the address.
    Misdirected,
    /// Fails, and says so.
    Failure,
    /// Answers nothing.
    Hang,
    /// Makes no event for so many milliseconds, then goes on.
    Pause(u64),
    /// Breaks the answer off after so many events, in the middle of the next.
    Break(u32),
    /// Gives another attempt's answer.
    Foreign,
    /// Gives an answer without its signature.
    Unsigned,
    /// Gives an answer whose body is encoded.
    Encoded,
}

/// A request that an endpoint got.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Method and path with query.
    pub line: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// When it came.
    pub at: tokio::time::Instant,
    /// Whether it was run.
    pub ran: bool,
}

/// A run under way.
struct Running {
    /// Counts it.
    _count: Count,
    /// Its memory.
    _memory: Option<Memory>,
}

/// Memory of a run, given back when dropped.
struct Memory {
    /// Where.
    runner: Runner,
    /// Its name there.
    name: String,
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.runner.give_back(&self.name);
    }
}

/// Counts something down when dropped.
struct Count(Arc<AtomicUsize>, usize);

impl Count {
    /// Counts up.
    fn up(counter: &Arc<AtomicUsize>, by: usize) -> Self {
        counter.fetch_add(by, Ordering::SeqCst);
        Self(counter.clone(), by)
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::SeqCst);
    }
}

impl Runner {
    /// An endpoint.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings: Arc::new(settings),
            faults: Arc::default(),
            seen: Arc::default(),
            running: Arc::default(),
            reservations: Arc::default(),
            reserved: Arc::default(),
            refused: Arc::default(),
            caches: Arc::default(),
            orders: Arc::default(),
        }
    }

    /// Serves it.
    ///
    /// # Errors
    ///
    /// When the address is taken.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let runner = self.clone();
        Server::start(net, at, move |request| runner.clone().answer(request)).await
    }

    /// Adds a fault for the next run without one.
    pub fn fail(&self, fault: Fault) {
        lock(&self.faults).push_back(fault);
    }

    /// Forgets faults that did not come yet.
    pub fn mend(&self) {
        lock(&self.faults).clear();
    }

    /// What it was sent, calls about itself not counted.
    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Reservations that it had no room for.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    /// Requests that it ran.
    pub fn ran(&self) -> usize {
        lock(&self.seen).iter().filter(|seen| seen.ran).count()
    }

    /// Runs under way.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }

    /// Tokens that are reserved.
    pub fn reserved(&self) -> usize {
        lock(&self.reservations).values().sum()
    }

    /// KV caches that wait to be taken.
    pub fn caches(&self) -> usize {
        self.caches.load(Ordering::SeqCst)
    }

    /// Orders accepted.
    pub fn orders(&self) -> usize {
        self.orders.load(Ordering::SeqCst)
    }

    /// Answers a request.
    async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match path.as_str() {
            "/-/hold-take" => return self.reserve(request.body()),
            "/-/order" => {
                self.orders.fetch_add(1, Ordering::SeqCst);
                return status(StatusCode::ACCEPTED);
            }
            "/-/report" => {
                let orders = self.orders.load(Ordering::SeqCst);
                return json(&json!({
                    "phase": self.settings.phase, "busy": false, "sequence": orders,
                }));
            }
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/-/hold-drop/") {
            self.give_back(name);
            return status(StatusCode::OK);
        }
        if path.starts_with("/-/kv-handle/") {
            self.caches.fetch_sub(1, Ordering::SeqCst);
            return status(StatusCode::OK);
        }
        self.run(request).await
    }

    /// Reserves memory for a while.
    fn reserve(&self, body: &Bytes) -> Response<Body> {
        let body = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
        let number = |name: &str| body[name].as_u64().unwrap_or_default();
        let tokens = number("tokens") as usize;
        if self.reserved() + tokens > self.settings.memory {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let name = self.reserved.fetch_add(1, Ordering::SeqCst).to_string();
        lock(&self.reservations).insert(name.clone(), tokens);
        let (runner, lapsing) = (self.clone(), name.clone());
        let lasts = Duration::from_millis(number("ttlMs"));
        tokio::spawn(async move {
            tokio::time::sleep(lasts).await;
            runner.give_back(&lapsing);
        });
        json(&json!({ "hold": name }))
    }

    /// Keeps a reservation's memory for a run.
    fn keep(&self, name: &str) -> Memory {
        let kept = format!("run-{name}");
        let mut reservations = lock(&self.reservations);
        if let Some(tokens) = reservations.remove(name) {
            reservations.insert(kept.clone(), tokens);
        }
        let runner = self.clone();
        Memory { runner, name: kept }
    }

    /// Gives a reservation back.
    fn give_back(&self, name: &str) {
        lock(&self.reservations).remove(name);
    }

    /// Runs a request.
    async fn run(self, request: Request<Bytes>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let fault = lock(&self.faults).pop_front();
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let expected = text("expect-instance").is_none_or(|id| id == self.settings.id);
        let refused = match fault {
            _ if !expected => Some(StatusCode::MISDIRECTED_REQUEST),
            Some(Fault::NotRun) => Some(StatusCode::SERVICE_UNAVAILABLE),
            Some(Fault::Misdirected) => Some(StatusCode::MISDIRECTED_REQUEST),
            _ => None,
        };
        let reading = text("serving-stage") == Some("prefill");
        lock(&self.seen).push(Seen {
            line: format!("{} {}", head.method, head.uri),
            headers: head.headers.clone(),
            body,
            at: tokio::time::Instant::now(),
            ran: refused.is_none() && !reading,
        });
        let attempt = match fault {
            Some(Fault::Foreign) => "another",
            _ => text("attempt-id").unwrap_or_default(),
        };
        if let Some(code) = refused {
            let mut response = status(code);
            let headers = response.headers_mut();
            headers.insert("not-executed", HeaderValue::from_static("1"));
            insert(headers, "attempt-id", attempt);
            return response;
        }
        let count = Running {
            _count: Count::up(&self.running, 1),
            _memory: text("kv-hold").map(|name| self.keep(name)),
        };
        if fault == Some(Fault::Hang) {
            return std::future::pending().await;
        }
        let mut response = if reading {
            self.read().await
        } else if self.settings.phase.is_some() {
            self.stream(&head, fault, count)
        } else {
            tokio::time::sleep(self.settings.work).await;
            Response::new(Body::full(format!("{} {}", head.method, head.uri)))
        };
        if fault == Some(Fault::Failure) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let headers = response.headers_mut();
        insert(headers, "attempt-id", attempt);
        if fault != Some(Fault::Unsigned) && !reading {
            insert(
                headers,
                "response-stamp",
                &format!("stamp.{}", self.settings.id),
            );
        }
        if fault == Some(Fault::Encoded) {
            insert(headers, "content-encoding", "gzip");
        }
        let running = if head.method == Method::HEAD {
            0
        } else {
            self.running()
        };
        insert(headers, "server-load", &format!("{running},0,8"));
        response
    }

    /// Reads a prompt.
    async fn read(&self) -> Response<Body> {
        tokio::time::sleep(self.settings.work).await;
        self.caches.fetch_add(1, Ordering::SeqCst);
        json(&json!({ "kvHandle": "cache-1", "tokens": 100, "version": 1 }))
    }

    /// Streams events.
    fn stream(
        &self,
        head: &http::request::Parts,
        fault: Option<Fault>,
        count: Running,
    ) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(1);
        let settings = self.settings.clone();
        let after = head.headers.get("last-event-id");
        let after = after.and_then(|id| id.to_str().ok()?.parse::<u32>().ok());
        tokio::spawn(async move {
            let _count = count;
            for event in after.unwrap_or_default() + 1..=settings.events {
                tokio::select! {
                    () = tokio::time::sleep(settings.gap) => {}
                    () = sender.closed() => return,
                }
                if let (Some(Fault::Pause(time)), 3) = (fault, event) {
                    tokio::time::sleep(Duration::from_millis(time)).await;
                }
                let text = format!("id: {event}\ndata: token-{event}\n\n");
                if fault == Some(Fault::Break(event - 1)) {
                    let half = Bytes::from(text.into_bytes()).slice(..8);
                    // A caller that is gone needs no more.
                    let _ = sender.send(Ok(half)).await;
                    let _ = sender.send(Err(Cut)).await;
                    return;
                }
                if sender.send(Ok(text.into())).await.is_err() {
                    return;
                }
            }
        });
        Response::new(Body::Pieces(receiver))
    }
}

/// Sets a header to a text that has no place for other characters.
fn insert(headers: &mut HeaderMap, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Locks a mutex whose contents a panic cannot leave half made.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
