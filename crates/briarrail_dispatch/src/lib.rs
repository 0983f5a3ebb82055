//! Decision logic of the gateway, free of I/O.
//!
//! Time-dependent functions take the current time as an argument. [`RoutingTable`] resolves the
//! route and the customer of a request. [`TargetRegistry`] holds the known state of each target and
//! places requests. [`AdmissionController`] decides which share of the calls of a busy service is
//! sent at all.
//! [`CrashQuarantine`] blocks requests and prompt parts that crash targets. [`RetryBudget`] limits
//! retries across the fleet. [`TargetRoster`] decides which listed targets are in use while the
//! store is unavailable or was restored from a copy. [`choose_hub`] selects the router that
//! reads the store for the others, and [`ViewTracker`] decides whether another router's view of the
//! targets is newer than the current one. [`ViewTime`] says how old a view can be.
//! [`EvacuationLedger`] decides which data centres are evacuated.
//! [`MemoryAccount`] decides what a router holds for its callers, and who gives way.

mod adaptive_timeout;
mod admission_controller;
mod admission_policy;
mod asked_run;
mod begin_memory;
mod blocked_suspect;
mod cold_limiter;
mod cold_policy;
mod cold_targets;
mod cold_terms;
mod completion_basis;
mod connection_timer;
mod crash_quarantine;
mod crash_suspect;
mod departed_targets;
mod evacuation_ledger;
mod evacuation_view;
mod fleet_members;
mod fleet_size;
mod greeting_policy;
mod heard_notices;
mod home_set;
mod hub_choice;
mod leaving_notice;
mod limit_report;
mod limited_request;
mod live_origins;
mod lost_suspect;
mod memory_account;
mod memory_budget;
mod memory_holder;
mod notice_event;
mod notice_memory;
mod notice_source;
mod outcome_window;
mod outlier_detector;
mod past_time;
mod pause_report;
mod prompt_parts;
mod release_entry;
mod release_gate;
mod release_inference;
mod release_key;
mod release_ledger;
mod release_user;
mod reply_window;
mod retry_after;
mod retry_budget;
mod router_list;
mod routing_table;
mod run_notices;
mod send_denial;
mod send_need;
mod service_capacity;
mod service_index;
mod service_release;
mod service_time_meter;
mod site_config;
mod sliding_window;
mod standing_change;
mod store_read_policy;
mod stream_key;
mod stream_origins;
mod suspect_change;
mod suspect_record;
mod suspect_report;
mod suspect_reports;
mod target_lifetime;
mod target_limiter;
mod target_notice;
mod target_notices;
mod target_pause;
mod target_place;
mod target_placement;
mod target_record;
mod target_registry;
mod target_roster;
mod target_run;
mod target_standing;
mod thread_watch;
mod view_time;
mod view_tracker;

pub use adaptive_timeout::AdaptiveTimeout;
pub use admission_controller::{AdmissionController, AdmissionRatio};
pub use admission_policy::AdmissionPolicy;
pub use asked_run::AskedRun;
pub use blocked_suspect::BlockedSuspect;
pub use cold_limiter::ColdSource;
pub use cold_targets::ColdChange;
pub use cold_terms::ColdTerms;
pub use completion_basis::CompletionBasis;
pub use connection_timer::{ConnectionTimeout, ConnectionTimer};
pub use crash_quarantine::CrashQuarantine;
pub use crash_suspect::{CrashSuspect, SuspectKind};
pub use evacuation_ledger::{EvacuationChange, EvacuationLedger};
pub use evacuation_view::{EvacuationPosition, EvacuationView};
pub use fleet_members::FleetMembers;
pub use fleet_size::FleetSize;
pub use greeting_policy::GreetingState;
pub use home_set::HomeSet;
pub use hub_choice::{HubCandidate, choose_hub, choose_view_sources};
pub use leaving_notice::LeavingNotice;
pub use limit_report::{LimitReport, LimitStatement};
pub use limited_request::LimitedRequest;
pub use live_origins::{LiveOrigins, OriginPage};
pub use lost_suspect::LostSuspect;
pub use memory_account::{
    AnswerDecision, HeldMemory, HolderKey, MemoryAccount, ReclaimCause, Reclaimed,
};
pub use memory_budget::MemoryBudget;
pub use notice_event::{NoticeEvent, NoticeStep};
pub use notice_source::NoticeSource;
pub use outcome_window::{OutcomeTotals, OutcomeWindow};
pub use outlier_detector::{OutlierDetector, SendOutcome};
pub use pause_report::PauseReport;
pub use prompt_parts::PromptParts;
pub use release_entry::ReleaseEntry;
pub use release_gate::ReleaseGate;
pub use release_inference::{
    FleetEvidence, ReleaseUsers, can_infer, can_precede_process, infer_release, users_to_ask,
};
pub use release_key::ReleaseKey;
pub use release_ledger::{ReleaseLedger, sole_release};
pub use release_user::ReleaseUser;
pub use reply_window::ReplyWindow;
pub use retry_after::{RefusalCause, retry_after};
pub use retry_budget::{RetryBudget, RetryBudgetLimits};
pub use router_list::RouterList;
pub use routing_table::{RouteKey, RouteLookup, RoutingTable};
pub use send_denial::SendDenial;
pub use send_need::SendNeed;
pub use service_capacity::ServiceCapacity;
pub use service_release::ServiceRelease;
pub use site_config::{
    CallerLimits, CustomerConfig, RouteConfig, RouteSemantics, ServiceConfig, ServiceShare,
    SiteConfig,
};
pub use standing_change::StandingChange;
pub use store_read_policy::{ReadConditions, ReadReason, retry_delay};
pub use stream_key::StreamKey;
pub use stream_origins::{
    StreamOrigins, is_in_touch, origin_holders, origin_sources, origin_witnesses,
};
pub use suspect_change::SuspectChange;
pub use suspect_report::{BlockReport, CrashReport, SuspectReport};
pub use suspect_reports::SuspectReports;
pub use target_lifetime::TargetLifetime;
pub use target_notice::TargetNotice;
pub use target_pause::TargetPause;
pub use target_place::TargetPlace;
pub use target_placement::{Placement, PlacementLimits, PlacementRequest};
pub use target_record::{TargetPhase, TargetRecord};
pub use target_registry::{TargetKey, TargetRegistry, TargetState};
pub use target_roster::{RemovalPolicy, RosterChange, RosterRecord, TargetRoster};
pub use target_run::TargetRun;
pub use target_standing::TargetStanding;
pub use thread_watch::{ThreadHealth, ThreadWatch};
pub use view_time::{ViewTime, ViewTimeBounds};
pub use view_tracker::{ViewPosition, ViewTracker};
