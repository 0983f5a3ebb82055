//! Tests of the gateway's decisions, in virtual time, each on the load pattern it answers.

mod budget;
mod context_source;
mod ejection;
mod evidence;
mod fixtures;
mod hubs;
mod pacing;
mod patience;
mod placement;
mod plain_calls;
mod refusals;
mod roster;
mod routing;
mod views;
