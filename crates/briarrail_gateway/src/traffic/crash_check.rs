//! Checks whether a target crashed when a connection to it broke.
//!
//! A broken connection alone does not show a crash: targets reset single connections, and links
//! fail. A crashed target refuses new connections until it is back.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;

use briarrail_dispatch::{SendOutcome, TargetKey};

use super::request_traits::RequestTraits;
use super::target_send::CONNECT_TIMEOUT;
use super::traffic_state::TrafficState;
use crate::net::HttpConnection;

/// Maximum number of requests in the log line of a crash.
const MAX_LOGGED_REQUESTS: usize = 8;

/// Checks in progress, with the traits of the requests that lost their connection to the
/// target before it began to write the answer.
#[derive(Debug, Default)]
pub(super) struct CrashChecks(HashMap<TargetKey, Vec<RequestTraits>>);

/// Checks in the background whether a target crashed, after a request lost its connection before
/// the answer began.
///
/// Losses during a check share its result, so that a crash costs one connection.
pub(super) fn check_target<D>(state: &Rc<TrafficState<D>>, key: TargetKey, traits: &RequestTraits)
where
    D: 'static,
{
    let mut checks = state.crash_checks.borrow_mut();
    if let Some(lost_requests) = checks.0.get_mut(&key) {
        lost_requests.push(traits.clone());
        return;
    }
    checks.0.insert(key, vec![traits.clone()]);
    tokio::task::spawn_local(run_check(Rc::clone(state), key));
}

async fn run_check<D>(state: Rc<TrafficState<D>>, key: TargetKey) {
    let target = state
        .registry
        .borrow()
        .get(key)
        .map(|target| target.record.clone());
    let Some(target) = target else {
        state.crash_checks.borrow_mut().0.remove(&key);
        return;
    };
    let result = HttpConnection::open(target.address, CONNECT_TIMEOUT).await;
    let lost_requests = state.crash_checks.borrow_mut().0.remove(&key);
    let lost_requests = lost_requests.unwrap_or_default();
    let outcome = match result {
        Ok(connection) => {
            let now = state.clock.now();
            let mut pool = state.idle_connections.borrow_mut();
            pool.put(key, connection, None, now);
            "alive"
        }
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
            state.record_outcome(key, SendOutcome::Unreachable);
            state.record_crash(key, &lost_requests);
            "crashed"
        }
        Err(_) => "silent",
    };
    state.metrics.count_target_check(&target.service, outcome);
    let logged = || lost_requests.iter().take(MAX_LOGGED_REQUESTS);
    let parts: Vec<String> = logged().map(|lost| lost.shared_parts.to_string()).collect();
    let fingerprints: Vec<String> = logged().map(RequestTraits::fingerprint_text).collect();
    tracing::info!(
        event = "target_checked",
        target_id = target.id,
        service = target.service,
        outcome,
        lost_requests = lost_requests.len(),
        fingerprints = fingerprints.join(" "),
        parts = parts.join(" "),
    );
}
