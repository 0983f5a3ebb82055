//! Entries of targets that cannot be decoded.

use std::collections::BTreeSet;

/// Maximum number of entries that are remembered and logged.
const MAX_ENTRIES: usize = 64;
/// Maximum number of characters of a name in a log line.
const MAX_NAME_CHARS: usize = 64;

/// Names of the listed entries that do not describe a target, each of which is logged once.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    names: BTreeSet<String>,
}

impl UnreadableEntries {
    /// Replaces the entries with those of a complete listing.
    pub(crate) fn replace_all(&mut self, names: &[String]) {
        let listed: BTreeSet<String> = names.iter().map(|name| shorten(name)).collect();
        self.names.retain(|name| listed.contains(name));
        for name in listed {
            self.insert_short(name);
        }
    }

    /// Adds an entry.
    pub(crate) fn insert(&mut self, name: &str) {
        self.insert_short(shorten(name));
    }

    /// Removes an entry that can be decoded now, or is gone.
    pub(crate) fn remove(&mut self, name: &str) {
        if !self.names.is_empty() {
            self.names.remove(&shorten(name));
        }
    }

    fn insert_short(&mut self, name: String) {
        if self.names.len() < MAX_ENTRIES && !self.names.contains(&name) {
            tracing::warn!(event = "target_unreadable", target_id = name);
            self.names.insert(name);
        }
    }
}

fn shorten(name: &str) -> String {
    name.chars().take(MAX_NAME_CHARS).collect()
}
