//! Policies: ours and the baselines.

use briarrail_model::{StableHash, hash_pair};
use rand::Rng;
use rand::rngs::SmallRng;

const BOUNDED_LOAD: f64 = 1.25;

/// A policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoutingRule {
    RoundRobin,
    LeastLoad,
    TwoChoices,
    Rendezvous,
    BoundedLoad,
    Briarrail,
}

/// All policies, in the order of the report.
pub(crate) const RULES: [RoutingRule; 6] = [
    RoutingRule::RoundRobin,
    RoutingRule::LeastLoad,
    RoutingRule::TwoChoices,
    RoutingRule::Rendezvous,
    RoutingRule::BoundedLoad,
    RoutingRule::Briarrail,
];

impl RoutingRule {
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

/// What a baseline knows of a live engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BaselineTarget {
    pub(crate) engine: u32,
    pub(crate) name: StableHash,
    pub(crate) load: u32,
}

/// A router's lagged view for the baselines.
#[derive(Debug, Clone, Default)]
pub(crate) struct BaselineView {
    pub(crate) targets: Vec<BaselineTarget>,
    pub(crate) mean: f64,
    pub(crate) turn: usize,
}

impl BaselineView {
    /// Returns engines to try, best first.
    pub(crate) fn choose(
        &mut self,
        rule: RoutingRule,
        chat: Option<StableHash>,
        rng: &mut SmallRng,
    ) -> Vec<u32> {
        if self.targets.is_empty() {
            return Vec::new();
        }
        match (rule, chat) {
            (RoutingRule::LeastLoad, _) => self.least_load(),
            (RoutingRule::Rendezvous, Some(chat)) => self.by_home(chat, f64::INFINITY),
            (RoutingRule::BoundedLoad, Some(chat)) => self.by_home(chat, BOUNDED_LOAD * self.mean),
            (RoutingRule::TwoChoices, _) => self.two_choices(rng),
            _ => self.round_robin(),
        }
    }

    fn round_robin(&mut self) -> Vec<u32> {
        self.turn += 1;
        let at = |offset: usize| self.targets[(self.turn + offset) % self.targets.len()].engine;
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

    fn by_home(&self, chat: StableHash, limit: f64) -> Vec<u32> {
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
