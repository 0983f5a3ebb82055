//! Whole answers, and streams that break on their way.

use briarrail_standin::answer_text;

use super::site::{TestSite, chat_body, joined_tokens, new_key};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relays_a_whole_stream_and_keeps_the_chat_at_its_target() {
    let site = TestSite::start(4, 1, 2).await;
    let body = chat_body("hello", 40);
    for turn in 0..6 {
        let response = site
            .chat(turn % 2, "chat-1", &body)
            .send()
            .await
            .expect("response");
        assert_eq!(response.status(), 200);
        let text = response.text().await.expect("whole body");
        assert!(text.trim_end().ends_with("data: [DONE]"));
        assert_eq!(joined_tokens(&text), answer_text(body.as_bytes(), 40));
    }
    let runs: Vec<_> = site
        .engines
        .iter()
        .map(|engine| engine.counts().runs)
        .collect();
    assert_eq!(
        runs.iter().filter(|&&runs| runs > 0).count(),
        1,
        "one engine: {runs:?}"
    );
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumes_a_stream_that_the_target_cuts() {
    let site = TestSite::start(1, 1, 1).await;
    let faults = site.engines[0].faults();
    faults.update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 5;
    });
    let body = chat_body("cut", 30);
    let response = site
        .chat(0, "chat-1", &body)
        .send()
        .await
        .expect("response");
    let text = response.text().await.expect("whole body");
    assert_eq!(joined_tokens(&text), answer_text(body.as_bytes(), 30));
    assert_eq!(site.engines[0].counts().resumed, 1);
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ends_a_stream_that_cannot_be_resumed_with_an_error_and_an_aborted_transfer() {
    let site = TestSite::start(1, 1, 1).await;
    let faults = site.engines[0].faults();
    faults.update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 5;
        faults.forgets_streams = true;
    });
    let response = site
        .chat(0, "chat-1", &chat_body("lost", 30))
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
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn does_not_relay_an_answer_to_another_request() {
    let site = TestSite::start(2, 1, 1).await;
    for engine in &site.engines {
        engine.faults().update(|faults| faults.wrong_id_next = 1);
    }
    let body = chat_body("crossed", 10);
    let response = site
        .chat(0, "chat-1", &body)
        .send()
        .await
        .expect("response");
    let text = response.text().await.expect("whole body");
    assert_eq!(joined_tokens(&text), answer_text(body.as_bytes(), 10));
    site.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relays_answers_of_plain_services_as_they_are() {
    let site = TestSite::start(1, 2, 1).await;
    let post = site.post_ticket(0, &new_key(), "net 18.2 t");
    let response = post.send().await.expect("response");
    assert_eq!(response.status(), 201);
    assert_eq!(response.headers()["x-briarrail-outcome"], "answered");
    let ledgers: Vec<_> = site
        .services
        .iter()
        .map(briarrail_standin::StandinHandle::ledger)
        .collect();
    let runs: u32 = ledgers.iter().flatten().map(|entry| entry.runs).sum();
    assert_eq!(runs, 1);
    site.stop().await;
}
