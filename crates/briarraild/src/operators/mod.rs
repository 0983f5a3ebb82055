//! End points for operators, balancers and scrapers.

mod operator_server;
mod status_page;

pub(crate) use operator_server::{OperatorContext, serve_operators};
