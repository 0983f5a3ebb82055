//! What routers tell each other about one suspect.

use briarrail_model::{MilliDuration, StableHash};
use serde::{Deserialize, Serialize};

/// A crash of a target while requests with a suspect waited for their answer to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Low 32 bits of the hash of the target's identity.
    pub target: u32,
    /// Time since the crash.
    pub age: MilliDuration,
    /// Time since such a request was first sent to the target, at least; only for whole requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sent_age: Option<MilliDuration>,
}

/// A time for which requests with a suspect are not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockReport {
    /// Time since the suspect was blocked.
    pub age: MilliDuration,
    /// Time until requests are sent again.
    pub remaining: MilliDuration,
}

/// Evidence for and against one suspect, whose kind the message tells; times are relative, since routers share no clock.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Hash of the suspect.
    pub suspect: StableHash,
    /// Crashes since an answer to a request with the suspect last began, oldest first.
    pub crashes: Vec<CrashReport>,
    /// Time since an answer to a request with the suspect began.
    pub begun_age: Option<MilliDuration>,
    /// The last decision to block the suspect.
    pub block: Option<BlockReport>,
}

impl SuspectReport {
    /// Adds the time that the report spends on its way to all ages.
    ///
    /// The time is half a round trip, and may be wrong by as much. A request must not seem to have
    /// been sent after a crash only for that, so its age grows by the possible error of both.
    #[must_use]
    pub fn aged(mut self, transit: MilliDuration) -> Self {
        for crash in &mut self.crashes {
            crash.age = crash.age + transit;
            crash.sent_age = crash.sent_age.map(|age| age + transit + transit + transit);
        }
        self.begun_age = self.begun_age.map(|age| age + transit);
        self.block = self.block.map(|block| BlockReport {
            age: block.age + transit,
            ..block
        });
        self
    }
}
