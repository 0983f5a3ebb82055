//! Places for streams, and the queues before them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::engine::LoadReport;
use crate::engine::load_history::LoadHistory;

/// Hands out places for streams; interactive requests go before deferrable ones.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    capacity: usize,
    queue_limit: usize,
    state: Mutex<QueueState>,
}

#[derive(Debug)]
struct QueueState {
    running: usize,
    peak: usize,
    interactive: VecDeque<oneshot::Sender<StreamSlot>>,
    deferrable: VecDeque<oneshot::Sender<StreamSlot>>,
    history: LoadHistory,
}

/// A place for one stream, given back when dropped.
#[derive(Debug)]
pub(crate) struct StreamSlot {
    queue: Arc<SlotQueue>,
}

impl SlotQueue {
    pub(crate) fn new(capacity: usize, queue_limit: usize, load_lag: Duration) -> Arc<Self> {
        let state = QueueState {
            running: 0,
            peak: 0,
            interactive: VecDeque::new(),
            deferrable: VecDeque::new(),
            history: LoadHistory::new(load_lag, capacity),
        };
        Arc::new(Self {
            capacity,
            queue_limit,
            state: Mutex::new(state),
        })
    }

    /// Waits for a place; none when the queue is full.
    pub(crate) async fn acquire(self: &Arc<Self>, is_deferrable: bool) -> Option<StreamSlot> {
        let receiver = {
            let mut state = self.state.lock().expect("no holder panics");
            state.forget_absent();
            if state.running < self.capacity && state.queued() == 0 {
                state.start();
                return Some(StreamSlot {
                    queue: self.clone(),
                });
            }
            if state.queued() >= self.queue_limit {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.enqueue(sender, is_deferrable);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the load as it was when the lag began.
    pub(crate) fn report(&self) -> LoadReport {
        let mut state = self.state.lock().expect("no holder panics");
        state.forget_absent();
        state.history.report(Instant::now())
    }

    /// Returns the most streams that ran at once.
    pub(crate) fn peak(&self) -> usize {
        self.state.lock().expect("no holder panics").peak
    }

    /// Offers a place that became free to the next waiter.
    fn release(self: &Arc<Self>) {
        let mut state = self.state.lock().expect("no holder panics");
        let Some(waiter) = state.dequeue() else {
            state.stop();
            return;
        };
        drop(state);
        let slot = StreamSlot {
            queue: self.clone(),
        };
        // A waiter who went away returns the place, and its drop offers it to the next one.
        drop(waiter.send(slot));
    }
}

impl QueueState {
    fn queued(&self) -> usize {
        self.interactive.len() + self.deferrable.len()
    }

    fn start(&mut self) {
        self.running += 1;
        self.peak = self.peak.max(self.running);
        self.record();
    }

    fn stop(&mut self) {
        self.running -= 1;
        self.record();
    }

    fn enqueue(&mut self, sender: oneshot::Sender<StreamSlot>, is_deferrable: bool) {
        if is_deferrable {
            self.deferrable.push_back(sender);
        } else {
            self.interactive.push_back(sender);
        }
        self.record();
    }

    fn dequeue(&mut self) -> Option<oneshot::Sender<StreamSlot>> {
        let interactive = self.interactive.pop_front();
        let waiter = interactive.or_else(|| self.deferrable.pop_front());
        self.record();
        waiter
    }

    /// Drops the waiters whose callers went away.
    fn forget_absent(&mut self) {
        self.interactive.retain(|sender| !sender.is_closed());
        self.deferrable.retain(|sender| !sender.is_closed());
    }

    fn record(&mut self) {
        let queued = self.queued();
        self.history.record(self.running, queued, Instant::now());
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.queue.release();
    }
}
