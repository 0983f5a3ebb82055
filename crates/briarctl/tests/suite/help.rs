//! Help texts and usage errors.

use briarctl::{ExitStatus, run};

use crate::test_harness::{offline_context, split_arguments};

const COMMANDS: [&str; 13] = [
    "routes list",
    "pools get",
    "tables apply",
    "tables diff",
    "routes edit",
    "pools delete",
    "edits find",
    "check tables",
    "check settings",
    "check gateway",
    "trace",
    "status",
    "burn",
];

#[tokio::test]
async fn every_command_has_help() {
    let mut texts = Vec::new();
    for command in COMMANDS {
        let output = run(
            &split_arguments(&format!("{command} --help")),
            &offline_context(),
        )
        .await;
        assert_eq!(output.exit, ExitStatus::Success, "{command}");
        texts.push(output.stdout);
    }
    insta::assert_snapshot!(texts.join("\n----\n"));
}

#[tokio::test]
async fn usage_errors_include_a_hint() {
    let lines = [
        "pools",
        "tables get x",
        "pools list",
        "pools get",
        "pools list --colour",
        "pools edit p",
        "status",
        "status --router here",
        "status --router 127.0.0.1:1 --timeout-ms soon",
        "edits find 12 --store http://127.0.0.1:1",
        "check tables",
        "trace x.log",
    ];
    let mut texts = Vec::new();
    for line in lines {
        let output = run(&split_arguments(line), &offline_context()).await;
        assert_eq!(output.exit, ExitStatus::Usage, "{line}");
        texts.push(format!("$ briarctl {line}\n{}", output.stderr));
    }
    insta::assert_snapshot!(texts.join("\n"));
}
