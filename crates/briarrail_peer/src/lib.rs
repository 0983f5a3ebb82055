//! The inner protocol between routers: messages, codec, authentication, byte budget.

mod claim_message;

pub use claim_message::{ClaimAnswer, ClaimReply, ClaimReport, ClaimRequest};
