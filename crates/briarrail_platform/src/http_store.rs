//! HTTP client of the object API.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::{
    ObjectListing, ObjectStore, ObjectVersion, StoreError, StoreErrorKind, StoredObject,
    VERSION_HEADER, WatchBatch, WriteCondition,
};

/// Added to the client-side timeout of a watch, so that the server ends the watch first.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

const MISSING_VERSION: &str = "the reply has no valid x-object-version header";

/// Client of the object API over HTTP.
#[derive(Debug, Clone)]
pub struct HttpStore {
    client: reqwest::Client,
    base_url: String,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client for the API at a base URL, such as `http://127.0.0.1:7100`.
    ///
    /// `timeout` applies to each call except [`watch`](ObjectStore::watch), which has its own.
    #[must_use]
    pub fn new(client: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self {
            client,
            base_url,
            timeout,
        }
    }

    fn object_request(&self, method: Method, key: &str) -> RequestBuilder {
        let url = format!("{}/v1/objects/{key}", self.base_url);
        self.client.request(method, url).timeout(self.timeout)
    }
}

impl ObjectStore for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        let response = send(self.object_request(Method::GET, key), key).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let response = check_status(response, key)?;
        let version = read_version(&response)
            .ok_or_else(|| StoreError::new(StoreErrorKind::Invalid, MISSING_VERSION))?;
        let value = response
            .bytes()
            .await
            .map_err(|error| transport_error(key, &error))?;
        Ok(Some(StoredObject { version, value }))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, StoreError> {
        let request = with_condition(self.object_request(Method::PUT, key), condition);
        let response = check_status(send(request.body(value), key).await?, key)?;
        read_version(&response)
            .ok_or_else(|| StoreError::new(StoreErrorKind::Unknown, MISSING_VERSION))
    }

    async fn delete(&self, key: &str, condition: WriteCondition) -> Result<(), StoreError> {
        let request = with_condition(self.object_request(Method::DELETE, key), condition);
        check_status(send(request, key).await?, key).map(drop)
    }

    async fn list(&self, prefix: &str) -> Result<ObjectListing, StoreError> {
        let url = format!("{}/v1/list", self.base_url);
        let request = self
            .client
            .get(url)
            .query(&[("prefix", prefix)])
            .timeout(self.timeout);
        read_json(check_status(send(request, prefix).await?, prefix)?).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        timeout: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let url = format!("{}/v1/watch", self.base_url);
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.0.to_string()),
            ("timeout_ms", timeout.as_millis().to_string()),
        ];
        let request = self
            .client
            .get(url)
            .query(&query)
            .timeout(timeout + WATCH_TIMEOUT_MARGIN);
        read_json(check_status(send(request, prefix).await?, prefix)?).await
    }
}

/// Adds the conditional header that expresses a write condition.
fn with_condition(request: RequestBuilder, condition: WriteCondition) -> RequestBuilder {
    match condition {
        WriteCondition::Version(version) => request.header("if-match", version.0.to_string()),
        WriteCondition::Absent => request.header("if-none-match", "*"),
        WriteCondition::Always => request,
    }
}

async fn send(request: RequestBuilder, context: &str) -> Result<Response, StoreError> {
    request
        .send()
        .await
        .map_err(|error| transport_error(context, &error))
}

/// Classifies a transport error.
///
/// A call whose connection was not established was not sent, so it had no effect. After any other
/// error it is unknown whether the call took effect.
pub(crate) fn transport_error(context: &str, error: &reqwest::Error) -> StoreError {
    let kind = if error.is_connect() || error.is_builder() {
        StoreErrorKind::Unavailable
    } else {
        StoreErrorKind::Unknown
    };
    StoreError::new(kind, format!("{context}: {error}"))
}

/// Maps an error status to a [`StoreError`]; 503 and 429 mean that the call was not processed.
pub(crate) fn check_status(response: Response, context: &str) -> Result<Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let kind = match status {
        StatusCode::PRECONDITION_FAILED => StoreErrorKind::Conflict(read_version(&response)),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            StoreErrorKind::Unavailable
        }
        status if status.is_server_error() => StoreErrorKind::Unknown,
        _ => StoreErrorKind::Invalid,
    };
    Err(StoreError::new(kind, format!("{context}: {status}")))
}

fn read_version(response: &Response) -> Option<ObjectVersion> {
    let header = response.headers().get(VERSION_HEADER)?;
    header.to_str().ok()?.parse().ok().map(ObjectVersion)
}

pub(crate) async fn read_json<T>(response: Response) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    let invalid =
        |error: reqwest::Error| StoreError::new(StoreErrorKind::Invalid, error.to_string());
    response.json().await.map_err(invalid)
}
