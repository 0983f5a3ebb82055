//! Crowds against the memory account in virtual time.

use std::collections::VecDeque;

use briarrail_dispatch::{AnswerDecision, HeldMemory, HolderKey, MemoryAccount, MemoryBudget};
use briarrail_model::{MilliTime, StableHash};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEEDS: u64 = 1_000;
const STEPS: u64 = 400;
const STEP_MS: u64 = 25;
const MEMORY_BYTES: f64 = 20e6;
const CONNECTIONS: usize = 40;
const BODY_LIMIT: usize = 1_000_000;

/// A caller with a request, and what it holds.
struct CrowdCaller {
    key: HolderKey,
    customer: Option<StableHash>,
    length: usize,
    charged: usize,
    received: usize,
    /// Bytes that arrive in one step; 0 for a caller that has fallen silent.
    rate: usize,
    /// Length at which the caller falls silent.
    stops_at: usize,
    answers: VecDeque<usize>,
    takes_answers: bool,
    is_whole: bool,
}

struct CrowdReplay {
    account: MemoryAccount,
    budget: MemoryBudget,
    rng: SmallRng,
    callers: Vec<CrowdCaller>,
    now: MilliTime,
}

impl CrowdReplay {
    fn new(seed: u64) -> Self {
        let budget = MemoryBudget::new(MEMORY_BYTES, CONNECTIONS);
        Self {
            account: MemoryAccount::new(budget),
            budget,
            rng: SmallRng::seed_from_u64(seed),
            callers: Vec::new(),
            now: MilliTime::from_millis(0),
        }
    }

    fn open(&mut self) {
        let Some((key, reclaimed)) = self.account.open(self.now) else {
            return;
        };
        if let Some(reclaimed) = reclaimed {
            let closed = |caller: &CrowdCaller| caller.key == reclaimed.holder;
            let index = self.callers.iter().position(closed).unwrap();
            assert_eq!(self.callers[index].received, 0, "it had a request");
            self.callers.swap_remove(index);
        }
        let rng = &mut self.rng;
        let length = rng.random_range(1..=BODY_LIMIT);
        let customer = rng.random_range(0..4);
        self.callers.push(CrowdCaller {
            key,
            customer: (customer > 0).then_some(StableHash(customer)),
            length,
            charged: 0,
            received: 0,
            rate: [0, 500, 20_000, 200_000][rng.random_range(0..4)],
            stops_at: if rng.random_bool(0.5) {
                length
            } else {
                length - 1
            },
            answers: VecDeque::new(),
            takes_answers: rng.random_bool(0.5),
            is_whole: false,
        });
    }

    /// Lets more of a body arrive; returns whether the caller stays.
    fn receive(&mut self, index: usize) -> bool {
        let caller = &mut self.callers[index];
        let arrived = caller.rate.min(caller.stops_at - caller.received);
        if arrived == 0 {
            return true;
        }
        if caller.received == 0 {
            self.account.begin_request(caller.key, self.now);
            self.account
                .start_body(caller.key, caller.customer, caller.length, self.now);
        }
        let size = caller.received + arrived;
        let held = self.account.held().body_bytes;
        match self.account.grow_body(caller.key, size, self.now) {
            Ok(reclaimed) => {
                caller.charged = size;
                caller.received = size;
                self.account.record_arrival(caller.key, size, self.now);
                if size == caller.length {
                    caller.is_whole = true;
                    assert_eq!(self.account.finish_body(caller.key), size);
                }
                for reclaimed in reclaimed {
                    self.leave_by_key(reclaimed.holder);
                }
                true
            }
            Err(_) => {
                let others = held - caller.charged;
                let is_in_room = others + size <= self.budget.large_body_bytes;
                assert!(
                    !is_in_room || caller.customer.is_some(),
                    "refused with room"
                );
                false
            }
        }
    }

    fn answer(&mut self, index: usize) {
        let bytes = self.rng.random_range(1..100_000);
        let caller = &mut self.callers[index];
        match self.account.charge_answer(caller.key, bytes, self.now) {
            AnswerDecision::Charged => caller.answers.push_back(bytes),
            AnswerDecision::Wait(reclaimed) => {
                for reclaimed in reclaimed {
                    self.leave_by_key(reclaimed.holder);
                }
            }
        }
    }

    fn take_answer(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if !caller.takes_answers {
            return self.account.block_writes(caller.key, self.now);
        }
        if let Some(bytes) = caller.answers.pop_front() {
            self.account.release_answer(caller.key, bytes, self.now);
        }
    }

    fn leave_by_key(&mut self, key: HolderKey) {
        let mut callers = self.callers.iter();
        if let Some(index) = callers.position(|caller| caller.key == key) {
            self.leave(index);
        }
    }

    fn leave(&mut self, index: usize) {
        let caller = self.callers.swap_remove(index);
        self.account.close(caller.key);
        if caller.is_whole {
            self.account.release_body(caller.customer, caller.charged);
        }
        for bytes in caller.answers {
            self.account.release_answer(caller.key, bytes, self.now);
        }
    }

    fn step(&mut self) {
        self.now = MilliTime::from_millis(self.now.as_millis() + STEP_MS);
        if self.rng.random_bool(0.6) {
            self.open();
        }
        for _ in 0..self.callers.len() {
            if self.callers.is_empty() {
                break;
            }
            let index = self.rng.random_range(0..self.callers.len());
            if !self.callers[index].is_whole {
                if !self.receive(index) {
                    self.leave(index);
                }
            } else if self.rng.random_bool(0.5) {
                self.answer(index);
            } else {
                self.take_answer(index);
            }
            self.check();
        }
        if !self.callers.is_empty() && self.rng.random_bool(0.2) {
            let index = self.rng.random_range(0..self.callers.len());
            self.leave(index);
        }
    }

    fn check(&self) {
        let held = self.account.held();
        let lone = self.budget.lone_body_bytes.max(self.budget.body_bytes);
        assert!(held.body_bytes <= lone, "{held:?}");
        assert!(held.answer_bytes <= self.budget.answer_bytes, "{held:?}");
        assert!(held.connections <= CONNECTIONS, "{held:?}");
        let bodies: usize = self.callers.iter().map(|caller| caller.charged).sum();
        assert_eq!(held.body_bytes, bodies);
    }
}

#[test]
fn a_crowd_never_exceeds_the_budget_and_leaves_nothing_behind() {
    for seed in 0..SEEDS {
        let mut replay = CrowdReplay::new(seed);
        for _ in 0..STEPS {
            replay.step();
        }
        while !replay.callers.is_empty() {
            replay.leave(0);
        }
        let held = replay.account.held();
        assert_eq!(held, HeldMemory::default(), "seed {seed}");
    }
}
