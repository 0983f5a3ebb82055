//! Inputs of a run other than its arguments.

use std::time::{SystemTime, UNIX_EPOCH};

use briarrail_config::EditId;
use briarrail_model::MilliTime;
use uuid::Uuid;

/// Defaults from the environment, the current time, and the identifier of an edit that the run
/// may submit.
#[derive(Debug, Clone)]
pub struct RunContext {
    /// Base URL of the object API, from `BRIARCTL_STORE`.
    pub store_url: Option<String>,
    /// Base URL of the host list, from `BRIARCTL_HOSTS`.
    pub hosts_url: Option<String>,
    /// Name of the operator, from `BRIARCTL_EDITOR` or `USER`.
    pub editor: Option<String>,
    /// Unix time of the run, in milliseconds.
    pub now: MilliTime,
    /// Identifier of the edit, if the run submits one without `--edit-id`.
    pub edit_id: EditId,
}

impl RunContext {
    /// Reads the environment and the clock, and generates an edit identifier.
    #[must_use]
    pub fn from_environment() -> Self {
        let variable = |name| std::env::var(name).ok().filter(|text| !text.is_empty());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.map_or(0, |span| span.as_millis() as u64);
        Self {
            store_url: variable("BRIARCTL_STORE"),
            hosts_url: variable("BRIARCTL_HOSTS"),
            editor: variable("BRIARCTL_EDITOR").or_else(|| variable("USER")),
            now: MilliTime::from_millis(millis),
            edit_id: EditId(Uuid::now_v7()),
        }
    }
}
