//! Source of the choices that drive a simulation.

/// Draws choices from the bytes of a fuzzing engine or a seeded random generator.
pub(crate) struct ChoiceSource<'a> {
    bytes: &'a [u8],
}

impl<'a> ChoiceSource<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns a number below `count`; 0 once all bytes are used up.
    pub(crate) fn pick(&mut self, count: usize) -> usize {
        let Some((&byte, rest)) = self.bytes.split_first() else {
            return 0;
        };
        self.bytes = rest;
        usize::from(byte) % count.max(1)
    }

    /// Returns true with a probability of about `percent`.
    pub(crate) fn chance(&mut self, percent: usize) -> bool {
        self.pick(100) < percent
    }
}
