//! A lease kept in one object of the platform. Does no I/O: the caller passes in the time and the
//! store's responses and carries out the [`LeaseAction`] returned.
//!
//! Clocks of different boxes are never compared. The holder measures its lease from the moment it
//! SENT the update that renewed it; a challenger measures from the moment it first READ a version,
//! which is later, and takes the lease over once that version has been unchanged for longer than
//! [`TTL`]. The object's version at which a holder took the lease is its *fence* (fencing token):
//! that of every later holder is greater.
//!
//! A holder that is suspended between checking its lease and acting can still act late. Upstreams
//! that check the fence refuse such orders; others may only be sent orders that converge.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How long a lease lasts after the update that renewed it was sent.
pub const TTL: Duration = Duration::from_secs(10);

/// A holder stops acting this long before its lease ends, and a challenger waits this much longer,
/// since monotonic clocks run at slightly different speeds.
const CLOCK_DRIFT_MARGIN: Duration = Duration::from_millis(500);

/// A holder renews this long after the last renewal, which leaves time for three attempts.
const RENEW_AFTER: Duration = Duration::from_secs(3);

/// Interval between reads of a challenger.
const READ_INTERVAL: Duration = Duration::from_secs(3);

/// The content of the lease's object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The holder: one run of one process.
    pub holder: String,
    /// Number of this write of the holder. It is unique, so that a record read back can be
    /// distinguished from an earlier write that took effect late.
    #[serde(rename = "write")]
    pub write_number: u64,
    /// Whether the holder has released the lease.
    #[serde(rename = "free")]
    pub released: bool,
}

/// The fencing token of a lease's holder; greater than that of any earlier holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// The store operation to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// None now.
    Wait,
    /// Read the object.
    Read,
    /// Write the object if it is at version `expected`.
    Write { record: LeaseRecord, expected: u64 },
}

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and created this version.
    Written(u64),
    /// It had no effect, since another process has written.
    Conflict,
    /// It had no effect, since the store is unreachable.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// The state of one process that holds or seeks the lease.
#[derive(Debug)]
pub struct Lease {
    holder: String,
    write_count: u64,
    observed: Option<ObservedVersion>,
    held: Option<HeldLease>,
    /// A write whose outcome isn't known yet.
    pending: Option<PendingWrite>,
    last_read_at: Option<Duration>,
}

/// The version that was read last, and when this process first read it.
#[derive(Debug)]
struct ObservedVersion {
    version: u64,
    released: bool,
    first_read_at: Duration,
}

#[derive(Debug)]
struct HeldLease {
    fence: Fence,
    version: u64,
    /// When the update that last renewed the lease was sent.
    renewed_at: Duration,
}

#[derive(Debug)]
struct PendingWrite {
    record: LeaseRecord,
    /// Whether it renews a held lease rather than acquiring it.
    is_renewal: bool,
    sent_at: Duration,
    /// Whether the store's response was lost, so that the object must be read.
    response_lost: bool,
}

impl Lease {
    /// Returns a lease that isn't held yet. `holder` must identify this run of this process.
    pub fn new(holder: &str) -> Lease {
        let holder = holder.to_owned();
        Lease {
            holder,
            write_count: 0,
            observed: None,
            held: None,
            pending: None,
            last_read_at: None,
        }
    }

    /// Returns the fence while the lease is held. Callers check it immediately before each action.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let held = self.held.as_ref()?;
        (now < held.renewed_at + TTL - CLOCK_DRIFT_MARGIN).then_some(held.fence)
    }

    /// Returns the store operation to carry out now. Its result must be passed to
    /// [`Lease::handle_read`] or [`Lease::handle_write`] before the next call.
    pub fn next_action(&mut self, now: Duration) -> LeaseAction {
        if self.held.is_some() && self.fence(now).is_none() {
            self.held = None;
            self.observed = None;
        }
        if self.pending.as_ref().is_some_and(|p| p.response_lost) {
            return LeaseAction::Read;
        }
        match &self.held {
            Some(held) if now < held.renewed_at + RENEW_AFTER => LeaseAction::Wait,
            Some(held) => {
                let expected = held.version;
                self.write(true, false, expected, now)
            }
            None => self.try_acquire(now),
        }
    }

    /// Releases the lease if it is held.
    pub fn release(&mut self, now: Duration) -> LeaseAction {
        let held = self.held.take();
        match held {
            Some(held) => self.write(false, true, held.version, now),
            None => LeaseAction::Wait,
        }
    }

    /// Handles the result of a read: the version with its record, or `None` if there is no object.
    pub fn handle_read(&mut self, object: Option<(u64, &LeaseRecord)>, now: Duration) {
        self.last_read_at = Some(now);
        let version = object.map_or(0, |(version, _)| version);
        let released = object.is_none_or(|(_, r)| r.released);
        if let Some(pending) = self.pending.take()
            && object.is_some_and(|(_, r)| *r == pending.record)
        {
            // The write whose response was lost has taken effect.
            self.complete_write(&pending, version);
            return;
        }
        if self.held.as_ref().is_some_and(|held| held.version == version) {
            return;
        }
        self.held = None;
        if self.observed.as_ref().is_none_or(|observed| observed.version != version) {
            self.observed = Some(ObservedVersion { version, released, first_read_at: now });
        }
    }

    /// Handles the outcome of the write that was returned last.
    pub fn handle_write(&mut self, outcome: WriteOutcome) {
        let Some(pending) = self.pending.take() else { return };
        match outcome {
            WriteOutcome::Written(version) => self.complete_write(&pending, version),
            WriteOutcome::Conflict => {
                self.held = None;
                self.observed = None;
            }
            WriteOutcome::NotWritten => {}
            WriteOutcome::Unknown => {
                self.pending = Some(PendingWrite { response_lost: true, ..pending })
            }
        }
    }

    fn try_acquire(&mut self, now: Duration) -> LeaseAction {
        if let Some(observed) = &self.observed
            && (observed.released || observed.first_read_at + TTL + CLOCK_DRIFT_MARGIN <= now)
        {
            let expected = observed.version;
            return self.write(false, false, expected, now);
        }
        match self.last_read_at {
            Some(at) if self.observed.is_some() && now < at + READ_INTERVAL => LeaseAction::Wait,
            _ => LeaseAction::Read,
        }
    }

    fn write(
        &mut self,
        is_renewal: bool,
        released: bool,
        expected: u64,
        now: Duration,
    ) -> LeaseAction {
        self.write_count += 1;
        let record =
            LeaseRecord { holder: self.holder.clone(), write_number: self.write_count, released };
        self.pending = Some(PendingWrite {
            record: record.clone(),
            is_renewal,
            sent_at: now,
            response_lost: false,
        });
        LeaseAction::Write { record, expected }
    }

    fn complete_write(&mut self, pending: &PendingWrite, version: u64) {
        self.observed = None;
        let previous = self.held.take();
        if pending.record.released {
            return;
        }
        let fence =
            previous.filter(|_| pending.is_renewal).map_or(Fence(version), |held| held.fence);
        self.held = Some(HeldLease { fence, version, renewed_at: pending.sent_at });
    }
}
