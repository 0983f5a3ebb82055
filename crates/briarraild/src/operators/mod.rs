//! Endpoints for operators, load balancers and metric scrapers.

mod operator_server;
mod router_status;

pub(crate) use operator_server::{OperatorContext, serve_operators};
