//! Tests of the settings.

mod bad_settings;
mod documented;
mod good_settings;
