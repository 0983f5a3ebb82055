//! Tests of the settings.

mod bad_settings;
mod documented;
mod garbled;
mod good_settings;
