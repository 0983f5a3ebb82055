//! Submitting edits against races, lost replies and outages.

use std::sync::Arc;

use briarrail_config::{ConfigEditor, EditErrorKind, EditLookup, SubmitErrorKind};

use crate::fake_store::{FakeStore, Fault};
use crate::table_rows::{put_pool, put_route, request};

fn editor() -> (Arc<FakeStore>, ConfigEditor<FakeStore>) {
    let store = Arc::new(FakeStore::default());
    let editor = ConfigEditor::new(Arc::clone(&store));
    (store, editor)
}

#[tokio::test]
async fn lost_race_names_row_versions_and_editor() {
    let (_, editor) = editor();
    let create = request(1, "ann", vec![put_pool("pan-model", 2.0, 0)]);
    editor.submit(&create).await.unwrap();
    let winner = request(2, "bob", vec![put_pool("pan-model", 1.5, 1)]);
    editor.submit(&winner).await.unwrap();
    let loser = request(3, "ann", vec![put_pool("pan-model", 3.0, 1)]);
    let error = editor.submit(&loser).await.unwrap_err();
    insta::assert_snapshot!(error);
}

#[tokio::test]
async fn refused_edits_say_why() {
    let (store, editor) = editor();
    let mut errors = Vec::new();
    let invalid = vec![put_pool("p", 0.5, 0), put_route("r", "q", 0)];
    let twice = vec![put_pool("p", 2.0, 0), put_pool("p", 3.0, 0)];
    let mut large = put_route("r", "p", 0);
    if let briarrail_config::RowChange::PutRoute { row, .. } = &mut large {
        row.matches.models = vec!["m".repeat(70_000)];
    }
    for changes in [invalid, twice, Vec::new(), vec![large]] {
        let error = editor.submit(&request(1, "ann", changes)).await;
        errors.push(error.unwrap_err().to_string());
    }
    insta::assert_snapshot!(errors.join("\n"));
    assert_eq!(store.keys(), Vec::<String>::new());
}

#[tokio::test]
async fn lost_reply_is_recognised_and_not_applied_twice() {
    for fault in [Fault::LoseReply, Fault::LoseCall] {
        let (store, editor) = editor();
        store.script([fault]);
        let create = request(1, "ann", vec![put_pool("p", 2.0, 0)]);
        let receipt = editor.submit(&create).await.unwrap();
        assert_eq!(receipt.sequence, 1, "{fault:?}");
        assert_eq!(store.heads().len(), 1, "{fault:?}");
        assert_eq!(editor.submit(&create).await.unwrap(), receipt);
        assert_eq!(store.heads().len(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn outage_before_the_write_means_not_accepted() {
    let (store, editor) = editor();
    store.set_down(true);
    let create = request(1, "ann", vec![put_pool("p", 2.0, 0)]);
    let error = editor.submit(&create).await.unwrap_err();
    assert!(
        matches!(error.kind, SubmitErrorKind::Unreadable(_)),
        "{error}"
    );
    store.set_down(false);
    store.script([Fault::Refuse]);
    let error = editor.submit(&create).await.unwrap_err();
    assert!(
        matches!(error.kind, SubmitErrorKind::NotWritten(_)),
        "{error}"
    );
    assert_eq!(store.heads().len(), 0);
}

#[tokio::test]
async fn outage_after_the_write_means_unknown_until_looked_up() {
    let (store, editor) = editor();
    store.script([Fault::Delay; 64]);
    let create = request(1, "ann", vec![put_pool("p", 2.0, 0)]);
    let error = editor.submit(&create).await.unwrap_err();
    insta::assert_snapshot!(error);
    assert_eq!(
        editor.reader().find_edit(create.id).await.unwrap(),
        EditLookup::NotFound { oldest_sequence: 1 }
    );
    store.calm();
    let found = editor.reader().find_edit(create.id).await.unwrap();
    assert!(matches!(found, EditLookup::Accepted(receipt) if receipt.sequence == 1));
    assert_eq!(store.heads().len(), 1);
}

#[tokio::test]
async fn race_for_other_rows_is_tried_again() {
    let store = Arc::new(FakeStore::with_chaos(7, 0));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 1..=5_u128 {
        let editor = ConfigEditor::new(Arc::clone(&store));
        let create = request(number, "ann", vec![put_pool(&format!("p{number}"), 2.0, 0)]);
        tasks.spawn(async move { editor.submit(&create).await });
    }
    for result in tasks.join_all().await {
        result.unwrap();
    }
    let snapshot = ConfigEditor::new(store).reader().snapshot().await.unwrap();
    assert_eq!((snapshot.sequence, snapshot.tables.pools.len()), (5, 5));
}

#[tokio::test]
async fn second_of_two_racing_changes_of_a_row_is_outdated() {
    let store = Arc::new(FakeStore::with_chaos(3, 0));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 1..=4_u128 {
        let editor = ConfigEditor::new(Arc::clone(&store));
        let create = request(number, "ann", vec![put_pool("p", 2.0, 0)]);
        tasks.spawn(async move { editor.submit(&create).await });
    }
    let results = tasks.join_all().await;
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    for error in results.into_iter().filter_map(Result::err) {
        let SubmitErrorKind::Refused(EditErrorKind::Outdated { current, .. }) = error.kind else {
            panic!("{error}");
        };
        assert_eq!(current.version, 1);
    }
}
