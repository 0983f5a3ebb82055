//! The operator's configuration in the product's own types.

use briarrail_model::{CallSemantics, CustomerId, MilliDuration};
use serde::{Deserialize, Serialize};

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteSemantics {
    /// A repeat does no harm.
    Idempotent,
    /// At most one run for each attempt of the caller.
    AtMostOnce,
    /// An event stream that runs at most once.
    Stream,
    /// An event stream that another target can continue after its last whole event.
    ResumableStream,
}

impl RouteSemantics {
    /// Returns whether the answer is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns the semantics by which retries are decided.
    #[must_use]
    pub const fn call_semantics(self) -> CallSemantics {
        match self {
            Self::Idempotent | Self::ResumableStream => CallSemantics::Idempotent,
            Self::AtMostOnce | Self::Stream => CallSemantics::AtMostOnce,
        }
    }
}

/// A service and its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: String,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Name of the route.
    pub name: String,
    /// Host that the route serves.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    #[serde(rename = "repeat")]
    pub semantics: RouteSemantics,
    /// Longest time that a caller is kept waiting.
    pub timeout: MilliDuration,
    /// Time within which the answer, or the first event, is worth its full value.
    pub objective: MilliDuration,
    /// Longest pause between events for which a stream is on time; zero when not declared.
    pub event_gap: MilliDuration,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub shares: Vec<ServiceShare>,
    /// Most targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What the configuration says of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: String,
    /// Most connections that one target accepts from all callers.
    pub max_connections: u32,
    /// Whether its targets are model engines that keep prompts in a cache.
    pub caches_prompts: bool,
}

/// A customer and its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerConfig {
    /// Name that targets are shown.
    pub name: CustomerId,
    /// Keys by which callers prove that they act for the customer.
    pub keys: Vec<String>,
    /// Rank that replaces the route's rank, if set.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub header_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a request head may take.
    pub header_timeout: MilliDuration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: MilliDuration,
}

/// One version of the whole configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteConfig {
    /// Version; grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteConfig>,
    /// All services.
    pub services: Vec<ServiceConfig>,
    /// All customers; none means that no route asks for a key.
    pub customers: Vec<CustomerConfig>,
    /// Limits on callers.
    pub limits: CallerLimits,
}
