//! The router daemon `briarraild`.

use std::path::PathBuf;
use std::process::ExitCode;

use briarrail_settings::DaemonSettings;
use briarraild::{RouterDaemon, init_logs};
use getopts::Options;
use tokio::signal::unix::{Signal, SignalKind, signal};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
const EXIT_REQUESTS_ABORTED: u8 = 3;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, JSON with comments", "FILE");
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    let parsed = match options.parse(std::env::args().skip(1)) {
        Ok(parsed) => parsed,
        Err(error) => return exit_with_error(EXIT_USAGE, &format!("{error} (hint: see --help)")),
    };
    if parsed.opt_present("help") {
        print!("{}", options.usage("Usage: briarraild -c FILE [--check]"));
        return ExitCode::SUCCESS;
    }
    if parsed.opt_present("version") {
        println!("briarraild {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = parsed.opt_str("config").map(PathBuf::from) else {
        return exit_with_error(EXIT_USAGE, "no settings file given (hint: use -c FILE)");
    };
    let settings = match DaemonSettings::from_file(&path) {
        Ok(settings) => settings,
        Err(errors) => return exit_with_error(EXIT_USAGE, &errors.to_string()),
    };
    if parsed.opt_present("check") {
        println!("{}: the settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    init_logs(&settings.logs);
    run(settings)
}

fn exit_with_error(code: u8, message: &str) -> ExitCode {
    eprintln!("briarraild: {message}");
    ExitCode::from(code)
}

/// Runs the router until a signal stops it gracefully; a second signal exits at once.
fn run(settings: DaemonSettings) -> ExitCode {
    let router = match RouterDaemon::start(settings) {
        Ok(router) => router,
        Err(error) => return exit_with_error(EXIT_FAILED, &error.to_string()),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return exit_with_error(EXIT_FAILED, &error.to_string()),
    };
    let mut signals = match runtime.block_on(async { StopSignals::listen() }) {
        Ok(signals) => signals,
        Err(error) => return exit_with_error(EXIT_FAILED, &error.to_string()),
    };
    runtime.block_on(signals.next());
    let stop_thread = std::thread::spawn(move || router.stop());
    runtime.block_on(async {
        let stopped = async {
            while !stop_thread.is_finished() {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        };
        tokio::select! {
            () = stopped => ExitCode::SUCCESS,
            () = signals.next() => exit_with_error(
                EXIT_REQUESTS_ABORTED,
                "second signal received; aborting requests in flight",
            ),
        }
    })
}

/// Receives the signals that stop the daemon, SIGTERM and SIGINT.
struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    fn listen() -> std::io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self {
            terminate,
            interrupt,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
