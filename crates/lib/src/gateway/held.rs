//! Memory that bodies of requests and answers take, from their first byte read to the last
//! one sent.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Weak};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;

use cranberryridge_policy::gateway::memory::{Bound, Purpose, MAX_SMALL_BYTES};

use super::exchange::Input;
use super::lock;
use crate::body::{Chunks, ReadError};

/// Maximum size of a chunk of a body, in bytes. Equal sizes keep freed memory usable.
const MAX_CHUNK_BYTES: usize = MAX_SMALL_BYTES;

/// Size of the first chunk of a body of unknown length, in bytes.
const MIN_CHUNK_BYTES: usize = 4 * 1024;

/// Number of spare requests from which those that have ended are removed.
const MIN_PRUNED_SPARES: usize = 64;

/// Total size of bodies, with a bound.
#[derive(Debug)]
pub struct Account {
    bytes: AtomicUsize,
    bound: Bound,
    /// Requests whose bodies are kept only for a retry, oldest first.
    spares: Mutex<Spares>,
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
    account: Arc<Account>,
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

impl Account {
    /// Creates an empty account.
    pub fn new(bound: Bound) -> Arc<Self> {
        Arc::new(Self {
            bytes: AtomicUsize::new(0),
            bound,
            spares: Mutex::default(),
        })
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Reserves bytes. If there is too little room, bodies that are kept only for a retry
    /// are released, the oldest first, as their streams are the nearest to their end.
    pub fn reserve(self: &Arc<Self>, bytes: usize, purpose: Purpose) -> Option<Allocation> {
        while !self.add(bytes, purpose) {
            self.take_spare()?.release_body();
        }
        Some(Allocation {
            account: self.clone(),
            bytes,
        })
    }

    /// Counts bytes of an answer that cannot be refused any more. Returns them, and whether
    /// they are within the bound.
    pub fn count(self: &Arc<Self>, data: Bytes) -> (Bytes, bool) {
        let held = self.bytes.fetch_add(data.len(), Ordering::Relaxed);
        let is_within = self.bound.allows(held, data.len(), Purpose::Answer);
        let allocation = Allocation {
            account: self.clone(),
            bytes: data.len(),
        };
        let counted = Counted {
            data,
            _allocation: allocation,
        };
        (Bytes::from_owner(counted), is_within)
    }

    /// Allows the body of a request to be released, as a run has begun, until
    /// [`Input::retain_body`] is called.
    pub fn add_spare(&self, request: &Arc<Input>) {
        request.spare_body();
        let mut spares = lock(&self.spares);
        if spares.requests.len() >= spares.pruned_at.max(MIN_PRUNED_SPARES) {
            spares.requests.retain(|spare| spare.strong_count() > 0);
            spares.pruned_at = spares.requests.len() * 2;
        }
        spares.requests.push_back(Arc::downgrade(request));
    }

    /// Removes and returns the oldest request whose body may be released.
    fn take_spare(&self) -> Option<Arc<Input>> {
        let mut spares = lock(&self.spares);
        std::iter::from_fn(|| spares.requests.pop_front()).find_map(|spare| spare.upgrade())
    }

    /// Adds bytes if they are within the bound.
    fn add(&self, bytes: usize, purpose: Purpose) -> bool {
        let add = |held| {
            self.bound
                .allows(held, bytes, purpose)
                .then_some(held + bytes)
        };
        let order = Ordering::Relaxed;
        self.bytes.fetch_update(order, order, add).is_ok()
    }
}

impl Allocation {
    /// Splits off a part. `None` if it is larger than the rest.
    fn split(&mut self, bytes: usize) -> Option<Self> {
        self.bytes = self.bytes.checked_sub(bytes)?;
        Some(Self {
            account: self.account.clone(),
            bytes,
        })
    }
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.account.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
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
    account: &Arc<Account>,
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
    let declared = account
        .reserve(length, purpose(length))
        .ok_or(ReadError::NoMemory)?;
    let mut buffer = Buffer {
        account,
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

/// A body that is being read.
struct Buffer<'a> {
    account: &'a Arc<Account>,
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
        let allocation = allocation.or_else(|| self.account.reserve(bytes, purpose))?;
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
