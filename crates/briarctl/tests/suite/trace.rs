//! Traces of a request in the logs of routers.

use briarctl::{ExitStatus, run};

use crate::test_harness::{offline_context, split_arguments, write_temp_file};

const FIRST_LOG: &str = r#"
not a log line
{"timestamp":"2026-12-04T06:00:01.900000Z","event":"target_listed","target_id":"i-2"}
{"timestamp":"2026-12-04T06:00:03.000000Z","event":"send_failed","request_id":"a1","target_id":"i-1","cause":"lost"}
{"timestamp":"2026-12-04T06:00:03.020000Z","event":"request","request_id":"a1","target_id":"i-2","elapsed_ms":40}
{"timestamp":"2026-12-04T06:00:03.030000Z","event":"request","request_id":"b2","target_id":"i-1","elapsed_ms":4}
"#;
const SECOND_LOG: &str = r#"
edge-2 {"timestamp":"2026-12-04T06:00:02.999000Z","event":"target_ejected","target_id":"i-1"}
{"timestamp":"2026-12-04T06:00:09.000000Z","event":"target_gone","target_id":"i-1"}
"#;

#[tokio::test]
async fn lines_of_all_routers_are_sorted_by_time() {
    let first = write_temp_file("trace-1.log", FIRST_LOG);
    let second = write_temp_file("trace-2.log", SECOND_LOG);
    let output = run(
        &split_arguments(&format!("trace --id a1 '{first}' '{second}'")),
        &offline_context(),
    )
    .await;
    assert_eq!(output.exit, ExitStatus::Success, "{}", output.stderr);
    let text = output
        .stdout
        .replace(&first, "first")
        .replace(&second, "second");
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn an_unlogged_request_is_not_found() {
    let file = write_temp_file("trace-3.log", FIRST_LOG);
    let output = run(
        &split_arguments(&format!("trace --id zz '{file}'")),
        &offline_context(),
    )
    .await;
    assert_eq!(output.exit, ExitStatus::NotFound);
    insta::assert_snapshot!(output.stderr);
}
