//! Saves in the store what is held back because it crashes upstreams, and loads it at the start: all
//! boxes may restart at once and lose their state.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use slog::debug;
use slog::info;
use tokio::sync::Notify;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::SuspectReport;
use crate::proxy::adapter::StoreError;
use crate::proxy::adapter::SuspectStore;
use crate::proxy::hub::Hub;

/// Pause before saving a suspect is retried, and the longest pause, to limit the load on an
/// unavailable store.
const SAVE_RETRY_MIN: Duration = Duration::from_millis(500);
const SAVE_RETRY_MAX: Duration = Duration::from_secs(8);

/// Maximum number of suspects that a box saves in the store.
const SAVED_MAX: usize = 256;

/// A list from the store may be some seconds old and lack recent suspects, so it is loaded a second
/// time after this.
const RELOAD_DELAY: Duration = Duration::from_secs(5);

/// Time between attempts to load the saved suspects, and their number. If the store is unavailable
/// for longer than this at the start, loading is given up.
const LOAD_RETRY_INTERVAL: Duration = Duration::from_millis(700);
const LOAD_ATTEMPTS_MAX: u32 = 60;

/// A kind of suspects that is saved.
pub trait SavedSuspects: Send + Sync {
    /// Those to be saved by this box.
    fn queue<'a>(&self, hub: &'a Hub) -> &'a SaveQueue;

    /// The report of a suspect; `None` if no crashes count against it any more.
    fn report(&self, hub: &Hub, fingerprint: &Fingerprint) -> Option<SuspectReport>;

    /// Applies reports from the store.
    fn merge(&self, hub: &Hub, reports: &[SuspectReport]);

    /// Whether a suspect is held back.
    fn is_held(&self, hub: &Hub, fingerprint: &Fingerprint) -> bool;
}

/// Suspects to be saved in the store by this box, and those already saved.
#[derive(Debug, Default)]
pub struct SaveQueue {
    inner: Mutex<Queued>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct Queued {
    unsaved: VecDeque<Fingerprint>,
    saved: BTreeSet<Fingerprint>,
}

impl SaveQueue {
    fn with<T>(&self, f: impl FnOnce(&mut Queued) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock"))
    }

    /// Schedules suspects to be saved, or to be deleted if no crashes count against them any more.
    pub fn push(&self, suspects: impl IntoIterator<Item = Fingerprint>) {
        self.with(|queued| {
            queued.unsaved.extend(suspects);
            let over = queued.unsaved.len().saturating_sub(SAVED_MAX);
            queued.unsaved.drain(..over);
        });
        self.changed.notify_one();
    }

    /// Saves again what this box has saved, after the store was restored from an older copy, which
    /// may lack it.
    pub fn save_again(&self) {
        let saved = self.with(|queued| std::mem::take(&mut queued.saved));
        self.push(saved);
    }

    fn first(&self) -> Option<Fingerprint> {
        self.with(|queued| queued.unsaved.front().copied())
    }

    fn is_saved(&self, suspect: &Fingerprint) -> bool {
        self.with(|queued| queued.saved.contains(suspect))
    }

    fn finish(&self, suspect: &Fingerprint, is_saved: bool) {
        self.with(|queued| {
            queued.unsaved.retain(|unsaved| unsaved != suspect);
            if !is_saved {
                queued.saved.remove(suspect);
            } else if queued.saved.len() < SAVED_MAX {
                queued.saved.insert(*suspect);
            }
        });
    }
}

/// Saves what is held back because of crashes detected by this box, until the process ends.
pub async fn save(hub: Arc<Hub>, suspects: Arc<dyn SavedSuspects>, records: Arc<dyn SuspectStore>) {
    let mut pause = SAVE_RETRY_MIN;
    loop {
        let queue = suspects.queue(&hub);
        let Some(fingerprint) = queue.first() else {
            queue.changed.notified().await;
            continue;
        };
        let report = suspects.report(&hub, &fingerprint);
        let result = match &report {
            Some(suspect) => records.save(suspect).await,
            None if queue.is_saved(&fingerprint) => records.delete(&fingerprint).await,
            None => Ok(()),
        };
        if let Err(e) = result {
            info!(hub.log(), "crash suspect not saved"; "content" => %fingerprint, "error" => %e);
            if let StoreError::Unavailable(_) = e {
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(SAVE_RETRY_MAX);
                continue;
            }
        }
        pause = SAVE_RETRY_MIN;
        queue.finish(&fingerprint, report.is_some());
    }
}

/// Loads from the store the suspects saved before this box started, if it is one of those that
/// watch the store; the other boxes receive them from these.
pub async fn load(hub: Arc<Hub>, suspects: Arc<dyn SavedSuspects>, records: Arc<dyn SuspectStore>) {
    let mut loads = 0;
    for _ in 0..LOAD_ATTEMPTS_MAX {
        if hub.peers().is_store_due() {
            match records.load_all().await {
                Ok(all) => {
                    loads += 1;
                    apply(&hub, &*suspects, &*records, &all).await;
                    if 1 < loads {
                        return;
                    }
                    tokio::time::sleep(RELOAD_DELAY).await;
                    continue;
                }
                Err(e) => info!(hub.log(), "crash suspects not loaded"; "error" => %e),
            }
        }
        tokio::time::sleep(LOAD_RETRY_INTERVAL).await;
    }
}

async fn apply(
    hub: &Hub,
    suspects: &dyn SavedSuspects,
    records: &dyn SuspectStore,
    all: &[SuspectReport],
) {
    suspects.merge(hub, all);
    for SuspectReport { fingerprint, .. } in all {
        if suspects.is_held(hub, fingerprint) {
            continue;
        }
        // Its crashes are too long ago. Another box may delete it at the same time.
        if let Err(e) = records.delete(fingerprint).await {
            debug!(hub.log(), "crash suspect not deleted"; "content" => %fingerprint,
                "error" => %e);
        }
    }
}
