//! Gauges of what is held for callers.

use std::sync::atomic::{AtomicUsize, Ordering};

use briarrail_dispatch::HeldMemory;

/// What is held for callers at present, by kind.
#[derive(Debug, Default)]
pub(crate) struct HeldGauges {
    body_bytes: AtomicUsize,
    answer_bytes: AtomicUsize,
    connections: AtomicUsize,
}

impl HeldGauges {
    pub(crate) fn record(&self, held: &HeldMemory) {
        self.body_bytes.store(held.body_bytes, Ordering::Relaxed);
        self.answer_bytes
            .store(held.answer_bytes, Ordering::Relaxed);
        self.connections.store(held.connections, Ordering::Relaxed);
    }

    /// Encodes the gauges in the Prometheus text format.
    pub(super) fn encode(&self) -> String {
        let body_bytes = self.body_bytes.load(Ordering::Relaxed);
        let answer_bytes = self.answer_bytes.load(Ordering::Relaxed);
        let connections = self.connections.load(Ordering::Relaxed);
        format!(
            "# TYPE briarrail_held_bytes gauge\n\
             briarrail_held_bytes{{kind=\"bodies\"}} {body_bytes}\n\
             briarrail_held_bytes{{kind=\"answers\"}} {answer_bytes}\n\
             # TYPE briarrail_caller_connections gauge\n\
             briarrail_caller_connections {connections}\n"
        )
    }
}
