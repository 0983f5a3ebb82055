//! Discovers routers and queries them for JSON documents.

use std::net::SocketAddr;
use std::time::Duration;

use briarrail_model::{HostEntry, HostPhase};
use briarrail_platform::{HostDirectory, HttpDirectory};
use briarrail_status::OPERATORS_ADDRESS_LABEL;
use futures_util::{StreamExt, stream};
use serde::de::DeserializeOwned;

use crate::arguments::{CommandArguments, http_client};
use crate::{CtlError, CtlErrorKind};

const DEFAULT_TIMEOUT_MS: u64 = 2_000;
/// Service name of routers in the host list.
const DEFAULT_SERVICE: &str = "briarraild";
/// Routers that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Name and address of a router; the name is the address when `--router` gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RouterAddress {
    pub(crate) name: String,
    /// Address of the router's operator listener; `None` when its host entry has no valid one.
    pub(crate) address: Option<SocketAddr>,
}

/// Document that a router returned, or why there is none.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RouterReply<T> {
    pub(crate) router: RouterAddress,
    pub(crate) result: Result<T, String>,
}

/// Queries routers for JSON documents.
#[derive(Debug, Clone)]
pub(crate) struct RouterClient {
    client: reqwest::Client,
    timeout: Duration,
    routers: Vec<RouterAddress>,
}

impl RouterClient {
    /// Creates a client for the routers of `--router`, or for those in the host list without it.
    pub(crate) async fn new(arguments: &CommandArguments<'_>) -> Result<Self, CtlError> {
        let timeout = arguments
            .option_number("timeout-ms")?
            .unwrap_or(DEFAULT_TIMEOUT_MS);
        let timeout = Duration::from_millis(timeout);
        let client = http_client()?;
        let values = arguments.option_values("router");
        let routers = if values.is_empty() {
            discover_routers(arguments, &client, timeout).await?
        } else {
            let addresses = values.iter().map(|text| parse_router(arguments, text));
            addresses.collect::<Result<_, _>>()?
        };
        Ok(Self {
            client,
            timeout,
            routers,
        })
    }

    /// Queries every router for a document; returns the replies in the order of the routers.
    pub(crate) async fn query_all<T>(&self, path: &str) -> Vec<RouterReply<T>>
    where
        T: DeserializeOwned,
    {
        let queries = self.routers.iter().map(|router| async {
            RouterReply {
                result: self.query(router, path).await,
                router: router.clone(),
            }
        });
        stream::iter(queries)
            .buffered(MAX_CONCURRENT_QUERIES)
            .collect()
            .await
    }

    async fn query<T>(&self, router: &RouterAddress, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let address = router.address.ok_or_else(missing_address_error)?;
        let url = format!("http://{address}{path}");
        let result = self.client.get(url).timeout(self.timeout).send().await;
        let response = result.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| root_cause(&error))?;
        response.json().await.map_err(|error| root_cause(&error))
    }
}

async fn discover_routers(
    arguments: &CommandArguments<'_>,
    client: &reqwest::Client,
    timeout: Duration,
) -> Result<Vec<RouterAddress>, CtlError> {
    let url = arguments.option_value("hosts");
    let url = url.or_else(|| arguments.context.hosts_url.clone());
    let url = url.ok_or_else(|| {
        arguments.usage_error(
            "no routers given; use --router IP:PORT, or --hosts URL to read the host list",
        )
    })?;
    let service = arguments.option_value("service");
    let service = service.as_deref().unwrap_or(DEFAULT_SERVICE);
    let directory = HttpDirectory::new(client.clone(), &url, timeout);
    let delta = directory.changes_since(0).await.map_err(|error| {
        let context = format!("cannot read the host list: {error}");
        CtlError::new(
            CtlErrorKind::Unreachable,
            context,
            "check --hosts, or use --router",
        )
    })?;
    let hosts = delta.upserts.iter();
    let routers: Vec<_> = hosts
        .filter(|host| host.service == service && host.phase == HostPhase::Live)
        .map(router_from_host)
        .collect();
    if routers.is_empty() {
        let context = format!("the host list has no live host of service {service:?}");
        let hint = "check --service, or use --router";
        return Err(CtlError::new(CtlErrorKind::NotFound, context, hint));
    }
    Ok(routers)
}

fn router_from_host(host: &HostEntry) -> RouterAddress {
    let label = host.labels.get(OPERATORS_ADDRESS_LABEL);
    RouterAddress {
        name: host.name.to_string(),
        address: label.and_then(|label| label.parse().ok()),
    }
}

fn missing_address_error() -> String {
    format!("the host list has no valid address in the label {OPERATORS_ADDRESS_LABEL:?}")
}

fn parse_router(arguments: &CommandArguments<'_>, text: &str) -> Result<RouterAddress, CtlError> {
    let usage_error = |_| {
        arguments.usage_error(format!(
            "invalid value {text:?} for --router: expected IP:PORT"
        ))
    };
    Ok(RouterAddress {
        name: text.to_owned(),
        address: Some(text.parse().map_err(usage_error)?),
    })
}

/// Returns the innermost cause, which is more specific than the errors that wrap it.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
