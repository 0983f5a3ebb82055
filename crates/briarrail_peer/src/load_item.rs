//! Load records as sent between routers.

use briarrail_model::{LoadRecord, MilliTime};
use bytes::{Buf, BufMut, BytesMut};

const VERSION_TICK_MS: u64 = 100;
const VERSION_TICK_RANGE: u64 = 1 << 16;

/// A load record with the hash of its target's name and the ring distances at which to relay it.
///
/// The version has a resolution of 100 ms and wraps around after 109 minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadItem {
    /// Low 32 bits of the stable hash of the target's name.
    pub target: u32,
    /// Bit `k` is set if the receiver relays the record at ring distance 2^k.
    pub distance_mask: u16,
    /// Version of the record in units of 100 ms, modulo 2^16.
    pub version_tick: u16,
    /// Number of streams that the target runs or queues.
    pub streams: u16,
    /// Share of its home chats that the target keeps, in units of 1/255.
    pub keep_share: u8,
}

impl LoadItem {
    /// Size of one packed item, in bytes.
    pub const PACKED_BYTES: usize = 11;

    /// Creates the item of a record.
    #[must_use]
    pub fn new(target: u32, distance_mask: u16, record: &LoadRecord) -> Self {
        Self {
            target,
            distance_mask,
            version_tick: (record.version.as_millis() / VERSION_TICK_MS % VERSION_TICK_RANGE)
                as u16,
            streams: u16::try_from(record.streams).unwrap_or(u16::MAX),
            keep_share: record.keep_share,
        }
    }

    /// Returns the record, with the version closest to `now` of those that the wrapped version can
    /// stand for.
    #[must_use]
    pub fn to_record(&self, now: MilliTime) -> LoadRecord {
        let tick = nearest_tick(self.version_tick, now.as_millis() / VERSION_TICK_MS);
        LoadRecord {
            version: MilliTime::from_millis(tick * VERSION_TICK_MS),
            streams: u32::from(self.streams),
            keep_share: self.keep_share,
        }
    }

    /// Returns the record at the resolution and range of the packed form.
    #[must_use]
    pub fn quantize(record: &LoadRecord) -> LoadRecord {
        let tick = record.version.as_millis() / VERSION_TICK_MS;
        LoadRecord {
            version: MilliTime::from_millis(tick * VERSION_TICK_MS),
            streams: record.streams.min(u32::from(u16::MAX)),
            ..*record
        }
    }

    /// Appends the packed item.
    pub fn pack(&self, buffer: &mut BytesMut) {
        buffer.put_u32(self.target);
        buffer.put_u16(self.distance_mask);
        buffer.put_u16(self.version_tick);
        buffer.put_u16(self.streams);
        buffer.put_u8(self.keep_share);
    }

    /// Unpacks items; yields none if the length is not a multiple of the item size.
    pub fn unpack_all(packed: &[u8]) -> impl Iterator<Item = Self> + '_ {
        let is_aligned = packed.len().is_multiple_of(Self::PACKED_BYTES);
        let packed = if is_aligned { packed } else { &[] };
        packed.chunks_exact(Self::PACKED_BYTES).map(Self::unpack)
    }

    fn unpack(mut packed: &[u8]) -> Self {
        Self {
            target: packed.get_u32(),
            distance_mask: packed.get_u16(),
            version_tick: packed.get_u16(),
            streams: packed.get_u16(),
            keep_share: packed.get_u8(),
        }
    }
}

/// Returns the tick closest to `now_tick` that is equal to `wrapped_tick` modulo the range.
fn nearest_tick(wrapped_tick: u16, now_tick: u64) -> u64 {
    let half_range = VERSION_TICK_RANGE / 2;
    let wraps =
        (now_tick + half_range).saturating_sub(u64::from(wrapped_tick)) / VERSION_TICK_RANGE;
    wraps * VERSION_TICK_RANGE + u64::from(wrapped_tick)
}
