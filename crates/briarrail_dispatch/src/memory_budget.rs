//! How much a router may hold for its callers.

/// Share of the memory for the bodies of requests.
const BODY_SHARE: f64 = 0.15;
/// Share of the memory for answers that their callers have not taken yet.
const ANSWER_SHARE: f64 = 0.1;
/// Share of the memory for connections. The rest is for the process itself and for its view of the
/// site, which no caller can take.
const CONNECTION_SHARE: f64 = 0.4;
/// Share of the memory that a single body may take while no other one is held.
const LONE_BODY_SHARE: f64 = 0.3;
/// Share of the bodies' budget that is open to bodies of any size.
const LARGE_BODY_SHARE: f64 = 0.875;
/// Share of the bodies' budget that one customer may take.
const CUSTOMER_SHARE: f64 = 0.75;
/// Memory of a connection without charged bodies and answers, in bytes: the read buffer, the head,
/// the task and what the kernel needs.
const CONNECTION_BYTES: f64 = 24_576.0;

/// Limits on what a router holds for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Maximum size of all bodies, in bytes.
    pub body_bytes: usize,
    /// Maximum size of all bodies up to which one that is not small may grow, in bytes.
    pub large_body_bytes: usize,
    /// Maximum size of a body that is the only one, in bytes.
    pub lone_body_bytes: usize,
    /// Maximum size of the bodies of one customer, in bytes.
    pub customer_bytes: usize,
    /// Maximum size of all answers that wait for their callers, in bytes.
    pub answer_bytes: usize,
    /// Maximum number of connections.
    pub connections: usize,
}

impl MemoryBudget {
    /// Divides the memory of a machine, in bytes; `max_connections` is what its descriptors allow.
    #[must_use]
    pub fn new(memory_bytes: f64, max_connections: usize) -> Self {
        let share = |share: f64| (memory_bytes * share) as usize;
        let body_bytes = share(BODY_SHARE);
        let connections = (memory_bytes * CONNECTION_SHARE / CONNECTION_BYTES) as usize;
        Self {
            body_bytes,
            large_body_bytes: (body_bytes as f64 * LARGE_BODY_SHARE) as usize,
            lone_body_bytes: share(LONE_BODY_SHARE),
            customer_bytes: (body_bytes as f64 * CUSTOMER_SHARE) as usize,
            answer_bytes: share(ANSWER_SHARE),
            connections: connections.min(max_connections),
        }
    }
}
