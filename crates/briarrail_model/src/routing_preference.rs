//! Trade-off between even load and cache reuse.

use serde::{Deserialize, Serialize};

/// What a pool prefers if even load and cache reuse conflict.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoutingPreference {
    /// Sheds load early, so that the most loaded target stays near the mean.
    EvenLoad,
    /// Keeps chats on their home target, which has their context cached, as long as the skew bound
    /// allows.
    #[default]
    CacheReuse,
}
