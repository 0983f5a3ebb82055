//! Handles of running stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;

/// A running stand-in; dropping the handle stops it.
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

    /// Returns the address on which the stand-in answers.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL of the stand-in.
    #[must_use]
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the stand-in itself.
    #[must_use]
    pub fn app(&self) -> &A {
        &self.app
    }

    /// Stops listening and breaks every connection.
    pub fn stop(&self) {
        self.task.abort();
    }

    /// Waits until the stand-in has stopped.
    pub async fn stopped(&mut self) {
        // The task ends by being aborted, which is what the caller waits for.
        let _ = (&mut self.task).await;
    }
}

impl<A> Drop for StandinHandle<A> {
    fn drop(&mut self) {
        self.task.abort();
    }
}
