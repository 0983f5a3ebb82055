//! A whole site in one process.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use briarrail_model::{HostEntry, HostPhase};

use crate::{
    EngineSettings, EngineStandin, HostListSettings, HostListStandin, LedgerEntry,
    ObjectApiSettings, ObjectApiStandin, ServiceSettings, ServiceStandin, SiteSettings,
    StandinHandle, start_engine, start_host_list, start_object_api, start_service,
};

const ANY_PORT: &str = "127.0.0.1:0";

/// Object API, host list, engines and services of a site, all on loopback.
#[derive(Debug)]
pub struct SiteStandin {
    settings: SiteSettings,
    /// Object API.
    pub objects: StandinHandle<ObjectApiStandin>,
    /// Host list, with the engines and services in it.
    pub hosts: StandinHandle<HostListStandin>,
    /// Engines, by the order of their names.
    pub engines: Vec<StandinHandle<EngineStandin>>,
    /// Plain services, by the order of their names.
    pub services: Vec<StandinHandle<ServiceStandin>>,
}

impl SiteStandin {
    /// Starts all stand-ins of a site, and lists its targets.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start(settings: SiteSettings) -> io::Result<Self> {
        let mut site = Self {
            objects: start_object_api(ANY_PORT, ObjectApiSettings::default()).await?,
            hosts: start_host_list(ANY_PORT, HostListSettings::default()).await?,
            engines: Vec::new(),
            services: Vec::new(),
            settings,
        };
        for number in 0..site.settings.engines {
            site.add_engine(number).await?;
        }
        for number in 0..site.settings.services {
            site.add_service(number).await?;
        }
        Ok(site)
    }

    /// Returns the entry of a host of this site, live and in its first incarnation.
    #[must_use]
    pub fn host_entry(&self, service: &str, number: usize, address: SocketAddr) -> HostEntry {
        let data_centres = &self.settings.data_centres;
        let data_centre = data_centres[number % data_centres.len()].as_str();
        HostEntry {
            name: format!("{service}-{}", number + 1).as_str().into(),
            service: service.to_owned(),
            data_centre: data_centre.into(),
            region: self.settings.region.as_str().into(),
            address,
            phase: HostPhase::Live,
            incarnation: 1,
            labels: BTreeMap::new(),
        }
    }

    /// Returns the entry of an engine.
    #[must_use]
    pub fn engine_entry(&self, number: usize) -> HostEntry {
        let address = self.engines[number].address();
        self.host_entry(&self.settings.engine_service, number, address)
    }

    /// Returns the entry of a plain service.
    #[must_use]
    pub fn service_entry(&self, number: usize) -> HostEntry {
        let address = self.services[number].address();
        self.host_entry(&self.settings.plain_service, number, address)
    }

    /// Returns the runs of each key at all services together.
    #[must_use]
    pub fn ledger(&self) -> BTreeMap<String, LedgerEntry> {
        let mut ledger: BTreeMap<String, LedgerEntry> = BTreeMap::new();
        for entry in self.services.iter().flat_map(StandinHandle::ledger) {
            match ledger.get_mut(&entry.key) {
                Some(total) => {
                    total.runs += entry.runs;
                    total.request_ids.extend(entry.request_ids);
                }
                None => {
                    ledger.insert(entry.key.clone(), entry);
                }
            }
        }
        ledger
    }

    async fn add_engine(&mut self, number: usize) -> io::Result<()> {
        let settings = EngineSettings {
            name: format!("{}-{}", self.settings.engine_service, number + 1),
            ..self.settings.engine.clone()
        };
        self.engines.push(start_engine(ANY_PORT, settings).await?);
        self.hosts.put(self.engine_entry(number));
        Ok(())
    }

    async fn add_service(&mut self, number: usize) -> io::Result<()> {
        let settings = ServiceSettings {
            name: format!("{}-{}", self.settings.plain_service, number + 1),
            ..ServiceSettings::default()
        };
        self.services.push(start_service(ANY_PORT, settings).await?);
        self.hosts.put(self.service_entry(number));
        Ok(())
    }
}
