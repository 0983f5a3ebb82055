//! Entries of the host list that the platform provides.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, HostName, HostPhase, RegionName};

/// A host in the platform's host list: a router or a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Service that the host runs, such as `briarraild` or `pan-model`.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address that the service listens on.
    pub address: SocketAddr,
    /// Lifecycle phase of the host.
    pub phase: HostPhase,
    /// Number that increases each time the host restarts.
    #[serde(default)]
    pub incarnation: u64,
    /// Labels that target selectors match on.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}
