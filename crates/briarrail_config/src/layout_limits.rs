//! Size limits of the stored objects.

/// Size limits of the stored objects.
///
/// The head must stay small because routers read it after each edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayoutLimits {
    /// Maximum size of the edits in the head itself, in bytes.
    pub max_head_edit_bytes: usize,
    /// Maximum size of the last segment after merging further edits into it, in bytes; otherwise
    /// they are stored in a new segment.
    pub max_merged_segment_bytes: usize,
    /// Maximum size of a segment or shard, in bytes; edits that exceed it are stored in a new base.
    ///
    /// Must not exceed [`MAX_VALUE_BYTES`](briarrail_platform::MAX_VALUE_BYTES).
    pub max_part_bytes: usize,
    /// Number of segments that the head keeps, including those already covered by the base; older
    /// covered segments are dropped.
    pub max_segments: usize,
    /// Maximum number of segments after the base; one more causes a new base to be written.
    pub max_segments_after_base: usize,
    /// Maximum mean size of a shard, in bytes.
    pub max_mean_shard_bytes: usize,
    /// Maximum size of an encoded row change, in bytes.
    pub max_row_bytes: usize,
}

impl Default for LayoutLimits {
    fn default() -> Self {
        Self {
            max_head_edit_bytes: 2 << 10,
            max_merged_segment_bytes: 64 << 10,
            max_part_bytes: 896 << 10,
            max_segments: 16,
            max_segments_after_base: 8,
            max_mean_shard_bytes: 256 << 10,
            max_row_bytes: 64 << 10,
        }
    }
}
