//! Comparison of the outcomes that callers got with the runs in the ledger.

use std::collections::BTreeMap;

use briarload::{CallOutcome, TicketReport};
use briarrail_standin::LedgerEntry;

/// Returns a description of each key whose outcomes contradict the ledger.
///
/// - No key runs more than once.
/// - A key whose attempts all failed as not run or unreachable has no run.
/// - A key with an answered attempt has exactly one run.
/// - No attempt gets a wrong answer.
pub(crate) fn outcome_violations(
    reports: &[TicketReport],
    ledger: &BTreeMap<String, LedgerEntry>,
) -> Vec<String> {
    let mut outcomes_by_key: BTreeMap<&str, Vec<CallOutcome>> = BTreeMap::new();
    for (key, outcomes) in reports.iter().flat_map(|report| &report.outcomes) {
        outcomes_by_key.entry(key).or_default().extend(outcomes);
    }
    let mut violations = Vec::new();
    for (key, outcomes) in outcomes_by_key {
        let runs = ledger.get(key).map_or(0, |entry| entry.runs);
        let is_not_run = |outcome: &CallOutcome| {
            matches!(outcome, CallOutcome::NotRun | CallOutcome::Unreachable)
        };
        let is_consistent = runs <= 1
            && (runs == 0 || !outcomes.iter().all(is_not_run))
            && (runs == 1 || !outcomes.contains(&CallOutcome::Answered))
            && !outcomes.contains(&CallOutcome::Wrong);
        if !is_consistent {
            violations.push(format!("{key}: {runs} runs, outcomes {outcomes:?}"));
        }
    }
    violations
}
