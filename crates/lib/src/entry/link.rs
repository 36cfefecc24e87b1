//! The link to one sidecar: a connection that is replaced when it breaks or
//! goes silent.

use std::net::SocketAddr;
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
use crate::stream::{Error, Receiver, Sender, CONNECTION_WINDOW, DOWN_WINDOW};

/// Time between heartbeats.
const BEAT: Duration = Duration::from_millis(300);

/// Time without a report after which a connection is replaced.
const SILENCE: Duration = Duration::from_millis(1000);

/// Longest time to connect.
const CONNECT: Duration = Duration::from_millis(1000);

/// Pause before another connection.
const PAUSE: Duration = Duration::from_millis(100);

/// How long an attempt waits for a connection.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Longest time to open a stream once there is a connection: a silent one is
/// found out before.
const OPEN: Duration = Duration::from_millis(2000);

/// Time between looks for a connection.
const LOOK: Duration = Duration::from_millis(20);

/// A link to a sidecar.
#[derive(Debug, Default)]
pub struct Link {
    /// The connection, while there is one.
    connection: ArcSwapOption<SendRequest<Bytes>>,
    /// Crashing requests to tell the sidecar of.
    suspects: Mutex<Vec<Suspect>>,
    /// Ends the link.
    stopped: Notify,
    /// Whether the sidecar said that it leaves.
    leaving: AtomicBool,
}

impl Link {
    /// Opens a stream and sends its first message.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] when there is no connection; otherwise the message
    /// may have arrived.
    pub async fn open(&self, first: &Up) -> Result<(Sender, Receiver), Error> {
        let connection = self.connection().await.ok_or(Error::Unsent)?;
        let opened = tokio::time::timeout(OPEN, Self::stream(&connection, first)).await;
        opened.unwrap_or(Err(Error::Closed))
    }

    /// Opens a stream on a connection and sends its first message.
    async fn stream(
        connection: &SendRequest<Bytes>,
        first: &Up,
    ) -> Result<(Sender, Receiver), Error> {
        let mut connection = connection.clone().ready().await?;
        let mut request = Request::new(());
        *request.uri_mut() = http::Uri::from_static("http://sidecar/stream");
        *request.method_mut() = http::Method::POST;
        let (response, send) = connection.send_request(request, false)?;
        let mut sender = Sender::new(send);
        sender.send(first).await?;
        let response = response.await?;
        Ok((sender, Receiver::new(response.into_body())))
    }

    /// Tells the sidecar of a crashing request with the next heartbeat.
    pub fn suspect(&self, suspect: Suspect) {
        self.suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(suspect);
    }

    /// Ends the link.
    pub fn stop(&self) {
        self.stopped.notify_one();
    }

    /// The connection, after a wait if need be. A sidecar that left will not
    /// come back under this incarnation, so nothing is waited for then.
    async fn connection(&self) -> Option<Arc<SendRequest<Bytes>>> {
        if self.leaving.load(Ordering::Relaxed) {
            return self.connection.load_full();
        }
        let wait = async {
            loop {
                if let Some(connection) = self.connection.load_full() {
                    return connection;
                }
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.ok()
    }
}

/// Keeps a link up until it is stopped.
pub async fn run<N: Net, C: Clock>(
    shared: Arc<Shared<N, C>>,
    address: SocketAddr,
    link: Arc<Link>,
    events: mpsc::UnboundedSender<Event>,
) {
    let mut known = false;
    loop {
        let up = tokio::select! {
            biased;
            up = session(&shared, address, &link, &events) => up,
            () = link.stopped.notified() => return,
        };
        link.connection.store(None);
        if up || !known {
            shared.metrics.count("link.lost");
            // The control task ends with the runtime only.
            let _ = events.send(Event::Lost(address));
        }
        known = true;
        tokio::time::sleep(PAUSE).await;
    }
}

/// One connection's life. Returns whether it ever was up.
async fn session<N: Net, C: Clock>(
    shared: &Arc<Shared<N, C>>,
    address: SocketAddr,
    link: &Arc<Link>,
    events: &mpsc::UnboundedSender<Event>,
) -> bool {
    let connect = tokio::time::timeout(CONNECT, shared.net.connect(address));
    let Ok(Ok(stream)) = connect.await else {
        return false;
    };
    let handshake = h2::client::Builder::new()
        .initial_window_size(DOWN_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .handshake(stream);
    let Ok(Ok((requests, connection))) = tokio::time::timeout(CONNECT, handshake).await else {
        return false;
    };
    let mut up = false;
    // Dropping the connection breaks its streams, so that their attempts go on
    // over the next one.
    tokio::select! {
        biased;
        _ = connection => {}
        _ = control(shared, address, link, events, requests, &mut up) => {}
    }
    up
}

/// Serves the control stream of a connection until it breaks or goes silent.
async fn control<N: Net, C: Clock>(
    shared: &Arc<Shared<N, C>>,
    address: SocketAddr,
    link: &Arc<Link>,
    events: &mpsc::UnboundedSender<Event>,
    requests: SendRequest<Bytes>,
    up: &mut bool,
) -> Option<()> {
    let fresh = Link::default();
    fresh.connection.store(Some(Arc::new(requests.clone())));
    let greeting = Up::Greet(Greeting {
        name: shared.settings.common.name.clone(),
        domain: shared.settings.common.domain.clone(),
        incarnation: shared.incarnation,
        version: shared.configuration.borrow().version,
    });
    let opened = tokio::time::timeout(SILENCE, fresh.open(&greeting))
        .await
        .ok()?;
    let (mut sender, mut receiver) = opened.ok()?;
    let mut beat = tokio::time::interval(BEAT);
    let mut sequence = 0;
    let mut lag = Lag::default();
    let mut last = tokio::time::Instant::now();
    loop {
        tokio::select! {
            biased;
            down = receiver.next::<Down>() => {
                last = tokio::time::Instant::now();
                match down.ok()?? {
                    Down::Welcome(welcome) => {
                        *up = true;
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
                            push(&shared.feed, version, &mut sender).await?;
                        }
                        events.send(Event::Report(address, report)).ok()?;
                    }
                    _ => return None,
                }
            }
            _ = beat.tick() => {
                let message = Up::Beat(Beat {
                    sequence,
                    version: shared.configuration.borrow().version,
                    suspects: take(&link.suspects),
                });
                sequence += 1;
                let sent = tokio::time::timeout(SILENCE, sender.send(&message)).await;
                sent.ok()?.ok()?;
            }
            () = tokio::time::sleep_until(last + SILENCE) => {
                shared.metrics.count("link.silent");
                return None;
            }
        }
    }
}

/// Gives a sidecar that lags the configuration in force.
async fn push(feed: &Feed, known: Version, sender: &mut Sender) -> Option<()> {
    let Some(copy) = feed.peer_copy(known) else {
        return Some(());
    };
    let sent = tokio::time::timeout(SILENCE, sender.send(&Up::Copy(copy))).await;
    sent.ok()?.ok()
}

/// Asks a sidecar for a configuration that is newer than this entry's.
async fn fetch(link: Arc<Link>, feed: Arc<Feed>, _permit: Permit) {
    let known = feed.version();
    let ask = async {
        let (mut sender, mut receiver) = link.open(&Up::Fetch(Fetch { known })).await.ok()?;
        sender.finish();
        match receiver.next::<Down>().await.ok()?? {
            Down::Copy(copy) => Some(copy),
            _ => None,
        }
    };
    if let Ok(Some(copy)) = tokio::time::timeout(SILENCE, ask).await {
        feed.adopt(&copy);
    }
}

/// Takes what is to be told.
fn take(suspects: &Mutex<Vec<Suspect>>) -> Vec<Suspect> {
    std::mem::take(&mut *suspects.lock().unwrap_or_else(PoisonError::into_inner))
}
