//! Measurements that drive the decisions in virtual time.
