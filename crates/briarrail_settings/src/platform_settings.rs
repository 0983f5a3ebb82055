//! Addresses and timeouts of the platform.

use briarrail_model::MilliDuration;

use crate::section_reader::SectionReader;
use crate::setting_value::BaseUrl;

/// How the object API and the host list are called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Base URL of the object API.
    pub object_api_url: String,
    /// Base URL of the host list.
    pub host_list_url: String,
    /// Timeout of one call, in milliseconds.
    pub timeout_ms: MilliDuration,
    /// Time between two reads of the host list, in milliseconds.
    pub host_poll_ms: MilliDuration,
}

impl PlatformSettings {
    pub(crate) const TIMEOUT: MilliDuration = MilliDuration::from_secs(2);
    pub(crate) const HOST_POLL: MilliDuration = MilliDuration::from_secs(1);

    pub(crate) fn read(section: SectionReader<'_>) -> Option<Self> {
        let object_api_url: Option<BaseUrl> = section.required("object_api_url");
        let host_list_url: Option<BaseUrl> = section.required("host_list_url");
        let timeout_ms = section.duration_ms("timeout_ms", Self::TIMEOUT, 1..=60_000);
        let host_poll_ms = section.duration_ms("host_poll_ms", Self::HOST_POLL, 10..=600_000);
        section.finish();
        Some(Self {
            object_api_url: object_api_url?.0,
            host_list_url: host_list_url?.0,
            timeout_ms,
            host_poll_ms,
        })
    }
}
