//! Waits with a timeout.

use std::time::Duration;

use tokio::time::Instant;

/// Far above the expected duration of any wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a check until it returns a value, and panics after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_for<C, F, T>(condition: &str, mut check: C) -> T
where
    C: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {condition}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Awaits a future, and panics after [`WAIT_TIMEOUT`].
pub(crate) async fn with_timeout<F>(operation: &str, future: F) -> F::Output
where
    F: IntoFuture,
{
    let result = tokio::time::timeout(WAIT_TIMEOUT, future).await;
    result.unwrap_or_else(|_| panic!("timed out waiting for {operation}"))
}
