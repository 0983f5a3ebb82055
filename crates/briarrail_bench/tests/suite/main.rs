//! Checks of stated bounds against the bench, on fixed seeds.

mod placement;
