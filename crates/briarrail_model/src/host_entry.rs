//! Entries of the platform's host list.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, HostName, HostPhase, RegionName};

/// One host of the platform's list: a router or a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host, unique in the list.
    pub name: HostName,
    /// Service that the host runs, such as `briarraild` or `pan-model`.
    pub service: String,
    /// Data centre that holds the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
    /// Address on which the service answers.
    pub address: SocketAddr,
    /// Phase of the host.
    pub phase: HostPhase,
    /// Number that rises each time the host is started anew.
    #[serde(default)]
    pub incarnation: u64,
    /// Labels that target selectors may ask for.
    #[serde(default)]
    pub labels: BTreeMap<String, String>,
}
