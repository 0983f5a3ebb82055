//! Tests of the gateway's decision logic in virtual time.

mod adaptive_timeout;
mod admission;
mod connection_timer;
mod context_source;
mod crash_quarantine;
mod crash_replay;
mod ejection;
mod fixtures;
mod fleet_outcomes;
mod greetings;
mod hub_choice;
mod placement;
mod plain_calls;
mod rate_limits;
mod restored_roster;
mod retry_after;
mod retry_budget;
mod routing;
mod store_read_policy;
mod stream_releases;
mod target_notices;
mod target_registry;
mod target_roster;
mod thread_watch;
mod view_time;
mod view_tracker;
