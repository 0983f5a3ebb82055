//! Tests of reading and editing the stored tables.

mod editing;
mod faulty_store;
mod fuzz;
mod layout;
mod row_fixtures;
mod scale;
mod state;
