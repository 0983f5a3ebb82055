//! Sends the chunks of a response to the connection of its caller.

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::mpsc::{Receiver, Sender, channel};

use super::caller_memory::{MemoryHold, UNCHARGED_BYTES};

/// Maximum number of chunks that wait for a slow caller; large ones are charged to its connection.
const MAX_WAITING_CHUNKS: usize = 8;

/// The caller has closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CallerLeft;

/// Sends chunks as fast as the caller takes them.
#[derive(Debug, Clone)]
pub(crate) struct ChunkSender {
    hold: Rc<MemoryHold>,
    chunks: Sender<Bytes>,
}

impl ChunkSender {
    /// Creates a sender, and the receiver for the body of the response.
    pub(super) fn channel(hold: &Rc<MemoryHold>) -> (Self, Receiver<Bytes>) {
        let (chunks, receiver) = channel(MAX_WAITING_CHUNKS);
        hold.start_relay();
        let hold = Rc::clone(hold);
        (Self { hold, chunks }, receiver)
    }

    /// Sends a chunk, and waits until the caller has taken what exceeds its window.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub(super) async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        let is_charged = chunk.len() > UNCHARGED_BYTES;
        tokio::select! {
            biased;
            chunk = self.hold.charge_answer(chunk) => self.forward(chunk, is_charged).await,
            () = self.chunks.closed() => Err(CallerLeft),
        }
    }

    /// Sends a chunk that is charged already, like [`send`](Self::send).
    ///
    /// # Errors
    ///
    /// Fails if the caller has left.
    pub(super) async fn send_charged(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        self.forward(chunk, true).await
    }

    async fn forward(&self, chunk: Bytes, is_charged: bool) -> Result<(), CallerLeft> {
        self.chunks.send(chunk).await.map_err(|_| CallerLeft)?;
        if is_charged {
            self.hold.wait_taken().await;
        }
        Ok(())
    }

    /// Waits until the caller leaves.
    pub(super) async fn closed(&self) {
        self.chunks.closed().await;
    }
}
