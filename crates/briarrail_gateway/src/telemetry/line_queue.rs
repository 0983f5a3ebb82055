//! Log lines that never block the threads that write them.

use std::io::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for standard output; about a second of a busy router.
const QUEUED_LINES: usize = 1_024;
/// Lines a second that are written on average; a router's requests on a busy day, twice over.
const LINES_PER_S: f64 = 200.0;
/// Lines that may come at once beyond the average.
const BURST_LINES: f64 = 600.0;
/// Least time between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at the queue while it is flushed.
const FLUSH_POLL: Duration = Duration::from_millis(2);
/// Lines that are queued and not written yet.
static PENDING_LINES: AtomicI64 = AtomicI64::new(0);

/// Starts logging JSON lines to standard output; a second call in one process changes nothing.
///
/// Lines beyond a steady rate, and lines that standard output does not take in time, are dropped
/// and counted. An unreadable filter falls back to `info`. Returns the count of dropped lines.
#[must_use]
pub fn init_json_logs(filter: &str) -> Arc<AtomicU64> {
    let dropped = Arc::new(AtomicU64::new(0));
    let (lines, queue) = sync_channel(QUEUED_LINES);
    let queue_writer = QueueWriter {
        lines,
        dropped: Arc::clone(&dropped),
        allowance: Arc::new(Mutex::new(LineAllowance::new(Instant::now()))),
    };
    let reported = Arc::clone(&dropped);
    let writer = std::thread::Builder::new().name("logs".into());
    if let Err(error) = writer.spawn(move || write_lines(&queue, &reported)) {
        eprintln!("no thread for logs, they are off: {error}");
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
        eprintln!("logging was started before: {error}");
    }
    dropped
}

/// Waits until the lines that were logged before are written, at most for `limit`.
///
/// Blocks the calling thread; for the end of the process only.
pub(crate) fn flush_logs(limit: Duration) {
    let end = Instant::now() + limit;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        std::thread::sleep(FLUSH_POLL);
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut told = 0;
    let mut told_at = Instant::now();
    let mut output = std::io::stdout();
    while let Ok(line) = queue.recv() {
        // Nobody is left to tell when standard output is gone; the router goes on.
        let written = output.write_all(&line);
        if written.is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
        let total = dropped.load(Ordering::Relaxed);
        if total > told && told_at.elapsed() >= REPORT_INTERVAL {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"total\":{total}}}\n"
            );
            if output.write_all(report.as_bytes()).is_ok() {
                told = total;
            }
            told_at = Instant::now();
        }
    }
}

/// A token bucket of lines.
#[derive(Debug)]
struct LineAllowance {
    lines: f64,
    filled_at: Instant,
}

impl LineAllowance {
    const fn new(now: Instant) -> Self {
        Self {
            lines: BURST_LINES,
            filled_at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.lines = elapsed.mul_add(LINES_PER_S, self.lines).min(BURST_LINES);
        self.filled_at = now;
        let allowed = self.lines >= 1.0;
        if allowed {
            self.lines -= 1.0;
        }
        allowed
    }
}

#[derive(Debug, Clone)]
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    allowance: Arc<Mutex<LineAllowance>>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let allowance = self.allowance.lock();
        let allowed = allowance.is_ok_and(|mut lines| lines.take(Instant::now()));
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
