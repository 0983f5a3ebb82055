//! Sizes of the stored objects.

/// How large the objects get before they are split.
///
/// The head stays small, since routers read it after each edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayoutLimits {
    /// Edits that the head itself carries, in bytes.
    pub head_edit_bytes: usize,
    /// Edits in one segment, in bytes; a larger edit gets a segment of its own.
    pub segment_bytes: usize,
    /// Largest segment or shard, in bytes; a larger edit goes into a new base.
    pub part_bytes: usize,
    /// Segments that the head refers to, those that the base includes counted.
    pub max_segments: usize,
    /// Segments after the base from which on a new base is written.
    pub segments_per_base: usize,
    /// Mean size of a shard, in bytes.
    pub shard_bytes: usize,
    /// Largest row, in bytes.
    pub row_bytes: usize,
}

impl Default for LayoutLimits {
    fn default() -> Self {
        Self {
            head_edit_bytes: 2 << 10,
            segment_bytes: 64 << 10,
            part_bytes: 896 << 10,
            max_segments: 16,
            segments_per_base: 8,
            shard_bytes: 256 << 10,
            row_bytes: 64 << 10,
        }
    }
}
