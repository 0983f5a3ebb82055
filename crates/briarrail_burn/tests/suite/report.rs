//! Tests of the report as text, JSON and SVG.

use briarrail_burn::{AlertLevel, BurnRecorder, BurnReport, BurnSnapshot};
use briarrail_model::{MilliTime, ServiceObjective};

use crate::traffic::generate_requests;

fn snapshot() -> BurnSnapshot {
    let requests = generate_requests(1, 7, 3);
    let mut recorder = BurnRecorder::new(64);
    for request in &requests {
        recorder.record(&request.record(), request.at);
    }
    recorder.snapshot(requests.last().unwrap().at)
}

#[test]
fn report_as_text() {
    insta::assert_snapshot!(BurnReport::new(&snapshot()).to_text());
}

#[test]
fn report_as_json() {
    let mut report = BurnReport::new(&snapshot());
    report.lines.truncate(2);
    insta::assert_json_snapshot!(report);
}

#[test]
fn report_as_svg() {
    let svg = snapshot().to_svg().unwrap();
    let is_shown = |line: &&str| !line.starts_with('<') || line.contains("stroke-width=\"2\"");
    let lines: Vec<_> = svg.lines().filter(is_shown).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn empty_report_has_level_fine() {
    let snapshot = BurnSnapshot::default();
    let report = BurnReport::new(&snapshot);
    assert_eq!((report.level, report.lines.len()), (AlertLevel::Fine, 0));
    assert!(snapshot.to_svg().unwrap().starts_with("<svg"));
}

#[test]
fn alert_needs_both_windows() {
    let level = |recent: u64, earlier: u64| {
        let mut recorder = BurnRecorder::new(1);
        let now = MilliTime::from_millis(1_800_000_000_000);
        recorder.set_objective("pan-model", &ServiceObjective::default(), now);
        let mut request = generate_requests(1, 1, 1).remove(0);
        request.pool = "pan-model";
        let mut record_requests = |minutes_ago: u64, bad: u64| {
            for index in 0..100 {
                request.class = match index < bad {
                    true => briarrail_burn::OutcomeClass::NotRun,
                    false => briarrail_burn::OutcomeClass::Answered,
                };
                let at = now.as_millis() - minutes_ago * 60_000;
                recorder.record(&request.record(), MilliTime::from_millis(at));
            }
        };
        record_requests(40, earlier);
        record_requests(1, recent);
        let report = BurnReport::new(&recorder.snapshot(now));
        let line = report
            .lines
            .into_iter()
            .find(|line| line.objective.to_string() == "answered");
        line.unwrap().level
    };
    assert_eq!(level(0, 0), AlertLevel::Fine);
    assert_eq!(level(2, 2), AlertLevel::Page);
    assert_eq!(level(0, 100), AlertLevel::Watch);
    assert_eq!(level(1, 1), AlertLevel::Ticket);
}
