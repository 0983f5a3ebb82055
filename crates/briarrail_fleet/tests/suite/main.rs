//! Tests of membership, exchange and configuration adoption.

mod adoption;
mod fake_fleet;
mod fuzz;
mod loads;
mod membership;
mod rings;
mod startup;
mod store_oracle;
