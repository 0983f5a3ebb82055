//! Identity of the router.

use briarrail_model::{DataCentre, HostName, RegionName};

use crate::section_reader::SectionReader;

/// Name and location of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host in the platform's host list.
    pub name: HostName,
    /// Number that increases each time the host starts; the daemon uses its start time if absent.
    pub incarnation: Option<u64>,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: RegionName,
}

impl HostSettings {
    pub(crate) fn read(section: SectionReader<'_>) -> Option<Self> {
        let name = section.required("name");
        let incarnation = section.optional("incarnation");
        let data_centre = section.required("data_centre");
        let region = section.required("region");
        section.finish();
        Some(Self {
            name: name?,
            incarnation,
            data_centre: data_centre?,
            region: region?,
        })
    }
}
