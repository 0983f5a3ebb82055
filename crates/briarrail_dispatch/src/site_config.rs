//! The operator's configuration, decoded into internal types.

use briarrail_model::{CallSemantics, CustomerId, MilliDuration, RegionName};
use serde::{Deserialize, Serialize};

/// Execution guarantee of a route, and whether it responds with an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteSemantics {
    /// Requests can be executed more than once without harm.
    Idempotent,
    /// Each attempt of the caller is executed at most once.
    AtMostOnce,
    /// An event stream that is executed at most once.
    Stream,
    /// An event stream that another target can resume after the last complete event.
    ResumableStream,
}

impl RouteSemantics {
    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the call semantics that decide whether a request can be retried.
    #[must_use]
    pub const fn call_semantics(self) -> CallSemantics {
        match self {
            Self::Idempotent | Self::ResumableStream => CallSemantics::Idempotent,
            Self::AtMostOnce | Self::Stream => CallSemantics::AtMostOnce,
        }
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// Configuration of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: String,
    /// Host name that the route matches.
    pub host: String,
    /// Path prefix that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Execution guarantee of its requests.
    #[serde(rename = "repeat")]
    pub semantics: RouteSemantics,
    /// Time limit of a request.
    pub timeout: MilliDuration,
    /// Latency objective for the response, or for the first event of a stream.
    pub objective: MilliDuration,
    /// Latency objective for the gap between stream events; zero if none is declared.
    pub event_gap: MilliDuration,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// Services among which requests are split.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of targets at which one request is attempted.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions in which its requests may run; empty if they may run in any.
    ///
    /// Routers of earlier versions don't send this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<RegionName>,
}

/// Configuration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections that one target accepts from all callers.
    pub max_connections: u32,
    /// Whether its targets are model engines with a prompt cache.
    pub caches_prompts: bool,
    /// Time for which a target is cold after it starts.
    ///
    /// Routers of earlier versions send neither this field nor the next one.
    #[serde(default)]
    pub cold_start: MilliDuration,
    /// Requests per second that a cold target takes from all routers together; 0 if there is no
    /// bound.
    #[serde(default)]
    pub cold_rate_per_s: f32,
}

/// A customer and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerConfig {
    /// Name under which targets see the customer.
    pub name: CustomerId,
    /// Keys that authenticate callers as this customer.
    pub keys: Vec<String>,
    /// Overrides the route's priority, if set.
    pub priority: Option<u8>,
    /// Regions in which the customer's requests may run; empty if they may run in any.
    ///
    /// Routers of earlier versions don't send this field.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<RegionName>,
}

/// Size and time limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: MilliDuration,
    /// Maximum time for which a connection may be idle.
    pub idle_timeout: MilliDuration,
}

/// One version of the complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Version number; increases, but not always by one.
    pub version: u64,
    /// Routes of all hosts.
    pub routes: Vec<RouteConfig>,
    /// Services to which routes refer.
    pub services: Vec<ServiceConfig>,
    /// Customers; their keys are required on all routes that are not public.
    pub customers: Vec<CustomerConfig>,
    /// Whether keys are required although there are no customers, so that no key is valid.
    ///
    /// Routers of earlier versions don't send this field.
    #[serde(default)]
    pub requires_keys: bool,
    /// Limits that apply to callers.
    pub limits: CallerLimits,
}
