//! What callers were told, against what was run.

use std::collections::BTreeMap;

use briarload::{CallOutcome, TicketReport};
use briarrail_standin::LedgerEntry;

/// Checks the outcomes of every key against the ledger, and returns what broke the promise.
///
/// No key runs twice; a key whose calls were all told to be not run did not run; a key that was
/// answered ran once; no answer was wrong.
pub(crate) fn audit_tickets(
    reports: &[TicketReport],
    ledger: &BTreeMap<String, LedgerEntry>,
) -> Vec<String> {
    let mut outcomes: BTreeMap<&str, Vec<CallOutcome>> = BTreeMap::new();
    for (key, told) in reports.iter().flat_map(|report| &report.outcomes) {
        outcomes.entry(key).or_default().extend(told);
    }
    let mut breaches = Vec::new();
    for (key, told) in outcomes {
        let runs = ledger.get(key).map_or(0, |entry| entry.runs);
        let is_not_run = |outcome: &CallOutcome| {
            matches!(outcome, CallOutcome::NotRun | CallOutcome::Unreachable)
        };
        let is_kept = runs <= 1
            && (runs == 0 || !told.iter().all(is_not_run))
            && (runs == 1 || !told.contains(&CallOutcome::Answered))
            && !told.contains(&CallOutcome::Wrong);
        if !is_kept {
            breaches.push(format!("{key}: {runs} runs, told {told:?}"));
        }
    }
    breaches
}
