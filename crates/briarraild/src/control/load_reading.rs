//! Reading the load of the targets that this router observes.

use briarrail_model::HostEntry;
use briarrail_platform::{HostDirectory, ObjectStore};

use super::ControlLoop;

impl<S, D> ControlLoop<S, D>
where
    S: ObjectStore,
    D: HostDirectory,
{
    /// Starts a load read for each observed target in a pool that reports load.
    pub(super) fn read_loads(&self) {
        let observed = self.parts.fleet.observed_targets();
        let hosts = self.parts.fleet.hosts();
        for name in observed.iter() {
            let entry = hosts.key(name).and_then(|key| hosts.entry(key));
            if let Some(entry) = entry.filter(|entry| self.reports_load(entry)) {
                self.tasks.read_load(entry);
            }
        }
    }

    fn reports_load(&self, host: &HostEntry) -> bool {
        let config = self.parts.fleet.config();
        config.is_some_and(|config| {
            let mut reporting = config.tables.pools.iter().filter(|pool| pool.reports_load);
            reporting.any(|pool| pool.targets.matches(host))
        })
    }
}
