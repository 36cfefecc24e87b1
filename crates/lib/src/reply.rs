//! Channel from a request's task to its caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tokio::sync::{mpsc, oneshot};

use crate::body::{Aborted, Body};
use crate::problem::Problem;

/// Maximum number of body pieces that wait for a slow caller.
const MAX_QUEUED_PIECES: usize = 64;

/// Time after which a caller that reads nothing counts as disconnected.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the server to write the last piece before the answer is aborted.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// The task's side of an answer. Sends one answer and notices when the caller
/// disconnects.
#[derive(Debug)]
pub struct Reply {
    /// `None` once the head was sent.
    head: Option<oneshot::Sender<Response<Body>>>,
    body: mpsc::Sender<Result<Bytes, Aborted>>,
    /// Receiver of the body's pieces; moves into the response with the head.
    pieces: Option<mpsc::Receiver<Result<Bytes, Aborted>>>,
}

/// Error of a reply whose caller disconnected or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl Reply {
    /// Creates a reply and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Response<Body>>) {
        let (head, receiver) = oneshot::channel();
        let (body, pieces) = mpsc::channel(MAX_QUEUED_PIECES);
        let reply = Self {
            head: Some(head),
            body,
            pieces: Some(pieces),
        };
        (reply, receiver)
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
        let Some(pieces) = self.pieces.take() else {
            return;
        };
        if let Ok(response) = response.body(Body::Pieces(pieces)) {
            self.send(response);
        }
    }

    /// Sends a piece of the body, waiting up to [`STALL_TIMEOUT`] for a slow caller.
    ///
    /// # Errors
    ///
    /// [`Gone`] if the caller disconnected or did not read in time.
    pub async fn send_piece(&mut self, piece: Bytes) -> Result<(), Gone> {
        self.enqueue(Ok(piece)).await
    }

    /// Sends a piece of the body or the error that aborts it.
    async fn enqueue(&mut self, piece: Result<Bytes, Aborted>) -> Result<(), Gone> {
        let sent = tokio::time::timeout(STALL_TIMEOUT, self.body.send(piece)).await;
        sent.map_err(|_| Gone)?.map_err(|_| Gone)
    }

    /// Aborts the body, so that the caller sees that it is incomplete. Pauses before,
    /// because the server drops what it has not written yet when a body fails.
    pub async fn abort(&mut self) {
        tokio::time::sleep(FLUSH_PAUSE).await;
        // The caller may have disconnected, which changes nothing.
        let _ = self.enqueue(Err(Aborted)).await;
    }

    /// Waits until the caller disconnects.
    pub async fn closed(&mut self) {
        match &mut self.head {
            Some(head) => head.closed().await,
            None => self.body.closed().await,
        }
    }
}
