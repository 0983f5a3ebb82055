//! Tests of the daemon against stand-ins, by feature.

mod answers;
mod callers;
mod claims;
mod load;
mod operators;
mod peers;
mod refusals;
mod site;
mod stops;
