//! Status and burn reports of several routers.

use briarctl::{CommandOutput, ExitStatus, run};
use briarrail_burn::{BurnRecorder, BurnSnapshot, OutcomeClass, RequestRecord, StreamCounts};
use briarrail_model::{HostPhase, MilliTime};
use briarrail_standin::{HostListSettings, start_host_list};
use briarrail_status::{
    CacheTotals, ControlTraffic, OPERATORS_ADDRESS_LABEL, OutcomeTotals, PoolStatus, RouterPhase,
    RouterStatus, TargetStatus,
};
use serde_json::json;

use crate::fake_router::FakeRouter;
use crate::test_harness::{TABLES, TestHarness, offline_context, split_arguments, write_temp_file};

const NOW: MilliTime = MilliTime::from_millis(1_800_000_000_000);

fn target_status(number: u32, phase: HostPhase, load: Option<u32>) -> TargetStatus {
    TargetStatus {
        host: format!("pan-model-{number}").as_str().into(),
        phase,
        load,
        in_flight: number,
    }
}

fn router_status(number: u32, config_sequence: u64) -> RouterStatus {
    // The second router has neither the leaving phase nor the latest load of the third target.
    let third = match number {
        2 => target_status(3, HostPhase::Live, Some(4)),
        _ => target_status(3, HostPhase::Leaving, Some(9)),
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
                target_status(1, HostPhase::Live, Some(10)),
                target_status(2, HostPhase::Live, Some(30)),
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

fn burn_snapshot(failures: u32) -> BurnSnapshot {
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

async fn run_with_routers(routers: &[&FakeRouter], command: &str) -> CommandOutput {
    let mut line = command.to_owned();
    for router in routers {
        line.push_str(&format!(" --router {}", router.address));
    }
    run(&split_arguments(&line), &offline_context()).await
}

#[tokio::test]
async fn status_lists_routers_behind_and_merges_pools() {
    let empty = BurnSnapshot::default();
    let first = FakeRouter::start(&router_status(1, 7), &empty).await;
    let second = FakeRouter::start(&router_status(2, 6), &empty).await;
    let output = run_with_routers(&[&first, &second], "status").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout);
    let output = run_with_routers(&[&first], "status --json").await;
    assert_eq!(output.exit, ExitStatus::Success);
    let report: serde_json::Value = serde_json::from_str(&output.stdout).unwrap();
    assert_eq!(report["latest_sequence"], 7);
    assert_eq!(report["pools"][0]["skew"], 1.5);
}

#[tokio::test]
async fn router_without_a_configuration_is_behind() {
    let mut starting = router_status(1, 0);
    starting.phase = RouterPhase::Starting;
    let router = FakeRouter::start(&starting, &BurnSnapshot::default()).await;
    let output = run_with_routers(&[&router], "status").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    let first = "configuration 0: in force on 0 routers, 1 behind, 0 silent\n";
    assert!(output.stdout.starts_with(first), "{}", output.stdout);
}

#[tokio::test]
async fn burn_merges_all_routers() {
    let first = FakeRouter::start(&router_status(1, 7), &burn_snapshot(0)).await;
    let second = FakeRouter::start(&router_status(2, 7), &burn_snapshot(8)).await;
    let output = run_with_routers(&[&first, &second], "burn").await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout);
    let svg_path = write_temp_file("burn.svg", "");
    let good = run_with_routers(&[&first], &format!("burn --svg '{svg_path}' --json")).await;
    assert_eq!(good.exit, ExitStatus::Success);
    assert!(
        std::fs::read_to_string(svg_path)
            .unwrap()
            .starts_with("<svg")
    );
}

#[tokio::test]
async fn edit_waits_until_it_is_active_on_all_routers() {
    let empty = BurnSnapshot::default();
    let current = FakeRouter::start(&router_status(1, 1), &empty).await;
    let behind = FakeRouter::start(&router_status(2, 0), &empty).await;
    let mut harness = TestHarness::start().await;
    let file = harness.write_file("tables.jsonc", TABLES);
    let routers = format!("--router {} --router {}", current.address, behind.address);
    let line = format!("tables apply -f {file} --wait-s 0 {routers}");
    let output = harness.run(&line).await;
    assert_eq!(output.exit, ExitStatus::Findings);
    let expected = format!("\nnot yet seen in force on: {}\n", behind.address);
    assert!(output.stdout.ends_with(&expected), "{}", output.stdout);
    let unreachable = behind.address;
    drop(behind);
    let file = harness.write_file("empty.jsonc", "{}");
    let line = format!("tables apply --prune -f {file} --wait-s 0 --router {unreachable}");
    let output = harness.run(&line).await;
    assert_eq!(output.exit, ExitStatus::Findings, "{}", output.stdout);
    let line = format!("tables apply --prune -f {file} --wait-s 0 --router {unreachable}");
    let output = harness.run(&line).await;
    assert_eq!(output.stdout, "nothing to change\n");
}

#[tokio::test]
async fn routers_are_discovered_from_the_host_list() {
    let hosts = start_host_list("127.0.0.1:0", HostListSettings::default())
        .await
        .unwrap();
    let router = FakeRouter::start(&router_status(1, 7), &BurnSnapshot::default()).await;
    let operators_address = router.address.to_string();
    for (name, labels) in [
        (
            "entry-1",
            json!({ OPERATORS_ADDRESS_LABEL: operators_address }),
        ),
        ("entry-2", json!({})),
    ] {
        let entry = json!({
            "name": name, "service": "briarraild", "data_centre": "gongoni", "region": "coast",
            "address": "127.0.0.1:1", "phase": "live", "labels": labels,
        });
        hosts.put(serde_json::from_value(entry).unwrap());
    }
    let line = format!("status --hosts {}", hosts.base_url());
    let output = run(&split_arguments(&line), &offline_context()).await;
    assert_eq!(output.exit, ExitStatus::Findings);
    insta::assert_snapshot!(output.stdout.lines().take(2).collect::<Vec<_>>().join("\n"));
    let line = format!("burn --service other --hosts {}", hosts.base_url());
    let output = run(&split_arguments(&line), &offline_context()).await;
    assert_eq!(output.exit, ExitStatus::NotFound);
}
