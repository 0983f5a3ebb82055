//! The targets of each service.

use std::collections::HashMap;

use crate::TargetKey;

/// Keys of the targets of each service; a service without targets takes no memory.
#[derive(Debug, Default)]
pub(crate) struct ServiceIndex {
    keys: HashMap<String, Vec<TargetKey>>,
}

impl ServiceIndex {
    /// Returns the targets of a service in the order in which they were added.
    pub(crate) fn targets(&self, service: &str) -> &[TargetKey] {
        self.keys.get(service).map_or(&[][..], Vec::as_slice)
    }

    pub(crate) fn add(&mut self, service: &str, key: TargetKey) {
        match self.keys.get_mut(service) {
            Some(keys) => keys.push(key),
            None => {
                self.keys.insert(service.to_owned(), vec![key]);
            }
        }
    }

    pub(crate) fn remove(&mut self, service: &str, key: TargetKey) {
        if let Some(keys) = self.keys.get_mut(service) {
            keys.retain(|&other| other != key);
            if keys.is_empty() {
                self.keys.remove(service);
            }
        }
    }
}
