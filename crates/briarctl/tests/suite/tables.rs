//! Reading and editing of the tables.

use briarctl::ExitStatus;

use crate::test_harness::{TABLES, TestHarness};

#[tokio::test]
async fn applied_tables_can_be_listed_edited_and_deleted() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    let apply = format!("tables apply -f {file}");
    let lines = [
        format!("tables diff -f {file}"),
        apply.clone(),
        apply,
        "tables list".to_owned(),
        "pools edit pan-model --set skew_bound=1.3 --set limits.max_attempts=2".to_owned(),
        format!("tables diff -f {file}"),
        "pools get pan-model".to_owned(),
        "pools delete pan-model".to_owned(),
        "routes delete chats".to_owned(),
        "routes get chats".to_owned(),
        "pools edit pan-model --set skew_bound=wide".to_owned(),
        "pools list --json".to_owned(),
    ];
    let mut texts = Vec::new();
    for line in lines {
        let output = harness.run(&line).await;
        let shown = line.replace(&file, "tables.jsonc");
        let (out, err, exit) = (output.stdout, output.stderr, output.exit);
        texts.push(format!(
            "$ briarctl {shown}\n{out}{err}exit {}\n",
            exit.code()
        ));
    }
    insta::assert_snapshot!(texts.join("\n"));
}

#[tokio::test]
async fn conflicting_edit_reports_both_versions_and_the_other_editor() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    harness.run(&format!("tables apply -f {file}")).await;
    let row_text = harness.run("pools get pan-model").await.stdout;
    let file = harness.write_file(
        "mine.jsonc",
        &row_text.replace("\"skew_bound\": 1.5", "\"skew_bound\": 2.5"),
    );
    let other_edit = harness
        .run_as("bob", "pools edit pan-model --set skew_bound=1.2")
        .await;
    assert_eq!(
        other_edit.exit,
        ExitStatus::Success,
        "{}",
        other_edit.stderr
    );
    let conflicting_edit = harness.run(&format!("pools apply -f {file}")).await;
    assert_eq!(conflicting_edit.exit, ExitStatus::Outdated);
    let as_json = harness.run(&format!("pools apply --json -f {file}")).await;
    assert_eq!(as_json.exit, ExitStatus::Outdated);
    insta::assert_snapshot!(format!("{}{}", conflicting_edit.stderr, as_json.stderr));
    let outdated_delete = harness.run("pools delete pan-model --expect 1").await;
    assert_eq!(outdated_delete.exit, ExitStatus::Outdated);
}

#[tokio::test]
async fn prune_deletes_only_within_its_table() {
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    harness.run(&format!("tables apply -f {file}")).await;
    let empty = harness.write_file("empty.jsonc", "{}");
    let unpruned = harness.run(&format!("routes diff -f {empty}")).await;
    assert_eq!(unpruned.exit, ExitStatus::Success);
    let pruned = harness
        .run(&format!("routes apply --prune -f {empty}"))
        .await;
    assert_eq!(pruned.exit, ExitStatus::Success, "{}", pruned.stderr);
    let list = harness.run("tables list --json").await;
    let tables: serde_json::Value = serde_json::from_str(&list.stdout).unwrap();
    assert_eq!(tables["routes"].as_array().unwrap().len(), 0);
    assert_eq!(tables["pools"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn invalid_rows_change_nothing() {
    let mut harness = TestHarness::start().await;
    let text = TABLES.replace("\"pool\": \"pan-model\"", "\"pool\": \"pan\"");
    let file = harness.write_file("tables.jsonc", &text);
    let output = harness.run(&format!("tables apply -f {file}")).await;
    assert_eq!(output.exit, ExitStatus::Invalid);
    insta::assert_snapshot!(output.stderr);
    let list = harness.run("tables list").await;
    assert!(list.stdout.starts_with("sequence 0"), "{}", list.stdout);
}
