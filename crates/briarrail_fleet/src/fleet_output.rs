//! What a router's fleet part asks its caller to do.

use std::net::SocketAddr;

use briarrail_model::HostName;
use bytes::Bytes;

/// Identifies a frame that was sent, so that its reply or failure can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

/// An action for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum FleetOutput {
    /// Sends a frame; ends in `on_reply` or `on_send_failed` with the same id.
    Send {
        /// Identifies the frame.
        id: SendId,
        /// Host that receives the frame.
        to: HostName,
        /// Address of the host.
        address: SocketAddr,
        /// The frame.
        frame: Bytes,
    },
    /// Reads the host list; ends in `on_hosts_read`.
    ReadHostList {
        /// Revision after which changes are wanted; 0 for the whole list.
        since: u64,
    },
    /// Reads the configuration from the object API; ends in `on_config_read`.
    ReadConfig {
        /// Sequence number after which edits are wanted.
        after: u64,
    },
    /// Watches the head of the configuration; ends in `on_watch`.
    WatchConfig {
        /// Sequence number that is known.
        after: u64,
    },
    /// The set of targets whose load this router reads has changed.
    ObservedTargetsChanged,
    /// This router found a host to be down, after another one had; for the log.
    DeclaredDown {
        /// Name of the host.
        host: HostName,
    },
    /// A later configuration is in force.
    ConfigChanged {
        /// Its sequence number.
        sequence: u64,
    },
}
