//! HTTP server, fault injection, and request and response types that all stand-ins share.

mod fault_injector;
mod standin_app;
mod standin_handle;
mod standin_request;
mod standin_response;
mod standin_server;

pub use fault_injector::FaultInjector;
pub(crate) use standin_app::StandinApp;
pub use standin_handle::StandinHandle;
pub(crate) use standin_request::StandinRequest;
pub(crate) use standin_response::StandinResponse;
pub(crate) use standin_server::start_standin;
