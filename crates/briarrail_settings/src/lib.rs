//! Validated settings of the daemon and the gateway, in JSON with comments.
//!
//! Each program reads all its settings from one file. [`DaemonSettings::from_text`] and
//! [`GatewaySettings::from_text`] report every error at once, each with its line, the offending
//! value and a hint. Unknown keys are errors.

mod claim_settings;
mod cold_tolerance;
mod daemon_settings;
mod error_collector;
mod exchange_settings;
mod gateway_settings;
mod host_settings;
mod identity_settings;
mod limit_settings;
mod listener_settings;
mod log_settings;
mod platform_settings;
mod secret_text;
mod section_reader;
mod setting_value;
mod settings_builder;
mod settings_error;
mod stop_settings;
mod thread_settings;

pub use claim_settings::ClaimSettings;
pub use cold_tolerance::ColdTolerance;
pub use daemon_settings::DaemonSettings;
pub use exchange_settings::{ExchangeKey, ExchangeSettings};
pub use gateway_settings::{FleetLimits, GatewaySettings};
pub use host_settings::HostSettings;
pub use identity_settings::IdentitySettings;
pub use limit_settings::LimitSettings;
pub use listener_settings::ListenerSettings;
pub use log_settings::{LogFormat, LogSettings};
pub use platform_settings::PlatformSettings;
pub use secret_text::SecretText;
pub use settings_builder::SettingsBuilder;
pub use settings_error::{SettingsError, SettingsErrorKind, SettingsErrors};
pub use stop_settings::StopSettings;
pub use thread_settings::ThreadSettings;
