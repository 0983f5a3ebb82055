//! Reads and discards the rest of a refused request's body.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Maximum number of bytes that are read of a refused request's body; usual bodies are smaller.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Time limit for reading the body of a refused request; many round trips of a caller.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bodies that are discarded at a time.
const MAX_DISCARDS: usize = 64;

/// Limits how many refused bodies are read at a time.
#[derive(Debug, Clone, Default)]
pub(crate) struct BodyDiscards(Rc<Cell<usize>>);

impl BodyDiscards {
    /// Discards the rest of a refused request's body, unless too many are being discarded.
    ///
    /// A connection that is closed with unread data is reset, and the caller may lose the refusal.
    pub(super) fn start(&self, body: Incoming) {
        if self.0.get() >= MAX_DISCARDS {
            tracing::debug!("the connection of a refused request is closed at once");
            return;
        }
        self.0.set(self.0.get() + 1);
        let discards = self.clone();
        tokio::task::spawn_local(async move {
            discard_body(body).await;
            discards.0.set(discards.0.get() - 1);
        });
    }
}

async fn discard_body(mut body: Incoming) {
    let mut discarded_bytes = 0;
    let discard = async {
        while let Some(Ok(frame)) = body.frame().await {
            discarded_bytes += frame.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, discard)
        .await
        .is_err()
    {
        tracing::debug!("body of a refused request came too slowly");
    }
}
