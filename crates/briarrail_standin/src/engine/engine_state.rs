//! What an engine holds and does.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http::{HeaderMap, StatusCode};
use salvo::http::ResBody;
use serde_json::json;

use crate::engine::chat_call::ChatCall;
use crate::engine::event_stream::{EventReader, StreamFaults};
use crate::engine::order_book::OrderBook;
use crate::engine::prefix_cache::PrefixCache;
use crate::engine::slot_queue::{SlotQueue, StreamSlot};
use crate::engine::stream_run::StreamRun;
use crate::engine::{EngineCounts, EngineFaults, EngineOrder, EngineSettings, LoadReport};
use crate::server::{FaultInjector, StandinCall, StandinReply};
use crate::{CACHED_TOKENS_HEADER, PROMPT_TOKENS_HEADER, REQUEST_ID_HEADER};

const OTHER_REQUEST_ID: &str = "another-request";

/// State that the engine shares with its streams.
#[derive(Debug)]
pub(crate) struct EngineState {
    settings: EngineSettings,
    faults: FaultInjector<EngineFaults>,
    slots: Arc<SlotQueue>,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderBook>,
    held: Mutex<HashMap<String, Arc<StreamRun>>>,
    counts: Mutex<EngineCounts>,
    unnamed: AtomicU64,
}

impl EngineState {
    /// Makes the state of an engine that has run nothing.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let slots = SlotQueue::new(settings.capacity, settings.queue_limit, settings.load_lag);
        Self {
            faults: FaultInjector::new(settings.faults.clone()),
            slots,
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            orders: Mutex::new(OrderBook::new(settings.checks_fencing)),
            held: Mutex::default(),
            counts: Mutex::default(),
            unnamed: AtomicU64::new(0),
            settings,
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.settings.name
    }

    pub(crate) fn faults(&self) -> &FaultInjector<EngineFaults> {
        &self.faults
    }

    pub(crate) fn read_load(&self) -> LoadReport {
        self.slots.report()
    }

    pub(crate) fn taken_orders(&self) -> Vec<EngineOrder> {
        let orders = self.orders.lock().expect("no holder panics");
        orders.taken().to_vec()
    }

    pub(crate) fn read_counts(&self) -> EngineCounts {
        let mut counts = *self.counts.lock().expect("no holder panics");
        counts.peak_streams = self.slots.peak() as u64;
        counts
    }

    fn count<C>(&self, change: C)
    where
        C: FnOnce(&mut EngineCounts),
    {
        change(&mut self.counts.lock().expect("no holder panics"));
    }

    pub(crate) async fn chat(self: &Arc<Self>, call: &StandinCall) -> StandinReply {
        let unnamed = self.unnamed.fetch_add(1, Ordering::Relaxed);
        let call = match ChatCall::read(call, unnamed) {
            Ok(call) => call,
            Err(message) => return StandinReply::not_run(StatusCode::BAD_REQUEST, &message),
        };
        if let Some(after) = call.resume_after
            && let Some(reply) = self.resume(&call, after)
        {
            return reply;
        }
        let is_refused = self.faults.take(|faults| &mut faults.refuse_next);
        let slot = match is_refused {
            true => None,
            false => self.slots.acquire(call.is_deferrable).await,
        };
        let Some(slot) = slot else {
            self.count(|counts| counts.refused += 1);
            let reply = StandinReply::not_run(StatusCode::SERVICE_UNAVAILABLE, "no place");
            return reply.with_header(REQUEST_ID_HEADER, &call.request_id);
        };
        let start = call.resume_after.map_or(0, |after| after + 1);
        let run = self.start(call, slot);
        if self.faults.take(|faults| &mut faults.drop_before_head_next) {
            self.detach(&run, 0);
            return StandinReply::Abort;
        }
        if run.call.is_streamed {
            self.stream(run, start)
        } else {
            self.complete(run).await
        }
    }

    /// Continues a stream that is held; none when the request is to run anew.
    fn resume(self: &Arc<Self>, call: &ChatCall, after: u64) -> Option<StandinReply> {
        let held = self.held.lock().expect("no holder panics");
        let run = held.get(&call.request_id).cloned();
        drop(held);
        match run.filter(|run| run.call.seed == call.seed) {
            Some(run) => {
                self.count(|counts| counts.resumed += 1);
                Some(self.stream(run, after + 1))
            }
            None if self.settings.reruns_unknown_streams => None,
            None => {
                let reply = StandinReply::not_run(StatusCode::GONE, "the stream is not held");
                Some(reply.with_header(REQUEST_ID_HEADER, &call.request_id))
            }
        }
    }

    fn start(&self, call: ChatCall, slot: StreamSlot) -> Arc<StreamRun> {
        let mut cache = self.cache.lock().expect("no holder panics");
        let cached = cache.look_up(&call.cache_key, call.prompt_tokens);
        let stored = call.prompt_tokens + call.tokens;
        cache.store(&call.cache_key, stored, Instant::now());
        drop(cache);
        self.count(|counts| {
            counts.runs += 1;
            counts.prompt_tokens += call.prompt_tokens;
            counts.cached_tokens += cached;
        });
        let first_token = self.first_token(call.prompt_tokens - cached);
        let interval = self.settings.token_interval;
        let run = Arc::new(StreamRun::new(call, cached, first_token, interval, slot));
        let mut held = self.held.lock().expect("no holder panics");
        let replaced = held.insert(run.call.request_id.clone(), run.clone());
        drop(held);
        if let Some(replaced) = replaced {
            self.give_up(&replaced);
        }
        run
    }

    fn first_token(&self, uncached_tokens: u64) -> Duration {
        let tokens = u32::try_from(uncached_tokens).unwrap_or(u32::MAX);
        self.settings.first_token + self.settings.prefill_per_token * tokens
    }

    fn stream(self: &Arc<Self>, run: Arc<StreamRun>, start: u64) -> StandinReply {
        let faults = self.strike();
        let reader = EventReader::new(self.clone(), run.clone(), faults, start);
        let reply = StandinReply::Answer {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Box::new(ResBody::stream(reader.into_stream())),
        };
        let reply = reply.with_header("content-type", "text/event-stream");
        self.with_run_headers(reply, &run)
    }

    async fn complete(self: &Arc<Self>, run: Arc<StreamRun>) -> StandinReply {
        // The reader gives the run up when the caller goes away and this future is dropped.
        let reader = EventReader::new(self.clone(), run.clone(), StreamFaults::default(), 0);
        let last = run.call.tokens.saturating_sub(1);
        tokio::select! {
            () = run.cancel.cancelled() => return StandinReply::Abort,
            () = tokio::time::sleep_until(run.due(last)) => {}
        }
        self.finish(&run);
        drop(reader);
        let reply = StandinReply::json(StatusCode::OK, &run.completion());
        self.with_run_headers(reply, &run)
    }

    /// Takes the faults that strike the next streamed answer.
    fn strike(&self) -> StreamFaults {
        let after = self.faults.get().cut_after_events;
        let is_cut = self.faults.take(|faults| &mut faults.cut_next);
        let is_ended = self.faults.take(|faults| &mut faults.end_early_next);
        let is_stalled = self.faults.take(|faults| &mut faults.stall_next);
        StreamFaults {
            cut_after: is_cut.then_some(after),
            end_after: is_ended.then_some(after),
            stall_after: is_stalled.then_some(after),
            repeats: self.faults.take(|faults| &mut faults.repeat_events_next),
        }
    }

    fn with_run_headers(&self, reply: StandinReply, run: &StreamRun) -> StandinReply {
        let is_wrong = self.faults.take(|faults| &mut faults.wrong_id_next);
        let request_id = run.call.request_id.as_str();
        let id = if is_wrong {
            OTHER_REQUEST_ID
        } else {
            request_id
        };
        reply
            .with_header(REQUEST_ID_HEADER, id)
            .with_header(PROMPT_TOKENS_HEADER, &run.call.prompt_tokens.to_string())
            .with_header(CACHED_TOKENS_HEADER, &run.cached_tokens.to_string())
    }

    /// Ends a run that was read to its end.
    pub(crate) fn finish(&self, run: &Arc<StreamRun>) {
        if self.forget(run) {
            self.count(|counts| counts.finished += 1);
        }
    }

    /// Keeps a run whose reader went away, for a resume, and then gives it up.
    pub(crate) fn detach(self: &Arc<Self>, run: &Arc<StreamRun>, reader: u64) {
        if !self.is_held(run) || !run.is_latest(reader) {
            return;
        }
        if self.faults.get().forgets_streams {
            self.give_up(run);
            return;
        }
        let state = self.clone();
        let run = run.clone();
        let resume_window = self.settings.resume_window;
        tokio::spawn(async move {
            tokio::time::sleep(resume_window).await;
            if run.is_latest(reader) {
                state.give_up(&run);
            }
        });
    }

    fn give_up(&self, run: &Arc<StreamRun>) {
        run.cancel.cancel();
        run.release();
        if self.forget(run) {
            self.count(|counts| counts.cancelled += 1);
        }
    }

    fn is_held(&self, run: &Arc<StreamRun>) -> bool {
        let held = self.held.lock().expect("no holder panics");
        let found = held.get(&run.call.request_id);
        found.is_some_and(|found| Arc::ptr_eq(found, run))
    }

    /// Lets go of a run and its place; returns whether it was held.
    fn forget(&self, run: &Arc<StreamRun>) -> bool {
        run.release();
        let mut held = self.held.lock().expect("no holder panics");
        let found = held.get(&run.call.request_id);
        let is_held = found.is_some_and(|found| Arc::ptr_eq(found, run));
        if is_held {
            held.remove(&run.call.request_id);
        }
        is_held
    }

    pub(crate) fn cancel(&self, request_id: &str) -> StandinReply {
        let held = self.held.lock().expect("no holder panics");
        let run = held.get(request_id).cloned();
        drop(held);
        let Some(run) = run else {
            return StandinReply::error(StatusCode::NOT_FOUND, "no such stream");
        };
        self.give_up(&run);
        StandinReply::empty(StatusCode::NO_CONTENT)
    }

    pub(crate) fn load(&self) -> StandinReply {
        if self.faults.get().load_outage {
            return StandinReply::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        StandinReply::json(StatusCode::OK, &self.slots.report())
    }

    pub(crate) fn cache_events(&self, call: &StandinCall) -> StandinReply {
        let after = call.parameter("after").unwrap_or(0);
        let lag = self.settings.event_lag;
        let gap_every = self.settings.event_gap_every;
        let cache = self.cache.lock().expect("no holder panics");
        let page = cache.page(after, lag, gap_every, Instant::now());
        StandinReply::json(StatusCode::OK, &page)
    }

    pub(crate) fn order(&self, call: &StandinCall) -> StandinReply {
        let order: EngineOrder = match serde_json::from_slice(&call.body) {
            Ok(order) => order,
            Err(error) => {
                return StandinReply::not_run(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let taken = self.orders.lock().expect("no holder panics").take(order);
        match taken {
            Ok(()) => StandinReply::empty(StatusCode::NO_CONTENT),
            Err(highest) => StandinReply::json(
                StatusCode::CONFLICT,
                &json!({ "error": "outdated fencing number", "highest": highest }),
            ),
        }
    }
}
