//! HTTP client of the host list.

use std::time::Duration;

use crate::http_store::{check_status, read_json, transport_error};
use crate::{HostDelta, HostDirectory, StoreError};

/// Reads the host list over HTTP.
#[derive(Debug, Clone)]
pub struct HttpDirectory {
    client: reqwest::Client,
    base_url: String,
    timeout: Duration,
}

impl HttpDirectory {
    /// Creates a client for the host list at a base URL, such as `http://127.0.0.1:7200`.
    #[must_use]
    pub fn new(client: reqwest::Client, base_url: &str, timeout: Duration) -> Self {
        let base_url = base_url.trim_end_matches('/').to_owned();
        Self {
            client,
            base_url,
            timeout,
        }
    }
}

impl HostDirectory for HttpDirectory {
    async fn changes_since(&self, revision: u64) -> Result<HostDelta, StoreError> {
        let url = format!("{}/v1/hosts", self.base_url);
        let request = self
            .client
            .get(url)
            .query(&[("since", revision)])
            .timeout(self.timeout);
        let response = request
            .send()
            .await
            .map_err(|error| transport_error("hosts", &error))?;
        read_json(check_status(response, "hosts")?).await
    }
}
