//! Tests of retry budgets.

use briarrail_model::CallSemantics;
use briarrail_policy::RetryBudget;

#[test]
fn retries_are_limited_to_a_percentage_of_calls() {
    let mut budget = RetryBudget::new(10, 5);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_call();
        while budget.try_retry(CallSemantics::Idempotent) {
            retries += 1;
        }
    }
    assert!((100..=105).contains(&retries), "{retries} retries");
}

#[test]
fn at_most_once_calls_are_never_retried() {
    let mut budget = RetryBudget::new(100, 10);
    budget.record_call();
    assert!(!budget.try_retry(CallSemantics::AtMostOnce));
    assert!(budget.try_retry(CallSemantics::Idempotent));
}
