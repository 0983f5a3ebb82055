//! The cases of the claims benchmark.

/// Parameters of one case.
#[derive(Debug, Clone)]
pub(crate) struct ClaimCase {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) routers: usize,
    /// Mean number of new claims per second over all routers.
    pub(crate) claims_per_s: f64,
    /// Whether the store is unavailable for a time, replies are lost and an owner fails.
    pub(crate) has_faults: bool,
    /// Whether each claim and each outcome is written separately.
    pub(crate) is_baseline: bool,
    pub(crate) seconds: u64,
}

/// Returns all cases: three sizes, without and with faults, batched and with one write per claim.
pub(crate) fn all_cases(seed: u64, seconds: u64) -> Vec<ClaimCase> {
    let sizes = [(9, 20.0), (9, 1_500.0), (3_600, 1_500.0)];
    let mut cases = Vec::new();
    for (routers, claims_per_s) in sizes {
        for has_faults in [false, true] {
            for is_baseline in [false, true] {
                let kind = if is_baseline { "one_write" } else { "batched" };
                let state = if has_faults { "faults" } else { "calm" };
                cases.push(ClaimCase {
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
    cases
}
