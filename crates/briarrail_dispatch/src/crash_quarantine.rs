//! Blocks requests and prompt parts that crash targets.
//!
//! Each target that begins to answer such a request crashes, and all its streams are cut. Ejecting
//! the target moves the next such request to another target. So the evidence is kept by what the
//! requests have in common, their suspects, either a part of their prompts or everything: requests
//! that waited for their answer to begin when their target crashed are evidence against their
//! suspects, and an answer that begins clears its suspects. Several crashes without an answer in
//! between block a suspect.
//! Each router sees only some of the requests, so routers exchange the evidence, and all come to the
//! same decision.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};

use briarrail_model::{MilliDuration, MilliTime, StableHash, hash_pair};

use crate::begin_memory::BeginMemory;
use crate::past_time::PastTime;
use crate::suspect_record::{SuspectRecord, TargetCrash};
use crate::{
    BlockedSuspect, CrashSuspect, LostSuspect, SuspectChange, SuspectKind, SuspectReport,
    SuspectReports,
};

/// Number of crashes, without an answer in between, that block a suspect of which no answer is known.
const MIN_CRASHES: usize = 3;
/// Number of crashes that block a suspect of which an answer began before them, or a part two or more
/// of whose crashes may be those of one request. Such a suspect is more likely to be sound, with
/// requests that waited by chance at targets that crashed.
const MIN_CRASHES_OF_AMBIGUOUS_SUSPECT: usize = 5;
/// Time for which a change is reported; several rounds of a slow exchange.
const REPORT_TIME: MilliDuration = MilliDuration::from_secs(5);
/// Maximum number of suspects with evidence, by kind.
const MAX_RECORDS: usize = 512;

/// Returns the maximum number of suspects in one message.
const fn max_reports(kind: SuspectKind) -> usize {
    match kind {
        SuspectKind::PromptPart => 32,
        SuspectKind::Request => 16,
    }
}

/// Evidence by suspect, and the suspects that are blocked.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    records: HashMap<CrashSuspect, SuspectRecord>,
    begun_parts: BeginMemory,
    begun_requests: BeginMemory,
}

impl CrashQuarantine {
    /// Records that the answer to a request with the given suspects began.
    #[must_use]
    pub fn record_begin<I>(&mut self, suspects: I, now: MilliTime) -> Vec<SuspectChange>
    where
        I: IntoIterator<Item = CrashSuspect>,
    {
        let mut changes = Vec::new();
        for suspect in suspects {
            let memory = match suspect.kind {
                SuspectKind::PromptPart => &mut self.begun_parts,
                SuspectKind::Request => &mut self.begun_requests,
            };
            memory.record(suspect.hash, now);
            let Some(record) = self.records.get_mut(&suspect) else {
                continue;
            };
            let was_blocked = record.blocked_until(now).is_some();
            record.record_begin(now.into(), now);
            if was_blocked && record.blocked_until(now).is_none() {
                changes.push(SuspectChange::Released(suspect));
            }
        }
        changes
    }

    /// Records that a target crashed at `crashed_at` while requests waited there for their answers to
    /// begin.
    ///
    /// `lost` contains the suspects of all these requests. If one of them is blocked, it explains the
    /// crash.
    #[must_use]
    pub fn record_crash<I>(
        &mut self,
        target: u32,
        lost: I,
        crashed_at: MilliTime,
        now: MilliTime,
    ) -> Vec<SuspectChange>
    where
        I: IntoIterator<Item = LostSuspect>,
    {
        let mut sent_at: BTreeMap<CrashSuspect, MilliTime> = BTreeMap::new();
        for lost in lost {
            let first = sent_at.entry(lost.suspect).or_insert(lost.sent_at);
            *first = lost.sent_at.min(*first);
        }
        let is_blocked = |suspect: &CrashSuspect| self.blocked_until([*suspect], now).is_some();
        if sent_at.keys().any(is_blocked) {
            sent_at.retain(|suspect, _| self.blocked_until([*suspect], now).is_some());
        }
        for (suspect, sent_at) in sent_at {
            let begun_at = self.begun_at(suspect);
            let record = self.records.entry(suspect);
            let record = record.or_insert_with(|| SuspectRecord::new(suspect.kind, now));
            let crash = TargetCrash {
                target,
                at: crashed_at.into(),
                sent_at: Some(sent_at.into()),
            };
            record.add_crash(crash, now);
            if let Some(begun_at) = begun_at {
                record.record_begin(begun_at.into(), now);
            }
        }
        self.purge(now);
        self.block_suspects(now)
    }

    /// Merges the reports of another router.
    #[must_use]
    pub fn merge(&mut self, reports: &SuspectReports, now: MilliTime) -> Vec<SuspectChange> {
        let reported = reports.iter().map(|(kind, report)| {
            let suspect = CrashSuspect {
                kind,
                hash: report.suspect,
            };
            (suspect, self.blocked_until([suspect], now))
        });
        let before: Vec<_> = reported.collect();
        for (kind, report) in reports.iter() {
            self.merge_report(kind, report, now);
        }
        self.purge(now);
        let mut changes = self.block_suspects(now);
        changes.retain(|change| !before.iter().any(|(known, _)| *known == change.suspect()));
        let reported_changes = before.into_iter().filter_map(|(suspect, before)| {
            match (before, self.blocked_until([suspect], now)) {
                (None, Some(until)) => Some(SuspectChange::Blocked(suspect, until)),
                (Some(_), None) => Some(SuspectChange::Released(suspect)),
                (None, None) | (Some(_), Some(_)) => None,
            }
        });
        changes.extend(reported_changes);
        changes
    }

    /// Returns the latest end of the blocks of some suspects, if one is blocked.
    #[must_use]
    pub fn blocked_until<I>(&self, suspects: I, now: MilliTime) -> Option<MilliTime>
    where
        I: IntoIterator<Item = CrashSuspect>,
    {
        if self.records.is_empty() {
            return None;
        }
        let suspects = suspects.into_iter();
        let records = suspects.filter_map(|suspect| self.records.get(&suspect));
        records.filter_map(|record| record.blocked_until(now)).max()
    }

    /// Returns the blocked suspects in their order.
    #[must_use]
    pub fn blocked_suspects(&self, now: MilliTime) -> Vec<BlockedSuspect> {
        let to_blocked = |(suspect, record): (&CrashSuspect, &SuspectRecord)| {
            let until = record.blocked_until(now)?;
            Some(BlockedSuspect {
                suspect: *suspect,
                until,
            })
        };
        let mut blocked: Vec<_> = self.records.iter().filter_map(to_blocked).collect();
        blocked.sort_unstable_by_key(|blocked| blocked.suspect);
        blocked
    }

    /// Returns what other routers need to know: blocked suspects, and those with recent changes.
    #[must_use]
    pub fn reports(&self, now: MilliTime) -> SuspectReports {
        SuspectReports {
            parts: self.reports_of(SuspectKind::PromptPart, now),
            requests: self.reports_of(SuspectKind::Request, now),
        }
    }

    /// Returns the reports on suspects of a kind.
    ///
    /// If there are too many, the heaviest ones are always reported, and the others in turn.
    fn reports_of(&self, kind: SuspectKind, now: MilliTime) -> Vec<SuspectReport> {
        let records = self.records.iter();
        let mut news: Vec<(StableHash, &SuspectRecord)> = records
            .filter(|(suspect, record)| suspect.kind == kind && record.is_news(REPORT_TIME, now))
            .map(|(suspect, record)| (suspect.hash, record))
            .collect();
        news.sort_unstable_by_key(|(hash, record)| Reverse((record.weight(), *hash)));
        let max_heaviest = max_reports(kind) / 2;
        if news.len() > max_heaviest {
            let round = StableHash(now.as_millis());
            news[max_heaviest..].sort_unstable_by_key(|(hash, _)| hash_pair(*hash, round));
        }
        let reported = news.into_iter().take(max_reports(kind));
        reported
            .map(|(hash, record)| record.report(hash, now))
            .collect()
    }

    fn begun_at(&self, suspect: CrashSuspect) -> Option<MilliTime> {
        match suspect.kind {
            SuspectKind::PromptPart => self.begun_parts.begun_at(suspect.hash),
            SuspectKind::Request => self.begun_requests.begun_at(suspect.hash),
        }
    }

    fn merge_report(&mut self, kind: SuspectKind, report: &SuspectReport, now: MilliTime) {
        let suspect = CrashSuspect {
            kind,
            hash: report.suspect,
        };
        let begun_at = self.begun_at(suspect);
        let record = self.records.entry(suspect);
        let record = record.or_insert_with(|| SuspectRecord::new(kind, now));
        if let Some(block) = &report.block {
            record.adopt_block(block, now);
        }
        for crash in &report.crashes {
            let crash = TargetCrash {
                target: crash.target,
                at: PastTime::new(now, crash.age),
                sent_at: crash.sent_age.map(|age| PastTime::new(now, age)),
            };
            record.add_crash(crash, now);
        }
        if let Some(age) = report.begun_age {
            record.record_begin(PastTime::new(now, age), now);
        }
        if let Some(begun_at) = begun_at {
            record.record_begin(begun_at.into(), now);
        }
    }

    /// Blocks the suspects that must have crashed targets, and releases those that another one
    /// explains.
    fn block_suspects(&mut self, now: MilliTime) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        while let Some(suspect) = self.main_suspect(now) {
            let Some(record) = self.records.get_mut(&suspect) else {
                break;
            };
            record.start_block(now);
            if let Some(until) = record.blocked_until(now) {
                changes.push(SuspectChange::Blocked(suspect, until));
            }
        }
        for suspect in self.explained_requests(now) {
            if let Some(record) = self.records.get_mut(&suspect) {
                record.end_block(now);
                changes.push(SuspectChange::Released(suspect));
            }
        }
        changes
    }

    /// Returns the suspect with the strongest evidence, if it suffices for a block.
    ///
    /// Sound suspects that stand beside a blocked one in the same requests share its crashes, so
    /// these count as explained. A suspect that has as many crashes and one more without the blocked
    /// one is the better explanation.
    fn main_suspect(&self, now: MilliTime) -> Option<CrashSuspect> {
        let explained = self.explained_crashes();
        let suspects = self.records.iter().filter_map(|(suspect, record)| {
            let total = record.separate_crashes(|_| true);
            if total < MIN_CRASHES || !record.has_new_crash() || record.blocked_until(now).is_some()
            {
                return None;
            }
            let min_crashes = if record.has_begun() || self.is_ambiguous(*suspect, record) {
                MIN_CRASHES_OF_AMBIGUOUS_SUSPECT
            } else {
                MIN_CRASHES
            };
            if total < min_crashes {
                return None;
            }
            let is_unexplained = |crash: &TargetCrash| {
                let mut explained = explained.iter();
                !explained.any(|(other, known)| other != suspect && known.is_same(crash))
            };
            let unexplained = record.separate_crashes(is_unexplained);
            let is_sufficient =
                unexplained >= min_crashes || (unexplained > 0 && total > min_crashes);
            is_sufficient.then_some((!record.has_begun(), unexplained, total, *suspect))
        });
        suspects.max().map(|(.., suspect)| suspect)
    }

    /// Returns whether a suspect is a part and some of its crashes are those of one request that came
    /// again, which may be the cause of the others too.
    fn is_ambiguous(&self, suspect: CrashSuspect, record: &SuspectRecord) -> bool {
        let is_shared = |crash: &&TargetCrash| {
            let mut crashes = record.crashes().iter();
            crashes.any(|known| known.is_same(crash))
        };
        let is_repeated = |(other, request): (&CrashSuspect, &SuspectRecord)| {
            other.kind == SuspectKind::Request
                && request.crashes().iter().filter(is_shared).count() > 1
        };
        suspect.kind == SuspectKind::PromptPart && self.records.iter().any(is_repeated)
    }

    /// Returns the crashes of requests with suspects that were blocked.
    fn explained_crashes(&self) -> Vec<(CrashSuspect, TargetCrash)> {
        let blocked = self.records.iter().filter(|(_, record)| record.has_block());
        let crashes = blocked.flat_map(|(suspect, record)| {
            let crashes = record.crashes().iter();
            crashes.map(|crash| (*suspect, *crash))
        });
        crashes.collect()
    }

    /// Returns the blocked requests all of whose crashes, and more, are those of another blocked
    /// suspect, of which this router did not know when it blocked them.
    fn explained_requests(&self, now: MilliTime) -> Vec<CrashSuspect> {
        let is_blocked =
            |(_, record): &(&CrashSuspect, &SuspectRecord)| record.blocked_until(now).is_some();
        let blocked: Vec<_> = self.records.iter().filter(is_blocked).collect();
        let explains = |record: &SuspectRecord, other: &SuspectRecord| {
            let is_shared =
                |crash: &TargetCrash| other.crashes().iter().any(|known| known.is_same(crash));
            other.crashes().len() > record.crashes().len()
                && !record.crashes().is_empty()
                && record.crashes().iter().all(is_shared)
        };
        let requests = blocked
            .iter()
            .filter(|(suspect, _)| suspect.kind == SuspectKind::Request);
        let explained =
            requests.filter(|(_, record)| blocked.iter().any(|(_, other)| explains(record, other)));
        explained.map(|(suspect, _)| **suspect).collect()
    }

    fn purge(&mut self, now: MilliTime) {
        self.records.retain(|_, record| !record.is_expired(now));
        for kind in [SuspectKind::PromptPart, SuspectKind::Request] {
            self.purge_lightest(kind);
        }
    }

    fn purge_lightest(&mut self, kind: SuspectKind) {
        loop {
            let of_kind = || {
                self.records
                    .iter()
                    .filter(|(suspect, _)| suspect.kind == kind)
            };
            if of_kind().count() <= MAX_RECORDS {
                return;
            }
            let lightest = of_kind().min_by_key(|(suspect, record)| (record.weight(), **suspect));
            let Some(suspect) = lightest.map(|(suspect, _)| *suspect) else {
                return;
            };
            self.records.remove(&suspect);
        }
    }
}
