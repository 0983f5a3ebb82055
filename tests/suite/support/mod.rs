//! What the tests share.

mod eventually;
mod port_picker;
mod router_binary;
mod router_process;
mod site_balancer;
mod test_site;
mod ticket_audit;

pub(crate) use eventually::{eventually, within_limit};
pub(crate) use router_process::RouterProcess;
pub(crate) use site_balancer::SiteBalancer;
pub(crate) use test_site::TestSite;
pub(crate) use ticket_audit::audit_tickets;
