//! Account of what a router holds for its callers.
//!
//! It answers the load of callers that ignore the limits: many bodies that stop short of their end,
//! answers that nobody takes, and connections that stay open. Memory is reclaimed only while the
//! budget is used up.

use std::cmp::Reverse;
use std::collections::HashMap;

use briarrail_model::{MilliDuration, MilliTime, StableHash};
use slotmap::{SlotMap, new_key_type};

use crate::MemoryBudget;
use crate::memory_holder::{ArrivingBody, HolderPhase, MemoryHolder};

/// Size up to which a body may use the whole budget, in bytes.
const SMALL_BODY_BYTES: usize = 65_536;
/// Size of the answers that may wait for one caller however little is free, in bytes; one piece may
/// be larger.
const MIN_ANSWER_WINDOW_BYTES: usize = 65_536;

/// Minimum time between two searches for slow readers, however many answers wait.
const SEARCH_INTERVAL: MilliDuration = MilliDuration::from_millis(20);

new_key_type! {
    /// Key of a caller's connection in a [`MemoryAccount`].
    pub struct HolderKey;
}

/// Why memory of a caller is reclaimed, or a request for it is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimCause {
    /// The body has made no progress, or too little.
    Stalled,
    /// Other bodies are nearer to their end, or the customer has used its share.
    Displaced,
    /// The caller takes its answer too slowly.
    SlowReader,
    /// The connection has no request, and a new one needs its place.
    Idle,
    /// The body of the connection's request makes no progress, and a new connection needs its place.
    Unfinished,
}

/// A connection whose memory is reclaimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reclaimed {
    /// The connection.
    pub holder: HolderKey,
    /// Why it gives way.
    pub cause: ReclaimCause,
}

/// Decision on a piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerDecision {
    /// The piece is charged.
    Charged,
    /// The piece has to wait until others are released; the connections are to be closed.
    Wait(Vec<Reclaimed>),
}

/// What is held, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeldMemory {
    /// Size of the bodies that are arriving or belong to requests in progress, in bytes.
    pub body_bytes: usize,
    /// Size of the answers that wait for their callers, in bytes.
    pub answer_bytes: usize,
    /// Number of connections.
    pub connections: usize,
}

/// Account of what a router holds for its callers.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: MemoryBudget,
    holders: SlotMap<HolderKey, MemoryHolder>,
    held: HeldMemory,
    /// Size of the bodies by customer.
    customers: HashMap<StableHash, usize>,
    /// Time of the last search for slow readers.
    searched_at: Option<MilliTime>,
}

impl MemoryAccount {
    /// Creates an account of which nothing is used.
    #[must_use]
    pub fn new(budget: MemoryBudget) -> Self {
        Self {
            budget,
            holders: SlotMap::with_key(),
            held: HeldMemory::default(),
            customers: HashMap::new(),
            searched_at: None,
        }
    }

    /// Returns what is held at present.
    #[must_use]
    pub const fn held(&self) -> HeldMemory {
        self.held
    }

    /// Opens a connection, for which another one may have to be closed: an idle one, or else one whose
    /// request does not arrive or whose answer is not taken.
    ///
    /// Returns `None` if all places are taken by requests that get on.
    pub fn open(&mut self, now: MilliTime) -> Option<(HolderKey, Option<Reclaimed>)> {
        let mut reclaimed = None;
        if self.held.connections >= self.budget.connections {
            let given_up = self.first_to_close(now)?;
            self.close(given_up.holder);
            reclaimed = Some(given_up);
        }
        self.held.connections += 1;
        Some((self.holders.insert(MemoryHolder::new(now)), reclaimed))
    }

    /// Closes a connection. Its answers stay charged until they are released.
    pub fn close(&mut self, key: HolderKey) {
        self.abandon_body(key);
        if self.holders.remove(key).is_some() {
            self.held.connections -= 1;
        }
    }

    /// Records that a request of a connection has begun.
    pub fn begin_request(&mut self, key: HolderKey, now: MilliTime) {
        self.set_phase(key, HolderPhase::Busy, now);
    }

    /// Records that the response to a request was written.
    pub fn end_request(&mut self, key: HolderKey, now: MilliTime) {
        self.set_phase(key, HolderPhase::Idle, now);
        if let Some(holder) = self.holders.get_mut(key) {
            holder.is_served = true;
            holder.is_relayed = false;
            holder.waiting_since = None;
        }
    }

    /// Starts to receive a body; `expected` is its announced length, or the limit for a body
    /// without one, in bytes.
    pub fn start_body(
        &mut self,
        key: HolderKey,
        customer: Option<StableHash>,
        expected: usize,
        now: MilliTime,
    ) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.customer = customer;
            holder.body = Some(ArrivingBody::new(expected, now));
        }
    }

    /// Records how much of a body has arrived in all, in bytes.
    pub fn record_arrival(&mut self, key: HolderKey, received: usize, now: MilliTime) {
        let holder = self.holders.get_mut(key);
        if let Some(body) = holder.and_then(|holder| holder.body.as_mut()) {
            body.record_arrival(received, now);
        }
    }

    /// Enlarges the buffer of a body to `size` bytes, and returns the bodies that give way.
    ///
    /// Bodies without progress give way first, then those that lack most of their end.
    ///
    /// # Errors
    ///
    /// Fails with the cause if the body itself has to give way.
    pub fn grow_body(
        &mut self,
        key: HolderKey,
        size: usize,
        now: MilliTime,
    ) -> Result<Vec<Reclaimed>, ReclaimCause> {
        let Some(reclaimed) = self.find_room(key, size, now) else {
            self.abandon_body(key);
            return Err(ReclaimCause::Displaced);
        };
        for victim in &reclaimed {
            self.abandon_body(victim.holder);
        }
        let Some(holder) = self.holders.get_mut(key) else {
            return Err(ReclaimCause::Displaced);
        };
        let Some(body) = &mut holder.body else {
            return Err(ReclaimCause::Displaced);
        };
        let extra = size.saturating_sub(body.charged);
        body.charged += extra;
        self.held.body_bytes += extra;
        if let Some(customer) = holder.customer {
            *self.customers.entry(customer).or_default() += extra;
        }
        Ok(reclaimed)
    }

    /// Records that a body is complete, and returns the size for which it stays charged, in bytes.
    ///
    /// It can't be reclaimed any more and has to be released with
    /// [`release_body`](Self::release_body).
    pub fn finish_body(&mut self, key: HolderKey) -> usize {
        let holder = self.holders.get_mut(key);
        let body = holder.and_then(|holder| holder.body.take());
        body.map_or(0, |body| body.charged)
    }

    /// Releases a complete body.
    pub fn release_body(&mut self, customer: Option<StableHash>, bytes: usize) {
        self.held.body_bytes -= bytes;
        if let Some(customer) = customer
            && let Some(held) = self.customers.get_mut(&customer)
        {
            *held -= bytes;
            if *held == 0 {
                self.customers.remove(&customer);
            }
        }
    }

    /// Discards a body that is arriving.
    pub fn abandon_body(&mut self, key: HolderKey) {
        let Some(holder) = self.holders.get_mut(key) else {
            return;
        };
        let customer = holder.customer;
        if let Some(body) = holder.body.take() {
            self.release_body(customer, body.charged);
        }
    }

    /// Charges a piece of an answer, in bytes, or returns who has to give way for it.
    ///
    /// Whoever takes nothing for longest gives way first.
    pub fn charge_answer(
        &mut self,
        key: HolderKey,
        bytes: usize,
        now: MilliTime,
    ) -> AnswerDecision {
        let held = self
            .holders
            .get(key)
            .map_or(0, |holder| holder.answer_bytes);
        if held > 0 && held + bytes > self.answer_window() {
            self.start_wait(key, now);
            return AnswerDecision::Wait(Vec::new());
        }
        if self.has_answer_room(bytes) {
            self.add_answer(key, bytes, now);
            return AnswerDecision::Charged;
        }
        self.start_wait(key, now);
        AnswerDecision::Wait(self.reclaim_answers(bytes, now))
    }

    /// Returns whether more waits for a caller than its window, so that nothing more is read for it.
    #[must_use]
    pub fn is_behind(&self, key: HolderKey) -> bool {
        let holder = self.holders.get(key);
        holder.is_some_and(|holder| holder.answer_bytes > self.answer_window())
    }

    /// Charges the buffer of an answer that is not sent before it is complete, in bytes; returns
    /// `false` if it has to be sent in pieces for want of room.
    pub fn try_buffer_answer(&mut self, key: HolderKey, bytes: usize, now: MilliTime) -> bool {
        let has_room = self.has_answer_room(bytes);
        if has_room {
            self.add_answer(key, bytes, now);
        }
        has_room
    }

    /// Records that an answer is relayed, and occupies a target until its caller has taken it.
    pub fn start_relay(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.is_relayed = true;
        }
    }

    /// Marks the connection of the slowest reader whose answer is relayed as closing, if there is
    /// one.
    pub fn close_slow_relay(&mut self, now: MilliTime) -> Option<Reclaimed> {
        self.close_slowest(|holder| holder.is_slow_relay(now))
    }

    fn close_slowest<F>(&mut self, is_eligible: F) -> Option<Reclaimed>
    where
        F: Fn(&MemoryHolder) -> bool,
    {
        let slow = self.holders.iter_mut();
        let slow = slow.filter(|(_, holder)| is_eligible(holder));
        let (key, holder) = slow.min_by_key(|(_, holder)| {
            let since = holder.blocked_since.unwrap_or(holder.answer_since);
            (since, Reverse(holder.answer_bytes))
        })?;
        holder.phase = HolderPhase::Closing;
        Some(Reclaimed {
            holder: key,
            cause: ReclaimCause::SlowReader,
        })
    }

    /// Releases a piece of an answer that was written or dropped, in bytes.
    pub fn release_answer(&mut self, key: HolderKey, bytes: usize, now: MilliTime) {
        self.held.answer_bytes -= bytes;
        if let Some(holder) = self.holders.get_mut(key) {
            holder.answer_bytes = holder.answer_bytes.saturating_sub(bytes);
            holder.answer_since = now;
        }
    }

    /// Records that a caller takes nothing of its answer at present.
    pub fn block_writes(&mut self, key: HolderKey, now: MilliTime) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.blocked_since.get_or_insert(now);
        }
    }

    /// Records that a caller takes its answer again.
    pub fn unblock_writes(&mut self, key: HolderKey) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.blocked_since = None;
        }
    }

    fn set_phase(&mut self, key: HolderKey, phase: HolderPhase, now: MilliTime) {
        if let Some(holder) = self.holders.get_mut(key)
            && holder.phase != HolderPhase::Closing
        {
            holder.phase = phase;
            holder.phase_since = now;
        }
    }

    /// Returns the size of the answers that may wait for one caller: half of what is free, so that
    /// the window of each shrinks as more callers fall behind.
    ///
    /// From A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for shared-memory packet
    /// switches", IEEE/ACM Transactions on Networking 6(2), 1998.
    fn answer_window(&self) -> usize {
        let free = self.budget.answer_bytes - self.held.answer_bytes;
        (free / 2).max(MIN_ANSWER_WINDOW_BYTES)
    }

    const fn has_answer_room(&self, bytes: usize) -> bool {
        self.held.answer_bytes + bytes <= self.budget.answer_bytes
    }

    fn start_wait(&mut self, key: HolderKey, now: MilliTime) {
        if let Some(holder) = self.holders.get_mut(key) {
            holder.waiting_since.get_or_insert(now);
        }
    }

    fn add_answer(&mut self, key: HolderKey, bytes: usize, now: MilliTime) {
        self.held.answer_bytes += bytes;
        if let Some(holder) = self.holders.get_mut(key) {
            if holder.answer_bytes == 0 {
                holder.answer_since = now;
            }
            holder.answer_bytes += bytes;
            holder.waiting_since = None;
        }
    }

    /// Returns the connection that is closed for a new one.
    fn first_to_close(&self, now: MilliTime) -> Option<Reclaimed> {
        let close_for = |cause| move |holder| Reclaimed { holder, cause };
        let idle = self.longest_idle().map(close_for(ReclaimCause::Idle));
        let unfinished = || {
            self.longest_stalled(now)
                .map(close_for(ReclaimCause::Unfinished))
        };
        let slow = || {
            self.slowest_reader(now)
                .map(close_for(ReclaimCause::SlowReader))
        };
        idle.or_else(unfinished).or_else(slow)
    }

    fn longest_stalled(&self, now: MilliTime) -> Option<HolderKey> {
        let stalled = self.holders.iter().filter_map(|(key, holder)| {
            let stalled_for = holder.body.as_ref()?.stalled_for(now)?;
            Some((stalled_for, key))
        });
        stalled
            .max_by_key(|(stalled_for, _)| *stalled_for)
            .map(|(_, key)| key)
    }

    fn slowest_reader(&self, now: MilliTime) -> Option<HolderKey> {
        let slow = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_slow_reader(now));
        slow.min_by_key(|(_, holder)| holder.blocked_since.unwrap_or(holder.answer_since))
            .map(|(key, _)| key)
    }

    /// Returns the idle connection that is closed first: one that was never served before one that
    /// may be used again, and then the one that is idle for longest.
    fn longest_idle(&self) -> Option<HolderKey> {
        let idle = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.phase == HolderPhase::Idle);
        idle.min_by_key(|(_, holder)| (holder.is_served, holder.phase_since))
            .map(|(key, _)| key)
    }

    /// Returns the bodies that give way so that the body of `key` can take `size` bytes, or `None` if
    /// it has to give way itself.
    fn find_room(&self, key: HolderKey, size: usize, now: MilliTime) -> Option<Vec<Reclaimed>> {
        let holder = self.holders.get(key)?;
        let body = holder.body.as_ref()?;
        let others = self.held.body_bytes - body.charged;
        if others == 0 && size <= self.budget.lone_body_bytes {
            return Some(Vec::new());
        }
        let limit = if size <= SMALL_BODY_BYTES {
            self.budget.body_bytes
        } else {
            self.budget.large_body_bytes
        };
        let mut missing = (others + size).saturating_sub(limit);
        let mut missing_of_customer = holder.customer.map_or(0, |customer| {
            let held = self.customers.get(&customer).copied().unwrap_or_default();
            (held - body.charged + size).saturating_sub(self.budget.customer_bytes)
        });
        let mut reclaimed = Vec::new();
        if missing == 0 && missing_of_customer == 0 {
            return Some(reclaimed);
        }
        for (other, candidate) in self.bodies_to_reclaim(key, body.remaining(), now) {
            let is_of_customer = candidate.customer == holder.customer;
            if missing == 0 && (missing_of_customer == 0 || !is_of_customer) {
                continue;
            }
            reclaimed.push(Reclaimed {
                holder: other,
                cause: candidate.cause,
            });
            missing = missing.saturating_sub(candidate.charged);
            if is_of_customer {
                missing_of_customer = missing_of_customer.saturating_sub(candidate.charged);
            }
        }
        (missing == 0 && missing_of_customer == 0).then_some(reclaimed)
    }

    /// Returns the bodies that may give way to one that lacks `remaining` bytes, worst first.
    fn bodies_to_reclaim(
        &self,
        key: HolderKey,
        remaining: usize,
        now: MilliTime,
    ) -> Vec<(HolderKey, BodyCandidate)> {
        let others = self.holders.iter().filter(|(other, _)| *other != key);
        let candidates = others.filter_map(|(other, holder)| {
            let body = holder.body.as_ref().filter(|body| body.charged > 0)?;
            let (cause, rank) = match body.stalled_for(now) {
                Some(elapsed) => (ReclaimCause::Stalled, elapsed.as_millis()),
                None if body.remaining() > remaining => {
                    (ReclaimCause::Displaced, body.remaining() as u64)
                }
                None => return None,
            };
            let candidate = BodyCandidate {
                cause,
                rank,
                charged: body.charged,
                customer: holder.customer,
            };
            Some((other, candidate))
        });
        let mut candidates: Vec<_> = candidates.collect();
        candidates.sort_by_key(|(_, candidate)| {
            let is_stalled = candidate.cause == ReclaimCause::Stalled;
            Reverse((is_stalled, candidate.rank, candidate.charged))
        });
        candidates
    }

    /// Marks slow readers as closing until there is room for `bytes` once they are closed.
    fn reclaim_answers(&mut self, bytes: usize, now: MilliTime) -> Vec<Reclaimed> {
        let is_recent = |searched_at| now.since(searched_at) < SEARCH_INTERVAL;
        if self.searched_at.is_some_and(is_recent) {
            return Vec::new();
        }
        self.searched_at = Some(now);
        let needed = (self.held.answer_bytes + bytes).saturating_sub(self.budget.answer_bytes);
        let holders = self.holders.values();
        let closing = holders.filter(|holder| holder.phase == HolderPhase::Closing);
        let mut freed: usize = closing.map(|holder| holder.answer_bytes).sum();
        let mut reclaimed = Vec::new();
        while freed < needed {
            let is_slow =
                |holder: &MemoryHolder| holder.answer_bytes > 0 && holder.is_slow_reader(now);
            let Some(slowest) = self.close_slowest(is_slow) else {
                break;
            };
            freed += self.holders[slowest.holder].answer_bytes;
            reclaimed.push(slowest);
        }
        reclaimed
    }
}

/// A body that may give way.
#[derive(Debug, Clone, Copy)]
struct BodyCandidate {
    cause: ReclaimCause,
    /// Time without progress in milliseconds, or missing bytes; more gives way first.
    rank: u64,
    charged: usize,
    customer: Option<StableHash>,
}
