//! Memory that bodies of requests and answers take, from their first byte read to the last
//! one sent, and the state of requests, by service or, at an entry, by client account.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use http_body_util::BodyExt;
use prometheus_client::metrics::gauge::Gauge;

use cranberryridge_policy::gateway::memory::{Bound, Purpose, Usage, MAX_SMALL_BYTES};
use cranberryridge_wire::Map;

use super::exchange::Input;
use super::lock;
use crate::body::{Chunks, ReadError};
use crate::events::{BUFFER_BYTES, MAX_SMALL_BUFFER_BYTES};
use crate::metrics::Metrics;

/// Maximum size of a chunk of a body, in bytes. Equal sizes keep freed memory usable.
const MAX_CHUNK_BYTES: usize = MAX_SMALL_BYTES;

/// Size of the first chunk of a body of unknown length, in bytes.
const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// Number of spare requests from which those that have ended are removed.
const MIN_PRUNED_SPARES: usize = 64;

/// Total size of what is held, with a bound.
#[derive(Debug)]
pub struct Account {
    bytes: AtomicUsize,
    bound: Bound,
    total: Arc<Total>,
    metrics: Metrics,
    /// Names of the bodies of requests and of everything else in metrics, if they are shown.
    names: [Option<&'static str>; 2],
    /// What is held, by service.
    services: Mutex<Map<CompactString, Weak<Service>>>,
}

/// What all accounts hold together, with a bound.
#[derive(Debug)]
pub struct Total {
    bytes: AtomicUsize,
    bound: Bound,
    /// Requests whose bodies are kept only for a retry, oldest first.
    spares: Mutex<Spares>,
}

/// Bytes that one service holds, as shown in metrics.
#[derive(Debug)]
struct Service {
    requests: Gauge,
    answers: Gauge,
}

/// One service's use of an account. Clones count together.
#[derive(Clone, Debug)]
pub struct Share {
    account: Arc<Account>,
    service: Arc<Service>,
}

#[derive(Debug, Default)]
struct Spares {
    requests: VecDeque<Weak<Input>>,
    /// Number of requests at which those that have ended are removed.
    pruned_at: usize,
}

/// Bytes that are counted in an account until dropped.
#[derive(Debug)]
pub struct Allocation {
    share: Share,
    purpose: Purpose,
    bytes: usize,
}

/// Bytes with their share of an account.
struct Counted<T> {
    data: T,
    _allocation: Allocation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Counted<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

impl Service {
    /// Returns the gauge of a purpose.
    fn gauge(&self, purpose: Purpose) -> &Gauge {
        if purpose.is_request() {
            &self.requests
        } else {
            &self.answers
        }
    }

    /// Returns what is held.
    fn usage(&self) -> Usage {
        let bytes = |gauge: &Gauge| usize::try_from(gauge.get()).unwrap_or_default();
        Usage {
            requests: bytes(&self.requests),
            answers: bytes(&self.answers),
        }
    }
}

impl Total {
    /// Creates the total of accounts that hold nothing.
    pub fn new(bound: Bound) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            bound,
            spares: Mutex::default(),
        })
    }

    /// Adds bytes if they are within the bound.
    fn add(&self, usage: Usage, bytes: usize, purpose: Purpose) -> bool {
        let add = |held| {
            // Limits of requests are those of their account.
            let is_within = if purpose.is_request() {
                self.bound.allows(held, bytes, Purpose::Answer)
            } else {
                self.bound.allows_service(held, usage, bytes, purpose)
            };
            is_within.then_some(held + bytes)
        };
        let order = Ordering::Relaxed;
        self.bytes.fetch_update(order, order, add).is_ok()
    }

    /// Removes and returns the oldest request whose body may be released.
    fn take_spare(&self) -> Option<Arc<Input>> {
        let mut spares = lock(&self.spares);
        std::iter::from_fn(|| spares.requests.pop_front()).find_map(|spare| spare.upgrade())
    }
}

impl Account {
    /// Creates an empty account, which also counts in `total`, with the names of the bodies of
    /// requests and of everything else in metrics, if they are shown.
    pub fn new(
        bound: Bound,
        total: Arc<Total>,
        metrics: &Metrics,
        names: [Option<&'static str>; 2],
    ) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            bound,
            total,
            metrics: metrics.clone(),
            names,
            services: Mutex::default(),
        })
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Returns a service's use of the account.
    pub fn share(self: &Arc<Self>, name: &CompactString) -> Share {
        let mut services = lock(&self.services);
        let service = services.get(name).and_then(Weak::upgrade);
        let service = service.unwrap_or_else(|| {
            services.retain(|_, service| service.strong_count() > 0);
            let [requests, answers] = self.names.map(|purpose| {
                let gauge = purpose.map(|purpose| self.metrics.held_bytes(name, purpose));
                gauge.unwrap_or_default()
            });
            let service = Arc::new(Service { requests, answers });
            services.insert(name.clone(), Arc::downgrade(&service));
            service
        });
        Share {
            account: self.clone(),
            service,
        }
    }

    /// Allows the body of a request to be released, as a run has begun, until
    /// [`Input::retain_body`] is called.
    pub fn add_spare(&self, request: &Arc<Input>) {
        request.spare_body();
        let mut spares = lock(&self.total.spares);
        if spares.requests.len() >= spares.pruned_at.max(MIN_PRUNED_SPARES) {
            spares.requests.retain(|spare| spare.strong_count() > 0);
            spares.pruned_at = spares.requests.len() * 2;
        }
        spares.requests.push_back(Arc::downgrade(request));
    }
}

impl Share {
    /// Returns the bytes that the service holds.
    pub fn usage(&self) -> Usage {
        self.service.usage()
    }

    /// Reserves bytes. If there is too little room, bodies that are kept only for a retry
    /// are released, the oldest first, as their streams are the nearest to their end. None is
    /// released for a service that holds more than its share.
    pub fn reserve(&self, bytes: usize, purpose: Purpose) -> Option<Allocation> {
        let mut allocation = self.begin(purpose);
        allocation.grow(bytes).then_some(allocation)
    }

    /// Returns an allocation without bytes.
    pub fn begin(&self, purpose: Purpose) -> Allocation {
        Allocation {
            share: self.clone(),
            purpose,
            bytes: 0,
        }
    }

    /// Counts bytes of an answer that cannot be refused any more. Returns them, and whether
    /// they are within the bound.
    pub fn count(&self, data: Bytes) -> (Bytes, bool) {
        let (bytes, purpose) = (data.len(), Purpose::Answer);
        let usage = self.usage();
        let held = self.account.bytes.fetch_add(bytes, Ordering::Relaxed);
        let total = &self.account.total;
        let all = total.bytes.fetch_add(bytes, Ordering::Relaxed);
        self.service.gauge(purpose).inc_by(bytes as i64);
        let bound = self.account.bound;
        let is_within = bound.allows_service(held, usage, bytes, purpose)
            && total.bound.allows_service(all, usage, bytes, purpose);
        let mut allocation = self.begin(purpose);
        allocation.bytes = bytes;
        let counted = Counted {
            data,
            _allocation: allocation,
        };
        (Bytes::from_owner(counted), is_within)
    }

    /// Adds bytes if they are within the bounds.
    fn add(&self, bytes: usize, purpose: Purpose) -> bool {
        let (account, usage) = (&*self.account, self.usage());
        if !account.total.add(usage, bytes, purpose) {
            return false;
        }
        let add = |held| {
            let is_within = account.bound.allows_service(held, usage, bytes, purpose);
            is_within.then_some(held + bytes)
        };
        let order = Ordering::Relaxed;
        let is_added = account.bytes.fetch_update(order, order, add).is_ok();
        if is_added {
            self.service.gauge(purpose).inc_by(bytes as i64);
        } else {
            account.total.bytes.fetch_sub(bytes, order);
        }
        is_added
    }

    /// Returns whether there is room for bytes, and only the service holds more than its share.
    pub fn is_exceeded(&self, bytes: usize, purpose: Purpose) -> bool {
        let account = &self.account;
        let total = account.total.bytes.load(Ordering::Relaxed);
        account.bound.allows(account.held_bytes(), bytes, purpose)
            && account.total.bound.allows(total, bytes, Purpose::Answer)
    }
}

impl Allocation {
    /// Adds bytes as [`Share::reserve`] does. Returns whether there was room for them.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        while !self.share.add(bytes, self.purpose) {
            if self.share.is_exceeded(bytes, self.purpose) {
                return false;
            }
            let Some(spare) = self.share.account.total.take_spare() else {
                return false;
            };
            spare.release_body();
        }
        self.bytes += bytes;
        true
    }

    /// Changes the size to that of buffers of events with a number of bytes. Small ones count
    /// as nothing. Returns whether there was room for it.
    pub fn fit(&mut self, buffered: usize) -> bool {
        let bytes = if buffered > MAX_SMALL_BUFFER_BYTES {
            buffered.next_multiple_of(BUFFER_BYTES)
        } else {
            0
        };
        if bytes > self.bytes {
            return self.grow(bytes - self.bytes);
        }
        drop(self.split(self.bytes - bytes));
        true
    }

    /// Splits off a part. `None` if it is larger than the rest.
    fn split(&mut self, bytes: usize) -> Option<Self> {
        self.bytes = self.bytes.checked_sub(bytes)?;
        let mut part = self.share.begin(self.purpose);
        part.bytes = bytes;
        Some(part)
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        let Share { account, service } = &self.share;
        account.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        let total = &account.total.bytes;
        total.fetch_sub(self.bytes, Ordering::Relaxed);
        service.gauge(self.purpose).dec_by(self.bytes as i64);
    }
}

/// Reads a body of up to `limit` bytes. The length that a sender declares is reserved
/// before the first byte is read. `purpose` returns what a number of bytes is held for.
///
/// # Errors
///
/// [`ReadError::TooLarge`] if the body has more than `limit` bytes, [`ReadError::NoMemory`]
/// if there is no room for it, [`ReadError::Broken`] if it is incomplete.
pub async fn read<B>(
    share: &Share,
    mut body: B,
    limit: usize,
    purpose: fn(usize) -> Purpose,
) -> Result<Chunks, ReadError<B::Error>>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let length = size.exact().unwrap_or(0) as usize;
    let declared = share
        .reserve(length, purpose(length))
        .ok_or(ReadError::NoMemory)?;
    let mut buffer = Buffer {
        share,
        purpose,
        declared,
        chunks: Chunks::default(),
        open: None,
        length: 0,
    };
    while let Some(frame) = body.frame().await {
        if let Ok(part) = frame.map_err(ReadError::Broken)?.into_data() {
            if part.len() > limit - buffer.length {
                return Err(ReadError::TooLarge);
            }
            buffer.append(&part).ok_or(ReadError::NoMemory)?;
        }
    }
    Ok(buffer.finish())
}

/// Reads a request's body of up to `limit` bytes into one buffer, which counts until its last
/// clone is dropped. The length that a sender declares is reserved before the first byte is
/// read.
///
/// # Errors
///
/// The same as of [`read`].
pub async fn read_whole<B>(
    share: &Share,
    mut body: B,
    limit: usize,
) -> Result<Bytes, ReadError<B::Error>>
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return Err(ReadError::TooLarge);
    }
    let length = size.exact().unwrap_or(0) as usize;
    let mut allocation = share.begin(Purpose::of_client_request(length));
    if !allocation.grow(length) {
        return Err(ReadError::NoMemory);
    }
    let mut data = Vec::with_capacity(length);
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.map_err(ReadError::Broken)?.into_data() else {
            continue;
        };
        if part.len() > limit - data.len() {
            return Err(ReadError::TooLarge);
        }
        let needed = data.len() + part.len();
        if needed > allocation.bytes {
            let doubled = allocation.bytes.saturating_mul(2).min(limit);
            let grown = needed.max(doubled).max(MIN_CHUNK_BYTES);
            allocation.purpose = Purpose::of_client_request(grown);
            if !allocation.grow(grown - allocation.bytes) {
                return Err(ReadError::NoMemory);
            }
            data.reserve_exact(grown - data.len());
        }
        data.extend_from_slice(&part);
    }
    data.shrink_to_fit();
    drop(allocation.split(allocation.bytes - data.len()));
    Ok(Bytes::from_owner(Counted {
        data,
        _allocation: allocation,
    }))
}

/// A body that is being read.
struct Buffer<'a> {
    share: &'a Share,
    purpose: fn(usize) -> Purpose,
    /// Rest of the reservation for the declared length.
    declared: Allocation,
    /// Full chunks.
    chunks: Chunks,
    /// Chunk that has room left.
    open: Option<Counted<BytesMut>>,
    /// Number of bytes so far.
    length: usize,
}

impl Buffer<'_> {
    /// Appends bytes. Returns `None` if there is no room for them.
    fn append(&mut self, mut bytes: &[u8]) -> Option<()> {
        while !bytes.is_empty() {
            let mut open = match self.open.take() {
                Some(open) => open,
                None => self.next_chunk()?,
            };
            let room = open.data.capacity() - open.data.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            open.data.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
            if open.data.len() == open.data.capacity() {
                self.chunks.push(Bytes::from_owner(open));
            } else {
                self.open = Some(open);
            }
        }
        Some(())
    }

    /// Creates the next chunk, of what was declared as long as that lasts.
    fn next_chunk(&mut self) -> Option<Counted<BytesMut>> {
        let bytes = match self.declared.bytes {
            0 => self.length.clamp(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES),
            left => left.min(MAX_CHUNK_BYTES),
        };
        let allocation = self.declared.split(bytes);
        let purpose = (self.purpose)(self.length + bytes);
        let allocation = allocation.or_else(|| self.share.reserve(bytes, purpose))?;
        Some(Counted {
            data: BytesMut::with_capacity(bytes),
            _allocation: allocation,
        })
    }

    /// Returns the body.
    fn finish(mut self) -> Chunks {
        if let Some(open) = self.open.take() {
            self.chunks.push(Bytes::from_owner(open));
        }
        self.chunks
    }
}
