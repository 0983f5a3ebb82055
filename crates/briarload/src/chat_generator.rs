//! Generation of multi-turn chats.

use briarrail_standin::completion_seed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::ChatPlan;

/// Number of turns after which a chat starts over, which bounds the size of prompts.
const MAX_TURNS: usize = 20;

/// Generates the turns of a fixed number of chats in random order.
#[derive(Debug)]
pub struct ChatGenerator {
    plan: ChatPlan,
    turns: Vec<usize>,
    rng: SmallRng,
    started_turns: u64,
}

/// One turn of a chat, sent as one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatTurn {
    /// Identifier of the request.
    pub request_id: String,
    /// Identifier of the chat.
    pub chat_id: String,
    /// Customer of the chat.
    pub customer: String,
    /// Base URL to send the request to.
    pub url: String,
    /// Body of the request.
    pub body: String,
    /// Seed of the expected answer.
    pub seed: u64,
}

impl ChatGenerator {
    /// Creates a generator; every chat starts with its first turn.
    #[must_use]
    pub fn new(plan: &ChatPlan) -> Self {
        Self {
            turns: vec![0; plan.chats.max(1)],
            rng: SmallRng::seed_from_u64(plan.seed),
            started_turns: 0,
            plan: plan.clone(),
        }
    }

    /// Returns the next turn, or `None` if the plan's limit is reached or it has no URL.
    pub fn next_turn(&mut self) -> Option<ChatTurn> {
        if self
            .plan
            .limit
            .is_some_and(|limit| self.started_turns >= limit)
        {
            return None;
        }
        let url = self.plan.urls.next_url()?;
        let chat = self.rng.random_range(0..self.turns.len());
        self.turns[chat] = self.turns[chat] % MAX_TURNS + 1;
        let body = self.request_body(chat);
        let number = self.started_turns;
        self.started_turns += 1;
        Some(ChatTurn {
            request_id: format!("load-{}-{number}", self.plan.seed),
            chat_id: format!("chat-{chat}"),
            customer: self.plan.customers.customer(chat as u64).to_owned(),
            url,
            seed: completion_seed(body.as_bytes()),
            body,
        })
    }

    fn request_body(&self, chat: usize) -> String {
        let message = |turn| {
            let mut content = format!("Chat {chat}, turn {turn}: ");
            while content.len() < self.plan.turn_bytes {
                content.push_str("brine reading noted; ");
            }
            json!({ "role": "user", "content": content })
        };
        let messages: Vec<_> = (0..self.turns[chat]).map(message).collect();
        let body = json!({
            "model": self.plan.model,
            "messages": messages,
            "stream": true,
            "max_tokens": self.plan.tokens,
        });
        body.to_string()
    }
}
