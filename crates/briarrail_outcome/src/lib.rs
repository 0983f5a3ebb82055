//! Request outcomes, retries, idempotency claims and stream integrity.
//!
//! All of it decides on values: no I/O, no clock. [`RetryMachine`] decides the attempts of one
//! request, [`StreamChecker`] whether an answer is whole, and [`OutcomeReply`] what a caller sees
//! of a request without an answer.

mod attempt_event;
mod outcome_reply;
mod request_outcome;
mod retry_allowance;
mod retry_machine;
mod retry_plan;
mod retry_step;
mod stream_checker;
mod stream_event;
mod stream_fault;

pub use attempt_event::AttemptEvent;
pub use outcome_reply::{
    NOT_RUN_HEADER, OUTCOME_HEADER, OutcomeReply, REQUEST_ID_HEADER, SendAgain,
};
pub use request_outcome::{NotRunReason, RequestOutcome, UnknownReason};
pub use retry_allowance::{FreeAllowance, RetryAllowance};
pub use retry_machine::RetryMachine;
pub use retry_plan::RetryPlan;
pub use retry_step::RetryStep;
pub use stream_checker::{DEFAULT_EVENT_LIMIT, StreamChecker, StreamState};
pub use stream_fault::StreamFault;
