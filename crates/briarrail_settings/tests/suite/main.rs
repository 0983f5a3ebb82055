//! Tests of the settings.

mod gateway;
mod invalid_settings;
mod mutated_text;
mod operators_page;
mod valid_settings;
