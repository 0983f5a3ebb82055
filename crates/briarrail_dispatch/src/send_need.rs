//! What a request needs of the target that it is sent to.

use briarrail_model::StableHash;

use crate::{HomeSet, ReleaseKey};

/// What a request needs of the target that it is sent to.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendNeed<'a> {
    /// Release of the only targets that can continue the request's stream; `None` if any can.
    pub release: Option<ReleaseKey>,
    /// Whether another target can have to continue the request's stream, so that the release of the
    /// target has to be certain.
    pub is_resumable: bool,
    /// Data centres in which the request may run; `None` if it may run in any.
    pub homes: Option<&'a HomeSet>,
    /// Seed that differs between requests and spreads their return to a target after a pause; `None`
    /// for what is asked of a target as a whole.
    pub seed: Option<StableHash>,
}

impl SendNeed<'_> {
    /// Need of a request that any target of its service can execute.
    pub const ANY: SendNeed<'static> = SendNeed {
        release: None,
        is_resumable: false,
        homes: None,
        seed: None,
    };
}
