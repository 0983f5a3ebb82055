//! Selection of free ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of a range below the ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// Offset between the first ports of processes with consecutive identifiers.
const PROCESS_PORT_STRIDE: u32 = 211;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address on which no process listens.
pub(crate) fn free_address() -> SocketAddr {
    let start = std::process::id() * PROCESS_PORT_STRIDE % u32::from(PORT_COUNT);
    loop {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((start + offset) % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
