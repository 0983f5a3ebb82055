//! Ledger of the requests that ran.

use std::collections::BTreeMap;

use crate::server::StandinRequest;
use crate::service::{LedgerEntry, body_digest};
use crate::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER};

/// All runs, grouped by idempotency key.
#[derive(Debug, Default)]
pub(crate) struct RunLedger {
    entries: BTreeMap<String, LedgerEntry>,
    unnamed_requests: u64,
}

impl RunLedger {
    /// Records a run, and returns the ledger entry of its key.
    pub(crate) fn record_run(&mut self, request: &StandinRequest) -> &LedgerEntry {
        let request_id = self.request_id_of(request);
        let key = request.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
        let key = key.unwrap_or_else(|| format!("request:{request_id}"));
        let entry = self
            .entries
            .entry(key.clone())
            .or_insert_with(|| LedgerEntry {
                key,
                runs: 0,
                call: format!("{} {}", request.method, request.path),
                body_digest: body_digest(&request.body),
                request_ids: Vec::new(),
            });
        entry.runs += 1;
        entry.request_ids.push(request_id);
        entry
    }

    /// Returns the ledger entry of a key.
    pub(crate) fn get(&self, key: &str) -> Option<&LedgerEntry> {
        self.entries.get(key)
    }

    /// Returns all ledger entries, sorted by key.
    pub(crate) fn list(&self) -> Vec<LedgerEntry> {
        self.entries.values().cloned().collect()
    }

    /// Returns the ID of a request, or a generated one if it has none.
    fn request_id_of(&mut self, request: &StandinRequest) -> String {
        if let Some(request_id) = request.header(REQUEST_ID_HEADER) {
            return request_id.to_owned();
        }
        self.unnamed_requests += 1;
        format!("unnamed-{}", self.unnamed_requests)
    }
}
