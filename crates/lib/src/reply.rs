//! The way from a request's task to its caller.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tokio::sync::{mpsc, oneshot};

use crate::body::{Aborted, Body};
use crate::problem::Problem;

/// Pieces of a body that wait for a slow caller.
const MAX_QUEUED_PIECES: usize = 64;

/// Time after which a caller that reads nothing is taken to be gone.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for the last piece to go out before its answer is cut off.
const FLUSH_PAUSE: Duration = Duration::from_millis(50);

/// A request's side: answers once, and sees when the caller is gone.
#[derive(Debug)]
pub struct Reply {
    /// Takes the head; `None` once it was sent.
    head: Option<oneshot::Sender<Response<Body>>>,
    /// Takes the body's pieces.
    body: mpsc::Sender<Result<Bytes, Aborted>>,
    /// The body, until the head is sent.
    pieces: Option<mpsc::Receiver<Result<Bytes, Aborted>>>,
}

/// The caller is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

impl Reply {
    /// A reply and the place where its head arrives.
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

    /// Answers at once.
    pub fn send(&mut self, response: Response<Body>) {
        if let Some(head) = self.head.take() {
            // A caller that is gone needs no answer.
            let _ = head.send(response);
        }
    }

    /// Refuses, if nothing was sent yet.
    pub fn refuse(&mut self, problem: &Problem) {
        self.send(problem.response());
    }

    /// Sends the head of an answer that comes in pieces.
    pub fn begin(&mut self, response: http::response::Builder) {
        let Some(pieces) = self.pieces.take() else {
            return;
        };
        if let Ok(response) = response.body(Body::Pieces(pieces)) {
            self.send(response);
        }
    }

    /// Sends a piece, waiting up to [`STALL_TIMEOUT`] for a slow caller.
    ///
    /// # Errors
    ///
    /// [`Gone`] when nobody takes it.
    pub async fn send_piece(&mut self, piece: Bytes) -> Result<(), Gone> {
        self.enqueue(Ok(piece)).await
    }

    /// Sends a piece or a cut.
    async fn enqueue(&mut self, piece: Result<Bytes, Aborted>) -> Result<(), Gone> {
        let sent = tokio::time::timeout(STALL_TIMEOUT, self.body.send(piece)).await;
        sent.map_err(|_| Gone)?.map_err(|_| Gone)
    }

    /// Cuts the answer off, so that the caller sees that it is not whole. What
    /// was sent before goes out first: a server drops what it has not written
    /// when a body breaks off.
    pub async fn abort(&mut self) {
        tokio::time::sleep(FLUSH_PAUSE).await;
        // A caller that is gone sees nothing any more.
        let _ = self.enqueue(Err(Aborted)).await;
    }

    /// Waits until the caller is gone.
    pub async fn closed(&mut self) {
        match &mut self.head {
            Some(head) => head.closed().await,
            None => self.body.closed().await,
        }
    }
}
