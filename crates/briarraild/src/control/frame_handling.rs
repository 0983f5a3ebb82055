//! Frames of other routers.

use briarrail_model::HostName;
use briarrail_peer::{Envelope, FrameError, MessageKind};
use briarrail_platform::{HostDirectory, ObjectStore};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::oneshot;

use super::{ControlLoop, PeerPath};

/// Why a frame was dropped.
#[derive(Debug, Error)]
enum DroppedFrame {
    /// The frame can't be opened.
    #[error(transparent)]
    Sealed(#[from] FrameError),
    /// The sender is no router of the host list.
    #[error("{0} is no router of the host list")]
    Unlisted(HostName),
}

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Takes a frame; one that can't be opened gets no reply.
    pub(super) fn handle_frame(
        &mut self,
        path: PeerPath,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) {
        let result = match path {
            PeerPath::Exchange => {
                let now = self.now();
                // A peer that has gone away sends its frame again.
                let _ = reply.send(self.parts.fleet.on_frame(now, frame));
                return;
            }
            PeerPath::Claim => self.handle_claim(frame, reply),
            PeerPath::Report => self.handle_report(frame, reply),
        };
        if let Err(error) = result {
            tracing::warn!(%error, "claims: frame dropped");
        }
    }

    fn handle_claim(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), DroppedFrame> {
        let envelope = self.open(MessageKind::ClaimRequest, frame)?;
        let (sender, answered) = oneshot::channel();
        let calls = self.parts.desk.claim(envelope.body, sender, self.now());
        self.call_store(calls);
        self.reply_sealed(MessageKind::ClaimReply, envelope.from, answered, reply);
        Ok(())
    }

    fn handle_report(
        &mut self,
        frame: &Bytes,
        reply: oneshot::Sender<Option<Bytes>>,
    ) -> Result<(), DroppedFrame> {
        let envelope = self.open(MessageKind::ClaimReport, frame)?;
        let (sender, answered) = oneshot::channel();
        let calls = self.parts.desk.report(envelope.body, sender, self.now());
        self.call_store(calls);
        self.reply_sealed(MessageKind::ReportReply, envelope.from, answered, reply);
        Ok(())
    }

    /// Opens a frame, if its sender is a router of the host list.
    fn open<T>(&self, kind: MessageKind, frame: &Bytes) -> Result<Envelope<T>, DroppedFrame>
    where
        T: DeserializeOwned,
    {
        let envelope = self.parts.codec.open(kind, &self.parts.own.name, frame)?;
        if self.is_listed_router(&envelope.from) {
            return Ok(envelope);
        }
        Err(DroppedFrame::Unlisted(envelope.from))
    }

    fn is_listed_router(&self, name: &HostName) -> bool {
        let hosts = self.parts.fleet.hosts();
        let entry = hosts.key(name).and_then(|key| hosts.entry(key));
        entry.is_some_and(|entry| entry.service == self.parts.own.service)
    }

    /// Seals the answer to a claim message once it is there.
    fn reply_sealed<T>(
        &self,
        kind: MessageKind,
        to: HostName,
        answered: oneshot::Receiver<T>,
        reply: oneshot::Sender<Option<Bytes>>,
    ) where
        T: Serialize + Send + 'static,
    {
        let codec = self.parts.codec.clone();
        let from = self.parts.own.name.clone();
        let incarnation = self.parts.own.incarnation;
        tokio::spawn(async move {
            let body = answered.await.ok();
            let envelope = body.map(|body| Envelope {
                from,
                incarnation,
                to,
                body,
            });
            let frame = envelope.and_then(|envelope| codec.seal(kind, &envelope).ok());
            // A router that has gone away asks again.
            let _ = reply.send(frame);
        });
    }
}
