//! Checked settings of the daemon, in JSON with comments.
