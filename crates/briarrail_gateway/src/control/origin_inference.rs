//! Infers the release of a stream that neither a router nor the store knows.

use std::collections::BTreeSet;
use std::rc::Rc;

use briarrail_dispatch::{
    FleetEvidence, ReleaseKey, ReleaseUser, StreamKey, infer_release, users_to_ask,
};
use briarrail_model::{HostName, MilliDuration, MilliTime};

use super::live_router::LiveRouter;
use super::origin_exchange::{OriginExchange, addresses};
use crate::SiteStore;
use crate::traffic::StreamOrigin;

/// Time for which the answers of the routers count for other streams, so that many that are taken up at
/// once cost one round of questions.
const CENSUS_MAX_AGE: MilliDuration = MilliDuration::from_millis(100);
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
        let routers = match self.take_census(stream, &names).await {
            Ok(routers) => routers,
            Err(release) => return StreamOrigin::Known(release, "router"),
        };
        let evidence = self.evidence(&names, &routers);
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

    /// Asks all routers whether they know the stream, unless they were asked for another one a moment
    /// ago, and returns those that answered.
    ///
    /// # Errors
    ///
    /// Fails with the release of the stream if one of them knows it.
    async fn take_census(
        &self,
        stream: StreamKey,
        names: &BTreeSet<HostName>,
    ) -> Result<Rc<Vec<LiveRouter>>, ReleaseKey> {
        let mut census = self.census.lock().await;
        let now = self.now();
        if let Some((at, routers)) = census.as_ref()
            && now.since(*at) <= CENSUS_MAX_AGE
        {
            return Ok(Rc::clone(routers));
        }
        let sources = addresses(&self.state.borrow(), names);
        let answers = self.ask(stream, sources).await;
        if let Some(release) = answers.release {
            return Err(release);
        }
        let routers = Rc::new(answers.answered);
        *census = Some((self.now(), Rc::clone(&routers)));
        Ok(routers)
    }

    /// Returns which of the routers live, and whether one may have been lost with its streams.
    fn evidence(&self, names: &BTreeSet<HostName>, routers: &[LiveRouter]) -> FleetEvidence {
        let state = self.state.borrow();
        let answered: BTreeSet<&HostName> =
            routers.iter().map(|router| &router.user.router).collect();
        let has_lost_router = names.iter().any(|name| !answered.contains(name))
            || routers.iter().any(|router| router.knows_lost_router)
            || state.knows_lost_router(self.now());
        let local = ReleaseUser {
            router: state.local.name.clone(),
            incarnation: state.incarnation,
        };
        let live = routers.iter().map(|router| router.user.clone());
        FleetEvidence {
            live: live.chain([local]).collect(),
            has_lost_router,
        }
    }
}
