//! Free ports for processes that tests start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the range, below the ephemeral ports: an outgoing connection could otherwise take
/// a port before the process that it is meant for binds it.
const FIRST_PORT: u16 = 12_000;
/// Ports of one test program; many more than its processes listen on at a time.
const BLOCK_SIZE: u16 = 1_000;
/// Number of test programs that can run at the same time.
const BLOCK_COUNT: u16 = 20;

static LOCAL_BLOCK: OnceLock<PortBlock> = OnceLock::new();

/// A block of ports that belongs to this process while it runs.
///
/// The first port of the block stays bound, so that two processes never share a block.
#[derive(Debug)]
struct PortBlock {
    reservation: TcpListener,
    next_offset: AtomicU16,
}

impl PortBlock {
    fn reserve() -> Self {
        let mut blocks = (0..BLOCK_COUNT).map(|index| FIRST_PORT + index * BLOCK_SIZE);
        let reservation = blocks.find_map(|port| TcpListener::bind(local_address(port)).ok());
        Self {
            reservation: reservation.expect("every block of test ports is in use"),
            next_offset: AtomicU16::new(0),
        }
    }

    fn free_address(&self) -> SocketAddr {
        let first = self.reservation.local_addr().expect("bound listener");
        loop {
            let offset = self.next_offset.fetch_add(1, Ordering::Relaxed) % (BLOCK_SIZE - 1);
            let address = local_address(first.port() + 1 + offset);
            // A probe that listened could be inherited by a process that another thread is spawning,
            // and still hold the port when its owner binds it.
            if TcpStream::connect(address).is_err() {
                return address;
            }
        }
    }
}

/// Returns a loopback address on which nothing listens, and which no other test program is given.
///
/// # Panics
///
/// Panics if more than 20 test programs use this function at the same time.
#[must_use]
pub fn free_address() -> SocketAddr {
    LOCAL_BLOCK.get_or_init(PortBlock::reserve).free_address()
}

fn local_address(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
