//! Load of streamed chat requests.

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
/// Characters of an error response that are included in the report.
const MAX_ERROR_BODY_CHARS: usize = 200;
const TARGET_HEADER: &str = "x-standin";

/// Sends multi-turn chats according to the plan, and verifies each answer.
///
/// # Panics
///
/// Panics if a task of the load panics.
pub async fn run_chats(client: &Client, plan: &ChatPlan) -> LoadReport {
    let context = Arc::new(LoadContext {
        client: client.clone(),
        plan: plan.clone(),
        generator: Mutex::new(ChatGenerator::new(plan)),
        stats: Mutex::new(LoadStats::new()),
    });
    match plan.rate_per_s {
        Some(rate) => run_open_loop(&context, rate).await,
        None => run_closed_loop(&context).await,
    }
    let mut stats = context.stats.lock().expect("the mutex is not poisoned");
    std::mem::replace(&mut *stats, LoadStats::new()).into_report()
}

/// State that the tasks of one load share.
struct LoadContext {
    client: Client,
    plan: ChatPlan,
    generator: Mutex<ChatGenerator>,
    stats: Mutex<LoadStats>,
}

/// Runs a closed loop: a fixed number of concurrent streams.
async fn run_closed_loop(context: &Arc<LoadContext>) {
    let end = Instant::now() + context.plan.duration;
    let mut tasks = JoinSet::new();
    for number in 0..context.plan.streams {
        let context = context.clone();
        let delay = context
            .plan
            .ramp
            .mul_f64(number as f64 / context.plan.streams as f64);
        tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            while Instant::now() < end {
                let Some(turn) = context.next_turn() else {
                    return;
                };
                context.run_turn(&turn).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

/// Runs an open loop: streams arrive in a Poisson process, up to the limit of concurrent streams.
async fn run_open_loop(context: &Arc<LoadContext>, rate_per_s: f64) {
    let start = tokio::time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(context.plan.seed);
    let semaphore = Arc::new(Semaphore::new(context.plan.streams));
    let mut tasks = JoinSet::new();
    let mut arrival = Duration::ZERO;
    while arrival < context.plan.duration {
        tokio::time::sleep_until(start + arrival).await;
        let interval = -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
        arrival += Duration::from_secs_f64(interval);
        let permit = semaphore.clone().acquire_owned().await;
        let Some(turn) = context.next_turn() else {
            break;
        };
        let context = context.clone();
        tasks.spawn(async move {
            context.run_turn(&turn).await;
            drop(permit);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

impl LoadContext {
    fn next_turn(&self) -> Option<ChatTurn> {
        self.generator
            .lock()
            .expect("the mutex is not poisoned")
            .next_turn()
    }

    async fn run_turn(&self, turn: &ChatTurn) {
        let record = self.send_turn(turn).await;
        let mut stats = self.stats.lock().expect("the mutex is not poisoned");
        stats.add(&turn.chat_id, record);
    }

    async fn send_turn(&self, turn: &ChatTurn) -> CallRecord {
        let header_names = &self.plan.headers;
        let request = self.client.post(format!("{}{CHAT_PATH}", turn.url));
        let request = request
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &turn.request_id)
            .header(&header_names.chat, &turn.chat_id)
            .header(&header_names.customer, &turn.customer);
        let start = Instant::now();
        match request.body(turn.body.clone()).send().await {
            Ok(response) if response.status().is_success() => {
                self.read_answer(turn, response, start).await
            }
            Ok(response) => error_response_record(response).await,
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
        let mut verifier = AnswerVerifier::new(turn.seed, self.plan.tokens);
        let mut last_event = start;
        loop {
            let chunk = match response.chunk().await {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return with_failure(record, CallOutcome::Cut, &error.to_string()),
            };
            match verifier.push(&chunk) {
                Ok(0) => {}
                Ok(events) => record_events(&mut record, events, start, &mut last_event),
                Err(defect) => return with_defect(record, &defect),
            }
        }
        match verifier.finish() {
            Ok(()) => record,
            Err(defect) => with_defect(record, &defect),
        }
    }
}

fn record_events(record: &mut CallRecord, events: u64, start: Instant, last_event: &mut Instant) {
    let now = Instant::now();
    record.events += events;
    if record.first_event.is_none() {
        record.first_event = Some(now - start);
    } else {
        record.gaps.push(now - *last_event);
    }
    *last_event = now;
}

fn with_failure(mut record: CallRecord, outcome: CallOutcome, defect: &str) -> CallRecord {
    record.outcome = outcome;
    record.defect = Some(defect.to_owned());
    record
}

fn with_defect(record: CallRecord, defect: &AnswerDefect) -> CallRecord {
    let outcome = match defect {
        AnswerDefect::ErrorEvent => CallOutcome::Cut,
        _ => CallOutcome::Wrong,
    };
    with_failure(record, outcome, &defect.to_string())
}

async fn error_response_record(response: Response) -> CallRecord {
    let outcome = CallOutcome::from_error_response(response.headers());
    let status = response.status();
    let body = response.text().await.unwrap_or_default();
    let excerpt: String = body.chars().take(MAX_ERROR_BODY_CHARS).collect();
    CallRecord {
        defect: Some(format!("status {status}: {excerpt}")),
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
