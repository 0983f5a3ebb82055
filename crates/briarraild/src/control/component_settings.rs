//! Settings of the fleet, claim and codec components, derived from the daemon's settings.

use briarrail_fleet::FleetSettings;
use briarrail_outcome::ClaimSettings;
use briarrail_peer::{KeyRing, SharedKey};
use briarrail_settings::{DaemonSettings, ExchangeSettings};

/// Share of the control traffic budget for the exchange; the rest covers load reads.
const EXCHANGE_BUDGET_PERCENT: u64 = 84;
const EXCHANGE_BURST_SECONDS: u32 = 3;

/// Returns the keys that authenticate frames; the first one signs, all of them are accepted.
pub(crate) fn key_ring(settings: &ExchangeSettings) -> KeyRing {
    let mut keys = settings
        .keys
        .iter()
        .map(|key| SharedKey::new(key.secret.reveal().as_bytes()));
    let ring = KeyRing::new(keys.next().unwrap_or_else(|| SharedKey::new(b"")));
    keys.fold(ring, KeyRing::with_accepted)
}

/// Returns the settings of the fleet node.
pub(crate) fn fleet_settings(settings: &DaemonSettings) -> FleetSettings {
    let exchange = &settings.exchange;
    let rate = (exchange.budget_bytes_per_s * EXCHANGE_BUDGET_PERCENT / 100) as u32;
    FleetSettings::new(key_ring(exchange))
        .with_round_interval(exchange.interval_ms)
        .with_host_read_interval(settings.platform.host_poll_ms)
        .with_budget(rate, rate.saturating_mul(EXCHANGE_BURST_SECONDS))
}

/// Returns the settings of the claim coordinator.
pub(crate) fn claim_settings(settings: &DaemonSettings) -> ClaimSettings {
    ClaimSettings {
        claim_wait_ms: settings.claims.wait_ms,
        commit_interval_ms: settings.claims.batch_ms,
        store_timeout_ms: settings.claims.store_timeout_ms,
        retention_ms: settings.claims.retention_ms,
        ..ClaimSettings::default()
    }
}
