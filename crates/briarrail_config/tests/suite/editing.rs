//! Submitting edits under conflicts, lost replies and outages.

use std::sync::Arc;

use briarrail_config::{ConfigEditor, EditErrorKind, EditLookup, SubmitErrorKind};

use crate::faulty_store::{Fault, FaultyStore};
use crate::row_fixtures::{edit_request, put_pool, put_route};

fn editor() -> (Arc<FaultyStore>, ConfigEditor<FaultyStore>) {
    let store = Arc::new(FaultyStore::default());
    let editor = ConfigEditor::new(Arc::clone(&store));
    (store, editor)
}

#[tokio::test]
async fn outdated_edit_error_names_row_versions_and_editor() {
    let (_, editor) = editor();
    let create = edit_request(1, "ann", vec![put_pool("pan-model", 2.0, 0)]);
    editor.submit(&create).await.unwrap();
    let first = edit_request(2, "bob", vec![put_pool("pan-model", 1.5, 1)]);
    editor.submit(&first).await.unwrap();
    let outdated = edit_request(3, "ann", vec![put_pool("pan-model", 3.0, 1)]);
    let error = editor.submit(&outdated).await.unwrap_err();
    insta::assert_snapshot!(error);
}

#[tokio::test]
async fn rejected_edits_give_the_reason() {
    let (store, editor) = editor();
    let mut errors = Vec::new();
    let invalid = vec![put_pool("p", 0.5, 0), put_route("r", "q", 0)];
    let duplicate = vec![put_pool("p", 2.0, 0), put_pool("p", 3.0, 0)];
    let mut large = put_route("r", "p", 0);
    if let briarrail_config::RowChange::PutRoute { row, .. } = &mut large {
        row.conditions.models = vec!["m".repeat(70_000)];
    }
    for changes in [invalid, duplicate, Vec::new(), vec![large]] {
        let result = editor.submit(&edit_request(1, "ann", changes)).await;
        errors.push(result.unwrap_err().to_string());
    }
    insta::assert_snapshot!(errors.join("\n"));
    assert_eq!(store.keys(), Vec::<String>::new());
}

#[tokio::test]
async fn edit_is_applied_once_after_a_lost_request_or_reply() {
    for fault in [Fault::LoseReply, Fault::LoseRequest] {
        let (store, editor) = editor();
        store.queue_faults([fault]);
        let create = edit_request(1, "ann", vec![put_pool("p", 2.0, 0)]);
        let receipt = editor.submit(&create).await.unwrap();
        assert_eq!(receipt.sequence, 1, "{fault:?}");
        assert_eq!(store.heads().len(), 1, "{fault:?}");
        assert_eq!(editor.submit(&create).await.unwrap(), receipt);
        assert_eq!(store.heads().len(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn outage_before_the_head_write_means_not_accepted() {
    let (store, editor) = editor();
    store.set_down(true);
    let create = edit_request(1, "ann", vec![put_pool("p", 2.0, 0)]);
    let error = editor.submit(&create).await.unwrap_err();
    assert!(
        matches!(error.kind, SubmitErrorKind::Unreadable(_)),
        "{error}"
    );
    store.set_down(false);
    store.queue_faults([Fault::Refuse]);
    let error = editor.submit(&create).await.unwrap_err();
    assert!(
        matches!(error.kind, SubmitErrorKind::NotWritten(_)),
        "{error}"
    );
    assert_eq!(store.heads().len(), 0);
}

#[tokio::test]
async fn lost_replies_mean_unknown_until_looked_up() {
    let (store, editor) = editor();
    store.queue_faults([Fault::DelayWrite; 64]);
    let create = edit_request(1, "ann", vec![put_pool("p", 2.0, 0)]);
    let error = editor.submit(&create).await.unwrap_err();
    insta::assert_snapshot!(error);
    assert_eq!(
        editor.reader().find_edit(create.id).await.unwrap(),
        EditLookup::NotFound { oldest_sequence: 1 }
    );
    store.end_faults();
    let found = editor.reader().find_edit(create.id).await.unwrap();
    assert!(matches!(found, EditLookup::Accepted(receipt) if receipt.sequence == 1));
    assert_eq!(store.heads().len(), 1);
}

#[tokio::test]
async fn edits_that_conflict_on_other_rows_are_retried() {
    let store = Arc::new(FaultyStore::with_random_faults(7, 0));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 1..=5_u128 {
        let editor = ConfigEditor::new(Arc::clone(&store));
        let create = edit_request(number, "ann", vec![put_pool(&format!("p{number}"), 2.0, 0)]);
        tasks.spawn(async move { editor.submit(&create).await });
    }
    for result in tasks.join_all().await {
        result.unwrap();
    }
    let snapshot = ConfigEditor::new(store).reader().snapshot().await.unwrap();
    assert_eq!((snapshot.sequence, snapshot.tables.pools.len()), (5, 5));
}

#[tokio::test]
async fn concurrent_edits_of_one_row_accept_one_and_reject_the_others() {
    let store = Arc::new(FaultyStore::with_random_faults(3, 0));
    let mut tasks = tokio::task::JoinSet::new();
    for number in 1..=4_u128 {
        let editor = ConfigEditor::new(Arc::clone(&store));
        let create = edit_request(number, "ann", vec![put_pool("p", 2.0, 0)]);
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
