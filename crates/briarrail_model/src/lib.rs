//! Keys, units, routes and pools, with their validation.
