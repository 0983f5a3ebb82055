//! The ledger of runs.

use std::collections::BTreeMap;

use crate::server::StandinCall;
use crate::service::{LedgerEntry, body_digest};
use crate::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// Every run, by idempotency key.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    entries: BTreeMap<String, LedgerEntry>,
    unnamed: u64,
}

impl RunLedger {
    /// Enters a run and returns the entry of its key.
    pub(crate) fn enter(&mut self, call: &StandinCall) -> &LedgerEntry {
        let request_id = self.request_id(call);
        let key = call.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let key = key.unwrap_or_else(|| format!("request:{request_id}"));
        let entry = self
            .entries
            .entry(key.clone())
            .or_insert_with(|| LedgerEntry {
                key,
                runs: 0,
                call: format!("{} {}", call.method, call.path),
                body_digest: body_digest(&call.body),
                request_ids: Vec::new(),
            });
        entry.runs += 1;
        entry.request_ids.push(request_id);
        entry
    }

    /// Returns the entry of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&LedgerEntry> {
        self.entries.get(key)
    }

    /// Returns all entries, in the order of their keys.
    pub(crate) fn list(&self) -> Vec<LedgerEntry> {
        self.entries.values().cloned().collect()
    }

    fn request_id(&mut self, call: &StandinCall) -> String {
        if let Some(request_id) = call.header(REQUEST_ID_HEADER) {
            return request_id.to_owned();
        }
        self.unnamed += 1;
        format!("unnamed-{}", self.unnamed)
    }
}
