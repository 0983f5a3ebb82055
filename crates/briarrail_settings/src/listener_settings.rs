//! Where the router listens.

use std::net::SocketAddr;

use crate::section_reader::SectionReader;

/// One listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Address and port; port 0 lets the system choose.
    pub listen: SocketAddr,
}

impl ListenerSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Option<Self> {
        let listen = section.required("listen");
        section.finish();
        Some(Self { listen: listen? })
    }
}
