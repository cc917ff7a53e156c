//! Engines that have just started, or are cold again: they bear only so many new requests a second, and
//! fall over at well above that.
//!
//! What an engine may get is a bound over all boxes, whatever these believe of each other. So each box that
//! may believe to be the one that decides uses a part of the bound, and a box that decides without asking
//! anybody sends nothing there.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Part of the bound that an engine's owner uses. Two that believe to own it, their standby and requests
/// that were placed up to 0.4 s before they are sent (the time that connecting may take) stay below it.
const OWNER_SHARE: f64 = 0.35;

/// A standby places this much more slowly than an owner.
const STANDBY_SLOWNESS: u32 = 2;

/// Part of the bound that boxes use on average where each decides by itself. Their turns are drawn, so that a
/// second may see several times as many.
const PEERS_SHARE: f64 = 0.35;

/// A box that knows of fewer boxes may be cut off from the others, and counts so many.
const PEERS_MIN: usize = 16;

/// A box that comes to keep the model of an engine doesn't know what others have just sent there; it waits
/// for as long as the bound looks back.
pub const RATE_WINDOW: Duration = Duration::from_secs(1);

/// What an engine bears while it is cold, by the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLimits {
    /// How long it stays cold after a start.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// Time between two requests that it bears.
    #[serde(rename = "pace")]
    pub min_interval: Duration,
}

/// How far above its pace an engine may get requests in any one second, by the operator's settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// How many times what it bears.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl ColdBound {
    /// Requests in any second that are too many for an engine of these limits.
    fn per_second(self, limits: ColdLimits) -> f64 {
        self.overage / limits.min_interval.as_secs_f64() + self.slack
    }
}

impl Default for ColdBound {
    /// No more than it bears.
    fn default() -> ColdBound {
        ColdBound { overage: 1.0, slack: 0.0 }
    }
}

/// By what right a box decides what goes to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It owns the engine's model.
    Owner,
    /// It takes over from the owner.
    Standby,
    /// Each of so many boxes decides, and tells the others.
    Peer {
        /// The boxes, this one and those that are silent now included.
        boxes: usize,
        /// A number of this box's own, by which it takes its turn.
        draw: u32,
    },
    /// None: nobody who keeps the model answers.
    Unassigned,
}

impl Role {
    /// The right as a word for logs.
    pub fn code(self) -> &'static str {
        match self {
            Role::Owner => "owner",
            Role::Standby => "standby",
            Role::Peer { .. } => "peer",
            Role::Unassigned => "alone",
        }
    }
}

/// What is known of the cold start of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// When it was first known to be cold, and until when it is.
    since: Duration,
    until: Duration,
    /// When it may get the next request, by all that this box has heard of.
    next: Duration,
    /// The same, by what this box has sent itself.
    own_next: Duration,
}

impl ColdStart {
    /// Notes that the engine is cold until `until`, if that is later than known. True where it wasn't known
    /// to be cold for nearly as long.
    pub fn note(&mut self, until: Duration, now: Duration) -> bool {
        // Reports of one cold start differ by the time that they take to come.
        const SAME: Duration = Duration::from_millis(1500);
        let is_news = self.until.max(now) + SAME < until;
        if is_news {
            self.since = now;
        }
        self.until = self.until.max(until);
        is_news
    }

    /// How long it stays cold.
    pub fn left(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Nothing goes there before `until`, while it is cold.
    pub fn hold(&mut self, until: Duration) {
        self.next = self.next.max(until);
    }

    /// Whether a request may go there now.
    pub fn bears(&self, role: Role, limits: ColdLimits, bound: ColdBound, now: Duration) -> bool {
        if self.left(now).is_zero() {
            return true;
        }
        let pace = owner_pace(limits, bound);
        match role {
            Role::Owner => self.next <= now + pace,
            Role::Standby => self.next + pace * (STANDBY_SLOWNESS - 1) <= now,
            Role::Peer { boxes, draw } => {
                let turn = f64::from(draw) / f64::from(u32::MAX);
                let first = self.since + own_pace(limits, bound, boxes).mul_f64(turn);
                self.next.max(self.own_next).max(first) <= now
            }
            Role::Unassigned => false,
        }
    }

    /// Notes that a request is sent there, `own` if by this box and by its own right.
    pub fn begin(
        &mut self,
        own: Option<Role>,
        limits: ColdLimits,
        bound: ColdBound,
        now: Duration,
    ) {
        self.next = self.next.max(now) + owner_pace(limits, bound);
        if let Some(Role::Peer { boxes, .. }) = own {
            self.own_next = now + own_pace(limits, bound, boxes);
        }
    }
}

/// Time between two requests that an owner sends. No faster than the engine bears.
fn owner_pace(limits: ColdLimits, bound: ColdBound) -> Duration {
    let pace = Duration::from_secs_f64(1.0 / (bound.per_second(limits) * OWNER_SHARE));
    pace.max(limits.min_interval)
}

/// Time between two requests that one of so many boxes sends by itself.
fn own_pace(limits: ColdLimits, bound: ColdBound, boxes: usize) -> Duration {
    let per_second = bound.per_second(limits) * PEERS_SHARE;
    Duration::from_secs_f64(boxes.max(PEERS_MIN) as f64 / per_second)
}
