//! Test oracle that records every send and every run at the target.

use std::collections::BTreeMap;

use briarrail_outcome::RequestOutcome;
use bytes::Bytes;

/// Identifies a call of a caller; also used as its attempt id.
pub(crate) type CallId = u128;

#[derive(Debug, Default)]
struct CallRecord {
    key: String,
    body: u64,
    runs: u32,
    outcome: Option<RequestOutcome>,
}

#[derive(Debug, Default)]
struct KeyRecord {
    runs: u32,
    /// Sends that aren't proved not to have run.
    unresolved_sends: u32,
    last_fencing: u64,
    answer: Option<Bytes>,
    /// Body of the call that was answered.
    body: u64,
    /// Whether an owner has acknowledged that the answer is stored.
    is_answer_stored: bool,
}

/// Records every send, every run at the target and the outcome that each caller got.
///
/// Panics if a guarantee of the claims is violated.
#[derive(Debug, Default)]
pub(crate) struct ClaimOracle {
    calls: BTreeMap<CallId, CallRecord>,
    keys: BTreeMap<String, KeyRecord>,
    pub(crate) outcome_counts: BTreeMap<String, u64>,
}

impl ClaimOracle {
    pub(crate) fn record_call(&mut self, call: CallId, key: &str, body: u64) {
        let record = self.calls.entry(call).or_default();
        record.key = key.to_owned();
        record.body = body;
    }

    /// Records that a granted call was sent; no other send of its key may be unresolved.
    pub(crate) fn record_send(&mut self, call: CallId, fencing: u64) {
        let record = &self.calls[&call];
        assert_eq!(
            record.outcome, None,
            "call was sent after its caller got an outcome"
        );
        let key = self.keys.entry(record.key.clone()).or_default();
        key.unresolved_sends += 1;
        assert_eq!(key.unresolved_sends, 1, "{} was granted twice", record.key);
        assert!(
            fencing > key.last_fencing,
            "fencing number of {} did not increase",
            record.key
        );
        key.last_fencing = fencing;
    }

    /// Records that the target ran the call; returns its answer.
    pub(crate) fn record_run(&mut self, call: CallId) -> Bytes {
        let record = self.calls.get_mut(&call).unwrap();
        record.runs += 1;
        let outcome = record.outcome;
        let is_not_run = matches!(outcome, Some(RequestOutcome::NotRun(_)));
        assert!(!is_not_run, "call ran after its caller got `NotRun`");
        let key = self.keys.entry(record.key.clone()).or_default();
        key.runs += 1;
        assert_eq!(key.runs, 1, "{} ran twice", record.key);
        let answer = Bytes::from(format!("answer to {call}"));
        key.answer = Some(answer.clone());
        key.body = record.body;
        answer
    }

    /// Records proof that a sent call did not run.
    pub(crate) fn record_not_run(&mut self, call: CallId) {
        let record = &self.calls[&call];
        self.keys.get_mut(&record.key).unwrap().unresolved_sends -= 1;
    }

    /// Records the outcome that a caller got.
    pub(crate) fn record_outcome(&mut self, call: CallId, outcome: RequestOutcome) {
        *self
            .outcome_counts
            .entry(format!("{outcome:?}"))
            .or_default() += 1;
        let record = self.calls.get_mut(&call).unwrap();
        assert_eq!(record.outcome, None, "caller got two outcomes");
        record.outcome = Some(outcome);
        if matches!(outcome, RequestOutcome::NotRun(_)) {
            assert_eq!(record.runs, 0, "caller got `NotRun` for a call that ran");
        }
    }

    /// Records that a caller got an answer, either of its own call or of an earlier one.
    pub(crate) fn record_answer(&mut self, call: CallId, answer: &Bytes) {
        self.record_outcome(call, RequestOutcome::Answered);
        let record = &self.calls[&call];
        let key = &self.keys[&record.key];
        assert_eq!(
            Some(answer),
            key.answer.as_ref(),
            "caller got a wrong answer"
        );
        assert_eq!(
            record.body, key.body,
            "caller got the answer to another body"
        );
    }

    /// Records that an owner acknowledged the answer of a call as stored.
    pub(crate) fn record_stored_answer(&mut self, call: CallId) {
        let key = self.keys.get_mut(&self.calls[&call].key).unwrap();
        key.is_answer_stored = true;
    }

    /// Returns the stored answer that a retry with this body must get.
    pub(crate) fn stored_answer(&self, key: &str, body: u64) -> Option<&Bytes> {
        let is_due = |record: &&KeyRecord| record.is_answer_stored && record.body == body;
        let record = self.keys.get(key).filter(is_due)?;
        record.answer.as_ref()
    }

    /// Returns the outcome that the caller of a call got.
    pub(crate) fn outcome(&self, call: CallId) -> Option<RequestOutcome> {
        self.calls[&call].outcome
    }
}
