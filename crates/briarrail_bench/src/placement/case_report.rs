//! Report of a placement case.

use serde::Serialize;

/// Report of one case, printed as one line of JSON; `others` are the customers that do not surge.
#[derive(Debug, Serialize)]
pub(crate) struct CaseReport {
    pub(crate) site: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) scenario: &'static str,
    pub(crate) seed: u64,
    pub(crate) admission: bool,
    /// Fraction of returning turns that found the context of the last turn in the cache.
    pub(crate) cache_reuse: f64,
    /// The same for customers that do not surge.
    pub(crate) others_cache_reuse: f64,
    /// Cached fraction of the returning turns' context, older prefixes included.
    pub(crate) prefix_reuse: f64,
    /// Load of the busiest engine as a multiple of the mean, sampled at every tick.
    pub(crate) skew_p50: f64,
    pub(crate) skew_p99: f64,
    /// Maximum multiple of the mean, checked whenever an engine receives a stream.
    pub(crate) skew_max: f64,
    /// The same against a mean that includes engines in their first 30 s.
    pub(crate) skew_max_live: f64,
    pub(crate) control_bytes_per_router_s: f64,
    pub(crate) records_per_s: f64,
    pub(crate) decision_ns_p50: u64,
    pub(crate) decision_ns_p99: u64,
    pub(crate) state_bytes: usize,
    /// Time to the first token of interactive requests from customers that do not surge.
    pub(crate) others_wait_ms_p50: u64,
    pub(crate) others_wait_ms_p99: u64,
    pub(crate) surger_wait_ms_p99: u64,
    pub(crate) requests: u64,
    pub(crate) waited_part: f64,
    /// Delayed requests of customers that do not surge, as a fraction of all requests.
    pub(crate) others_waited_part: f64,
    pub(crate) refused_part: f64,
    /// Refused interactive requests of customers that do not surge, as a fraction of all requests.
    pub(crate) others_refused_part: f64,
}
