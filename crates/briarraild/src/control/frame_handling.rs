//! Handling of frames from other routers.

use briarrail_model::HostName;
use briarrail_peer::{Envelope, FrameError, MessageKind};
use briarrail_platform::{HostDirectory, ObjectStore};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::oneshot;

use super::{ControlLoop, PeerPath};

/// Reason for dropping a claim frame.
#[derive(Debug, Error)]
enum FrameRejection {
    /// The frame can't be authenticated or decoded.
    #[error(transparent)]
    Invalid(#[from] FrameError),
    /// The sender is not a router in the host list.
    #[error("sender {0} is not a router in the host list")]
    UnlistedSender(HostName),
}

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Handles a frame; a rejected frame gets no reply.
    pub(super) fn handle_frame(
        &mut self,
        path: PeerPath,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) {
        let result = match path {
            PeerPath::Exchange => {
                let now = self.now();
                // A peer that closed its connection sends the frame again.
                let _ = reply.send(self.parts.fleet.on_frame(now, frame));
                return;
            }
            PeerPath::Claim => self.handle_claim(frame, reply),
            PeerPath::Report => self.handle_report(frame, reply),
        };
        if let Err(error) = result {
            tracing::warn!(%error, "claims: dropped a frame");
        }
    }

    fn handle_claim(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), FrameRejection> {
        let envelope = self.open_claim_frame(MessageKind::ClaimRequest, frame)?;
        let (sender, receiver) = oneshot::channel();
        let calls = self
            .parts
            .claims
            .handle_claim(envelope.body, sender, self.now());
        self.start_store_calls(calls);
        self.spawn_reply(MessageKind::ClaimReply, envelope.from, receiver, reply);
        Ok(())
    }

    fn handle_report(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), FrameRejection> {
        let envelope = self.open_claim_frame(MessageKind::ClaimReport, frame)?;
        let (sender, receiver) = oneshot::channel();
        let calls = self
            .parts
            .claims
            .handle_report(envelope.body, sender, self.now());
        self.start_store_calls(calls);
        self.spawn_reply(MessageKind::ReportReply, envelope.from, receiver, reply);
        Ok(())
    }

    /// Opens a frame and checks that its sender is a router in the host list.
    fn open_claim_frame<T>(
        &self,
        kind: MessageKind,
        frame: &Bytes,
    ) -> Result<Envelope<T>, FrameRejection>
    where
        T: DeserializeOwned,
    {
        let envelope = self
            .parts
            .codec
            .open(kind, &self.parts.local_host.name, frame)?;
        if self.is_listed_router(&envelope.from) {
            return Ok(envelope);
        }
        Err(FrameRejection::UnlistedSender(envelope.from))
    }

    fn is_listed_router(&self, name: &HostName) -> bool {
        let hosts = self.parts.fleet.hosts();
        let entry = hosts.key(name).and_then(|key| hosts.entry(key));
        entry.is_some_and(|entry| entry.service == self.parts.local_host.service)
    }

    /// Spawns a task that waits for the reply to a claim message and seals it.
    fn spawn_reply<T>(
        &self,
        kind: MessageKind,
        to: HostName,
        receiver: oneshot::Receiver<T>,
        reply: oneshot::Sender<Option<Bytes>>,
    ) where
        T: Serialize + Send + 'static,
    {
        let codec = self.parts.codec.clone();
        let from = self.parts.local_host.name.clone();
        let incarnation = self.parts.local_host.incarnation;
        tokio::spawn(async move {
            let body = receiver.await.ok();
            let envelope = body.map(|body| Envelope {
                from,
                incarnation,
                to,
                body,
            });
            let frame = envelope.and_then(|envelope| codec.seal(kind, &envelope).ok());
            // A router that closed its connection asks again.
            let _ = reply.send(frame);
        });
    }
}
