//! A sequence of choices.

/// Choices drawn one after another from bytes, as a fuzzing engine or a seeded generator gives.
pub(crate) struct ChoiceTape<'a> {
    bytes: &'a [u8],
}

impl<'a> ChoiceTape<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns a number below `count`; 0 once the tape is used up.
    pub(crate) fn pick(&mut self, count: usize) -> usize {
        let Some((&byte, rest)) = self.bytes.split_first() else {
            return 0;
        };
        self.bytes = rest;
        usize::from(byte) % count.max(1)
    }

    /// Returns true in `percent` of 100 cases.
    pub(crate) fn chance(&mut self, percent: usize) -> bool {
        self.pick(100) < percent
    }
}
