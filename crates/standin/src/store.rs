//! A stand-in for the platform's store, with faults.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{HeaderValue, Method, Request, Response, StatusCode};
use serde_json::{json, Value};
use tokio::sync::watch;
use tokio::time::Instant;

use cranberryridge::body::Body;
use cranberryridge::net::Net;
use cranberryridge::wire::Map;

use crate::server::{json, query_number, status, Server};

/// Maximum number of records in a page of the newest ones.
const MAX_PAGE_ITEMS: usize = 500;

/// A store in memory. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Store {
    topics: Arc<Mutex<Map<String, Topic>>>,
    /// Number of appends. A change wakes the reads that wait for records.
    appended: Arc<watch::Sender<u64>>,
    fault: Arc<Mutex<Fault>>,
    calls: Arc<Mutex<u64>>,
    /// Number of returns from an older copy, sent as `store-era`.
    era: Arc<AtomicU64>,
    /// Whether answers lack the era, as those of an older platform.
    hides_era: Arc<AtomicBool>,
    /// Texts that reads replace in values, each with its replacement.
    replacements: Arc<[(String, String)]>,
}

/// A topic with a single partition.
#[derive(Debug, Default)]
struct Topic {
    /// Records, beginning at offset `first_offset`.
    records: Vec<Record>,
    /// Offset of the first record.
    first_offset: u64,
}

/// A record of a topic.
#[derive(Clone, Debug)]
struct Record {
    key: String,
    /// Empty if the record deletes the key. The whole record in a topic without keys.
    value: Vec<u8>,
    written_at: Instant,
}

/// A fault of a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// The store works.
    #[default]
    None,
    /// Every call is answered with 503.
    Unavailable,
    /// No call is answered.
    Silent,
    /// Appends take effect, but their answers never arrive. Reads work.
    AnswersLost,
}

impl Store {
    /// Serves the store's HTTP interface.
    ///
    /// # Errors
    ///
    /// Fails if the address is in use.
    pub async fn serve<N: Net>(&self, net: &N, at: SocketAddr) -> std::io::Result<Server> {
        let store = self.clone();
        Server::start(net, at, move |request| store.clone().answer(request)).await
    }

    /// Replaces the fault.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.fault) = fault;
    }

    /// Returns a handle of the same store that replaces texts in the values that it serves, as
    /// behind a translation of addresses.
    pub fn translated(&self, replacements: impl IntoIterator<Item = (String, String)>) -> Self {
        Self {
            replacements: replacements.into_iter().collect(),
            ..self.clone()
        }
    }

    /// Appends a record. `None` deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let value = value.map_or_else(Vec::new, |value| value.to_string().into_bytes());
        self.append(topic, vec![(key.into(), value)]);
    }

    /// Appends a record whose value needn't be JSON.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, vec![(key.into(), value.to_vec())]);
    }

    /// Leaves the era out of all further answers.
    pub fn hide_era(&self) {
        self.hides_era.store(true, Ordering::SeqCst);
    }

    /// Returns to a copy that is `age` old, as after a loss of the newest records,
    /// and begins a new era. Reads that wait are answered, as their connections
    /// would break.
    pub fn restore(&self, age: Duration) {
        let copied_at = Instant::now().checked_sub(age);
        for topic in lock(&self.topics).values_mut() {
            let is_copied = |record: &Record| copied_at.is_some_and(|at| record.written_at <= at);
            topic.records.retain(is_copied);
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        self.appended.send_modify(|appended| *appended += 1);
    }

    /// Removes all records but the newest of each key.
    pub fn compact(&self, topic: &str) {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.into()).or_default();
        let newest = newest(topic);
        topic.first_offset += topic.records.len() as u64 + 1;
        topic.records.clear();
        topic.first_offset -= newest.len() as u64;
        topic.records = newest;
    }

    /// Returns the number of records in a topic.
    pub fn record_count(&self, topic: &str) -> usize {
        let topics = lock(&self.topics);
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    /// Returns the newest value of a key, or `None` if it has none or isn't
    /// JSON.
    pub fn get(&self, topic: &str, key: &str) -> Option<Value> {
        let topics = lock(&self.topics);
        let rows = newest(topics.get(topic)?);
        let row = rows.into_iter().find(|row| row.key == key)?;
        serde_json::from_slice(&row.value).ok()
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> u64 {
        *lock(&self.calls)
    }

    /// Appends records and returns the offset of the first.
    fn append(&self, topic: &str, records: Vec<(String, Vec<u8>)>) -> u64 {
        let mut topics = lock(&self.topics);
        let topic = topics.entry(topic.into()).or_default();
        let offset = topic.end();
        let written_at = Instant::now();
        let records = records.into_iter();
        topic.records.extend(records.map(|(key, value)| Record {
            key,
            value,
            written_at,
        }));
        self.appended.send_modify(|appended| *appended += 1);
        offset
    }

    /// Answers a call, and names the era in every answer.
    async fn answer(self, request: Request<Bytes>) -> Response<Body> {
        let (era, hides_era) = (self.era.clone(), self.hides_era.clone());
        let mut response = self.handle(request).await;
        if !hides_era.load(Ordering::SeqCst) {
            let era = HeaderValue::from(era.load(Ordering::SeqCst));
            response.headers_mut().insert("store-era", era);
        }
        response
    }

    async fn handle(self, request: Request<Bytes>) -> Response<Body> {
        *lock(&self.calls) += 1;
        let fault = *lock(&self.fault);
        match fault {
            Fault::Unavailable => return status(StatusCode::SERVICE_UNAVAILABLE),
            Fault::Silent => return std::future::pending().await,
            Fault::AnswersLost if request.method() == Method::POST => {
                self.handle_append(&request);
                return std::future::pending().await;
            }
            Fault::None | Fault::AnswersLost => {}
        }
        match request.uri().path() {
            "/-/log-append" => self.handle_append(&request),
            "/-/log-newest" => self.handle_newest(&request),
            "/-/log-read" => self.handle_read(&request).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    /// Appends the records of the body, unless the offset in `at` isn't the
    /// topic's end.
    fn handle_append(&self, request: &Request<Bytes>) -> Response<Body> {
        let query = request.uri().query();
        let name = query_text(query, "topic");
        let mut body = request.body().clone();
        let mut records = Vec::new();
        while body.remaining() >= 4 {
            let length = body.get_u32() as usize;
            let mut record = body.split_to(length.min(body.len()));
            let key = if is_keyed(&name) {
                let key = usize::from(record.get_u8());
                record.split_to(key)
            } else {
                Bytes::new()
            };
            records.push((String::from_utf8_lossy(&key).into_owned(), record.to_vec()));
        }
        let end = lock(&self.topics).get(&name).map_or(0, Topic::end);
        if query_number(query, "at").is_some_and(|at| at != end) {
            let mut response = json(&json!({ "endOffset": end }));
            *response.status_mut() = StatusCode::PRECONDITION_FAILED;
            return response;
        }
        let appended = records.len() as u64;
        let offset = self.append(&name, records);
        json(&json!({ "offset": offset, "endOffset": offset + appended }))
    }

    /// Answers with the newest record of each key.
    fn handle_newest(&self, request: &Request<Bytes>) -> Response<Body> {
        let name = query_text(request.uri().query(), "topic");
        let topics = lock(&self.topics);
        let Some(topic) = topics.get(&name) else {
            return json(&json!({ "items": [], "hasMore": false, "endOffset": 0 }));
        };
        let after = query_text(request.uri().query(), "after");
        let mut rows = newest(topic);
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        rows.retain(|row| row.key > after);
        let has_more = rows.len() > MAX_PAGE_ITEMS;
        let rows = rows.into_iter().take(MAX_PAGE_ITEMS);
        let items = rows.map(|row| {
            let mut records = topic.records.iter();
            let at = records.rposition(|other| other.key == row.key);
            let offset = topic.first_offset + at.unwrap_or_default() as u64;
            json!({ "key": row.key, "value": encode(&self.translate(&row.value)), "offset": offset })
        });
        json(&json!({
            "items": items.collect::<Vec<_>>(),
            "hasMore": has_more,
            "endOffset": topic.end(),
        }))
    }

    /// Answers with the records from an offset on, and waits if there are none
    /// yet.
    async fn handle_read(&self, request: &Request<Bytes>) -> Response<Body> {
        let query = request.uri().query();
        let name = query_text(query, "topic");
        let from = query_number(query, "from").unwrap_or_default();
        let wait = Duration::from_millis(query_number(query, "waitMs").unwrap_or_default());
        let mut appended = self.appended.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            let response = self.page(&name, from);
            if let Some(response) = response {
                return response;
            }
            let more = tokio::time::timeout_at(until, appended.changed()).await;
            if more.is_err() {
                return self.page(&name, u64::MAX).unwrap_or_else(|| {
                    let mut empty = BytesMut::new();
                    empty.put_u64(from);
                    empty.put_u64(0);
                    Response::new(Body::full(empty.freeze()))
                });
            }
        }
    }

    /// Returns the records from an offset on as a response, or `None` if there
    /// are none.
    fn page(&self, name: &str, from: u64) -> Option<Response<Body>> {
        let topics = lock(&self.topics);
        let topic = topics.get(name)?;
        let is_missing = from > topic.end() && from != u64::MAX;
        if from < topic.first_offset || is_missing {
            let mut response = json(&json!({ "firstOffset": topic.first_offset }));
            *response.status_mut() = StatusCode::GONE;
            return Some(response);
        }
        let skip = (from.min(topic.end()) - topic.first_offset) as usize;
        let records = &topic.records[skip..];
        if records.is_empty() && from != u64::MAX {
            return None;
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.end());
        body.put_u64(topic.first_offset);
        for Record { key, value, .. } in records {
            let value = self.translate(value);
            if is_keyed(name) {
                body.put_u32((1 + key.len() + value.len()) as u32);
                body.put_u8(key.len() as u8);
                body.put_slice(key.as_bytes());
            } else {
                body.put_u32(value.len() as u32);
            }
            body.put_slice(&value);
        }
        Some(Response::new(Body::full(body.freeze())))
    }

    /// Replaces the texts of this handle in a value. Others than text stay as they are.
    fn translate<'a>(&self, value: &'a [u8]) -> Cow<'a, [u8]> {
        let Ok(text) = std::str::from_utf8(value) else {
            return value.into();
        };
        let replacements = self.replacements.iter();
        let found = replacements.filter(|(from, _)| text.contains(from.as_str()));
        found.fold(value.into(), |value, (from, to)| {
            let text = String::from_utf8_lossy(&value);
            text.replace(from, to).into_bytes().into()
        })
    }
}

/// Returns whether the records of a topic have keys.
fn is_keyed(topic: &str) -> bool {
    topic.starts_with("keyed.")
}

impl Topic {
    /// Offset of the next record.
    fn end(&self) -> u64 {
        self.first_offset + self.records.len() as u64
    }
}

/// Returns the newest record of each key that has a value.
fn newest(topic: &Topic) -> Vec<Record> {
    let mut rows = Vec::<Record>::new();
    for record in &topic.records {
        rows.retain(|other| other.key != record.key);
        if !record.value.is_empty() {
            rows.push(record.clone());
        }
    }
    rows
}

/// Returns the value of a query parameter, or an empty string.
fn query_text(query: Option<&str>, name: &str) -> String {
    let pairs = query.unwrap_or_default().split('&');
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(key, _)| *key == name);
    found.map_or_else(String::new, |(_, value)| value.into())
}

/// Encodes bytes in base64.
fn encode(bytes: &[u8]) -> String {
    use base64::prelude::{Engine as _, BASE64_STANDARD};
    BASE64_STANDARD.encode(bytes)
}

/// Locks a mutex. A panic can't leave its contents inconsistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
