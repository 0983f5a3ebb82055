//! Status and burn over several routers.

use briarctl::{CommandOutput, ExitStatus, run};
use briarrail_burn::{BurnRecorder, BurnSnapshot, OutcomeClass, RequestRecord, StreamCounts};
use briarrail_model::{HostPhase, MilliTime};
use briarrail_standin::{HostSettings, start_hosts};
use briarrail_status::{
    CacheTotals, ControlTraffic, OPERATORS_ADDRESS_LABEL, OutcomeTotals, PoolStatus, RouterPhase,
    RouterStatus, TargetStatus,
};
use serde_json::json;

use crate::fake_router::FakeRouter;
use crate::site::{TABLES, TestSite, offline, temporary_file, words};

const NOW: MilliTime = MilliTime::from_millis(1_800_000_000_000);

fn target(number: u32, phase: HostPhase, load: Option<u32>) -> TargetStatus {
    TargetStatus {
        host: format!("pan-model-{number}").as_str().into(),
        phase,
        load,
        in_flight: number,
    }
}

fn status(number: u32, config_sequence: u64) -> RouterStatus {
    // The second router has not heard that the third target leaves, nor of its latest load.
    let third = match number {
        2 => target(3, HostPhase::Live, Some(4)),
        _ => target(3, HostPhase::Leaving, Some(9)),
    };
    RouterStatus {
        host: format!("entry-{number}").as_str().into(),
        data_centre: "gongoni".into(),
        region: "coast".into(),
        incarnation: 1,
        phase: RouterPhase::Ready,
        started_at_ms: NOW,
        config_sequence,
        pools: vec![PoolStatus {
            pool: "pan-model".into(),
            targets: vec![
                target(1, HostPhase::Live, Some(10)),
                target(2, HostPhase::Live, Some(30)),
                third,
            ],
            cache: CacheTotals {
                returning: 100,
                reused: 90,
            },
        }],
        control: ControlTraffic {
            sent_bytes_per_s: 812.4,
            received_bytes_per_s: 790.0,
            budget_bytes_per_s: 5_000,
        },
        outcomes: OutcomeTotals {
            answered: 1_000,
            not_run: 7,
            unknown: 1,
        },
    }
}

fn burn(failures: u32) -> BurnSnapshot {
    let mut recorder = BurnRecorder::new(8);
    for index in 0..200 {
        let record = RequestRecord {
            pool: "pan-model",
            customer: "cutters",
            class: match index < failures {
                true => OutcomeClass::NotRun,
                false => OutcomeClass::Answered,
            },
            at_most_once: false,
            stream: StreamCounts::default(),
        };
        recorder.record(&record, NOW);
    }
    recorder.snapshot(NOW)
}

async fn run_on(routers: &[&FakeRouter], command: &str) -> CommandOutput {
    let mut line = command.to_owned();
    for router in routers {
        line.push_str(&format!(" --router {}", router.address));
    }
    run(&words(&line), &offline()).await
}

#[tokio::test]
async fn status_names_routers_behind_and_puts_pools_together() {
    let empty = BurnSnapshot::default();
    let first = FakeRouter::start(&status(1, 7), &empty).await;
    let second = FakeRouter::start(&status(2, 6), &empty).await;
    let output = run_on(&[&first, &second], "status").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout);
    let output = run_on(&[&first], "status --json").await;
    assert_eq!(output.exit, ExitStatus::Done);
    let report: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(report["latest_sequence"], 7);
    assert_eq!(report["pools"][0]["skew"], 1.5);
}

#[tokio::test]
async fn router_without_a_configuration_is_behind() {
    let mut starting = status(1, 0);
    starting.phase = RouterPhase::Starting;
    let router = FakeRouter::start(&starting, &BurnSnapshot::default()).await;
    let output = run_on(&[&router], "status").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    let first = "configuration 0: in force on 0 routers, 1 behind, 0 silent\n";
    assert!(output.stdout.starts_with(first), "{}", output.stdout);
}

#[tokio::test]
async fn burn_merges_all_routers() {
    let first = FakeRouter::start(&status(1, 7), &burn(0)).await;
    let second = FakeRouter::start(&status(2, 7), &burn(8)).await;
    let output = run_on(&[&first, &second], "burn").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout);
    let picture = temporary_file("burn.svg", "");
    let good = run_on(&[&first], &format!("burn --svg '{picture}' --json")).await;
    assert_eq!(good.exit, ExitStatus::Done);
    assert!(
        std::fs::read_to_string(picture)
            .unwrap()
            .starts_with("<svg")
    );
}

#[tokio::test]
async fn edit_waits_until_it_is_in_force() {
    let empty = BurnSnapshot::default();
    let current = FakeRouter::start(&status(1, 1), &empty).await;
    let behind = FakeRouter::start(&status(2, 0), &empty).await;
    let mut site = TestSite::start().await;
    let file = site.file("tables.jsonc", TABLES);
    let routers = format!("--router {} --router {}", current.address, behind.address);
    let line = format!("tables apply -f {file} --wait-s 0 {routers}");
    let output = site.run(&line).await;
    assert_eq!(output.exit, ExitStatus::Findings);
    let expected = format!("\nnot yet seen in force on: {}\n", behind.address);
    assert!(output.stdout.ends_with(&expected), "{}", output.stdout);
    let silent = behind.address;
    drop(behind);
    let file = site.file("empty.jsonc", "{}");
    let line = format!("tables apply --prune -f {file} --wait-s 0 --router {silent}");
    let output = site.run(&line).await;
    assert_eq!(output.exit, ExitStatus::Findings, "{}", output.stdout);
    let line = format!("tables apply --prune -f {file} --wait-s 0 --router {silent}");
    let output = site.run(&line).await;
    assert_eq!(output.stdout, "nothing to change\n");
}

#[tokio::test]
async fn routers_come_from_the_host_list() {
    let hosts = start_hosts("127.0.0.1:0", HostSettings::default())
        .await
        .unwrap();
    let router = FakeRouter::start(&status(1, 7), &BurnSnapshot::default()).await;
    let operators = router.address.to_string();
    for (name, labels) in [
        ("entry-1", json!({ OPERATORS_ADDRESS_LABEL: operators })),
        ("entry-2", json!({})),
    ] {
        let entry = json!({
            "name": name, "service": "briarraild", "data_centre": "gongoni", "region": "coast",
            "address": "127.0.0.1:1", "phase": "live", "labels": labels,
        });
        hosts.put(serde_json::from_value(entry).unwrap());
    }
    let line = format!("status --hosts {}", hosts.base_url());
    let output = run(&words(&line), &offline()).await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout.lines().take(2).collect::<Vec<_>>().join("\n"));
    let line = format!("burn --service other --hosts {}", hosts.base_url());
    let output = run(&words(&line), &offline()).await;
    assert_eq!(output.exit, ExitStatus::NotFound);
}
