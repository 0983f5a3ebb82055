//! The protocol between routers: messages, codec, authentication, byte budget.
//!
//! A frame is a short header with a truncated HMAC-SHA256 tag, followed by an [`Envelope`] in
//! MessagePack. Structures are encoded as maps, so a receiver ignores fields that it does not know.

mod admission_message;
mod byte_budget;
mod claim_message;
mod envelope;
mod exchange_message;
mod frame_codec;
mod frame_error;
mod host_list_update;
mod host_notice;
mod key_ring;
mod load_item;
mod message_kind;
mod origin_message;
mod pull_request;
mod sync_message;

pub use admission_message::{AdmissionReply, AdmissionRequest, ReleaseName};
pub use byte_budget::{ByteBudget, REPLY_HEADER_BYTES, REQUEST_HEADER_BYTES};
pub use claim_message::{
    ClaimAnswer, ClaimOutcome, ClaimReply, ClaimReport, ClaimRequest, ReportReply,
};
pub use envelope::Envelope;
pub use exchange_message::ExchangeMessage;
pub use frame_codec::{FrameCodec, MAX_FRAME_BYTES, PROTOCOL_VERSION};
pub use frame_error::{FrameError, FrameErrorKind};
pub use host_list_update::{HostListUpdate, HostPatch};
pub use host_notice::{HostNotice, NoticeItem, NoticeState};
pub use key_ring::{KeyRing, SharedKey};
pub use load_item::LoadItem;
pub use message_kind::MessageKind;
pub use origin_message::{OriginAnswer, OriginMessage, OriginNotice};
pub use pull_request::PullRequest;
pub use sync_message::{
    EvacuationList, RosterUpdate, ServiceDemand, StoredConfig, SyncReply, SyncRequest, SyncRouter,
    TargetCount, TargetLimit, TargetPauseItem,
};
