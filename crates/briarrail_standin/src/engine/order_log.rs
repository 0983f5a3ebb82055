//! Log of the orders that an engine accepted.

use crate::engine::EngineOrder;

/// Accepted orders, oldest first, and the highest fencing number among them.
#[derive(Debug)]
pub(crate) struct OrderLog {
    checks_fencing: bool,
    highest_fencing: u64,
    accepted: Vec<EngineOrder>,
}

impl OrderLog {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest_fencing: 0,
            accepted: Vec::new(),
        }
    }

    /// Accepts an order; fails with the highest accepted fencing number if the order's is outdated.
    pub(crate) fn accept(&mut self, order: EngineOrder) -> Result<(), u64> {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return Err(self.highest_fencing);
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.accepted.push(order);
        Ok(())
    }

    /// Returns the accepted orders, oldest first.
    pub(crate) fn accepted(&self) -> &[EngineOrder] {
        &self.accepted
    }
}
