//! Results of a case.

use serde::Serialize;

/// Results of one case, printed as one line of JSON.
#[derive(Debug, Serialize)]
pub(crate) struct CaseReport {
    pub(crate) site: &'static str,
    pub(crate) policy: &'static str,
    pub(crate) scenario: &'static str,
    pub(crate) seed: u64,
    pub(crate) admission: bool,
    /// Part of the returning turns that found the context of the last turn.
    pub(crate) cache_reuse: f64,
    /// The same for customers that do not surge.
    pub(crate) others_cache_reuse: f64,
    /// Part of the returning turns' context that was found, older prefixes included.
    pub(crate) prefix_reuse: f64,
    /// Busiest engine over the mean, sampled each 250 ms.
    pub(crate) skew_p50: f64,
    pub(crate) skew_p99: f64,
    /// Greatest multiple of the mean, checked at each start of a stream.
    pub(crate) skew_max: f64,
    /// The same against the mean that counts engines in their first 30 s too.
    pub(crate) skew_max_live: f64,
    pub(crate) control_bytes_per_router_s: f64,
    pub(crate) records_per_s: f64,
    pub(crate) decision_ns_p50: u64,
    pub(crate) decision_ns_p99: u64,
    pub(crate) state_bytes: usize,
    /// Time to the first token of interactive calls of customers that do not surge.
    pub(crate) others_wait_ms_p50: u64,
    pub(crate) others_wait_ms_p99: u64,
    pub(crate) surger_wait_ms_p99: u64,
    pub(crate) requests: u64,
    pub(crate) waited_part: f64,
    /// Held-back calls of customers that do not surge, as a part of all requests.
    pub(crate) others_waited_part: f64,
    pub(crate) refused_part: f64,
    /// Refused interactive calls of customers that do not surge, as a part of all requests.
    pub(crate) others_refused_part: f64,
}
