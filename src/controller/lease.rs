//! A lease kept in one object of the platform. Pure: the time and the store's answers come in, what
//! to ask of the store goes out.
//!
//! Nobody compares clocks. The holder counts its lease from the moment it SENT the update that
//! renewed it; a challenger counts from the moment it first READ a version, which is later, and takes
//! the lease over when that version has stood for longer than the lease lasts. The object's version
//! at which a holder took the lease is its *fence*: every later holder's is greater.
//!
//! A holder that is frozen between looking at its lease and acting can still act late. Upstreams that
//! check the fence refuse that; to the others only what converges may be ordered.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// How long a lease lasts after the update that renewed it was sent.
pub const TTL: Duration = Duration::from_secs(10);

/// A holder stops to act this much before its lease ends, and a challenger waits this much longer:
/// steady clocks differ in speed, though little.
const MARGIN: Duration = Duration::from_millis(500);

/// A holder renews after this share of the lease, so that it can try three times.
const RENEW_AFTER: Duration = Duration::from_secs(3);

/// How often a challenger reads.
const READ_EVERY: Duration = Duration::from_secs(3);

/// What the lease's object holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Who holds it: one start of one process.
    pub holder: String,
    /// Which of its writes this is. No two are alike, so one that is read back is told from an
    /// earlier one that came late.
    pub write: u64,
    /// Whether its holder has given it up.
    pub free: bool,
}

/// The right to act that a lease gives; greater than that of any earlier holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(pub u64);

/// What to ask of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing now.
    Wait,
    /// Read the object.
    Read,
    /// Write the object if it is at version `expected`.
    Write { record: LeaseRecord, expected: u64 },
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and gave this version.
    Written(u64),
    /// It had no effect, since somebody else has written.
    Conflict,
    /// It had no effect, since the store can't be reached.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// One process's part in a lease.
#[derive(Debug)]
pub struct Lease {
    me: String,
    writes: u64,
    seen: Option<Seen>,
    held: Option<Held>,
    /// An update whose answer isn't known.
    pending: Option<Pending>,
    read_at: Option<Duration>,
}

/// The version that was read last, and since when it stands, as far as this process knows.
#[derive(Debug)]
struct Seen {
    version: u64,
    free: bool,
    since: Duration,
}

#[derive(Debug)]
struct Held {
    fence: Fence,
    version: u64,
    /// When the update that the lease counts from was sent.
    since: Duration,
}

#[derive(Debug)]
struct Pending {
    record: LeaseRecord,
    /// Whether it renews, rather than takes.
    renews: bool,
    sent: Duration,
    lost: bool,
}

impl Lease {
    /// A lease that isn't held. `me` must name this one start of this one process.
    pub fn new(me: &str) -> Lease {
        let me = me.to_owned();
        Lease { me, writes: 0, seen: None, held: None, pending: None, read_at: None }
    }

    /// The fence, while the lease is held. Look right before each act.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let held = self.held.as_ref()?;
        (now < held.since + TTL - MARGIN).then_some(held.fence)
    }

    /// What to ask of the store now. The answer must be told before the next turn.
    pub fn next_action(&mut self, now: Duration) -> LeaseAction {
        if self.held.is_some() && self.fence(now).is_none() {
            self.held = None;
            self.seen = None;
        }
        if self.pending.as_ref().is_some_and(|p| p.lost) {
            return LeaseAction::Read;
        }
        match &self.held {
            Some(held) if now < held.since + RENEW_AFTER => LeaseAction::Wait,
            Some(held) => {
                let expected = held.version;
                self.write(true, false, expected, now)
            }
            None => self.challenge(now),
        }
    }

    /// Gives the lease up, if it is held.
    pub fn release(&mut self, now: Duration) -> LeaseAction {
        let held = self.held.take();
        match held {
            Some(held) => self.write(false, true, held.version, now),
            None => LeaseAction::Wait,
        }
    }

    /// Takes in what was read: the version with its record, or nothing where there is no object.
    pub fn handle_read(&mut self, object: Option<(u64, &LeaseRecord)>, now: Duration) {
        self.read_at = Some(now);
        let version = object.map_or(0, |(version, _)| version);
        let free = object.is_none_or(|(_, r)| r.free);
        if let Some(pending) = self.pending.take()
            && object.is_some_and(|(_, r)| *r == pending.record)
        {
            // The lost answer was good news.
            self.wrote(&pending, version);
            return;
        }
        if self.held.as_ref().is_some_and(|held| held.version == version) {
            return;
        }
        self.held = None;
        if self.seen.as_ref().is_none_or(|seen| seen.version != version) {
            self.seen = Some(Seen { version, free, since: now });
        }
    }

    /// Takes in how the write ended that the last turn asked for.
    pub fn handle_write(&mut self, written: WriteOutcome) {
        let Some(pending) = self.pending.take() else { return };
        match written {
            WriteOutcome::Written(version) => self.wrote(&pending, version),
            WriteOutcome::Conflict => {
                self.held = None;
                self.seen = None;
            }
            WriteOutcome::NotWritten => {}
            WriteOutcome::Unknown => self.pending = Some(Pending { lost: true, ..pending }),
        }
    }

    fn challenge(&mut self, now: Duration) -> LeaseAction {
        if let Some(seen) = &self.seen
            && (seen.free || seen.since + TTL + MARGIN <= now)
        {
            let expected = seen.version;
            return self.write(false, false, expected, now);
        }
        match self.read_at {
            Some(at) if self.seen.is_some() && now < at + READ_EVERY => LeaseAction::Wait,
            _ => LeaseAction::Read,
        }
    }

    fn write(&mut self, renews: bool, free: bool, expected: u64, now: Duration) -> LeaseAction {
        self.writes += 1;
        let record = LeaseRecord { holder: self.me.clone(), write: self.writes, free };
        self.pending = Some(Pending { record: record.clone(), renews, sent: now, lost: false });
        LeaseAction::Write { record, expected }
    }

    fn wrote(&mut self, pending: &Pending, version: u64) {
        self.seen = None;
        let before = self.held.take();
        if pending.record.free {
            return;
        }
        let fence = before.filter(|_| pending.renews).map_or(Fence(version), |held| held.fence);
        self.held = Some(Held { fence, version, since: pending.sent });
    }
}
