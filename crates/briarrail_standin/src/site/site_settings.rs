//! Settings of a site.

use crate::EngineSettings;

/// Settings of a site; the default is the Saltworks site.
#[derive(Debug, Clone)]
pub struct SiteSettings {
    /// Region of the site.
    pub region: String,
    /// Data centres, to which the targets are assigned round-robin.
    pub data_centres: Vec<String>,
    /// Service name of the engines.
    pub engine_service: String,
    /// Number of engines.
    pub engines: usize,
    /// Settings of each engine; the name is overwritten with the host name.
    pub engine: EngineSettings,
    /// Service name of the plain services.
    pub plain_service: String,
    /// Number of plain services.
    pub services: usize,
}

impl Default for SiteSettings {
    fn default() -> Self {
        let data_centres = ["gongoni", "marereni", "fundisa", "malindi-depot"];
        Self {
            region: "coast".to_owned(),
            data_centres: data_centres.map(str::to_owned).to_vec(),
            engine_service: "pan-model".to_owned(),
            engines: 12,
            engine: EngineSettings::default(),
            plain_service: "weighbridge".to_owned(),
            services: 4,
        }
    }
}
