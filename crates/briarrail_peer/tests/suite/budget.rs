//! Byte budget.

use briarrail_model::MilliTime;
use briarrail_peer::ByteBudget;

#[test]
fn nothing_is_available_while_the_balance_is_negative() {
    let at = MilliTime::from_millis;
    let mut budget = ByteBudget::new(at(0), 1_000, 2_000);
    assert_eq!(budget.available(at(0)), 2_000);
    budget.charge(5_000);
    assert_eq!(budget.available(at(2_900)), 0);
    assert_eq!(budget.available(at(3_500)), 500);
    assert_eq!(budget.available(at(60_000)), 2_000);
}
