//! Channel from a request's task to its caller.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tokio::sync::{mpsc, oneshot, OwnedSemaphorePermit, Semaphore};

use crate::body::{Body, Piece};
use crate::problem::Problem;

/// Maximum number of body pieces that wait for a slow caller.
const MAX_QUEUED_PIECES: usize = 64;

/// Time after which a caller that reads nothing counts as disconnected.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the server to write the last piece before the answer is aborted.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// The task's side of an answer. Sends one answer and notices when the caller
/// disconnects. A body in pieces is complete only after [`Reply::finish`]; the caller
/// sees a broken connection if the reply is dropped before.
#[derive(Debug)]
pub struct Reply {
    /// `None` once the head was sent.
    head: Option<oneshot::Sender<Response<Body>>>,
    /// `None` once the body was aborted or a piece was lost.
    pieces: Option<mpsc::Sender<Piece>>,
    /// Body that `pieces` belongs to; moves into the response with the head.
    body: Option<Body>,
    /// Room for pieces that wait for the caller; `None` if only their number is bounded.
    room: Option<Room>,
}

/// Room for pieces that wait for a slow caller.
#[derive(Clone, Debug)]
struct Room {
    max_bytes: u32,
    /// Bytes that are free.
    free: Arc<Semaphore>,
}

/// Piece that takes room until the server has written it.
struct Placed {
    data: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Placed {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Room {
    /// Waits until there is room for a piece. One that is larger than all the room waits until
    /// it is alone.
    async fn place(&self, piece: Piece) -> Piece {
        let Piece::Data(data) = piece else {
            return piece;
        };
        let bytes = u32::try_from(data.len()).unwrap_or(u32::MAX);
        let permit = self.free.clone();
        match permit.acquire_many_owned(bytes.min(self.max_bytes)).await {
            Ok(permit) => Piece::Data(Bytes::from_owner(Placed {
                data,
                _permit: permit,
            })),
            // The semaphore is never closed.
            Err(_) => Piece::Data(data),
        }
    }
}

/// Error of a reply whose caller disconnected or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl Reply {
    /// Creates a reply and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Response<Body>>) {
        let (head, receiver) = oneshot::channel();
        let (pieces, body) = Body::channel(MAX_QUEUED_PIECES);
        let reply = Self {
            head: Some(head),
            pieces: Some(pieces),
            body: Some(body),
            room: None,
        };
        (reply, receiver)
    }

    /// Bounds the size of the pieces that wait for a slow caller. A larger piece waits alone.
    ///
    /// # Examples
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// # runtime.block_on(async {
    /// use cranberryridge::reply::Reply;
    /// let (reply, _head) = Reply::new();
    /// let mut reply = reply.with_max_queued_bytes(8);
    /// assert_eq!(reply.send_piece("12345678".into()).await, Ok(()));
    /// # });
    /// ```
    pub fn with_max_queued_bytes(self, max_bytes: u32) -> Self {
        let free = Arc::new(Semaphore::new(max_bytes as usize));
        Self {
            room: Some(Room { max_bytes, free }),
            ..self
        }
    }

    /// Whether the head was sent.
    pub fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a complete response. Does nothing if a head was already sent.
    pub fn send(&mut self, response: Response<Body>) {
        if let Some(head) = self.head.take() {
            // The caller may have disconnected, which changes nothing.
            let _ = head.send(response);
        }
    }

    /// Sends a problem as the response. Does nothing if a head was already sent.
    pub fn refuse(&mut self, problem: &Problem) {
        self.send(problem.response());
    }

    /// Sends the head of a response whose body follows in pieces.
    pub fn begin(&mut self, response: http::response::Builder) {
        let Some(body) = self.body.take() else {
            return;
        };
        if let Ok(response) = response.body(body) {
            self.send(response);
        }
    }

    /// Sends a piece of the body, waiting up to [`STALL_TIMEOUT`] for a slow caller.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller disconnected or did not read this piece or an earlier one in
    /// time.
    pub async fn send_piece(&mut self, piece: Bytes) -> Result<(), Gone> {
        self.enqueue(Piece::Data(piece)).await
    }

    /// Waits until the server has taken all pieces, up to [`STALL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// As [`Reply::send_piece`].
    pub async fn flush(&mut self) -> Result<(), Gone> {
        let pieces = self.pieces.as_ref().ok_or(Gone)?;
        let empty = pieces.reserve_many(MAX_QUEUED_PIECES);
        if matches!(tokio::time::timeout(STALL_TIMEOUT, empty).await, Ok(Ok(_))) {
            return Ok(());
        }
        self.pieces = None;
        Err(Gone)
    }

    /// Marks the body as complete.
    ///
    /// # Errors
    ///
    /// As [`Reply::send_piece`].
    pub async fn finish(&mut self) -> Result<(), Gone> {
        self.enqueue(Piece::End).await
    }

    /// Aborts the body, so that the caller sees that it is incomplete. Pauses before,
    /// because the server drops what it has not written yet when a body fails.
    pub async fn abort(&mut self) {
        tokio::time::sleep(FLUSH_PAUSE).await;
        self.pieces = None;
    }

    /// Sends a part of the body. No part follows one that was lost.
    async fn enqueue(&mut self, piece: Piece) -> Result<(), Gone> {
        let pieces = self.pieces.as_ref().ok_or(Gone)?;
        let send = async {
            let piece = match &self.room {
                Some(room) => room.place(piece).await,
                None => piece,
            };
            pieces.send(piece).await
        };
        let sent = tokio::time::timeout(STALL_TIMEOUT, send).await;
        if matches!(sent, Ok(Ok(()))) {
            return Ok(());
        }
        self.pieces = None;
        Err(Gone)
    }

    /// Waits until the caller disconnects. Returns at once if the body was aborted or a
    /// piece was lost.
    pub async fn closed(&mut self) {
        match (&mut self.head, &self.pieces) {
            (Some(head), _) => head.closed().await,
            (None, Some(pieces)) => pieces.closed().await,
            (None, None) => {}
        }
    }
}
