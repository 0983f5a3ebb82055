//! The oracle: it knows every send and every run at the target.

use std::collections::BTreeMap;

use briarrail_outcome::RequestOutcome;
use bytes::Bytes;

/// Identifies a call of a caller; it is the attempt id as well.
pub(crate) type CallId = u128;

#[derive(Debug, Default)]
struct CallFacts {
    key: String,
    body: u64,
    runs: u32,
    outcome: Option<RequestOutcome>,
}

#[derive(Debug, Default)]
struct KeyFacts {
    runs: u32,
    /// Sends without proof that they did not run.
    open_sends: u32,
    last_fencing: u64,
    answer: Option<Bytes>,
    /// Body of the call that was answered.
    body: u64,
    /// Whether an owner said that the answer is recorded.
    is_recorded: bool,
}

/// Knows every send and every run at the target, and what each caller was told.
#[derive(Debug, Default)]
pub(crate) struct ClaimOracle {
    calls: BTreeMap<CallId, CallFacts>,
    keys: BTreeMap<String, KeyFacts>,
    pub(crate) told: BTreeMap<String, u64>,
}

impl ClaimOracle {
    pub(crate) fn note_call(&mut self, call: CallId, key: &str, body: u64) {
        let facts = self.calls.entry(call).or_default();
        facts.key = key.to_owned();
        facts.body = body;
    }

    /// A grant is acted upon: no other send of the key may be open.
    pub(crate) fn note_send(&mut self, call: CallId, fencing: u64) {
        let facts = &self.calls[&call];
        assert_eq!(facts.outcome, None, "sent after the caller was told");
        let key = self.keys.entry(facts.key.clone()).or_default();
        key.open_sends += 1;
        assert_eq!(key.open_sends, 1, "two grants of {}", facts.key);
        assert!(fencing > key.last_fencing, "fencing fell at {}", facts.key);
        key.last_fencing = fencing;
    }

    /// The target runs the call; returns its answer.
    pub(crate) fn note_run(&mut self, call: CallId) -> Bytes {
        let facts = self.calls.get_mut(&call).unwrap();
        facts.runs += 1;
        let outcome = facts.outcome;
        let is_not_run = matches!(outcome, Some(RequestOutcome::NotRun(_)));
        assert!(!is_not_run, "run after the caller was told not run");
        let key = self.keys.entry(facts.key.clone()).or_default();
        key.runs += 1;
        assert_eq!(key.runs, 1, "{} ran twice", facts.key);
        let answer = Bytes::from(format!("answer to {call}"));
        key.answer = Some(answer.clone());
        key.body = facts.body;
        answer
    }

    /// It is proved that a sent call was not run.
    pub(crate) fn note_proof(&mut self, call: CallId) {
        let facts = &self.calls[&call];
        self.keys.get_mut(&facts.key).unwrap().open_sends -= 1;
    }

    /// A caller is told the outcome of its call.
    pub(crate) fn note_outcome(&mut self, call: CallId, outcome: RequestOutcome) {
        *self.told.entry(format!("{outcome:?}")).or_default() += 1;
        let facts = self.calls.get_mut(&call).unwrap();
        assert_eq!(facts.outcome, None, "told twice");
        facts.outcome = Some(outcome);
        if matches!(outcome, RequestOutcome::NotRun(_)) {
            assert_eq!(facts.runs, 0, "told not run, but run");
        }
    }

    /// A caller gets an answer, of its own call or repeated.
    pub(crate) fn note_answer(&mut self, call: CallId, answer: &Bytes) {
        self.note_outcome(call, RequestOutcome::Answered);
        let facts = &self.calls[&call];
        let key = &self.keys[&facts.key];
        assert_eq!(Some(answer), key.answer.as_ref(), "a wrong answer");
        assert_eq!(facts.body, key.body, "an answer to another request");
    }

    /// An owner says that the answer of a call is durable.
    pub(crate) fn note_recorded(&mut self, call: CallId) {
        let key = self.keys.get_mut(&self.calls[&call].key).unwrap();
        key.is_recorded = true;
    }

    /// Returns the recorded answer that a retry with a body must get.
    pub(crate) fn recorded_answer(&self, key: &str, body: u64) -> Option<&Bytes> {
        let is_due = |facts: &&KeyFacts| facts.is_recorded && facts.body == body;
        let facts = self.keys.get(key).filter(is_due)?;
        facts.answer.as_ref()
    }

    /// Returns what the caller of a call was told.
    pub(crate) fn outcome(&self, call: CallId) -> Option<RequestOutcome> {
        self.calls[&call].outcome
    }
}
