//! Listening addresses.

use std::net::SocketAddr;

use crate::section_reader::SectionReader;

/// One listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerSettings {
    /// Address and port; with port 0 the operating system chooses a free port.
    pub listen: SocketAddr,
}

impl ListenerSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Option<Self> {
        let listen = section.required("listen");
        section.finish();
        Some(Self { listen: listen? })
    }
}
