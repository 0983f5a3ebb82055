//! Tests of the stored tables.

mod editing;
mod fake_store;
mod fuzz;
mod layout;
mod scale;
mod state;
mod table_rows;
