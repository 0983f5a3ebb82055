//! Chat load against stand-in engines.

use std::collections::HashMap;
use std::time::Duration;

use briarload::{CallOutcome, ChatGenerator, ChatPlan, RoundRobinUrls, run_chats};
use briarrail_standin::{EngineSettings, start_engine};

fn plan(url: &str) -> ChatPlan {
    ChatPlan {
        urls: RoundRobinUrls::new([url]),
        streams: 4,
        ramp: Duration::ZERO,
        duration: Duration::from_secs(600),
        limit: Some(40),
        tokens: 5,
        chats: 3,
        ..ChatPlan::default()
    }
}

fn zero_latency_settings() -> EngineSettings {
    EngineSettings {
        name: "pan-1".to_owned(),
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client")
}

#[tokio::test]
async fn every_answer_is_counted_once_and_later_turns_reuse_the_cache() {
    let engine = start_engine("127.0.0.1:0", zero_latency_settings())
        .await
        .expect("a free port");
    let report = run_chats(&client(), &plan(&engine.base_url())).await;
    assert_eq!(report.outcomes, [(CallOutcome::Answered, 40)].into());
    assert_eq!(report.targets, [("pan-1".to_owned(), 40)].into());
    let answer_counts = report
        .placements
        .values()
        .flat_map(|targets| targets.values());
    assert_eq!((report.placements.len(), answer_counts.sum()), (3, 40));
    assert_eq!(report.defects, Vec::<String>::new());
    assert!(report.cache_reuse > 0.5, "{report:?}");
    assert_eq!(engine.counts().finished, 40);
}

#[tokio::test]
async fn refused_truncated_and_short_answers_have_different_outcomes() {
    let engine = start_engine("127.0.0.1:0", zero_latency_settings())
        .await
        .expect("a free port");
    engine.faults().update(|faults| {
        faults.refuse_next = 3;
        faults.cut_next = 2;
        faults.cut_after_events = 1;
    });
    let plan = ChatPlan {
        streams: 1,
        ..plan(&engine.base_url())
    };
    let report = run_chats(&client(), &plan).await;
    let expected = [
        (CallOutcome::Answered, 35),
        (CallOutcome::NotRun, 3),
        (CallOutcome::Cut, 2),
    ];
    assert_eq!(report.outcomes, expected.into());
    engine.faults().update(|faults| faults.end_early_next = 2);
    let report = run_chats(&client(), &plan).await;
    let expected = [(CallOutcome::Answered, 38), (CallOutcome::Wrong, 2)];
    assert_eq!(report.outcomes, expected.into());
}

#[test]
fn the_same_seed_gives_the_same_turns() {
    let mut first = ChatGenerator::new(&plan("http://127.0.0.1:1"));
    let mut second = ChatGenerator::new(&plan("http://127.0.0.1:1"));
    let turns: Vec<_> = std::iter::from_fn(|| first.next_turn()).collect();
    assert_eq!(turns.len(), 40);
    assert!(
        turns
            .into_iter()
            .eq(std::iter::from_fn(|| second.next_turn()))
    );
}

#[test]
fn each_turn_extends_the_previous_prompt() {
    let mut generator = ChatGenerator::new(&plan("http://127.0.0.1:1"));
    let mut last_messages = HashMap::new();
    let mut continued = 0;
    while let Some(turn) = generator.next_turn() {
        let body: serde_json::Value = serde_json::from_str(&turn.body).expect("JSON");
        let messages = body["messages"].as_array().expect("a list").clone();
        if let Some(previous) = last_messages.insert(turn.chat_id, messages.clone()) {
            assert!(messages.starts_with(&previous) && messages.len() == previous.len() + 1);
            continued += 1;
        }
    }
    assert_eq!(continued, 37);
}
