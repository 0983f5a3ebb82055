//! Edits during failures of the platform.

use briarctl::{CtlError, CtlErrorKind, ExitStatus};
use briarrail_config::{EditId, SubmitError, SubmitErrorKind};
use briarrail_platform::{StoreError, StoreErrorKind};
use briarrail_standin::OutageKind;

use crate::test_harness::{TABLES, TestHarness};

#[tokio::test]
async fn store_outage_reports_the_edit_as_not_accepted() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    harness
        .objects
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Refuse));
    let output = harness.run(&format!("tables apply -f {file}")).await;
    assert_eq!(output.exit, ExitStatus::Unreachable);
    insta::assert_snapshot!(output.stderr);
}

#[tokio::test]
async fn edit_with_a_lost_reply_is_reported_as_accepted() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    harness
        .objects
        .faults()
        .update(|faults| faults.lose_replies_next = 1);
    let output = harness.run(&format!("tables apply -f {file}")).await;
    insta::assert_snapshot!(output.stdout);
    let found = harness
        .run("edits find 00000000-0000-0000-0000-000000000001")
        .await;
    assert_eq!(found.stdout, "accepted as sequence 1\n");
    let other = harness
        .run("edits find 00000000-0000-0000-0000-000000000009")
        .await;
    assert_eq!(other.exit, ExitStatus::NotFound);
    insta::assert_snapshot!(other.stdout);
}

#[tokio::test]
async fn repeated_command_reports_the_earlier_edit() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    harness.run(&format!("tables apply -f {file}")).await;
    let first = harness.run("routes delete chats").await;
    let id = "00000000-0000-0000-0000-000000000002";
    assert_eq!(
        first.stdout,
        format!("accepted as sequence 2 (edit {id})\n")
    );
    let second = harness
        .run(&format!("routes delete chats --edit-id {id}"))
        .await;
    assert_eq!(second, first);
}

#[test]
fn unknown_outcome_hints_how_to_find_out() {
    let lost = StoreError::new(StoreErrorKind::Unknown, "config/head");
    let error = CtlError::from(SubmitError {
        kind: SubmitErrorKind::Unknown(lost),
        id: EditId(uuid::Uuid::from_u128(1)),
    });
    assert_eq!(error.kind, CtlErrorKind::Unknown);
    insta::assert_snapshot!(format!("{error}\n{}", error.to_json()));
}
