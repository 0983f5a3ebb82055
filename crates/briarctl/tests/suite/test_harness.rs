//! Runs commands against an object API on the loopback interface.

use briarctl::{CommandOutput, RunContext, run};
use briarrail_config::EditId;
use briarrail_model::MilliTime;
use briarrail_standin::{ObjectApiSettings, ObjectApiStandin, StandinHandle, start_object_api};
use uuid::Uuid;

pub(crate) const TABLES: &str = r#"{
    "pools": [{ "name": "pan-model", "kind": "model", "targets": { "service": "pan-model" } }],
    "routes": [{ "name": "chats", "match": { "models": ["pan-model"] }, "pool": "pan-model" }],
}"#;

/// An in-process object API, and the number of the last edit identifier.
pub(crate) struct TestHarness {
    pub(crate) objects: StandinHandle<ObjectApiStandin>,
    edit_count: u128,
}

impl TestHarness {
    pub(crate) async fn start() -> Self {
        let settings = ObjectApiSettings::default();
        let objects = start_object_api("127.0.0.1:0", settings).await.unwrap();
        Self {
            objects,
            edit_count: 0,
        }
    }

    /// Runs a command line as the given operator, with a new edit identifier for each run.
    pub(crate) async fn run_as(&mut self, editor: &str, line: &str) -> CommandOutput {
        self.edit_count += 1;
        let context = RunContext {
            store_url: Some(self.objects.base_url()),
            editor: Some(editor.to_owned()),
            edit_id: EditId(Uuid::from_u128(self.edit_count)),
            ..offline_context()
        };
        run(&split_arguments(line), &context).await
    }

    pub(crate) async fn run(&mut self, line: &str) -> CommandOutput {
        self.run_as("ann", line).await
    }

    /// Writes a file whose name is unique to this harness, and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let port = self.objects.address().port();
        write_temp_file(&format!("{port}-{name}"), text)
    }
}

/// Returns a context without an object API, a host list or an operator.
pub(crate) fn offline_context() -> RunContext {
    RunContext {
        store_url: None,
        hosts_url: None,
        editor: None,
        now: MilliTime::from_millis(1_800_000_000_000),
        edit_id: EditId(Uuid::from_u128(1)),
    }
}

/// Writes a file to Cargo's directory for temporary test files, and returns its path.
pub(crate) fn write_temp_file(name: &str, text: &str) -> String {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/{name}");
    std::fs::write(&path, text).unwrap();
    path
}

/// Splits a command line at white space; arguments in single quotes stay whole.
pub(crate) fn split_arguments(line: &str) -> Vec<String> {
    let mut words = Vec::new();
    for (index, part) in line.split('\'').enumerate() {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}
