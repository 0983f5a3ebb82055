//! Arrivals of requests.

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::scenario_plan::{SURGE_FACTOR, ScenarioPlan};
use super::site_shape::{RETURN_SECONDS, STREAM_SECONDS, SiteShape};

const NEW_CHAT_PART: f64 = 0.1;
const NO_CHAT_PART: f64 = 0.1;
const DEFERRABLE_PART: f64 = 0.2;
/// Spread of stream times, the sigma of their logarithm.
const STREAM_SPREAD: f64 = 0.7;

/// One conversation: its id, and the turns taken.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChatState {
    pub(crate) id: u64,
    pub(crate) turns: u32,
}

/// One request as it arrives.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivalFacts {
    pub(crate) customer: u32,
    /// Slot of the chat in the source; none for a request without a chat.
    pub(crate) chat: Option<u32>,
    pub(crate) deferrable: bool,
    pub(crate) stream_ms: u64,
}

/// Draws arrivals: Poisson, chats of a customer by a mild popularity.
pub(crate) struct ChatSource {
    pub(crate) chats: Vec<ChatState>,
    next_id: u64,
    /// Cumulative weights of the customers.
    cumulative: Vec<f64>,
    /// First chat of each customer, and the end.
    first_chat: Vec<u32>,
    rate_per_ms: f64,
    stream_times: LogNormal<f64>,
}

impl ChatSource {
    pub(crate) fn new(shape: &SiteShape) -> Self {
        let weights = shape.customer_weights();
        let active = shape.request_rate() * RETURN_SECONDS;
        let mut cumulative = Vec::new();
        let mut first_chat = vec![0];
        let mut sum = 0.0;
        let mut chats = 0;
        for weight in weights {
            sum += weight;
            cumulative.push(sum);
            chats += ((weight * active) as u32).max(1);
            first_chat.push(chats);
        }
        let location = (STREAM_SECONDS * 1_000.0).ln() - STREAM_SPREAD * STREAM_SPREAD / 2.0;
        let stream_times = LogNormal::new(location, STREAM_SPREAD).expect("spread is finite");
        let chat = |id| ChatState { id, turns: 0 };
        Self {
            chats: (0..u64::from(chats)).map(chat).collect(),
            next_id: u64::from(chats),
            cumulative,
            first_chat,
            rate_per_ms: shape.request_rate() / 1_000.0,
            stream_times,
        }
    }

    /// Returns the milliseconds to the next arrival, with their fraction.
    pub(crate) fn gap(&self, plan: &ScenarioPlan, now: u64, rng: &mut SmallRng) -> f64 {
        let extra = self.surge_extra(plan, now);
        let rate = self.rate_per_ms * (1.0 + extra);
        Exp::new(rate).expect("rate is positive").sample(rng)
    }

    pub(crate) fn draw(
        &mut self,
        plan: &ScenarioPlan,
        now: u64,
        rng: &mut SmallRng,
    ) -> ArrivalFacts {
        let extra = self.surge_extra(plan, now);
        let point = rng.random::<f64>() * (1.0 + extra);
        let customer = if point >= 1.0 {
            0
        } else {
            self.customer_at(point)
        };
        let chat = (!rng.random_bool(NO_CHAT_PART)).then(|| self.draw_chat(customer, rng));
        ArrivalFacts {
            customer: customer as u32,
            chat,
            deferrable: rng.random_bool(DEFERRABLE_PART),
            stream_ms: self.stream_times.sample(rng).max(100.0) as u64,
        }
    }

    fn draw_chat(&mut self, customer: usize, rng: &mut SmallRng) -> u32 {
        let (first, end) = (self.first_chat[customer], self.first_chat[customer + 1]);
        let popularity = rng.random::<f64>().powf(1.5);
        let slot = first + (popularity * f64::from(end - first)) as u32;
        if rng.random_bool(NEW_CHAT_PART) {
            let id = self.next_id;
            self.next_id += 1;
            self.chats[slot as usize] = ChatState { id, turns: 0 };
        }
        slot
    }

    fn customer_at(&self, point: f64) -> usize {
        let position = self.cumulative.partition_point(|&sum| sum <= point);
        position.min(self.cumulative.len() - 1)
    }

    fn surge_extra(&self, plan: &ScenarioPlan, now: u64) -> f64 {
        if plan.surges_at(now) {
            self.cumulative[0] * (SURGE_FACTOR - 1.0)
        } else {
            0.0
        }
    }
}
