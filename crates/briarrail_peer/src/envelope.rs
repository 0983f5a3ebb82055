//! The envelope of every message.

use briarrail_model::HostName;
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Host that sent the message.
    #[serde(rename = "f")]
    pub from: HostName,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Host that the message is addressed to.
    #[serde(rename = "t")]
    pub to: HostName,
    /// The message.
    #[serde(rename = "b")]
    pub body: T,
}
