//! Load on routers and engines, with answers verified whole.
//!
//! [`run_chats`] sends chats that return, [`run_tickets`] sends calls that must run at most once,
//! and [`run_comparison`] sends the same load to an engine directly and through a router.

mod answer_reader;
mod call_outcome;
mod chat_book;
mod chat_load;
mod chat_plan;
mod comparison;
mod cpu_clock;
mod customer_mix;
mod latency_summary;
mod load_report;
mod load_tally;
mod ticket_load;
mod ticket_plan;
mod url_ring;

pub use answer_reader::{AnswerDefect, AnswerReader};
pub use call_outcome::CallOutcome;
pub use chat_book::{ChatBook, ChatTurn};
pub use chat_load::run_chats;
pub use chat_plan::{ChatPlan, HeaderNames};
pub use comparison::{ComparisonPlan, ComparisonRow, run_comparison};
pub use cpu_clock::CpuClock;
pub use customer_mix::{CustomerMix, MixError};
pub use latency_summary::LatencySummary;
pub use load_report::LoadReport;
pub use ticket_load::run_tickets;
pub use ticket_plan::{TicketPlan, TicketReport};
pub use url_ring::UrlRing;
