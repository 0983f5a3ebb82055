//! Tells a connection that its memory is reclaimed.

use std::sync::{Mutex, PoisonError};

use briarrail_dispatch::ReclaimCause;
use tokio::sync::Notify;

/// Tells a connection that it or its body has to give way.
#[derive(Debug, Default)]
pub(crate) struct ReclaimSignal {
    body: ReclaimNotice,
    connection: ReclaimNotice,
}

#[derive(Debug, Default)]
struct ReclaimNotice {
    cause: Mutex<Option<ReclaimCause>>,
    sent: Notify,
}

impl ReclaimNotice {
    fn send(&self, cause: ReclaimCause) {
        *self.cause.lock().unwrap_or_else(PoisonError::into_inner) = Some(cause);
        self.sent.notify_one();
    }

    fn take(&self) -> Option<ReclaimCause> {
        let mut cause = self.cause.lock().unwrap_or_else(PoisonError::into_inner);
        cause.take()
    }

    async fn wait(&self) -> ReclaimCause {
        loop {
            if let Some(cause) = self.take() {
                return cause;
            }
            self.sent.notified().await;
        }
    }
}

impl ReclaimSignal {
    /// Tells the connection why it or its body gives way.
    pub(super) fn send(&self, cause: ReclaimCause) {
        match cause {
            ReclaimCause::Stalled | ReclaimCause::Displaced => self.body.send(cause),
            ReclaimCause::SlowReader | ReclaimCause::Idle | ReclaimCause::Unfinished => {
                self.connection.send(cause);
            }
        }
    }

    /// Returns why the body was reclaimed, if it was.
    pub(super) fn take_body_cause(&self) -> Option<ReclaimCause> {
        self.body.take()
    }

    /// Waits until the body is reclaimed.
    pub(super) async fn body_reclaimed(&self) -> ReclaimCause {
        self.body.wait().await
    }

    /// Waits until the connection has to be closed.
    pub(super) async fn connection_reclaimed(&self) -> ReclaimCause {
        self.connection.wait().await
    }
}
