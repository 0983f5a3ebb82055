//! What routers logged about a request.

use briarctl::{ExitStatus, run};

use crate::site::{offline, temporary_file, words};

const FIRST: &str = r#"
not a log line
{"timestamp":"2026-12-04T06:00:01.900000Z","event":"target_listed","target_id":"i-2"}
{"timestamp":"2026-12-04T06:00:03.000000Z","event":"send_failed","request_id":"a1","target_id":"i-1","cause":"lost"}
{"timestamp":"2026-12-04T06:00:03.020000Z","event":"request","request_id":"a1","target_id":"i-2","elapsed_ms":40}
{"timestamp":"2026-12-04T06:00:03.030000Z","event":"request","request_id":"b2","target_id":"i-1","elapsed_ms":4}
"#;
const SECOND: &str = r#"
edge-2 {"timestamp":"2026-12-04T06:00:02.999000Z","event":"target_ejected","target_id":"i-1"}
{"timestamp":"2026-12-04T06:00:09.000000Z","event":"target_gone","target_id":"i-1"}
"#;

#[tokio::test]
async fn lines_of_all_routers_come_in_the_order_of_time() {
    let first = temporary_file("trace-1.log", FIRST);
    let second = temporary_file("trace-2.log", SECOND);
    let output = run(
        &words(&format!("trace --id a1 '{first}' '{second}'")),
        &offline(),
    )
    .await;
    assert_eq!(output.exit, ExitStatus::Done, "{}", output.stderr);
    let text = output
        .stdout
        .replace(&first, "first")
        .replace(&second, "second");
    insta::assert_snapshot!(text);
}

#[tokio::test]
async fn a_request_that_nobody_logged_is_told() {
    let file = temporary_file("trace-3.log", FIRST);
    let output = run(&words(&format!("trace --id zz '{file}'")), &offline()).await;
    assert_eq!(output.exit, ExitStatus::NotFound);
    insta::assert_snapshot!(output.stderr);
}
