//! The routers among which the bounds of cold targets are divided.

use briarrail_dispatch::RouterList;
use briarrail_model::{HostName, MilliDuration, MilliTime};

use super::control_state::{ControlState, MAX_VIEW_AGE};
use crate::traffic::ControlUpdate;

/// Maximum time since the last message of another router while this one is in touch; more than one
/// sync at the longest interval.
const MAX_CONTACT_AGE: MilliDuration = MilliDuration::from_millis(1_500);

impl ControlState {
    /// Tells the traffic thread which routers are known.
    pub(crate) fn send_router_list(&self, now: MilliTime) {
        let routers = self.peers.keys().chain([&self.local.name]);
        let is_recent = |at: MilliTime| now.since(at) <= MAX_CONTACT_AGE;
        let mut contacts = self.peers.values().filter_map(|peer| peer.last_contact_at);
        let has_view = self.view_age(now).is_some_and(|age| age <= MAX_VIEW_AGE);
        let list = RouterList {
            local: self.local.name.stable_hash(),
            routers: routers.map(HostName::stable_hash).collect(),
            is_complete: self.is_listed || self.hub_counts.is_some(),
            is_in_touch: has_view || contacts.any(is_recent),
        };
        self.send_update(ControlUpdate::Routers(list));
    }

    /// Tells the traffic thread as of which time the roster reflects the store.
    pub(crate) fn send_view_time(&self) {
        if let Some(observed_at) = self.view_tracker.observed_at() {
            self.send_update(ControlUpdate::View(observed_at));
        }
    }
}
