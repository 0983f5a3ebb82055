//! The targets at which a request was attempted.

use briarrail_dispatch::TargetKey;

/// The targets at which a request was attempted, and which of them may be asked again.
#[derive(Debug, Default)]
pub(crate) struct TriedTargets {
    keys: Vec<TargetKey>,
    /// Targets whose attempt was cancelled because the silent target kept the request.
    withdrawn: Vec<TargetKey>,
    /// Targets that were left because they were silent.
    left: Vec<TargetKey>,
    /// Whether the latest attempt went to a target that had the request before.
    is_repeat: bool,
    scope: TargetScope,
}

/// Which targets the next attempt may go to; untried ones come first, then withdrawn ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TargetScope {
    /// Whether as many targets as the route allows may have run the request.
    pub(crate) is_limited_to_returns: bool,
    /// Whether a target that was left may be asked again. Beside a silent target this would move the
    /// request back and forth.
    pub(crate) includes_left: bool,
}

impl TriedTargets {
    /// Returns all targets at which the request was attempted, in order.
    pub(crate) fn keys(&self) -> &[TargetKey] {
        &self.keys
    }

    /// Records an attempt at a target.
    pub(crate) fn record(&mut self, key: TargetKey) {
        self.withdrawn.retain(|other| *other != key);
        self.left.retain(|other| *other != key);
        self.is_repeat = self.keys.contains(&key);
        if !self.is_repeat {
            self.keys.push(key);
        }
    }

    /// Records that the attempt at a target was cancelled because the silent target kept the request.
    pub(crate) fn record_withdrawn(&mut self, key: TargetKey) {
        self.withdrawn.push(key);
    }

    /// Records that a target was left because it was silent.
    pub(crate) fn record_left(&mut self, key: TargetKey) {
        self.left.push(key);
    }

    /// Sets which targets the next attempt may go to.
    pub(crate) const fn set_scope(&mut self, scope: TargetScope) {
        self.scope = scope;
    }

    /// Returns whether only targets that had the request before may be asked.
    pub(crate) const fn is_limited_to_returns(&self) -> bool {
        self.scope.is_limited_to_returns
    }

    /// Returns the targets that may be asked again, in order.
    pub(crate) fn returns(&self) -> impl Iterator<Item = TargetKey> + '_ {
        let left = self.left.iter().filter(|_| self.scope.includes_left);
        self.withdrawn.iter().chain(left).copied()
    }

    /// Returns whether the target of the latest attempt may be given up for this one if it is silent.
    ///
    /// A target that has the request again is not given up for one that was left, since both would get
    /// it in turn.
    pub(crate) fn may_replace_latest(&self, key: TargetKey) -> bool {
        !self.keys.contains(&key)
            || self.withdrawn.contains(&key)
            || (!self.is_repeat && self.left.contains(&key))
    }
}
