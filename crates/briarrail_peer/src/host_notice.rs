//! Host states that routers detect before the platform's host list shows them.

use bytes::{Buf, BufMut, BytesMut};

/// State of a host, as detected by routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeState {
    /// The host responds.
    #[default]
    Alive,
    /// The host accepts no new work.
    Leaving,
    /// Two other hosts could not reach the host.
    Down,
}

/// A detected state of a host; of two notices the greater one takes precedence.
///
/// Notices are ordered by incarnation, then by refutation number, then by state. A host that
/// receives a notice that it is down refutes it with a notice with a higher refutation number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNotice {
    /// Incarnation of the host that the notice applies to.
    pub incarnation: u64,
    /// Number that the host increases to refute a notice.
    pub refutation: u8,
    /// Detected state.
    pub state: NoticeState,
}

/// A notice with the hash of its host's name and the ring distances at which to relay it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeItem {
    /// Low 32 bits of the stable hash of the host's name.
    pub host: u32,
    /// Bit `k` is set if the receiver relays the notice at ring distance 2^k.
    pub distance_mask: u16,
    /// The notice.
    pub notice: HostNotice,
}

impl NoticeItem {
    /// Size of one packed item, in bytes.
    pub const PACKED_BYTES: usize = 16;

    /// Appends the packed item.
    pub fn pack(&self, buffer: &mut BytesMut) {
        buffer.put_u32(self.host);
        buffer.put_u16(self.distance_mask);
        buffer.put_u64(self.notice.incarnation);
        buffer.put_u8(self.notice.refutation);
        buffer.put_u8(self.notice.state as u8);
    }

    /// Unpacks items; yields none if the length is not a multiple of the item size. Items with an
    /// unknown state are skipped.
    pub fn unpack_all(packed: &[u8]) -> impl Iterator<Item = Self> + '_ {
        let is_aligned = packed.len().is_multiple_of(Self::PACKED_BYTES);
        let packed = if is_aligned { packed } else { &[] };
        packed
            .chunks_exact(Self::PACKED_BYTES)
            .filter_map(Self::unpack)
    }

    fn unpack(mut packed: &[u8]) -> Option<Self> {
        let host = packed.get_u32();
        let distance_mask = packed.get_u16();
        let incarnation = packed.get_u64();
        let refutation = packed.get_u8();
        let state = decode_state(packed.get_u8())?;
        let notice = HostNotice {
            incarnation,
            refutation,
            state,
        };
        Some(Self {
            host,
            distance_mask,
            notice,
        })
    }
}

fn decode_state(code: u8) -> Option<NoticeState> {
    let states = [NoticeState::Alive, NoticeState::Leaving, NoticeState::Down];
    states.into_iter().find(|&state| state as u8 == code)
}
