//! The program under test.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Variable that names another program to test.
const BINARY_VARIABLE: &str = "BRIARRAILD_BIN";
/// Directories between the program and the test: `deps`, and the test itself.
const LEVELS_UP: usize = 2;

/// Returns the path of `briarraild`, built by cargo in the profile of the test.
///
/// Cargo builds programs of other packages neither for a test of this package alone nor anew when
/// only they changed, so that it is asked to.
pub(crate) fn router_binary() -> PathBuf {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(find_binary).clone()
}

fn find_binary() -> PathBuf {
    if let Ok(path) = std::env::var(BINARY_VARIABLE) {
        return path.into();
    }
    let test = std::env::current_exe().expect("the test has a path");
    let directory = test
        .ancestors()
        .nth(LEVELS_UP)
        .expect("target/PROFILE/deps");
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut build = Command::new(cargo);
    build.args([
        "build",
        "--quiet",
        "--package",
        "briarraild",
        "--bin",
        "briarraild",
    ]);
    if directory.ends_with("release") {
        build.arg("--release");
    }
    let status = build.current_dir(env!("CARGO_MANIFEST_DIR")).status();
    assert!(
        status.is_ok_and(|status| status.success()),
        "briarraild does not build"
    );
    directory.join("briarraild")
}
