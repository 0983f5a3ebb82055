//! Requests from callers to targets and their answers.

mod admission_guard;
mod answer_relay;
mod call_driver;
mod call_record;
mod call_refusal;
mod call_service;
mod caller_reply;
mod caller_request;
mod caller_server;
mod claim_manager;
mod event_relay;
mod report_backlog;
mod request_reader;
mod routed_call;
mod target_answer;
mod target_client;
mod traffic_context;

pub(crate) use admission_guard::AdmissionGuard;
pub(crate) use answer_relay::WholeAnswer;
pub(crate) use call_driver::CallDriver;
pub(crate) use call_record::CallRecord;
pub(crate) use call_refusal::CallRefusal;
pub(crate) use caller_reply::{CallerReply, ReplyBody};
pub(crate) use caller_request::{BodyHints, CallerRequest};
pub(crate) use caller_server::serve_callers;
pub(crate) use claim_manager::{ClaimGrant, ClaimManager};
pub(crate) use report_backlog::ReportBacklog;
pub(crate) use routed_call::{CallPermit, RoutedCall};
pub(crate) use target_answer::TargetAnswer;
pub(crate) use target_client::{AttemptHeaders, TargetClient, forwarded_headers};
pub(crate) use traffic_context::TrafficContext;
