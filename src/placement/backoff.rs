//! The backoff that an upstream has requested from this box, and the slow start after it.
//!
//! When the backoff ends, one request is sent. Each request that the upstream accepts doubles the
//! number that may be in flight, up to the upstream's slots.

use std::time::Duration;

/// Requests that may be in flight right after a backoff.
const FIRST_LIMIT: u32 = 1;

/// Marks a request that is counted in a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartSlot {
    /// Start of the backoff that the slow start follows.
    started: Duration,
}

/// The backoff that an upstream has requested from this box.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    started: Duration,
    until: Duration,
    /// When the upstream last asked for it, in milliseconds since 1970 by this box's clock.
    asked_at_ms: u64,
    /// Requests that may be in flight; `None` outside a slow start.
    limit: Option<u32>,
    in_flight: u32,
}

impl Backoff {
    /// Starts or extends a backoff that the upstream asked for at `asked_at_ms`, in milliseconds
    /// since 1970; a shorter one does not cut a longer one. Returns whether none was active.
    pub fn begin(&mut self, length: Duration, asked_at_ms: u64, now: Duration) -> bool {
        let is_new = self.until <= now;
        if is_new {
            self.started = now;
            self.in_flight = 0;
        }
        self.until = self.until.max(now + length);
        self.asked_at_ms = asked_at_ms;
        self.limit = Some(FIRST_LIMIT);
        is_new
    }

    /// Time until a request may be sent; `None` if one may be sent now. Zero while a slow start is
    /// full and waits for responses.
    pub fn remaining(&self, now: Duration) -> Option<Duration> {
        let is_full = self.limit.is_some_and(|limit| limit <= self.in_flight);
        (now < self.until || is_full).then(|| self.until.saturating_sub(now))
    }

    /// Whether a request may be sent now, given its slow-start slot if it has one.
    pub fn may_send(&self, slow_start_slot: Option<SlowStartSlot>, now: Duration) -> bool {
        self.until <= now && (self.limit.is_none() || self.is_of_current_backoff(slow_start_slot))
    }

    /// Reserves a place in the slow start, if there is one with capacity.
    pub fn acquire(&mut self, now: Duration) -> Option<SlowStartSlot> {
        let has_capacity = self.limit.is_some_and(|limit| self.in_flight < limit);
        if now < self.until || !has_capacity {
            return None;
        }
        self.in_flight += 1;
        Some(SlowStartSlot { started: self.started })
    }

    pub fn release(&mut self, slow_start_slot: Option<SlowStartSlot>) {
        if self.is_of_current_backoff(slow_start_slot) {
            self.in_flight = self.in_flight.saturating_sub(1);
        }
    }

    /// Records that the upstream accepted a request of the slow start. Returns whether the slow
    /// start is over, which it is once `slots` requests may be in flight.
    pub fn accepted(&mut self, slow_start_slot: Option<SlowStartSlot>, slots: u32) -> bool {
        if !self.is_of_current_backoff(slow_start_slot) {
            return false;
        }
        self.limit = self.limit.map(|limit| limit * 2).filter(|limit| *limit < slots);
        self.limit.is_none()
    }

    /// Whether something sent at this time was sent during the last backoff.
    pub fn covers(&self, sent: Duration) -> bool {
        self.started < sent && sent < self.until
    }

    /// Whether the upstream asked for it before it started at this time, in milliseconds since
    /// 1970 by its own clock.
    pub fn is_of_earlier_instance(&self, started_at_ms: u64) -> bool {
        self.asked_at_ms < started_at_ms
    }

    /// Whether the backoff has not ended yet.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether both the backoff and its slow start are over.
    pub fn is_finished(&self, now: Duration) -> bool {
        self.until <= now && self.limit.is_none()
    }

    /// Requests sent before the last backoff are not counted in its slow start.
    fn is_of_current_backoff(&self, slow_start_slot: Option<SlowStartSlot>) -> bool {
        slow_start_slot.is_some_and(|slow_start_slot| slow_start_slot.started == self.started)
    }
}
