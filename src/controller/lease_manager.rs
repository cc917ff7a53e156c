//! Acquires and renews a lease in the platform's Object API, on a thread of its own so that slow
//! work can't delay a renewal.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use slog::Logger;
use slog::info;
use tokio::time::Instant;

use crate::controller::lease::Fence;
use crate::controller::lease::Lease;
use crate::controller::lease::LeaseAction;
use crate::controller::lease::LeaseRecord;
use crate::controller::lease::WriteOutcome;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Interval between checks whether a store operation is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Holds the lease or tries to acquire it.
pub struct LeaseManager {
    objects: Arc<dyn ObjectStore>,
    object_name: String,
    started_at: Instant,
    lease: Mutex<Lease>,
}

impl LeaseManager {
    /// Starts to acquire the lease in the object `object_name`. `holder` must identify this run of
    /// this process.
    pub fn start(
        objects: Arc<dyn ObjectStore>,
        object_name: &str,
        holder: &str,
        log: Logger,
    ) -> Arc<LeaseManager> {
        let lease = Mutex::new(Lease::new(holder));
        let manager = LeaseManager {
            objects,
            object_name: object_name.to_owned(),
            started_at: Instant::now(),
            lease,
        };
        let manager = Arc::new(manager);
        let weak = Arc::downgrade(&manager);
        thread::spawn(move || {
            let mut fence = None;
            while let Some(manager) = weak.upgrade() {
                manager.run_next_action();
                let before = std::mem::replace(&mut fence, manager.fence());
                if fence != before {
                    info!(log, "lease state changed";
                        "object" => &manager.object_name, "fence" => fence.map(|f| f.0));
                }
                drop(manager);
                thread::sleep(TICK_INTERVAL);
            }
        });
        manager
    }

    /// Returns the fence while the lease is held. Callers check it immediately before each action.
    pub fn fence(&self) -> Option<Fence> {
        self.lease().fence(self.now())
    }

    /// Releases the lease, so that another controller can acquire it at once.
    pub fn release(&self) {
        let action = self.lease().release(self.now());
        self.run_action(action);
    }

    fn run_next_action(&self) {
        let action = self.lease().next_action(self.now());
        self.run_action(action);
    }

    /// Carries out a store operation. The lease isn't locked during the call, so that
    /// [`LeaseManager::fence`] never waits for the store.
    fn run_action(&self, action: LeaseAction) {
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read_object(),
            LeaseAction::Write { record, expected } => {
                let value = serde_json::to_vec(&record).expect("records serialize");
                let outcome = match self.objects.put(&self.object_name, &value, expected) {
                    Ok(version) => WriteOutcome::Written(version),
                    Err(Error::Conflict { .. }) => WriteOutcome::Conflict,
                    Err(Error::Unavailable(_)) => WriteOutcome::NotWritten,
                    Err(Error::Unknown(_) | Error::Unexpected(_)) => WriteOutcome::Unknown,
                };
                self.lease().handle_write(outcome);
            }
        }
    }

    fn read_object(&self) {
        let Ok(object) = self.objects.get(&self.object_name) else { return };
        let object = object.map(|o| (o.version, parse_record(&o.value)));
        let read = object.as_ref().map(|(version, record)| (*version, record));
        self.lease().handle_read(read, self.now());
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn lease(&self) -> std::sync::MutexGuard<'_, Lease> {
        self.lease.lock().expect("no panic under lock")
    }
}

/// Parses a record. One that is malformed counts as held by an unknown process, so that it is only
/// replaced after its lease has expired.
fn parse_record(value: &[u8]) -> LeaseRecord {
    serde_json::from_slice(value).unwrap_or_else(|_| LeaseRecord {
        holder: String::new(),
        write_number: 0,
        released: false,
    })
}
