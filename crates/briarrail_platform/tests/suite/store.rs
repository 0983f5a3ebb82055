//! The object API: conditional writes, listings, watches, and platform faults.

use std::time::Duration;

use briarrail_platform::{
    HttpStore, MAX_VALUE_BYTES, ObjectStore, ObjectVersion, StoreErrorKind, WriteCondition,
};
use briarrail_standin::{
    ObjectApiSettings, ObjectApiStandin, OutageKind, StandinHandle, start_object_api,
};
use bytes::Bytes;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_WATCH_TIMEOUT: Duration = Duration::from_millis(20);

async fn start_store() -> (StandinHandle<ObjectApiStandin>, HttpStore) {
    let standin = start_object_api("127.0.0.1:0", ObjectApiSettings::default());
    let standin = standin.await.expect("bind to a free port");
    let client = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("HTTP client");
    let store = HttpStore::new(client, &standin.base_url(), CALL_TIMEOUT);
    (standin, store)
}

async fn put_always(store: &HttpStore, key: &str, value: &'static str) -> ObjectVersion {
    let value = Bytes::from_static(value.as_bytes());
    let written = store.put(key, value, WriteCondition::Always).await;
    written.expect("the store is available")
}

#[tokio::test]
async fn reads_return_the_last_write_and_versions_increase() {
    let (_standin, store) = start_store().await;
    let first = put_always(&store, "config/head of all", "one").await;
    let second = put_always(&store, "config/head of all", "two").await;
    assert!(second > first);
    let object = store
        .get("config/head of all")
        .await
        .expect("the store is available")
        .expect("the object exists");
    assert_eq!((object.version, &object.value[..]), (second, &b"two"[..]));
    assert_eq!(
        store
            .get("config/other")
            .await
            .expect("the store is available"),
        None
    );
}

#[tokio::test]
async fn write_with_a_failed_condition_has_no_effect() {
    let (standin, store) = start_store().await;
    let first = put_always(&store, "head", "one").await;
    let second = put_always(&store, "head", "two").await;
    let stale = WriteCondition::Version(first);
    let error = store
        .put("head", "three".into(), stale)
        .await
        .expect_err("the version is stale");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let absent = WriteCondition::Absent;
    let error = store
        .put("head", "three".into(), absent)
        .await
        .expect_err("the object exists");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let error = store
        .put("none", "three".into(), stale)
        .await
        .expect_err("the object does not exist");
    assert_eq!(error.kind, StoreErrorKind::Conflict(None));
    let error = store
        .delete("head", stale)
        .await
        .expect_err("the version is stale");
    assert_eq!(error.kind, StoreErrorKind::Conflict(Some(second)));
    let object = store
        .get("head")
        .await
        .expect("the store is available")
        .expect("the object exists");
    assert_eq!(&object.value[..], b"two");
    assert_eq!(
        (standin.counts().writes, standin.counts().conflicts),
        (6, 4)
    );
}

#[tokio::test]
async fn value_over_the_size_limit_is_rejected() {
    let (_standin, store) = start_store().await;
    let largest = Bytes::from(vec![0; MAX_VALUE_BYTES]);
    store
        .put("k", largest, WriteCondition::Always)
        .await
        .expect("the value is at the limit");
    let larger = Bytes::from(vec![0; MAX_VALUE_BYTES + 1]);
    let error = store
        .put("k", larger, WriteCondition::Always)
        .await
        .expect_err("the value is over the limit");
    assert_eq!(error.kind, StoreErrorKind::Invalid);
}

#[tokio::test]
async fn list_returns_the_keys_under_a_prefix() {
    let (_standin, store) = start_store().await;
    put_always(&store, "a/1", "x").await;
    put_always(&store, "a/2", "x").await;
    put_always(&store, "b/1", "x").await;
    store
        .delete("a/1", WriteCondition::Always)
        .await
        .expect("the store is available");
    let listing = store.list("a/").await.expect("the store is available");
    let keys: Vec<&str> = listing
        .objects
        .iter()
        .map(|object| &object.key[..])
        .collect();
    assert_eq!((keys, listing.revision), (vec!["a/2"], ObjectVersion(4)));
}

#[tokio::test]
async fn watch_returns_deletions_under_its_prefix() {
    let (_standin, store) = start_store().await;
    put_always(&store, "a/1", "x").await;
    let after = put_always(&store, "a/2", "x").await;
    let timed_out = store
        .watch("a/", after, SHORT_WATCH_TIMEOUT)
        .await
        .expect("the store is available");
    assert_eq!((timed_out.revision, timed_out.events.len()), (after, 0));
    let changes = async {
        put_always(&store, "b/1", "x").await;
        store
            .delete("a/1", WriteCondition::Always)
            .await
            .expect("the store is available");
    };
    let (batch, ()) = tokio::join!(store.watch("a/", after, CALL_TIMEOUT), changes);
    let event = &batch.expect("the store is available").events[0];
    assert_eq!(
        (&event.key[..], event.version, event.deleted),
        ("a/1", ObjectVersion(4), true)
    );
}

#[tokio::test]
async fn lost_reply_returns_unknown_although_the_write_took_effect() {
    let (standin, store) = start_store().await;
    standin
        .faults()
        .update(|faults| faults.lose_replies_next = 1);
    let result = store
        .put("head", "one".into(), WriteCondition::Absent)
        .await;
    assert_eq!(
        result.expect_err("the reply was lost").kind,
        StoreErrorKind::Unknown
    );
    let object = store
        .get("head")
        .await
        .expect("the store is available")
        .expect("the object exists");
    assert_eq!(&object.value[..], b"one");
    assert_eq!(standin.counts().lost_replies, 1);
}

#[tokio::test]
async fn refused_call_returns_unavailable_and_closed_connection_unknown() {
    let (standin, store) = start_store().await;
    standin
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Refuse));
    let error = store.get("head").await.expect_err("the store is down");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
    standin
        .faults()
        .update(|faults| faults.outage = Some(OutageKind::Close));
    let result = store
        .put("head", "one".into(), WriteCondition::Always)
        .await;
    assert_eq!(
        result.expect_err("the store is down").kind,
        StoreErrorKind::Unknown
    );
    standin.faults().update(|faults| faults.outage = None);
    assert_eq!(
        store.get("head").await.expect("the store is available"),
        None
    );
}

#[tokio::test]
async fn outage_ends_a_pending_watch() {
    let (standin, store) = start_store().await;
    let start_outage = async {
        while standin.counts().watches == 0 {
            tokio::task::yield_now().await;
        }
        standin
            .faults()
            .update(|faults| faults.outage = Some(OutageKind::Refuse));
    };
    let watch = store.watch("a/", ObjectVersion(0), CALL_TIMEOUT);
    let (batch, ()) = tokio::join!(watch, start_outage);
    assert_eq!(
        batch.expect_err("the store is down").kind,
        StoreErrorKind::Unavailable
    );
}

#[tokio::test]
async fn call_over_the_rate_limit_returns_unavailable() {
    let (standin, store) = start_store().await;
    standin
        .faults()
        .update(|faults| faults.calls_per_s = Some(0));
    let error = store
        .get("head")
        .await
        .expect_err("the call is over the rate limit");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}

#[tokio::test]
async fn stopped_api_returns_unavailable() {
    let (mut standin, store) = start_store().await;
    standin.stop();
    standin.stopped().await;
    let error = store.get("head").await.expect_err("the API is stopped");
    assert_eq!(error.kind, StoreErrorKind::Unavailable);
}
