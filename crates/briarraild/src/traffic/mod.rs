//! Serving of callers' requests: routing, admission, claims, attempts at targets and responses.

mod admission_guard;
mod call_driver;
mod call_recorder;
mod call_refusal;
mod call_service;
mod caller_reply;
mod caller_request;
mod caller_server;
mod claim_manager;
mod event_relay;
mod report_backlog;
mod request_reader;
mod response_relay;
mod routed_call;
mod target_client;
mod target_response;
mod traffic_context;
mod upload_body;

pub(crate) use admission_guard::AdmissionGuard;
pub(crate) use call_driver::CallDriver;
pub(crate) use call_recorder::CallRecorder;
pub(crate) use call_refusal::CallRefusal;
pub(crate) use caller_reply::{CallerReply, ReplyBody};
pub(crate) use caller_request::{BodyFields, CallerRequest};
pub(crate) use caller_server::serve_callers;
pub(crate) use claim_manager::{ClaimGrant, ClaimManager};
pub(crate) use report_backlog::ReportBacklog;
pub(crate) use response_relay::BufferedResponse;
pub(crate) use routed_call::{CallPermit, RoutedCall};
pub(crate) use target_client::{AttemptHeaders, TargetClient, forwarded_headers};
pub(crate) use target_response::TargetResponse;
pub(crate) use traffic_context::TrafficContext;
pub(crate) use upload_body::{UploadProgress, watched_body};
