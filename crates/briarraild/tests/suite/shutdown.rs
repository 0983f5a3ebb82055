//! Graceful stops of routers and targets, and disconnects of callers.

use std::time::Duration;

use briarrail_model::{HostPhase, MilliDuration};
use briarrail_standin::completion_text;

use super::test_harness::{TestHarness, chat_body, join_tokens};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Polls until a condition holds, and fails the test after [`WAIT_TIMEOUT`].
async fn wait_for<F>(description: &str, condition: F)
where
    F: Fn() -> bool,
{
    let holds = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    assert!(
        tokio::time::timeout(WAIT_TIMEOUT, holds).await.is_ok(),
        "{description}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn graceful_stop_completes_streams_and_serves_while_the_host_list_lags() {
    let mut harness = TestHarness::start(2, 1, 1).await;
    harness
        .add_router("router-stopping", |builder| {
            builder.adjust(|settings| {
                settings.stop.list_lag_ms = MilliDuration::from_millis(300);
                settings.limits.caller_read_timeout_ms = MilliDuration::from_secs(20);
            })
        })
        .await;
    harness.wait_until_ready().await;
    let body = chat_body("long", 800);
    let calls = (0..20).map(|index| {
        harness
            .chat_request(1, &format!("chat-{index}"), &body)
            .send()
    });
    let heads = futures_util::future::join_all(calls).await;
    let late = harness.chat_request(1, "chat-late", &body);
    let router = harness.routers.remove(1);
    let stopped = tokio::task::spawn_blocking(move || router.stop());
    let late = late.send().await.expect("served while the list lags");
    for response in heads
        .into_iter()
        .map(|head| head.expect("head"))
        .chain([late])
    {
        let text = response.text().await.expect("whole body");
        assert_eq!(join_tokens(&text), completion_text(body.as_bytes(), 800));
    }
    stopped.await.expect("stopped");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_disconnect_cancels_the_stream() {
    let harness = TestHarness::start(1, 1, 1).await;
    let response = harness
        .chat_request(0, "chat-1", &chat_body("gone", 100_000))
        .send()
        .await;
    let mut response = response.expect("head");
    response.chunk().await.expect("first events");
    drop(response);
    wait_for("the engine ends the stream", || {
        let load = harness.engines[0].load();
        load.streams == 0 && harness.engines[0].counts().cancelled == 1
    })
    .await;
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_target_gets_no_new_requests_and_completes_its_streams() {
    let harness = TestHarness::start(2, 1, 3).await;
    let body = chat_body("stay", 600);
    let response = harness
        .chat_request(0, "chat-1", &body)
        .send()
        .await
        .expect("head");
    let serving_index = usize::from(harness.engines[1].counts().runs > 0);
    let name = format!("engine-{serving_index}");
    harness.put_host(
        &name,
        "pan-model",
        harness.engines[serving_index].address(),
        HostPhase::Leaving,
    );
    harness.wait_for_live_targets("pan", 1).await;
    let runs = harness.engines[serving_index].counts().runs;
    for index in 0..12 {
        let call = harness
            .chat_request(index % 3, "chat-1", &chat_body("move", 2))
            .send()
            .await;
        assert_eq!(call.expect("response").status(), 200);
    }
    assert_eq!(harness.engines[serving_index].counts().runs, runs);
    let text = response.text().await.expect("whole body");
    assert_eq!(join_tokens(&text), completion_text(body.as_bytes(), 600));
    harness.stop().await;
}
