//! A network of pipes inside one process, for a paused clock, with faults.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{mpsc, Notify};

use cranberryridge_wire::Map;

use super::{Listen, Net};

mod pipe;

pub use pipe::Stream;

use pipe::Pipe;

/// Pipes that are noted before those that are gone are forgotten.
const MIN_CLEANUP_THRESHOLD: usize = 256;

/// A network of pipes, as one host sees it. Clones share one network.
///
/// # Examples
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// # runtime.block_on(async {
/// use cranberryridge::net::{memory::Memory, Listen, Net};
/// let net = Memory::default();
/// let address: std::net::SocketAddr = "127.0.0.1:80".parse().unwrap();
/// let mut listener = net.bind(address).await.unwrap();
/// let _caller = net.connect(address).await.unwrap();
/// let _called = listener.accept().await.unwrap();
/// net.kill(address.ip());
/// assert!(net.connect(address).await.is_err());
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct Memory {
    /// The host that this handle connects from.
    host: Arc<Host>,
    /// What all handles share.
    network: Arc<Mutex<Network>>,
}

/// What all handles of a network share.
#[derive(Debug, Default)]
struct Network {
    /// Listeners by address.
    listeners: Map<SocketAddr, mpsc::UnboundedSender<Stream>>,
    /// Hosts that live.
    hosts: Map<IpAddr, Arc<Host>>,
    /// Connections, for faults to reach them.
    pipes: Vec<Weak<Pipe>>,
    /// Number of pipes at which the gone ones are forgotten.
    cleanup_threshold: usize,
}

/// One life of a host.
#[derive(Debug)]
struct Host {
    /// Its address.
    address: IpAddr,
    /// Whether it is dead for good.
    dead: AtomicBool,
    /// Whether it neither reads nor writes for now.
    frozen: AtomicBool,
    /// Time that whatever it sends or gets takes, in microseconds.
    delay: AtomicU64,
    /// Told when it is thawed.
    thaw: Notify,
}

impl Host {
    /// A host that lives.
    fn new(address: IpAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            dead: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            delay: AtomicU64::new(0),
            thaw: Notify::new(),
        })
    }

    /// Waits while it is frozen.
    async fn wait_until_thawed(&self) {
        loop {
            let thawed = self.thaw.notified();
            if !self.frozen.load(Ordering::Relaxed) {
                return;
            }
            thawed.await;
        }
    }

    /// Fails once it is dead.
    fn check_alive(&self) -> io::Result<()> {
        if self.dead.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::NetworkUnreachable.into());
        }
        Ok(())
    }
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            host: Host::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED)),
            network: Arc::default(),
        }
    }
}

impl Memory {
    /// Ends a host: its connections break, its listeners are gone, and whoever
    /// still runs there reaches nobody. A handle from [`Net::at`] taken later
    /// belongs to the host's next life.
    pub fn kill(&self, address: IpAddr) {
        let mut network = self.lock();
        let Some(host) = network.hosts.remove(&address) else {
            return;
        };
        host.dead.store(true, Ordering::Relaxed);
        host.frozen.store(false, Ordering::Relaxed);
        host.thaw.notify_waiters();
        network.listeners.retain(|at, _| at.ip() != address);
        let broken = network.pipes_of(&host);
        drop(network);
        broken.iter().for_each(|pipe| pipe.reset());
    }

    /// Pauses a host: it neither reads nor writes nor connects nor accepts
    /// until it is thawed. Its connections stay, and so does what was sent.
    pub fn freeze(&self, address: IpAddr) {
        self.lock()
            .host(address)
            .frozen
            .store(true, Ordering::Relaxed);
    }

    /// Lets a paused host go on.
    pub fn thaw(&self, address: IpAddr) {
        let mut network = self.lock();
        let host = network.host(address);
        let pipes = network.pipes_of(&host);
        drop(network);
        host.frozen.store(false, Ordering::Relaxed);
        host.thaw.notify_waiters();
        pipes.iter().for_each(|pipe| pipe.wake());
    }

    /// Makes the present connections between two hosts silent for good, while
    /// new ones work. Returns how many there were.
    pub fn silence(&self, one: IpAddr, other: IpAddr) -> usize {
        let pipes = self.lock().open_pipes();
        let between = pipes.iter().filter(|pipe| pipe.is_between(one, other));
        between.inspect(|pipe| pipe.silence()).count()
    }

    /// Breaks the present connections between two hosts, while new ones work.
    /// Returns how many there were.
    pub fn reset(&self, one: IpAddr, other: IpAddr) -> usize {
        let pipes = self.lock().open_pipes();
        let between = pipes.iter().filter(|pipe| pipe.is_between(one, other));
        between.inspect(|pipe| pipe.reset()).count()
    }

    /// Sets the time that whatever a host sends or gets takes on its way.
    pub fn delay(&self, address: IpAddr, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        let host = self.lock().host(address);
        host.delay.store(micros, Ordering::Relaxed);
    }

    /// The state.
    fn lock(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Network {
    /// The present life of a host.
    fn host(&mut self, address: IpAddr) -> Arc<Host> {
        let host = self.hosts.entry(address);
        host.or_insert_with(|| Host::new(address)).clone()
    }

    /// Pipes that are in use.
    fn open_pipes(&self) -> Vec<Arc<Pipe>> {
        self.pipes.iter().filter_map(Weak::upgrade).collect()
    }

    /// Pipes with an end at a host.
    fn pipes_of(&self, host: &Arc<Host>) -> Vec<Arc<Pipe>> {
        let mut pipes = self.open_pipes();
        pipes.retain(|pipe| pipe.has_end_at(host));
        pipes
    }

    /// Notes a pipe, and forgets the gone ones now and then.
    fn register(&mut self, pipe: &Arc<Pipe>) {
        if self.pipes.len() >= self.cleanup_threshold {
            self.pipes.retain(|pipe| pipe.strong_count() > 0);
            self.cleanup_threshold = MIN_CLEANUP_THRESHOLD.max(self.pipes.len() * 2);
        }
        self.pipes.push(Arc::downgrade(pipe));
    }
}

impl Net for Memory {
    type Stream = Stream;
    type Listener = Listener;

    async fn connect(&self, address: SocketAddr) -> io::Result<Stream> {
        self.host.wait_until_thawed().await;
        self.host.check_alive()?;
        let mut network = self.lock();
        let listener = network.listeners.get(&address).cloned();
        let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
        let remote = network.host(address.ip());
        let (near, far) = pipe::pair(self.host.clone(), remote);
        network.register(near.pipe());
        let sent = listener.send(far);
        sent.map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(near)
    }

    async fn bind(&self, address: SocketAddr) -> io::Result<Listener> {
        self.host.check_alive()?;
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut network = self.lock();
        let taken = network
            .listeners
            .get(&address)
            .is_some_and(|listener| !listener.is_closed());
        if taken {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        network.listeners.insert(address, sender.clone());
        Ok(Listener {
            address,
            host: network.host(address.ip()),
            receiver,
            _sender: sender,
        })
    }

    fn for_host(&self, host: IpAddr) -> Self {
        Self {
            host: self.lock().host(host),
            network: self.network.clone(),
        }
    }
}

/// A listener of pipes.
#[derive(Debug)]
pub struct Listener {
    /// Where it listens.
    address: SocketAddr,
    /// The host that it listens at.
    host: Arc<Host>,
    /// Connections made.
    receiver: mpsc::UnboundedReceiver<Stream>,
    /// Keeps a dead host's listener waiting rather than failing.
    _sender: mpsc::UnboundedSender<Stream>,
}

impl Listen for Listener {
    type Stream = Stream;

    async fn accept(&mut self) -> io::Result<Stream> {
        self.host.wait_until_thawed().await;
        let stream = self.receiver.recv().await;
        stream.ok_or(io::ErrorKind::NotConnected.into())
    }

    fn address(&self) -> SocketAddr {
        self.address
    }
}
