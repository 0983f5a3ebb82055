//! Statistics of a running load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::{CallOutcome, LatencySummary, LoadReport};

/// Upper bound of recorded latencies, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// Maximum number of defects in the report.
const MAX_DEFECTS: usize = 5;

/// Statistics of one load.
#[derive(Debug)]
pub(crate) struct LoadStats {
    start: Instant,
    end: Instant,
    outcomes: BTreeMap<CallOutcome, u64>,
    events: u64,
    first_event: Histogram<u64>,
    gap: Histogram<u64>,
    cached_tokens: u64,
    prompt_tokens: u64,
    targets: BTreeMap<String, u64>,
    placements: BTreeMap<String, BTreeMap<String, u64>>,
    defects: Vec<String>,
}

/// Result of one call.
#[derive(Debug)]
pub(crate) struct CallRecord {
    pub(crate) outcome: CallOutcome,
    pub(crate) defect: Option<String>,
    pub(crate) target: Option<String>,
    pub(crate) cached_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) events: u64,
    pub(crate) first_event: Option<Duration>,
    pub(crate) gaps: Vec<Duration>,
}

impl CallRecord {
    /// Creates a record without any received data.
    pub(crate) fn new(outcome: CallOutcome) -> Self {
        Self {
            outcome,
            defect: None,
            target: None,
            cached_tokens: 0,
            prompt_tokens: 0,
            events: 0,
            first_event: None,
            gaps: Vec::new(),
        }
    }
}

impl LoadStats {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            start: now,
            end: now,
            outcomes: BTreeMap::new(),
            events: 0,
            first_event: new_histogram(),
            gap: new_histogram(),
            cached_tokens: 0,
            prompt_tokens: 0,
            targets: BTreeMap::new(),
            placements: BTreeMap::new(),
            defects: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, chat_id: &str, record: CallRecord) {
        self.end = Instant::now();
        *self.outcomes.entry(record.outcome).or_default() += 1;
        self.events += record.events;
        self.cached_tokens += record.cached_tokens;
        self.prompt_tokens += record.prompt_tokens;
        if let Some(first_event) = record.first_event {
            self.first_event.saturating_record(micros(first_event));
        }
        for gap in record.gaps {
            self.gap.saturating_record(micros(gap));
        }
        if let Some(target) = record.target {
            let chat = self.placements.entry(chat_id.to_owned()).or_default();
            *chat.entry(target.clone()).or_default() += 1;
            *self.targets.entry(target).or_default() += 1;
        }
        if self.defects.len() < MAX_DEFECTS {
            self.defects.extend(record.defect);
        }
    }

    pub(crate) fn into_report(self) -> LoadReport {
        let elapsed = self.end.duration_since(self.start).as_secs_f64();
        let requests: u64 = self.outcomes.values().sum();
        let per_s = |count: u64| ratio(count as f64, elapsed);
        let busiest = self.targets.values().max().copied().unwrap_or(0);
        let answers: u64 = self.targets.values().sum();
        let mean = ratio(answers as f64, self.targets.len() as f64);
        LoadReport {
            elapsed_s: elapsed,
            requests,
            requests_per_s: per_s(requests),
            events_per_s: per_s(self.events),
            first_event: LatencySummary::from_micros(&self.first_event),
            gap: LatencySummary::from_micros(&self.gap),
            cache_reuse: ratio(self.cached_tokens as f64, self.prompt_tokens as f64),
            skew: ratio(busiest as f64, mean),
            outcomes: self.outcomes,
            targets: self.targets,
            placements: self.placements,
            defects: self.defects,
        }
    }
}

fn ratio(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the bounds and the digits are valid")
}
