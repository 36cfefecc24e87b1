//! A model engine with continuous batching, paged memory, a prefix cache, and
//! KV export and import over a link of limited rate.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{header, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::{json, Value};
use tokio::sync::{mpsc, Notify};

use cranberryridge::body::{Body, Piece};
use cranberryridge::client::Client;
use cranberryridge::net::Net;
use cranberryridge::wire::id::Digest;
use cranberryridge::wire::{Map, Set};

use crate::ledger::{Ledger, Stage};
use crate::orders::Orders;
use crate::server::{self, Server};

mod answer;

pub use answer::expected_answer;

use answer::Answer;

const TEXT_BYTES_PER_TOKEN: usize = 4;

/// Bytes of prompt text in a block of the prefix cache.
const BLOCK_BYTES: usize = 1024;

const KV_BYTES_PER_TOKEN: u64 = 131_072;

/// Number of equal chunks of a KV transfer. The link's share is read again
/// before each.
const TRANSFER_CHUNKS: u32 = 8;

/// A prompt that contains this text crashes the engine.
pub const CRASH_MARKER: &str = "crash-this-engine";

/// A model engine. Clones share it.
#[derive(Clone, Debug)]
pub struct Engine<N> {
    net: N,
    settings: Arc<Settings>,
    state: Arc<Mutex<State>>,
    /// Notified when memory or the prefill slot becomes free, a transfer ends,
    /// a request is cancelled, or the engine crashes.
    changed: Arc<Notify>,
    /// Orders to load models and to change the role.
    pub orders: Orders,
}

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Memory in pages.
    pub pages: u32,
    /// Tokens in a page.
    pub page_tokens: u32,
    /// Prefill rate in tokens per second.
    pub prefill_rate: u32,
    /// Duration of a decode step with a single request.
    pub step: Duration,
    /// Time that each further request adds to a decode step.
    pub step_per_request: Duration,
    /// Rate of the link for KV transfers, in bytes per second.
    pub link_rate: u64,
    /// Time for which a prefill's result waits for its transfer.
    pub result_lifetime: Duration,
    /// Capacity of the prefix cache in blocks.
    pub max_cached_blocks: usize,
    /// Length of an answer if the request doesn't limit it.
    pub default_answer_tokens: u32,
    /// Ledger that records the engine's work.
    pub ledger: Ledger,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            pages: 40,
            page_tokens: 4096,
            prefill_rate: 16_000,
            step: Duration::from_millis(20),
            step_per_request: Duration::from_millis(1),
            link_rate: 5_000_000_000,
            result_lifetime: Duration::from_millis(800),
            max_cached_blocks: 4096,
            default_answer_tokens: 24,
            ledger: Ledger::default(),
        }
    }
}

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Transfers from the engine make no progress.
    pub stall: bool,
}

#[derive(Debug, Default)]
struct State {
    /// Pages held, by request id.
    held_pages: Map<String, u32>,
    /// Ids of requests that end at their next check.
    cancelled: Set<String>,
    /// Whether the prefill slot is taken.
    prefilling: bool,
    /// Tickets of the waiting prompts: priority and arrival number. The lowest
    /// is served first.
    prefill_queue: Vec<(i64, u64)>,
    /// Arrival number of the newest prompt.
    sequence: u64,
    /// Tokens of the results that wait for their transfer, by handle.
    results: Map<String, u64>,
    /// Hashes of the blocks in the prefix cache.
    cached_blocks: Set<u64>,
    /// The same hashes, oldest first, for eviction.
    block_order: VecDeque<u64>,
    /// Number of transfers in progress, which share the link.
    transfers: u32,
    /// Number of requests in the decode batch.
    decoding: u32,
    faults: Faults,
    crashed: bool,
}

/// Memory of a request, freed on drop.
struct Allocation<N> {
    engine: Engine<N>,
    id: String,
}

impl<N> Drop for Allocation<N> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.held_pages.remove(&self.id);
        state.cancelled.remove(&self.id);
        drop(state);
        self.engine.changed.notify_waiters();
    }
}

impl<N> Engine<N> {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the ids of the requests that hold memory.
    pub fn resident_ids(&self) -> Vec<String> {
        self.lock().held_pages.keys().cloned().collect()
    }

    /// Returns whether the engine has crashed and not been restarted.
    pub fn is_crashed(&self) -> bool {
        self.lock().crashed
    }

    /// Crashes the engine. All its answers break off.
    pub fn crash(&self) {
        self.lock().crashed = true;
        self.changed.notify_waiters();
    }

    /// Restarts the engine after a crash, with empty memory and no faults.
    pub fn restart(&self) {
        *self.lock() = State::default();
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }
}

impl<N: Net> Engine<N> {
    /// Creates an engine with empty memory.
    pub fn new(net: N, settings: Settings) -> Self {
        Self {
            net,
            settings: Arc::new(settings),
            state: Arc::default(),
            changed: Arc::default(),
            orders: Orders::default(),
        }
    }

    /// Serves the engine's HTTP interface.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve(&self, at: SocketAddr) -> std::io::Result<Server> {
        let engine = self.clone();
        Server::start(&self.net, at, move |request| {
            engine.clone().answer(at, request)
        })
        .await
    }

    async fn answer(self, at: SocketAddr, request: Request<Bytes>) -> Response<Body> {
        if self.is_crashed() {
            return truncated_response();
        }
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (_, "/orders") => self.orders.clone().answer(request).await,
            (&Method::GET, "/requests") => server::json(&self.resident_ids()),
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(at, request).await
            }
            (&Method::POST, path) => match path.strip_prefix("/cancel/") {
                Some(id) => self.cancel(id),
                None => server::status(StatusCode::NOT_FOUND),
            },
            (&Method::GET, path) => match path.strip_prefix("/kv/") {
                Some(handle) => self.export(handle),
                None => server::status(StatusCode::NOT_FOUND),
            },
            _ => server::status(StatusCode::NOT_FOUND),
        }
    }

    /// Cancels a request. An unknown id is no error.
    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        if state.held_pages.contains_key(id) {
            state.cancelled.insert(id.to_owned());
        }
        drop(state);
        self.changed.notify_waiters();
        server::json(&json!({}))
    }

    /// Runs a completion: a prefill or a decode.
    async fn complete(self, at: SocketAddr, request: Request<Bytes>) -> Response<Body> {
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|id| id.to_str().ok());
        let id = id.unwrap_or("anonymous").to_owned();
        let chat = request.uri().path().contains("chat");
        let Ok(body) = serde_json::from_slice::<Value>(request.body()) else {
            return server::status(StatusCode::BAD_REQUEST);
        };
        let prompt = if chat {
            body["messages"].to_string()
        } else {
            prompt_text(&body["prompt"])
        };
        if prompt.contains(CRASH_MARKER) {
            self.lock().crashed = true;
            return truncated_response();
        }
        self.settings
            .ledger
            .record_stage(at, &id, &prompt, Stage::Received);
        let params = body["kv_transfer_params"].clone();
        if params["do_remote_decode"] == json!(true) {
            return self
                .prefill(at, id, &prompt, body["priority"].as_i64().unwrap_or(0))
                .await;
        }
        self.decode(at, id, &prompt, &body, params, chat).await
    }

    /// Reads a prompt and keeps the result for its transfer.
    async fn prefill(
        self,
        at: SocketAddr,
        id: String,
        prompt: &str,
        priority: i64,
    ) -> Response<Body> {
        let tokens = (prompt.len().div_ceil(TEXT_BYTES_PER_TOKEN)).max(1) as u64;
        let Some(memory) = self.allocate(id.clone(), tokens).await else {
            return truncated_response();
        };
        let ledger = &self.settings.ledger;
        ledger.record_stage(at, &id, prompt, Stage::Prefill);
        let slot = self.wait_for_slot(priority).await;
        let cached = self.cached_tokens(prompt).min(tokens - 1);
        let time = (tokens - cached) as f64 / f64::from(self.settings.prefill_rate);
        if self
            .run_for(&id, Duration::from_secs_f64(time))
            .await
            .is_none()
        {
            return truncated_response();
        }
        drop(slot);
        self.cache_prompt(prompt);
        ledger.add_tokens_read(tokens);
        ledger.record_stage(at, &id, prompt, Stage::Prefilled);

        self.lock().results.insert(id.clone(), tokens);
        let engine = self.clone();
        let handle = id.clone();
        tokio::spawn(async move {
            engine.keep_result(&handle, memory).await;
        });
        server::json(&json!({
            "id": id,
            "usage": {
                "prompt_tokens": tokens,
                "prompt_tokens_details": { "cached_tokens": cached },
            },
            "kv_transfer_params": {
                "remote_engine_id": at.to_string(),
                "remote_handle": id,
                "remote_tokens": tokens,
                "ttl_ms": self.settings.result_lifetime.as_millis() as u64,
            },
        }))
    }

    /// Keeps a result until it is transferred, expires or is cancelled. A
    /// result without a transfer counts as wasted.
    async fn keep_result(&self, handle: &str, memory: Allocation<N>) {
        let limit = tokio::time::Instant::now() + self.settings.result_lifetime;
        loop {
            let changed = self.changed.notified();
            let waits = self.lock().results.contains_key(handle);
            if !waits {
                break;
            }
            let expired = tokio::time::timeout_at(limit, changed).await.is_err();
            if expired || self.lock().cancelled.contains(handle) {
                let lost = self.lock().results.remove(handle);
                self.settings.ledger.add_tokens_wasted(lost.unwrap_or(0));
                break;
            }
        }
        drop(memory);
    }

    /// Exports a result at the rate of its share of the link.
    fn export(self, handle: &str) -> Response<Body> {
        let Some(tokens) = self.lock().results.remove(handle) else {
            return server::status(StatusCode::NOT_FOUND);
        };
        let (sender, response_body) = Body::channel(1);
        self.lock().transfers += 1;
        tokio::spawn(async move {
            let bytes = tokens * KV_BYTES_PER_TOKEN / u64::from(TRANSFER_CHUNKS);
            for _ in 0..TRANSFER_CHUNKS {
                let (share, stalled) = self.link_share();
                if stalled {
                    tokio::time::sleep(Duration::from_secs(60)).await;
                }
                let time = Duration::from_secs_f64(bytes as f64 / share.max(1) as f64);
                tokio::time::sleep(time).await;
                let chunk = Piece::Data(Bytes::from_static(b"kv"));
                if sender.send(chunk).await.is_err() {
                    break;
                }
            }
            // A reader that has gone needs no end.
            let _ = sender.send(Piece::End).await;
            self.lock().transfers -= 1;
            self.changed.notify_waiters();
        });
        Response::new(response_body)
    }

    /// Returns the share of the link of one transfer, in bytes per second, and
    /// whether transfers stall.
    fn link_share(&self) -> (u64, bool) {
        let state = self.lock();
        let share = self.settings.link_rate / u64::from(state.transfers.max(1));
        (share, state.faults.stall)
    }

    /// Imports a result and streams the answer.
    async fn decode(
        self,
        at: SocketAddr,
        id: String,
        prompt: &str,
        body: &Value,
        params: Value,
        chat: bool,
    ) -> Response<Body> {
        let answer_tokens = ["max_completion_tokens", "max_tokens"];
        let answer_tokens = answer_tokens.iter().find_map(|name| body[*name].as_u64());
        let answer_tokens = answer_tokens.unwrap_or(u64::from(self.settings.default_answer_tokens));
        let tokens = (prompt.len().div_ceil(TEXT_BYTES_PER_TOKEN)).max(1) as u64;
        let seed = answer::seed(prompt);
        let include_usage = body["stream_options"]["include_usage"] == json!(true);
        let (sender, response_body) = Body::channel(4);
        let Some(memory) = self.allocate(id.clone(), tokens + answer_tokens).await else {
            return truncated_response();
        };
        let prompt = prompt.to_owned();
        let ledger = self.settings.ledger.clone();
        ledger.record_stage(at, &id, &prompt, Stage::Import);
        if !self.import(&params).await {
            return server::status(StatusCode::CONFLICT);
        }
        ledger.record_stage(at, &id, &prompt, Stage::Generate);
        let answer = Answer {
            id,
            seed,
            answer_tokens,
            prompt_tokens: tokens,
            chat,
            include_usage,
        };
        tokio::spawn(async move {
            self.lock().decoding += 1;
            self.generate(&answer, &sender).await;
            self.lock().decoding -= 1;
            ledger.record_stage(at, &answer.id, &prompt, Stage::Generated);
            drop(memory);
        });
        stream_response(response_body)
    }

    /// Pulls a result from another engine. Returns whether it arrived whole.
    async fn import(&self, params: &Value) -> bool {
        let Some(Ok(address)) = params["remote_engine_id"].as_str().map(str::parse) else {
            return false;
        };
        let handle = params["remote_handle"].as_str().unwrap_or_default();
        let mut request = Request::new(Full::default());
        *request.uri_mut() = format!("/kv/{handle}").parse().unwrap_or_default();
        let client = Client::new(self.net.clone(), address);
        let Ok(answer) = client.send(request).await else {
            return false;
        };
        let status = answer.status();
        let whole = answer.into_body().collect().await.is_ok();
        status == StatusCode::OK && whole
    }

    /// Generates an answer token by token until it is complete or its reader
    /// has gone.
    async fn generate(&self, answer: &Answer, sender: &mpsc::Sender<Piece>) {
        for position in 0..answer.answer_tokens {
            let others = self.lock().decoding.saturating_sub(1);
            let step = self.settings.step + self.settings.step_per_request * others;
            let gone = tokio::select! {
                biased;
                ran = self.run_for(&answer.id, step) => ran.is_none(),
                () = sender.closed() => true,
            };
            let event = Piece::Data(answer.token_event(position));
            if gone || sender.send(event).await.is_err() {
                return;
            }
        }
        let done = Bytes::from_static(b"data: [DONE]\n\n");
        let usage = answer.include_usage.then(|| answer.usage_event());
        for event in usage.into_iter().chain([done]) {
            if sender.send(Piece::Data(event)).await.is_err() {
                return;
            }
        }
        // A reader that has gone needs no end.
        let _ = sender.send(Piece::End).await;
    }

    /// Allocates memory for a request, and waits until there is enough. Returns
    /// `None` after a crash.
    async fn allocate(&self, id: String, tokens: u64) -> Option<Allocation<N>> {
        let pages = u32::try_from(tokens)
            .unwrap_or(u32::MAX)
            .div_ceil(self.settings.page_tokens);
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                if state.crashed {
                    return None;
                }
                if state.held_pages.values().sum::<u32>() + pages <= self.settings.pages {
                    state.held_pages.insert(id.clone(), pages);
                    break;
                }
            }
            changed.await;
        }
        Some(Allocation {
            engine: self.clone(),
            id,
        })
    }

    /// Waits for the prefill slot, in order of priority.
    async fn wait_for_slot(&self, priority: i64) -> PrefillSlot<N> {
        let ticket = {
            let mut state = self.lock();
            state.sequence += 1;
            let ticket = (priority, state.sequence);
            state.prefill_queue.push(ticket);
            ticket
        };
        let mut slot = PrefillSlot {
            engine: self.clone(),
            ticket,
            granted: false,
        };
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.lock();
                let first = state.prefill_queue.iter().min() == Some(&ticket);
                if first && !state.prefilling {
                    state.prefilling = true;
                    state.prefill_queue.retain(|waiting| *waiting != ticket);
                    slot.granted = true;
                    drop(state);
                    return slot;
                }
            }
            changed.await;
        }
    }

    /// Occupies a request for a time. Returns `None` if the request is
    /// cancelled or the engine crashes.
    async fn run_for(&self, id: &str, time: Duration) -> Option<()> {
        let limit = tokio::time::Instant::now() + time;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if state.crashed || state.cancelled.contains(id) {
                    return None;
                }
            }
            if tokio::time::timeout_at(limit, changed).await.is_err() {
                return Some(());
            }
        }
    }

    /// Returns the number of leading prompt tokens that are in the prefix
    /// cache.
    fn cached_tokens(&self, prompt: &str) -> u64 {
        let state = self.lock();
        let hits = block_hashes(prompt)
            .take_while(|hash| state.cached_blocks.contains(hash))
            .count();
        (hits * BLOCK_BYTES / TEXT_BYTES_PER_TOKEN) as u64
    }

    /// Adds the blocks of a prompt to the prefix cache and evicts the oldest.
    fn cache_prompt(&self, prompt: &str) {
        let mut state = self.lock();
        for hash in block_hashes(prompt) {
            if state.cached_blocks.insert(hash) {
                state.block_order.push_back(hash);
            }
            if state.block_order.len() > self.settings.max_cached_blocks {
                let oldest = state.block_order.pop_front();
                oldest.map(|oldest| state.cached_blocks.remove(&oldest));
            }
        }
    }
}

/// A place in the prefill queue or the slot itself. Dropping it lets the next
/// prompt proceed.
struct PrefillSlot<N> {
    engine: Engine<N>,
    /// Ticket in the prefill queue.
    ticket: (i64, u64),
    /// Whether the slot is held, rather than waited for.
    granted: bool,
}

impl<N> Drop for PrefillSlot<N> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if self.granted {
            state.prefilling = false;
        } else {
            state
                .prefill_queue
                .retain(|waiting| *waiting != self.ticket);
        }
        drop(state);
        self.engine.changed.notify_waiters();
    }
}

/// Returns a prompt's text. Prompts that aren't strings count as their JSON.
fn prompt_text(prompt: &Value) -> String {
    prompt
        .as_str()
        .map_or_else(|| prompt.to_string(), str::to_owned)
}

/// Returns the hashes of a prompt's blocks. Each covers the prompt up to the
/// end of its block.
fn block_hashes(prompt: &str) -> impl Iterator<Item = u64> + '_ {
    let mut chain = 0u64;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(move |block| {
            chain = Digest::of(&[&chain.to_le_bytes(), block]).0[0];
            chain
        })
}

/// Returns a response whose body breaks off at once.
fn truncated_response() -> Response<Body> {
    let (_, body) = Body::channel(1);
    stream_response(body)
}

/// Returns the response of a stream of events.
fn stream_response(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let media = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}
