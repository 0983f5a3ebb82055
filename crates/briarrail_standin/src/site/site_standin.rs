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

const LOOPBACK: &str = "127.0.0.1:0";

/// Object API, host list, engines and plain services of a site, all on loopback addresses.
#[derive(Debug)]
pub struct SiteStandin {
    settings: SiteSettings,
    /// Object API.
    pub objects: StandinHandle<ObjectApiStandin>,
    /// Host list, which contains the engines and plain services.
    pub hosts: StandinHandle<HostListStandin>,
    /// Engines; index 0 is the host named `<engine_service>-1`.
    pub engines: Vec<StandinHandle<EngineStandin>>,
    /// Plain services; index 0 is the host named `<plain_service>-1`.
    pub services: Vec<StandinHandle<ServiceStandin>>,
}

impl SiteStandin {
    /// Starts all stand-ins of a site, and adds its targets to the host list.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start(settings: SiteSettings) -> io::Result<Self> {
        let mut site = Self {
            objects: start_object_api(LOOPBACK, ObjectApiSettings::default()).await?,
            hosts: start_host_list(LOOPBACK, HostListSettings::default()).await?,
            engines: Vec::new(),
            services: Vec::new(),
            settings,
        };
        for index in 0..site.settings.engines {
            site.add_engine(index).await?;
        }
        for index in 0..site.settings.services {
            site.add_service(index).await?;
        }
        Ok(site)
    }

    /// Returns a host entry in this site for the service instance with an index.
    ///
    /// The host is live and in its first incarnation.
    #[must_use]
    pub fn host_entry(&self, service: &str, index: usize, address: SocketAddr) -> HostEntry {
        let data_centres = &self.settings.data_centres;
        let data_centre = data_centres[index % data_centres.len()].as_str();
        HostEntry {
            name: format!("{service}-{}", index + 1).as_str().into(),
            service: service.to_owned(),
            data_centre: data_centre.into(),
            region: self.settings.region.as_str().into(),
            address,
            phase: HostPhase::Live,
            incarnation: 1,
            labels: BTreeMap::new(),
        }
    }

    /// Returns the host entry of an engine.
    #[must_use]
    pub fn engine_entry(&self, index: usize) -> HostEntry {
        let address = self.engines[index].address();
        self.host_entry(&self.settings.engine_service, index, address)
    }

    /// Returns the host entry of a plain service.
    #[must_use]
    pub fn service_entry(&self, index: usize) -> HostEntry {
        let address = self.services[index].address();
        self.host_entry(&self.settings.plain_service, index, address)
    }

    /// Returns the ledger entries of all plain services, merged by key.
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

    async fn add_engine(&mut self, index: usize) -> io::Result<()> {
        let settings = EngineSettings {
            name: format!("{}-{}", self.settings.engine_service, index + 1),
            ..self.settings.engine.clone()
        };
        self.engines.push(start_engine(LOOPBACK, settings).await?);
        self.hosts.put(self.engine_entry(index));
        Ok(())
    }

    async fn add_service(&mut self, index: usize) -> io::Result<()> {
        let settings = ServiceSettings {
            name: format!("{}-{}", self.settings.plain_service, index + 1),
            ..ServiceSettings::default()
        };
        self.services.push(start_service(LOOPBACK, settings).await?);
        self.hosts.put(self.service_entry(index));
        Ok(())
    }
}
