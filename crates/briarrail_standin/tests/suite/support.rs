//! Helpers that the tests share.

use briarrail_standin::{EngineSettings, EngineStandin, StandinHandle, start_engine};
use reqwest::{Client, RequestBuilder, Response};
use std::time::Duration;

/// Returns an HTTP client that ignores proxy settings.
pub(crate) fn http_client() -> Client {
    Client::builder()
        .no_proxy()
        .build()
        .expect("build the HTTP client")
}

/// Returns engine settings without delays, except for a resume window of a minute.
pub(crate) fn zero_delay_settings() -> EngineSettings {
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
pub(crate) async fn start_test_engine(settings: EngineSettings) -> StandinHandle<EngineStandin> {
    start_engine("127.0.0.1:0", settings)
        .await
        .expect("bind to a free port")
}

/// Returns the body of a chat completion request.
pub(crate) fn chat_body(content: &str, tokens: u64, is_streamed: bool) -> String {
    let body = serde_json::json!({
        "model": "pan-model",
        "messages": [{ "role": "user", "content": content }],
        "stream": is_streamed,
        "max_tokens": tokens,
    });
    body.to_string()
}

/// Returns a chat completion request to an engine.
pub(crate) fn chat_request(
    engine: &StandinHandle<EngineStandin>,
    request_id: &str,
    body: &str,
) -> RequestBuilder {
    let url = format!("{}/v1/chat/completions", engine.base_url());
    let request = http_client().post(url).header("x-request-id", request_id);
    request.body(body.to_owned())
}

/// Sends a request and returns the response.
pub(crate) async fn send(request: RequestBuilder) -> Response {
    request.send().await.expect("receive a response")
}

/// Returns the value of a header, or an empty string if it is missing.
pub(crate) fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value.map_or("", |value| value.to_str().expect("ASCII"))
}

/// Returns the text and the event IDs of an event stream, and whether it has a terminal event.
pub(crate) fn parse_event_stream(body: &str) -> (String, Vec<u64>, bool) {
    let mut text = String::new();
    let mut ids = Vec::new();
    let mut is_complete = false;
    for line in body.lines() {
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.parse().expect("a number"));
        } else if line == "data: [DONE]" {
            is_complete = true;
        } else if let Some(data) = line.strip_prefix("data: ") {
            let chunk: serde_json::Value = serde_json::from_str(data).expect("JSON");
            let content = &chunk["choices"][0]["delta"]["content"];
            text.push_str(content.as_str().expect("a string"));
        }
    }
    (text, ids, is_complete)
}
