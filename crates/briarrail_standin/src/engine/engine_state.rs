//! State of an engine.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use salvo::http::ResBody;
use serde_json::json;

use crate::engine::chat_request::ChatRequest;
use crate::engine::event_stream::{EventReader, StreamFaults};
use crate::engine::order_log::OrderLog;
use crate::engine::prefix_cache::PrefixCache;
use crate::engine::slot_queue::{SlotQueue, StreamSlot};
use crate::engine::stream_run::StreamRun;
use crate::engine::{EngineCounts, EngineFaults, EngineOrder, EngineSettings, LoadReport};
use crate::server::{FaultInjector, StandinRequest, StandinResponse};
use crate::{CACHED_TOKENS_HEADER, PROMPT_TOKENS_HEADER, REQUEST_ID_HEADER};

const MISMATCHED_REQUEST_ID: &str = "another-request";

/// State that the request handler shares with the running streams.
#[derive(Debug)]
pub(crate) struct EngineState {
    settings: EngineSettings,
    faults: FaultInjector<EngineFaults>,
    slots: Arc<SlotQueue>,
    cache: Mutex<PrefixCache>,
    orders: Mutex<OrderLog>,
    /// Unfinished runs by request ID, which can be resumed.
    open_runs: Mutex<HashMap<String, Arc<StreamRun>>>,
    counts: Mutex<EngineCounts>,
    request_sequence: AtomicU64,
}

impl EngineState {
    /// Creates the state of a new engine.
    pub(crate) fn new(settings: EngineSettings) -> Self {
        let slots = SlotQueue::new(settings.capacity, settings.queue_limit, settings.load_lag);
        Self {
            faults: FaultInjector::new(settings.faults.clone()),
            slots,
            cache: Mutex::new(PrefixCache::new(settings.cache_tokens)),
            orders: Mutex::new(OrderLog::new(settings.checks_fencing)),
            open_runs: Mutex::default(),
            counts: Mutex::default(),
            request_sequence: AtomicU64::new(0),
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
        self.slots.load_report()
    }

    pub(crate) fn accepted_orders(&self) -> Vec<EngineOrder> {
        let orders = self.orders.lock().expect("mutex is not poisoned");
        orders.accepted().to_vec()
    }

    pub(crate) fn read_counts(&self) -> EngineCounts {
        let mut counts = *self.counts.lock().expect("mutex is not poisoned");
        counts.peak_streams = self.slots.peak_running() as u64;
        counts
    }

    fn update_counts<C>(&self, change: C)
    where
        C: FnOnce(&mut EngineCounts),
    {
        change(&mut self.counts.lock().expect("mutex is not poisoned"));
    }

    /// Handles a chat completion request.
    pub(crate) async fn complete_chat(
        self: &Arc<Self>,
        request: &StandinRequest,
    ) -> StandinResponse {
        let sequence = self.request_sequence.fetch_add(1, Ordering::Relaxed);
        let request = match ChatRequest::parse(request, sequence) {
            Ok(request) => request,
            Err(message) => return StandinResponse::not_run(StatusCode::BAD_REQUEST, &message),
        };
        if request.resume_after.is_some()
            && self
                .faults
                .consume(|faults| &mut faults.foreign_resumption_next)
        {
            let text = Bytes::from_static(b"upstream error\n\n");
            let response = StandinResponse::bytes(StatusCode::OK, "text/plain", text);
            return response.with_header(REQUEST_ID_HEADER, &request.request_id);
        }
        if let Some(after) = request.resume_after
            && let Some(response) = self.resume_stream(&request, after)
        {
            return response;
        }
        let is_refused = self.faults.consume(|faults| &mut faults.refuse_next);
        let slot = match is_refused {
            true => None,
            false => self.slots.acquire(request.is_deferrable).await,
        };
        let Some(slot) = slot else {
            self.update_counts(|counts| counts.refused += 1);
            let response = StandinResponse::not_run(StatusCode::SERVICE_UNAVAILABLE, "no place");
            return response.with_header(REQUEST_ID_HEADER, &request.request_id);
        };
        let start = request.resume_after.map_or(0, |after| after + 1);
        let run = self.start_run(request, slot);
        if self
            .faults
            .consume(|faults| &mut faults.drop_before_head_next)
        {
            self.detach_reader(&run, 0);
            return StandinResponse::Abort;
        }
        if run.request.is_streamed {
            self.streamed_response(run, start)
        } else {
            self.whole_response(run).await
        }
    }

    /// Resumes an open stream; returns `None` if the request is to be rerun instead.
    fn resume_stream(
        self: &Arc<Self>,
        request: &ChatRequest,
        after: u64,
    ) -> Option<StandinResponse> {
        let open_runs = self.open_runs.lock().expect("mutex is not poisoned");
        let run = open_runs.get(&request.request_id).cloned();
        drop(open_runs);
        match run.filter(|run| run.request.seed == request.seed) {
            Some(run) => {
                self.update_counts(|counts| counts.resumed += 1);
                Some(self.streamed_response(run, after + 1))
            }
            None if self.settings.reruns_unknown_streams => None,
            None => {
                let response = StandinResponse::not_run(StatusCode::GONE, "the stream is not held");
                Some(response.with_header(REQUEST_ID_HEADER, &request.request_id))
            }
        }
    }

    /// Runs a request, and cancels an open run with the same request ID.
    fn start_run(&self, request: ChatRequest, slot: StreamSlot) -> Arc<StreamRun> {
        let mut cache = self.cache.lock().expect("mutex is not poisoned");
        let cached = cache.look_up(&request.cache_key, request.prompt_tokens);
        let stored = request.prompt_tokens + request.completion_tokens;
        cache.store(&request.cache_key, stored, Instant::now());
        drop(cache);
        self.update_counts(|counts| {
            counts.runs += 1;
            counts.prompt_tokens += request.prompt_tokens;
            counts.cached_tokens += cached;
        });
        let first_token = self.time_to_first_token(request.prompt_tokens - cached);
        let interval = self.settings.token_interval;
        let run = Arc::new(StreamRun::new(request, cached, first_token, interval, slot));
        let mut open_runs = self.open_runs.lock().expect("mutex is not poisoned");
        let replaced = open_runs.insert(run.request.request_id.clone(), run.clone());
        drop(open_runs);
        if let Some(replaced) = replaced {
            self.cancel_run(&replaced);
        }
        run
    }

    fn time_to_first_token(&self, uncached_tokens: u64) -> Duration {
        let tokens = u32::try_from(uncached_tokens).unwrap_or(u32::MAX);
        self.settings.first_token + self.settings.prefill_per_token * tokens
    }

    fn streamed_response(self: &Arc<Self>, run: Arc<StreamRun>, start: u64) -> StandinResponse {
        let faults = self.next_stream_faults();
        let reader = EventReader::new(self.clone(), run.clone(), faults, start);
        let response = StandinResponse::Respond {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Box::new(ResBody::stream(reader.into_stream())),
        };
        let response = response.with_header("content-type", "text/event-stream");
        self.with_run_headers(response, &run)
    }

    async fn whole_response(self: &Arc<Self>, run: Arc<StreamRun>) -> StandinResponse {
        // Dropping this future, when the client disconnects, drops the reader and detaches it.
        let reader = EventReader::new(self.clone(), run.clone(), StreamFaults::default(), 0);
        let last = run.request.completion_tokens.saturating_sub(1);
        tokio::select! {
            () = run.cancel.cancelled() => return StandinResponse::Abort,
            () = tokio::time::sleep_until(run.token_time(last)) => {}
        }
        self.finish_run(&run);
        drop(reader);
        let response = StandinResponse::json(StatusCode::OK, &run.completion());
        self.with_run_headers(response, &run)
    }

    /// Consumes the faults for the next streamed response.
    fn next_stream_faults(&self) -> StreamFaults {
        let after = self.faults.get().cut_after_events;
        let is_cut = self.faults.consume(|faults| &mut faults.cut_next);
        let ends_early = self.faults.consume(|faults| &mut faults.end_early_next);
        let is_stalled = self.faults.consume(|faults| &mut faults.stall_next);
        StreamFaults {
            cut_after: is_cut.then_some(after),
            end_after: ends_early.then_some(after),
            stall_after: is_stalled.then_some(after),
            repeat_events: self.faults.consume(|faults| &mut faults.repeat_events_next),
        }
    }

    fn with_run_headers(&self, response: StandinResponse, run: &StreamRun) -> StandinResponse {
        let has_wrong_id = self.faults.consume(|faults| &mut faults.wrong_id_next);
        let request_id = run.request.request_id.as_str();
        let id = if has_wrong_id {
            MISMATCHED_REQUEST_ID
        } else {
            request_id
        };
        response
            .with_header(REQUEST_ID_HEADER, id)
            .with_header(PROMPT_TOKENS_HEADER, &run.request.prompt_tokens.to_string())
            .with_header(CACHED_TOKENS_HEADER, &run.cached_tokens.to_string())
    }

    /// Closes a run whose response is complete.
    pub(crate) fn finish_run(&self, run: &Arc<StreamRun>) {
        if self.close_run(run) {
            self.update_counts(|counts| counts.finished += 1);
        }
    }

    /// Handles the disconnection of a reader: cancels the run if it isn't resumed in time.
    ///
    /// Does nothing if the run is closed or has a later reader.
    pub(crate) fn detach_reader(self: &Arc<Self>, run: &Arc<StreamRun>, reader: u64) {
        if !self.is_open(run) || !run.is_latest_reader(reader) {
            return;
        }
        if self.faults.get().forgets_streams {
            self.cancel_run(run);
            return;
        }
        let state = self.clone();
        let run = run.clone();
        let resume_window = self.settings.resume_window;
        tokio::spawn(async move {
            tokio::time::sleep(resume_window).await;
            if run.is_latest_reader(reader) {
                state.cancel_run(&run);
            }
        });
    }

    /// Cancels a run, which ends its streams with an error.
    fn cancel_run(&self, run: &Arc<StreamRun>) {
        run.cancel.cancel();
        run.release_slot();
        if self.close_run(run) {
            self.update_counts(|counts| counts.cancelled += 1);
        }
    }

    fn is_open(&self, run: &Arc<StreamRun>) -> bool {
        let open_runs = self.open_runs.lock().expect("mutex is not poisoned");
        let found = open_runs.get(&run.request.request_id);
        found.is_some_and(|found| Arc::ptr_eq(found, run))
    }

    /// Releases the slot of a run and removes it from the open runs; returns whether it was open.
    fn close_run(&self, run: &Arc<StreamRun>) -> bool {
        run.release_slot();
        let mut open_runs = self.open_runs.lock().expect("mutex is not poisoned");
        let found = open_runs.get(&run.request.request_id);
        let is_open = found.is_some_and(|found| Arc::ptr_eq(found, run));
        if is_open {
            open_runs.remove(&run.request.request_id);
        }
        is_open
    }

    /// Handles a request to cancel a stream.
    pub(crate) fn cancel_stream(&self, request_id: &str) -> StandinResponse {
        let open_runs = self.open_runs.lock().expect("mutex is not poisoned");
        let run = open_runs.get(request_id).cloned();
        drop(open_runs);
        let Some(run) = run else {
            return StandinResponse::error(StatusCode::NOT_FOUND, "no such stream");
        };
        self.cancel_run(&run);
        StandinResponse::empty(StatusCode::NO_CONTENT)
    }

    pub(crate) fn load_response(&self) -> StandinResponse {
        if self.faults.get().load_outage {
            return StandinResponse::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        StandinResponse::json(StatusCode::OK, &self.slots.load_report())
    }

    pub(crate) fn cache_events_response(&self, request: &StandinRequest) -> StandinResponse {
        let after = request.query_parameter("after").unwrap_or(0);
        let lag = self.settings.event_lag;
        let gap_every = self.settings.event_gap_every;
        let cache = self.cache.lock().expect("mutex is not poisoned");
        let page = cache.events_after(after, lag, gap_every, Instant::now());
        StandinResponse::json(StatusCode::OK, &page)
    }

    /// Handles an order.
    pub(crate) fn accept_order(&self, request: &StandinRequest) -> StandinResponse {
        let order: EngineOrder = match serde_json::from_slice(&request.body) {
            Ok(order) => order,
            Err(error) => {
                return StandinResponse::not_run(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        let accepted = self
            .orders
            .lock()
            .expect("mutex is not poisoned")
            .accept(order);
        match accepted {
            Ok(()) => StandinResponse::empty(StatusCode::NO_CONTENT),
            Err(highest) => StandinResponse::json(
                StatusCode::CONFLICT,
                &json!({ "error": "outdated fencing number", "highest": highest }),
            ),
        }
    }
}
