//! The traffic thread: from callers to targets and back.

mod answer_head;
mod caller_connection;
mod caller_server;
mod gateway_reply;
mod link_pool;
mod relay_body;
mod request_context;
mod request_intake;
mod request_run;
mod request_trace;
mod send_guard;
mod stream_pump;
mod target_send;
mod traffic_state;

pub(crate) use caller_server::serve_callers;
pub(crate) use traffic_state::{ControlUpdate, SharedState, StopPhase, TrafficState};
