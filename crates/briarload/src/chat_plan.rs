//! Plans of chat load.

use std::time::Duration;

use crate::{CustomerMix, RoundRobinUrls};

/// Names of the headers that routers read.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Header that names the chat.
    pub chat: String,
    /// Header that names the customer.
    pub customer: String,
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            chat: "x-chat-id".to_owned(),
            customer: "x-customer".to_owned(),
        }
    }
}

/// What chat load to make.
#[derive(Debug, Clone)]
pub struct ChatPlan {
    /// Base URLs, taken in turn; the load ends when there is none.
    pub urls: RoundRobinUrls,
    /// Streams that are open at once.
    pub streams: usize,
    /// Streams started in a second; none starts a new one whenever one ends.
    pub rate_per_s: Option<f64>,
    /// Time over which the first streams are started, evenly.
    pub ramp: Duration,
    /// Time for which streams are started.
    pub duration: Duration,
    /// Most streams to start; none for no limit.
    pub limit: Option<u64>,
    /// Tokens of each answer.
    pub tokens: u64,
    /// Bytes that each turn adds to the prompt.
    pub turn_bytes: usize,
    /// Chats that come back.
    pub chats: usize,
    /// Model that the requests name.
    pub model: String,
    /// Customers of the chats.
    pub customers: CustomerMix,
    /// Names of the headers.
    pub headers: HeaderNames,
    /// Seed of the choice of chats.
    pub seed: u64,
}

impl Default for ChatPlan {
    fn default() -> Self {
        Self {
            urls: RoundRobinUrls::default(),
            streams: 16,
            rate_per_s: None,
            ramp: Duration::from_secs(1),
            duration: Duration::from_secs(5),
            limit: None,
            tokens: 32,
            turn_bytes: 400,
            chats: 200,
            model: "pan-model".to_owned(),
            customers: CustomerMix::default(),
            headers: HeaderNames::default(),
            seed: 1,
        }
    }
}
