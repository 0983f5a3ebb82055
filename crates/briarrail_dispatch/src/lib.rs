//! Decisions of the gateway, apart from any I/O.
//!
//! Every function that decides takes the present time as an argument. [`RoutingTable`] finds the
//! route and the customer of a request, [`TargetBoard`] holds what is believed of each target and
//! places requests, [`RepeatBudget`] limits repeats over the fleet, [`TargetRoster`] decides which
//! listed targets still count while the store is away, [`choose_hub`] says which router reads the
//! store for the others, and [`ViewOrder`] which of several views is the later one.

mod answer_patience;
mod fleet_evidence;
mod hub_choice;
mod outlier_guard;
mod prompt_facts;
mod refusal_timing;
mod repeat_budget;
mod routing_table;
mod site_config;
mod store_pacing;
mod target_board;
mod target_placement;
mod target_roster;
mod target_row;
mod view_order;

pub use answer_patience::AnswerPatience;
pub use fleet_evidence::{OutcomeUnits, OutcomeWindow};
pub use hub_choice::{HubCandidate, choose_hub, choose_view_sources};
pub use outlier_guard::{OutlierGuard, SendOutcome};
pub use prompt_facts::PromptFacts;
pub use refusal_timing::{RefusalCause, retry_after};
pub use repeat_budget::{BudgetTerms, RepeatBudget};
pub use routing_table::{RouteKey, RouteLookup, RoutingTable};
pub use site_config::{
    CallerLimits, CustomerRow, RepeatRule, RouteRules, ServiceRules, ServiceShare, SiteConfig,
};
pub use store_pacing::{ReadDuty, ReadFacts, retry_pause};
pub use target_board::{TargetBoard, TargetKey, TargetState};
pub use target_placement::{Placement, PlacementAsk, PlacementTerms};
pub use target_roster::{RemovalRule, RosterChange, RosterRow, TargetRoster};
pub use target_row::{TargetPhase, TargetRow};
pub use view_order::{ViewOrder, ViewPosition, ViewTime};
