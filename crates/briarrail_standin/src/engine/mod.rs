//! Stand-in for a model engine.

mod cache_event;
mod chat_request;
mod engine_counts;
mod engine_faults;
mod engine_order;
mod engine_settings;
mod engine_standin;
mod engine_state;
mod event_stream;
mod load_history;
mod load_report;
mod order_log;
mod prefix_cache;
mod slot_queue;
mod stream_run;
mod token_text;

pub use cache_event::{CacheEvent, CacheEventKind, CacheEventPage};
pub use engine_counts::EngineCounts;
pub use engine_faults::EngineFaults;
pub use engine_order::EngineOrder;
pub use engine_settings::EngineSettings;
pub use engine_standin::{EngineStandin, start_engine};
pub use load_report::LoadReport;
pub use token_text::{completion_seed, completion_text, token_text};
