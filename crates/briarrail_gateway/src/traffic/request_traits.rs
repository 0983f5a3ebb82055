//! What a request has in common with others that may crash the same targets.

use briarrail_dispatch::CrashSuspect;
use briarrail_model::{StableHash, hash_bytes, hash_pair};

use super::part_list::PartList;
use super::request_context::RequestContext;

/// Traits of a request by which it is recognised when it is sent again; cheap to clone.
#[derive(Debug, Clone, Default)]
pub(crate) struct RequestTraits {
    /// Hash of everything that makes up the request, except what differs between attempts.
    ///
    /// `None` until the request has been read.
    pub(crate) fingerprint: Option<StableHash>,
    /// Shared parts of the prompt.
    pub(crate) shared_parts: PartList,
}

impl RequestTraits {
    /// Returns what the request has in common with others that may crash the same targets.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = CrashSuspect> {
        let parts = self.shared_parts.as_slice().iter();
        let parts = parts.map(|part| CrashSuspect::prompt_part(*part));
        parts.chain(self.fingerprint.map(CrashSuspect::request))
    }

    /// Returns the fingerprint for log lines; empty if there is none.
    pub(crate) fn fingerprint_text(&self) -> String {
        let text = |hash: StableHash| format!("{:016x}", hash.0);
        self.fingerprint.map_or_else(String::new, text)
    }
}

/// Returns the hash of a request's method, host, path, key and body.
///
/// The identifier and the deadline differ between attempts of the same caller, and are left out.
pub(crate) fn request_fingerprint(context: &RequestContext, host: &str) -> StableHash {
    let key = context.caller.key.as_deref().unwrap_or_default();
    let target = context.uri.path_and_query();
    let target = target.map_or("", |target| target.as_str());
    let fields = [
        context.method.as_str().as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        key.as_bytes(),
        &context.body,
    ];
    fields
        .into_iter()
        .map(hash_bytes)
        .fold(StableHash(0), hash_pair)
}
