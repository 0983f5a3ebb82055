//! What targets said holds for the run that said it, whatever their entries name.

use std::collections::{BTreeSet, HashMap};
use std::fmt::Write as _;

use briarrail_dispatch::{
    AskedRun, ColdChange, ColdTerms, SendDenial, SendNeed, TargetKey, TargetNotice, TargetPause,
    TargetRecord, TargetRegistry, TargetRun,
};
use briarrail_model::{MilliDuration, MilliTime};

use crate::fixtures::{at, target};

/// Unix time at the start of the clock of the tests.
const CLOCK_START_UNIX_MS: u64 = 1_800_000_000_000;
/// More than the engines of the largest sites.
const LARGE_SITE: usize = 10_000;

/// A registry with the target `t0`.
struct Bench {
    registry: TargetRegistry,
    key: TargetKey,
    now: u64,
}

impl Bench {
    /// Lists a run that started at the start of the clock.
    fn start() -> Self {
        let mut registry = TargetRegistry::default();
        let record = started(target("t0"), 0);
        let key = registry.upsert_started(record, Some(at(0)), at(0));
        Self {
            registry,
            key,
            now: 0,
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now += millis;
    }

    fn list(&mut self, record: TargetRecord) {
        let now = at(self.now);
        let started_at = record.started_at(CLOCK_START_UNIX_MS + self.now, now);
        self.key = self.registry.upsert_started(record, started_at, now);
    }

    /// Removes the entry, and forgets the target.
    fn drop_target(&mut self) {
        self.registry.mark_removed("t0", at(self.now));
        self.wait(60_000);
        self.registry.purge_removed(at(self.now));
        assert_eq!(self.registry.key_by_id("t0"), None);
    }

    fn run(&self) -> TargetRun {
        self.registry.get(self.key).unwrap().standing().run()
    }

    fn ask(&self) -> AskedRun {
        let (run, asked_at) = (self.run(), at(self.now));
        AskedRun { run, asked_at }
    }

    fn say(&mut self, notice: TargetNotice) {
        self.answer(self.ask(), notice);
    }

    fn answer(&mut self, asked: AskedRun, notice: TargetNotice) {
        self.registry
            .record_notice(self.key, asked, notice, at(self.now));
    }

    fn denial(&self) -> &'static str {
        let denial = self.registry.denial(self.key, &SendNeed::ANY, at(self.now));
        denial.map_or("ready", SendDenial::name)
    }

    fn limit(&self) -> Option<f32> {
        let state = self.registry.get(self.key).unwrap();
        state.rate_limit(at(self.now))
    }

    /// Returns for how long the target stays cold, in seconds.
    fn cold_left(&mut self) -> Option<u64> {
        let changes = self.registry.take_cold_changes(at(self.now));
        changes.into_iter().find_map(|(_, change)| match change {
            ColdChange::Cold { left, .. } => Some(left.as_millis() / 1_000),
            ColdChange::Warm => None,
        })
    }

    /// Returns the steps of notices since the last call.
    fn steps(&mut self) -> String {
        let events = self.registry.take_notice_events();
        let steps: Vec<_> = events.iter().map(|event| event.step.name()).collect();
        steps.join(", ")
    }
}

fn started(mut record: TargetRecord, millis: u64) -> TargetRecord {
    record.started_unix_ms = CLOCK_START_UNIX_MS + millis;
    record
}

fn pause(seconds: f64, now: MilliTime) -> TargetNotice {
    TargetNotice::Paused(TargetPause::from_secs(seconds, now).unwrap())
}

/// Terms of services whose targets are cold for a second after their start.
fn cold_terms() -> HashMap<String, ColdTerms> {
    let terms = ColdTerms::new(MilliDuration::from_secs(1), 10.0, 1.5, 5.0).unwrap();
    ["model", "other"].map(|name| (name.into(), terms)).into()
}

/// Entries of the target that name something else than its first one.
fn rewritten_entries() -> [(&'static str, TargetRecord); 7] {
    let entry = started(target("t0"), 0);
    [
        ("the same", entry.clone()),
        (
            "another service",
            TargetRecord {
                service: "other".into(),
                ..entry.clone()
            },
        ),
        (
            "another version",
            TargetRecord {
                version: "2".into(),
                ..entry.clone()
            },
        ),
        (
            "another data centre",
            TargetRecord {
                data_centre: "b".into(),
                ..entry.clone()
            },
        ),
        (
            "no start",
            TargetRecord {
                started_unix_ms: 0,
                ..entry.clone()
            },
        ),
        (
            "an earlier start",
            TargetRecord {
                started_unix_ms: CLOCK_START_UNIX_MS - 60_000,
                ..entry.clone()
            },
        ),
        ("a later start", started(entry, 8_000)),
    ]
}

/// Guards against requests at a target that leaves or wants none, and against a rate limit or a cold
/// time that is forgotten, while its entry is rewritten or after it was dropped.
#[test]
fn what_a_run_said_holds_whatever_its_entry_names() {
    let mut text = String::new();
    for (name, record) in rewritten_entries() {
        for is_dropped in [false, true] {
            let notices = [
                ("leaving", TargetNotice::Leaving),
                ("paused", pause(600.0, at(5_000))),
            ];
            let denials = notices.map(|(_, notice)| {
                let mut bench = Bench::start();
                bench.wait(5_000);
                bench.say(notice);
                bench.wait(4_000);
                if is_dropped {
                    bench.drop_target();
                }
                bench.list(record.clone());
                bench.denial()
            });
            let mut bench = Bench::start();
            bench.wait(5_000);
            let now = at(bench.now);
            bench.registry.record_rate_limit(bench.key, Some(10.0), now);
            let minute = MilliDuration::from_secs(60);
            bench.registry.record_cold(bench.key, minute, now);
            if is_dropped {
                bench.registry.mark_removed("t0", now);
                bench.wait(3_000);
                bench.registry.purge_removed(at(bench.now));
            }
            bench.wait(1_000);
            bench.list(record.clone());
            let limit = bench.limit();
            bench.registry.set_cold_terms(cold_terms());
            let cold_left = bench.cold_left();
            let when = if is_dropped { "after a gap" } else { "at once" };
            writeln!(
                text,
                "{name}, {when}: {denials:?}, limit {limit:?}, cold for {cold_left:?} s"
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// Guards against requests at a run that said that it leaves before its entry was read, and against
/// the loss of one that started again after it had left.
#[test]
fn what_a_run_said_before_it_was_listed_holds_for_it() {
    let mut text = String::new();
    for (name, start) in [("before", 3_000), ("just after", 5_500), ("after", 7_000)] {
        for notice in [TargetNotice::Leaving, pause(20.0, at(5_000))] {
            let mut bench = Bench::start();
            bench.wait(5_000);
            bench.say(notice);
            let told: Vec<usize> = [bench.registry.leaving_runs().len()].into();
            bench.wait(3_000);
            bench.list(started(target("t0"), start));
            let (denial, steps) = (bench.denial(), bench.steps());
            let told = [told[0], bench.registry.leaving_runs().len()];
            bench.wait(90_000);
            let later = bench.denial();
            let notice = match notice {
                TargetNotice::Leaving => "leaving",
                TargetNotice::Paused(_) => "paused",
            };
            writeln!(
                text,
                "{notice}, started {name} that: {denial} ({steps}), told {told:?}, later {later}"
            )
            .unwrap();
        }
    }
    insta::assert_snapshot!(text);
}

/// An answer that comes once another run is listed is of that run only if its request left since the
/// start.
#[test]
fn a_late_answer_holds_for_the_run_that_was_asked() {
    for (asked_at, during, step) in [
        (2_000, "ready", "passed_over"),
        (4_500, "leaving", "carried"),
    ] {
        let mut bench = Bench::start();
        bench.wait(asked_at);
        let asked = bench.ask();
        bench.wait(5_000 - asked_at);
        bench.list(started(target("t0"), 4_000));
        assert_eq!(bench.denial(), "ready");
        bench.answer(asked, TargetNotice::Leaving);
        assert_eq!(bench.denial(), during, "asked at {asked_at} ms");
        assert_eq!(bench.steps(), step, "asked at {asked_at} ms");
        assert_eq!(bench.registry.leaving_runs(), BTreeSet::new());
        bench.wait(30_001);
        assert_eq!(bench.denial(), "ready", "asked at {asked_at} ms");
        bench.list(started(target("t0"), 0));
        assert_eq!(bench.denial(), "leaving", "asked at {asked_at} ms");
    }
}

/// Guards against a word that is taken for that of the run before, because an answer of that came first.
#[test]
fn of_two_answers_with_the_same_word_the_later_request_counts() {
    let mut bench = Bench::start();
    bench.wait(1_000);
    let early = bench.ask();
    bench.wait(3_500);
    let late = bench.ask();
    bench.wait(500);
    bench.answer(early, TargetNotice::Leaving);
    bench.answer(late, TargetNotice::Leaving);
    bench.list(started(target("t0"), 4_000));
    assert_eq!(bench.denial(), "leaving");
}

/// What other routers heard of a run ends with it; each judges a later run by its own answers.
#[test]
fn what_other_routers_heard_ends_with_its_run() {
    let mut bench = Bench::start();
    let told = BTreeSet::from([bench.run().short_hash()]);
    bench.wait(5_000);
    bench.registry.record_leaving(&told, at(bench.now));
    assert_eq!(bench.denial(), "leaving");
    bench.list(started(target("t0"), 4_900));
    assert_eq!(bench.denial(), "ready");
    bench.registry.record_leaving(&told, at(bench.now));
    assert_eq!(bench.denial(), "ready");
}

/// Guards against a bound on what is remembered that a large site exceeds within the age of a copy of
/// the store.
#[test]
fn all_targets_of_a_large_site_leave_and_none_gets_requests_on_a_restored_store() {
    let mut registry = TargetRegistry::default();
    let records: Vec<_> = (0..LARGE_SITE)
        .map(|index| started(target(&format!("t{index}")), 0))
        .collect();
    for record in &records {
        let key = registry.upsert_started(record.clone(), Some(at(0)), at(0));
        let asked = AskedRun {
            run: registry.get(key).unwrap().standing().run(),
            asked_at: at(900),
        };
        registry.record_notice(key, asked, TargetNotice::Leaving, at(1_000));
        registry.mark_removed(&record.id, at(2_000));
    }
    registry.purge_removed(at(2_000) + MilliDuration::from_secs(5));
    assert_eq!(registry.iter().count(), 0);
    let usable = records.into_iter().filter(|record| {
        let key = registry.upsert_started(record.clone(), Some(at(0)), at(8_000));
        registry.denial(key, &SendNeed::ANY, at(8_000)).is_none()
    });
    assert_eq!(usable.count(), 0);
}
