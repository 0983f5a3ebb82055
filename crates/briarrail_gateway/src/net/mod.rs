//! Connections that the gateway opens.

mod call_client;
mod http_link;

pub use call_client::{CallClient, CallError, CallErrorKind, CallReply};
pub(crate) use http_link::{HttpLink, SendFault};
