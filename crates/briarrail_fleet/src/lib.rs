//! Membership, exchange and configuration adoption state machines.
