//! Routers as processes.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use briarrail_model::{HostEntry, HostName};
use reqwest::Client;
use rustix::process::{Pid, Signal, kill_process};

use crate::support::eventually;
use crate::support::router_binary::router_binary;

/// Lines of a router's log that are shown when the test fails.
const SHOWN_LOG_LINES: usize = 30;

/// A router that runs as a process of its own; it is killed when this is dropped.
#[derive(Debug)]
pub(crate) struct RouterProcess {
    child: Child,
    entry: HostEntry,
    callers: SocketAddr,
    operators: SocketAddr,
    log: PathBuf,
}

impl RouterProcess {
    /// Starts a router with a settings file; its log goes beside the file.
    pub(crate) fn start(
        settings: &Path,
        entry: HostEntry,
        callers: SocketAddr,
        operators: SocketAddr,
    ) -> Self {
        let log = settings.with_extension("log");
        let file = std::fs::File::create(&log).expect("a writable directory");
        let errors = file.try_clone().expect("a second handle");
        let mut command = Command::new(router_binary());
        command.arg("-c").arg(settings).stdin(Stdio::null());
        let child = command.stdout(file).stderr(errors).spawn();
        Self {
            child: child.expect("briarraild starts"),
            entry,
            callers,
            operators,
            log,
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
        format!("http://{}", self.callers)
    }

    /// Returns the URL of a page for operators.
    pub(crate) fn operators_url(&self, page: &str) -> String {
        format!("http://{}/{page}", self.operators)
    }

    /// Returns whether the router says that it is ready.
    pub(crate) async fn is_ready(&self, client: &Client) -> bool {
        let answer = client.get(self.operators_url("ready")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Returns the sum of a metric over its labels; none when the router doesn't answer.
    pub(crate) async fn metric(&self, client: &Client, name: &str) -> Option<f64> {
        let answer = client
            .get(self.operators_url("metrics"))
            .send()
            .await
            .ok()?;
        let text = answer.text().await.ok()?;
        let lines = text.lines().filter(|line| has_name(line, name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.reduce(|sum, value| sum + value)
    }

    /// Waits until the router is ready.
    pub(crate) async fn wait_ready(&self, client: &Client) {
        let what = format!("{} is ready", self.name());
        eventually(&what, || async {
            self.is_ready(client).await.then_some(())
        })
        .await;
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let sent = kill_process(pid.expect("a process identifier"), signal);
        sent.expect("the process has not been waited for");
    }

    /// Kills the router without any warning.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.child.wait().expect("the process is a child");
    }

    /// Waits until the router has ended by itself.
    pub(crate) async fn wait_exit(&mut self) -> ExitStatus {
        let what = format!("{} ends", self.name());
        let child = &mut self.child;
        let mut exited = || child.try_wait().expect("the process is a child");
        eventually(&what, || std::future::ready(exited())).await
    }
}

fn has_name(line: &str, name: &str) -> bool {
    let rest = line.strip_prefix(name);
    rest.is_some_and(|rest| rest.starts_with([' ', '{']))
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both calls fail for a process that has ended, which is as well.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let shown = &lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..];
            eprintln!("--- log of {}\n{}", self.name(), shown.join("\n"));
        }
    }
}
