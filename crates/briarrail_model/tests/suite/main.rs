//! Tests of the data model and its validation.

mod documented;
mod hashing;
mod load;
mod routing;
mod rows;
mod validation;
