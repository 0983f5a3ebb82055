//! Finds the routers and asks them.

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
const DEFAULT_SERVICE: &str = "briarraild";
/// Routers that are asked at the same time.
const CONCURRENT_CALLS: usize = 64;

/// A router's operators' address, with its name when the host list gave one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RouterAddress {
    pub(crate) name: String,
    /// Nothing when the host list doesn't name it.
    pub(crate) address: Option<SocketAddr>,
}

/// What a router answered, or why it did not.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RouterReply<T> {
    pub(crate) router: RouterAddress,
    pub(crate) result: Result<T, String>,
}

/// Asks routers for JSON documents.
#[derive(Debug, Clone)]
pub(crate) struct RouterFinder {
    client: reqwest::Client,
    timeout: Duration,
    routers: Vec<RouterAddress>,
}

impl RouterFinder {
    /// Takes the routers from `--router`, or from the host list without it.
    pub(crate) async fn new(arguments: &CommandArguments<'_>) -> Result<Self, CtlError> {
        let timeout = arguments
            .number("timeout-ms")?
            .unwrap_or(DEFAULT_TIMEOUT_MS);
        let timeout = Duration::from_millis(timeout);
        let client = http_client()?;
        let given = arguments.texts("router");
        let routers = if given.is_empty() {
            listed_routers(arguments, &client, timeout).await?
        } else {
            let addresses = given.iter().map(|text| given_router(arguments, text));
            addresses.collect::<Result<_, _>>()?
        };
        Ok(Self {
            client,
            timeout,
            routers,
        })
    }

    /// Asks every router for a document; the replies come in the order of the routers.
    pub(crate) async fn ask_all<T>(&self, path: &str) -> Vec<RouterReply<T>>
    where
        T: DeserializeOwned,
    {
        let calls = self.routers.iter().map(|router| async {
            RouterReply {
                result: self.ask(router, path).await,
                router: router.clone(),
            }
        });
        stream::iter(calls)
            .buffered(CONCURRENT_CALLS)
            .collect()
            .await
    }

    async fn ask<T>(&self, router: &RouterAddress, path: &str) -> Result<T, String>
    where
        T: DeserializeOwned,
    {
        let address = router.address.ok_or_else(no_address)?;
        let url = format!("http://{address}{path}");
        let call = self.client.get(url).timeout(self.timeout).send().await;
        let response = call.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| root_cause(&error))?;
        response.json().await.map_err(|error| root_cause(&error))
    }
}

async fn listed_routers(
    arguments: &CommandArguments<'_>,
    client: &reqwest::Client,
    timeout: Duration,
) -> Result<Vec<RouterAddress>, CtlError> {
    let url = arguments.text("hosts");
    let url = url.or_else(|| arguments.context.hosts_url.clone());
    let url = url.ok_or_else(|| {
        arguments.usage("name routers by --router IP:PORT, or the host list by --hosts URL")
    })?;
    let service = arguments.text("service");
    let service = service.as_deref().unwrap_or(DEFAULT_SERVICE);
    let directory = HttpDirectory::new(client.clone(), &url, timeout);
    let delta = directory.changes_since(0).await.map_err(|error| {
        let context = format!("the host list can't be read: {error}");
        CtlError::new(
            CtlErrorKind::Unreachable,
            context,
            "check --hosts, or use --router",
        )
    })?;
    let hosts = delta.upserts.iter();
    let routers: Vec<_> = hosts
        .filter(|host| host.service == service && host.phase == HostPhase::Live)
        .map(listed_router)
        .collect();
    if routers.is_empty() {
        let context = format!("the host list names no live {service:?} host");
        let hint = "check --service, or use --router";
        return Err(CtlError::new(CtlErrorKind::NotFound, context, hint));
    }
    Ok(routers)
}

fn listed_router(host: &HostEntry) -> RouterAddress {
    let label = host.labels.get(OPERATORS_ADDRESS_LABEL);
    RouterAddress {
        name: host.name.to_string(),
        address: label.and_then(|label| label.parse().ok()),
    }
}

fn no_address() -> String {
    format!("the host list gives no address in the label {OPERATORS_ADDRESS_LABEL:?}")
}

fn given_router(arguments: &CommandArguments<'_>, text: &str) -> Result<RouterAddress, CtlError> {
    let wrong = |_| arguments.usage(format!("--router takes IP:PORT, not {text:?}"));
    Ok(RouterAddress {
        name: text.to_owned(),
        address: Some(text.parse().map_err(wrong)?),
    })
}

/// Returns the innermost cause, which says more than the outer ones.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
