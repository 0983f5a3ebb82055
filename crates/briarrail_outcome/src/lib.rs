//! Request outcomes, retries, idempotency claims and stream integrity.
//!
//! The crate does no I/O and reads no clock: callers pass in events and the current time.
//! [`RetryMachine`] decides the attempts of one request, [`StreamChecker`] verifies that an event
//! stream is complete, and [`OutcomeReply`] is the response to a caller whose request got none
//! from a target. [`ClaimClient`] handles one claim on an idempotency key on the entry router,
//! [`ClaimCoordinator`] makes the claims of its buckets durable, and [`ReportQueue`] delivers their
//! outcomes.

mod attempt_event;
mod bucket_cache;
mod bucket_owner;
mod claim_action;
mod claim_bucket;
mod claim_client;
mod claim_coordinator;
mod claim_decision;
mod claim_head;
mod claim_key;
mod claim_record;
mod claim_settings;
mod claim_step;
mod commit_batch;
mod outcome_reply;
mod overlap_policy;
mod pending_claims;
mod pending_reports;
mod report_queue;
mod request_outcome;
mod retry_limiter;
mod retry_machine;
mod retry_policy;
mod retry_step;
mod store_call;
mod stream_checker;
mod stream_error;
mod stream_event;

pub use attempt_event::AttemptEvent;
pub use claim_action::{ClaimAction, ClaimMessageId};
pub use claim_bucket::{ClaimBucket, OWNER_CANDIDATES};
pub use claim_client::ClaimClient;
pub use claim_coordinator::ClaimCoordinator;
pub use claim_key::ClaimKey;
pub use claim_settings::ClaimSettings;
pub use claim_step::{ClaimEvent, ClaimStep};
pub use outcome_reply::{
    NOT_RUN_HEADER, OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, RetryAdvice,
};
pub use overlap_policy::{OverlapEnd, OverlapPolicy};
pub use report_queue::{DueReport, ReportId, ReportQueue};
pub use request_outcome::{NotRunReason, RequestOutcome, UnknownReason};
pub use retry_limiter::{NoRetryLimit, RetryLimiter};
pub use retry_machine::RetryMachine;
pub use retry_policy::RetryPolicy;
pub use retry_step::RetryStep;
pub use store_call::{StoreCall, StoreCallId, StoreReply, StoreVersion};
pub use stream_checker::{DEFAULT_EVENT_LIMIT, StreamChecker, StreamState};
pub use stream_error::StreamError;
