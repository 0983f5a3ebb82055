//! Log output that never blocks the logging threads.

use std::io::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that wait for standard output; about one second of a busy router.
const MAX_QUEUED_LINES: usize = 1_024;
/// Maximum sustained rate of lines; twice the request rate of a router on a busy day.
const MAX_LINES_PER_S: f64 = 200.0;
/// Maximum number of lines in a burst above the sustained rate.
const MAX_BURST_LINES: f64 = 600.0;
/// Minimum time between two reports of dropped lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a flush checks the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Number of lines that are queued and not written yet.
static PENDING_LINES: AtomicI64 = AtomicI64::new(0);

/// Starts logging JSON lines to standard output; a second call in the same process has no effect.
///
/// Lines above the rate limit, and lines that do not fit in the queue because standard output is
/// slow, are dropped and counted. An invalid filter falls back to `info`. Returns the counter of
/// dropped lines.
#[must_use]
pub fn init_json_logs(filter: &str) -> Arc<AtomicU64> {
    let dropped = Arc::new(AtomicU64::new(0));
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let queue_writer = QueueWriter {
        lines,
        dropped: Arc::clone(&dropped),
        limiter: Arc::new(Mutex::new(LineRateLimiter::new(Instant::now()))),
    };
    let dropped_count = Arc::clone(&dropped);
    let writer = std::thread::Builder::new().name("logs".into());
    if let Err(error) = writer.spawn(move || write_lines(&queue, &dropped_count)) {
        eprintln!("cannot start the log thread, logging is disabled: {error}");
    }
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let started = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(queue_writer)
        .try_init();
    if let Err(error) = started {
        eprintln!("logging is already initialized: {error}");
    }
    dropped
}

/// Waits up to `timeout` until all queued lines are written.
///
/// Blocks the calling thread, so it must only be used when the process exits.
pub(crate) fn flush_logs(timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut reported_total = 0;
    let mut reported_at = Instant::now();
    let mut output = std::io::stdout();
    while let Ok(line) = queue.recv() {
        // A closed standard output does not stop the router; the failure cannot be reported.
        let written = output.write_all(&line);
        if written.is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
        let total = dropped.load(Ordering::Relaxed);
        if total > reported_total && reported_at.elapsed() >= DROP_REPORT_INTERVAL {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"total\":{total}}}\n"
            );
            if output.write_all(report.as_bytes()).is_ok() {
                reported_total = total;
            }
            reported_at = Instant::now();
        }
    }
}

/// Token bucket that limits the rate of lines.
#[derive(Debug)]
struct LineRateLimiter {
    available: f64,
    refilled_at: Instant,
}

impl LineRateLimiter {
    const fn new(now: Instant) -> Self {
        Self {
            available: MAX_BURST_LINES,
            refilled_at: now,
        }
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        let refilled = elapsed.mul_add(MAX_LINES_PER_S, self.available);
        self.available = refilled.min(MAX_BURST_LINES);
        self.refilled_at = now;
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}

#[derive(Debug, Clone)]
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    limiter: Arc<Mutex<LineRateLimiter>>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let limiter = self.limiter.lock();
        let allowed = limiter.is_ok_and(|mut limiter| limiter.try_take(Instant::now()));
        let queued = allowed
            && match self.lines.try_send(line.to_vec()) {
                Ok(()) => {
                    PENDING_LINES.fetch_add(1, Ordering::Relaxed);
                    true
                }
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => false,
            };
        if !queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for QueueWriter {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}
