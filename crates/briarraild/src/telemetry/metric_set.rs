//! Metrics of the daemon.

use briarrail_outcome::RequestOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider, UpDownCounter};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::state::ControlBytes;

const METER_NAME: &str = "briarraild";
const FIRST_EVENT_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.6, 3.0, 10.0, 60.0,
];

/// All metric instruments of the daemon, and the registry that exports them.
#[derive(Debug)]
pub(crate) struct MetricSet {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    events: Counter<u64>,
    streams: UpDownCounter<i64>,
    first_event: Histogram<f64>,
    prompt_tokens: Counter<u64>,
    cached_tokens: Counter<u64>,
    control_bytes: Gauge<u64>,
    config_sequence: Gauge<u64>,
    live_hosts: Gauge<u64>,
    platform_calls: Counter<u64>,
}

impl MetricSet {
    /// Creates the instruments and their registry.
    ///
    /// # Errors
    ///
    /// Fails when the exporter can't be registered.
    pub(crate) fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|error| error.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(METER_NAME);
        Ok(Self::with_meter(registry, provider, &meter))
    }

    fn with_meter(registry: Registry, provider: SdkMeterProvider, meter: &Meter) -> Self {
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            requests: counter("briarrail_requests", "Requests by pool and outcome"),
            attempts: counter("briarrail_attempts", "Attempts at targets by pool"),
            events: counter("briarrail_events", "Stream events relayed"),
            streams: meter.i64_up_down_counter("briarrail_streams").build(),
            first_event: meter
                .f64_histogram("briarrail_first_event_seconds")
                .with_description("Time to the first event or byte")
                .with_boundaries(FIRST_EVENT_BUCKETS_SECONDS.to_vec())
                .build(),
            prompt_tokens: counter("briarrail_prompt_tokens", "Prompt tokens by pool"),
            cached_tokens: counter("briarrail_cached_tokens", "Prompt tokens found in a cache"),
            control_bytes: gauge("briarrail_control_bytes", "Control bytes by direction"),
            config_sequence: gauge("briarrail_config_sequence", "Sequence number in force"),
            live_hosts: gauge("briarrail_live_hosts", "Live hosts by role"),
            platform_calls: counter("briarrail_platform_calls", "Calls to the platform"),
            registry,
            _provider: provider,
        }
    }

    /// Counts a finished request.
    pub(crate) fn count_request(&self, pool: &str, outcome: RequestOutcome) {
        let outcome = match outcome {
            RequestOutcome::Answered => "answered",
            RequestOutcome::NotRun(_) => "not_run",
            RequestOutcome::Unknown(_) => "unknown",
        };
        let labels = [pool_label(pool), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
    }

    /// Counts an attempt at a target.
    pub(crate) fn count_attempt(&self, pool: &str) {
        self.attempts.add(1, &[pool_label(pool)]);
    }

    /// Counts relayed stream events.
    pub(crate) fn count_events(&self, events: u64) {
        self.events.add(events, &[]);
    }

    /// Adds to the number of open streams.
    pub(crate) fn add_open_streams(&self, change: i64) {
        self.streams.add(change, &[]);
    }

    /// Records the time to the first event, in seconds.
    pub(crate) fn record_first_event(&self, pool: &str, seconds: f64) {
        self.first_event.record(seconds, &[pool_label(pool)]);
    }

    /// Counts the prompt tokens of a request, and those that the target had cached.
    pub(crate) fn count_prompt_tokens(&self, pool: &str, prompt: u64, cached: u64) {
        self.prompt_tokens.add(prompt, &[pool_label(pool)]);
        self.cached_tokens.add(cached, &[pool_label(pool)]);
    }

    /// Sets the control traffic since the start, by direction.
    pub(crate) fn set_control_bytes(&self, bytes: ControlBytes) {
        self.control_bytes
            .record(bytes.sent, &[KeyValue::new("direction", "sent")]);
        self.control_bytes
            .record(bytes.received, &[KeyValue::new("direction", "received")]);
    }

    /// Counts a call to the platform.
    pub(crate) fn count_platform_call(&self, call: &'static str) {
        self.platform_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// Sets the sequence number of the configuration in force.
    pub(crate) fn set_config_sequence(&self, sequence: u64) {
        self.config_sequence.record(sequence, &[]);
    }

    /// Sets the number of live hosts of a role, `router` or `target`.
    pub(crate) fn set_live_hosts(&self, role: &'static str, hosts: u64) {
        self.live_hosts
            .record(hosts, &[KeyValue::new("role", role)]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

fn pool_label(pool: &str) -> KeyValue {
    KeyValue::new("pool", pool.to_owned())
}
