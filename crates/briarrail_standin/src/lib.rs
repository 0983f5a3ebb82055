//! Stand-ins for engines, plain services and the platform, for development and tests only.
//!
//! A stand-in is a small HTTP server that runs inside the calling process, on the given address,
//! until its handle is stopped or dropped. The program `briarrail_standin` runs one stand-in as a
//! separate process. Faults are injected through the handle, or with `POST /_standin/faults` on the
//! address of the stand-in.
//!
//! ```
//! use briarrail_standin::{ServiceSettings, start_service};
//!
//! # async fn example() -> std::io::Result<()> {
//! let service = start_service("127.0.0.1:0", ServiceSettings::default()).await?;
//! service.faults().update(|faults| faults.drop_after_run_next = 1);
//! println!("{} will run the next ticket but drop its response", service.address());
//! # Ok(())
//! # }
//! ```

mod engine;
mod hosts;
mod objects;
mod port_block;
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
pub use port_block::free_address;
pub use server::{FaultInjector, StandinHandle};
pub use service::{
    LedgerEntry, ServiceFaults, ServiceResponse, ServiceSettings, ServiceStandin, body_digest,
    start_service,
};
pub use site::{SiteSettings, SiteStandin};

/// Header with the ID of a request, repeated in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Response header: `true` if the request was rejected and did not run.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Request header: ID of the chat that the request belongs to.
pub const CHAT_ID_HEADER: &str = "x-chat-id";
/// Request header: priority, `interactive` or `deferrable`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Response header: number of prompt tokens that were found in the prefix cache.
pub const CACHED_TOKENS_HEADER: &str = "x-cached-tokens";
/// Response header: number of prompt tokens.
pub const PROMPT_TOKENS_HEADER: &str = "x-prompt-tokens";
/// Request header: idempotency key of the request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
