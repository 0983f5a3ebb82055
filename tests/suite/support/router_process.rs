//! Router processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use briarrail_model::{HostEntry, HostName};
use reqwest::Client;
use rustix::process::{Pid, Signal, kill_process};

use crate::support::router_binary::router_binary;
use crate::support::wait_for;

/// Last lines of a router's log that are printed when the test fails.
const PRINTED_LOG_LINES: usize = 30;

/// A `briarraild` process, killed on drop.
#[derive(Debug)]
pub(crate) struct RouterProcess {
    child: Child,
    entry: HostEntry,
    callers_address: SocketAddr,
    operators_address: SocketAddr,
    log_path: PathBuf,
}

impl RouterProcess {
    /// Starts a router with a settings file, and writes its log to the same directory.
    pub(crate) fn start(
        settings_path: &Path,
        entry: HostEntry,
        callers_address: SocketAddr,
        operators_address: SocketAddr,
    ) -> Self {
        let log_path = settings_path.with_extension("log");
        let stdout = std::fs::File::create(&log_path).expect("directory is writable");
        let stderr = stdout.try_clone().expect("duplicated file descriptor");
        let mut command = Command::new(router_binary());
        command.arg("-c").arg(settings_path).stdin(Stdio::null());
        let child = command.stdout(stdout).stderr(stderr).spawn();
        Self {
            child: child.expect("failed to start briarraild"),
            entry,
            callers_address,
            operators_address,
            log_path,
        }
    }

    pub(crate) fn name(&self) -> &HostName {
        &self.entry.name
    }

    pub(crate) fn entry(&self) -> &HostEntry {
        &self.entry
    }

    /// Returns the base URL for callers.
    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.callers_address)
    }

    /// Returns the URL of a path on the address for operators.
    pub(crate) fn operators_url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.operators_address)
    }

    /// Returns whether the router responds to the readiness check with success.
    pub(crate) async fn is_ready(&self, client: &Client) -> bool {
        let response = client.get(self.operators_url("ready")).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the sum of a metric over all its labels.
    ///
    /// Returns `None` if the router doesn't respond or the metric has no samples.
    pub(crate) async fn metric_sum(&self, client: &Client, name: &str) -> Option<f64> {
        let response = client
            .get(self.operators_url("metrics"))
            .send()
            .await
            .ok()?;
        let text = response.text().await.ok()?;
        let samples = text.lines().filter(|line| is_sample_of(line, name));
        let values = samples.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.reduce(|sum, value| sum + value)
    }

    pub(crate) async fn wait_until_ready(&self, client: &Client) {
        let condition = format!("{} is ready", self.name());
        wait_for(&condition, || async {
            self.is_ready(client).await.then_some(())
        })
        .await;
    }

    pub(crate) fn send_signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let result = kill_process(pid.expect("valid process identifier"), signal);
        result.expect("process was not reaped yet");
    }

    /// Kills the router with SIGKILL and reaps the process.
    pub(crate) fn kill(&mut self) {
        self.send_signal(Signal::KILL);
        self.child.wait().expect("process is a child of the test");
    }

    /// Waits until the process exits on its own.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let condition = format!("{} exits", self.name());
        let child = &mut self.child;
        let mut exit_status = || child.try_wait().expect("process is a child of the test");
        wait_for(&condition, || std::future::ready(exit_status())).await
    }
}

/// Returns whether a line in the text format of Prometheus is a sample of a metric.
fn is_sample_of(line: &str, name: &str) -> bool {
    let rest = line.strip_prefix(name);
    rest.is_some_and(|rest| rest.starts_with([' ', '{']))
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both calls can fail if the process has already exited, which is fine here.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let last_lines = &lines[lines.len().saturating_sub(PRINTED_LOG_LINES)..];
            eprintln!("--- log of {}\n{}", self.name(), last_lines.join("\n"));
        }
    }
}
