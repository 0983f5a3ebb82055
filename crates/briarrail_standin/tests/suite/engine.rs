//! Tests of the engine: completions, resumes, slots, the prefix cache and orders.

use briarrail_standin::{EngineOrder, EngineSettings, completion_text};

use crate::support::{
    chat_body, chat_request, header, http_client, parse_event_stream, send, start_test_engine,
    zero_delay_settings,
};

#[tokio::test]
async fn streamed_response_is_complete_and_determined_by_the_body() {
    let engine = start_test_engine(zero_delay_settings()).await;
    let body = chat_body("Summarise the harvest.", 20, true);
    let response = send(chat_request(&engine, "r-1", &body)).await;
    assert_eq!(header(&response, "x-request-id"), "r-1");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let (text, ids, is_complete) =
        parse_event_stream(&response.text().await.expect("read the body"));
    assert_eq!(text, completion_text(body.as_bytes(), 20));
    assert_eq!((ids, is_complete), ((0..20).collect(), true));
    assert_eq!((engine.counts().runs, engine.counts().finished), (1, 1));
}

#[tokio::test]
async fn unstreamed_response_has_the_same_text() {
    let engine = start_test_engine(zero_delay_settings()).await;
    let body = chat_body("Summarise the harvest.", 20, false);
    let completion = send(chat_request(&engine, "r-1", &body)).await.text().await;
    let completion: serde_json::Value =
        serde_json::from_str(&completion.expect("read the body")).expect("JSON");
    let content = &completion["choices"][0]["message"]["content"];
    assert_eq!(
        content.as_str(),
        Some(&completion_text(body.as_bytes(), 20)[..])
    );
}

#[tokio::test]
async fn cut_stream_resumes_after_the_last_event() {
    let engine = start_test_engine(zero_delay_settings()).await;
    engine.faults().update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 7;
    });
    let body = chat_body("Explain the reading.", 20, true);
    let mut response = send(chat_request(&engine, "r-1", &body)).await;
    let mut received = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        received.push_str(std::str::from_utf8(&chunk).expect("UTF-8"));
    }
    let (first, ids, is_complete) = parse_event_stream(&received);
    assert_eq!((ids, is_complete), ((0..7).collect(), false));
    let resume = chat_request(&engine, "r-1", &body).header("last-event-id", "6");
    let rest = send(resume).await.text().await.expect("read the body");
    let (second, ids, is_complete) = parse_event_stream(&rest);
    assert_eq!((ids, is_complete), ((7..20).collect(), true));
    assert_eq!(first + &second, completion_text(body.as_bytes(), 20));
    assert_eq!((engine.counts().runs, engine.counts().resumed), (1, 1));
}

#[tokio::test]
async fn resume_of_an_unknown_stream_is_rejected() {
    let engine = start_test_engine(zero_delay_settings()).await;
    let body = chat_body("Explain the reading.", 20, true);
    let response = send(chat_request(&engine, "r-1", &body).header("last-event-id", "6")).await;
    assert_eq!(response.status(), 410);
    assert_eq!(header(&response, "x-not-run"), "true");
    assert_eq!(engine.counts().runs, 0);
}

#[tokio::test]
async fn full_engine_rejects_requests_and_cancelling_a_stream_frees_its_slot() {
    let settings = EngineSettings {
        capacity: 1,
        queue_limit: 0,
        token_interval: std::time::Duration::from_secs(3_600),
        ..zero_delay_settings()
    };
    let engine = start_test_engine(settings).await;
    let body = chat_body("Tag the entry.", 2, true);
    let running = send(chat_request(&engine, "r-1", &body)).await;
    assert_eq!((engine.load().streams, engine.load().capacity), (1, 1));
    let refused = send(chat_request(&engine, "r-2", &body)).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "x-not-run"), "true");
    let url = format!("{}/v1/streams/r-1", engine.base_url());
    assert_eq!(send(http_client().delete(url)).await.status(), 204);
    assert!(
        running.text().await.is_err(),
        "a cancelled stream must end with an error"
    );
    assert_eq!(engine.load().streams, 0);
    let counts = engine.counts();
    assert_eq!((counts.runs, counts.cancelled, counts.refused), (1, 1, 1));
}

#[tokio::test]
async fn interactive_requests_run_before_deferrable_ones() {
    let settings = EngineSettings {
        capacity: 1,
        token_interval: std::time::Duration::from_secs(3_600),
        ..zero_delay_settings()
    };
    let engine = start_test_engine(settings).await;
    let body = chat_body("Tag the entry.", 2, true);
    let _running = send(chat_request(&engine, "r-1", &body)).await;
    let deferrable = chat_request(&engine, "r-2", &body).header("x-priority", "deferrable");
    let mut deferrable = tokio::spawn(send(deferrable));
    while engine.load().queued < 1 {
        tokio::task::yield_now().await;
    }
    let interactive = tokio::spawn(send(chat_request(&engine, "r-3", &body)));
    while engine.load().queued < 2 {
        tokio::task::yield_now().await;
    }
    let url = format!("{}/v1/streams/r-1", engine.base_url());
    send(http_client().delete(url)).await;
    tokio::select! {
        biased;
        _ = &mut deferrable => panic!("the deferrable request ran before the interactive one"),
        response = interactive => assert_eq!(response.expect("join the request").status(), 200),
    }
    deferrable.abort();
}

#[tokio::test]
async fn chat_reuses_its_cached_prefix_until_eviction() {
    let settings = EngineSettings {
        cache_tokens: 30,
        ..zero_delay_settings()
    };
    let engine = start_test_engine(settings).await;
    let mut cache_hits = Vec::new();
    for chat_id in ["a", "a", "b", "c", "a"] {
        let body = chat_body(&"brine ".repeat(8), 2, true);
        let request = chat_request(&engine, "r", &body).header("x-chat-id", chat_id);
        let response = send(request).await;
        let cached = header(&response, "x-cached-tokens").to_owned();
        cache_hits.push(format!(
            "{chat_id} {cached}/{}",
            header(&response, "x-prompt-tokens")
        ));
        response.text().await.expect("read the body");
    }
    assert_eq!(
        cache_hits,
        ["a 0/12", "a 12/12", "b 0/12", "c 0/12", "a 0/12"]
    );
    let url = format!("{}/v1/cache-events?after=1", engine.base_url());
    let page = send(http_client().get(url))
        .await
        .text()
        .await
        .expect("read the body");
    insta::assert_snapshot!(page);
}

#[tokio::test]
async fn outdated_order_is_rejected_only_if_fencing_is_checked() {
    for (checks_fencing, expected_status) in [(true, 409), (false, 204)] {
        let settings = EngineSettings {
            checks_fencing,
            ..zero_delay_settings()
        };
        let engine = start_test_engine(settings).await;
        let mut statuses = Vec::new();
        for fencing in [3, 2] {
            let order = EngineOrder {
                fencing,
                action: "load-model".to_owned(),
                argument: "pan-model".to_owned(),
            };
            let body = serde_json::to_string(&order).expect("JSON");
            let url = format!("{}/v1/orders", engine.base_url());
            statuses.push(
                send(http_client().post(url).body(body))
                    .await
                    .status()
                    .as_u16(),
            );
        }
        assert_eq!(statuses, [204, expected_status]);
    }
}
