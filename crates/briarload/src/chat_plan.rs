//! Parameters of chat load.

use std::time::Duration;

use crate::{CustomerMix, RoundRobinUrls};

/// Names of the request headers that routers read.
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

/// Parameters of chat load.
#[derive(Debug, Clone)]
pub struct ChatPlan {
    /// Base URLs, used in round-robin order; the load ends when the list is empty.
    pub urls: RoundRobinUrls,
    /// Number of concurrent streams; with a rate, the maximum number.
    pub streams: usize,
    /// Mean number of streams started per second; `None` starts a stream whenever one ends.
    pub rate_per_s: Option<f64>,
    /// Time over which the first streams are started at even intervals, without a rate.
    pub ramp: Duration,
    /// Time during which new streams are started.
    pub duration: Duration,
    /// Maximum number of streams to start; `None` for no limit.
    pub limit: Option<u64>,
    /// Number of tokens per answer.
    pub tokens: u64,
    /// Bytes that each turn adds to the prompt.
    pub turn_bytes: usize,
    /// Number of chats among which the turns are distributed.
    pub chats: usize,
    /// Model name in the requests.
    pub model: String,
    /// Customers of the chats.
    pub customers: CustomerMix,
    /// Names of the request headers.
    pub headers: HeaderNames,
    /// Seed for the random choice of chats.
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
