//! Who this router is.

use briarrail_model::{DataCentre, HostName, RegionName};

use crate::section_reader::SectionReader;

/// Name and place of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// Name of the host, as the platform's list has it.
    pub name: HostName,
    /// Number that rises each time the host is started; the daemon takes the start time without it.
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
