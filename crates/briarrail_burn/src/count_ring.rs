//! Ring buffer of counts in time slots.

use briarrail_model::{MilliDuration, MilliTime};

use crate::ObjectiveCounts;

/// Counts of a time slot; `number` is the start time divided by the slot length.
#[derive(Debug, Clone, Copy, Default)]
struct TimeSlot {
    number: u64,
    counts: ObjectiveCounts,
}

/// Ring buffer with the counts of the most recent time slots.
#[derive(Debug, Clone)]
pub(crate) struct CountRing {
    slot_length: MilliDuration,
    slots: Vec<TimeSlot>,
}

impl CountRing {
    pub(crate) fn new(slot_length: MilliDuration, slot_count: usize) -> Self {
        Self {
            slot_length,
            slots: vec![TimeSlot::default(); slot_count],
        }
    }

    pub(crate) fn add(&mut self, counts: ObjectiveCounts, now: MilliTime) {
        let number = self.slot_number_at(now);
        let index = (number % self.slots.len() as u64) as usize;
        let slot = &mut self.slots[index];
        if slot.number != number {
            *slot = TimeSlot {
                number,
                counts: ObjectiveCounts::default(),
            };
        }
        slot.counts += counts;
    }

    /// Adds the counts of another ring with the same slot length and slot count.
    pub(crate) fn merge(&mut self, other: &Self) {
        for slot in &other.slots {
            let slot_start = MilliTime::from_millis(slot.number * other.slot_length.as_millis());
            let index = (slot.number % self.slots.len() as u64) as usize;
            if self.slots[index].number <= slot.number {
                self.add(slot.counts, slot_start);
            }
        }
    }

    /// Returns the sum over a window whose last slot is the one that contains `now`.
    pub(crate) fn sum(&self, window: MilliDuration, now: MilliTime) -> ObjectiveCounts {
        let mut sum = ObjectiveCounts::default();
        for (_, counts) in self.slots_within(window, now) {
            sum += counts;
        }
        sum
    }

    /// Returns the start time and the counts of each slot of a window, oldest first.
    pub(crate) fn slots_within(
        &self,
        window: MilliDuration,
        now: MilliTime,
    ) -> Vec<(MilliTime, ObjectiveCounts)> {
        let length = self.slot_length.as_millis();
        let last = self.slot_number_at(now);
        let count = (window.as_millis() / length).min(self.slots.len() as u64);
        let first = (last + 1).saturating_sub(count);
        let counts_at = |number: u64| {
            let slot = self.slots[(number % self.slots.len() as u64) as usize];
            (slot.number == number).then_some(slot.counts)
        };
        let numbers = first..=last;
        numbers
            .map(|number| {
                let start = MilliTime::from_millis(number * length);
                (start, counts_at(number).unwrap_or_default())
            })
            .collect()
    }

    fn slot_number_at(&self, now: MilliTime) -> u64 {
        now.as_millis() / self.slot_length.as_millis()
    }
}
