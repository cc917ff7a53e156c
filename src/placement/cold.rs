//! Engines that have just started, or are cold again: they sustain only a limited rate of new
//! requests, and crash well above it.
//!
//! The limit applies to the sum over all boxes, even while these disagree about who decides. Each
//! box that may consider itself the one to decide therefore uses only a fraction of it, and a box
//! that decides without coordination sends nothing to a cold engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Fraction of the limit that an engine's owner uses. Two boxes that both consider themselves the
/// owner, their standby, and requests placed up to 0.4 s before they are sent (the time that
/// connecting may take) stay below the limit together.
const OWNER_SHARE: f64 = 0.35;

/// A standby's interval between requests is this many times the owner's.
const STANDBY_INTERVAL_FACTOR: u32 = 2;

/// Fraction of the limit that all boxes use together on average where each decides by itself. Their
/// offsets are random, so the rate within a single second may be several times the average.
const PEERS_SHARE: f64 = 0.35;

/// Number of boxes assumed at least, since a box that knows fewer may be cut off from the rest.
const PEERS_MIN: usize = 16;

/// Period over which the limit is measured. A box that takes over the state of an engine does not
/// know what others have just sent there, and waits this long.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What an engine sustains while it is cold, as configured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// How long an engine stays cold after a start.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// Shortest interval between two requests.
    #[serde(rename = "pace")]
    pub min_interval: Duration,
}

/// How far the requests in any one second may exceed what an engine sustains, by the operator's
/// settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Multiple of the sustained rate.
    pub overage: f64,
    /// Requests per second on top of that.
    pub slack: f64,
}

impl ColdBound {
    /// Requests per second that are too many for an engine with these limits.
    fn per_second(self, limits: ColdLimits) -> f64 {
        self.overage / limits.min_interval.as_secs_f64() + self.slack
    }
}

impl Default for ColdBound {
    /// No more than the engine sustains.
    fn default() -> ColdBound {
        ColdBound { overage: 1.0, slack: 0.0 }
    }
}

/// The role in which a box decides what is sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Owns the engine.
    Owner,
    /// Takes over if the owner fails.
    Standby,
    /// One of `boxes` boxes that each decide by themselves and notify the others.
    Peer {
        /// Number of boxes, including this one and those that are currently dead.
        boxes: usize,
        /// Pseudo-random number of this box, which sets its offset within the interval.
        draw: u32,
    },
    /// None: no box that tracks the engine responds.
    Unassigned,
}

impl Role {
    /// The role's name in logs.
    pub fn code(self) -> &'static str {
        match self {
            Role::Owner => "owner",
            Role::Standby => "standby",
            Role::Peer { .. } => "peer",
            Role::Unassigned => "alone",
        }
    }
}

/// The known state of one engine's cold start.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// When the engine was first known to be cold, and until when it is.
    since: Duration,
    until: Duration,
    /// When it may get the next request, considering the requests of all boxes.
    next: Duration,
    /// When it may get the next request of this box.
    own_next: Duration,
}

impl ColdStart {
    /// Records that the engine is cold until `until`, if that is later than known. Returns whether
    /// this is a new cold start.
    pub fn mark_cold(&mut self, until: Duration, now: Duration) -> bool {
        // Reports of the same cold start differ by their delay in transit.
        const SAME_START_TOLERANCE: Duration = Duration::from_millis(1500);
        let is_new = self.until.max(now).saturating_add(SAME_START_TOLERANCE) < until;
        if is_new {
            self.since = now;
        }
        self.until = self.until.max(until);
        is_new
    }

    /// How long the engine stays cold.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Withholds requests before `until` while the engine is cold.
    pub fn hold_until(&mut self, until: Duration) {
        self.next = self.next.max(until);
    }

    /// Whether a request may be sent now.
    pub fn accepts(&self, role: Role, limits: ColdLimits, bound: ColdBound, now: Duration) -> bool {
        if self.remaining(now).is_zero() {
            return true;
        }
        let interval = owner_interval(limits, bound);
        match role {
            Role::Owner => self.next <= now + interval,
            Role::Standby => self.next + interval * (STANDBY_INTERVAL_FACTOR - 1) <= now,
            Role::Peer { boxes, draw } => {
                let offset = f64::from(draw) / f64::from(u32::MAX);
                let first = self.since + peer_interval(limits, bound, boxes).mul_f64(offset);
                self.next.max(self.own_next).max(first) <= now
            }
            Role::Unassigned => false,
        }
    }

    /// Records a request. `decided_by` is this box's role if it made the decision, else `None`.
    pub fn record_request(
        &mut self,
        decided_by: Option<Role>,
        limits: ColdLimits,
        bound: ColdBound,
        now: Duration,
    ) {
        self.next = self.next.max(now) + owner_interval(limits, bound);
        if let Some(Role::Peer { boxes, .. }) = decided_by {
            self.own_next = now + peer_interval(limits, bound, boxes);
        }
    }
}

/// Interval between two requests of an owner; never below what the engine sustains.
fn owner_interval(limits: ColdLimits, bound: ColdBound) -> Duration {
    let interval = Duration::from_secs_f64(1.0 / (bound.per_second(limits) * OWNER_SHARE));
    interval.max(limits.min_interval)
}

/// Interval between two requests of one of `boxes` boxes that decide by themselves.
fn peer_interval(limits: ColdLimits, bound: ColdBound, boxes: usize) -> Duration {
    let per_second = bound.per_second(limits) * PEERS_SHARE;
    Duration::from_secs_f64(boxes.max(PEERS_MIN) as f64 / per_second)
}
