//! Stops requests at a step until a test lets them go on, so that whoever sent them can be killed or
//! frozen just there.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How often a stopped request looks whether it may go on.
const LOOK: Duration = Duration::from_millis(2);

/// Where a request stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HoldPoint {
    /// Before it takes effect.
    Before,
    /// After it took effect, before its answer.
    After,
}

/// The requests that stop now, counted.
#[derive(Debug, Default)]
pub struct HoldGate(AtomicU64);

impl HoldGate {
    /// How many stop.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }

    /// Stops for as long as `asked` says that this step does.
    pub async fn wait(&self, step: HoldPoint, asked: impl Fn() -> Option<HoldPoint>) {
        if asked() != Some(step) {
            return;
        }
        let _held = Held::new(&self.0);
        while asked() == Some(step) {
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Counts a request for as long as it stops, also when its sender leaves meanwhile.
struct Held<'a>(&'a AtomicU64);

impl<'a> Held<'a> {
    fn new(count: &'a AtomicU64) -> Held<'a> {
        count.fetch_add(1, Ordering::SeqCst);
        Held(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
