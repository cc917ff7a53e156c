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
use crate::controller::lease::Record;
use crate::controller::lease::Turn;
use crate::controller::lease::Written;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Time between two looks at what is due.
const TURN: Duration = Duration::from_millis(200);

/// A lease that is kept or sought.
pub struct Keeper {
    objects: Arc<dyn ObjectStore>,
    name: String,
    epoch: Instant,
    lease: Mutex<Lease>,
}

impl Keeper {
    /// Begins to seek the lease in the object `name`. `me` must name this one start of this process.
    pub fn start(objects: Arc<dyn ObjectStore>, name: &str, me: &str, log: Logger) -> Arc<Keeper> {
        let lease = Mutex::new(Lease::new(me));
        let keeper = Keeper { objects, name: name.to_owned(), epoch: Instant::now(), lease };
        let keeper = Arc::new(keeper);
        let weak = Arc::downgrade(&keeper);
        thread::spawn(move || {
            let mut held = None;
            while let Some(keeper) = weak.upgrade() {
                keeper.turn();
                let before = std::mem::replace(&mut held, keeper.held());
                if held != before {
                    info!(log, "lease"; "object" => &keeper.name, "fence" => held.map(|f| f.0));
                }
                drop(keeper);
                thread::sleep(TURN);
            }
        });
        keeper
    }

    /// The fence, while the lease is held. Look right before each act.
    pub fn held(&self) -> Option<Fence> {
        self.lease().held(self.now())
    }

    /// Gives the lease up, so that another can have it at once.
    pub fn release(&self) {
        let turn = self.lease().release(self.now());
        self.act(turn);
    }

    fn turn(&self) {
        let turn = self.lease().turn(self.now());
        self.act(turn);
    }

    /// Asks the store. The lease isn't locked meanwhile: whoever acts must not wait to look.
    fn act(&self, turn: Turn) {
        match turn {
            Turn::Wait => {}
            Turn::Read => self.read(),
            Turn::Write { record, expected } => {
                let value = serde_json::to_vec(&record).expect("records serialize");
                let written = match self.objects.put(&self.name, &value, expected) {
                    Ok(version) => Written::Yes(version),
                    Err(Error::Conflict { .. }) => Written::Conflict,
                    Err(Error::Unavailable(_)) => Written::No,
                    Err(Error::Unknown(_) | Error::Unexpected(_)) => Written::Unknown,
                };
                self.lease().written(written);
            }
        }
    }

    fn read(&self) {
        let Ok(object) = self.objects.get(&self.name) else { return };
        let object = object.map(|o| (o.version, parse(&o.value)));
        let seen = object.as_ref().map(|(version, record)| (*version, record));
        self.lease().read(seen, self.now());
    }

    fn now(&self) -> Duration {
        self.epoch.elapsed()
    }

    fn lease(&self) -> std::sync::MutexGuard<'_, Lease> {
        self.lease.lock().expect("no panic under lock")
    }
}

/// What nobody can read is somebody's whom nobody knows: it is left alone until it has stood long.
fn parse(value: &[u8]) -> Record {
    serde_json::from_slice(value).unwrap_or_else(|_| Record {
        holder: String::new(),
        write: 0,
        free: false,
    })
}
