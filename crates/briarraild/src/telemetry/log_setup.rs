//! Set-up of the logs.

use briarrail_settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;

/// Starts logging to standard error; a second call in one process changes nothing.
///
/// An unreadable filter falls back to `info`.
pub fn init_logs(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let outcome = match settings.format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
    drop(outcome);
}
