//! Actions that a fleet node requests from its caller.

use std::net::SocketAddr;

use briarrail_model::HostName;
use bytes::Bytes;

/// Identifies a sent frame when its reply or failure is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SendId(pub u64);

/// An action for the caller to execute.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum FleetOutput {
    /// Send a frame, then call `on_reply` or `on_send_failed` with the same id.
    Send {
        /// Identifies the frame.
        id: SendId,
        /// Receiver of the frame.
        to: HostName,
        /// Address of the receiver.
        address: SocketAddr,
        /// Encoded frame.
        frame: Bytes,
    },
    /// Read the host list, then call `on_hosts_read`.
    ReadHostList {
        /// Revision after which changes are requested; 0 for the full list.
        since: u64,
    },
    /// Read the configuration from the object API, then call `on_config_read`.
    ReadConfig {
        /// Sequence number after which edits are requested; 0 for a snapshot.
        after: u64,
    },
    /// Watch the head of the configuration, then call `on_watch`.
    WatchConfig {
        /// Known sequence number.
        after: u64,
    },
    /// The set of targets whose load this router reads has changed.
    ObservedTargetsChanged,
    /// This router has declared a host down, normally after another router failed to reach it as
    /// well; intended for logging.
    DeclaredDown {
        /// Name of the host that is down.
        host: HostName,
    },
    /// A later configuration is active.
    ConfigChanged {
        /// Its sequence number.
        sequence: u64,
    },
}
