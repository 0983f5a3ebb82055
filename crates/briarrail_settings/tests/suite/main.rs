//! Tests of the settings.

mod bad_settings;
mod documented;
mod garbled;
mod gateway;
mod good_settings;
