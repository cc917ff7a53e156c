//! Keeps a lease in the platform's Object API, on a thread of its own: nothing that takes long must
//! come between a holder and its renewals.

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
use crate::platform::Objects;

/// Time between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A lease that is kept or sought.
pub struct LeaseManager {
    objects: Arc<dyn Objects>,
    name: String,
    epoch: Instant,
    lease: Mutex<Lease>,
}

impl LeaseManager {
    /// Begins to seek the lease in the object `name`. `holder` must name this one start of this process.
    pub fn start(
        objects: Arc<dyn Objects>,
        name: &str,
        holder: &str,
        log: Logger,
    ) -> Arc<LeaseManager> {
        let lease = Mutex::new(Lease::new(holder));
        let manager = LeaseManager { objects, name: name.to_owned(), epoch: Instant::now(), lease };
        let manager = Arc::new(manager);
        let weak = Arc::downgrade(&manager);
        thread::spawn(move || {
            let mut held = None;
            while let Some(manager) = weak.upgrade() {
                manager.run_next_action();
                let before = std::mem::replace(&mut held, manager.fence());
                if held != before {
                    info!(log, "lease"; "object" => &manager.name, "fence" => held.map(|f| f.0));
                }
                drop(manager);
                thread::sleep(TICK_INTERVAL);
            }
        });
        manager
    }

    /// The fence, while the lease is held. Look right before each act.
    pub fn fence(&self) -> Option<Fence> {
        self.lease().fence(self.now())
    }

    /// Gives the lease up, so that another can have it at once.
    pub fn release(&self) {
        let action = self.lease().release(self.now());
        self.run_action(action);
    }

    fn run_next_action(&self) {
        let action = self.lease().next_action(self.now());
        self.run_action(action);
    }

    /// Asks the store. The lease isn't locked meanwhile: whoever acts must not wait to look.
    fn run_action(&self, action: LeaseAction) {
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Read => self.read(),
            LeaseAction::Write { record, expected } => {
                let value = serde_json::to_vec(&record).expect("records serialize");
                let written = match self.objects.put(&self.name, &value, expected) {
                    Ok(version) => WriteOutcome::Written(version),
                    Err(Error::Conflict { .. }) => WriteOutcome::Conflict,
                    Err(Error::Unavailable(_)) => WriteOutcome::NotWritten,
                    Err(Error::Unknown(_) | Error::Unexpected(_)) => WriteOutcome::Unknown,
                };
                self.lease().handle_write(written);
            }
        }
    }

    fn read(&self) {
        let Ok(object) = self.objects.get(&self.name) else { return };
        let object = object.map(|o| (o.version, parse(&o.value)));
        let seen = object.as_ref().map(|(version, record)| (*version, record));
        self.lease().handle_read(seen, self.now());
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    fn lease(&self) -> std::sync::MutexGuard<'_, Lease> {
        self.lease.lock().expect("no panic under lock")
    }
}

/// What nobody can read is somebody's whom nobody knows: it is left alone until it has stood long.
fn parse(value: &[u8]) -> LeaseRecord {
    serde_json::from_slice(value).unwrap_or_else(|_| LeaseRecord {
        holder: String::new(),
        write: 0,
        free: false,
    })
}
