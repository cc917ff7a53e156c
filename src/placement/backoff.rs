//! The backoff that an upstream has asked this box for, and the slow start after it.
//!
//! At its end one request is sent; each one that the upstream accepts doubles how many may be in flight, up to the
//! upstream's slots.

use std::time::Duration;

/// Requests that may be in flight right after a backoff.
const FIRST_LIMIT: u32 = 1;

/// A request of a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartSlot {
    /// When the backoff began that it follows.
    began: Duration,
}

/// The backoff that an upstream has asked this box for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    began: Duration,
    until: Duration,
    /// Requests that may be in flight; nothing where there is no slow start.
    limit: Option<u32>,
    in_flight: u32,
}

impl Backoff {
    /// The upstream asks for a backoff. A shorter one doesn't end a longer one. True if none was on.
    pub fn begin(&mut self, length: Duration, now: Duration) -> bool {
        let is_new = self.until <= now;
        if is_new {
            self.began = now;
            self.in_flight = 0;
        }
        self.until = self.until.max(now + length);
        self.limit = Some(FIRST_LIMIT);
        is_new
    }

    /// Time until a request may be sent; nothing if one may be now. Zero while a slow start waits for answers.
    pub fn left(&self, now: Duration) -> Option<Duration> {
        let is_full = self.limit.is_some_and(|limit| limit <= self.in_flight);
        (now < self.until || is_full).then(|| self.until.saturating_sub(now))
    }

    /// Whether a request may be sent that is one of the slow start or not.
    pub fn may_send(&self, slow_start_slot: Option<SlowStartSlot>, now: Duration) -> bool {
        self.until <= now && (self.limit.is_none() || self.is_counted(slow_start_slot))
    }

    /// Counts a request in, if there is a slow start and it has room.
    pub fn enter(&mut self, now: Duration) -> Option<SlowStartSlot> {
        let has_room = self.limit.is_some_and(|limit| self.in_flight < limit);
        if now < self.until || !has_room {
            return None;
        }
        self.in_flight += 1;
        Some(SlowStartSlot { began: self.began })
    }

    /// Counts a request out.
    pub fn leave(&mut self, slow_start_slot: Option<SlowStartSlot>) {
        if self.is_counted(slow_start_slot) {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// The upstream has accepted a request of the slow start. True when that is over, at `slots` requests.
    pub fn accepted(&mut self, slow_start_slot: Option<SlowStartSlot>, slots: u32) -> bool {
        if !self.is_counted(slow_start_slot) {
            return false;
        }
        self.limit = self.limit.map(|limit| limit * 2).filter(|limit| *limit < slots);
        self.limit.is_none()
    }

    /// Whether something that was sent at this time was sent in the last backoff.
    pub fn covers(&self, sent: Duration) -> bool {
        self.began < sent && sent < self.until
    }

    /// Whether the upstream wants nothing now.
    pub fn is_on(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether the slow start is over, too.
    pub fn is_over(&self, now: Duration) -> bool {
        self.until <= now && self.limit.is_none()
    }

    /// Requests of before the last backoff aren't counted in its slow start.
    fn is_counted(&self, slow_start_slot: Option<SlowStartSlot>) -> bool {
        slow_start_slot.is_some_and(|slow_start_slot| slow_start_slot.began == self.began)
    }
}
