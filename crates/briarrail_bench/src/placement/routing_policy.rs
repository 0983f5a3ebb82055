//! Routing policies under test: Briarrail's own and the baselines.

use briarrail_model::{StableHash, hash_pair};
use rand::Rng;
use rand::rngs::SmallRng;

/// Load limit of `bounded_load` as a multiple of the mean load.
const BOUNDED_LOAD_FACTOR: f64 = 1.25;

/// A routing policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoutingPolicy {
    RoundRobin,
    LeastLoad,
    TwoChoices,
    Rendezvous,
    BoundedLoad,
    Briarrail,
}

/// All policies, in report order.
pub(crate) const POLICIES: [RoutingPolicy; 6] = [
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastLoad,
    RoutingPolicy::TwoChoices,
    RoutingPolicy::Rendezvous,
    RoutingPolicy::BoundedLoad,
    RoutingPolicy::Briarrail,
];

impl RoutingPolicy {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoad => "least_load",
            Self::TwoChoices => "two_choices",
            Self::Rendezvous => "rendezvous",
            Self::BoundedLoad => "bounded_load",
            Self::Briarrail => "briarrail",
        }
    }
}

/// A live engine as a baseline policy sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BaselineTarget {
    pub(crate) engine: u32,
    pub(crate) name: StableHash,
    pub(crate) load: u32,
}

/// A router's delayed view of the live engines, used by the baseline policies.
#[derive(Debug, Clone, Default)]
pub(crate) struct BaselineView {
    pub(crate) targets: Vec<BaselineTarget>,
    pub(crate) mean_load: f64,
    pub(crate) next_index: usize,
}

impl BaselineView {
    /// Returns the engines to try, best first.
    pub(crate) fn choose(
        &mut self,
        policy: RoutingPolicy,
        chat: Option<StableHash>,
        rng: &mut SmallRng,
    ) -> Vec<u32> {
        if self.targets.is_empty() {
            return Vec::new();
        }
        match (policy, chat) {
            (RoutingPolicy::LeastLoad, _) => self.least_load(),
            (RoutingPolicy::Rendezvous, Some(chat)) => self.by_rendezvous(chat, f64::INFINITY),
            (RoutingPolicy::BoundedLoad, Some(chat)) => {
                self.by_rendezvous(chat, BOUNDED_LOAD_FACTOR * self.mean_load)
            }
            (RoutingPolicy::TwoChoices, _) => self.two_choices(rng),
            _ => self.round_robin(),
        }
    }

    fn round_robin(&mut self) -> Vec<u32> {
        self.next_index += 1;
        let at =
            |offset: usize| self.targets[(self.next_index + offset) % self.targets.len()].engine;
        (0..3).map(at).collect()
    }

    fn least_load(&self) -> Vec<u32> {
        let mut order: Vec<_> = self.targets.iter().collect();
        order.sort_by_key(|target| target.load);
        order.iter().take(3).map(|target| target.engine).collect()
    }

    fn two_choices(&self, rng: &mut SmallRng) -> Vec<u32> {
        let mut pick = || self.targets[rng.random_range(0..self.targets.len())];
        let mut pair = [pick(), pick()];
        pair.sort_by_key(|target| target.load);
        vec![pair[0].engine, pair[1].engine, pick().engine]
    }

    /// Ranks engines by rendezvous hashing, those above the load limit last.
    fn by_rendezvous(&self, chat: StableHash, limit: f64) -> Vec<u32> {
        let score = |target: &BaselineTarget| hash_pair(chat, target.name);
        let mut order: Vec<_> = self.targets.iter().collect();
        let depth = order.len().min(8);
        if depth < order.len() {
            order.select_nth_unstable_by_key(depth, |target| std::cmp::Reverse(score(target)));
            order.truncate(depth);
        }
        order.sort_by_key(|target| std::cmp::Reverse(score(target)));
        let (under, over): (Vec<&BaselineTarget>, Vec<&BaselineTarget>) = order
            .into_iter()
            .partition(|target| f64::from(target.load) <= limit);
        under
            .into_iter()
            .chain(over)
            .take(3)
            .map(|target| target.engine)
            .collect()
    }
}
