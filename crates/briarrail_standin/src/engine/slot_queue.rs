//! Stream slots, and the queues of requests that wait for one.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::engine::LoadReport;
use crate::engine::load_history::LoadHistory;

/// Allocates stream slots; queued interactive requests go before deferrable ones.
#[derive(Debug)]
pub(crate) struct SlotQueue {
    capacity: usize,
    queue_limit: usize,
    state: Mutex<SlotQueueState>,
}

#[derive(Debug)]
struct SlotQueueState {
    running: usize,
    peak_running: usize,
    interactive: VecDeque<oneshot::Sender<StreamSlot>>,
    deferrable: VecDeque<oneshot::Sender<StreamSlot>>,
    history: LoadHistory,
}

/// Permit to run one stream, released when dropped.
#[derive(Debug)]
pub(crate) struct StreamSlot {
    queue: Arc<SlotQueue>,
}

impl SlotQueue {
    pub(crate) fn new(capacity: usize, queue_limit: usize, load_lag: Duration) -> Arc<Self> {
        let state = SlotQueueState {
            running: 0,
            peak_running: 0,
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

    /// Waits for a slot; returns `None` if the queue is full.
    pub(crate) async fn acquire(self: &Arc<Self>, is_deferrable: bool) -> Option<StreamSlot> {
        let receiver = {
            let mut state = self.state.lock().expect("mutex is not poisoned");
            state.remove_closed_waiters();
            if state.running < self.capacity && state.queued() == 0 {
                state.occupy_slot();
                return Some(StreamSlot {
                    queue: self.clone(),
                });
            }
            if state.queued() >= self.queue_limit {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.enqueue_waiter(sender, is_deferrable);
            receiver
        };
        receiver.await.ok()
    }

    /// Returns the load, with the configured reporting delay.
    pub(crate) fn load_report(&self) -> LoadReport {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        state.remove_closed_waiters();
        state.history.report(Instant::now())
    }

    /// Returns the maximum number of concurrent streams so far.
    pub(crate) fn peak_running(&self) -> usize {
        self.state
            .lock()
            .expect("mutex is not poisoned")
            .peak_running
    }

    /// Passes a released slot to the next waiter, or frees it if there is none.
    fn release(self: &Arc<Self>) {
        let mut state = self.state.lock().expect("mutex is not poisoned");
        let Some(waiter) = state.dequeue_waiter() else {
            state.free_slot();
            return;
        };
        drop(state);
        let slot = StreamSlot {
            queue: self.clone(),
        };
        // If the waiter is gone, `send` returns the slot, whose drop passes it to the next waiter.
        drop(waiter.send(slot));
    }
}

impl SlotQueueState {
    fn queued(&self) -> usize {
        self.interactive.len() + self.deferrable.len()
    }

    fn occupy_slot(&mut self) {
        self.running += 1;
        self.peak_running = self.peak_running.max(self.running);
        self.record_load();
    }

    fn free_slot(&mut self) {
        self.running -= 1;
        self.record_load();
    }

    fn enqueue_waiter(&mut self, sender: oneshot::Sender<StreamSlot>, is_deferrable: bool) {
        if is_deferrable {
            self.deferrable.push_back(sender);
        } else {
            self.interactive.push_back(sender);
        }
        self.record_load();
    }

    fn dequeue_waiter(&mut self) -> Option<oneshot::Sender<StreamSlot>> {
        let interactive = self.interactive.pop_front();
        let waiter = interactive.or_else(|| self.deferrable.pop_front());
        self.record_load();
        waiter
    }

    /// Removes the waiters whose requests were dropped.
    fn remove_closed_waiters(&mut self) {
        self.interactive.retain(|sender| !sender.is_closed());
        self.deferrable.retain(|sender| !sender.is_closed());
    }

    fn record_load(&mut self) {
        let queued = self.queued();
        self.history.record(self.running, queued, Instant::now());
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.queue.release();
    }
}
