//! Tests of the load tool against the stand-ins.

mod answers;
mod chats;
mod tickets;
