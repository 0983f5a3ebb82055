//! Small stand-ins for engines, plain services and the platform, for development only.
