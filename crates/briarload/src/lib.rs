//! Load generator for routers and engines that verifies every answer.
//!
//! [`run_chats`] sends multi-turn chats, [`run_tickets`] sends calls that must run at most once,
//! and [`run_comparison`] sends the same load to an engine directly and through a router.

mod answer_verifier;
mod call_outcome;
mod chat_generator;
mod chat_load;
mod chat_plan;
mod comparison;
mod customer_mix;
mod latency_summary;
mod load_report;
mod load_stats;
mod process_cpu_time;
mod round_robin_urls;
mod ticket_load;
mod ticket_plan;

pub use answer_verifier::{AnswerDefect, AnswerVerifier};
pub use call_outcome::CallOutcome;
pub use chat_generator::{ChatGenerator, ChatTurn};
pub use chat_load::run_chats;
pub use chat_plan::{ChatPlan, HeaderNames};
pub use comparison::{ComparisonPlan, ComparisonRow, run_comparison};
pub use customer_mix::{CustomerMix, CustomerMixError};
pub use latency_summary::LatencySummary;
pub use load_report::LoadReport;
pub use process_cpu_time::ProcessCpuTime;
pub use round_robin_urls::RoundRobinUrls;
pub use ticket_load::run_tickets;
pub use ticket_plan::{TicketPlan, TicketReport};
