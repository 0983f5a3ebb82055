//! Small stand-ins for engines, plain services and the platform, for development only.
//!
//! Each stand-in starts in the calling process, on a port of its choice, and is stopped by its
//! handle. The program `briarrail_standin` starts one of them as a process of its own. Faults are
//! switched through the handle, or by `POST /_standin/faults` on the address of the stand-in.
//!
//! ```
//! use briarrail_standin::{ServiceSettings, start_service};
//!
//! # async fn example() -> std::io::Result<()> {
//! let service = start_service("127.0.0.1:0", ServiceSettings::default()).await?;
//! service.faults().update(|faults| faults.drop_after_run_next = 1);
//! println!("the next ticket runs at {} and its reply is lost", service.address());
//! # Ok(())
//! # }
//! ```

mod engine;
mod hosts;
mod objects;
mod server;
mod service;
mod site;

pub use engine::{
    CacheEvent, CacheEventKind, CacheEventPage, EngineCounts, EngineFaults, EngineOrder,
    EngineSettings, EngineStandin, LoadReport, completion_seed, completion_text, start_engine,
    token_text,
};
pub use hosts::{HostListFaults, HostListSettings, HostListStandin, start_host_list};
pub use objects::{
    ObjectApiCounts, ObjectApiFaults, ObjectApiSettings, ObjectApiStandin, OutageKind,
    start_object_api,
};
pub use server::{FaultInjector, StandinHandle};
pub use service::{
    LedgerEntry, ServiceFaults, ServiceResponse, ServiceSettings, ServiceStandin, body_digest,
    start_service,
};
pub use site::{SiteSettings, SiteStandin};

/// Header that carries the identifier of a request and of its answer.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that says, with the value `true`, that a refused request was not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header that names the chat of a request.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// Header that says whether a request is `interactive` or `deferrable`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header: tokens of the prompt that were found in the prefix cache.
pub const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Response header: tokens of the prompt.
pub const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";
/// Request header that carries the idempotency key of a call.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
