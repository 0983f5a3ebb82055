//! What the targets of a registry said about themselves, and for which of their runs it holds.

use std::collections::{BTreeMap, BTreeSet};

use briarrail_model::MilliTime;

use crate::notice_memory::RememberedTarget;
use crate::target_limiter::TargetLimiter;
use crate::{
    AskedRun, NoticeEvent, NoticeSource, NoticeStep, PauseReport, TargetKey, TargetNotice,
    TargetPlace, TargetRecord, TargetRegistry, TargetRun, TargetState,
};

impl TargetRegistry {
    /// Records what a target said about itself in the answer to a request.
    ///
    /// If a later run is listed by now, or will be with a start before the request left, the answer may be
    /// of that run.
    pub fn record_notice(
        &mut self,
        key: TargetKey,
        asked: AskedRun,
        notice: TargetNotice,
        now: MilliTime,
    ) {
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        let AskedRun { run, asked_at } = asked;
        let started = run.started_unix_ms;
        let id = state.record.id.clone();
        let step = if state.standing.run().place == run.place {
            let is_latest = state.standing.run() == run;
            if !state.standing.record_notice(started, notice, asked_at, now) {
                return;
            }
            if is_latest {
                NoticeStep::Taken(NoticeSource::Answer)
            } else if state.standing.heard().has_any(now) {
                NoticeStep::Carried
            } else {
                NoticeStep::OtherRun
            }
        } else {
            let mut known = self.notice_memory.take(run.place).unwrap_or_default();
            known.id.clone_from(&id);
            known.runs.record(started, notice, asked_at, now);
            self.remember(run.place, known, now);
            NoticeStep::OtherRun
        };
        self.notice_events.push(NoticeEvent {
            target_id: id,
            started_unix_ms: started,
            is_leaving: notice == TargetNotice::Leaving,
            step,
        });
    }

    /// Returns what became of the notices of targets since this was last called.
    pub fn take_notice_events(&mut self) -> Vec<NoticeEvent> {
        std::mem::take(&mut self.notice_events)
    }

    /// Returns the short hashes of the runs of targets that said that they leave.
    #[must_use]
    pub fn leaving_runs(&self) -> BTreeSet<u32> {
        let states = self.targets.values();
        states
            .filter(|state| state.standing.is_surely_leaving())
            .map(|state| state.standing.run().short_hash())
            .collect()
    }

    /// Records that other routers heard from the runs with some short hashes that they leave.
    pub fn record_leaving(&mut self, runs: &BTreeSet<u32>, now: MilliTime) {
        if runs.is_empty() {
            return;
        }
        let is_leaving = |run: TargetRun| runs.contains(&run.short_hash());
        for state in self.targets.values_mut() {
            if state.standing.record_peer_leaving(is_leaving, now) {
                self.notice_events.push(NoticeEvent {
                    target_id: state.record.id.clone(),
                    started_unix_ms: state.standing.run().started_unix_ms,
                    is_leaving: true,
                    step: NoticeStep::Taken(NoticeSource::Exchange),
                });
            }
        }
    }

    /// Returns the pauses for which targets asked this router, by the short hash of the run.
    #[must_use]
    pub fn pause_reports(&self, now: MilliTime) -> BTreeMap<u32, PauseReport> {
        let states = self.targets.values();
        let reports = states.filter_map(|state| {
            let left = state.standing.pause_left(now)?;
            Some((
                state.standing.run().short_hash(),
                PauseReport { routers: 1, left },
            ))
        });
        reports.collect()
    }

    /// Records the pauses for which targets asked other routers, of the fleet's number of routers.
    pub fn record_pauses(
        &mut self,
        reports: &BTreeMap<u32, PauseReport>,
        routers: usize,
        now: MilliTime,
    ) {
        if reports.is_empty() {
            return;
        }
        let report_of = |run: TargetRun| reports.get(&run.short_hash()).copied();
        for state in self.targets.values_mut() {
            state.standing.record_peer_pause(report_of, routers, now);
        }
    }

    /// Moves a known target to the place that its entry names.
    pub(crate) fn move_target(&mut self, key: TargetKey, record: &TargetRecord, now: MilliTime) {
        let place = TargetPlace::from(record);
        let run = self.targets[key].standing.run();
        if run.place == place {
            return;
        }
        let known = self.take_back(place, now);
        let state = &mut self.targets[key];
        let limiter = TargetLimiter::restored(known.limit, now);
        let earlier = RememberedTarget {
            id: record.id.clone(),
            runs: state.standing.move_to(place, known.runs),
            limit: std::mem::replace(&mut state.limiter, limiter).last_limit(now),
            cold_until: state.cold_limiter.named_until(),
        };
        self.record_step(&earlier, run.started_unix_ms, NoticeStep::LeftBehind, now);
        self.remember(run.place, earlier, now);
    }

    /// Records which run of a target is listed at its place.
    pub(crate) fn list_run(
        &mut self,
        key: TargetKey,
        started_unix_ms: u64,
        started_at: Option<MilliTime>,
        now: MilliTime,
    ) {
        let state = &mut self.targets[key];
        let earlier_start = state.standing.run().started_unix_ms;
        let earlier = state.standing.runs().of_latest();
        if !state.standing.list_run(started_unix_ms, started_at, now) {
            return;
        }
        let is_said_since = |at: MilliTime| started_at.is_some_and(|started_at| at >= started_at);
        if !state.limiter.heard_at().is_some_and(is_said_since) {
            state.limiter = TargetLimiter::new(now);
        }
        if earlier.has_any(now) {
            let is_carried = state.standing.heard().has_any(now);
            self.notice_events.push(NoticeEvent {
                target_id: state.record.id.clone(),
                started_unix_ms: earlier_start,
                is_leaving: earlier.leaving().is_some(),
                step: if is_carried {
                    NoticeStep::Carried
                } else {
                    NoticeStep::LeftBehind
                },
            });
        }
    }

    /// Takes back what is remembered of a place.
    pub(crate) fn take_back(&mut self, place: TargetPlace, now: MilliTime) -> RememberedTarget {
        let known = self.notice_memory.take(place).unwrap_or_default();
        let started = known.runs.latest_start();
        self.record_step(&known, started, NoticeStep::TakenBack, now);
        known
    }

    /// Remembers what a target said that is dropped.
    pub(crate) fn remember_target(&mut self, state: &TargetState, now: MilliTime) {
        let run = state.standing.run();
        let target = RememberedTarget {
            id: state.record.id.clone(),
            runs: state.standing.runs().clone(),
            limit: state.limiter.last_limit(now),
            cold_until: state.cold_limiter.named_until(),
        };
        self.record_step(&target, run.started_unix_ms, NoticeStep::Kept, now);
        self.remember(run.place, target, now);
    }

    /// Remembers what was said at a place that is listed no more.
    fn remember(&mut self, place: TargetPlace, target: RememberedTarget, now: MilliTime) {
        if let Some(forgotten) = self.notice_memory.keep(place, target, now) {
            let started = forgotten.runs.latest_start();
            self.record_step(&forgotten, started, NoticeStep::Forgotten, now);
        }
    }

    /// Records what became of the notices of a target, if any of them still holds.
    fn record_step(
        &mut self,
        target: &RememberedTarget,
        started_unix_ms: u64,
        step: NoticeStep,
        now: MilliTime,
    ) {
        let heard = target.runs.of_any();
        if heard.has_any(now) {
            self.notice_events.push(NoticeEvent {
                target_id: target.id.clone(),
                started_unix_ms,
                is_leaving: heard.leaving().is_some(),
                step,
            });
        }
    }
}
