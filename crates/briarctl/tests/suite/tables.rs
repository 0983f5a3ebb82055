//! Editing the tables.

use briarctl::ExitStatus;

use crate::site::{TABLES, TestSite};

#[tokio::test]
async fn applied_tables_can_be_listed_edited_and_deleted() {
    let mut site = TestSite::start().await;
    let file = site.file("tables.jsonc", TABLES);
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
        let output = site.run(&line).await;
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
async fn lost_edit_race_names_both_versions_and_the_winner() {
    let mut site = TestSite::start().await;
    let file = site.file("tables.jsonc", TABLES);
    site.run(&format!("tables apply -f {file}")).await;
    let seen = site.run("pools get pan-model").await.stdout;
    let file = site.file(
        "mine.jsonc",
        &seen.replace("\"skew_bound\": 1.5", "\"skew_bound\": 2.5"),
    );
    let winner = site
        .run_as("bob", "pools edit pan-model --set skew_bound=1.2")
        .await;
    assert_eq!(winner.exit, ExitStatus::Done, "{}", winner.stderr);
    let loser = site.run(&format!("pools apply -f {file}")).await;
    assert_eq!(loser.exit, ExitStatus::Outdated);
    let as_json = site.run(&format!("pools apply --json -f {file}")).await;
    assert_eq!(as_json.exit, ExitStatus::Outdated);
    insta::assert_snapshot!(format!("{}{}", loser.stderr, as_json.stderr));
    let expecting = site.run("pools delete pan-model --expect 1").await;
    assert_eq!(expecting.exit, ExitStatus::Outdated);
}

#[tokio::test]
async fn prune_deletes_only_within_its_table() {
    let mut site = TestSite::start().await;
    let file = site.file("tables.jsonc", TABLES);
    site.run(&format!("tables apply -f {file}")).await;
    let empty = site.file("empty.jsonc", "{}");
    let kept = site.run(&format!("routes diff -f {empty}")).await;
    assert_eq!(kept.exit, ExitStatus::Done);
    let pruned = site.run(&format!("routes apply --prune -f {empty}")).await;
    assert_eq!(pruned.exit, ExitStatus::Done, "{}", pruned.stderr);
    let list = site.run("tables list --json").await;
    let tables: serde_json::Value = serde_json::from_str(&list.stdout).unwrap();
    assert_eq!(tables["routes"].as_array().unwrap().len(), 0);
    assert_eq!(tables["pools"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn invalid_rows_change_nothing() {
    let mut site = TestSite::start().await;
    let text = TABLES.replace("\"pool\": \"pan-model\"", "\"pool\": \"pan\"");
    let file = site.file("tables.jsonc", &text);
    let output = site.run(&format!("tables apply -f {file}")).await;
    assert_eq!(output.exit, ExitStatus::Invalid);
    insta::assert_snapshot!(output.stderr);
    let list = site.run("tables list").await;
    assert!(list.stdout.starts_with("sequence 0"), "{}", list.stdout);
}
