//! Generator of request arrivals.

use rand::Rng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, Exp, LogNormal};

use super::scenario::{SURGE_FACTOR, Scenario};
use super::site_parameters::{MEAN_CHAT_RETURN_SECONDS, MEAN_STREAM_SECONDS, SiteParameters};

const NEW_CHAT_FRACTION: f64 = 0.1;
const NO_CHAT_FRACTION: f64 = 0.1;
const DEFERRABLE_FRACTION: f64 = 0.2;
/// Standard deviation of the logarithm of the stream duration.
const STREAM_TIME_SIGMA: f64 = 0.7;

/// One chat: its id and the number of completed turns.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ChatState {
    pub(crate) id: u64,
    pub(crate) turns: u32,
}

/// Attributes of an arriving request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestAttributes {
    pub(crate) customer: u32,
    /// Index into `ArrivalGenerator::chats`; `None` for a request without a chat.
    pub(crate) chat: Option<u32>,
    pub(crate) deferrable: bool,
    pub(crate) stream_ms: u64,
}

/// Generates Poisson arrivals; the chats of a customer follow a mildly skewed popularity.
pub(crate) struct ArrivalGenerator {
    pub(crate) chats: Vec<ChatState>,
    next_chat_id: u64,
    /// Cumulative request shares of the customers.
    cumulative_weights: Vec<f64>,
    /// Index of each customer's first chat, followed by the total number of chats.
    first_chat_slot: Vec<u32>,
    rate_per_ms: f64,
    stream_times: LogNormal<f64>,
}

impl ArrivalGenerator {
    pub(crate) fn new(site: &SiteParameters) -> Self {
        let weights = site.customer_weights();
        let active_chats = site.request_rate() * MEAN_CHAT_RETURN_SECONDS;
        let mut cumulative_weights = Vec::new();
        let mut first_chat_slot = vec![0];
        let mut sum = 0.0;
        let mut chats = 0;
        for weight in weights {
            sum += weight;
            cumulative_weights.push(sum);
            chats += ((weight * active_chats) as u32).max(1);
            first_chat_slot.push(chats);
        }
        let mu = (MEAN_STREAM_SECONDS * 1_000.0).ln() - STREAM_TIME_SIGMA * STREAM_TIME_SIGMA / 2.0;
        let stream_times = LogNormal::new(mu, STREAM_TIME_SIGMA).expect("sigma is finite");
        let chat = |id| ChatState { id, turns: 0 };
        Self {
            chats: (0..u64::from(chats)).map(chat).collect(),
            next_chat_id: u64::from(chats),
            cumulative_weights,
            first_chat_slot,
            rate_per_ms: site.request_rate() / 1_000.0,
            stream_times,
        }
    }

    /// Returns the fractional milliseconds until the next arrival.
    pub(crate) fn next_gap_ms(&self, scenario: &Scenario, now: u64, rng: &mut SmallRng) -> f64 {
        let extra_rate = self.surge_extra_rate(scenario, now);
        let rate = self.rate_per_ms * (1.0 + extra_rate);
        Exp::new(rate).expect("rate is positive").sample(rng)
    }

    pub(crate) fn next_request(
        &mut self,
        scenario: &Scenario,
        now: u64,
        rng: &mut SmallRng,
    ) -> RequestAttributes {
        let extra_rate = self.surge_extra_rate(scenario, now);
        let point = rng.random::<f64>() * (1.0 + extra_rate);
        let customer = if point >= 1.0 {
            0
        } else {
            self.customer_at(point)
        };
        let chat = (!rng.random_bool(NO_CHAT_FRACTION)).then(|| self.sample_chat(customer, rng));
        RequestAttributes {
            customer: customer as u32,
            chat,
            deferrable: rng.random_bool(DEFERRABLE_FRACTION),
            stream_ms: self.stream_times.sample(rng).max(100.0) as u64,
        }
    }

    fn sample_chat(&mut self, customer: usize, rng: &mut SmallRng) -> u32 {
        let (first, end) = (
            self.first_chat_slot[customer],
            self.first_chat_slot[customer + 1],
        );
        let popularity = rng.random::<f64>().powf(1.5);
        let slot = first + (popularity * f64::from(end - first)) as u32;
        if rng.random_bool(NEW_CHAT_FRACTION) {
            let id = self.next_chat_id;
            self.next_chat_id += 1;
            self.chats[slot as usize] = ChatState { id, turns: 0 };
        }
        slot
    }

    fn customer_at(&self, point: f64) -> usize {
        let position = self.cumulative_weights.partition_point(|&sum| sum <= point);
        position.min(self.cumulative_weights.len() - 1)
    }

    /// Returns the extra request rate of the surge as a fraction of the base rate.
    fn surge_extra_rate(&self, scenario: &Scenario, now: u64) -> f64 {
        if scenario.is_surging_at(now) {
            self.cumulative_weights[0] * (SURGE_FACTOR - 1.0)
        } else {
            0.0
        }
    }
}
