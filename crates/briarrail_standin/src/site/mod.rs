//! Stand-ins for a whole site.

mod site_settings;
mod site_standin;

pub use site_settings::SiteSettings;
pub use site_standin::SiteStandin;
