//! Checks the documented bounds with the benchmark on fixed seeds.

mod placement;
