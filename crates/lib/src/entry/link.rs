//! Link to one sidecar: a connection that is replaced when it breaks or goes silent.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use tokio::sync::{mpsc, Notify};

use cranberryridge_policy::publish::Lag;
use cranberryridge_wire::id::Version;
use cranberryridge_wire::message::{Beat, Down, Fetch, Greeting, Suspect, Up};

use super::control::Event;
use super::Shared;
use crate::clock::Clock;
use crate::config::{Feed, Permit};
use crate::net::Net;
use crate::stream::{Error, Receiver, Sender, CONNECTION_WINDOW_BYTES, DOWN_WINDOW_BYTES};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time without a message after which a connection is replaced. Also limits each write
/// and each fetch of a configuration.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum time to connect, and again for the HTTP/2 handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Maximum time that an attempt waits for a connection.
const MAX_CONNECTION_WAIT: Duration = Duration::from_millis(1500);

/// Maximum time to open a stream on a connection. Longer than [`SILENCE_TIMEOUT`], so
/// that a silent connection is detected and replaced first.
const OPEN_TIMEOUT: Duration = Duration::from_millis(2000);

/// Interval at which an attempt checks for a connection.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A link to a sidecar, which reconnects until it is stopped.
#[derive(Debug, Default)]
pub struct Link {
    /// Current connection; `None` while there is none.
    connection: ArcSwapOption<SendRequest<Bytes>>,
    /// Crash counts to send with the next heartbeat.
    pending_suspects: Mutex<Vec<Suspect>>,
    /// Stops the task of the link.
    stopped: Notify,
    /// Whether the sidecar reported that it is draining.
    leaving: AtomicBool,
}

impl Link {
    /// Opens a stream and sends its first message. Waits for a connection if there is
    /// none.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if there is no connection or the sidecar closes it without having
    /// processed the message; after any other error it may have.
    pub async fn open(&self, first: &Up) -> Result<(Sender, Receiver), Error> {
        let connection = self.wait_connection().await.ok_or(Error::Unsent)?;
        let opened = tokio::time::timeout(OPEN_TIMEOUT, Self::open_on(&connection, first)).await;
        opened.unwrap_or(Err(Error::Closed))
    }

    /// Opens a stream on a connection and sends its first message.
    async fn open_on(
        connection: &SendRequest<Bytes>,
        first: &Up,
    ) -> Result<(Sender, Receiver), Error> {
        // A connection that its sidecar has closed fails here.
        let ready = connection.clone().ready().await;
        let mut connection = ready.map_err(|_| Error::Unsent)?;
        let mut request = Request::new(());
        *request.uri_mut() = http::Uri::from_static("http://sidecar/stream");
        *request.method_mut() = http::Method::POST;
        let sent = connection.send_request(request, false);
        let (response, send) = sent.map_err(|_| Error::Unsent)?;
        let mut sender = Sender::new(send);
        let sent = sender.send(first).await;
        // If the message could not be sent, the response tells why.
        let response = response.await;
        let response = response.map_err(|error| Error::from(error).into_unsent())?;
        sent?;
        Ok((sender, Receiver::new(response.into_body())))
    }

    /// Queues a crash count for the next heartbeat.
    pub fn queue_suspect(&self, suspect: Suspect) {
        self.pending_suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(suspect);
    }

    /// Stops the link and closes its connection.
    pub fn stop(&self) {
        self.stopped.notify_one();
    }

    /// Returns the connection, waiting for one if needed. Does not wait if the sidecar
    /// is draining, as it does not come back under the same incarnation.
    async fn wait_connection(&self) -> Option<Arc<SendRequest<Bytes>>> {
        if self.leaving.load(Ordering::Relaxed) {
            return self.connection.load_full();
        }
        let wait = async {
            loop {
                if let Some(connection) = self.connection.load_full() {
                    return connection;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(MAX_CONNECTION_WAIT, wait).await.ok()
    }
}

/// Connects and reconnects a link until it is stopped.
pub async fn run<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    address: SocketAddr,
    link: Arc<Link>,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut reported = false;
    loop {
        let was_up = tokio::select! {
            biased;
            was_up = run_session(&shared, address, &link, &events) => was_up,
            () = link.stopped.notified() => return,
        };
        link.connection.store(None);
        if was_up || !reported {
            shared.metrics.count("link.lost");
            // The control task ends only with the runtime.
            let _ = events.send(Event::Lost(address));
        }
        reported = true;
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Runs one connection until it ends. Returns whether the sidecar ever greeted on it.
async fn run_session<N: Net, C: Clock>(
    shared: &Arc<Shared<N, C>>,
    address: SocketAddr,
    link: &Arc<Link>,
    events: &mpsc::UnboundedSender<Event>,
) -> bool {
    let connect = tokio::time::timeout(CONNECT_TIMEOUT, shared.net.connect(address));
    let Ok(Ok(stream)) = connect.await else {
        return false;
    };
    let handshake = h2::client::Builder::new()
        .initial_window_size(DOWN_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(stream);
    let Ok(Ok((requests, connection))) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await
    else {
        return false;
    };
    let mut was_up = false;
    let mut connection = pin!(connection);
    // Dropping the connection breaks its streams, so that their attempts continue over
    // the next one.
    let closed = tokio::select! {
        biased;
        _ = connection.as_mut() => None,
        closed = run_control_stream(shared, address, link, events, requests, &mut was_up) => closed,
    };
    if closed.is_some() {
        // The sidecar still answers streams, or tells that it has not processed them.
        link.connection.store(None);
        let _ = tokio::time::timeout(SILENCE_TIMEOUT, connection).await;
    }
    was_up
}

/// Serves the control stream of a connection until it ends: sends heartbeats and forwards
/// reports to the control task. Returns `None` if it broke or went silent, and `Some` if
/// the sidecar closed it to shut down.
async fn run_control_stream<N: Net, C: Clock>(
    shared: &Arc<Shared<N, C>>,
    address: SocketAddr,
    link: &Arc<Link>,
    events: &mpsc::UnboundedSender<Event>,
    requests: SendRequest<Bytes>,
    was_up: &mut bool,
) -> Option<()> {
    let unannounced = Link::default();
    unannounced
        .connection
        .store(Some(Arc::new(requests.clone())));
    let greeting = Up::Greet(Greeting {
        name: shared.settings.common.name.clone(),
        domain: shared.settings.common.domain.clone(),
        incarnation: shared.incarnation,
        version: shared.configuration.borrow().version,
    });
    let opened = tokio::time::timeout(SILENCE_TIMEOUT, unannounced.open(&greeting))
        .await
        .ok()?;
    let (mut sender, mut receiver) = opened.ok()?;
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    let mut sequence = 0;
    let mut lag = Lag::default();
    let mut last_message = tokio::time::Instant::now();
    loop {
        tokio::select! {
            biased;
            down = receiver.next::<Down>() => {
                last_message = tokio::time::Instant::now();
                let Some(down) = down.ok()? else {
                    return Some(());
                };
                match down {
                    Down::Welcome(welcome) => {
                        *was_up = true;
                        link.leaving.store(false, Ordering::Relaxed);
                        link.connection.store(Some(Arc::new(requests.clone())));
                        events.send(Event::Welcome(address, welcome)).ok()?;
                    }
                    Down::Report(report) => {
                        link.leaving.store(report.draining, Ordering::Relaxed);
                        let (now, version) = (shared.clock.now(), report.version);
                        if let Some(permit) = shared.feed.begin_fetch(now, version) {
                            tokio::spawn(fetch(link.clone(), shared.feed.clone(), permit));
                        }
                        let own = shared.feed.version();
                        if lag.observe(now, version, own) {
                            push_copy(&shared.feed, version, &mut sender).await?;
                        }
                        events.send(Event::Report(address, report)).ok()?;
                    }
                    _ => return None,
                }
            }
            _ = heartbeat.tick() => {
                let message = Up::Beat(Beat {
                    sequence,
                    version: shared.configuration.borrow().version,
                    suspects: take_suspects(&link.pending_suspects),
                });
                sequence += 1;
                let sent = tokio::time::timeout(SILENCE_TIMEOUT, sender.send(&message)).await;
                sent.ok()?.ok()?;
            }
            () = tokio::time::sleep_until(last_message + SILENCE_TIMEOUT) => {
                shared.metrics.count("link.silent");
                return None;
            }
        }
    }
}

/// Sends the configuration in force to a sidecar with an older version.
async fn push_copy(feed: &Feed, known: Version, sender: &mut Sender) -> Option<()> {
    let Some(copy) = feed.peer_copy(known) else {
        return Some(());
    };
    let sent = tokio::time::timeout(SILENCE_TIMEOUT, sender.send(&Up::Copy(copy))).await;
    sent.ok()?.ok()
}

/// Fetches a configuration that is newer than this entry's from a sidecar.
async fn fetch(link: Arc<Link>, feed: Arc<Feed>, _permit: Permit) {
    let known = feed.version();
    let copy = async {
        let (mut sender, mut receiver) = link.open(&Up::Fetch(Fetch { known })).await.ok()?;
        sender.finish();
        match receiver.next::<Down>().await.ok()?? {
            Down::Copy(copy) => Some(copy),
            _ => None,
        }
    };
    if let Ok(Some(copy)) = tokio::time::timeout(SILENCE_TIMEOUT, copy).await {
        feed.adopt(&copy);
    }
}

/// Takes all queued crash counts.
fn take_suspects(suspects: &Mutex<Vec<Suspect>>) -> Vec<Suspect> {
    std::mem::take(&mut *suspects.lock().unwrap_or_else(PoisonError::into_inner))
}
