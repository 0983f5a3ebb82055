//! Counters and histograms of the gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use briarrail_model::MilliDuration;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use super::held_gauges::HeldGauges;

const METER_NAME: &str = "briarrail_gateway";
/// Bucket bounds in seconds, chosen around the latency objectives of plain requests and of first
/// events.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.005, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// Instruments of the gateway, and the registry that is scraped.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    sends: Counter<u64>,
    ejections: Counter<u64>,
    cold_denials: Counter<u64>,
    standing_changes: Counter<u64>,
    notice_steps: Counter<u64>,
    target_checks: Counter<u64>,
    take_ups: Counter<u64>,
    suspect_changes: Counter<u64>,
    store_calls: Counter<u64>,
    syncs: Counter<u64>,
    evacuated_data_centres: Gauge<u64>,
    request_seconds: Histogram<f64>,
    first_event_seconds: Histogram<f64>,
    reclaims: Counter<u64>,
    /// What is held for callers at present.
    pub(crate) held_memory: HeldGauges,
    dropped_lines: Arc<AtomicU64>,
}

impl GatewayMetrics {
    /// Creates the instruments; `dropped_lines` counts the log lines that were not written.
    ///
    /// # Errors
    ///
    /// Fails if the exporter rejects the registry.
    pub fn new(dropped_lines: Arc<AtomicU64>) -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_description(description);
            builder
                .with_boundaries(BUCKET_BOUNDS_SECONDS.to_vec())
                .build()
        };
        Ok(Self {
            requests: counter("briarrail_requests", "Requests by service and outcome"),
            sends: counter("briarrail_sends", "Sends to targets by service and outcome"),
            ejections: counter("briarrail_ejections", "Ejections of targets by service"),
            cold_denials: counter(
                "briarrail_cold_denials",
                "Placements that passed over cold targets because of their bound, by service",
            ),
            standing_changes: counter(
                "briarrail_target_standing_changes",
                "Changes of what targets may get by service and new standing",
            ),
            notice_steps: counter(
                "briarrail_target_notice_steps",
                "Steps in the use of what targets said about themselves",
            ),
            take_ups: counter(
                "briarrail_stream_take_ups",
                "Streams that callers continued, by where the release that began them was found",
            ),
            target_checks: counter(
                "briarrail_target_checks",
                "Checks of targets after a lost connection by service and outcome",
            ),
            suspect_changes: counter(
                "briarrail_suspect_changes",
                "Requests and prompt parts that were blocked or released",
            ),
            store_calls: counter("briarrail_store_calls", "Calls to the store by outcome"),
            syncs: counter("briarrail_syncs", "Rounds with the hub by outcome"),
            evacuated_data_centres: meter
                .u64_gauge("briarrail_evacuated_data_centres")
                .with_description("Data centres to which no requests go")
                .build(),
            reclaims: counter(
                "briarrail_reclaims",
                "Bodies and connections that gave way for want of memory or places, by cause",
            ),
            held_memory: HeldGauges::default(),
            request_seconds: histogram("briarrail_request_seconds", "Time to the whole answer"),
            first_event_seconds: histogram("briarrail_first_event_seconds", "Time to first event"),
            registry,
            _provider: provider,
            dropped_lines,
        })
    }

    /// Counts a completed request and records its duration.
    pub(crate) fn count_request(
        &self,
        service: &str,
        outcome: &'static str,
        elapsed: MilliDuration,
    ) {
        let labels = [service_label(service), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.request_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Records the time to the first event of a stream.
    pub(crate) fn record_first_event(&self, service: &str, elapsed: MilliDuration) {
        let labels = [service_label(service)];
        self.first_event_seconds
            .record(elapsed.as_secs_f64(), &labels);
    }

    /// Counts a send to a target.
    pub(crate) fn count_send(&self, service: &str, outcome: &'static str) {
        let labels = [service_label(service), KeyValue::new("outcome", outcome)];
        self.sends.add(1, &labels);
    }

    /// Counts that a request was placed without cold targets that this router may send nothing.
    pub(crate) fn count_cold_denial(&self, service: &str) {
        self.cold_denials.add(1, &[service_label(service)]);
    }

    /// Counts the ejection of a target.
    pub(crate) fn count_ejection(&self, service: &str) {
        self.ejections.add(1, &[service_label(service)]);
    }

    /// Counts a change of what a target may get.
    pub(crate) fn count_standing_change(&self, service: &str, standing: &'static str) {
        let labels = [service_label(service), KeyValue::new("standing", standing)];
        self.standing_changes.add(1, &labels);
    }

    /// Counts a step in the use of something that a target said about itself.
    pub(crate) fn count_notice_step(&self, step: &'static str) {
        self.notice_steps.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a check of a target after a lost connection.
    pub(crate) fn count_target_check(&self, service: &str, outcome: &'static str) {
        let labels = [service_label(service), KeyValue::new("outcome", outcome)];
        self.target_checks.add(1, &labels);
    }

    /// Counts a stream that a caller continues.
    pub(crate) fn count_take_up(&self, service: &str, origin: &'static str) {
        let labels = [service_label(service), KeyValue::new("origin", origin)];
        self.take_ups.add(1, &labels);
    }

    /// Counts a request or prompt part that was blocked or released.
    pub(crate) fn count_suspect_change(&self, kind: &'static str, change: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("change", change)];
        self.suspect_changes.add(1, &labels);
    }

    /// Counts a call to the store.
    pub(crate) fn count_store_call(&self, call: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a body or connection that gave way.
    pub(crate) fn count_reclaim(&self, cause: &'static str) {
        self.reclaims.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a sync with the hub.
    pub(crate) fn count_sync(&self, outcome: &'static str) {
        self.syncs.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of evacuated data centres.
    pub(crate) fn record_evacuated(&self, data_centres: usize) {
        self.evacuated_data_centres.record(data_centres as u64, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let families = self.registry.gather();
        let mut text = match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => text,
            Err(error) => {
                tracing::warn!(%error, "failed to encode metrics");
                String::new()
            }
        };
        text.push_str(&self.held_memory.encode());
        let dropped = self.dropped_lines.load(Ordering::Relaxed);
        text.push_str("# TYPE briarrail_log_lines_dropped_total counter\n");
        text.push_str(&format!("briarrail_log_lines_dropped_total {dropped}\n"));
        text
    }
}

fn service_label(service: &str) -> KeyValue {
    KeyValue::new("service", service.to_owned())
}
