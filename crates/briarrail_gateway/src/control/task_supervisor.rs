//! Tasks of the control thread that must not end unnoticed.

use std::future::Future;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;

/// Delay before a task that has panicked is started again; what it read may still be there.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a task and starts it again whenever it panics.
///
/// Its input may make it panic on all routers alike, which must go on serving by what they know.
pub(crate) fn spawn_restarting<T, F>(name: &'static str, start: T)
where
    T: Fn() -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        while let Err(error) = tokio::task::spawn_local(start()).await {
            tracing::error!(event = "task_failed", task = name, %error, restarts = true);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Runs a task that can't be started again, and reports its name if it panics.
pub(crate) fn spawn_essential<F>(
    name: &'static str,
    failures: UnboundedSender<&'static str>,
    task: F,
) where
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        if let Err(error) = tokio::task::spawn_local(task).await {
            tracing::error!(event = "task_failed", task = name, %error, restarts = false);
            if failures.send(name).is_err() {
                tracing::debug!("the router is already stopping");
            }
        }
    });
}
