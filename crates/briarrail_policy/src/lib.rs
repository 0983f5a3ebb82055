//! Placement, load, admission and retry-budget decisions.
