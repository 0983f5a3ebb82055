//! The engine: whole answers, resumes, places, cache and orders.

use briarrail_standin::{EngineOrder, EngineSettings, completion_text};

use crate::support::{chat, chat_body, client, engine, header, quick_settings, read_events, send};

#[tokio::test]
async fn a_streamed_answer_is_whole_and_a_function_of_the_body() {
    let engine = engine(quick_settings()).await;
    let body = chat_body("Summarise the harvest.", 20, true);
    let response = send(chat(&engine, "r-1", &body)).await;
    assert_eq!(header(&response, "x-request-id"), "r-1");
    assert_eq!(header(&response, "content-type"), "text/event-stream");
    let (text, ids, is_whole) = read_events(&response.text().await.expect("whole"));
    assert_eq!(text, completion_text(body.as_bytes(), 20));
    assert_eq!((ids, is_whole), ((0..20).collect(), true));
    assert_eq!((engine.counts().runs, engine.counts().finished), (1, 1));
}

#[tokio::test]
async fn an_answer_that_is_not_streamed_holds_the_same_text() {
    let engine = engine(quick_settings()).await;
    let body = chat_body("Summarise the harvest.", 20, false);
    let answer = send(chat(&engine, "r-1", &body)).await.text().await;
    let answer: serde_json::Value = serde_json::from_str(&answer.expect("whole")).expect("JSON");
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(
        content.as_str(),
        Some(&completion_text(body.as_bytes(), 20)[..])
    );
}

#[tokio::test]
async fn a_cut_stream_resumes_after_the_last_event() {
    let engine = engine(quick_settings()).await;
    engine.faults().update(|faults| {
        faults.cut_next = 1;
        faults.cut_after_events = 7;
    });
    let body = chat_body("Explain the reading.", 20, true);
    let mut response = send(chat(&engine, "r-1", &body)).await;
    let mut seen = String::new();
    while let Ok(Some(chunk)) = response.chunk().await {
        seen.push_str(std::str::from_utf8(&chunk).expect("text"));
    }
    let (first, ids, is_whole) = read_events(&seen);
    assert_eq!((ids, is_whole), ((0..7).collect(), false));
    let resume = chat(&engine, "r-1", &body).header("last-event-id", "6");
    let rest = send(resume).await.text().await.expect("whole");
    let (second, ids, is_whole) = read_events(&rest);
    assert_eq!((ids, is_whole), ((7..20).collect(), true));
    assert_eq!(first + &second, completion_text(body.as_bytes(), 20));
    assert_eq!((engine.counts().runs, engine.counts().resumed), (1, 1));
}

#[tokio::test]
async fn a_stream_that_is_not_held_is_not_resumed() {
    let engine = engine(quick_settings()).await;
    let body = chat_body("Explain the reading.", 20, true);
    let response = send(chat(&engine, "r-1", &body).header("last-event-id", "6")).await;
    assert_eq!(response.status(), 410);
    assert_eq!(header(&response, "x-not-run"), "true");
    assert_eq!(engine.counts().runs, 0);
}

#[tokio::test]
async fn a_full_engine_refuses_and_a_cancelled_stream_gives_its_place_back() {
    let settings = EngineSettings {
        capacity: 1,
        queue_limit: 0,
        token_interval: std::time::Duration::from_secs(3_600),
        ..quick_settings()
    };
    let engine = engine(settings).await;
    let body = chat_body("Tag the entry.", 2, true);
    let running = send(chat(&engine, "r-1", &body)).await;
    assert_eq!((engine.load().streams, engine.load().capacity), (1, 1));
    let refused = send(chat(&engine, "r-2", &body)).await;
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "x-not-run"), "true");
    let url = format!("{}/v1/streams/r-1", engine.base_url());
    assert_eq!(send(client().delete(url)).await.status(), 204);
    assert!(
        running.text().await.is_err(),
        "a cancelled stream must not end cleanly"
    );
    assert_eq!(engine.load().streams, 0);
    let counts = engine.counts();
    assert_eq!((counts.runs, counts.cancelled, counts.refused), (1, 1, 1));
}

#[tokio::test]
async fn an_interactive_request_goes_before_a_deferrable_one() {
    let settings = EngineSettings {
        capacity: 1,
        token_interval: std::time::Duration::from_secs(3_600),
        ..quick_settings()
    };
    let engine = engine(settings).await;
    let body = chat_body("Tag the entry.", 2, true);
    let _running = send(chat(&engine, "r-1", &body)).await;
    let deferrable = chat(&engine, "r-2", &body).header("x-priority", "deferrable");
    let mut deferrable = tokio::spawn(send(deferrable));
    while engine.load().queued < 1 {
        tokio::task::yield_now().await;
    }
    let interactive = tokio::spawn(send(chat(&engine, "r-3", &body)));
    while engine.load().queued < 2 {
        tokio::task::yield_now().await;
    }
    let url = format!("{}/v1/streams/r-1", engine.base_url());
    send(client().delete(url)).await;
    tokio::select! {
        biased;
        _ = &mut deferrable => panic!("the deferrable request went first"),
        response = interactive => assert_eq!(response.expect("sent").status(), 200),
    }
    deferrable.abort();
}

#[tokio::test]
async fn a_returning_chat_finds_its_prefix_until_it_is_evicted() {
    let settings = EngineSettings {
        cache_tokens: 30,
        ..quick_settings()
    };
    let engine = engine(settings).await;
    let mut seen = Vec::new();
    for chat_id in ["a", "a", "b", "c", "a"] {
        let body = chat_body(&"brine ".repeat(8), 2, true);
        let request = chat(&engine, "r", &body).header("x-chat-id", chat_id);
        let response = send(request).await;
        let cached = header(&response, "x-cached-tokens").to_owned();
        seen.push(format!(
            "{chat_id} {cached}/{}",
            header(&response, "x-prompt-tokens")
        ));
        response.text().await.expect("whole");
    }
    assert_eq!(seen, ["a 0/12", "a 12/12", "b 0/12", "c 0/12", "a 0/12"]);
    let url = format!("{}/v1/cache-events?after=1", engine.base_url());
    let page = send(client().get(url)).await.text().await.expect("whole");
    insta::assert_snapshot!(page);
}

#[tokio::test]
async fn an_outdated_order_is_refused_only_where_fencing_is_checked() {
    for (checks_fencing, expected) in [(true, 409), (false, 204)] {
        let settings = EngineSettings {
            checks_fencing,
            ..quick_settings()
        };
        let engine = engine(settings).await;
        let mut statuses = Vec::new();
        for fencing in [3, 2] {
            let order = EngineOrder {
                fencing,
                action: "load-model".to_owned(),
                argument: "pan-model".to_owned(),
            };
            let body = serde_json::to_string(&order).expect("JSON");
            let url = format!("{}/v1/orders", engine.base_url());
            statuses.push(send(client().post(url).body(body)).await.status().as_u16());
        }
        assert_eq!(statuses, [204, expected]);
    }
}
