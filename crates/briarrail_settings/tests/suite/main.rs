//! Tests of the settings.

mod bad_settings;
mod good_settings;
