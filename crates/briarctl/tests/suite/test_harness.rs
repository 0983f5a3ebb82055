//! A site on loopback, and the tool as its operators run it.

use briarctl::{CommandOutput, RunContext, run};
use briarrail_config::EditId;
use briarrail_model::MilliTime;
use briarrail_standin::{ObjectSettings, ObjectStandin, StandinHandle, start_objects};
use uuid::Uuid;

pub(crate) const TABLES: &str = r#"{
    "pools": [{ "name": "pan-model", "kind": "model", "targets": { "service": "pan-model" } }],
    "routes": [{ "name": "chats", "match": { "models": ["pan-model"] }, "pool": "pan-model" }],
}"#;

/// The object API of a site, and the edits that were numbered so far.
pub(crate) struct TestHarness {
    pub(crate) objects: StandinHandle<ObjectStandin>,
    edit_count: u128,
}

impl TestHarness {
    pub(crate) async fn start() -> Self {
        let settings = ObjectSettings::default();
        let objects = start_objects("127.0.0.1:0", settings).await.unwrap();
        Self {
            objects,
            edit_count: 0,
        }
    }

    /// Runs the tool as an operator; words with blanks stand in single quotes.
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

    /// Writes a file, and returns its path.
    pub(crate) fn write_file(&self, name: &str, text: &str) -> String {
        let port = self.objects.address().port();
        write_temp_file(&format!("{port}-{name}"), text)
    }
}

/// Returns what a run without a site is given.
pub(crate) fn offline_context() -> RunContext {
    RunContext {
        store_url: None,
        hosts_url: None,
        editor: None,
        now: MilliTime::from_millis(1_800_000_000_000),
        edit_id: EditId(Uuid::from_u128(1)),
    }
}

/// Writes a file below the build's directory for such files, and returns its path.
pub(crate) fn write_temp_file(name: &str, text: &str) -> String {
    let directory = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{directory}/{name}");
    std::fs::write(&path, text).unwrap();
    path
}

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
