//! Path of the `briarraild` program under test.

use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

/// Environment variable with the path of a prebuilt program to test instead.
const BINARY_ENV_VAR: &str = "BRIARRAILD_BIN";
/// Index of `target/PROFILE` among the ancestors of `target/PROFILE/deps/TEST`.
const PROFILE_DIRECTORY_INDEX: usize = 2;

/// Returns the path of `briarraild`.
///
/// Unless [`BINARY_ENV_VAR`] is set, the program is built with Cargo in the profile of the test.
/// The build is explicit because `cargo test` for this package neither builds programs of other
/// packages nor rebuilds them when only they have changed.
pub(crate) fn router_binary() -> PathBuf {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(find_or_build_binary).clone()
}

fn find_or_build_binary() -> PathBuf {
    if let Ok(path) = std::env::var(BINARY_ENV_VAR) {
        return path.into();
    }
    let test_path = std::env::current_exe().expect("path of the test program");
    let directory = test_path
        .ancestors()
        .nth(PROFILE_DIRECTORY_INDEX)
        .expect("test program is in target/PROFILE/deps");
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
        "failed to build briarraild"
    );
    directory.join("briarraild")
}
