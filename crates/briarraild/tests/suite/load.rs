//! Load limits of targets.

use super::test_harness::{TestHarness, chat_body};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn burst_that_raises_the_mean_load_is_not_refused() {
    let harness = TestHarness::start(1, 1, 1).await;
    let body = chat_body("burst", 400);
    let calls = (0..100).map(|index| {
        harness
            .chat_request(0, &format!("chat-{index}"), &body)
            .send()
    });
    let responses = futures_util::future::join_all(calls).await;
    let refused = responses
        .iter()
        .filter(|response| {
            response
                .as_ref()
                .is_ok_and(|response| response.status() != 200)
        })
        .count();
    assert_eq!(refused, 0);
    harness.stop().await;
}
