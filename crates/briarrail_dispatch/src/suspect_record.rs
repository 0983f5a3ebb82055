//! Evidence for and against one suspect, as known to this router.

use briarrail_model::{MilliDuration, MilliTime, StableHash};

use crate::past_time::PastTime;
use crate::{BlockReport, CrashReport, SuspectKind, SuspectReport};

/// Minimum time between crashes that count separately; targets that crash at the same moment have a
/// common cause that is not a request. Covers the error in the ages of reports, which is at most half
/// the timeout of a sync.
const MIN_CRASH_SPACING: MilliDuration = MilliDuration::from_millis(250);
/// Maximum difference between two reports of the same crash; less than the time in which a target
/// restarts.
const MAX_REPORT_SKEW: MilliDuration = MilliDuration::from_millis(1_000);
/// Maximum number of crashes that are kept of one suspect.
const MAX_CRASHES: usize = 12;
/// Time for which a suspect is blocked.
const BLOCK_TIME: MilliDuration = MilliDuration::from_secs(600);
/// Time for which crashes are kept after the last change, or after the end of a block.
const CRASH_MEMORY: MilliDuration = MilliDuration::from_secs(600);
/// Time for which the start of an answer is kept, which refutes crashes that are reported later.
const BEGIN_MEMORY: MilliDuration = MilliDuration::from_secs(10);

/// A crash of a target while a request with the suspect waited there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetCrash {
    pub(crate) target: u32,
    pub(crate) at: PastTime,
    /// Earliest time at which such a request was sent to the target, if it is known.
    pub(crate) sent_at: Option<PastTime>,
}

impl TargetCrash {
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.target == other.target && self.at.distance(other.at) <= MAX_REPORT_SKEW
    }
}

/// A decision to block a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SuspectBlock {
    from: PastTime,
    until: MilliTime,
}

/// Evidence for and against one suspect.
#[derive(Debug, Clone)]
pub(crate) struct SuspectRecord {
    kind: SuspectKind,
    /// Crashes since an answer last began, in order of time.
    crashes: Vec<TargetCrash>,
    begun_at: Option<PastTime>,
    block: Option<SuspectBlock>,
    /// Largest number of crashes so far, including those that an answer refuted.
    peak_crashes: usize,
    /// Time of the last change that other routers need to know.
    changed_at: MilliTime,
}

impl SuspectRecord {
    pub(crate) const fn new(kind: SuspectKind, now: MilliTime) -> Self {
        Self {
            kind,
            crashes: Vec::new(),
            begun_at: None,
            block: None,
            peak_crashes: 0,
            changed_at: now,
        }
    }

    pub(crate) fn crashes(&self) -> &[TargetCrash] {
        &self.crashes
    }

    /// Returns the order in which suspects are reported and kept: the heaviest evidence comes first.
    /// An answer that refutes many crashes weighs as much as they did.
    pub(crate) fn weight(&self) -> (bool, usize, MilliTime) {
        (self.has_block(), self.peak_crashes, self.changed_at)
    }

    pub(crate) const fn has_block(&self) -> bool {
        self.block.is_some()
    }

    /// Returns whether an answer to a request with the suspect is known to have begun.
    pub(crate) const fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Adds a crash unless it is known, or an answer began later.
    pub(crate) fn add_crash(&mut self, crash: TargetCrash, now: MilliTime) {
        let is_known = self.crashes.iter().any(|known| known.is_same(&crash));
        if is_known || self.begun_at.is_some_and(|at| at >= crash.at) {
            return;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.peak_crashes = self.peak_crashes.max(self.crashes.len());
        self.changed_at = now;
    }

    /// Records that an answer to a request with the suspect began, which refutes all earlier evidence.
    pub(crate) fn record_begin(&mut self, at: PastTime, now: MilliTime) {
        if self.begun_at.is_some_and(|known| known >= at) {
            return;
        }
        let was_blocked = self.blocked_until(now).is_some();
        let is_first = self.begun_at.is_none() && !self.crashes.is_empty();
        let crash_count = self.crashes.len();
        self.begun_at = Some(at);
        self.crashes.retain(|crash| crash.at > at);
        let is_refuted =
            crash_count != self.crashes.len() || was_blocked != self.blocked_until(now).is_some();
        if is_first || is_refuted {
            self.changed_at = now;
        }
    }

    /// Blocks the suspect from now on.
    pub(crate) fn start_block(&mut self, now: MilliTime) {
        self.block = Some(SuspectBlock {
            from: now.into(),
            until: now + BLOCK_TIME,
        });
        self.changed_at = now;
    }

    /// Ends the block, because another suspect explains the crashes.
    pub(crate) fn end_block(&mut self, now: MilliTime) {
        self.block = None;
        self.crashes.clear();
        self.changed_at = now;
    }

    /// Adopts another router's decision to block the suspect.
    pub(crate) fn adopt_block(&mut self, report: &BlockReport, now: MilliTime) {
        // A longer block than this router would decide on is not an estimate of another clock.
        let remaining = report.remaining.min(BLOCK_TIME);
        let block = SuspectBlock {
            from: PastTime::new(now, report.age),
            until: now + remaining,
        };
        let is_newer = |known: &SuspectBlock| {
            block.until > known.until && block.from.distance(known.from) > MAX_REPORT_SKEW
        };
        if self.block.as_ref().is_none_or(is_newer) {
            self.block = Some(block);
            self.changed_at = now;
        }
    }

    /// Returns the end of the block that is in effect.
    pub(crate) fn blocked_until(&self, now: MilliTime) -> Option<MilliTime> {
        let block = self.block.as_ref()?;
        let is_refuted = self.begun_at.is_some_and(|at| at > block.from);
        (block.until > now && !is_refuted).then_some(block.until)
    }

    /// Returns whether a crash was recorded after the end of the last block, if there was one.
    pub(crate) fn has_new_crash(&self) -> bool {
        let Some(last) = self.crashes.last() else {
            return false;
        };
        self.block
            .as_ref()
            .is_none_or(|block| last.at > block.until.into())
    }

    /// Returns the number of crashes that count separately, of those that `counts` accepts.
    ///
    /// A request that was sent to the next target after the last one had crashed is evidence of its
    /// own however soon that one crashes too. For parts, which many requests share, it is not.
    pub(crate) fn separate_crashes<F>(&self, counts: F) -> usize
    where
        F: Fn(&TargetCrash) -> bool,
    {
        let mut counted: Option<PastTime> = None;
        let mut number = 0;
        for crash in self.crashes.iter().filter(|crash| counts(crash)) {
            let is_spaced = |at: PastTime| crash.at.distance(at) >= MIN_CRASH_SPACING;
            let is_sent_later = |at: PastTime| {
                self.kind == SuspectKind::Request && crash.sent_at.is_some_and(|sent| sent >= at)
            };
            if counted.is_none_or(|at| is_spaced(at) || is_sent_later(at)) {
                counted = Some(crash.at);
                number += 1;
            }
        }
        number
    }

    /// Returns whether other routers need to know the record: the suspect is blocked, or something
    /// changed within a time.
    pub(crate) fn is_news(&self, period: MilliDuration, now: MilliTime) -> bool {
        self.blocked_until(now).is_some() || now.since(self.changed_at) <= period
    }

    /// Returns whether the record has no further use.
    pub(crate) fn is_expired(&self, now: MilliTime) -> bool {
        let block_end = self.block.as_ref().map(|block| block.until);
        let used_at = block_end.map_or(self.changed_at, |end| end.max(self.changed_at));
        let memory = if self.crashes.is_empty() {
            BEGIN_MEMORY
        } else {
            CRASH_MEMORY
        };
        now.since(used_at) > memory
    }

    pub(crate) fn report(&self, suspect: StableHash, now: MilliTime) -> SuspectReport {
        let to_report = |crash: &TargetCrash| CrashReport {
            target: crash.target,
            age: crash.at.age(now),
            sent_age: match self.kind {
                SuspectKind::PromptPart => None,
                SuspectKind::Request => crash.sent_at.map(|at| at.age(now)),
            },
        };
        SuspectReport {
            suspect,
            crashes: self.crashes.iter().map(to_report).collect(),
            begun_age: self.begun_at.map(|at| at.age(now)),
            block: self.block.as_ref().map(|block| BlockReport {
                age: block.from.age(now),
                remaining: block.until.since(now),
            }),
        }
    }
}
