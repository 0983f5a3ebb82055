//! Request outcomes, retries, idempotency claims and stream integrity.
//!
//! All of it decides on values: no I/O, no clock. [`RetryMachine`] decides the attempts of one
//! request, [`StreamChecker`] whether an answer is whole, and [`OutcomeReply`] what a caller sees
//! of a request without an answer. [`ClaimClient`] guards one claim on an idempotency key on the
//! entry router, [`ClaimCoordinator`] makes the claims of its buckets durable, and [`ReportQueue`]
//! delivers their outcomes.

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
mod pending_claims;
mod pending_reports;
mod report_queue;
mod request_outcome;
mod retry_allowance;
mod retry_machine;
mod retry_plan;
mod retry_step;
mod store_call;
mod stream_checker;
mod stream_event;
mod stream_fault;

pub use attempt_event::AttemptEvent;
pub use claim_action::{ClaimAction, ClaimMessageId};
pub use claim_bucket::{ClaimBucket, OWNER_CANDIDATES};
pub use claim_client::ClaimClient;
pub use claim_coordinator::ClaimCoordinator;
pub use claim_key::ClaimKey;
pub use claim_settings::ClaimSettings;
pub use claim_step::{ClaimEvent, ClaimStep};
pub use outcome_reply::{
    NOT_RUN_HEADER, OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, SendAgain,
};
pub use report_queue::{DueReport, ReportId, ReportQueue};
pub use request_outcome::{NotRunReason, RequestOutcome, UnknownReason};
pub use retry_allowance::{FreeAllowance, RetryAllowance};
pub use retry_machine::RetryMachine;
pub use retry_plan::RetryPlan;
pub use retry_step::RetryStep;
pub use store_call::{StoreCall, StoreCallId, StoreReply, StoreVersion};
pub use stream_checker::{DEFAULT_EVENT_LIMIT, StreamChecker, StreamState};
pub use stream_fault::StreamFault;
