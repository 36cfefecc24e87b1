//! Callers that take up streams at other gateways.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use cranberryridge_standin::transcript::Transcript;

use super::load::{self, Row, CALL_DEADLINE};

/// Number of callers that take up streams.
const CALLERS: u64 = 12;

/// Number of events of a stream.
const EVENTS: usize = 5;

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
    /// Whether the caller took it up, and whether it then went on.
    is_taken_up: bool,
    has_gone_on: bool,
    /// Try whose answer ended as complete before the last event.
    false_end: Option<String>,
    /// Tries with the answers' status.
    tries: Vec<(String, SocketAddr, Option<u16>)>,
    after_faults: bool,
}

impl Stream {
    fn is_complete(&self) -> bool {
        self.got.len() == EVENTS
    }

    /// Returns whether the events are of several versions, not in order, or ended as complete
    /// before the last one.
    fn is_broken(&self) -> bool {
        !self.got.is_in_order() || self.got.is_mixed() || self.false_end.is_some()
    }

    fn request(&self, attempt: &str, body: &str) -> Request<Full<Bytes>> {
        let mut request = load::request("list", attempt);
        *request.body_mut() = Full::new(Bytes::from(body.to_owned()));
        if let (Some(id), Some(first)) = (self.got.last_id(), &self.first_attempt) {
            let headers = request.headers_mut();
            headers.insert("last-event-id", id.into());
            headers.insert("resumes", first.parse().unwrap());
        }
        request
    }

    /// Reads events until there are as many as asked for, or the answer ends.
    async fn read(&mut self, attempt: &str, answer: Response<Incoming>, max_events: usize) {
        let mut body = answer.into_body();
        self.got.begin_try();
        while self.got.len() < max_events {
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(_)) => return,
                None => {
                    if !self.is_complete() {
                        self.false_end.get_or_insert_with(|| attempt.into());
                    }
                    return;
                }
            };
            let before = self.got.len();
            self.got.push(frame.data_ref().map_or(&[], |data| data));
            if self.got.len() > before {
                self.first_attempt.get_or_insert_with(|| attempt.into());
                self.has_gone_on |= self.is_taken_up;
            }
        }
    }
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
    /// Starts callers that send each try to a random gateway. The streams have a body each if
    /// `has_own_bodies`.
    pub fn start(gateways: &[SocketAddr], seed: u64, has_own_bodies: bool) -> Self {
        let mut all = Self {
            callers: Vec::new(),
            streams: Arc::default(),
            rows: Arc::default(),
            stop: Arc::default(),
            faults_over: Arc::default(),
        };
        for caller in 0..CALLERS {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 1000));
            let gateways = gateways.to_vec();
            let (streams, rows) = (all.streams.clone(), all.rows.clone());
            let (stop, faults_over) = (all.stop.clone(), all.faults_over.clone());
            all.callers.push(tokio::spawn(async move {
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let name = format!("v{caller}-{number}");
                    let mut stream = Stream {
                        after_faults: faults_over.load(Ordering::SeqCst),
                        ..Stream::default()
                    };
                    let body = if has_own_bodies { &name } else { "body" };
                    play(&mut stream, (&name, body), &gateways, &mut random, &rows).await;
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

    /// Stops the callers, checks their streams, and returns their requests.
    pub async fn stop(self, seed: u64) -> Vec<Row> {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.await.unwrap();
        }
        let streams = self.streams.lock().unwrap();
        let broken = streams.iter().filter(|stream| stream.is_broken());
        let broken = broken.collect::<Vec<_>>();
        assert!(
            broken.is_empty(),
            "seed {seed}: mixed, out of order or ended early: {broken:?}"
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
}

/// Plays one stream, whose caller leaves at random after some events and takes it up again.
async fn play(
    stream: &mut Stream,
    (name, body): (&str, &str),
    gateways: &[SocketAddr],
    random: &mut StdRng,
    rows: &Mutex<Vec<Row>>,
) {
    for number in 0..MAX_TRIES {
        let attempt = format!("{name}-{number}");
        let gateway = *gateways.choose(random).unwrap();
        let leaves = random.random_ratio(1, 2);
        let max_events = if leaves {
            stream.got.len() + random.random_range(1..4)
        } else {
            usize::MAX
        };
        stream.is_taken_up |= !stream.got.is_empty();
        let (sent_at, after_faults) = (Instant::now(), stream.after_faults);
        let deadline = sent_at + CALL_DEADLINE;
        let answer = timeout_at(deadline, send(gateway, stream.request(&attempt, body))).await;
        let answer = answer.ok().flatten();
        let status = answer.as_ref().map(|answer| answer.status().as_u16());
        let wait = answer.as_ref().and_then(|answer| {
            let wait = answer.headers().get("retry-after")?;
            wait.to_str().ok()?.parse::<f64>().ok()
        });
        stream.tries.push((attempt.clone(), gateway, status));
        if let Some(answer) = answer.filter(|answer| answer.status().is_success()) {
            let read = stream.read(&attempt, answer, max_events);
            // On a timeout, the caller takes the stream up.
            let _ = timeout_at(deadline, read).await;
        }
        rows.lock().unwrap().push(Row {
            attempt,
            route: "list",
            sent_at,
            status,
            body: None,
            after_faults,
            is_crashing: false,
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

/// Sends a request on a new connection. Returns the answer's head, if it arrives.
async fn send(gateway: SocketAddr, request: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
    let mut sender = load::connect(gateway).await?;
    sender.send_request(request).await.ok()
}
