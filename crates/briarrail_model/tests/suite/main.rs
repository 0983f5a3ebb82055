//! Tests of keys, tables and their validation.

mod documented;
mod hashing;
mod load;
mod routing;
mod rows;
mod validation;
