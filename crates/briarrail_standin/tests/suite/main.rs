//! Integration tests of the stand-ins.

mod engine;
mod service;
mod support;
