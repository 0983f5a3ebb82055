//! What routers find out about hosts before the platform's list says so.

use bytes::{Buf, BufMut, BytesMut};

/// What was found out about a host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NoticeState {
    /// The host answers.
    #[default]
    Alive,
    /// The host takes no new work.
    Leaving,
    /// Two hosts could not reach the host.
    Down,
}

/// Evidence on a host; of two notices the greater one holds.
///
/// The order is by incarnation, then by epoch, then by state. A host that learns of a notice that
/// it is down raises its own epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HostNotice {
    /// Incarnation that the notice is about.
    pub incarnation: u64,
    /// Number that the host raises to refute a notice.
    pub refutation: u8,
    /// What was found out.
    pub state: NoticeState,
}

/// A notice, the hash of its host's name, and the ring distances that it still has to go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeItem {
    /// Low 32 bits of the stable hash of the host's name.
    pub host: u32,
    /// Bit `k` is set when the receiver passes the notice on at distance 2^k.
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

    /// Unpacks items; nothing when the length is not a multiple of an item's size.
    pub fn unpack_all(packed: &[u8]) -> impl Iterator<Item = Self> + '_ {
        let whole = packed.len().is_multiple_of(Self::PACKED_BYTES);
        let packed = if whole { packed } else { &[] };
        packed
            .chunks_exact(Self::PACKED_BYTES)
            .filter_map(Self::unpack)
    }

    fn unpack(mut packed: &[u8]) -> Option<Self> {
        let host = packed.get_u32();
        let distance_mask = packed.get_u16();
        let incarnation = packed.get_u64();
        let refutation = packed.get_u8();
        let state = state_of(packed.get_u8())?;
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

fn state_of(code: u8) -> Option<NoticeState> {
    let states = [NoticeState::Alive, NoticeState::Leaving, NoticeState::Down];
    states.into_iter().find(|&state| state as u8 == code)
}
