//! Waiting for something to come true.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a wait fails the test; far above what any wait takes.
const WAIT_LIMIT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a check gives a value, and returns it.
pub(crate) async fn eventually<C, F, T>(what: &str, mut check: C) -> T
where
    C: FnMut() -> F,
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < WAIT_LIMIT, "waited in vain: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the end of something, and fails the test when it takes too long.
pub(crate) async fn within_limit<F>(what: &str, future: F) -> F::Output
where
    F: IntoFuture,
{
    let ended = tokio::time::timeout(WAIT_LIMIT, future).await;
    ended.unwrap_or_else(|_| panic!("waited in vain: {what}"))
}
