//! Messages about the releases at which streams began.

use serde::{Deserialize, Serialize};

/// The release at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// Hash of the identifier of the attempt that brought the stream's first event.
    #[serde(rename = "s")]
    pub stream: u64,
    /// Hash of the service and the version of its targets; `None` if the sender doesn't know it.
    #[serde(rename = "r")]
    pub release: Option<u64>,
}

/// What a router knows of a stream that another one asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// Hash of the identifier of the attempt that brought the stream's first event.
    #[serde(rename = "s")]
    pub stream: u64,
    /// Hash of the service and the version of its targets; `None` if the router doesn't know it.
    #[serde(rename = "r")]
    pub release: Option<u64>,
    /// Whether the router knows of another one that may have been lost with streams under way.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_lost_router: bool,
}

/// A datagram from one router to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Tells where streams began, so that the receiver can tell others.
    #[serde(rename = "n")]
    Notice(Vec<OriginNotice>),
    /// Tells which streams their callers have completely.
    #[serde(rename = "e")]
    Ended(Vec<u64>),
    /// Asks where the stream with this hash began.
    #[serde(rename = "q")]
    Query(u64),
    /// Answers a query.
    #[serde(rename = "a")]
    Answer(OriginAnswer),
}
