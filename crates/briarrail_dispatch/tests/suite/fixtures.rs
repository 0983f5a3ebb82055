//! Shared test inputs.

use briarrail_dispatch::{
    PlacementLimits, PlacementRequest, PromptParts, SendNeed, TargetPhase, TargetRecord,
};
use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_bytes};

pub(crate) const LIMITS: PlacementLimits = PlacementLimits {
    max_load_ratio: 2.0,
    max_load_slack: 3.0,
};

pub(crate) fn at(millis: u64) -> MilliTime {
    MilliTime::from_millis(millis)
}

pub(crate) fn target(id: &str) -> TargetRecord {
    TargetRecord {
        id: id.to_owned(),
        service: "model".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "a".into(),
        version: "1".into(),
        slots: 64,
        phase: TargetPhase::Ready,
        started_unix_ms: 1,
        cold_left: MilliDuration::ZERO,
    }
}

pub(crate) fn prompt(prompt_id: u32, shared_tokens: u32) -> PromptParts {
    let part = |name: String, tokens| (hash_bytes(name.as_bytes()), tokens);
    PromptParts {
        parts: vec![
            part("system".into(), 100),
            part(format!("subject {prompt_id}"), shared_tokens - 100),
            part("own".into(), 50),
        ],
    }
}

pub(crate) fn request(prompt: &PromptParts) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "model",
        affinity: prompt.affinity_key(),
        shared_tokens: prompt.shared_tokens(),
        tried: &[],
        seed: StableHash(1),
        objective: MilliDuration::from_millis(600),
        need: SendNeed::ANY,
    }
}

/// Returns the largest number of some times, in milliseconds, that lie within one second.
pub(crate) fn max_in_a_second(times: &[u64]) -> usize {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let in_second =
        |(index, from): (usize, &u64)| sorted[index..].partition_point(|time| *time < from + 1_000);
    let counts = sorted.iter().enumerate().map(in_second);
    counts.max().unwrap_or_default()
}
