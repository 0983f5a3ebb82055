//! The traffic thread, which proxies requests from callers to targets.

mod caller_server;
mod cold_bounds;
mod connection_activity;
mod connection_pool;
mod crash_check;
mod first_answer;
mod gateway_reply;
mod part_list;
mod receive_request;
mod request_context;
mod request_handler;
mod request_trace;
mod request_traits;
mod response_body;
mod response_class;
mod send_guard;
mod send_log;
mod service_admissions;
mod stream_continuation;
mod stream_head;
mod stream_origin;
mod stream_progress;
mod stream_relay;
mod stream_transfer;
mod target_send;
mod target_silence;
mod target_standings;
mod traffic_state;
mod tried_targets;

pub(crate) use caller_server::serve_callers;
pub(crate) use stream_origin::{OriginCall, StreamOrigin};
pub(crate) use traffic_state::{
    ControlUpdate, SharedState, StopPhase, TrafficState, suspect_kind_name,
};
