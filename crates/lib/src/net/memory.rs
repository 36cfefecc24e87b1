//! In-process network of pipes with fault injection, for simulations and tests with a
//! paused clock.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{mpsc, Notify};

use cranberryridge_wire::{Map, Set};

use super::{Listen, Net};

mod pipe;

pub use pipe::Stream;

use pipe::Pipe;

/// Minimum number of recorded pipes at which closed ones are removed from the record.
const MIN_CLEANUP_THRESHOLD: usize = 256;

/// Handle of one host to an in-process network. Clones share the network.
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
    /// Host that this handle connects and listens as.
    host: Arc<Host>,
    /// State shared by all handles.
    network: Arc<Mutex<Network>>,
}

/// State of a network, shared by all of its handles.
#[derive(Debug, Default)]
struct Network {
    /// Open listeners by address.
    listeners: Map<SocketAddr, mpsc::UnboundedSender<Stream>>,
    /// Hosts that have not been killed, by address.
    hosts: Map<IpAddr, Arc<Host>>,
    /// Connections that faults can be injected into.
    pipes: Vec<Weak<Pipe>>,
    /// Number of entries in `pipes` at which closed ones are removed.
    cleanup_threshold: usize,
    /// Pairs of hosts of which the second receives nothing from the first.
    blocked: Set<(IpAddr, IpAddr)>,
    /// Notified when a pair is removed from `blocked`.
    unblocked: Arc<Notify>,
}

/// A host, from its first use until it is killed. After that, the address belongs to a new
/// `Host`.
#[derive(Debug)]
struct Host {
    address: IpAddr,
    /// Whether the host was killed.
    dead: AtomicBool,
    /// Whether the host is paused: it neither reads nor writes.
    frozen: AtomicBool,
    /// Latency of everything that the host sends or receives, in microseconds.
    delay: AtomicU64,
    /// Notified when the host is thawed.
    thaw: Notify,
}

impl Host {
    fn new(address: IpAddr) -> Arc<Self> {
        Arc::new(Self {
            address,
            dead: AtomicBool::new(false),
            frozen: AtomicBool::new(false),
            delay: AtomicU64::new(0),
            thaw: Notify::new(),
        })
    }

    async fn wait_until_thawed(&self) {
        loop {
            let thawed = self.thaw.notified();
            if !self.frozen.load(Ordering::Relaxed) {
                return;
            }
            thawed.await;
        }
    }

    /// Fails if the host was killed.
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
    /// Kills a host: its connections are reset, its listeners are removed, and its existing
    /// handles can no longer connect or bind. A handle taken from [`Net::for_host`]
    /// afterwards belongs to the restarted host.
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

    /// Pauses a host: until it is thawed, it neither reads, writes, connects nor accepts.
    /// Its connections stay open and keep the bytes already sent.
    pub fn freeze(&self, address: IpAddr) {
        self.lock()
            .host(address)
            .frozen
            .store(true, Ordering::Relaxed);
    }

    /// Resumes a paused host.
    pub fn thaw(&self, address: IpAddr) {
        let mut network = self.lock();
        let host = network.host(address);
        let pipes = network.pipes_of(&host);
        drop(network);
        host.frozen.store(false, Ordering::Relaxed);
        host.thaw.notify_waiters();
        pipes.iter().for_each(|pipe| pipe.wake());
    }

    /// Makes the current connections between two hosts drop all bytes, without an error at
    /// either end. New connections work. Returns the number of affected connections.
    pub fn silence(&self, one: IpAddr, other: IpAddr) -> usize {
        let pipes = self.lock().open_pipes();
        let between = pipes.iter().filter(|pipe| pipe.is_between(one, other));
        between.inspect(|pipe| pipe.silence()).count()
    }

    /// Resets the current connections between two hosts. New connections work. Returns the
    /// number of affected connections.
    pub fn reset(&self, one: IpAddr, other: IpAddr) -> usize {
        let pipes = self.lock().open_pipes();
        let between = pipes.iter().filter(|pipe| pipe.is_between(one, other));
        between.inspect(|pipe| pipe.reset()).count()
    }

    /// Holds back everything that one host sends to another, on current and new connections.
    /// Connections between the two are not opened, whichever of them asks.
    ///
    /// # Examples
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// # runtime.block_on(async {
    /// use std::time::Duration;
    /// use cranberryridge::net::{memory::Memory, Listen, Net};
    /// use tokio::time::timeout;
    /// let net = Memory::default();
    /// let address: std::net::SocketAddr = "10.0.0.1:80".parse().unwrap();
    /// let (caller, called) = ("10.0.0.2".parse().unwrap(), address.ip());
    /// let _listener = net.for_host(called).bind(address).await.unwrap();
    /// let own = net.for_host(caller);
    /// net.block(called, caller);
    /// let connect = timeout(Duration::from_millis(10), own.connect(address));
    /// assert!(connect.await.is_err());
    /// net.unblock(called, caller);
    /// own.connect(address).await.unwrap();
    /// # });
    /// ```
    pub fn block(&self, from: IpAddr, to: IpAddr) {
        let mut network = self.lock();
        network.blocked.insert((from, to));
        let pipes = network.open_pipes();
        drop(network);
        pipes
            .iter()
            .for_each(|pipe| pipe.set_blocked(from, to, true));
    }

    /// Delivers what was held back between two hosts, and lets new connections open.
    pub fn unblock(&self, from: IpAddr, to: IpAddr) {
        let mut network = self.lock();
        network.blocked.remove(&(from, to));
        let (pipes, unblocked) = (network.open_pipes(), network.unblocked.clone());
        drop(network);
        pipes
            .iter()
            .for_each(|pipe| pipe.set_blocked(from, to, false));
        unblocked.notify_waiters();
    }

    /// Waits until two hosts can open connections.
    async fn wait_until_unblocked(&self, remote: IpAddr) {
        let own = self.host.address;
        loop {
            let unblocked = self.lock().unblocked.clone();
            let notified = unblocked.notified();
            let is_blocked = {
                let blocked = &self.lock().blocked;
                blocked.contains(&(own, remote)) || blocked.contains(&(remote, own))
            };
            if !is_blocked {
                return;
            }
            notified.await;
        }
    }

    /// Sets the latency of everything that a host sends or receives.
    pub fn delay(&self, address: IpAddr, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        let host = self.lock().host(address);
        host.delay.store(micros, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Network> {
        self.network.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Network {
    /// Returns the host at an address, created on first use.
    fn host(&mut self, address: IpAddr) -> Arc<Host> {
        let host = self.hosts.entry(address);
        host.or_insert_with(|| Host::new(address)).clone()
    }

    /// Returns the pipes of which at least one end is open.
    fn open_pipes(&self) -> Vec<Arc<Pipe>> {
        self.pipes.iter().filter_map(Weak::upgrade).collect()
    }

    fn pipes_of(&self, host: &Arc<Host>) -> Vec<Arc<Pipe>> {
        let mut pipes = self.open_pipes();
        pipes.retain(|pipe| pipe.has_end_at(host));
        pipes
    }

    /// Records a pipe and removes closed ones from time to time.
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
        self.wait_until_unblocked(address.ip()).await;
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

    fn peer(&self, stream: &Stream) -> Option<IpAddr> {
        Some(stream.peer())
    }

    fn set_reset_on_close(&self, stream: &mut Stream, resets: bool) {
        stream.set_reset_on_drop(resets);
    }

    fn for_host(&self, host: IpAddr) -> Self {
        Self {
            host: self.lock().host(host),
            network: self.network.clone(),
        }
    }
}

/// A listener of in-process connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    host: Arc<Host>,
    /// Connections that wait to be accepted.
    receiver: mpsc::UnboundedReceiver<Stream>,
    /// Keeps the channel open, so that a killed host's listener waits rather than fails.
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
