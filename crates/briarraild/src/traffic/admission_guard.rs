//! Admission of requests to their pools.

use std::sync::Arc;
use std::time::Duration;

use briarrail_model::{CallPriority, MilliDuration, StableHash};
use briarrail_policy::{AdmissionDecision, AdmissionRequest};

use super::CallerRequest;
use crate::state::{PoolRuntime, RoutingSource};

/// Holds an admitted request's place in its customer's share.
#[derive(Debug)]
pub(crate) struct AdmissionGuard {
    runtime: Arc<PoolRuntime>,
    customer: StableHash,
    priority: CallPriority,
}

impl AdmissionGuard {
    /// Waits until a request is admitted to its pool.
    ///
    /// # Errors
    ///
    /// Returns the time after which a repeat makes sense when the request is refused.
    pub(crate) async fn obtain(
        source: &RoutingSource,
        request: &CallerRequest,
    ) -> Result<Self, MilliDuration> {
        let runtime = &source.pool.runtime;
        let mut asked = AdmissionRequest {
            customer: request.customer.stable_hash(),
            priority: source.route.priority,
            waited: MilliDuration::ZERO,
        };
        loop {
            match runtime.admit(&asked) {
                AdmissionDecision::Admit { priority } => {
                    let runtime = Arc::clone(runtime);
                    return Ok(Self {
                        runtime,
                        customer: asked.customer,
                        priority,
                    });
                }
                AdmissionDecision::Wait { retry_after } => {
                    tokio::time::sleep(Duration::from(retry_after)).await;
                    asked.waited = asked.waited + retry_after;
                }
                AdmissionDecision::Refuse { retry_after } => return Err(retry_after),
            }
        }
    }

    /// Returns the priority to hand to the target.
    pub(crate) fn priority(&self) -> CallPriority {
        self.priority
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.runtime.release(self.customer);
    }
}
