//! Free ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
/// Distance between the first ports of two test processes.
const PROCESS_STRIDE: u32 = 211;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns an address on loopback that nobody listens on.
pub(crate) fn free_address() -> SocketAddr {
    let start = std::process::id() * PROCESS_STRIDE % u32::from(PORT_COUNT);
    loop {
        let offset = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let port = FIRST_PORT + ((start + offset) % u32::from(PORT_COUNT)) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
