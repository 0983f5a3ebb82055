//! The account of what is held for callers, shared by all connections.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use briarrail_dispatch::{
    AnswerDecision, HolderKey, MemoryAccount, MemoryBudget, ReclaimCause, Reclaimed,
};
use briarrail_model::{MilliTime, StableHash};
use bytes::Bytes;
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use super::reclaim_signal::ReclaimSignal;
use crate::ProcessClock;
use crate::telemetry::GatewayMetrics;

/// Size up to which bodies and answers count as a part of their connection, in bytes.
pub(super) const UNCHARGED_BYTES: usize = 4_096;
/// Maximum time between two attempts to charge an answer that has to wait.
const CHARGE_INTERVAL: Duration = Duration::from_millis(100);

/// The memory account of a router.
///
/// Bytes that are handed to the HTTP library carry their charge, and may be dropped on any thread.
#[derive(Debug)]
pub(crate) struct CallerMemory {
    clock: ProcessClock,
    metrics: Arc<GatewayMetrics>,
    ledger: Mutex<MemoryLedger>,
    /// Signals that a piece of an answer was released.
    answer_released: Notify,
}

#[derive(Debug)]
struct MemoryLedger {
    account: MemoryAccount,
    signals: SecondaryMap<HolderKey, Arc<ReclaimSignal>>,
}

impl CallerMemory {
    pub(crate) fn new(
        budget: MemoryBudget,
        clock: ProcessClock,
        metrics: Arc<GatewayMetrics>,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            metrics,
            ledger: Mutex::new(MemoryLedger {
                account: MemoryAccount::new(budget),
                signals: SecondaryMap::new(),
            }),
            answer_released: Notify::new(),
        })
    }

    /// Opens the account of a connection, or returns `None` if there is no place for it.
    pub(crate) fn open(self: &Arc<Self>) -> Option<MemoryHold> {
        let mut ledger = self.lock();
        let (key, reclaimed) = ledger.account.open(self.clock.now())?;
        self.signal_all(&ledger, reclaimed.as_slice());
        let signal = Arc::<ReclaimSignal>::default();
        ledger.signals.insert(key, Arc::clone(&signal));
        self.record_held(&ledger);
        Some(MemoryHold {
            memory: Arc::clone(self),
            key,
            signal,
        })
    }

    /// Closes the connection of the slowest caller whose answer is being relayed; returns `false` if
    /// none is slow.
    pub(crate) fn close_slow_relay(&self) -> bool {
        let mut ledger = self.lock();
        let reclaimed = ledger.account.close_slow_relay(self.clock.now());
        self.signal_all(&ledger, reclaimed.as_slice());
        reclaimed.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, MemoryLedger> {
        // The account is valid between any two of its calls.
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_held(&self, ledger: &MemoryLedger) {
        self.metrics.held_memory.record(&ledger.account.held());
    }

    fn signal_all(&self, ledger: &MemoryLedger, reclaimed: &[Reclaimed]) {
        for &Reclaimed { holder, cause } in reclaimed {
            self.metrics.count_reclaim(reclaim_cause_name(cause));
            if let Some(signal) = ledger.signals.get(holder) {
                signal.send(cause);
            }
        }
    }
}

/// What is held for one connection.
#[derive(Debug)]
pub(crate) struct MemoryHold {
    memory: Arc<CallerMemory>,
    key: HolderKey,
    signal: Arc<ReclaimSignal>,
}

impl MemoryHold {
    pub(crate) fn signal(&self) -> &ReclaimSignal {
        &self.signal
    }

    /// Closes the account of the connection; answers stay charged until they are dropped.
    pub(crate) fn close(&self) {
        let mut ledger = self.memory.lock();
        ledger.account.close(self.key);
        ledger.signals.remove(self.key);
        self.memory.record_held(&ledger);
    }

    /// Records that a request has begun.
    pub(crate) fn begin_request(&self, now: MilliTime) {
        self.memory.lock().account.begin_request(self.key, now);
    }

    /// Records that the response to a request was written.
    pub(crate) fn end_request(&self, now: MilliTime) {
        self.memory.lock().account.end_request(self.key, now);
    }

    /// Records that an answer is relayed, whose target is occupied until the caller has taken it.
    pub(crate) fn start_relay(&self) {
        self.memory.lock().account.start_relay(self.key);
    }

    /// Records whether the caller takes nothing of its answer at present.
    pub(crate) fn set_blocked(&self, is_blocked: bool, now: MilliTime) {
        let mut ledger = self.memory.lock();
        if is_blocked {
            ledger.account.block_writes(self.key, now);
        } else {
            ledger.account.unblock_writes(self.key);
        }
    }

    /// Starts to receive a body.
    pub(crate) fn start_body(&self, customer: Option<StableHash>, expected: usize) {
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        ledger.account.start_body(self.key, customer, expected, now);
    }

    /// Records how much of a body has arrived, in bytes.
    pub(crate) fn record_arrival(&self, received: usize) {
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        ledger.account.record_arrival(self.key, received, now);
    }

    /// Enlarges the buffer of a body to `size` bytes.
    ///
    /// # Errors
    ///
    /// Fails with the cause if the body has to give way to others.
    pub(crate) fn grow_body(&self, size: usize) -> Result<(), ReclaimCause> {
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        let grown = ledger.account.grow_body(self.key, size, now);
        self.memory.record_held(&ledger);
        match grown {
            Ok(reclaimed) => {
                self.memory.signal_all(&ledger, &reclaimed);
                Ok(())
            }
            Err(cause) => {
                // Another body may have displaced this one before it could end.
                let cause = self.signal.take_body_cause().unwrap_or_else(|| {
                    self.memory.metrics.count_reclaim(reclaim_cause_name(cause));
                    cause
                });
                Err(cause)
            }
        }
    }

    /// Returns the bytes of a complete body, which stay charged while any part of them is held.
    pub(crate) fn finish_body(&self, buffer: Vec<u8>, customer: Option<StableHash>) -> Bytes {
        let charged = self.memory.lock().account.finish_body(self.key);
        Bytes::from_owner(ChargedBuffer {
            buffer,
            _charge: BodyCharge {
                memory: Arc::clone(&self.memory),
                customer,
                bytes: charged,
            },
        })
    }

    /// Discards a body that did not become complete.
    pub(crate) fn abandon_body(&self) {
        let mut ledger = self.memory.lock();
        ledger.account.abandon_body(self.key);
        self.memory.record_held(&ledger);
    }

    /// Charges the buffer of an answer that is not sent before it is complete, in bytes, or returns
    /// `None` if there is no room.
    pub(crate) fn try_buffer_answer(&self, bytes: usize) -> Option<AnswerCharge> {
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        let is_charged = ledger.account.try_buffer_answer(self.key, bytes, now);
        self.memory.record_held(&ledger);
        is_charged.then(|| self.answer_charge(bytes))
    }

    /// Waits until there is room for a piece of an answer, and charges it unless it is small.
    pub(crate) async fn charge_answer(&self, piece: Bytes) -> Bytes {
        if piece.len() <= UNCHARGED_BYTES {
            return piece;
        }
        loop {
            let released = self.memory.answer_released.notified();
            if self.try_charge_answer(piece.len()) {
                let charge = self.answer_charge(piece.len());
                return charge.attach(piece);
            }
            // Slow readers are looked for again after the interval.
            drop(tokio::time::timeout(CHARGE_INTERVAL, released).await);
        }
    }

    /// Waits until the caller has taken what exceeds its window.
    pub(crate) async fn wait_taken(&self) {
        loop {
            let released = self.memory.answer_released.notified();
            if !self.memory.lock().account.is_behind(self.key) {
                return;
            }
            // The window grows when other connections are closed.
            drop(tokio::time::timeout(CHARGE_INTERVAL, released).await);
        }
    }

    fn try_charge_answer(&self, bytes: usize) -> bool {
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        let decision = ledger.account.charge_answer(self.key, bytes, now);
        self.memory.record_held(&ledger);
        match decision {
            AnswerDecision::Charged => true,
            AnswerDecision::Wait(reclaimed) => {
                self.memory.signal_all(&ledger, &reclaimed);
                false
            }
        }
    }

    fn answer_charge(&self, bytes: usize) -> AnswerCharge {
        AnswerCharge {
            memory: Arc::clone(&self.memory),
            key: self.key,
            bytes,
        }
    }
}

/// The charge of a complete body, released on drop.
#[derive(Debug)]
struct BodyCharge {
    memory: Arc<CallerMemory>,
    customer: Option<StableHash>,
    bytes: usize,
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let mut ledger = self.memory.lock();
        ledger.account.release_body(self.customer, self.bytes);
        self.memory.record_held(&ledger);
    }
}

/// The charge of a piece of an answer, released on drop.
#[derive(Debug)]
pub(crate) struct AnswerCharge {
    memory: Arc<CallerMemory>,
    key: HolderKey,
    bytes: usize,
}

impl AnswerCharge {
    /// Adds a charge of the same connection.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Returns the size for which this is charged, in bytes.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the bytes with their charge.
    pub(crate) fn attach<B>(self, buffer: B) -> Bytes
    where
        B: AsRef<[u8]> + Send + 'static,
    {
        Bytes::from_owner(ChargedBuffer {
            buffer,
            _charge: self,
        })
    }
}

impl Drop for AnswerCharge {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let now = self.memory.clock.now();
        let mut ledger = self.memory.lock();
        ledger.account.release_answer(self.key, self.bytes, now);
        self.memory.record_held(&ledger);
        drop(ledger);
        self.memory.answer_released.notify_waiters();
    }
}

/// Bytes that release their charge when they are dropped.
#[derive(Debug)]
struct ChargedBuffer<B, C> {
    buffer: B,
    _charge: C,
}

impl<B, C> AsRef<[u8]> for ChargedBuffer<B, C>
where
    B: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// Returns the name of a cause for logs and metrics.
pub(super) const fn reclaim_cause_name(cause: ReclaimCause) -> &'static str {
    match cause {
        ReclaimCause::Stalled => "stalled",
        ReclaimCause::Displaced => "displaced",
        ReclaimCause::SlowReader => "slow_reader",
        ReclaimCause::Idle => "idle",
        ReclaimCause::Unfinished => "unfinished",
    }
}
