//! HTTP client connections.

mod call_client;
mod head_budget;
mod http_connection;
mod response_stream;

pub use call_client::{CallClient, CallError, CallErrorKind, CallReply};
pub(crate) use http_connection::{HttpConnection, SendError};
