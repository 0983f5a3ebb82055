//! What the tests share.

use briarrail_standin::{EngineSettings, EngineStandin, StandinHandle, start_engine};
use reqwest::{Client, RequestBuilder, Response};
use std::time::Duration;

/// Returns a client that uses no proxy.
pub(crate) fn client() -> Client {
    Client::builder().no_proxy().build().expect("a client")
}

/// Returns settings without waiting times.
pub(crate) fn quick_settings() -> EngineSettings {
    EngineSettings {
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        prefill_per_token: Duration::ZERO,
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        resume_window: Duration::from_secs(60),
        ..EngineSettings::default()
    }
}

/// Starts an engine on a free port.
pub(crate) async fn engine(settings: EngineSettings) -> StandinHandle<EngineStandin> {
    start_engine("127.0.0.1:0", settings)
        .await
        .expect("a free port")
}

/// Returns the body of a chat-completions request.
pub(crate) fn chat_body(content: &str, tokens: u64, is_streamed: bool) -> String {
    let body = serde_json::json!({
        "model": "pan-model",
        "messages": [{ "role": "user", "content": content }],
        "stream": is_streamed,
        "max_tokens": tokens,
    });
    body.to_string()
}

/// Returns a chat-completions request for an engine.
pub(crate) fn chat(
    engine: &StandinHandle<EngineStandin>,
    request_id: &str,
    body: &str,
) -> RequestBuilder {
    let url = format!("{}/v1/chat/completions", engine.base_url());
    let request = client().post(url).header("x-request-id", request_id);
    request.body(body.to_owned())
}

/// Sends a request.
pub(crate) async fn send(request: RequestBuilder) -> Response {
    request.send().await.expect("an answer")
}

/// Returns a header as text.
pub(crate) fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

/// Returns the text and the event identifiers of a whole event stream.
pub(crate) fn read_events(body: &str) -> (String, Vec<u64>, bool) {
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut is_whole = false;
    for line in body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.parse().expect("a number"));
        } else if line == "data: [DONE]" {
            is_whole = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let chunk: serde_json::Value = serde_json::from_str(data).expect("JSON");
            let content = &chunk["choices"][0]["delta"]["content"];
            text.push_str(content.as_str().expect("text"));
        }
    }
    (text, ids, is_whole)
}
