//! Checks whether a target crashed when a connection to it broke.
//!
//! A broken connection alone does not show a crash: targets reset single connections, and links
//! fail. A crashed target refuses new connections until it is back.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::rc::Rc;

use briarrail_dispatch::{LostSuspect, SendNeed, SendOutcome, TargetKey};
use briarrail_model::MilliTime;

use super::request_traits::RequestTraits;
use super::target_send::CONNECT_TIMEOUT;
use super::traffic_state::TrafficState;
use crate::net::HttpConnection;

/// Maximum number of requests in the log line of a crash.
const MAX_LOGGED_REQUESTS: usize = 8;

/// A request that lost its connection to a target before the target began to write the answer.
#[derive(Debug, Clone)]
pub(super) struct LostRequest {
    pub(super) traits: RequestTraits,
    pub(super) sent_at: MilliTime,
}

impl LostRequest {
    pub(super) fn suspects(&self) -> impl Iterator<Item = LostSuspect> {
        let sent_at = self.sent_at;
        let suspects = self.traits.suspects();
        suspects.map(move |suspect| LostSuspect { suspect, sent_at })
    }
}

/// A check in progress.
#[derive(Debug)]
struct CrashCheck {
    /// Time of the first loss.
    lost_at: MilliTime,
    lost_requests: Vec<LostRequest>,
}

/// Checks in progress, by target.
#[derive(Debug, Default)]
pub(super) struct CrashChecks(HashMap<TargetKey, CrashCheck>);

/// Checks in the background whether a target crashed, after a request lost its connection; `lost` is
/// the request if its answer had not begun.
///
/// Losses during a check share its result, so that a crash costs one connection.
pub(super) fn check_target<D>(
    state: &Rc<TrafficState<D>>,
    key: TargetKey,
    lost: Option<LostRequest>,
) where
    D: 'static,
{
    let mut checks = state.crash_checks.borrow_mut();
    if let Some(check) = checks.0.get_mut(&key) {
        check.lost_requests.extend(lost);
        return;
    }
    let check = CrashCheck {
        lost_at: state.clock.now(),
        lost_requests: lost.into_iter().collect(),
    };
    checks.0.insert(key, check);
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
    // A target that leaves may be gone because it has ended.
    let now = state.clock.now();
    let denial = state.registry.borrow().denial(key, &SendNeed::ANY, now);
    let result = match denial {
        Some(denial) => Err(denial),
        None => Ok(HttpConnection::open(target.address, CONNECT_TIMEOUT).await),
    };
    let check = state.crash_checks.borrow_mut().0.remove(&key);
    let Some(check) = check else {
        return;
    };
    let outcome = match result {
        Err(denial) => denial.name(),
        Ok(Ok(connection)) => {
            state.keep_connection(key, connection, None);
            "alive"
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            state.record_outcome(key, SendOutcome::Unreachable);
            state.record_refused(key);
            if !check.lost_requests.is_empty() {
                state.record_crash(key, &check.lost_requests, check.lost_at);
            }
            "crashed"
        }
        Ok(Err(_)) => "silent",
    };
    state.metrics.count_target_check(&target.service, outcome);
    let logged = || check.lost_requests.iter().take(MAX_LOGGED_REQUESTS);
    let parts: Vec<String> = logged()
        .map(|lost| lost.traits.shared_parts.to_string())
        .collect();
    let fingerprints: Vec<String> = logged()
        .map(|lost| lost.traits.fingerprint_text())
        .collect();
    tracing::info!(
        event = "target_checked",
        target_id = target.id,
        service = target.service,
        outcome,
        lost_requests = check.lost_requests.len(),
        fingerprints = fingerprints.join(" "),
        parts = parts.join(" "),
    );
}
