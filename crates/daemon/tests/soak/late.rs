//! Callers on open connections whose requests become whole late, also in the grace period of a
//! gateway and until its process is gone.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Version};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{timeout_at, Instant};

use cranberryridge::body::{Body, Piece};
use cranberryridge_standin::runner::Runner;

use super::load::{self, Row};
use super::order;
use super::site::Site;

/// Routes of late requests: name, kind, service and attempts.
pub const LATE_ROUTES: [(&str, &str, &str, u32); 3] = [
    ("late-read", "idempotent", "orders", 2),
    ("late-book", "non_idempotent", "orders", 1),
    ("late-note", "streaming", "model", 1),
];

/// Number of callers.
const CALLERS: u64 = 16;

/// Longest time between a request's head and the end of its body, in milliseconds. It exceeds
/// the grace period.
const MAX_BODY_DELAY: u64 = 8000;

/// Time that callers give in the head of a request.
const DEADLINE: Duration = Duration::from_secs(12);

/// Time after the deadline in which an answer may still arrive.
const DEADLINE_TOLERANCE: Duration = Duration::from_secs(2);

/// Pause of a caller after a request that was not served.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// A request that became whole late, and its result.
#[derive(Clone, Debug)]
struct Call {
    row: Row,
    /// Time at which the last byte of the body was sent.
    whole_at: Option<Instant>,
}

/// Running callers and their requests.
pub struct Callers {
    callers: Vec<JoinHandle<()>>,
    calls: Arc<Mutex<Vec<Call>>>,
    stop: Arc<AtomicBool>,
}

impl Callers {
    /// Starts callers that keep their connections until these close.
    pub fn start(gateways: &[SocketAddr], seed: u64) -> Self {
        let (calls, stop) = (Arc::<Mutex<Vec<Call>>>::default(), Arc::default());
        let callers = (0..CALLERS).map(|caller| {
            let mut random = StdRng::seed_from_u64(seed ^ (caller + 2000));
            let (gateways, calls) = (gateways.to_vec(), calls.clone());
            let stop: Arc<AtomicBool> = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut connection = None;
                let mut gateway = gateways[0];
                for number in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    if connection.as_ref().is_none_or(SendRequest::is_closed) {
                        gateway = *gateways.choose(&mut random).unwrap();
                        connection = connect(gateway).await;
                    }
                    let attempt = format!("l{caller}-{number}");
                    if let Some(sender) = &mut connection {
                        let call = play(sender, gateway, attempt, &mut random).await;
                        // Of an answer that has no end, the connection can't be used again.
                        if call.row.body.is_none() {
                            connection = None;
                        }
                        let is_refused = call.row.status != Some(200);
                        calls.lock().unwrap().push(call);
                        if is_refused {
                            tokio::time::sleep(REFUSAL_PAUSE).await;
                        }
                    }
                    let pause = random.random_range(5..60);
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            })
        });
        Self {
            callers: callers.collect(),
            calls: calls.clone(),
            stop,
        }
    }

    /// Lets callers end after their current request.
    pub fn begin_stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    /// Waits until the callers have ended and checks that what reached an endpoint was
    /// answered by each gateway that was not interrupted. Streams that were sent at
    /// `quiet_from` or later were whole. Returns the requests.
    pub async fn stop(self, seed: u64, site: &Site, quiet_from: Instant) -> Vec<Row> {
        self.begin_stop();
        for caller in self.callers {
            caller.await.unwrap();
        }
        let calls = self.calls.lock().unwrap();
        let rows = calls.iter().map(|call| call.row.clone());
        let rows = rows.collect::<Vec<_>>();
        order::print(seed, "late callers", &rows, site);
        let sent = site.runners.iter().flat_map(Runner::calls);
        let sent = sent.map(|call| call.headers["attempt-id"].to_str().unwrap().to_owned());
        let sent = sent.collect::<HashSet<_>>();
        let is_counted = |call: &&Call| {
            call.whole_at.is_some()
                && sent.contains(&call.row.attempt)
                && !site.is_interrupted(call.row.gateway, call.row.sent_at, call.row.ended_at)
        };
        let counted = calls.iter().filter(is_counted).collect::<Vec<_>>();
        let lost = counted.iter().filter(|call| !call.is_answered(quiet_from));
        let lost = lost.collect::<Vec<_>>();
        let late = counted.iter().filter(|call| call.row.sent_at >= quiet_from);
        println!(
            "soak: seed {seed}: {} of {} late requests were passed on by gateways that were not \
             interrupted, {} of them after the faults, {} without an answer",
            counted.len(),
            calls.len(),
            late.count(),
            lost.len()
        );
        assert!(
            lost.is_empty(),
            "seed {seed}: passed on and not answered: {lost:?}"
        );
        rows
    }
}

impl Call {
    /// Returns whether the answer is whole or a status that tells of a failure. Faults may
    /// have broken off streams that were sent before `quiet_from`.
    fn is_answered(&self, quiet_from: Instant) -> bool {
        match self.row.status {
            Some(200) if self.row.route == "late-note" && self.row.sent_at < quiet_from => true,
            Some(_) => self.row.body.is_some(),
            None => false,
        }
    }
}

/// Sends the head of a request, its body later, and waits for the answer.
async fn play(
    sender: &mut SendRequest<Body>,
    gateway: SocketAddr,
    attempt: String,
    random: &mut StdRng,
) -> Call {
    let (route, ..) = *LATE_ROUTES.choose(random).unwrap();
    let (mut head, _) = load::request(route, &attempt).into_parts();
    let deadline_ms = DEADLINE.as_millis().to_string();
    head.headers
        .insert("deadline-ms", deadline_ms.parse().unwrap());
    if random.random_ratio(1, 2) {
        head.headers.insert("content-length", attempt.len().into());
    }
    let (body_sender, body) = Body::channel(2);
    let sent_at = Instant::now();
    let delay = Duration::from_millis(random.random_range(0..=MAX_BODY_DELAY));
    let (text, whole_at) = (Bytes::from(attempt.clone()), Arc::new(Mutex::new(None)));
    let sent_whole_at = whole_at.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        // A gateway that has answered already reads no more.
        if body_sender.send(Piece::Data(text)).await.is_ok()
            && body_sender.send(Piece::End).await.is_ok()
        {
            *sent_whole_at.lock().unwrap() = Some(Instant::now());
        }
    });
    let call = async {
        let answer = sender.send_request(Request::from_parts(head, body)).await;
        let Ok(answer) = answer else {
            return (None, None, None);
        };
        let status = answer.status().as_u16();
        let (body, cut) = load::read(answer).await;
        (Some(status), body, cut)
    };
    let result = timeout_at(sent_at + DEADLINE + DEADLINE_TOLERANCE, call).await;
    let (status, body, cut) = result.unwrap_or_default();
    let whole_at = *whole_at.lock().unwrap();
    Call {
        row: Row {
            attempt,
            route,
            sent_at,
            status,
            body,
            cut,
            after_faults: false,
            is_crashing: false,
            gateway,
            ended_at: Instant::now(),
            version: Version::HTTP_11,
        },
        whole_at,
    }
}

/// Opens a connection to a gateway. Returns `None` if that fails.
async fn connect(gateway: SocketAddr) -> Option<SendRequest<Body>> {
    let stream = TcpStream::connect(gateway).await.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
