//! End points for operators, balancers and scrapers.

mod operator_server;

pub(crate) use operator_server::serve_operators;
