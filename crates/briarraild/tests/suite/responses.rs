//! Relayed responses, and streams that are interrupted.

use briarrail_standin::completion_text;

use super::test_harness::{TestHarness, chat_body, join_tokens, new_key};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn complete_stream_is_relayed_and_chat_stays_at_its_target() {
    let harness = TestHarness::start(4, 1, 2).await;
    let body = chat_body("hello", 40);
    for turn in 0..6 {
        let response = harness
            .chat_request(turn % 2, "chat-1", &body)
            .send()
            .await
            .expect("response");
        assert_eq!(response.status(), 200);
        let text = response.text().await.expect("whole body");
        assert!(text.trim_end().ends_with("data: [DONE]"));
        assert_eq!(join_tokens(&text), completion_text(body.as_bytes(), 40));
    }
    let runs: Vec<_> = harness
        .engines
        .iter()
        .map(|engine| engine.counts().runs)
        .collect();
    assert_eq!(
        runs.iter().filter(|&&runs| runs > 0).count(),
        1,
        "one engine: {runs:?}"
    );
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_stream_is_resumed() {
    let harness = TestHarness::start(1, 1, 1).await;
    let faults = harness.engines[0].faults();
    faults.update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 5;
    });
    let body = chat_body("cut", 30);
    let response = harness
        .chat_request(0, "chat-1", &body)
        .send()
        .await
        .expect("response");
    let text = response.text().await.expect("whole body");
    assert_eq!(join_tokens(&text), completion_text(body.as_bytes(), 30));
    assert_eq!(harness.engines[0].counts().resumed, 1);
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unresumable_stream_ends_with_error_event_and_aborted_transfer() {
    let harness = TestHarness::start(1, 1, 1).await;
    let faults = harness.engines[0].faults();
    faults.update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 5;
        faults.forgets_streams = true;
    });
    let response = harness
        .chat_request(0, "chat-1", &chat_body("lost", 30))
        .send()
        .await
        .expect("head");
    let mut response = response;
    let mut seen = Vec::new();
    let end = loop {
        match response.chunk().await {
            Ok(Some(chunk)) => seen.extend_from_slice(&chunk),
            Ok(None) => break Ok(()),
            Err(error) => break Err(error),
        }
    };
    assert!(end.is_err(), "the transfer is aborted");
    let text = String::from_utf8(seen).expect("text");
    assert!(text.contains("event: error"), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_to_another_request_is_not_relayed() {
    let harness = TestHarness::start(2, 1, 1).await;
    for engine in &harness.engines {
        engine.faults().update(|faults| faults.wrong_id_next = 1);
    }
    let body = chat_body("crossed", 10);
    let response = harness
        .chat_request(0, "chat-1", &body)
        .send()
        .await
        .expect("response");
    let text = response.text().await.expect("whole body");
    assert_eq!(join_tokens(&text), completion_text(body.as_bytes(), 10));
    harness.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn service_response_is_relayed_and_runs_once() {
    let harness = TestHarness::start(1, 2, 1).await;
    let post = harness.ticket_request(0, &new_key(), "net 18.2 t");
    let response = post.send().await.expect("response");
    assert_eq!(response.status(), 201);
    assert_eq!(response.headers()["x-briarrail-outcome"], "answered");
    let ledgers: Vec<_> = harness
        .services
        .iter()
        .map(briarrail_standin::StandinHandle::ledger)
        .collect();
    let runs: u32 = ledgers.iter().flatten().map(|entry| entry.runs).sum();
    assert_eq!(runs, 1);
    harness.stop().await;
}

/// Guards against the text of an error within a stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resumption_that_is_answered_with_a_text_is_not_relayed() {
    let harness = TestHarness::start(1, 1, 1).await;
    harness.engines[0].faults().update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 5;
        faults.foreign_resumption_next = 1;
    });
    let request = harness.chat_request(0, "chat-1", &chat_body("foreign", 30));
    let mut response = request.send().await.expect("head");
    let mut seen = Vec::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        seen.extend_from_slice(&chunk);
    }
    let text = String::from_utf8(seen).expect("text");
    assert!(text.contains("id: 4"), "{text}");
    assert!(!text.contains("upstream"), "{text}");
    harness.stop().await;
}
