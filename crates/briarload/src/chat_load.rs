//! Chat load.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use briarrail_standin::{CACHED_TOKENS_HEADER, PROMPT_TOKENS_HEADER, REQUEST_ID_HEADER};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, Response};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::load_stats::{CallRecord, LoadStats};
use crate::{
    AnswerDefect, AnswerVerifier, CallOutcome, ChatGenerator, ChatPlan, ChatTurn, LoadReport,
};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Characters of a refusal that are kept for the report.
const MAX_SHOWN_CHARS: usize = 200;
const TARGET_HEADER: &str = "x-standin";

/// Sends chats that return as the plan says, and verifies each answer.
///
/// # Panics
///
/// Panics if a task of the load panicked.
pub async fn run_chats(client: &Client, plan: &ChatPlan) -> LoadReport {
    let shared = Arc::new(LoadContext {
        client: client.clone(),
        plan: plan.clone(),
        book: Mutex::new(ChatGenerator::new(plan)),
        tally: Mutex::new(LoadStats::new()),
    });
    match plan.rate_per_s {
        Some(rate) => run_open(&shared, rate).await,
        None => run_closed(&shared).await,
    }
    let mut tally = shared.tally.lock().expect("no holder panics");
    std::mem::replace(&mut *tally, LoadStats::new()).report()
}

/// What the tasks of one load share.
struct LoadContext {
    client: Client,
    plan: ChatPlan,
    book: Mutex<ChatGenerator>,
    tally: Mutex<LoadStats>,
}

/// Keeps a fixed number of streams open.
async fn run_closed(shared: &Arc<LoadContext>) {
    let end = Instant::now() + shared.plan.duration;
    let mut tasks = JoinSet::new();
    for number in 0..shared.plan.streams {
        let shared = shared.clone();
        let delay = shared
            .plan
            .ramp
            .mul_f64(number as f64 / shared.plan.streams as f64);
        tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            while Instant::now() < end {
                let Some(turn) = shared.next_turn() else {
                    return;
                };
                shared.run_turn(&turn).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Starts streams at random times with a fixed mean rate, at most so many at once.
async fn run_open(shared: &Arc<LoadContext>, rate_per_s: f64) {
    let start = tokio::time::Instant::now();
    let mut random = SmallRng::seed_from_u64(shared.plan.seed);
    let places = Arc::new(Semaphore::new(shared.plan.streams));
    let mut tasks = JoinSet::new();
    let mut due = Duration::ZERO;
    while due < shared.plan.duration {
        tokio::time::sleep_until(start + due).await;
        let step = -(1.0 - random.random::<f64>()).ln() / rate_per_s;
        due += Duration::from_secs_f64(step);
        let place = places.clone().acquire_owned().await;
        let Some(turn) = shared.next_turn() else {
            break;
        };
        let shared = shared.clone();
        tasks.spawn(async move {
            shared.run_turn(&turn).await;
            drop(place);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

impl LoadContext {
    fn next_turn(&self) -> Option<ChatTurn> {
        self.book.lock().expect("no holder panics").next_turn()
    }

    async fn run_turn(&self, turn: &ChatTurn) {
        let record = self.send_turn(turn).await;
        let mut tally = self.tally.lock().expect("no holder panics");
        tally.add(&turn.chat_id, record);
    }

    async fn send_turn(&self, turn: &ChatTurn) -> CallRecord {
        let names = &self.plan.headers;
        let request = self.client.post(format!("{}{CHAT_PATH}", turn.url));
        let request = request
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &turn.request_id)
            .header(&names.chat, &turn.chat_id)
            .header(&names.customer, &turn.customer);
        let start = Instant::now();
        match request.body(turn.body.clone()).send().await {
            Ok(response) if response.status().is_success() => {
                self.read_answer(turn, response, start).await
            }
            Ok(response) => refusal_record(response).await,
            Err(error) if error.is_connect() => CallRecord::new(CallOutcome::Unreachable),
            Err(error) => CallRecord {
                defect: Some(error.to_string()),
                ..CallRecord::new(CallOutcome::Cut)
            },
        }
    }

    async fn read_answer(
        &self,
        turn: &ChatTurn,
        mut response: Response,
        start: Instant,
    ) -> CallRecord {
        let mut record = CallRecord {
            target: header_text(&response, TARGET_HEADER),
            cached_tokens: header_number(&response, CACHED_TOKENS_HEADER),
            prompt_tokens: header_number(&response, PROMPT_TOKENS_HEADER),
            ..CallRecord::new(CallOutcome::Answered)
        };
        let mut reader = AnswerVerifier::new(turn.seed, self.plan.tokens);
        let mut last = start;
        loop {
            let piece = match response.chunk().await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(error) => return failed(record, CallOutcome::Cut, &error.to_string()),
            };
            match reader.push(&piece) {
                Ok(0) => {}
                Ok(events) => record_events(&mut record, events, start, &mut last),
                Err(defect) => return defective(record, &defect),
            }
        }
        match reader.finish() {
            Ok(()) => record,
            Err(defect) => defective(record, &defect),
        }
    }
}

fn record_events(record: &mut CallRecord, events: u64, start: Instant, last: &mut Instant) {
    let now = Instant::now();
    record.events += events;
    if record.first_event.is_none() {
        record.first_event = Some(now - start);
    } else {
        record.gaps.push(now - *last);
    }
    *last = now;
}

fn failed(mut record: CallRecord, outcome: CallOutcome, defect: &str) -> CallRecord {
    record.outcome = outcome;
    record.defect = Some(defect.to_owned());
    record
}

fn defective(record: CallRecord, defect: &AnswerDefect) -> CallRecord {
    let outcome = match defect {
        AnswerDefect::ErrorEvent => CallOutcome::Cut,
        _ => CallOutcome::Wrong,
    };
    failed(record, outcome, &defect.to_string())
}

async fn refusal_record(response: Response) -> CallRecord {
    let outcome = CallOutcome::from_error_response(response.headers());
    let status = response.status();
    let body = response.text().await.unwrap_or_default();
    let shown: String = body.chars().take(MAX_SHOWN_CHARS).collect();
    CallRecord {
        defect: Some(format!("status {status}: {shown}")),
        ..CallRecord::new(outcome)
    }
}

fn header_text(response: &Response, name: &str) -> Option<String> {
    let value = response.headers().get(name)?;
    value.to_str().ok().map(str::to_owned)
}

fn header_number(response: &Response, name: &str) -> u64 {
    let text = header_text(response, name);
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}
