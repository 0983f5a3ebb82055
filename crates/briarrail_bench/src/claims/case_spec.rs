//! The measured cases.

/// One measured case.
#[derive(Debug, Clone)]
pub(crate) struct CaseSpec {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    /// Mean of new claims a second, over all routers.
    pub(crate) claims_per_s: f64,
    /// Whether the store fails, replies get lost, and an owner dies.
    pub(crate) has_faults: bool,
    /// Whether each claim and each outcome is a write of its own.
    pub(crate) is_baseline: bool,
    pub(crate) seconds: u64,
}

/// Returns all cases: three sizes, without and with faults, batched and one write per claim.
pub(crate) fn all_cases(seed: u64, seconds: u64) -> Vec<CaseSpec> {
    let sizes = [(9, 20.0), (9, 1_500.0), (3_600, 1_500.0)];
    let mut specs = Vec::new();
    for (routers, claims_per_s) in sizes {
        for has_faults in [false, true] {
            for is_baseline in [false, true] {
                let kind = if is_baseline { "one_write" } else { "batched" };
                let state = if has_faults { "faults" } else { "calm" };
                specs.push(CaseSpec {
                    name: format!("{kind}_{routers}_routers_{claims_per_s}_a_second_{state}"),
                    seed,
                    routers,
                    claims_per_s,
                    has_faults,
                    is_baseline,
                    seconds,
                });
            }
        }
    }
    specs
}
