//! Decisions of the gateway, apart from any I/O.
//!
//! Every function that decides takes the present time as an argument. [`RoutingTable`] finds the
//! route and the customer of a request, [`TargetRegistry`] holds what is believed of each target and
//! places requests, [`RetryBudget`] limits repeats over the fleet, [`TargetRoster`] decides which
//! listed targets still count while the store is away, [`choose_hub`] says which router reads the
//! store for the others, and [`ViewTracker`] which of several views is the later one.

mod adaptive_timeout;
mod hub_choice;
mod outcome_window;
mod outlier_detector;
mod prompt_parts;
mod retry_after;
mod retry_budget;
mod routing_table;
mod site_config;
mod store_read_policy;
mod target_placement;
mod target_record;
mod target_registry;
mod target_roster;
mod view_tracker;

pub use adaptive_timeout::AdaptiveTimeout;
pub use hub_choice::{HubCandidate, choose_hub, choose_view_sources};
pub use outcome_window::{OutcomeTotals, OutcomeWindow};
pub use outlier_detector::{OutlierDetector, SendOutcome};
pub use prompt_parts::PromptParts;
pub use retry_after::{RefusalCause, retry_after};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use routing_table::{RouteKey, RouteLookup, RoutingTable};
pub use site_config::{
    CallerLimits, CustomerConfig, RouteConfig, RouteSemantics, ServiceConfig, ServiceShare,
    SiteConfig,
};
pub use store_read_policy::{ReadConditions, ReadReason, retry_delay};
pub use target_placement::{Placement, PlacementLimits, PlacementRequest};
pub use target_record::{TargetPhase, TargetRecord};
pub use target_registry::{TargetKey, TargetRegistry, TargetState};
pub use target_roster::{RemovalPolicy, RosterChange, RosterRecord, TargetRoster};
pub use view_tracker::{ViewPosition, ViewTimeBounds, ViewTracker};
