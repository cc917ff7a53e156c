//! When bytes were last received from the upstreams of each zone. A cut of a zone, or of this box,
//! stops all of them at once, long before the keep-alive probes of idle connections fail.

use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;

/// Time for which received bytes show that a zone's links are up. A box under load receives some
/// from each zone more often; what is sent in this time after a cut is lost.
pub const LINK_FRESH: Duration = Duration::from_millis(500);

/// The links to all zones.
#[derive(Debug, Default)]
pub struct LinkActivity {
    /// By the hash of the zone's name.
    received_at: Mutex<FxHashMap<u64, Duration>>,
}

impl LinkActivity {
    /// Records that bytes were received from an upstream of the zone.
    pub fn record(&self, zone_hash: u64, now: Duration) {
        let mut received_at = self.received_at.lock().expect("no panic under lock");
        received_at.insert(zone_hash, now);
    }

    /// Whether bytes were received from an upstream of the zone within [`LINK_FRESH`].
    pub fn is_fresh(&self, zone_hash: u64, now: Duration) -> bool {
        let received_at = self.received_at.lock().expect("no panic under lock");
        received_at.get(&zone_hash).is_some_and(|at| now.saturating_sub(*at) <= LINK_FRESH)
    }
}
