//! The dial between even load and cache reuse.

use serde::{Deserialize, Serialize};

/// What a pool prefers where even load and cache reuse disagree.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPreference {
    /// Sheds load early, so that the busiest target stays near the mean.
    EvenLoad,
    /// Keeps chats at their home target for as long as the skew bound allows.
    #[default]
    CacheReuse,
}
