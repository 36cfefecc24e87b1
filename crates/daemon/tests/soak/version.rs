//! Callers that take up streams at other gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use cranberryridge_standin::stream::{Form, Held, Ledger};
use cranberryridge_standin::transcript::Transcript;

use super::load::{self, Row, CALL_DEADLINE};
use super::order::{self, Counts, EVENTS};
use super::release::Skewed;
use super::site::{Site, RELEASE_ENGINES};

/// Tries of a caller for one stream.
const MAX_TRIES: usize = 4;

/// Minimum share of the streams taken up that go on after the faults are over.
const MIN_SHARE: f64 = 0.95;

/// A stream over all tries of its caller.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// Attempt that brought the first event.
    first_attempt: Option<String>,
    /// Events that arrived.
    got: Transcript,
    /// Attempt that each of them answered.
    attempts: Vec<String>,
    /// Whether an answer that ended as complete went on behind its last event.
    is_torn: bool,
    /// Whether the caller took it up, and whether it then went on.
    is_taken_up: bool,
    has_gone_on: bool,
    /// Whether a gateway was out of step at which the caller took it up.
    is_taken_up_skewed: bool,
    /// First try whose answer ended as complete before the last event.
    false_end: Option<Try>,
    tries: Vec<Try>,
    version: Version,
    after_faults: bool,
}

/// A try of a caller.
#[derive(Clone, Debug)]
struct Try {
    attempt: String,
    gateway: SocketAddr,
    sent_at: Instant,
    ended_at: Option<Instant>,
    /// Status of the answer.
    #[expect(dead_code, reason = "messages of failed checks show it")]
    status: Option<u16>,
}

impl Stream {
    fn is_complete(&self) -> bool {
        self.got.len() == EVENTS
    }

    /// Returns what is wrong with the events, or with an answer that ended as complete before
    /// the last one.
    fn form(&self, ledger: &Ledger) -> Option<Form> {
        let has_ended = self.false_end.is_some();
        let events = self.attempts.iter().zip(self.got.texts());
        let held = Held {
            events: &events.collect::<Vec<_>>(),
            total: EVENTS as u32,
            has_ended,
            may_resume: true,
        };
        order::form_of_ids(&self.got, has_ended)
            .or_else(|| ledger.check(&held))
            .or_else(|| has_ended.then_some(Form::FalseEnd))
            .or_else(|| self.is_torn.then_some(Form::Altered))
    }

    /// Returns the version that the caller speaks, whether it took the stream up, and whether
    /// a gateway of its tries was killed or frozen meanwhile.
    fn kind(&self, site: &Site) -> &'static str {
        let is_interrupted = self.tries.iter().any(|attempt| {
            let ended_at = attempt.ended_at.unwrap_or_else(Instant::now);
            site.is_interrupted(attempt.gateway, attempt.sent_at, ended_at)
        });
        let is_old = self.version == Version::HTTP_10;
        match (is_old, self.is_taken_up, is_interrupted) {
            (true, ..) => "HTTP/1.0",
            (_, false, _) => "HTTP/1.1",
            (_, true, false) => "HTTP/1.1, taken up",
            (_, true, true) => "HTTP/1.1, taken up, gateway interrupted",
        }
    }

    /// Returns the attempts of all tries.
    fn tries(&self) -> Vec<&str> {
        let tries = self.tries.iter();
        tries.map(|tried| tried.attempt.as_str()).collect()
    }

    fn request(&self, attempt: &str, body: &str) -> Request<Full<Bytes>> {
        let mut request = load::request("list", attempt);
        *request.version_mut() = self.version;
        *request.body_mut() = Full::new(Bytes::from(body.to_owned()));
        if let (Some(id), Some(first)) = (self.got.last_id(), &self.first_attempt) {
            let headers = request.headers_mut();
            headers.insert("last-event-id", id.into());
            headers.insert("resumes", first.parse().unwrap());
        }
        request
    }

    /// Reads events until there are as many as asked for, or the answer ends. Returns whether
    /// it ended as complete.
    async fn read(&mut self, attempt: &str, answer: Response<Incoming>, max_events: usize) -> bool {
        let mut body = answer.into_body();
        self.got.begin_try();
        while self.got.len() < max_events {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return false,
                None => {
                    self.is_torn |= !self.got.rest().is_empty();
                    if !self.is_complete() && self.false_end.is_none() {
                        self.false_end = self.tries.last().cloned();
                    }
                    return true;
                }
            };
            let before = self.got.len();
            self.got.push(frame.data_ref().map_or(&[], |data| data));
            self.attempts.resize(self.got.len(), attempt.into());
            if self.got.len() > before {
                self.first_attempt.get_or_insert_with(|| attempt.into());
                self.has_gone_on |= self.is_taken_up;
            }
        }
        false
    }
}

/// Parameters of callers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of callers that take up streams.
    pub callers: u64,
    /// Whether no two streams have the same body.
    pub has_own_bodies: bool,
    /// Whether each fourth caller speaks HTTP/1.0.
    pub has_old_callers: bool,
    /// Whether callers use a connection until it closes.
    pub keeps_connections: bool,
    /// Gateways that are out of step, at which callers take up two in three streams.
    pub skewed: Skewed,
}

/// Running callers and their streams.
pub struct Callers {
    callers: Vec<JoinHandle<()>>,
    streams: Arc<Mutex<Vec<Stream>>>,
    rows: Arc<Mutex<Vec<Row>>>,
    stop: Arc<AtomicBool>,
    faults_over: Arc<AtomicBool>,
}

impl Callers {
    /// Starts callers that send each try to a random gateway.
    pub fn start(gateways: &[SocketAddr], seed: u64, settings: Settings) -> Self {
        let mut all = Self {
            callers: Vec::new(),
            streams: Arc::default(),
            rows: Arc::default(),
            stop: Arc::default(),
            faults_over: Arc::default(),
        };
        for caller in 0..settings.callers {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 1000));
            let gateways = gateways.to_vec();
            let settings = settings.clone();
            let (streams, rows) = (all.streams.clone(), all.rows.clone());
            let (stop, faults_over) = (all.stop.clone(), all.faults_over.clone());
            all.callers.push(tokio::spawn(async move {
                let mut connections = HashMap::new();
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let name = format!("v{caller}-{number}");
                    let mut stream = Stream {
                        after_faults: faults_over.load(Ordering::SeqCst),
                        version: load::version_of(caller, settings.has_old_callers),
                        ..Stream::default()
                    };
                    let body = if settings.has_own_bodies {
                        &name
                    } else {
                        "body"
                    };
                    play(
                        &mut stream,
                        (&name, body),
                        &gateways,
                        &settings,
                        &mut connections,
                        &mut random,
                        &rows,
                    )
                    .await;
                    streams.lock().unwrap().push(stream);
                    let pause = random.random_range(5..60);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }));
        }
        all
    }

    /// Marks all streams from now on as begun after the faults.
    pub fn mark_faults_over(&self) {
        self.faults_over.store(true, Ordering::SeqCst);
    }

    /// Stops the callers and counts what is wrong with their streams.
    pub async fn stop(&mut self, seed: u64, site: &Site) {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers.drain(..) {
            caller.await.unwrap();
        }
        let streams = self.streams.lock().unwrap();
        let mut counts = Counts::new(&site.runners);
        for stream in &*streams {
            let last = stream.false_end.as_ref().or(stream.tries.last());
            if let (Some(form), Some(last)) = (stream.form(&site.ledger), last) {
                counts.add(form, &last.attempt, stream.kind(site));
            }
        }
        counts.print(seed, "callers that take streams up", streams.len());
    }

    /// Checks the streams of callers that have stopped, and returns their requests.
    pub fn check(&self, seed: u64, ledger: &Ledger) -> Vec<Row> {
        let streams = self.streams.lock().unwrap();
        let broken = streams.iter().filter_map(|stream| {
            let form = stream.form(ledger)?;
            Some((form, stream, ledger.runs_of(&stream.tries())))
        });
        let broken = broken.collect::<Vec<_>>();
        assert!(
            broken.is_empty(),
            "seed {seed}: not as the engines made them, or ended early: {broken:?}"
        );
        let count = |after_faults, is: fn(&&Stream) -> bool| {
            let streams = streams.iter().filter(|stream| stream.is_taken_up);
            let streams = streams.filter(|stream| stream.after_faults == after_faults);
            streams.filter(is).count()
        };
        let shares = [false, true].map(|after_faults| {
            let taken_up = count(after_faults, |_| true);
            let gone_on = count(after_faults, |stream| stream.has_gone_on);
            println!(
                "soak: seed {seed}: {gone_on} of {taken_up} streams went on, after the faults: \
                 {after_faults}"
            );
            gone_on as f64 / taken_up.max(1) as f64
        });
        let stuck = streams
            .iter()
            .filter(|stream| stream.after_faults && stream.is_taken_up && !stream.has_gone_on);
        assert!(
            shares[1] >= MIN_SHARE,
            "seed {seed}: {:.3} went on, not {:?}",
            shares[1],
            stuck.collect::<Vec<_>>()
        );
        self.rows.lock().unwrap().clone()
    }

    /// Counts the streams of versions that joined meanwhile, of callers that have stopped.
    /// Returns how many of them were taken up at gateways that were out of step, and checks that
    /// any were taken up at all.
    pub fn count_joined(&self, seed: u64) -> usize {
        let streams = self.streams.lock().unwrap();
        let taken_up = streams.iter().filter(|stream| stream.is_taken_up);
        let joined = taken_up
            .clone()
            .filter(|stream| stream.got.version() != Some(RELEASE_ENGINES[0].1));
        let skewed = joined.clone().filter(|stream| stream.is_taken_up_skewed);
        let gone_on = |stream: &&Stream| stream.has_gone_on;
        let mixed = streams.iter().filter(|stream| stream.got.is_mixed());
        let skewed_count = skewed.clone().count();
        println!(
            "soak: seed {seed}: {} streams taken up, {} of them gone on; of a version that \
             joined meanwhile {}, {} of them gone on; of these at a gateway out of step \
             {skewed_count}, {} of them gone on; {} mixed",
            taken_up.clone().count(),
            taken_up.filter(gone_on).count(),
            joined.clone().count(),
            joined.clone().filter(gone_on).count(),
            skewed.filter(gone_on).count(),
            mixed.count(),
        );
        assert_ne!(
            joined.count(),
            0,
            "seed {seed}: none of a version that joined"
        );
        skewed_count
    }
}

/// Plays one stream, whose caller leaves at random after some events and takes it up again.
async fn play(
    stream: &mut Stream,
    (name, body): (&str, &str),
    gateways: &[SocketAddr],
    settings: &Settings,
    connections: &mut HashMap<SocketAddr, Option<SendRequest<Full<Bytes>>>>,
    random: &mut StdRng,
    rows: &Mutex<Vec<Row>>,
) {
    for number in 0..MAX_TRIES {
        let attempt = format!("{name}-{number}");
        let mut gateway = *gateways.choose(random).unwrap();
        let skewed = settings.skewed.current();
        if !stream.got.is_empty() && !skewed.is_empty() {
            if random.random_ratio(2, 3) {
                gateway = *skewed.choose(random).unwrap();
            }
            stream.is_taken_up_skewed |= skewed.contains(&gateway);
        }
        let connection_slot = connections.entry(gateway).or_default();
        let leaves = random.random_ratio(1, 2);
        let max_events = if leaves {
            stream.got.len() + random.random_range(1..4)
        } else {
            usize::MAX
        };
        stream.is_taken_up |= !stream.got.is_empty();
        let (sent_at, after_faults) = (Instant::now(), stream.after_faults);
        let deadline = sent_at + CALL_DEADLINE;
        let request = stream.request(&attempt, body);
        let answer = timeout_at(deadline, send(connection_slot, gateway, request)).await;
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map(|answer| answer.status().as_u16());
        let wait = answer.as_ref().and_then(|answer| {
            let wait = answer.headers().get("retry-after")?;
            wait.to_str().ok()?.parse::<f64>().ok()
        });
        stream.tries.push(Try {
            attempt: attempt.clone(),
            gateway,
            sent_at,
            ended_at: None,
            status,
        });
        let is_whole = match answer {
            Some(answer) if answer.status().is_success() => {
                let read = stream.read(&attempt, answer, max_events);
                // On a timeout, the caller takes the stream up.
                timeout_at(deadline, read).await.unwrap_or_default()
            }
            Some(answer) if settings.keeps_connections => {
                let read = timeout_at(deadline, load::read(answer)).await;
                read.is_ok_and(|(body, _)| body.is_some())
            }
            _ => false,
        };
        if !(settings.keeps_connections && is_whole) {
            *connection_slot = None;
        }
        let ended_at = Instant::now();
        for tried in stream
            .tries
            .last_mut()
            .into_iter()
            .chain(&mut stream.false_end)
        {
            tried.ended_at.get_or_insert(ended_at);
        }
        rows.lock().unwrap().push(Row {
            attempt,
            route: "list",
            sent_at,
            status,
            body: None,
            cut: None,
            after_faults,
            is_crashing: false,
            gateway,
            ended_at,
            version: stream.version,
        });
        if stream.is_complete() {
            return;
        }
        if let Some(wait) = wait.map(Duration::from_secs_f64) {
            // A stream that was refused for minutes is given up, as by callers that have a
            // deadline for all their tries.
            if wait > CALL_DEADLINE {
                return;
            }
            tokio::time::sleep(wait).await;
        }
    }
}

/// Sends a request on the kept connection, or on a new one if it is closed. Returns the
/// answer's head, if it arrives.
async fn send(
    connection_slot: &mut Option<SendRequest<Full<Bytes>>>,
    gateway: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<Response<Incoming>> {
    if connection_slot.as_ref().is_none_or(SendRequest::is_closed) {
        *connection_slot = load::connect(gateway).await;
    }
    let sender = connection_slot.as_mut()?;
    sender.send_request(request).await.ok()
}
