//! What all stand-ins share: listening, faults, and the shape of a call.

mod fault_injector;
mod standin_app;
mod standin_call;
mod standin_handle;
mod standin_reply;
mod standin_server;

pub use fault_injector::FaultInjector;
pub(crate) use standin_app::StandinApp;
pub(crate) use standin_call::StandinCall;
pub use standin_handle::StandinHandle;
pub(crate) use standin_reply::StandinReply;
pub(crate) use standin_server::start_standin;
