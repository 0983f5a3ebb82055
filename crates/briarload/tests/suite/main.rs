//! Tests of the load generator against the stand-ins.

mod answers;
mod chats;
mod tickets;
