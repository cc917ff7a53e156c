//! Half-open probes, as of a circuit breaker: an upstream that gets no requests because it is
//! believed to be late, slow or full gets a single one at intervals, since only a request can show
//! otherwise. One that returns first tokens shows its state by them.

use std::time::Duration;

/// An upstream that got no request and returned no first token for this long gets a request
/// although its believed wait is too long.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The same for a request that is better sent elsewhere: one that other groups of engines may take,
/// or that must not be repeated, at an upstream that may be unresponsive. Until then other requests
/// are preferred.
pub const PROBE_INTERVAL_RELUCTANT: Duration = Duration::from_millis(900);

/// Where several boxes decide by themselves, each lets the others go first for a multiple of this,
/// in which their messages arrive.
const PEER_STAGGER: Duration = Duration::from_millis(25);

/// Among this many boxes at most; a fleet where boxes decide by themselves is no larger.
const PEERS_MAX: usize = 16;

/// Why an upstream gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// Its believed wait is too long, or it is believed to be full.
    Wait,
    /// A first token is overdue.
    Overdue,
    /// It broke connections.
    Cooldown,
}

/// The request that would serve as the probe, and the box that decides.
#[derive(Clone, Copy, Debug)]
pub struct Prober {
    /// Whether the request may be sent again if it fails.
    pub is_repeatable: bool,
    /// Whether other groups of engines may take it.
    pub may_try_other_groups: bool,
    /// How long this box lets others go first.
    pub stagger: Duration,
}

impl Prober {
    /// A box that alone decides on an upstream.
    pub fn sole(is_repeatable: bool) -> Prober {
        Prober { is_repeatable, may_try_other_groups: false, stagger: Duration::ZERO }
    }

    /// One of several boxes that decide by themselves, with a pseudo-random number of its own.
    pub fn one_of(boxes: usize, draw: u32, is_repeatable: bool) -> Prober {
        let turn = draw % boxes.clamp(1, PEERS_MAX) as u32;
        Prober { is_repeatable, may_try_other_groups: false, stagger: PEER_STAGGER * turn }
    }

    /// Whether an upstream that last got a request or returned a first token at this time gets this
    /// request as a probe.
    pub fn may_probe(self, last_active: Duration, obstacle: Obstacle, now: Duration) -> bool {
        let interval = match obstacle {
            // It would probably be lost.
            Obstacle::Cooldown if !self.is_repeatable => return false,
            Obstacle::Overdue if !self.is_repeatable => PROBE_INTERVAL_RELUCTANT,
            _ if self.may_try_other_groups => PROBE_INTERVAL_RELUCTANT,
            _ => PROBE_INTERVAL,
        };
        last_active + interval + self.stagger < now
    }
}
