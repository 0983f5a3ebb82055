//! The checks at the end of a world.

use briarrail_model::{MilliDuration, MilliTime};
use briarrail_outcome::{AttemptEvent, RequestOutcome};

use super::ClaimWorld;
use crate::claims::fake_router::{FakeRouter, claim_wait, small_settings};
use crate::claims::fake_store::CallFate;

const MAX_SETTLE_STEPS: usize = 20_000;

impl ClaimWorld {
    /// Ends all faults, lets everything finish, and retries every key.
    pub(crate) fn heal_and_check(&mut self) {
        self.store.is_down = false;
        for router in &mut self.routers {
            router.is_paused = false;
            router.own_all();
        }
        self.settle();
        for (key, made_at) in self.keys.clone() {
            self.check_retry(&key, made_at);
        }
    }

    fn check_retry(&mut self, key: &str, made_at: MilliTime) {
        let is_timeless = key.contains("order-");
        let kept_until = made_at + small_settings().retention_ms;
        let is_kept =
            is_timeless || self.now + claim_wait() + claim_wait() + claim_wait() < kept_until;
        let is_due = is_kept && self.oracle.recorded_answer(key, 1).is_some();
        let call = self.call(0, key.to_owned(), 1);
        self.settle();
        let told = self.oracle.outcome(call);
        assert_ne!(told, None, "{key} has no outcome");
        if is_due {
            let answered = Some(RequestOutcome::Answered);
            assert_eq!(told, answered, "the recorded answer of {key} is lost");
        }
    }

    fn settle(&mut self) {
        for _ in 0..MAX_SETTLE_STEPS {
            while !self.store_calls.is_empty() {
                self.finish_store_call(0, CallFate::Good);
            }
            while !self.letters.is_empty() {
                let envelope = self.letters.remove(0);
                self.open(envelope);
            }
            for (router, call) in self.sent_calls() {
                let answer = self.oracle.note_run(call);
                self.take_attempt(router, call, AttemptEvent::Completed, Some(answer));
            }
            if self.is_quiet() {
                return;
            }
            self.advance(MilliDuration::from_millis(20));
        }
        let held = self
            .routers
            .iter()
            .map(|router| (router.owner.pending(), router.reports.len()));
        panic!(
            "the world does not come to rest: {:?}",
            held.collect::<Vec<_>>()
        );
    }

    fn is_quiet(&self) -> bool {
        let mut routers = self.routers.iter();
        let is_quiet = |router: &FakeRouter| {
            let mut entries = router.entries.keys();
            let all_told = entries.all(|&call| self.oracle.outcome(call).is_some());
            router.owner.is_idle() && router.reports.is_empty() && all_told
        };
        self.letters.is_empty() && self.store_calls.is_empty() && routers.all(is_quiet)
    }
}
