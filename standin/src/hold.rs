//! Holds requests at a point until a test lets them continue, so that the test can kill or freeze
//! their sender at exactly that point.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Interval between checks whether a held request may continue.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The point at which a request is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldPoint {
    /// Before it takes effect.
    Before,
    /// After it took effect, before the response.
    After,
}

/// Holds requests and counts them.
#[derive(Debug, Default)]
pub struct HoldGate(AtomicU64);

impl HoldGate {
    /// Number of requests held now.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    /// Waits for as long as `hold_at` returns this point.
    pub async fn wait(&self, point: HoldPoint, hold_at: impl Fn() -> Option<HoldPoint>) {
        if hold_at() != Some(point) {
            return;
        }
        let _guard = HeldGuard::new(&self.0);
        while hold_at() == Some(point) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Counts a request while it is held, even if its sender disconnects meanwhile.
struct HeldGuard<'a>(&'a AtomicU64);

impl<'a> HeldGuard<'a> {
    fn new(count: &'a AtomicU64) -> HeldGuard<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        HeldGuard(count)
    }
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
