//! Chats that return.

use briarrail_standin::completion_seed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::ChatPlan;

/// Turns of a chat after which it starts anew, so that prompts stay bounded.
const MAX_TURNS: usize = 20;

/// Chats and the turns that each has had.
#[derive(Debug)]
pub struct ChatBook {
    plan: ChatPlan,
    turns: Vec<usize>,
    random: SmallRng,
    started: u64,
}

/// One turn of a chat: a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatTurn {
    /// Identifier of the request.
    pub request_id: String,
    /// Identifier of the chat.
    pub chat_id: String,
    /// Customer of the chat.
    pub customer: String,
    /// Base URL that the request goes to.
    pub url: String,
    /// Body of the request.
    pub body: String,
    /// Seed of the right answer.
    pub seed: u64,
}

impl ChatBook {
    /// Makes a book of chats that have had no turn.
    #[must_use]
    pub fn new(plan: &ChatPlan) -> Self {
        Self {
            turns: vec![0; plan.chats.max(1)],
            random: SmallRng::seed_from_u64(plan.seed),
            started: 0,
            plan: plan.clone(),
        }
    }

    /// Returns the next turn; none when the plan's limit is reached or it has no URL.
    pub fn next_turn(&mut self) -> Option<ChatTurn> {
        if self.plan.limit.is_some_and(|limit| self.started >= limit) {
            return None;
        }
        let url = self.plan.urls.next_url()?;
        let chat = self.random.random_range(0..self.turns.len());
        self.turns[chat] = self.turns[chat] % MAX_TURNS + 1;
        let body = self.body(chat);
        let number = self.started;
        self.started += 1;
        Some(ChatTurn {
            request_id: format!("load-{}-{number}", self.plan.seed),
            chat_id: format!("chat-{chat}"),
            customer: self.plan.customers.customer(chat as u64).to_owned(),
            url,
            seed: completion_seed(body.as_bytes()),
            body,
        })
    }

    fn body(&self, chat: usize) -> String {
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
