//! Watches the progress of the traffic thread.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use briarrail_dispatch::{ThreadHealth, ThreadWatch};

use crate::telemetry::flush_logs;
use crate::traffic::SharedState;

/// Interval between two checks of the traffic thread.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Exit code of a process whose traffic thread has ended or does not come back.
const EXIT_THREAD_LOST: i32 = 70;

/// Checks the traffic thread indefinitely, makes the router unready while the thread is stalled, and
/// ends the process if it does not come back.
pub(crate) async fn watch_traffic_thread(shared: Arc<SharedState>) {
    let mut watch = ThreadWatch::default();
    let mut known = ThreadHealth::Turning;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let health = watch.observe(shared.traffic_turns.load(Ordering::Relaxed));
        if health == known {
            continue;
        }
        known = health;
        shared
            .is_traffic_stalled
            .store(health != ThreadHealth::Turning, Ordering::Relaxed);
        let last_request = shared.last_request.load_full();
        tracing::error!(
            event = "traffic_thread",
            ?health,
            in_flight = shared.in_flight.load(Ordering::Relaxed),
            last_request_id = last_request.map(|id| String::from_utf8_lossy(&id).into_owned()),
        );
        if health == ThreadHealth::Lost {
            exit_without_traffic("the traffic thread does not come back");
        }
    }
}

/// Ends the process because no caller is served any more; the platform starts it again.
pub(crate) fn exit_without_traffic(reason: &str) -> ! {
    tracing::error!(event = "traffic_thread_lost", reason);
    flush_logs(LOG_FLUSH_TIMEOUT);
    std::process::exit(EXIT_THREAD_LOST)
}
