//! Object API and host list of the platform: traits and HTTP clients.
