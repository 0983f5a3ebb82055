//! Messages with which a router asks to be listed as a user of releases.

use serde::{Deserialize, Serialize};

use crate::OriginNotice;

/// A software release of a service's targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseName {
    /// Name of the service.
    #[serde(rename = "s")]
    pub service: String,
    /// Version of the targets' software.
    #[serde(rename = "v")]
    pub version: String,
}

/// Asks the receiver to list the sender in the store as a user of releases, together with the streams
/// that it has under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Releases of which the sender knows targets.
    #[serde(rename = "r")]
    pub releases: Vec<ReleaseName>,
    /// Streams of the sender that are under way.
    #[serde(rename = "o")]
    pub streams: Vec<OriginNotice>,
}

/// Answers a request for admission once the store has what it said.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionReply {
    /// Hashes of the releases that the requester may use.
    #[serde(rename = "a")]
    pub admitted: Vec<u64>,
}
