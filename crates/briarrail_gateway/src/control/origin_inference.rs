//! Infers the release of a stream that neither a router nor the store knows.

use std::collections::BTreeSet;

use briarrail_dispatch::{FleetEvidence, ReleaseUser, StreamKey, infer_release, users_to_ask};
use briarrail_model::{HostName, MilliDuration, MilliTime};

use super::live_router::LiveRouter;
use super::origin_exchange::{OriginExchange, addresses};
use crate::SiteStore;
use crate::traffic::StreamOrigin;

/// Time for which an answer of a router counts for other streams, so that many streams that are taken up
/// at once cost one question.
const ANSWER_MAX_AGE: MilliDuration = MilliDuration::from_millis(250);
/// Maximum number of routers that are asked; in larger fleets the stream is refused.
const MAX_ASKED_ROUTERS: usize = 512;

impl<S> OriginExchange<S>
where
    S: SiteStore,
{
    /// Infers the release of a stream that was taken up at `asked_at` from the users of the releases
    /// that the store lists.
    pub(super) async fn infer_origin(
        &self,
        stream: StreamKey,
        service: &str,
        asked_at: MilliTime,
    ) -> StreamOrigin {
        // Releases are read last, because one is listed before it gets a user.
        let Some(origins) = self.store.read_origins_since(asked_at).await else {
            return StreamOrigin::Unavailable;
        };
        if let Some(release) = origins.streams.get(&stream).copied() {
            return StreamOrigin::Known(release, "store");
        }
        let Some(listed) = self.store.read_releases_since(asked_at).await else {
            return StreamOrigin::Unavailable;
        };
        if origins.is_partial {
            return StreamOrigin::Ambiguous;
        }
        let users = users_to_ask(service, &listed, &origins.users);
        let user_names = users.iter().map(|user| user.router.clone());
        let names: BTreeSet<HostName> = {
            let state = self.state.borrow();
            let names = user_names.chain(state.peers.keys().cloned());
            names.filter(|name| *name != state.local.name).collect()
        };
        if names.len() > MAX_ASKED_ROUTERS {
            return StreamOrigin::Ambiguous;
        }
        let silent = self.silent_routers(&names);
        let sources = addresses(&self.state.borrow(), &silent);
        let answers = self.ask(stream, sources).await;
        if let Some(release) = answers.release {
            return StreamOrigin::Known(release, "router");
        }
        self.record_live(answers.answered);
        let evidence = self.evidence(&names);
        let in_use = self.state.borrow().releases_in_use();
        let release = infer_release(service, &listed, &in_use, &origins.users, &evidence);
        tracing::info!(
            event = "stream_origin_inferred",
            users = users.len(),
            routers = names.len(),
            live = evidence.live.len(),
            has_lost_router = evidence.has_lost_router,
            release = release.map(|release| format!("{:016x}", release.0.0)),
        );
        release.map_or(StreamOrigin::Ambiguous, |release| {
            StreamOrigin::Known(release, "inferred")
        })
    }

    /// Returns the routers that have not answered lately.
    fn silent_routers(&self, names: &BTreeSet<HostName>) -> BTreeSet<HostName> {
        let now = self.now();
        let mut live = self.live_routers.borrow_mut();
        live.retain(|_, router| now.since(router.answered_at) <= ANSWER_MAX_AGE);
        let silent = names.iter().filter(|name| !live.contains_key(*name));
        silent.cloned().collect()
    }

    fn record_live(&self, answered: Vec<LiveRouter>) {
        let mut live = self.live_routers.borrow_mut();
        for router in answered {
            live.insert(router.user.router.clone(), router);
        }
    }

    /// Returns which of the routers live, and whether one may have been lost with its streams.
    fn evidence(&self, names: &BTreeSet<HostName>) -> FleetEvidence {
        let state = self.state.borrow();
        let routers = self.live_routers.borrow();
        let answered = names.iter().filter_map(|name| routers.get(name));
        let answered: Vec<&LiveRouter> = answered.collect();
        let has_lost_router = answered.len() < names.len()
            || answered.iter().any(|router| router.knows_lost_router)
            || state.knows_lost_router(self.now());
        let local = ReleaseUser {
            router: state.local.name.clone(),
            incarnation: state.incarnation,
        };
        let live = answered.into_iter().map(|router| router.user.clone());
        FleetEvidence {
            live: live.chain([local]).collect(),
            has_lost_router,
        }
    }
}
