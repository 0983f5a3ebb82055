//! The object API: conditions, watches, and faults of the platform.

use std::time::Duration;

use briarrail_platform::{
    HttpStore, MAX_VALUE_BYTES, ObjectStore, ObjectVersion, StoreErrorKind, WriteCondition,
};
use briarrail_standin::{ObjectSettings, ObjectStandin, OutageKind, StandinHandle, start_objects};
use bytes::Bytes;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_WATCH: Duration = Duration::from_millis(20);

async fn start() -> (StandinHandle<ObjectStandin>, HttpStore) {
    let standin = start_objects("127.0.0.1:0", ObjectSettings::default());
    let standin = standin.await.expect("a free port");
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let store = HttpStore::new(client, &standin.base_url(), CALL_TIMEOUT);
    (standin, store)
}

async fn put(store: &HttpStore, key: &str, value: &'static str) -> ObjectVersion {
    let value = Bytes::from_static(value.as_bytes());
    let written = store.put(key, value, WriteCondition::Always).await;
    written.expect("the store is up")
}

#[tokio::test]
async fn objects_are_read_as_written_and_versions_rise() {
    let (_standin, store) = start().await;
    let first = put(&store, "config/head of all", "one").await;
    let second = put(&store, "config/head of all", "two").await;
    assert!(second > first);
    let object = store
        .get("config/head of all")
        .await
        .expect("up")
        .expect("written");
    assert_eq!((object.version, &object.value[..]), (second, &b"two"[..]));
    assert_eq!(store.get("config/other").await.expect("up"), None);
}

#[tokio::test]
async fn a_write_whose_condition_does_not_hold_has_no_effect() {
    let (standin, store) = start().await;
    let first = put(&store, "head", "one").await;
    let second = put(&store, "head", "two").await;
    let stale = WriteCondition::Version(first);
    let error = store
        .put("head", "three".into(), stale)
        .await
        .expect_err("stale");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let absent = WriteCondition::Absent;
    let error = store
        .put("head", "three".into(), absent)
        .await
        .expect_err("there is one");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let error = store
        .put("none", "three".into(), stale)
        .await
        .expect_err("there is none");
    assert_eq!(error.kind, StoreErrorKind::Conflict(None));
    let error = store.delete("head", stale).await.expect_err("stale");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let object = store.get("head").await.expect("up").expect("written");
    assert_eq!(&object.value[..], b"two");
    assert_eq!(
        (standin.counts().writes, standin.counts().conflicts),
        (6, 4)
    );
}

#[tokio::test]
async fn a_value_over_the_limit_is_refused() {
    let (_standin, store) = start().await;
    let largest = Bytes::from(vec![0; MAX_VALUE_BYTES]);
    store
        .put("k", largest, WriteCondition::Always)
        .await
        .expect("at the limit");
    let larger = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);
    let error = store
        .put("k", larger, WriteCondition::Always)
        .await
        .expect_err("over");
    assert_eq!(error.kind, StoreErrorKind::Invalid);
}

#[tokio::test]
async fn a_list_holds_the_keys_below_a_prefix() {
    let (_standin, store) = start().await;
    put(&store, "a/1", "x").await;
    put(&store, "a/2", "x").await;
    put(&store, "b/1", "x").await;
    store
        .delete("a/1", WriteCondition::Always)
        .await
        .expect("up");
    let listing = store.list("a/").await.expect("up");
    let keys: Vec<&str> = listing
        .objects
        .iter()
        .map(|object| &object.key[..])
        .collect();
    assert_eq!((keys, listing.revision), (vec!["a/2"], ObjectVersion(4)));
}

#[tokio::test]
async fn a_watch_returns_changes_and_deletions_in_order() {
    let (_standin, store) = start().await;
    put(&store, "a/1", "x").await;
    let after = put(&store, "a/2", "x").await;
    let idle = store.watch("a/", after, SHORT_WATCH).await.expect("up");
    assert_eq!((idle.revision, idle.events.len()), (after, 0));
    let change = async {
        put(&store, "b/1", "x").await;
        store
            .delete("a/1", WriteCondition::Always)
            .await
            .expect("up");
    };
    let (batch, ()) = tokio::join!(store.watch("a/", after, CALL_TIMEOUT), change);
    let event = &batch.expect("up").events[0];
    assert_eq!(
        (&event.key[..], event.version, event.deleted),
        ("a/1", ObjectVersion(4), true)
    );
}

#[tokio::test]
async fn a_lost_reply_is_unknown_and_the_write_took_effect() {
    let (standin, store) = start().await;
    standin
        .faults()
        .update(|faults| faults.lose_replies_next = 1);
    let error = store
        .put("head", "one".into(), WriteCondition::Absent)
        .await;
    assert_eq!(error.expect_err("lost").kind, StoreErrorKind::Unknown);
    let object = store.get("head").await.expect("up").expect("written");
    assert_eq!(&object.value[..], b"one");
    assert_eq!(standin.counts().lost_replies, 1);
}

#[tokio::test]
async fn an_outage_is_told_apart_from_a_lost_reply() {
    let (standin, store) = start().await;
    standin
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Refuse));
    let error = store.get("head").await.expect_err("outage");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
    standin
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Close));
    let error = store
        .put("head", "one".into(), WriteCondition::Always)
        .await;
    assert_eq!(error.expect_err("outage").kind, StoreErrorKind::Unknown);
    standin.faults().update(|faults| faults.outage = None);
    assert_eq!(store.get("head").await.expect("up"), None);
}

#[tokio::test]
async fn an_outage_ends_a_waiting_watch() {
    let (standin, store) = start().await;
    let begin = async {
        while standin.counts().watches == 0 {
            tokio::task::yield_now().await;
        }
        standin
            .faults()
            .update(|faults| faults.outage = Some(OutageKind::Refuse));
    };
    let watch = store.watch("a/", ObjectVersion(0), CALL_TIMEOUT);
    let (batch, ()) = tokio::join!(watch, begin);
    assert_eq!(batch.expect_err("outage").kind, StoreErrorKind::Unavailable);
}

#[tokio::test]
async fn a_call_over_the_rate_is_refused() {
    let (standin, store) = start().await;
    standin
        .faults()
        .update(|faults| faults.calls_per_s = Some(0));
    let error = store.get("head").await.expect_err("over the rate");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}

#[tokio::test]
async fn a_stopped_api_is_unavailable() {
    let (mut standin, store) = start().await;
    standin.stop();
    standin.stopped().await;
    let error = store.get("head").await.expect_err("stopped");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}
