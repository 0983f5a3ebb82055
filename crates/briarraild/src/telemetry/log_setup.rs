//! Initialization of logging.

use briarrail_settings::{LogFormat, LogSettings};
use tracing_subscriber::EnvFilter;

/// Initializes logging to standard error.
///
/// An invalid filter is replaced by `info`. Further calls in the same process have no effect.
pub fn init_logs(settings: &LogSettings) {
    let filter = EnvFilter::try_new(&settings.filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let result = match settings.format {
        LogFormat::Text => builder.with_target(false).try_init(),
        LogFormat::Json => builder
            .json()
            .flatten_event(true)
            .with_target(false)
            .try_init(),
    };
    drop(result);
}
