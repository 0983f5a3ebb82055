//! The command line.

mod cli_error;
mod cli_options;

use std::time::Duration;

use briarrail_model::HostEntry;
use briarrail_standin::{
    EngineSettings, HostListSettings, ObjectApiSettings, ServiceSettings, start_engine,
    start_host_list, start_object_api, start_service,
};

use cli_error::CliError;
use cli_options::CliOptions;

const USAGE: &str = "\
Usage: briarrail_standin COMMAND [OPTIONS]

Commands:
  engine   Run a model engine
  service  Run a plain service that records its runs in a ledger
  objects  Run the platform's object API
  hosts    Run the platform's host list

`briarrail_standin COMMAND --help` lists the options of a command. POST /_standin/faults sets
the faults of a running stand-in, and GET shows them.";

/// Runs the command given by the arguments until the process is killed.
pub(crate) fn run(arguments: &[String]) -> Result<(), CliError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CliError::Usage(USAGE.to_owned()));
    };
    let runtime = tokio::runtime::Runtime::new()?;
    match command.as_str() {
        "engine" => runtime.block_on(run_engine(rest)),
        "service" => runtime.block_on(run_service(rest)),
        "objects" => runtime.block_on(run_objects(rest)),
        "hosts" => runtime.block_on(run_hosts(rest)),
        "help" | "-h" | "--help" => {
            println!("{USAGE}");
            Ok(())
        }
        _ => Err(CliError::Usage(USAGE.to_owned())),
    }
}

async fn run_engine(arguments: &[String]) -> Result<(), CliError> {
    let default = EngineSettings::default();
    let options = CliOptions::new("engine")
        .option("name", "TEXT", "value of the x-standin response header")
        .option("capacity", "N", "maximum number of concurrent streams")
        .option("queue-limit", "N", "maximum number of queued requests")
        .option(
            "first-token-ms",
            "MS",
            "time to the first token of a fully cached prompt",
        )
        .option("token-interval-ms", "MS", "interval between tokens")
        .option("prefill-us", "US", "prefill time per uncached prompt token")
        .option(
            "cache-tokens",
            "N",
            "capacity of the prefix cache in tokens",
        )
        .option("load-lag-ms", "MS", "delay of the reported load")
        .option("event-lag-ms", "MS", "delay of the reported cache events")
        .option(
            "event-gap-every",
            "N",
            "drop one in N cache events (0: drop none)",
        )
        .option(
            "hold-ms",
            "MS",
            "time for which a disconnected stream can be resumed",
        )
        .flag(
            "resumes-foreign",
            "rerun the request when an unknown stream is resumed",
        )
        .flag(
            "ignores-fencing",
            "accept orders with outdated fencing numbers",
        );
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let settings = EngineSettings {
        name: matches.value("name", default.name)?,
        capacity: matches.value("capacity", default.capacity)?,
        queue_limit: matches.value("queue-limit", default.queue_limit)?,
        first_token: matches.millis("first-token-ms", default.first_token)?,
        token_interval: matches.millis("token-interval-ms", default.token_interval)?,
        prefill_per_token: Duration::from_micros(matches.value("prefill-us", 20)?),
        cache_tokens: matches.value("cache-tokens", default.cache_tokens)?,
        load_lag: matches.millis("load-lag-ms", default.load_lag)?,
        event_lag: matches.millis("event-lag-ms", default.event_lag)?,
        event_gap_every: matches.value("event-gap-every", default.event_gap_every)?,
        resume_window: matches.millis("hold-ms", default.resume_window)?,
        reruns_unknown_streams: matches.is_present("resumes-foreign"),
        checks_fencing: !matches.is_present("ignores-fencing"),
        faults: matches.faults()?,
    };
    let standin = start_engine(&matches.listen_address(), settings).await?;
    serve_until_killed("engine", &standin.base_url()).await
}

async fn run_service(arguments: &[String]) -> Result<(), CliError> {
    let options =
        CliOptions::new("service").option("name", "TEXT", "value of the x-standin response header");
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let settings = ServiceSettings {
        name: matches.value("name", String::new())?,
        faults: matches.faults()?,
    };
    let standin = start_service(&matches.listen_address(), settings).await?;
    serve_until_killed("service", &standin.base_url()).await
}

async fn run_objects(arguments: &[String]) -> Result<(), CliError> {
    let Some(matches) = CliOptions::new("objects").parse(arguments)? else {
        return Ok(());
    };
    let settings = ObjectApiSettings {
        faults: matches.faults()?,
    };
    let standin = start_object_api(&matches.listen_address(), settings).await?;
    serve_until_killed("objects", &standin.base_url()).await
}

async fn run_hosts(arguments: &[String]) -> Result<(), CliError> {
    let options = CliOptions::new("hosts").option(
        "file",
        "FILE",
        "JSON file with an array of the initial hosts",
    );
    let Some(matches) = options.parse(arguments)? else {
        return Ok(());
    };
    let file: String = matches.value("file", String::new())?;
    let settings = HostListSettings {
        hosts: read_hosts(&file)?,
        faults: matches.faults()?,
    };
    let standin = start_host_list(&matches.listen_address(), settings).await?;
    serve_until_killed("hosts", &standin.base_url()).await
}

fn read_hosts(file: &str) -> Result<Vec<HostEntry>, CliError> {
    if file.is_empty() {
        return Ok(Vec::new());
    }
    let text = std::fs::read_to_string(file)?;
    let invalid = |error: serde_json::Error| CliError::InvalidValue {
        option: "file".to_owned(),
        value: file.to_owned(),
        reason: error.to_string(),
    };
    serde_json::from_str(&text).map_err(invalid)
}

/// Prints the base URL, which a test driver reads from standard output, and never returns.
async fn serve_until_killed(kind: &str, base_url: &str) -> Result<(), CliError> {
    println!("{kind} {base_url}");
    std::future::pending().await
}
