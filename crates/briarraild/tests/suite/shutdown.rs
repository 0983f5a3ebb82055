//! Planned stops of routers and targets, and callers that go away.

use std::time::Duration;

use briarrail_model::{HostPhase, MilliDuration};
use briarrail_standin::answer_text;

use super::site::{TestSite, chat_body, joined_tokens};

const POLL: Duration = Duration::from_millis(20);
const LIMIT: Duration = Duration::from_secs(30);

/// Waits until a condition holds; the limit only ends a failed test.
async fn wait_for<F>(what: &str, condition: F)
where
    F: Fn() -> bool,
{
    let holds = async {
        while !condition() {
            tokio::time::sleep(POLL).await;
        }
    };
    assert!(tokio::time::timeout(LIMIT, holds).await.is_ok(), "{what}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_stop_cuts_no_stream_and_serves_while_the_list_lags() {
    let mut site = TestSite::start(2, 1, 1).await;
    site.add_router("router-stopping", |builder| {
        builder.adjust(|settings| {
            settings.stop.list_lag_ms = MilliDuration::from_millis(300);
            settings.limits.caller_read_timeout_ms = MilliDuration::from_secs(20);
        })
    })
    .await;
    site.wait_until_ready().await;
    let body = chat_body("long", 800);
    let calls = (0..20).map(|index| site.chat(1, &format!("chat-{index}"), &body).send());
    let heads = futures_util::future::join_all(calls).await;
    let late = site.chat(1, "chat-late", &body);
    let router = site.routers.remove(1);
    let stopped = tokio::task::spawn_blocking(move || router.stop());
    let late = late.send().await.expect("served while the list lags");
    for response in heads
        .into_iter()
        .map(|head| head.expect("head"))
        .chain([late])
    {
        let text = response.text().await.expect("whole body");
        assert_eq!(joined_tokens(&text), answer_text(body.as_bytes(), 800));
    }
    stopped.await.expect("stopped");
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_cancels_its_stream() {
    let site = TestSite::start(1, 1, 1).await;
    let response = site
        .chat(0, "chat-1", &chat_body("gone", 100_000))
        .send()
        .await;
    let mut response = response.expect("head");
    response.chunk().await.expect("first events");
    drop(response);
    wait_for("the engine ends the stream", || {
        let load = site.engines[0].load();
        load.streams == 0 && site.engines[0].counts().cancelled == 1
    })
    .await;
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_target_gets_no_new_work_and_finishes_what_it_has() {
    let site = TestSite::start(2, 1, 3).await;
    let body = chat_body("stay", 600);
    let response = site.chat(0, "chat-1", &body).send().await.expect("head");
    let busy = usize::from(site.engines[1].counts().runs > 0);
    let name = format!("engine-{busy}");
    site.list_as(
        &name,
        "pan-model",
        site.engines[busy].address(),
        HostPhase::Leaving,
    );
    site.wait_until_pools_show("pan", 1).await;
    let runs = site.engines[busy].counts().runs;
    for index in 0..12 {
        let call = site
            .chat(index % 3, "chat-1", &chat_body("move", 2))
            .send()
            .await;
        assert_eq!(call.expect("response").status(), 200);
    }
    assert_eq!(site.engines[busy].counts().runs, runs);
    let text = response.text().await.expect("whole body");
    assert_eq!(joined_tokens(&text), answer_text(body.as_bytes(), 600));
    site.stop().await;
}
