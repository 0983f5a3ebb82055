//! Blocks prompt parts that crash targets.
//!
//! Each target that begins to answer a request with such a part crashes, and all its streams are
//! cut. Ejecting the target moves the next request with the part to another target. So the evidence
//! is kept by part: requests that waited for their answer to begin when their target crashed make
//! their parts suspect, and an answer that begins clears its parts. Several crashes without an
//! answer in between block a part. Each router sees only some of the requests, so routers exchange
//! the evidence, and all come to the same decision.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::past_time::PastTime;
use crate::suspect_record::{SuspectRecord, TargetCrash};
use crate::{BlockedSuspect, SuspectChange, SuspectReport};

/// Number of crashes, without an answer in between, that block a part of which no answer is known.
const MIN_CRASHES: usize = 3;
/// Number of crashes that block a part of which an answer began before them. Such a part is more
/// likely to be sound, with requests that waited by chance at targets that crashed.
const MIN_CRASHES_OF_KNOWN_PART: usize = 5;
/// Time for which a change is reported; several rounds of a slow exchange.
const REPORT_TIME: MilliDuration = MilliDuration::from_secs(5);
/// Maximum number of parts in one message.
const MAX_REPORTS: usize = 32;
/// Number of parts among them that are chosen by their weight.
const MAX_HEAVIEST_REPORTS: usize = 16;
/// Maximum number of parts with evidence.
const MAX_RECORDS: usize = 512;
/// Time for which the start of an answer is remembered at least; several times the time between two
/// requests with a part that few share.
const BEGIN_MEMORY: MilliDuration = MilliDuration::from_secs(60);
/// Maximum number of parts whose last start of an answer is remembered.
const MAX_BEGUN_PARTS: usize = 4_096;

/// Evidence by prompt part, and the parts that are blocked.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    records: HashMap<StableHash, SuspectRecord>,
    /// Time of the last answer that began here, by part.
    begun: HashMap<StableHash, MilliTime>,
}

impl CrashQuarantine {
    /// Records that the answer to a request with the given shared parts began.
    #[must_use]
    pub fn record_begin(&mut self, parts: &[StableHash], now: MilliTime) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for &part in parts {
            self.begun.insert(part, now);
            let Some(record) = self.records.get_mut(&part) else {
                continue;
            };
            let was_blocked = record.blocked_until(now).is_some();
            record.record_begin(now.into(), now);
            if was_blocked && record.blocked_until(now).is_none() {
                changes.push(SuspectChange::Released(part));
            }
        }
        if self.begun.len() > MAX_BEGUN_PARTS {
            self.begun.retain(|_, at| now.since(*at) < BEGIN_MEMORY);
            if self.begun.len() > MAX_BEGUN_PARTS {
                self.begun.clear();
            }
        }
        changes
    }

    /// Records that a target crashed while requests waited there for their answers to begin.
    ///
    /// `lost` contains the shared parts of each of these requests. If one of them has a blocked
    /// part, that part explains the crash.
    #[must_use]
    pub fn record_crash<'p, I>(
        &mut self,
        target: u32,
        lost: I,
        now: MilliTime,
    ) -> Vec<SuspectChange>
    where
        I: IntoIterator<Item = &'p [StableHash]>,
    {
        let parts: BTreeSet<StableHash> = lost.into_iter().flatten().copied().collect();
        let is_blocked = |part: &StableHash| self.blocked_until(&[*part], now).is_some();
        let blocked: BTreeSet<StableHash> = parts.iter().copied().filter(is_blocked).collect();
        let suspects = if blocked.is_empty() { parts } else { blocked };
        let at = PastTime::from(now);
        for part in suspects {
            let record = self.records.entry(part);
            let record = record.or_insert_with(|| SuspectRecord::new(now));
            record.add_crash(TargetCrash { target, at }, now);
            if let Some(begun_at) = self.begun.get(&part) {
                record.record_begin((*begun_at).into(), now);
            }
        }
        self.purge(now);
        self.block_suspects(now)
    }

    /// Merges the reports of another router.
    #[must_use]
    pub fn merge(&mut self, reports: &[SuspectReport], now: MilliTime) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for report in reports {
            let before = self.blocked_until(&[report.part], now);
            self.merge_report(report, now);
            let after = self.blocked_until(&[report.part], now);
            match (before, after) {
                (None, Some(until)) => changes.push(SuspectChange::Blocked(report.part, until)),
                (Some(_), None) => changes.push(SuspectChange::Released(report.part)),
                (None, None) | (Some(_), Some(_)) => {}
            }
        }
        self.purge(now);
        changes.extend(self.block_suspects(now));
        changes
    }

    /// Returns the latest end of the blocks of some parts, if one is blocked.
    #[must_use]
    pub fn blocked_until(&self, parts: &[StableHash], now: MilliTime) -> Option<MilliTime> {
        if self.records.is_empty() {
            return None;
        }
        let records = parts.iter().filter_map(|part| self.records.get(part));
        records.filter_map(|record| record.blocked_until(now)).max()
    }

    /// Returns the blocked parts, in order of their hashes.
    #[must_use]
    pub fn blocked_suspects(&self, now: MilliTime) -> Vec<BlockedSuspect> {
        let to_blocked = |(part, record): (&StableHash, &SuspectRecord)| {
            let until = record.blocked_until(now)?;
            Some(BlockedSuspect { part: *part, until })
        };
        let mut blocked: Vec<_> = self.records.iter().filter_map(to_blocked).collect();
        blocked.sort_unstable_by_key(|blocked| blocked.part);
        blocked
    }

    /// Returns what other routers need to know: blocked parts, and those with recent changes.
    ///
    /// If there are too many, the heaviest ones are always reported, and the others in turn.
    #[must_use]
    pub fn reports(&self, now: MilliTime) -> Vec<SuspectReport> {
        let records = self.records.iter();
        let mut news: Vec<_> = records
            .filter(|(_, record)| record.is_news(REPORT_TIME, now))
            .collect();
        news.sort_unstable_by_key(|(part, record)| Reverse((record.weight(), **part)));
        if news.len() > MAX_HEAVIEST_REPORTS {
            let round = StableHash(now.as_millis());
            news[MAX_HEAVIEST_REPORTS..].sort_unstable_by_key(|(part, _)| hash_pair(**part, round));
        }
        let reported = news.into_iter().take(MAX_REPORTS);
        reported
            .map(|(part, record)| record.report(*part, now))
            .collect()
    }

    fn merge_report(&mut self, report: &SuspectReport, now: MilliTime) {
        let part = report.part;
        let record = self.records.entry(part);
        let record = record.or_insert_with(|| SuspectRecord::new(now));
        if let Some(block) = &report.block {
            record.adopt_block(block, now);
        }
        for crash in &report.crashes {
            let crash = TargetCrash {
                target: crash.target,
                at: PastTime::new(now, crash.age),
            };
            record.add_crash(crash, now);
        }
        if let Some(age) = report.begun_age {
            record.record_begin(PastTime::new(now, age), now);
        }
        if let Some(begun_at) = self.begun.get(&part) {
            record.record_begin((*begun_at).into(), now);
        }
    }

    /// Blocks the parts that must have crashed targets.
    fn block_suspects(&mut self, now: MilliTime) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        while let Some(part) = self.main_suspect(now) {
            let Some(record) = self.records.get_mut(&part) else {
                break;
            };
            record.start_block(now);
            if let Some(until) = record.blocked_until(now) {
                changes.push(SuspectChange::Blocked(part, until));
            }
        }
        changes
    }

    /// Returns the part with the strongest evidence, if it suffices for a block.
    ///
    /// Sound parts that stand beside a blocked one in the same requests share its crashes, so these
    /// count as explained. A part that has as many crashes and one more without the blocked part is
    /// the better explanation.
    fn main_suspect(&self, now: MilliTime) -> Option<StableHash> {
        let explained = self.explained_crashes();
        let suspects = self.records.iter().filter_map(|(part, record)| {
            let min_crashes = if record.has_begun() {
                MIN_CRASHES_OF_KNOWN_PART
            } else {
                MIN_CRASHES
            };
            let total = record.spaced_crashes(|_| true);
            if total < min_crashes || !record.has_new_crash() || record.blocked_until(now).is_some()
            {
                return None;
            }
            let is_unexplained = |crash: &TargetCrash| {
                let mut explained = explained.iter();
                !explained.any(|(other, known)| other != part && known.is_same(crash))
            };
            let unexplained = record.spaced_crashes(is_unexplained);
            let is_sufficient =
                unexplained >= min_crashes || (unexplained > 0 && total > min_crashes);
            is_sufficient.then_some((!record.has_begun(), unexplained, total, *part))
        });
        suspects.max().map(|(.., part)| part)
    }

    /// Returns the crashes of requests with parts that were blocked.
    fn explained_crashes(&self) -> Vec<(StableHash, TargetCrash)> {
        let blocked = self.records.iter().filter(|(_, record)| record.has_block());
        let crashes = blocked.flat_map(|(part, record)| {
            let crashes = record.crashes().iter();
            crashes.map(|crash| (*part, *crash))
        });
        crashes.collect()
    }

    fn purge(&mut self, now: MilliTime) {
        self.records.retain(|_, record| !record.is_expired(now));
        while self.records.len() > MAX_RECORDS {
            let records = self.records.iter();
            let lightest = records.min_by_key(|(part, record)| (record.weight(), **part));
            let Some(part) = lightest.map(|(part, _)| *part) else {
                return;
            };
            self.records.remove(&part);
        }
    }
}
