//! Checks at the end of a simulation.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, RequestOutcome};

use super::ClaimSimulation;
use crate::claims::fake_router::{FakeRouter, claim_wait, small_settings};
use crate::claims::fake_store::CallOutcome;

const MAX_RECOVERY_STEPS: usize = 20_000;

impl ClaimSimulation {
    /// Ends all faults, runs until idle, and checks a retry of every key.
    pub(crate) fn recover_and_check(&mut self) {
        self.store.is_down = false;
        for router in &mut self.routers {
            router.is_paused = false;
            router.own_all_buckets();
        }
        self.run_until_idle();
        for (key, created_at) in self.keys.clone() {
            self.check_retry(&key, created_at);
        }
    }

    fn check_retry(&mut self, key: &str, created_at: MilliTime) {
        let is_timeless = key.contains("order-");
        let kept_until = created_at + small_settings().retention_ms;
        let is_kept =
            is_timeless || self.now + claim_wait() + claim_wait() + claim_wait() < kept_until;
        let must_be_answered = is_kept && self.oracle.stored_answer(key, 1).is_some();
        let call = self.call(0, key.to_owned(), 1);
        self.run_until_idle();
        let outcome = self.oracle.outcome(call);
        assert_ne!(outcome, None, "{key} has no outcome");
        if must_be_answered {
            let answered = Some(RequestOutcome::Answered);
            assert_eq!(outcome, answered, "the stored answer of {key} is lost");
        }
    }

    fn run_until_idle(&mut self) {
        for _ in 0..MAX_RECOVERY_STEPS {
            while !self.store_calls.is_empty() {
                self.finish_store_call(0, CallOutcome::Success);
            }
            while !self.messages.is_empty() {
                let queued = self.messages.remove(0);
                self.handle_message(queued);
            }
            for (router, call) in self.sent_calls() {
                let answer = self.oracle.record_run(call);
                self.handle_attempt_event(router, call, AttemptEvent::Completed, Some(answer));
            }
            if self.is_idle() {
                return;
            }
            self.advance(MilliDuration::from_millis(20));
        }
        let pending = self
            .routers
            .iter()
            .map(|router| (router.coordinator.pending(), router.reports.len()));
        panic!(
            "simulation did not become idle; pending messages and reports per router: {:?}",
            pending.collect::<Vec<_>>()
        );
    }

    fn is_idle(&self) -> bool {
        let mut routers = self.routers.iter();
        let is_idle = |router: &FakeRouter| {
            let mut entries = router.entries.keys();
            let all_have_outcomes = entries.all(|&call| self.oracle.outcome(call).is_some());
            router.coordinator.is_idle() && router.reports.is_empty() && all_have_outcomes
        };
        self.messages.is_empty() && self.store_calls.is_empty() && routers.all(is_idle)
    }
}
