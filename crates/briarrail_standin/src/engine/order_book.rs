//! The orders that an engine took.

use crate::engine::EngineOrder;

/// Orders in the sequence in which they were taken.
#[derive(Debug)]
pub(crate) struct OrderBook {
    checks_fencing: bool,
    highest: u64,
    taken: Vec<EngineOrder>,
}

impl OrderBook {
    pub(crate) fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            highest: 0,
            taken: Vec::new(),
        }
    }

    /// Takes an order; fails with the highest fencing number when the order's is outdated.
    pub(crate) fn take(&mut self, order: EngineOrder) -> Result<(), u64> {
        if self.checks_fencing && order.fencing < self.highest {
            return Err(self.highest);
        }
        self.highest = self.highest.max(order.fencing);
        self.taken.push(order);
        Ok(())
    }

    /// Returns the orders taken so far.
    pub(crate) fn taken(&self) -> &[EngineOrder] {
        &self.taken
    }
}
