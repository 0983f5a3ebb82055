//! Messages between the control thread and the traffic thread.

use std::collections::BTreeSet;

use briarrail_dispatch::{RosterChange, RouterList, SuspectReports};
use briarrail_model::{DataCentre, MilliTime};
use tokio::sync::oneshot;

use crate::fleet_counts::FleetCounts;

/// Message from the control thread to the traffic thread.
#[derive(Debug)]
pub(crate) enum ControlUpdate {
    /// Changes to the roster of targets.
    Roster(Vec<RosterChange>),
    /// The evacuated data centres.
    Evacuations(BTreeSet<DataCentre>),
    /// Time as of which the roster reflects the store.
    View(MilliTime),
    /// Current requests, recent outcomes and demand of the other routers.
    PeerCounts(FleetCounts),
    /// The routers among which the bounds of cold targets are divided.
    Routers(RouterList),
    /// Evidence of other routers on prompt parts that crash targets.
    SuspectReports(SuspectReports, &'static str),
    /// Asks for the counts and the evidence of this router.
    LocalReport(oneshot::Sender<LocalReport>),
}

/// What the traffic thread tells the control thread for the exchange.
#[derive(Debug, Default)]
pub(crate) struct LocalReport {
    /// Requests, recent outcomes and demand.
    pub(crate) counts: FleetCounts,
    /// Evidence on prompt parts that crash targets.
    pub(crate) suspect_reports: SuspectReports,
}
