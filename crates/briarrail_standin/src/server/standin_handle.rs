//! Handle of a running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

/// Handle of a running stand-in, which stops when the handle is dropped.
#[derive(Debug)]
pub struct StandinHandle<A> {
    address: SocketAddr,
    app: Arc<A>,
    task: JoinHandle<()>,
}

impl<A> StandinHandle<A> {
    pub(crate) fn new(address: SocketAddr, app: Arc<A>, task: JoinHandle<()>) -> Self {
        Self { address, app, task }
    }

    /// Returns the address on which the stand-in listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the stand-in.
    #[must_use]
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the request handler.
    #[must_use]
    pub fn app(&self) -> &A {
        &self.app
    }

    /// Stops listening, and closes all connections.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Waits until the stand-in has stopped.
    pub async fn stopped(&mut self) {
        // `stop` aborts the task, so a cancellation error is expected here.
        let _ = (&mut self.task).await;
    }
}

impl<A> Drop for StandinHandle<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
